package measure

import "io"

// PrintCapacity prints every table that docs/CAPACITY.md uses.
func PrintCapacity(w io.Writer) error {
	return printAll(w, PrintCosts, PrintRelay, PrintPackets, PrintFleet)
}

// PrintCosts prints the memory and CPU time of a balancer's state by fleet size.
func PrintCosts(w io.Writer) error { return printAll(w, PrintMemory, PrintOperations) }

func printAll(w io.Writer, tables ...func(io.Writer) error) error {
	for _, table := range tables {
		if err := table(w); err != nil {
			return err
		}
		if _, err := io.WriteString(w, "\n"); err != nil {
			return err
		}
	}
	return nil
}
