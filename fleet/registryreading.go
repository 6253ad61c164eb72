package fleet

import (
	"slices"
	"time"

	"github.com/poppywall/poppywall/flow"
)

// RegistryReading is the last reading of the registry for one role, and since when each node in it
// has not been heard here.
type RegistryReading struct {
	entries []Entry
	unheard map[flow.IPv4]time.Time
}

// Take replaces the list by a newer reading; heard tells which nodes need not be
// waited for. One that was unheard before stays so since then.
func (r *RegistryReading) Take(now time.Time, entries []Entry, heard func(flow.IPv4) bool) {
	unheard := map[flow.IPv4]time.Time{}
	for _, e := range entries {
		if heard(e.IP) {
			continue
		}
		since, before := r.unheard[e.IP]
		if !before {
			since = now
		}
		unheard[e.IP] = since
	}
	r.entries, r.unheard = entries, unheard
}

// Missing returns a node that was not heard, though not for so long that it
// counts as gone.
func (r *RegistryReading) Missing(now time.Time, gone time.Duration, heard func(flow.IPv4) bool) (flow.IPv4, bool) {
	for _, e := range r.entries {
		since, unheard := r.unheard[e.IP]
		if unheard && !heard(e.IP) && now.Sub(since) < gone {
			return e.IP, true
		}
	}
	return 0, false
}

// Strike takes those off that were not heard for longer than a node is
// remembered, and returns them.
func (r *RegistryReading) Strike(now time.Time, heard func(flow.IPv4) bool) []Entry {
	var dead []Entry
	r.entries = slices.DeleteFunc(r.entries, func(e Entry) bool {
		since, unheard := r.unheard[e.IP]
		if !unheard || heard(e.IP) || now.Sub(since) <= Forget {
			return false
		}
		dead = append(dead, e)
		return true
	})
	return dead
}
