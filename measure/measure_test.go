package measure

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poppywall/poppywall/outlier"
)

// TestChoiceBalancesFlowsOnDelayedReports guards against an uneven load and herding
// when load reports are old: 35 hosts with 2,000 flows each, load reports 2 s old.
func TestChoiceBalancesFlowsOnDelayedReports(t *testing.T) {
	o := DefaultChoice()
	r := RunChoice("poppywall", o)
	require.LessOrEqual(t, r.MaxOverMean, 1.05)
	require.Less(t, r.MaxOverMean, RunChoice("random", o).MaxOverMean)
	require.Less(t, r.MaxOverMean, RunChoice("least-reading+own", o).MaxOverMean, "no herding on the host with the smallest report")
	o.AddEmptyHost = true
	require.Less(t, RunChoice("poppywall", o).AddedHostShare, 2.0, "no herding on an added empty host")
}

// TestGoodputHoldsUnderOverload guards against congestion collapse: at 2 and 4 times
// the load, with callers that retry at once, goodput stays at least 0.9 of that at
// 1x (point 9 of docs/GUARANTEES.md).
func TestGoodputHoldsUnderOverload(t *testing.T) {
	at := func(x float64, retries int, length time.Duration) OverloadResult {
		o := DefaultOverload()
		o.Workspaces, o.Retries, o.Length = EqualWorkspaces(4, 950*x), retries, length
		return RunOverload(o)
	}
	base := at(1, 0, 20*time.Second).TotalGoodput
	require.Greater(t, base, 900.0)
	for _, x := range []float64{2, 4} {
		for _, retries := range []int{0, 3} {
			r := at(x, retries, 20*time.Second)
			require.GreaterOrEqual(t, r.TotalGoodput, 0.9*base, "load %v, %d retries", x, retries)
			require.LessOrEqual(t, r.SlowestRefusal, 600*time.Millisecond, "refused at once")
		}
	}
	require.GreaterOrEqual(t, at(4, 0, 100*time.Second).TotalGoodput, 0.9*base, "also after the base latency was measured again")
}

// TestWorkspacesGetTheirShare guards against unfair admission: served slot time is
// compared with the weighted max-min fair shares.
func TestWorkspacesGetTheirShare(t *testing.T) {
	const work = 10 * time.Millisecond
	for name, workspaces := range map[string][]WorkspaceLoad{
		"equal weights, one floods":  {{"a", 1, 3000, work}, {"b", 1, 200, work}, {"c", 1, 400, work}},
		"weights 3 to 1":             {{"a", 3, 2000, work}, {"b", 1, 2000, work}},
		"slow requests gain nothing": {{"a", 1, 2000, work}, {"b", 1, 500, 4 * work}},
		"unused share is lent":       {{"a", 1, 3000, work}, {"b", 5, 50, work}},
	} {
		o := DefaultOverload()
		o.Workspaces = workspaces
		r := RunOverload(o)
		// Shares are of slot time, so each rate is multiplied by the work per request.
		var offered []float64
		var weights []int
		servedWork := 0.0
		for _, m := range workspaces {
			offered = append(offered, m.PerSecond*m.Work.Seconds())
			weights = append(weights, m.Weight)
			servedWork += r.Goodput[m.Name] * m.Work.Seconds()
		}
		require.Greater(t, servedWork, 9.0, "%s: work-conserving, of 10 slots", name)
		for i, want := range MaxMinShares(servedWork, offered, weights) {
			share := r.Goodput[workspaces[i].Name] * workspaces[i].Work.Seconds()
			require.InDelta(t, want, share, 0.1*want+0.1, "%s: %s", name, workspaces[i].Name)
		}
	}
}

// TestBinomialBeatsThreshold guards the choice of the binomial policy: fewer false
// ejections than with a threshold, and each faulty target ejected within 10 s.
func TestBinomialBeatsThreshold(t *testing.T) {
	threshold := outlier.Threshold{MinTrials: 5, Rate: 0.5}
	totalFalseRate := func(policy outlier.Policy) float64 {
		sum := 0.0
		for _, tr := range Traces {
			sum += RunEjection(policy, tr).FalsePerHour
		}
		return sum
	}
	require.Less(t, totalFalseRate(outlier.DefaultPolicy()), totalFalseRate(threshold))
	for _, tr := range Traces {
		if tr.FaultyFailureRate > tr.HealthyFailureRate {
			r := RunEjection(outlier.DefaultPolicy(), tr)
			require.Equal(t, 1.0, r.Detected, tr.Name)
			require.Less(t, r.MeanSeconds, 10.0, tr.Name)
		}
	}
}
