package zonecast

import (
	"time"

	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
)

// Planner plans a node's rounds. It is not safe for concurrent use.
type Planner struct {
	// Self and Zone are the node's.
	Self flow.IPv4
	Zone flow.Tag
	// From is the number of a zone's balancers from which on it is told through relays.
	From int
	// Within is how lately a balancer was heard that is asked to relay messages.
	Within time.Duration
	// Report hears of zones that are told through relays from now on, or directly again.
	Report func(zone flow.Tag, balancers int, relayed bool)

	rounds  int
	relayed map[flow.Tag]int
}

// Begin begins the next round and returns its number.
func (p *Planner) Begin() int {
	p.rounds++
	return p.rounds
}

// Plan returns how the present round reaches the balancers of other zones that a view
// knows.
func (p *Planner) Plan(now time.Time, view *fleet.View) Plan {
	known, recent := view.FarBalancers(now, p.Zone, p.Within)
	plan := Make(known, recent, p.From, p.Self, Slot(now, p.Self), p.rounds)
	plan.Changes(p.relayed, recent, p.Report)
	p.relayed = plan.Relayed
	return plan
}

// Relays tells whether a zone was told through relays in the last round.
func (p *Planner) Relays(zone flow.Tag) bool {
	_, relayed := p.relayed[zone]
	return relayed
}
