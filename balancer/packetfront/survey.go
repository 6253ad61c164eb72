package packetfront

import (
	"slices"
	"time"

	"github.com/poppywall/poppywall/balancer/search"
	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
)

// avoidTime is how long a balancer is not asked for a reading of the registry after it has
// not given one.
const avoidTime = 5 * time.Second

// snapshotSources is where the readings of the agents' registry come from.
type snapshotSources struct {
	// searchedTargets is set once the balancer has looked for its first targets.
	searchedTargets bool
	// avoidUntil are balancers that have not given a reading, with when they may be asked
	// again.
	avoidUntil map[flow.IPv4]time.Time
}

// NeedsTargets tells, once, whether the registry is to name the balancer's first targets:
// where it has heard of none within a moment of its start, nobody that it can reach knows
// any yet.
func (c *Core) NeedsTargets(now time.Time) bool {
	if c.snapshots.searchedTargets || now.Sub(c.startedAt) < search.BufferRetryInterval {
		return false
	}
	c.snapshots.searchedTargets = true
	return c.view.TargetCount() == 0
}

// MustRegister tells whether the registry has to name this balancer: nodes that know nobody
// find the others there. It is among the first of its zone, once it has had the time to
// hear of them, or hears of no other one at all.
func (c *Core) MustRegister(now time.Time) bool {
	age := now.Sub(c.startedAt)
	if c.view.BalancerCount() == 0 {
		return age >= search.FreshTime
	}
	return age >= search.SettleTime && c.view.ShouldRegister(now, c.opts.Self, c.opts.Zone)
}

// SnapshotSources tells whether the registry of agents is to be read, and which balancers are to
// be asked for a reading before the store is: those of the zone that watch it, by one that
// does so itself only those before it. So the first one of a zone reads for all.
func (c *Core) SnapshotSources(now time.Time) (ask []flow.IPv4, due bool) {
	if !c.proof.WantsSnapshot(now) {
		return nil, false
	}
	feeds := c.operator.Feeds(now)
	ask = slices.DeleteFunc(c.view.ZoneFeeders(now, c.opts.Zone), func(ip flow.IPv4) bool {
		return now.Before(c.snapshots.avoidUntil[ip]) || (feeds && ip > c.opts.Self)
	})
	return ask[:min(len(ask), fleet.FeedersPerZone)], true
}

// SnapshotFailed notes that a balancer that was asked has not given a reading.
func (c *Core) SnapshotFailed(now time.Time, from flow.IPv4) {
	for ip, until := range c.snapshots.avoidUntil {
		if !now.Before(until) {
			delete(c.snapshots.avoidUntil, ip)
		}
	}
	c.snapshots.avoidUntil[from] = now.Add(avoidTime)
}

// SnapshotPending notes that a balancer that was asked is reading the registry.
func (c *Core) SnapshotPending() { c.proof.SnapshotPending() }

// TakeSnapshot takes a reading of the agents' registry. Flows that waited for it are looked at
// again.
func (c *Core) TakeSnapshot(now time.Time, s fleet.Snapshot) {
	if !c.proof.ApplySnapshot(now, s) {
		return
	}
	c.Contact(now, nil, fleet.Addresses(s.Agents))
	c.finder.RetryDenied(now)
}
