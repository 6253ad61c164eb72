package packetfront

import (
	"time"

	"github.com/poppywall/poppywall/fleet"
)

// endedTime is how long a host has to be away before its agent's entry in the
// registry goes if it was there for less: one that goes down and up by turns costs
// no writes. The end of any other host is told at once, for balancers that start
// just then wait for every agent on the list.
const endedTime = 2 * time.Second

// startTime is how long after its own start an agent waits for a host that does not
// listen before it takes the entry of an earlier process away: VMs start their agent
// and their host within a tenth of a second of each other.
const startTime = 300 * time.Millisecond

// HostEnded tells whether the host has ended for certain, so that no flow can be
// open here.
func (c *Core) HostEnded() bool { return !c.host.left.IsZero() || c.host.holdsNothing() }

// TakesLeave tells whether the agent, which is about to stop, has to take its entry out
// of the registry: its host has ended.
func (c *Core) TakesLeave() bool {
	if !c.HostEnded() || c.listing == fleet.ListingTakenAway {
		return false
	}
	c.wanted = fleet.PresenceEnded
	return true
}

// Presence tells what the agent's entry in the registry is to show: it is there
// while the host may live.
func (c *Core) Presence(now time.Time) fleet.Presence {
	h, wanted := &c.host, fleet.PresenceUnknown
	switch {
	case h.up && h.left.IsZero():
		wanted = fleet.PresenceHere
	case h.holdsNothing() && h.stayedAway(now):
		wanted = fleet.PresenceEnded
	}
	if wanted != fleet.PresenceUnknown && wanted != c.wanted {
		// Until the store has answered its answer may be either.
		c.wanted, c.listing = wanted, fleet.ListingUnknown
	}
	return wanted
}

// stayedAway tells whether a host that has ended is not expected back at once: it
// has said farewell, was there for long before, or has been away for long. One that
// this process has never seen may be about to start.
func (h *host) stayedAway(now time.Time) bool {
	away := now.Sub(h.downSince)
	if h.upSince.IsZero() {
		return away > startTime
	}
	return !h.left.IsZero() || h.downSince.Sub(h.upSince) > endedTime || away > endedTime
}
