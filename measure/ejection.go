package measure

import (
	"fmt"
	"io"
	"math/rand/v2"
	"text/tabwriter"
	"time"

	"github.com/poppywall/poppywall/outlier"
)

// Trace describes simulated requests at the targets of one host.
type Trace struct {
	Name string
	// RequestsPerSecond is the request rate of each target.
	RequestsPerSecond float64
	// HealthyFailureRate is the share of requests that fail at a healthy target.
	HealthyFailureRate float64
	// FaultyFailureRate is the same for target 0 after the first third of the run.
	// It equals HealthyFailureRate if no target is faulty.
	FaultyFailureRate float64
	Targets           int
}

// Traces are the traces that the policies are compared on.
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

// EjectionResult is the result of a policy on a trace over all seeds.
type EjectionResult struct {
	// FalsePerHour is the number of ejections of healthy targets per target and hour.
	FalsePerHour float64
	// Detected is the share of runs in which the faulty target was ejected, and
	// MeanSeconds the mean time until then.
	Detected, MeanSeconds float64
}

const (
	ejectionLength = 90 * time.Second
	ejectionRuns   = 60
)

// EjectionPolicies are the compared policies.
var EjectionPolicies = []struct {
	Name   string
	Policy outlier.Policy
}{
	{"threshold 50% of 5", outlier.Threshold{MinTrials: 5, Rate: 0.5}},
	{"threshold 30% of 10", outlier.Threshold{MinTrials: 10, Rate: 0.3}},
	{"binomial, alpha 1e-3", outlier.Binomial{Alpha: 1e-3, Prior: outlier.Counts{Trials: 200, Failures: 4}, MinRate: 0.2}},
	{"binomial (in use)", outlier.DefaultPolicy()},
}

// RunEjection simulates a policy on a trace with ejectionRuns seeds.
func RunEjection(policy outlier.Policy, trace Trace) EjectionResult {
	var r EjectionResult
	detected, seconds, falseEjections := 0, 0.0, 0
	for seed := range ejectionRuns {
		secondsToEject, runFalseEjections := simulateEjection(policy, trace, uint64(seed))
		falseEjections += runFalseEjections
		if secondsToEject >= 0 {
			detected++
			seconds += secondsToEject
		}
	}
	hours := ejectionLength.Hours() * ejectionRuns * float64(trace.Targets)
	r.FalsePerHour = float64(falseEjections) / hours
	r.Detected = float64(detected) / ejectionRuns
	if detected > 0 {
		r.MeanSeconds = seconds / float64(detected)
	}
	return r
}

// simulateEjection returns the seconds until the faulty target was ejected, or -1
// if it was not, and the number of ejections of healthy targets.
func simulateEjection(policy outlier.Policy, trace Trace, seed uint64) (float64, int) {
	rnd := rand.New(rand.NewPCG(seed, 11))
	d := outlier.New(outlier.Defaults(), policy)
	onset := simStart.Add(ejectionLength / 3)
	now, secondsToEject, falseEjections := simStart, -1.0, 0
	for now.Before(simStart.Add(ejectionLength)) {
		gap := rnd.ExpFloat64() / (trace.RequestsPerSecond * float64(trace.Targets))
		now = now.Add(time.Duration(gap * float64(time.Second)))
		t := rnd.IntN(trace.Targets)
		bad := t == 0 && trace.FaultyFailureRate > trace.HealthyFailureRate && !now.Before(onset)
		rate := trace.HealthyFailureRate
		if bad {
			rate = trace.FaultyFailureRate
		}
		if d.Ejected(now, targetName(t)) || !d.Report(now, targetName(t), rnd.Float64() < rate) {
			continue
		}
		switch {
		case !bad:
			falseEjections++
		case secondsToEject < 0:
			secondsToEject = now.Sub(onset).Seconds()
		}
	}
	return secondsToEject, falseEjections
}

// PrintEjection compares the policies on all traces.
func PrintEjection(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(tw, "TRACE\tJUDGE\tFALSE EJECTIONS PER TARGET AND HOUR\tDETECTED\tMEAN SECONDS TO EJECT")
	for _, tr := range Traces {
		for _, j := range EjectionPolicies {
			r := RunEjection(j.Policy, tr)
			fmt.Fprintf(tw, "%s\t%s\t%.2f\t%.2f\t%.2f\n", tr.Name, j.Name, r.FalsePerHour, r.Detected, r.MeanSeconds)
		}
	}
	return tw.Flush()
}
