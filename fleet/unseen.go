package fleet

import (
	"slices"
	"time"

	"github.com/poppywall/poppywall/flow"
)

// UnseenTracker holds the last registry snapshot of one role, and tracks since when each
// node in it has not been seen.
type UnseenTracker struct {
	entries     []Entry
	unseenSince map[flow.IPv4]time.Time
}

// Update replaces the snapshot by a newer one. seen reports whether a node has been seen. A node
// that was already tracked as unseen keeps its time.
func (t *UnseenTracker) Update(now time.Time, entries []Entry, seen func(flow.IPv4) bool) {
	unseen := map[flow.IPv4]time.Time{}
	for _, e := range entries {
		if seen(e.IP) {
			continue
		}
		since, before := t.unseenSince[e.IP]
		if !before {
			since = now
		}
		unseen[e.IP] = since
	}
	t.entries, t.unseenSince = entries, unseen
}

// Missing returns a node that has been unseen for less than the timeout; after that a node counts
// as gone.
func (t *UnseenTracker) Missing(now time.Time, timeout time.Duration, seen func(flow.IPv4) bool) (flow.IPv4, bool) {
	for _, e := range t.entries {
		since, unseen := t.unseenSince[e.IP]
		if unseen && !seen(e.IP) && now.Sub(since) < timeout {
			return e.IP, true
		}
	}
	return 0, false
}

// Purge removes the entries of nodes that have been unseen for longer than ExpireAfter, and returns
// them.
func (t *UnseenTracker) Purge(now time.Time, seen func(flow.IPv4) bool) []Entry {
	var dead []Entry
	t.entries = slices.DeleteFunc(t.entries, func(e Entry) bool {
		since, unseen := t.unseenSince[e.IP]
		if !unseen || seen(e.IP) || now.Sub(since) <= ExpireAfter {
			return false
		}
		dead = append(dead, e)
		return true
	})
	return dead
}
