package packetfront

import (
	"time"

	"github.com/poppywall/poppywall/balancer/operator"
	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
)

// adoptEvacuations puts the evacuations of another node in force if they are newer.
func (c *Core) adoptEvacuations(now time.Time, next flow.Evacuations, from flow.IPv4) {
	c.operator.SetEvacuations(now, next, operator.Origin(from))
}

// handleEvacuated handles an agent's message with evacuations newer than this balancer's.
func (c *Core) handleEvacuated(now time.Time, from flow.IPv4, datagram []byte) error {
	next, err := fleet.DecodeEvacuations(datagram)
	if err == nil {
		c.adoptEvacuations(now, next, from)
	}
	return err
}

// acceptsFlows reports whether a target may get new flows: it is ready, and its zone is not
// evacuated.
func (c *Core) acceptsFlows(t *fleet.Target) bool {
	return t.State == fleet.Ready && !c.operator.Evacuated(t.Zone)
}

// refusalReason returns why no target of a service may get a new flow, or an empty string if no
// target is ready. The reason is "targets of the service cold" for all targets that accept flows
// but are not candidates, also if they are ejected or in a silent zone.
func (c *Core) refusalReason(service flow.ServiceID) string {
	reason := ""
	for _, t := range c.view.TargetsOf(service) {
		switch {
		case c.acceptsFlows(t):
			return "targets of the service cold"
		case t.State == fleet.Ready:
			reason = "zones of the service emptied"
		}
	}
	return reason
}
