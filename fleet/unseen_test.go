package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poppywall/poppywall/flow"
)

// TestSnapshotReportsUnseenNodes: a node is missing from the first snapshot that contains it
// unseen until it is seen or counts as gone.
func TestSnapshotReportsUnseenNodes(t *testing.T) {
	const gone = 4 * time.Second
	begin := time.Unix(1, 0)
	entries := []Entry{{IP: 1}, {IP: 2}}
	for name, c := range map[string]struct {
		// seenAtFirst are the nodes seen when the snapshots are taken, seen those seen at the
		// time of the check.
		seenAtFirst, seen []flow.IPv4
		// again is when a second snapshot is taken, zero for never.
		again, after time.Duration
		missing      flow.IPv4
		removed      int
	}{
		"all seen":                                 {seenAtFirst: []flow.IPv4{1, 2}, missing: 0},
		"one unseen":                               {seenAtFirst: []flow.IPv4{1}, missing: 2},
		"seen since":                               {seenAtFirst: []flow.IPv4{1}, seen: []flow.IPv4{2}, missing: 0},
		"unseen for the timeout":                   {seenAtFirst: []flow.IPv4{1}, after: gone, missing: 0},
		"unseen for just less than the timeout":    {seenAtFirst: []flow.IPv4{1}, after: gone - 1, missing: 2},
		"second snapshot keeps the time":           {seenAtFirst: []flow.IPv4{1}, again: gone / 2, after: gone, missing: 0},
		"lost after it was seen":                   {seenAtFirst: []flow.IPv4{1, 2}, after: time.Hour, missing: 0},
		"unseen until it is removed":               {seenAtFirst: []flow.IPv4{1}, after: ExpireAfter + 1, missing: 0, removed: 1},
		"not unseen for long enough to be removed": {seenAtFirst: []flow.IPv4{1}, after: ExpireAfter, missing: 0},
		"seen late":                                {seenAtFirst: []flow.IPv4{1}, seen: []flow.IPv4{2}, after: ExpireAfter + 1, missing: 0},
	} {
		among := func(list []flow.IPv4) func(flow.IPv4) bool {
			return func(ip flow.IPv4) bool {
				for _, known := range list {
					if ip == known {
						return true
					}
				}
				return false
			}
		}
		var r UnseenTracker
		r.Update(begin, append([]Entry(nil), entries...), among(c.seenAtFirst))
		if c.again > 0 {
			r.Update(begin.Add(c.again), append([]Entry(nil), entries...), among(c.seenAtFirst))
		}
		now := begin.Add(c.after)
		ip, missing := r.Missing(now, gone, among(c.seen))
		require.Equal(t, c.missing, ip, name)
		require.Equal(t, c.missing != 0, missing, name)
		require.Len(t, r.Purge(now, among(c.seen)), c.removed, name)
		require.Empty(t, r.Purge(now, among(c.seen)), "%s: each entry is removed once", name)
	}
}
