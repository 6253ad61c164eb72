package packetfront

import (
	"time"

	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
)

const (
	// overloadedSlots is the share of the slots of a service's targets above which those
	// that are overloaded make the service so: the others cannot carry their load as well.
	overloadedSlots = 0.5
	// recoveredSlots is the share at which they make it so no longer: agents tell the end of
	// their overload one after the other.
	recoveredSlots = 0.1
	// freeSlots is the share of slots that are free at targets that are not overloaded at
	// which it ends too, whatever the others say.
	freeSlots = 0.5
	// overloadTries is how many targets a new flow of an overloaded service may be offered
	// to: the others are most likely as full, and each visit costs those that are served.
	overloadTries = 2
	// overloadTTL is how long a judgement stands while no target of the service is heard.
	overloadTTL = tickPeriod
)

// Overload is what the targets of a service announce of their load.
type Overload struct {
	Service    string
	Overloaded bool
	// Slots are those of the targets that are ready and heard, OverloadedSlots those of
	// targets among them that are overloaded, FreeSlots those that are free at the others.
	// Age is that of the oldest announcement among them.
	Slots, OverloadedSlots, FreeSlots int
	Age                               time.Duration
}

// begins tells whether the targets' announcements make a service overloaded.
func (o *Overload) begins() bool {
	return float64(o.OverloadedSlots) > overloadedSlots*float64(o.Slots)
}

// ends tells whether they make an overloaded service so no longer.
func (o *Overload) ends() bool {
	return float64(o.OverloadedSlots) <= recoveredSlots*float64(o.Slots) || float64(o.FreeSlots) >= freeSlots*float64(o.Slots)
}

// serviceLoad is what the balancer knows of the load of one service.
type serviceLoad struct {
	Overload
	// updatedAt is when the overload was worked out, zero once a target was heard since.
	updatedAt time.Time
	usedAt    time.Time
}

// serviceLoads are those of the services that were asked for lately.
type serviceLoads map[flow.Tag]*serviceLoad

// serviceLoad returns what is known of the load of a flow's service.
func (c *Core) serviceLoad(now time.Time, backend flow.Backend) *serviceLoad {
	l, known := c.loads[backend.Tag]
	if !known {
		l = &serviceLoad{Overload: Overload{Service: backend.Name}}
		c.loads[backend.Tag] = l
	}
	l.usedAt = now
	c.updateOverload(now, backend.Tag, l)
	return l
}

// updateOverload works out whether a service is overloaded unless that stands already.
func (c *Core) updateOverload(now time.Time, service flow.Tag, l *serviceLoad) {
	if !l.updatedAt.IsZero() && now.Sub(l.updatedAt) < overloadTTL {
		return
	}
	l.updatedAt = now
	former := l.Overloaded
	l.sum(now, c, service)
	if l.Overloaded == former {
		return
	}
	c.events.OverloadChanged(l.Overload)
}

// sum sums up what the targets that may take new flows announced last.
func (l *serviceLoad) sum(now time.Time, c *Core, service flow.Tag) {
	o := Overload{Service: l.Service}
	for _, h := range c.view.TargetsOf(service) {
		if !c.acceptsFlows(h) || h.Overdue(now) {
			continue
		}
		o.Slots += int(h.Slots)
		if h.Overloaded {
			o.OverloadedSlots += int(h.Slots)
		}
		if !h.Overloaded && h.Outstanding < h.Slots {
			o.FreeSlots += int(h.Slots - h.Outstanding)
		}
		o.Age = max(o.Age, now.Sub(h.LastSeen))
	}
	o.Overloaded = o.begins() || (l.Overloaded && !o.ends())
	l.Overload = o
}

// invalidateLoad notes that a target of a service was heard.
func (c *Core) invalidateLoad(service flow.Tag) {
	if l, known := c.loads[service]; known {
		l.updatedAt = time.Time{}
	}
}

// updateOverloads lets an overload end, or begin, also while no flow comes, and forgets services
// that nobody asks for.
func (c *Core) updateOverloads(now time.Time) {
	for tag, l := range c.loads {
		c.updateOverload(now, tag, l)
		if !l.Overloaded && now.Sub(l.usedAt) > fleet.ExpireAfter {
			delete(c.loads, tag)
		}
	}
}

// preferFreeSlots puts the first of the candidates that has announced a free slot, which was not
// filled from here since, before the others.
func (c *Core) preferFreeSlots(now time.Time, candidates []flow.Candidate) {
	for _, item := range candidates {
		h, known := c.view.Target(item.Target)
		if known && !h.Overloaded && !h.Overdue(now) && int(h.Outstanding)+h.FlowsSent < int(h.Slots) {
			toFront(candidates, item.Target)
			return
		}
	}
}

// dropRefusing leaves out those behind the first that would refuse a flow, by what they
// announced last.
func (c *Core) dropRefusing(now time.Time, candidates []flow.Candidate, objective time.Duration) []flow.Candidate {
	kept := candidates[:1]
	for _, item := range candidates[1:] {
		h, known := c.view.Target(item.Target)
		refuses := known && h.Overloaded && !h.Overdue(now) && objective > 0 && !h.MeetsObjective(0, objective)
		if !refuses {
			kept = append(kept, item)
		}
	}
	return kept
}

// openTries is how many targets a new flow may be offered to.
func (l *serviceLoad) openTries() int {
	if l.Overloaded {
		return overloadTries
	}
	return openTries
}
