package packetfront

import (
	"time"

	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
)

// fromStore is who has told what came from the store.
const fromStore = "store"

// Evacuations returns the emptied zones that the balancer acts on.
func (c *Core) Evacuations() flow.Evacuations { return c.evacuations }

// SetEvacuations takes over the emptied zones that the store has. Where they have
// changed everybody whom it concerns hears of it at once: other balancers from each
// that has the news, the agents of the zones from the balancers that watch the store.
// All others hear it with the next beacons.
func (c *Core) SetEvacuations(now time.Time, next flow.Evacuations) {
	former := c.evacuations
	if !c.evacuate(next, fromStore) {
		return
	}
	c.sendBeacons(now, c.view.Balancers())
	for _, ip := range c.view.Targets() {
		if h, _ := c.view.Target(ip); next.Has(h.Zone) != former.Has(h.Zone) {
			c.sendBeacon(now, ip, fleet.Beacon{})
		}
	}
}

// hearEvacuations takes over what another node acts on.
func (c *Core) hearEvacuations(now time.Time, next flow.Evacuations, from flow.IPv4) {
	if c.evacuate(next, from.String()) {
		c.sendBeacons(now, c.view.Balancers())
	}
}

// evacuate puts evacuations in force unless they are older than the present ones,
// and tells whether other zones are emptied from now on.
func (c *Core) evacuate(next flow.Evacuations, from string) bool {
	if !next.Newer(c.evacuations) {
		return false
	}
	former := c.evacuations
	c.evacuations = next
	if next.Same(former) {
		return false
	}
	c.events.EvacuationsChanged(next, former, from)
	return true
}

// handleEvacuated takes the message of an agent that knows of later evacuations.
func (c *Core) handleEvacuated(now time.Time, from flow.IPv4, datagram []byte) error {
	next, err := fleet.DecodeEvacuations(datagram)
	if err == nil {
		c.hearEvacuations(now, next, from)
	}
	return err
}

// takesNew tells whether a target may get new flows: it is ready, and its zone is not
// emptied.
func (c *Core) takesNew(h *fleet.Target) bool {
	return h.State == fleet.Ready && !c.evacuations.Has(h.Zone)
}

// refusal tells why no target of a service may get a new flow, empty where none is known
// that is ready.
func (c *Core) refusal(service flow.Tag) string {
	reason := ""
	for _, h := range c.view.Service(service) {
		switch {
		case c.takesNew(h):
			return "targets of the service cold"
		case h.State == fleet.Ready:
			reason = "zones of the service emptied"
		}
	}
	return reason
}
