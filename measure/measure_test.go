package measure

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poppywall/poppywall/outlier"
)

// TestChoiceMeetsItsGoal: 35 targets, 2,000 flows each, readings 2 s old.
func TestChoiceMeetsItsGoal(t *testing.T) {
	o := DefaultChoice()
	r := Choice("poppywall", o)
	require.LessOrEqual(t, r.MaxOverMean, 1.05)
	require.Less(t, r.MaxOverMean, Choice("random", o).MaxOverMean)
	require.Less(t, r.MaxOverMean, Choice("least-reading+own", o).MaxOverMean, "herding is the trap")
	o.JoinEmpty = true
	require.Less(t, Choice("poppywall", o).JoinerShare, 2.0, "no herding on a host that joins empty")
}

// TestGoodputHoldsUnderOverload: at 2 and 4 times the load, with callers that
// come back at once, the useful work is at least 0.9 of that at 1x. Point 9.
func TestGoodputHoldsUnderOverload(t *testing.T) {
	at := func(x float64, retries int, length time.Duration) OverloadResult {
		o := DefaultOverload()
		o.Workspaces, o.Retries, o.Length = EqualWorkspaces(4, 950*x), retries, length
		return Overload(o)
	}
	base := at(1, 0, 20*time.Second).Total
	require.Greater(t, base, 900.0)
	for _, x := range []float64{2, 4} {
		for _, retries := range []int{0, 3} {
			r := at(x, retries, 20*time.Second)
			require.GreaterOrEqual(t, r.Total, 0.9*base, "load %v, %d retries", x, retries)
			require.LessOrEqual(t, r.SlowestRefusal, 600*time.Millisecond, "refused at once")
		}
	}
	require.GreaterOrEqual(t, at(4, 0, 100*time.Second).Total, 0.9*base, "also past a new look at the base latency")
}

// TestWorkspacesGetTheirShare compares the served rates with weighted max-min.
func TestWorkspacesGetTheirShare(t *testing.T) {
	const work = 10 * time.Millisecond
	for name, workspaces := range map[string][]WorkspaceLoad{
		"equal weights, one floods": {{"a", 1, 3000, work}, {"b", 1, 200, work}, {"c", 1, 400, work}},
		"weights 3 to 1":            {{"a", 3, 2000, work}, {"b", 1, 2000, work}},
		"slow requests win nothing": {{"a", 1, 2000, work}, {"b", 1, 500, 4 * work}},
		"unused share is lent":      {{"a", 1, 3000, work}, {"b", 5, 50, work}},
	} {
		o := DefaultOverload()
		o.Workspaces = workspaces
		r := Overload(o)
		// Shares are of slot time: a rate counts by the work of its requests.
		var offered []float64
		var weights []int
		got := 0.0
		for _, m := range workspaces {
			offered = append(offered, m.PerSecond*m.Work.Seconds())
			weights = append(weights, m.Weight)
			got += r.Goodput[m.Name] * m.Work.Seconds()
		}
		require.Greater(t, got, 9.0, "%s: work-conserving, of 10 slots", name)
		for i, want := range MaxMin(got, offered, weights) {
			share := r.Goodput[workspaces[i].Name] * workspaces[i].Work.Seconds()
			require.InDelta(t, want, share, 0.1*want+0.1, "%s: %s", name, workspaces[i].Name)
		}
	}
}

func TestBinomialBeatsThreshold(t *testing.T) {
	threshold := outlier.Threshold{MinTrials: 5, Rate: 0.5}
	falseOnes := func(j outlier.Policy) float64 {
		sum := 0.0
		for _, tr := range Traces {
			sum += Ejection(j, tr).FalsePerHour
		}
		return sum
	}
	require.Less(t, falseOnes(outlier.DefaultPolicy()), falseOnes(threshold))
	for _, tr := range Traces {
		if tr.Bad > tr.Base {
			r := Ejection(outlier.DefaultPolicy(), tr)
			require.Equal(t, 1.0, r.Detected, tr.Name)
			require.Less(t, r.MeanSeconds, 10.0, tr.Name)
		}
	}
}
