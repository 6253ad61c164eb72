package fleet

import "time"

// isolationTimeout is how long a node stays without any known node before it reads the
// registry, and the interval between further reads.
const isolationTimeout = 1500 * time.Millisecond

// IsolationTimer measures how long a node has known no other node.
type IsolationTimer struct{ since time.Time }

// Due reports whether the registry is to be read now. The argument alone states whether
// the node currently knows no other node.
func (a *IsolationTimer) Due(now time.Time, alone bool) bool {
	if !alone {
		a.since = time.Time{}
		return false
	}
	if a.since.IsZero() {
		a.since = now
	}
	if now.Sub(a.since) <= isolationTimeout {
		return false
	}
	a.since = now
	return true
}
