package packetfront

import (
	"slices"
	"time"

	"github.com/poppywall/poppywall/balancer/search"
	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
)

// snapshotRetryDelay is how long a balancer that failed to return a registry snapshot is not
// asked again.
const snapshotRetryDelay = 5 * time.Second

// snapshotSources tracks where snapshots of the agents' registry can be fetched.
type snapshotSources struct {
	// checkedTargets is set once NeedsTargets has decided whether the registry is read for
	// the first targets.
	checkedTargets bool
	// avoidUntil maps balancers that failed to return a snapshot to the time from which they
	// may be asked again.
	avoidUntil map[flow.IPv4]time.Time
}

// NeedsTargets reports, at most once, whether the first targets have to be read from the
// registry: if the balancer knows none search.BufferRetryInterval after its start, no node that
// it can reach knows any yet.
func (c *Core) NeedsTargets(now time.Time) bool {
	if c.snapshots.checkedTargets || now.Sub(c.startedAt) < search.BufferRetryInterval {
		return false
	}
	c.snapshots.checkedTargets = true
	return c.view.TargetCount() == 0
}

// MustRegister reports whether this balancer needs a registry entry, through which nodes that
// know no other node find it. It needs one if it is among the first balancers of its zone, once
// it has had time to discover them, or if it knows no other balancer.
func (c *Core) MustRegister(now time.Time) bool {
	age := now.Sub(c.startedAt)
	if c.view.BalancerCount() == 0 {
		return age >= search.FreshTime
	}
	return age >= search.SettleTime && c.view.ShouldRegister(now, c.opts.Self, c.opts.Zone)
}

// SnapshotSources returns whether a snapshot of the agents' registry is due, and the balancers to
// ask for one before the store is read: the feeders of the zone. A feeder asks only those with
// lower addresses, so that the first feeder of a zone reads for all.
func (c *Core) SnapshotSources(now time.Time) (ask []flow.IPv4, due bool) {
	if !c.proof.TryBeginSnapshot(now) {
		return nil, false
	}
	feeds := c.operator.MustFeed(now)
	ask = slices.DeleteFunc(c.view.ZoneFeeders(now, c.opts.Zone), func(ip flow.IPv4) bool {
		return now.Before(c.snapshots.avoidUntil[ip]) || (feeds && ip > c.opts.Self)
	})
	return ask[:min(len(ask), fleet.FeedersPerZone)], true
}

// SnapshotFailed records that a balancer failed to return a snapshot.
func (c *Core) SnapshotFailed(now time.Time, from flow.IPv4) {
	for ip, until := range c.snapshots.avoidUntil {
		if !now.Before(until) {
			delete(c.snapshots.avoidUntil, ip)
		}
	}
	c.snapshots.avoidUntil[from] = now.Add(snapshotRetryDelay)
}

// SnapshotPending records that a balancer that was asked is still reading the registry.
func (c *Core) SnapshotPending() { c.proof.SnapshotPending() }

// TakeSnapshot applies a snapshot of the agents' registry, unless it is older than the last one,
// and retries the flows that all targets have denied.
func (c *Core) TakeSnapshot(now time.Time, s fleet.Snapshot) {
	if !c.proof.ApplySnapshot(now, s) {
		return
	}
	c.Contact(now, nil, fleet.Addresses(s.Agents))
	c.finder.RetryDenied(now)
}
