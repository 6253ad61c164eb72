package model

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func simulateUneven(pattern string, load float64, seeds uint64) Result {
	d := UnevenDeployment()
	for i := range d.Classes {
		d.Classes[i].Rate *= load / unevenLoad
	}
	var sum Result
	for seed := range seeds {
		sum.Add(Simulate(Options{Deployment: d, Pattern: pattern, At: 6 * time.Second, Length: 14 * time.Second, Seed: seed}))
	}
	return sum
}

// maxCrossZoneStep is the maximum change of the share of cross-zone requests from one window of two
// seconds to the next.
const maxCrossZoneStep = 0.1

// requireSteadyCrossZoneShare checks that the share of cross-zone requests does not oscillate. It
// skips the first window, in which targets whose service time is not known yet get their first
// flows.
func requireSteadyCrossZoneShare(t *testing.T, r *Result) {
	t.Helper()
	for i := 2; i < len(r.Windows); i++ {
		before, now := &r.Windows[i-1], &r.Windows[i]
		require.InDelta(t, before.Share(before.CrossZone), now.Share(now.CrossZone), maxCrossZoneStep, "window %d", i)
	}
}

// TestUnequalTargetsAreUsedEvenly checks that at 92% of the capacity the busiest target is at most a
// tenth above the mean, and that zones do not send flows to each other by turns.
func TestUnequalTargetsAreUsedEvenly(t *testing.T) {
	r := simulateUneven("quiet", unevenLoad, 2)
	require.LessOrEqual(t, r.MaxOverMean/float64(r.Runs), 1.1)
	require.Zero(t, r.DuplicateExecutions)
	require.Zero(t, r.Unserved())
	requireSteadyCrossZoneShare(t, &r)
}

// TestCrossZoneShareDoesNotOscillate checks that the share of cross-zone requests rises without
// oscillation while most of a zone's callers call from another zone, and falls afterwards. Load
// reports from other zones are up to 2.5 s old.
func TestCrossZoneShareDoesNotOscillate(t *testing.T) {
	r := simulateUneven("shift", unevenLoad, 2)
	require.Zero(t, r.Unserved())
	requireSteadyCrossZoneShare(t, &r)
	crossed := func(second int) float64 { w := &r.Windows[second/2]; return w.Share(w.CrossZone) }
	require.Greater(t, crossed(8), crossed(4))
	require.Less(t, crossed(12), crossed(10))
}

// TestSlowTargetsAreAvoided checks that a target that becomes slow gets hardly any new requests
// after half a second: at 70% of the capacity one of seven targets takes four times as long for
// 6 s. A seventh of the requests of half a second out of 9 s may be late: 0.5 s / 9 s / 7 = 0.008.
func TestSlowTargetsAreAvoided(t *testing.T) {
	r := simulate("slow", 4)
	require.Less(t, r.All.Share(r.All.Late), 0.008)
	require.Zero(t, r.Unserved())
}

// TestRecoveredTargetsRegainTheirShare checks that a target that was slow gets at least half of the
// others' work again within three seconds, without probes other than callers' requests.
func TestRecoveredTargetsRegainTheirShare(t *testing.T) {
	d := UnevenDeployment()
	for i := range d.Classes {
		d.Classes[i].Rate *= 0.6 / unevenLoad
	}
	at := 3 * time.Second
	r := newRun(Options{Deployment: d, Seed: 1})
	r.startLoad(Options{Pattern: "slow", At: at, Length: time.Minute})
	r.world.Run(at - time.Second)
	faulty := map[*target]bool{}
	for _, tgt := range r.faultyTargets() {
		faulty[tgt] = true
	}
	// work returns the mean busy time of slow and of other targets in the next 4 s.
	work := func() (slow, healthy time.Duration) {
		before := map[*target]time.Duration{}
		for _, tgt := range r.targets {
			before[tgt] = tgt.busyTime
		}
		r.world.Run(4 * time.Second)
		for _, tgt := range r.targets {
			if faulty[tgt] {
				slow += (tgt.busyTime - before[tgt]) / time.Duration(len(faulty))
			} else {
				healthy += (tgt.busyTime - before[tgt]) / time.Duration(len(r.targets)-len(faulty))
			}
		}
		return slow, healthy
	}
	r.world.Run(time.Second + faultTime + 3*time.Second)
	slow, healthy := work()
	require.Greater(t, slow, healthy/2)
}

// TestFastFailingTargetsAttractNoWork checks that targets that fail all requests at once do not draw
// load by their short service time: the bound on lost writes is the same as for targets that fail a
// third of their requests in the usual service time.
func TestFastFailingTargetsAttractNoWork(t *testing.T) {
	var sum Result
	for seed := range uint64(8) {
		sum.Add(Simulate(Options{Deployment: manyTargets(), Pattern: "errors", At: 4 * time.Second, Length: 13 * time.Second, Seed: seed}))
	}
	write := sum.Classes[1].Count
	require.Less(t, write.Share(write.Lost+write.Refused), 0.006, "%+v", write)
	require.Zero(t, sum.DuplicateExecutions)
}
