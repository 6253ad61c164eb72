package packetfront

import (
	"time"

	"github.com/poppywall/poppywall/fleet"
)

// entryHoldTime is how long a target that was up for no longer than this has to be down
// before its agent's registry entry is removed, so that a flapping target causes no
// writes. The entry of any other target is removed at once, because balancers that start
// wait for every agent in the registry.
const entryHoldTime = 2 * time.Second

// TargetEnded reports whether the target has deregistered or is known to have ended.
func (c *Core) TargetEnded() bool { return !c.target.deregisteredAt.IsZero() || c.target.ended }

// TargetStateCertain reports whether it is certain that a target runs here, or that none does.
func (c *Core) TargetStateCertain() bool {
	t := &c.target
	return t.ended || (t.up && t.deregisteredAt.IsZero())
}

// MustRemoveEntry reports whether the agent, which is about to stop, has to remove its registry
// entry because its target has ended.
func (c *Core) MustRemoveEntry() bool {
	if !c.TargetEnded() || c.registration == fleet.RegistrationRemoved {
		return false
	}
	c.wantedEntryState = fleet.EntryAbsent
	return true
}

// WantedEntryState returns the desired state of the agent's registry entry, which is present as
// long as the target may be up.
func (c *Core) WantedEntryState(now time.Time) fleet.EntryState {
	t, wanted := &c.target, fleet.EntryUnchanged
	switch {
	case t.up && t.deregisteredAt.IsZero():
		wanted = fleet.EntryPresent
	case t.ended && t.staysDown(now):
		wanted = fleet.EntryAbsent
	}
	if wanted != fleet.EntryUnchanged && wanted != c.wantedEntryState {
		// The state of the entry is unknown until the store has answered.
		c.wantedEntryState, c.registration = wanted, fleet.RegistrationUnknown
	}
	return wanted
}

// staysDown reports whether a target that has ended is not expected back at once: it has
// deregistered, or was up or has been down for longer than entryHoldTime. A target that
// this process has never seen may be about to start; its entry stays unchanged for
// entryHoldTime.
func (t *target) staysDown(now time.Time) bool {
	wasLongUp := !t.upSince.IsZero() && t.downSince.Sub(t.upSince) > entryHoldTime
	return !t.deregisteredAt.IsZero() || wasLongUp || now.Sub(t.downSince) > entryHoldTime
}
