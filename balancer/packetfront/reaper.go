package packetfront

import (
	"slices"
	"time"

	"github.com/poppywall/poppywall/fleet"
)

// DeadNode is a dead node whose registry entry should be removed.
type DeadNode struct {
	Role fleet.Role
	fleet.Entry
}

// auditPeriod is how often the registry reaper reads the whole registry, to find the entries of
// nodes that no running balancer has ever seen.
const auditPeriod = 10 * time.Minute

// AuditDue reports whether to read the whole registry now, and schedules the next audit if so. A
// balancer that has just started does not know yet which nodes are alive.
func (c *Core) AuditDue(now time.Time) bool {
	if now.Sub(c.startedAt) < fleet.ExpireAfter || now.Before(c.nextAudit) || !c.view.IsReaper(now, c.opts.Self) {
		return false
	}
	c.nextAudit = now.Add(auditPeriod)
	return true
}

// ApplyAudit applies a snapshot of the whole registry. start is when the read of the
// balancers' entries began.
func (c *Core) ApplyAudit(now, start time.Time, balancers []fleet.Entry, agents fleet.Snapshot) {
	balancers = slices.DeleteFunc(balancers, func(e fleet.Entry) bool { return e.IP == c.opts.Self })
	c.registeredBalancers.Update(start, balancers, c.view.HasBalancer)
	c.TakeSnapshot(now, agents)
}

// removalRetryPause is the pause after a failed removal from the registry: failed calls
// are billed too.
const removalRetryPause = time.Second

// DeadNodes removes and returns the queued dead nodes, which this balancer has to remove from the
// registry.
func (c *Core) DeadNodes(now time.Time) []DeadNode {
	if now.Before(c.nextRemoval) {
		return nil
	}
	out := c.deadNodes
	c.deadNodes = nil
	return out
}

// RemovalFailed queues dead nodes whose removal failed for another try.
func (c *Core) RemovalFailed(now time.Time, failed []DeadNode) {
	c.deadNodes = append(c.deadNodes, failed...)
	c.nextRemoval = now.Add(removalRetryPause)
}

// expireNodes drops the nodes that were not seen for fleet.ExpireAfter. If this balancer is
// the registry reaper, it also queues them for removal from the registry; if they outnumber the
// nodes that are alive, it assumes that it is itself partitioned and removes none.
func (c *Core) expireNodes(now time.Time) {
	targets, balancers := c.view.Expire(now)
	c.digestAt = time.Time{}
	for _, e := range targets {
		c.events.TargetExpired(e.IP)
		c.table.DropTarget(e.IP)
	}
	for _, e := range balancers {
		c.events.PeerChanged(e.IP, "expired")
	}
	targets = append(targets, c.proof.Purge(now)...)
	balancers = append(balancers, c.registeredBalancers.Purge(now, c.view.HasBalancer)...)
	if !c.view.IsReaper(now, c.opts.Self) || len(targets)+len(balancers) > c.view.AliveCount(now) {
		return
	}
	for _, e := range targets {
		c.deadNodes = append(c.deadNodes, DeadNode{fleet.RoleAgent, e})
	}
	for _, e := range balancers {
		c.deadNodes = append(c.deadNodes, DeadNode{fleet.RoleBalancer, e})
	}
}
