package packetfront

import (
	"slices"
	"time"

	"github.com/poppywall/poppywall/fleet"
)

// Departed is a dead node that is to be taken out of the registry.
type Departed struct {
	Role fleet.Role
	fleet.Entry
}

// rosterPeriod is how often the keeper of the registry reads all of it, for
// entries of nodes that no living balancer has ever heard.
const rosterPeriod = 10 * time.Minute

// WantsRoster tells whether the whole registry is to be read. A balancer that has
// just started does not know yet who lives.
func (c *Core) WantsRoster(now time.Time) bool {
	if now.Sub(c.startedAt) < fleet.Forget || now.Before(c.nextRoster) || !c.view.Keeper(now, c.opts.Self) {
		return false
	}
	c.nextRoster = now.Add(rosterPeriod)
	return true
}

// Roster takes a reading of the whole registry; that of the balancers began at the given
// time.
func (c *Core) Roster(now, began time.Time, balancers []fleet.Entry, agents fleet.Survey) {
	balancers = slices.DeleteFunc(balancers, func(e fleet.Entry) bool { return e.IP == c.opts.Self })
	c.balancerRegistry.Take(began, balancers, c.view.KnowsBalancer)
	c.Surveyed(now, agents)
}

// departPause is the pause after a dead node could not be taken out of the registry:
// refused calls are priced, too.
const departPause = time.Second

// Departed returns the dead nodes that this balancer has to take out of the
// registry, each once.
func (c *Core) Departed(now time.Time) []Departed {
	if now.Before(c.nextDepart) {
		return nil
	}
	out := c.departed
	c.departed = nil
	return out
}

// NotDeparted takes back those that could not be taken out, for later.
func (c *Core) NotDeparted(now time.Time, list []Departed) {
	c.departed = append(c.departed, list...)
	c.nextDepart = now.Add(departPause)
}

// forget drops what was not heard for long, and lists it as departed where this
// balancer keeps the registry. One that hears fewer nodes than it would strike
// takes itself for cut off and strikes none.
func (c *Core) forget(now time.Time) {
	targets, balancers := c.view.Expire(now)
	c.digestAt = time.Time{}
	for _, e := range targets {
		c.events.TargetForgotten(e.IP)
		c.table.DropTarget(e.IP)
	}
	for _, e := range balancers {
		c.events.PeerChanged(e.IP, "forgotten")
	}
	targets = append(targets, c.proof.Strike(now)...)
	balancers = append(balancers, c.balancerRegistry.Strike(now, c.view.KnowsBalancer)...)
	if !c.view.Keeper(now, c.opts.Self) || len(targets)+len(balancers) > c.view.Heard(now) {
		return
	}
	for _, e := range targets {
		c.departed = append(c.departed, Departed{fleet.RoleAgent, e})
	}
	for _, e := range balancers {
		c.departed = append(c.departed, Departed{fleet.RoleBalancer, e})
	}
}
