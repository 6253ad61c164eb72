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
	// RelayThreshold is the minimum number of a zone's balancers for the use of relays.
	RelayThreshold int
	// RecentWithin is the maximum time since a message was received from a balancer that is used
	// as a relay.
	RecentWithin time.Duration
	// OnChange is called for each zone that is reached through relays from now on, or directly
	// again.
	OnChange func(zone flow.Tag, balancers int, relayed bool)

	round        int
	relayedZones map[flow.Tag]int
}

// StartRound starts the next round and returns its number.
func (p *Planner) StartRound() int {
	p.round++
	return p.round
}

// Plan plans how the current round reaches the balancers of other zones that are in view.
func (p *Planner) Plan(now time.Time, view *fleet.View) Plan {
	known, recent := view.CrossZoneBalancers(now, p.Zone, p.RecentWithin)
	plan := NewPlan(known, recent, p.RelayThreshold, p.Self, RotationNumber(now, p.Self), p.round)
	plan.ReportChanges(p.relayedZones, recent, p.OnChange)
	p.relayedZones = plan.RelayedZones
	return plan
}

// UsesRelays reports whether the last planned round reached a zone through relays.
func (p *Planner) UsesRelays(zone flow.Tag) bool {
	_, relayed := p.relayedZones[zone]
	return relayed
}
