package fleet

import "time"

// Listing is the state of an agent's own registry entry as the agent knows it.
type Listing uint8

// The states of a registration.
const (
	// ListingUnknown: the entry may or may not exist.
	ListingUnknown Listing = iota
	// ListingThere: the store has the entry.
	ListingThere
	// ListingTakenAway: the entry was removed from the store.
	ListingTakenAway
	// ListingLeft: the agent stops for good because its target has ended, and leaves behind
	// an entry that it could not remove.
	ListingLeft
)

// List applies a snapshot of the agents' registry whose read began at the given time.
func (v *View) List(now, began time.Time, agents []Entry) {
	v.snapshotAt = began
	clear(v.registered)
	for _, e := range agents {
		v.registered[e.IP] = e.Epoch
	}
	for _, ip := range v.Targets() {
		t := v.targets[ip]
		couldHold := t.MayHold(now)
		t.Listed = v.isRegistered(t)
		if t.MayHold(now) && !couldHold {
			v.markMayHold(t)
		}
	}
}

// isRegistered reports whether the last snapshot contains the target's agent. An entry that
// the agent reported as removed after the read began is outdated and does not count.
func (v *View) isRegistered(t *Target) bool {
	_, listed := v.registered[t.IP]
	return listed && !(t.Listing == ListingTakenAway && !t.ListingAt.Before(v.snapshotAt))
}

// MayLive reports whether a target that last announced that it holds no flows, and that
// cannot be asked, may have started again since: the registry has an entry for it, and not
// one that the announcing process itself left behind.
func (v *View) MayLive(t *Target) bool {
	return t.Listed && !(t.Listing == ListingLeft && v.registered[t.IP] == t.Epoch)
}

// EntryOf returns the registry entry that an agent has left behind.
func (v *View) EntryOf(t *Target) Entry {
	if incarnation, listed := v.registered[t.IP]; listed {
		return Entry{IP: t.IP, Epoch: incarnation}
	}
	return Entry{IP: t.IP, Epoch: t.Epoch}
}
