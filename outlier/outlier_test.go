package outlier

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var t0 = time.Unix(1_700_000_000, 0)

// TestWindowCountsMatchFullHistory compares the ring of buckets with a list of all outcomes.
func TestWindowCountsMatchFullHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := New(Defaults(), Threshold{MinTrials: 1e9})
		type outcome struct {
			bucket int64
			failed bool
		}
		var all []outcome
		now := t0
		t.Repeat(map[string]func(*rapid.T){
			"report": func(t *rapid.T) {
				o := outcome{d.bucketAt(now), rapid.Bool().Draw(t, "failed")}
				all = append(all, o)
				d.Report(now, "a", o.failed)
				var want Counts
				for _, x := range all {
					if o.bucket-x.bucket < int64(Defaults().Buckets) {
						want.Trials++
						if x.failed {
							want.Failures++
						}
					}
				}
				require.Equal(t, want, d.targets["a"].sum())
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
			},
		})
	})
}

func TestEjectionTimeDoublesAndResets(t *testing.T) {
	d := New(Defaults(), DefaultPolicy())
	now := t0
	fail := func() time.Duration {
		start := now
		for !d.Report(now, "a", true) {
			now = now.Add(50 * time.Millisecond)
			require.Less(t, now.Sub(start), 5*time.Second, "a dead target is ejected within seconds")
		}
		began := now
		for d.Ejected(now, "a") {
			now = now.Add(100 * time.Millisecond)
		}
		return now.Sub(began)
	}
	first, second := fail(), fail()
	require.Equal(t, Defaults().BaseEjection, first)
	require.Equal(t, 2*Defaults().BaseEjection, second)
	for range 300 {
		now = now.Add(100 * time.Millisecond)
		d.Report(now, "a", false)
	}
	require.Equal(t, first, fail(), "the streak ends after a window of successes")
}

func TestBinomialPolicy(t *testing.T) {
	b := DefaultPolicy()
	require.False(t, b.Eject(Counts{100, 0}, Counts{}))
	require.True(t, b.Eject(Counts{20, 20}, Counts{}), "no peers, all requests fail")
	require.False(t, b.Eject(Counts{100, 50}, Counts{400, 200}), "all targets fail equally")
	require.True(t, b.Eject(Counts{100, 50}, Counts{400, 4}))
	require.False(t, b.Eject(Counts{1000, 30}, Counts{4000, 4}), "significant, but below MinRate")
}
