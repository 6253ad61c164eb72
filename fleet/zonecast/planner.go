package zonecast

import (
	"time"

	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
)

// Planner plans the rounds of a node. It is not safe for concurrent use.
type Planner struct {
	// Self and Zone are the address and the zone of the node.
	Self flow.IPv4
	Zone flow.Tag
	// From is the minimum number of a zone's balancers for the use of relays.
	From int
	// Within is the maximum time since a message was received from a balancer that is used
	// as a relay.
	Within time.Duration
	// Report is called for each zone that is reached through relays from now on, or directly
	// again.
	Report func(zone flow.Tag, balancers int, relayed bool)

	round        int
	relayedZones map[flow.Tag]int
}

// Begin starts the next round and returns its number.
func (p *Planner) Begin() int {
	p.round++
	return p.round
}

// Plan plans how the current round reaches the balancers of other zones that are in view.
func (p *Planner) Plan(now time.Time, view *fleet.View) Plan {
	known, recent := view.FarBalancers(now, p.Zone, p.Within)
	plan := NewPlan(known, recent, p.From, p.Self, RotationNumber(now, p.Self), p.round)
	plan.ReportChanges(p.relayedZones, recent, p.Report)
	p.relayedZones = plan.RelayedZones
	return plan
}

// Relays reports whether the last planned round reached a zone through relays.
func (p *Planner) Relays(zone flow.Tag) bool {
	_, relayed := p.relayedZones[zone]
	return relayed
}
