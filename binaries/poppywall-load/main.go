// Command poppywall-load runs an experiment file, which describes a site, a load and a
// schedule of faults, and prints what callers observed.
package main

import (
	"encoding/json"
	"fmt"
	"os"

	"go.uber.org/zap"

	"github.com/poppywall/poppywall/binaries/internal/process"
	"github.com/poppywall/poppywall/load"
	"github.com/poppywall/poppywall/settings"
	"github.com/poppywall/poppywall/trial"
)

// experiment is the contents of an experiment file.
type experiment struct {
	Title string     `json:"title" validate:"required"`
	Site  trial.Site `json:"site" validate:"required"`
	Plan  load.Plan  `json:"plan" validate:"required"`
}

func main() {
	path, plot, samples, check := "", "", false, false
	p := process.NewParser("poppywall-load", "Runs an experiment file and prints what callers saw.")
	p.String(&path, "s", "settings", "Path of the JSON experiment file.")
	p.String(&plot, "p", "plot", "Write an HTML plot to this path.")
	p.Bool(&samples, "", "samples", "Print the samples over time too.")
	p.Bool(&check, "", "check", "Check the experiment file and exit.")
	if err := p.ParseArgs(os.Args[1:]); err != nil {
		process.Fail(process.ExitUsage, err)
	}
	exp, err := settings.Load(path, experiment{})
	if err == nil {
		err = exp.Plan.Check()
	}
	if err != nil {
		process.Fail(process.ExitUsage, err)
	}
	if check {
		fmt.Println("experiment is valid")
		return
	}
	summary, err := run(exp)
	if err != nil {
		process.Fail(process.ExitFailure, err)
	}
	if plot != "" {
		if err := writePlot(plot, exp.Title, summary); err != nil {
			process.Fail(process.ExitFailure, err)
		}
	}
	if !samples {
		summary.Samples = nil
	}
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	if err := enc.Encode(summary); err != nil {
		process.Fail(process.ExitFailure, err)
	}
}

func run(exp experiment) (load.Summary, error) {
	ctx, stop := process.SignalContext()
	defer stop()
	c, err := trial.Start(ctx, exp.Site, zap.NewNop())
	if err != nil {
		return load.Summary{}, err
	}
	defer c.Close()
	return load.Run(ctx, exp.Plan, c)
}

func writePlot(path, title string, s load.Summary) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := load.Plot(f, title, s); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}
