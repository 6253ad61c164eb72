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

// oracle counts every opening packet that a target got, over all agents beside it.
type oracle struct{ arrivals []time.Time }

// within counts those of the second up to now.
func (o *oracle) within(now time.Time) (n int) {
	for i := len(o.arrivals) - 1; i >= 0 && now.Sub(o.arrivals[i]) < time.Second; i-- {
		n++
	}
	return n
}

// TestNoSecondHasMoreThanTheTargetBears, whenever agents restart: the agent before a
// restart is forgotten, the target's arrivals are not. Each arrives up to 15 ms after it
// was given.
func TestNoSecondHasMoreThanTheTargetBears(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.1, 60).Draw(t, "rate")
		now, latest := t0, t0
		var w Window
		w.Blind(now)
		o := oracle{}
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 1, 7, 19, 40, 300}).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 30).Draw(t, "what") {
			case 0:
				w = Window{}
				w.Blind(now)
			default:
				if w.Room(now, rate) == 0 {
					continue
				}
				w.Give(now)
				arrives := now.Add(time.Duration(rapid.IntRange(0, 15).Draw(t, "delay")) * time.Millisecond)
				if arrives.Before(latest) {
					arrives = latest
				}
				latest = arrives
				o.arrivals = append(o.arrivals, arrives)
				if got := o.within(arrives); got > Most(rate) {
					t.Fatalf("%d requests within a second, %v borne", got, rate)
				}
			}
		}
	})
}

// TestAWindowServesWhatTheTargetBears: the bound is reached, not only kept.
func TestAWindowServesWhatTheTargetBears(t *testing.T) {
	var w Window
	given := 0
	for ms := range 10_000 {
		now := t0.Add(time.Duration(ms) * time.Millisecond)
		if w.Room(now, 20) > 0 {
			w.Give(now)
			given++
		}
	}
	require.Equal(t, 200, given)
}

func TestABlindWindowIsFullForItsSpan(t *testing.T) {
	var w Window
	w.Blind(t0)
	require.Zero(t, w.Room(t0.Add(span-1), 5))
	require.Equal(t, 5, w.Room(t0.Add(span), 5))
}

func TestARateBelowOneBearsOne(t *testing.T) {
	for rate, want := range map[float64]int{0.1: 1, 1: 1, 2.9: 2, 1e9: maxRemembered} {
		require.Equal(t, want, Most(rate))
	}
}

// TestTheWindowIsBounded: a flood makes it full, not large.
func TestTheWindowIsBounded(t *testing.T) {
	var w Window
	for range 3 * maxRemembered {
		w.Give(t0)
	}
	require.LessOrEqual(t, len(w.given), maxRemembered)
	require.Zero(t, w.Room(t0, 1e9))
}

func BenchmarkWindow(b *testing.B) {
	var w Window
	now := t0
	for b.Loop() {
		now = now.Add(time.Millisecond)
		if w.Room(now, 500) > 0 {
			w.Give(now)
		}
	}
}
