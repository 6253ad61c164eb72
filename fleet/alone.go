package fleet

import "time"

// aloneTime is how long a node may know no other one before it reads the
// registry, again after each such time.
const aloneTime = 1500 * time.Millisecond

// Alone notes since when a node knows no other one.
type Alone struct{ since time.Time }

// Due tells whether the registry is to be read, given whether the node is alone
// now.
func (a *Alone) Due(now time.Time, alone bool) bool {
	if !alone {
		a.since = time.Time{}
		return false
	}
	if a.since.IsZero() {
		a.since = now
	}
	if now.Sub(a.since) <= aloneTime {
		return false
	}
	a.since = now
	return true
}
