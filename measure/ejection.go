package measure

import (
	"fmt"
	"io"
	"math/rand/v2"
	"text/tabwriter"
	"time"

	"github.com/poppywall/poppywall/outlier"
)

// Trace is a made-up history of requests at the targets of one host.
type Trace struct {
	Name string
	// PerSecond is the rate at each target.
	PerSecond float64
	// Base is the failure rate of healthy targets.
	Base float64
	// Bad is the failure rate of target 0 from a third of the run on; equal to
	// Base when no target is bad.
	Bad     float64
	Targets int
}

// Traces are the histories that the judges are compared on.
var Traces = []Trace{
	{"healthy, quiet", 2, 0.01, 0.01, 5},
	{"healthy, busy", 50, 0.01, 0.01, 5},
	{"healthy, alone", 10, 0.01, 0.01, 1},
	{"all fail a little", 20, 0.1, 0.1, 5},
	{"all fail a lot", 20, 0.3, 0.3, 5},
	{"one dead, quiet", 2, 0.01, 1, 5},
	{"one dead, busy", 50, 0.01, 1, 5},
	{"one dead, alone", 10, 0.01, 1, 1},
	{"one half bad", 10, 0.01, 0.5, 5},
	{"one third bad among noise", 20, 0.1, 0.33, 5},
	{"one third bad, alone", 22, 0.005, 0.31, 1},
	{"healthy, alone, busy", 100, 0.01, 0.01, 1},
	{"all fail a little, alone", 22, 0.03, 0.03, 1},
}

// EjectionResult is how a judge did on a trace, over many seeds.
type EjectionResult struct {
	// FalsePerHour is ejections of healthy targets per target and hour.
	FalsePerHour float64
	// Detected is the share of runs in which the bad target was ejected, and
	// MeanSeconds the mean time it took.
	Detected, MeanSeconds float64
}

const (
	ejectionLength = 90 * time.Second
	ejectionRuns   = 60
)

// Judges are the candidates by name.
var Judges = []struct {
	Name  string
	Judge outlier.Policy
}{
	{"threshold 50% of 5", outlier.Threshold{MinTrials: 5, Rate: 0.5}},
	{"threshold 30% of 10", outlier.Threshold{MinTrials: 10, Rate: 0.3}},
	{"binomial, alpha 1e-3", outlier.Binomial{Alpha: 1e-3, Prior: outlier.Counts{Trials: 200, Failures: 4}, MinRate: 0.2}},
	{"binomial (in use)", outlier.DefaultPolicy()},
}

// Ejection runs a judge on a trace.
func Ejection(judge outlier.Policy, tr Trace) EjectionResult {
	var r EjectionResult
	detected, seconds, falseOnes := 0, 0.0, 0
	for seed := range ejectionRuns {
		took, wrong := ejectionRun(judge, tr, uint64(seed))
		falseOnes += wrong
		if took >= 0 {
			detected++
			seconds += took
		}
	}
	hours := ejectionLength.Hours() * ejectionRuns * float64(tr.Targets)
	r.FalsePerHour = float64(falseOnes) / hours
	r.Detected = float64(detected) / ejectionRuns
	if detected > 0 {
		r.MeanSeconds = seconds / float64(detected)
	}
	return r
}

// ejectionRun returns the seconds to eject the bad target, -1 for never, and
// the number of healthy targets ejected.
func ejectionRun(judge outlier.Policy, tr Trace, seed uint64) (float64, int) {
	rnd := rand.New(rand.NewPCG(seed, 11))
	d := outlier.New(outlier.Defaults(), judge)
	onset := choiceStart.Add(ejectionLength / 3)
	now, took, wrong := choiceStart, -1.0, 0
	for now.Before(choiceStart.Add(ejectionLength)) {
		gap := rnd.ExpFloat64() / (tr.PerSecond * float64(tr.Targets))
		now = now.Add(time.Duration(gap * float64(time.Second)))
		t := rnd.IntN(tr.Targets)
		bad := t == 0 && tr.Bad > tr.Base && !now.Before(onset)
		rate := tr.Base
		if bad {
			rate = tr.Bad
		}
		if d.Ejected(now, targetName(t)) || !d.Report(now, targetName(t), rnd.Float64() < rate) {
			continue
		}
		switch {
		case !bad:
			wrong++
		case took < 0:
			took = now.Sub(onset).Seconds()
		}
	}
	return took, wrong
}

// PrintEjection compares the judges on all traces.
func PrintEjection(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(tw, "TRACE\tJUDGE\tFALSE EJECTIONS PER TARGET AND HOUR\tDETECTED\tMEAN SECONDS TO EJECT")
	for _, tr := range Traces {
		for _, j := range Judges {
			r := Ejection(j.Judge, tr)
			fmt.Fprintf(tw, "%s\t%s\t%.2f\t%.2f\t%.2f\n", tr.Name, j.Name, r.FalsePerHour, r.Detected, r.MeanSeconds)
		}
	}
	return tw.Flush()
}
