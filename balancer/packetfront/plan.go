package packetfront

import (
	"slices"
	"time"

	"github.com/poppywall/poppywall/choose"
	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
)

// Numbers of targets considered for a new flow.
const (
	// sameZoneCandidates and crossZoneCandidates are how many targets, the highest in the
	// flow's ranking, are compared for a new flow in the local zone and in other zones. A later
	// search for the flow probes these first.
	sameZoneCandidates  = 4
	crossZoneCandidates = 4
	// maxOpenAttempts is how many targets a SYN may be offered to, one after the other.
	maxOpenAttempts = 8
)

// candidatePlan is scratch space for the choice of candidates.
type candidatePlan struct {
	// sameZone and crossZone rank the targets of the local zone and of other zones.
	sameZone, crossZone *flow.Ranking
	candidates          []flow.IPv4
}

func newCandidatePlan() candidatePlan {
	return candidatePlan{
		sameZone: flow.NewRanking(sameZoneCandidates), crossZone: flow.NewRanking(crossZoneCandidates),
	}
}

func (p *candidatePlan) reset() {
	p.sameZone.Reset()
	p.crossZone.Reset()
	p.candidates = p.candidates[:0]
}

// openCandidates returns the candidates for a new flow: the chosen target, then the targets to
// try if it refuses. Each is the cheapest of a random sample of the targets that are left.
func (c *Core) openCandidates(now time.Time, hash uint64, service flow.ServiceID) []flow.IPv4 {
	p := &c.plan
	p.reset()
	targets := c.view.TargetsOf(service)
	honorEjections, anyReachable := c.honorsEjections(targets), c.anyZoneReachable(targets)
	for _, t := range targets {
		if !c.acceptsFlows(t) || (honorEjections && t.Ejected) || c.coldLimitReached(now, t) || (anyReachable && c.view.IsZoneSilent(t.Zone)) {
			continue
		}
		ranking := p.crossZone
		if t.Zone == c.opts.Zone {
			ranking = p.sameZone
		}
		ranking.Add(flow.Score(hash, t.IP), t.IP)
	}
	c.offers, c.offerTargets = c.offers[:0], c.offerTargets[:0]
	c.addOffers(now, p.sameZone.Candidates())
	c.addOffers(now, p.crossZone.Candidates())
	typical := choose.TypicalServiceTime(c.offers)
	for len(c.offers) > 0 && len(p.candidates) < maxOpenAttempts {
		i := c.opts.Weights.Cheapest(c.offers, typical, c.rnd)
		if len(p.candidates) == 0 {
			c.expectedDelay = c.opts.Weights.Delay(c.offers[i], typical)
		}
		p.candidates = append(p.candidates, c.offerTargets[i].IP)
		last := len(c.offers) - 1
		c.offers[i], c.offerTargets[i] = c.offers[last], c.offerTargets[last]
		c.offers, c.offerTargets = c.offers[:last], c.offerTargets[:last]
	}
	return p.candidates
}

// maxEjectedShare is the share of ejected targets of a service above which ejections are
// ignored: if many targets fail alike, the cause is not a single target, and the remaining ones
// could not carry the load.
const maxEjectedShare = 1.0 / 3

// honorsEjections reports whether ejected targets of a service get no new flows.
func (c *Core) honorsEjections(targets []*fleet.Target) bool {
	ready, ejected := 0, 0
	for _, t := range targets {
		if !c.acceptsFlows(t) {
			continue
		}
		ready++
		if t.Ejected {
			ejected++
		}
	}
	return float64(ejected) <= maxEjectedShare*float64(ready)
}

// anyZoneReachable reports whether a target of a service that accepts flows is in a zone that is
// not silent. If all of these zones are silent, this balancer itself may be cut off.
func (c *Core) anyZoneReachable(targets []*fleet.Target) bool {
	return slices.ContainsFunc(targets, func(t *fleet.Target) bool { return c.acceptsFlows(t) && !c.view.IsZoneSilent(t.Zone) })
}

// addOffers adds the candidates' targets to the offers to choose from.
func (c *Core) addOffers(now time.Time, list []flow.IPv4) {
	for _, item := range list {
		t, _ := c.view.Target(item)
		c.offers = append(c.offers, choose.Offer{
			Outstanding: int(t.Outstanding), Sent: t.FlowsSent, Slots: int(t.Slots), AnswerInterval: t.AnswerInterval,
			CrossZone: t.Zone != c.opts.Zone,
			Warming:   t.WarmupMillis > 0 && now.Sub(t.LastSeen) < time.Duration(t.WarmupMillis)*time.Millisecond,
			Avoid:     t.Overdue(now),
		})
		c.offerTargets = append(c.offerTargets, t)
	}
}

// searchFirstTargets is how many targets of a flow's ranking, in the local zone and in other
// zones each, a search probes before all others: as many as the flow was chosen among, and the
// same number again for targets that have joined or left since.
const searchFirstTargets = 2 * sameZoneCandidates
