package packetfront

import (
	"time"

	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
)

const (
	// overloadStartShare is the share of a service's slots at overloaded targets above which the
	// service is overloaded: the other targets cannot take over their load.
	overloadStartShare = 0.5
	// overloadEndShare is the share at or below which the overload ends. It is lower than
	// overloadStartShare because the agents announce the end of their overload one after the
	// other.
	overloadEndShare = 0.1
	// overloadEndFreeShare is the share of slots that are free, at targets that are not
	// overloaded, at which the overload ends even if other targets are still overloaded.
	overloadEndFreeShare = 0.5
	// overloadMaxOpenAttempts replaces maxOpenAttempts for an overloaded service: further targets
	// are most likely full as well, and each attempt takes capacity from the requests in service.
	overloadMaxOpenAttempts = 2
	// overloadMaxAge is how long an evaluation is valid if no target of the service sends an
	// announcement meanwhile.
	overloadMaxAge = tickPeriod
)

// Overload is the load of a service as its targets last announced it.
type Overload struct {
	Service    string
	Overloaded bool
	// Slots is the number of slots of the targets that accept flows and are not overdue,
	// OverloadedSlots that of the overloaded ones among them, FreeSlots the number of free
	// slots at the others. Age is the age of the oldest of these targets' announcements.
	Slots, OverloadedSlots, FreeSlots int
	Age                               time.Duration
}

// aboveStart reports whether enough slots are overloaded for an overload to begin.
func (o *Overload) aboveStart() bool {
	return float64(o.OverloadedSlots) > overloadStartShare*float64(o.Slots)
}

// belowEnd reports whether few enough slots are overloaded, or enough are free, for an active
// overload to end.
func (o *Overload) belowEnd() bool {
	return float64(o.OverloadedSlots) <= overloadEndShare*float64(o.Slots) || float64(o.FreeSlots) >= overloadEndFreeShare*float64(o.Slots)
}

// serviceLoad is the load of one service and when it was last evaluated and used.
type serviceLoad struct {
	Overload
	// updatedAt is when the overload was last evaluated; zero if a target of the service has
	// sent an announcement since.
	updatedAt time.Time
	// usedAt is when a SYN to the service last came.
	usedAt time.Time
}

// serviceLoads are the loads of the services that were used recently or are overloaded.
type serviceLoads map[flow.ServiceID]*serviceLoad

// serviceLoad returns the current load of a flow's service.
func (c *Core) serviceLoad(now time.Time, backend flow.WeightedService) *serviceLoad {
	l, known := c.loads[backend.ID]
	if !known {
		l = &serviceLoad{Overload: Overload{Service: backend.Name}}
		c.loads[backend.ID] = l
	}
	l.usedAt = now
	c.updateOverload(now, backend.ID, l)
	return l
}

// updateOverload evaluates whether a service is overloaded, unless the last evaluation is still
// valid.
func (c *Core) updateOverload(now time.Time, service flow.ServiceID, l *serviceLoad) {
	if !l.updatedAt.IsZero() && now.Sub(l.updatedAt) < overloadMaxAge {
		return
	}
	l.updatedAt = now
	wasOverloaded := l.Overloaded
	l.aggregate(now, c, service)
	if l.Overloaded == wasOverloaded {
		return
	}
	c.events.OverloadChanged(l.Overload)
}

// aggregate evaluates the last announcements of the targets that accept flows and are not overdue.
func (l *serviceLoad) aggregate(now time.Time, c *Core, service flow.ServiceID) {
	o := Overload{Service: l.Service}
	for _, t := range c.view.TargetsOf(service) {
		if !c.acceptsFlows(t) || t.Overdue(now) {
			continue
		}
		o.Slots += int(t.Slots)
		if t.Overloaded {
			o.OverloadedSlots += int(t.Slots)
		}
		if !t.Overloaded && t.Outstanding < t.Slots {
			o.FreeSlots += int(t.Slots - t.Outstanding)
		}
		o.Age = max(o.Age, now.Sub(t.LastSeen))
	}
	o.Overloaded = o.aboveStart() || (l.Overloaded && !o.belowEnd())
	l.Overload = o
}

// invalidateLoad invalidates the last evaluation of a service's load, because one of its targets
// has sent an announcement.
func (c *Core) invalidateLoad(service flow.ServiceID) {
	if l, known := c.loads[service]; known {
		l.updatedAt = time.Time{}
	}
}

// updateOverloads evaluates all services, so that overloads begin and end even if no flow comes,
// and removes those that are no longer used.
func (c *Core) updateOverloads(now time.Time) {
	for tag, l := range c.loads {
		c.updateOverload(now, tag, l)
		if !l.Overloaded && now.Sub(l.usedAt) > fleet.ExpireAfter {
			delete(c.loads, tag)
		}
	}
}

// preferFreeSlots moves the first candidate that has a free slot to the front. Flows that this
// balancer has sent since the target's last announcement count as using slots.
func (c *Core) preferFreeSlots(now time.Time, candidates []flow.IPv4) {
	for _, item := range candidates {
		t, known := c.view.Target(item)
		if known && !t.Overloaded && !t.Overdue(now) && int(t.Outstanding)+t.FlowsSent < int(t.Slots) {
			flow.MoveToFront(candidates, item)
			return
		}
	}
}

// dropRefusing removes the candidates that would refuse the flow, according to their last load
// report: they are overloaded and would not meet its objective. The first candidate stays.
func (c *Core) dropRefusing(now time.Time, candidates []flow.IPv4, objective time.Duration) []flow.IPv4 {
	remaining := candidates[:1]
	for _, item := range candidates[1:] {
		t, known := c.view.Target(item)
		refuses := known && t.Overloaded && !t.Overdue(now) && objective > 0 && !t.MeetsObjective(0, objective)
		if !refuses {
			remaining = append(remaining, item)
		}
	}
	return remaining
}

// maxOpenAttempts returns how many targets a new flow may be offered to.
func (l *serviceLoad) maxOpenAttempts() int {
	if l.Overloaded {
		return overloadMaxOpenAttempts
	}
	return maxOpenAttempts
}
