package packetfront

import (
	"time"

	"github.com/poppywall/poppywall/balancer/operator"
	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
)

// mergeEvacuations takes over what another node acts on.
func (c *Core) mergeEvacuations(now time.Time, next flow.Evacuations, from flow.IPv4) {
	c.operator.SetEvacuations(now, next, operator.Origin(from))
}

// handleEvacuated takes the message of an agent that knows of later evacuations.
func (c *Core) handleEvacuated(now time.Time, from flow.IPv4, datagram []byte) error {
	next, err := fleet.DecodeEvacuations(datagram)
	if err == nil {
		c.mergeEvacuations(now, next, from)
	}
	return err
}

// acceptsFlows tells whether a target may get new flows: it is ready, and its zone is not
// emptied.
func (c *Core) acceptsFlows(h *fleet.Target) bool {
	return h.State == fleet.Ready && !c.operator.Evacuated(h.Zone)
}

// refusal tells why no target of a service may get a new flow, empty where none is known
// that is ready.
func (c *Core) refusal(service flow.Tag) string {
	reason := ""
	for _, h := range c.view.TargetsOf(service) {
		switch {
		case c.acceptsFlows(h):
			return "targets of the service cold"
		case h.State == fleet.Ready:
			reason = "zones of the service emptied"
		}
	}
	return reason
}
