package backlog

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestPaceFollowsTheTarget(t *testing.T) {
	p := NewPace(50*time.Millisecond, 4)
	require.Equal(t, 12500*time.Microsecond, p.Each())
	whole := func(took time.Duration, among int) { p.Done(Served{Took: took, Work: took, Among: among}, 4) }
	whole(60*time.Millisecond, 6)
	require.Equal(t, 10*time.Millisecond, p.Each(), "the first observation replaces what was assumed")
	require.Equal(t, 60*time.Millisecond, p.Took())
	for range 40 {
		whole(30*time.Millisecond, 2)
	}
	require.InDelta(t, 7.5e6, float64(p.Each()), 1e5, "a target with free slots could take more")
	require.InDelta(t, 30e6, float64(p.Took()), 1e6)
	require.Equal(t, 1.0, p.Share())
}

// TestBodiesOnTheirWayAreNoWork: of 20 uploads that a target has, each 5 ms of work after
// 95 ms on its way, it works on one.
func TestBodiesOnTheirWayAreNoWork(t *testing.T) {
	p := NewPace(50*time.Millisecond, 4)
	for range 400 {
		p.Done(Served{Took: 100 * time.Millisecond, Work: 5 * time.Millisecond, Among: 20}, 4)
	}
	require.InDelta(t, leastShare, p.Share(), 0.001, "a twentieth, but for the bound")
	require.InDelta(t, 1.25e6, float64(p.Each()), 1e4, "its slots bound it")
	require.InDelta(t, 100e6, float64(p.Took()), 1e5)
	require.Equal(t, 1.0, Pace{}.Share())
}
