package packetfront

import (
	"slices"
	"time"

	"github.com/poppywall/poppywall/fleet"
)

// DeadNode is a dead node that is to be taken out of the registry.
type DeadNode struct {
	Role fleet.Role
	fleet.Entry
}

// auditPeriod is how often the keeper of the registry reads all of it, for
// entries of nodes that no living balancer has ever heard.
const auditPeriod = 10 * time.Minute

// AuditDue tells whether the whole registry is to be read. A balancer that has
// just started does not know yet who lives.
func (c *Core) AuditDue(now time.Time) bool {
	if now.Sub(c.startedAt) < fleet.ExpireAfter || now.Before(c.nextAudit) || !c.view.IsReaper(now, c.opts.Self) {
		return false
	}
	c.nextAudit = now.Add(auditPeriod)
	return true
}

// Audited takes a reading of the whole registry; that of the balancers began at the given
// time.
func (c *Core) Audited(now, began time.Time, balancers []fleet.Entry, agents fleet.Snapshot) {
	balancers = slices.DeleteFunc(balancers, func(e fleet.Entry) bool { return e.IP == c.opts.Self })
	c.registeredBalancers.Update(began, balancers, c.view.HasBalancer)
	c.TakeSnapshot(now, agents)
}

// removalRetryPause is the pause after a dead node could not be taken out of the registry:
// refused calls are priced, too.
const removalRetryPause = time.Second

// DeadNodes returns the dead nodes that this balancer has to take out of the
// registry, each once.
func (c *Core) DeadNodes(now time.Time) []DeadNode {
	if now.Before(c.nextRemoval) {
		return nil
	}
	out := c.deadNodes
	c.deadNodes = nil
	return out
}

// RemovalFailed takes back those that could not be taken out, for later.
func (c *Core) RemovalFailed(now time.Time, list []DeadNode) {
	c.deadNodes = append(c.deadNodes, list...)
	c.nextRemoval = now.Add(removalRetryPause)
}

// expireNodes drops what was not heard for long, and lists it as departed where this
// balancer keeps the registry. One that hears fewer nodes than it would strike
// takes itself for cut off and strikes none.
func (c *Core) expireNodes(now time.Time) {
	targets, balancers := c.view.Expire(now)
	c.digestAt = time.Time{}
	for _, e := range targets {
		c.events.TargetForgotten(e.IP)
		c.table.DropTarget(e.IP)
	}
	for _, e := range balancers {
		c.events.PeerChanged(e.IP, "forgotten")
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
