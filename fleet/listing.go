package fleet

import "time"

// Listing is what an agent knows of its entry in the registry.
type Listing uint8

// The listings.
const (
	// ListingUnknown: it may be there or not.
	ListingUnknown Listing = iota
	// ListingThere: the store has it.
	ListingThere
	// ListingTakenAway: the store has none any more.
	ListingTakenAway
	// ListingLeft: the agent stops for good, for its target has ended, and has not got
	// its entry taken away.
	ListingLeft
)

// List takes a reading of the agents' registry that began at the given time.
func (v *View) List(now, began time.Time, agents []Entry) {
	v.listedAt = began
	clear(v.listed)
	for _, e := range agents {
		v.listed[e.IP] = e.Epoch
	}
	for _, ip := range v.Targets() {
		h := v.targets[ip]
		held := h.MayHold(now)
		h.Listed = v.lists(h)
		if h.MayHold(now) && !held {
			v.begin(h)
		}
	}
}

// lists tells whether the registry names a target's agent. An entry that the agent has
// got taken away after the reading began is an old one.
func (v *View) lists(h *Target) bool {
	_, listed := v.listed[h.IP]
	return listed && !(h.Listing == ListingTakenAway && !h.ListingAt.Before(v.listedAt))
}

// MayLive tells whether a target that said last that it holds nothing, and cannot be
// asked, may have started since: the registry lists it, with an entry that is not
// that of a process which has left it behind.
func (v *View) MayLive(h *Target) bool {
	return h.Listed && !(h.Listing == ListingLeft && v.listed[h.IP] == h.Epoch)
}

// EntryOf returns the entry that an agent has left behind.
func (v *View) EntryOf(h *Target) Entry {
	if epoch, listed := v.listed[h.IP]; listed {
		return Entry{IP: h.IP, Epoch: epoch}
	}
	return Entry{IP: h.IP, Epoch: h.Epoch}
}
