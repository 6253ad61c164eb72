package packetfront

import (
	"slices"
	"time"

	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
)

// roll is what the registry lists of one role, and since when each node on it
// has not been heard here.
type roll struct {
	entries []fleet.Entry
	unheard map[flow.IPv4]time.Time
}

// take replaces the list by a newer reading; heard tells which nodes need not be
// waited for. One that was unheard before stays so since then.
func (r *roll) take(now time.Time, entries []fleet.Entry, heard func(flow.IPv4) bool) {
	unheard := map[flow.IPv4]time.Time{}
	for _, e := range entries {
		if heard(e.IP) {
			continue
		}
		since, before := r.unheard[e.IP]
		if !before {
			since = now
		}
		unheard[e.IP] = since
	}
	r.entries, r.unheard = entries, unheard
}

// missing returns a node that was not heard, though not for so long that it
// counts as gone.
func (r *roll) missing(now time.Time, heard func(flow.IPv4) bool) (flow.IPv4, bool) {
	for _, e := range r.entries {
		since, unheard := r.unheard[e.IP]
		if unheard && !heard(e.IP) && now.Sub(since) < absentTime {
			return e.IP, true
		}
	}
	return 0, false
}

// strike takes those off that were not heard for longer than a node is
// remembered, and returns them.
func (r *roll) strike(now time.Time, heard func(flow.IPv4) bool) []fleet.Entry {
	var dead []fleet.Entry
	r.entries = slices.DeleteFunc(r.entries, func(e fleet.Entry) bool {
		since, unheard := r.unheard[e.IP]
		if !unheard || heard(e.IP) || now.Sub(since) <= fleet.Forget {
			return false
		}
		dead = append(dead, e)
		return true
	})
	return dead
}

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

// Roster takes a reading of the whole registry that began at the given time.
func (c *Core) Roster(now, began time.Time, balancers, agents []fleet.Entry) {
	balancers = slices.DeleteFunc(balancers, func(e fleet.Entry) bool { return e.IP == c.opts.Self })
	c.balancerRoll.take(began, balancers, c.view.KnowsBalancer)
	c.Surveyed(now, began, agents)
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
		c.table.dropTarget(e.IP)
	}
	for _, e := range balancers {
		c.events.PeerChanged(e.IP, "forgotten")
	}
	targets = append(targets, c.survey.strike(now, c.view.KnowsTarget)...)
	balancers = append(balancers, c.balancerRoll.strike(now, c.view.KnowsBalancer)...)
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
