package backlog

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestAKindAboveItsPartHasNoLongerObjective than others: of two kinds that ask, writes had
// three of four requests, then one of four.
func TestAKindAboveItsPartHasNoLongerObjective(t *testing.T) {
	const read, write, other = 2, 1, 3
	var p Parts
	ask := func(after, span time.Duration, reads, writes int) {
		for at := after; at < after+span; at += 40 * time.Millisecond {
			p.Asked(start.Add(at), read, 200*time.Millisecond)
			p.Asked(start.Add(at), write, 250*time.Millisecond)
			for range reads {
				p.Taken(start.Add(at), read)
			}
			for range writes {
				p.Taken(start.Add(at), write)
			}
		}
	}
	require.Equal(t, 250*time.Millisecond, p.Objective(start, write, 250*time.Millisecond), "nothing is known")
	ask(0, 2*time.Second, 1, 3)
	now := start.Add(2 * time.Second)
	require.Equal(t, 200*time.Millisecond, p.Objective(now, write, 250*time.Millisecond))
	require.Equal(t, 200*time.Millisecond, p.Objective(now, read, 200*time.Millisecond))
	require.Equal(t, 90*time.Millisecond, p.Objective(now, other, 90*time.Millisecond), "a kind that has not asked")
	ask(2*time.Second, 3*time.Second, 3, 1)
	now = start.Add(5 * time.Second)
	require.Equal(t, 250*time.Millisecond, p.Objective(now, write, 250*time.Millisecond))
	for at := 5 * time.Second; at < 12*time.Second; at += 40 * time.Millisecond {
		p.Asked(start.Add(at), write, 250*time.Millisecond)
		p.Taken(start.Add(at), write)
	}
	require.Equal(t, 250*time.Millisecond, p.Objective(start.Add(12*time.Second), write, 250*time.Millisecond), "nobody else asks")
}
