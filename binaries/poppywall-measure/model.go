package main

import (
	"fmt"
	"io"
	"os"

	"github.com/go-faster/errors"
	"github.com/integrii/flaggy"

	"github.com/poppywall/poppywall/binaries/internal/process"
	"github.com/poppywall/poppywall/model"
	"github.com/poppywall/poppywall/settings"
)

// modelFlags are the flags of the subcommand model.
type modelFlags struct {
	settings, plot, pattern  string
	seeds, randomDeployments int
	brief                    bool
}

func (f *modelFlags) attach(sub *flaggy.Subcommand) {
	sub.String(&f.settings, "s", "settings", "Path of the JSON settings; the default deployment without.")
	sub.String(&f.pattern, "p", "pattern", "Only this pattern.")
	sub.String(&f.plot, "o", "plot", "Path of an HTML page with charts to write.")
	sub.Bool(&f.brief, "b", "brief", "Leave the classes out.")
	sub.Int(&f.seeds, "n", "seeds", "Number of seeds.")
	sub.Int(&f.randomDeployments, "d", "drawn", "Number of deployments drawn at random besides.")
}

// run runs the model. It writes the table of results to w and its progress to standard
// error.
func (f *modelFlags) run(w io.Writer) error {
	s, err := f.resolve()
	if err == nil {
		err = s.Check()
	}
	if err != nil {
		process.Fail(process.ExitUsage, err)
	}
	rows := model.Run(s, func(done, total int) {
		fmt.Fprintf(os.Stderr, "\r%d of %d runs", done, total)
		if done == total {
			fmt.Fprintln(os.Stderr)
		}
	})
	if f.plot != "" {
		if err := writePlot(f.plot, rows); err != nil {
			return err
		}
	}
	return model.Print(w, rows, f.brief)
}

// resolve returns the settings of the file or the defaults, overridden by the flags.
func (f *modelFlags) resolve() (model.Settings, error) {
	s := model.DefaultSettings()
	if f.settings != "" {
		var err error
		if s, err = settings.Load(f.settings, s); err != nil {
			return s, err
		}
	}
	if f.pattern != "" {
		s.Patterns = []string{f.pattern}
	}
	if f.seeds > 0 {
		s.Seeds = f.seeds
	}
	if f.randomDeployments > 0 {
		s.RandomDeployments = f.randomDeployments
	}
	return s, nil
}

func writePlot(path string, rows []model.Row) error {
	file, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "plot")
	}
	if err := model.Plot(file, rows); err != nil {
		_ = file.Close()
		return errors.Wrap(err, "plot")
	}
	return errors.Wrap(file.Close(), "plot")
}
