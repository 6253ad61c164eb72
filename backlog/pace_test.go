package backlog

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestPaceFollowsTheTarget(t *testing.T) {
	p := NewPace(50*time.Millisecond, 4)
	require.Equal(t, 12500*time.Microsecond, p.Each())
	p.Done(60*time.Millisecond, 6, 4)
	require.Equal(t, 10*time.Millisecond, p.Each(), "the first observation replaces what was assumed")
	require.Equal(t, 60*time.Millisecond, p.Took())
	for range 40 {
		p.Done(30*time.Millisecond, 2, 4)
	}
	require.InDelta(t, 7.5e6, float64(p.Each()), 1e5, "a target with free slots could take more")
	require.InDelta(t, 30e6, float64(p.Took()), 1e6)
}
