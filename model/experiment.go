package model

import (
	"fmt"
	"io"
	"math/rand/v2"
	"runtime"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc/pool"

	"github.com/poppywall/poppywall/settings"
)

// Settings describe an experiment: patterns, each run with a number of seeds.
type Settings struct {
	Deployment Deployment `json:"deployment"`
	// Patterns are the names of the patterns to run, all when empty.
	Patterns []string `json:"patterns"`
	// RandomDeployments is the number of random deployments to run besides Deployment.
	RandomDeployments int `json:"drawn" validate:"gte=0,lte=1000"`
	// At is when the pattern begins, counted from the start of the load. Length is the duration
	// of the load.
	At     settings.Duration `json:"at" validate:"gt=0"`
	Length settings.Duration `json:"length" validate:"gt=0"`
	// Seeds is the number of seeds, from FirstSeed on.
	Seeds     int    `json:"seeds" validate:"gt=0,lte=10000"`
	FirstSeed uint64 `json:"firstSeed"`
	// Workers is the number of concurrent runs, half of the processors when zero.
	Workers int `json:"workers" validate:"gte=0,lte=256"`
}

// DefaultSettings returns an experiment that runs every pattern on the default deployment with 20
// seeds.
func DefaultSettings() Settings {
	return Settings{Deployment: DefaultDeployment(), At: ms(5000), Length: ms(20000), Seeds: 20}
}

// Row is the result of one pattern on one deployment, over all seeds.
type Row struct {
	Pattern, Deployment string
	Result
}

// Check returns an error that names the invalid field, nil if the settings are valid.
func (s *Settings) Check() error {
	if err := settings.Validate(*s); err != nil {
		return err
	}
	for _, name := range s.Patterns {
		if _, ok := patternOf(name); !ok {
			return errors.Errorf("field \"patterns\": %q is none of %v", name, PatternNames())
		}
	}
	services := map[string]bool{}
	for i := range s.Deployment.Services {
		services[s.Deployment.Services[i].Name] = true
	}
	for i := range s.Deployment.Classes {
		if c := &s.Deployment.Classes[i]; !services[c.Service] {
			return errors.Errorf("field \"deployment.classes[%d].service\": there is no service %q", i, c.Service)
		}
	}
	return nil
}

// Run runs an experiment with valid settings. It calls progress after each run, never
// concurrently, with the number of completed runs and the number of all runs.
func Run(s Settings, progress func(done, of int)) []Row {
	patterns := s.Patterns
	if len(patterns) == 0 {
		patterns = PatternNames()
	}
	return s.runPatterns(patterns, progress)
}

// deployments returns the given deployment and the random ones.
func (s *Settings) deployments() []Deployment {
	out := []Deployment{s.Deployment}
	rnd := rand.New(rand.NewPCG(s.FirstSeed, 11))
	for i := range s.RandomDeployments {
		d := RandomDeployment(rnd)
		d.Name = fmt.Sprintf("drawn %d: %s", i, d.summary())
		out = append(out, d)
	}
	return out
}

// summary returns the parameters of a deployment that determine its waiting times.
func (d *Deployment) summary() string {
	c, s := &d.Classes[0], &d.Services[0]
	rate := 0.0
	for i := range d.Classes {
		rate += d.Classes[i].Rate
	}
	capacity := float64(s.Targets*s.Slots) / c.Work.D().Seconds()
	return fmt.Sprintf("%d targets x %d, work %v, deadline %v, load %.2f", s.Targets, s.Slots,
		c.Work.D().Round(time.Millisecond), c.Deadline.D().Round(time.Millisecond), rate/capacity)
}

func (s *Settings) runPatterns(patterns []string, progress func(done, of int)) []Row {
	deployments := s.deployments()
	rows := make([]Row, 0, len(patterns)*len(deployments))
	for i := range deployments {
		for _, p := range patterns {
			rows = append(rows, Row{Pattern: p, Deployment: deployments[i].Name})
		}
	}
	workers := s.Workers
	if workers == 0 {
		workers = max(runtime.NumCPU()/2, 1)
	}
	p := pool.New().WithMaxGoroutines(workers)
	// mu guards rows and done. The order in which results are added does not matter.
	var mu sync.Mutex
	done := 0
	for i := range rows {
		for seed := range s.Seeds {
			p.Go(func() {
				r := Simulate(Options{
					Deployment: deployments[i/len(patterns)], Pattern: rows[i].Pattern,
					At: s.At.D(), Length: s.Length.D(), Seed: s.FirstSeed + uint64(seed),
				})
				mu.Lock()
				defer mu.Unlock()
				rows[i].Add(r)
				done++
				progress(done, len(rows)*s.Seeds)
			})
		}
	}
	p.Wait()
	return rows
}

// Print writes a table of the rows, and unless brief is set of each class: shares of all requests
// by outcome, the share in time in the worst window of two seconds, attempts per request, unsafe
// requests that ran more than once, the busiest target's load over the mean, and the share of
// cross-zone requests.
func Print(w io.Writer, rows []Row, brief bool) error {
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(tw, "DEPLOYMENT\tPATTERN\tCLASS\tASKED\tIN TIME %\tLATE %\tREFUSED %\tLOST %\tWORST 2 S %\tTRIES\tTWICE\tBUSIEST\tCROSSED %")
	for i := range rows {
		r := &rows[i]
		printCount(tw, r, "all", &r.All)
		fmt.Fprintf(tw, "\t%.1f\t%.3f\t%d\t%.2f\t%.1f\n", 100*r.WorstWindow(), float64(r.Attempts)/float64(max(r.All.Total, 1)), r.DuplicateExecutions, r.MaxOverMean/float64(max(r.Runs, 1)), 100*r.All.Share(r.All.CrossZone))
		if brief {
			continue
		}
		for j := range r.Classes {
			printCount(tw, r, r.Classes[j].Name, &r.Classes[j].Count)
			fmt.Fprintln(tw, "\t\t\t\t\t")
		}
	}
	return tw.Flush()
}

func printCount(w io.Writer, r *Row, name string, c *Count) {
	fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%.2f\t%.2f\t%.3f\t%.3f", r.Deployment, r.Pattern, name, c.Total,
		100*c.Share(c.InTime), 100*c.Share(c.Late), 100*c.Share(c.Refused), 100*c.Share(c.Lost))
}
