package packetfront

import (
	"time"

	"github.com/poppywall/poppywall/fleet"
)

// presenceHoldTime is how long a target has to be away before its agent's entry in the
// registry goes if it was there for less: one that goes down and up by turns costs
// no writes. The end of any other target is told at once, for balancers that start
// just then wait for every agent on the list.
const presenceHoldTime = 2 * time.Second

// TargetEnded tells whether the target has ended for certain, so that no flow can be
// open here.
func (c *Core) TargetEnded() bool { return !c.target.deregisteredAt.IsZero() || c.target.absent() }

// RemovesEntry tells whether the agent, which is about to stop, has to take its entry out
// of the registry: its target has ended.
func (c *Core) RemovesEntry() bool {
	if !c.TargetEnded() || c.registration == fleet.RegistrationRemoved {
		return false
	}
	c.wantedPresence = fleet.EntryAbsent
	return true
}

// Presence tells what the agent's entry in the registry is to show: it is there
// while the target may live.
func (c *Core) Presence(now time.Time) fleet.EntryState {
	h, wanted := &c.target, fleet.EntryUnchanged
	switch {
	case h.up && h.deregisteredAt.IsZero():
		wanted = fleet.EntryPresent
	case h.absent() && h.staysAway(now):
		wanted = fleet.EntryAbsent
	}
	if wanted != fleet.EntryUnchanged && wanted != c.wantedPresence {
		// Until the store has answered its answer may be either.
		c.wantedPresence, c.registration = wanted, fleet.RegistrationUnknown
	}
	return wanted
}

// staysAway tells whether a target that has ended is not expected back at once: it
// has said farewell, was there for long before, or has been away for long. One that
// this process has never seen may be about to start; until then the agent answers
// for it.
func (h *target) staysAway(now time.Time) bool {
	steady := !h.upSince.IsZero() && h.downSince.Sub(h.upSince) > presenceHoldTime
	return !h.deregisteredAt.IsZero() || steady || now.Sub(h.downSince) > presenceHoldTime
}
