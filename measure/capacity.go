package measure

import "io"

// PrintCapacity prints every table that docs/CAPACITY.md uses.
func PrintCapacity(w io.Writer) error {
	for _, table := range []func(io.Writer) error{PrintMemory, PrintOperations, PrintFleet} {
		if err := table(w); err != nil {
			return err
		}
		if _, err := io.WriteString(w, "\n"); err != nil {
			return err
		}
	}
	return nil
}
