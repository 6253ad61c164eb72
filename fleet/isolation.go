package fleet

import "time"

// isolationTimeout is how long a node stays without any known node before it reads the
// registry, and the interval between further reads.
const isolationTimeout = 1500 * time.Millisecond

// IsolationTimer measures how long a node has known no other node.
type IsolationTimer struct{ since time.Time }

// Due reports whether to read the registry now. alone states whether the node currently knows no
// other node.
func (t *IsolationTimer) Due(now time.Time, alone bool) bool {
	if !alone {
		t.since = time.Time{}
		return false
	}
	if t.since.IsZero() {
		t.since = now
	}
	if now.Sub(t.since) <= isolationTimeout {
		return false
	}
	t.since = now
	return true
}
