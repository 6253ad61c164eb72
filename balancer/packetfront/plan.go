package packetfront

import (
	"slices"
	"time"

	"github.com/poppywall/poppywall/choose"
	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
)

// Sizes of the choice.
const (
	// openSameZone and openFar are how many targets of a flow's ranking in the own
	// zone and in other zones are compared for a new flow. They bound the search
	// for it later.
	openSameZone  = 4
	openCrossZone = 4
	// openTries is how many targets a SYN may be offered to, one after another.
	openTries = 8
)

// candidatePlan is scratch space for candidates.
type candidatePlan struct {
	// sameZone and crossZone rank the targets for a new flow.
	sameZone, crossZone *flow.Ranking
	out                 []flow.Candidate
}

func newCandidatePlan() candidatePlan {
	return candidatePlan{
		sameZone: flow.NewRanking(openSameZone), crossZone: flow.NewRanking(openCrossZone),
	}
}

func (p *candidatePlan) reset() {
	p.sameZone.Reset()
	p.crossZone.Reset()
	p.out = p.out[:0]
}

// openCandidates returns the targets for a new flow, the chosen one first, then
// those to try when it refuses, cheapest first.
func (c *Core) openCandidates(now time.Time, hash uint64, service flow.Tag) []flow.Candidate {
	p := &c.plan
	p.reset()
	targets := c.view.TargetsOf(service)
	ejectable, heard := c.ejectable(targets), c.anyZoneReachable(targets)
	for _, h := range targets {
		if !c.acceptsFlows(h) || (ejectable && h.Ejected) || c.coldLimitReached(now, h) || (heard && c.view.IsZoneSilent(h.Zone)) {
			continue
		}
		ranking := p.crossZone
		if h.Zone == c.opts.Zone {
			ranking = p.sameZone
		}
		ranking.Add(flow.Score(hash, h.IP), flow.Candidate{Target: h.IP, Service: service})
	}
	c.offers, c.offerOf = c.offers[:0], c.offerOf[:0]
	c.addOffers(now, p.sameZone.Candidates())
	c.addOffers(now, p.crossZone.Candidates())
	typical := choose.TypicalServiceTime(c.offers)
	for len(c.offers) > 0 && len(p.out) < openTries {
		i := c.opts.Weights.Cheapest(c.offers, typical, c.rnd)
		if len(p.out) == 0 {
			c.expected = c.opts.Weights.Delay(c.offers[i], typical)
		}
		p.out = append(p.out, flow.Candidate{Target: c.offerOf[i].IP, Service: service})
		last := len(c.offers) - 1
		c.offers[i], c.offerOf[i] = c.offers[last], c.offerOf[last]
		c.offers, c.offerOf = c.offers[:last], c.offerOf[:last]
	}
	return p.out
}

// maxEjectedShare is the share of a service's targets beyond which ejections are not
// heeded: when most fail alike the cause is not a target, and the others could not
// carry their load.
const maxEjectedShare = 1.0 / 3

// ejectable tells whether ejections among the targets of a service are heeded.
func (c *Core) ejectable(targets []*fleet.Target) bool {
	ready, ejected := 0, 0
	for _, h := range targets {
		if !c.acceptsFlows(h) {
			continue
		}
		ready++
		if h.Ejected {
			ejected++
		}
	}
	return float64(ejected) <= maxEjectedShare*float64(ready)
}

// anyZoneReachable tells whether some targets of a service are in zones that are not silent.
// Where all are it may be this balancer that is cut off.
func (c *Core) anyZoneReachable(targets []*fleet.Target) bool {
	return slices.ContainsFunc(targets, func(h *fleet.Target) bool { return c.acceptsFlows(h) && !c.view.IsZoneSilent(h.Zone) })
}

// addOffers adds targets to the offers of a choice.
func (c *Core) addOffers(now time.Time, list []flow.Candidate) {
	for _, item := range list {
		h, _ := c.view.Target(item.Target)
		c.offers = append(c.offers, choose.Offer{
			Busy: int(h.Outstanding), Sent: h.FlowsSent, Slots: int(h.Slots), AnswerInterval: h.AnswerInterval,
			CrossZone: h.Zone != c.opts.Zone,
			Warming:   h.WarmupMillis > 0 && now.Sub(h.LastSeen) < time.Duration(h.WarmupMillis)*time.Millisecond,
			Avoid:     h.Overdue(now),
		})
		c.offerOf = append(c.offerOf, h)
	}
}

// toFront moves a target to the front of the candidates.
func toFront(list []flow.Candidate, target flow.IPv4) []flow.Candidate {
	for i, item := range list {
		if item.Target == target {
			copy(list[1:i+1], list[:i])
			list[0] = item
			break
		}
	}
	return list
}

// searchFirstTargets is how many targets of a flow's ranking, in the own zone and
// elsewhere, are asked before all others: those that it was chosen among, and as
// many again for targets that came or went since.
const searchFirstTargets = 2 * openSameZone
