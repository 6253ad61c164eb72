package coldstart

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/poppywall/poppywall/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

var t0 = time.Unix(1_700_000_000, 0)

// oracle counts every opening packet that a target received, from all incarnations of its agent.
type oracle struct{ arrivals []time.Time }

// within returns the number of arrivals in the second up to now.
func (o *oracle) within(now time.Time) (n int) {
	for i := len(o.arrivals) - 1; i >= 0 && now.Sub(o.arrivals[i]) < time.Second; i-- {
		n++
	}
	return n
}

// TestWindowNeverExceedsRatePerSecond: no second has more arrivals than the rate allows, whenever
// the agent restarts. A restart loses the window, but not the arrivals at the target. Each
// packet arrives up to 15 ms after its delivery by the agent.
func TestWindowNeverExceedsRatePerSecond(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.1, 60).Draw(t, "rate")
		now, latest := t0, t0
		var w Window
		w.AssumeFull(now)
		o := oracle{}
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 1, 7, 19, 40, 300}).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 30).Draw(t, "what") {
			case 0:
				w = Window{}
				w.AssumeFull(now)
			default:
				if w.Headroom(now, rate) == 0 {
					continue
				}
				w.Add(now)
				arrives := now.Add(time.Duration(rapid.IntRange(0, 15).Draw(t, "delay")) * time.Millisecond)
				if arrives.Before(latest) {
					arrives = latest
				}
				latest = arrives
				o.arrivals = append(o.arrivals, arrives)
				if got := o.within(arrives); got > MaxPerWindow(rate) {
					t.Fatalf("%d opening packets within a second, rate %v", got, rate)
				}
			}
		}
	})
}

// TestWindowReachesRate: the window not only keeps the limit, it also allows the full rate.
func TestWindowReachesRate(t *testing.T) {
	var w Window
	delivered := 0
	for ms := range 10_000 {
		now := t0.Add(time.Duration(ms) * time.Millisecond)
		if w.Headroom(now, 20) > 0 {
			w.Add(now)
			delivered++
		}
	}
	require.Equal(t, 200, delivered)
}

func TestWindowCountsAsFullAfterAgentStart(t *testing.T) {
	var w Window
	w.AssumeFull(t0)
	require.Zero(t, w.Headroom(t0.Add(span-1), 5))
	require.Equal(t, 5, w.Headroom(t0.Add(span), 5))
}

func TestRateBelowOneAllowsOne(t *testing.T) {
	for rate, want := range map[float64]int{0.1: 1, 1: 1, 2.9: 2, 1e9: maxRemembered} {
		require.Equal(t, want, MaxPerWindow(rate))
	}
}

// TestWindowMemoryIsBounded: a flood of packets makes the window full, not larger than
// maxRemembered.
func TestWindowMemoryIsBounded(t *testing.T) {
	var w Window
	for range 3 * maxRemembered {
		w.Add(t0)
	}
	require.LessOrEqual(t, len(w.times), maxRemembered)
	require.Zero(t, w.Headroom(t0, 1e9))
}

func BenchmarkWindow(b *testing.B) {
	var w Window
	now := t0
	for b.Loop() {
		now = now.Add(time.Millisecond)
		if w.Headroom(now, 500) > 0 {
			w.Add(now)
		}
	}
}
