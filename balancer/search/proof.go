package search

import (
	"slices"
	"time"

	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
)

// Doubt is why a flow that no candidate holds may live all the same. Only a flow
// that is certainly over is reset.
type Doubt string

// The doubts.
const (
	// DoubtTarget: a target that was asked could not say a certain no.
	DoubtTarget Doubt = "a target is unsure"
	// DoubtFresh: the balancer has just started; agents have not found it yet.
	DoubtFresh Doubt = "just started"
	// DoubtSurvey: the registry of agents was not read shortly before the packet
	// came or since. An agent is registered before its target takes its first flow,
	// so a reading that began later lists the flow's target.
	DoubtSurvey Doubt = "registry not read"
	// DoubtRegistry: an agent that is heard is not registered, so others may be
	// missing there: the store was away when they started.
	DoubtRegistry Doubt = "registry incomplete"
	// DoubtMissing: an agent that the registry or another balancer names was not
	// heard.
	DoubtMissing Doubt = "a target was not asked"
)

// Times of the proof that a flow is over.
const (
	// SettleTime is how long after its start a balancer takes "no target known"
	// for not yet knowing: agents repeat their announcements each second.
	SettleTime = 2 * time.Second
	// FreshTime is how long after its start a balancer takes its view for
	// incomplete. Agents that live greet a new balancer within a round trip of
	// its joining, a balancer joins by its seeds and asks others for the nodes that
	// they know five times a second, and so often an agent that the registry lacks
	// announces itself to the seeds.
	FreshTime = 500 * time.Millisecond
	// SurveyAhead is how long before that the registry is read for the first time: the store
	// answers each page in milliseconds.
	SurveyAhead = 150 * time.Millisecond
	// absentTime is how long an agent that is registered and was not heard keeps
	// flows in doubt: longer than a process takes to be restarted. After that its
	// VM counts as gone.
	absentTime = 4 * time.Second
	// surveyTTL is how old a reading of the registry may be when a packet comes. An
	// agent that has registered since has told this balancer, again until that
	// was acknowledged.
	surveyTTL = 2 * time.Second
)

// survey is the last reading of the agents' registry. An agent is registered
// from its first start on: so a balancer that has just started learns from it
// which targets may hold flows, also when their agents are not back.
type survey struct {
	fleet.RegistryReading
	// earliest and latest bound when the reading began; zero before the first.
	earliest, latest time.Time
	revision         int64
	wanted           bool
	pace             fleet.SurveyPace
}

// Proof tells whether this balancer knows all targets that may hold flows. It is not safe
// for concurrent use; its owner holds a lock.
type Proof struct {
	self  flow.IPv4
	seeds []flow.IPv4
	view  *fleet.View
	// startedAt is when the balancer started, seedJoinedAt when a seed was heard for the
	// first time, the last one.
	startedAt, seedJoinedAt time.Time
	// named are agents that other balancers know and this one has not heard.
	named  map[flow.IPv4]time.Time
	survey survey
}

// NewProof returns the proof of a balancer that has just started.
func NewProof(now time.Time, self flow.IPv4, seeds []flow.IPv4, view *fleet.View) *Proof {
	return &Proof{self: self, seeds: seeds, view: view, startedAt: now, named: map[flow.IPv4]time.Time{}}
}

// SetSeeds replaces the balancers to join by.
func (p *Proof) SetSeeds(seeds []flow.IPv4) { p.seeds = seeds }

// Joined notes that another balancer was heard for the first time.
func (p *Proof) Joined(now time.Time, balancer flow.IPv4) {
	if slices.Contains(p.seeds, balancer) {
		p.seedJoinedAt = now
	}
}

// Named notes that another balancer knows an agent.
func (p *Proof) Named(now time.Time, agent flow.IPv4) {
	if !p.view.KnowsTarget(agent) {
		p.named[agent] = now
	}
}

// Settled tells whether the targets had the time to announce themselves.
func (p *Proof) Settled(now time.Time) bool { return now.Sub(p.startedAt) >= SettleTime }

// unsurveyed tells whether the registry was not read shortly before a packet came
// or since.
func (p *Proof) unsurveyed(since time.Time) Doubt {
	if !p.survey.earliest.Before(since.Add(-surveyTTL)) {
		return ""
	}
	p.survey.wanted = true
	return DoubtSurvey
}

// incomplete tells why there may be targets that this balancer does not know, and
// one of them if that is known.
func (p *Proof) incomplete(now time.Time) (Doubt, flow.IPv4) {
	switch {
	case p.Fresh(now):
		return DoubtFresh, 0
	case p.survey.earliest.IsZero():
		p.survey.wanted = true
		return DoubtSurvey, 0
	}
	if ip, missing := p.unheard(now); missing {
		return DoubtMissing, ip
	}
	if ip, missing := p.unregistered(); missing {
		p.survey.wanted = true
		return DoubtRegistry, ip
	}
	return "", 0
}

// Fresh tells whether the balancer has just started. One that knows no other one
// has nobody to ask, and is fresh until it would have heard the targets itself. So is
// one that has just heard of a seed: targets that the registry lacks announce themselves
// to the seeds, and those that have started together with this one have to hear of
// them first. The others are not waited for: of hundreds one is always late.
func (p *Proof) Fresh(now time.Time) bool {
	age := now.Sub(p.startedAt)
	if age >= SettleTime {
		return false
	}
	lone := len(p.view.Balancers()) == 0 && p.hasOtherSeeds()
	return age < FreshTime || now.Sub(p.seedJoinedAt) < FreshTime || lone
}

func (p *Proof) hasOtherSeeds() bool {
	return slices.ContainsFunc(p.seeds, func(ip flow.IPv4) bool { return ip != p.self })
}

// unheard returns a target that may hold flows and could not be asked.
func (p *Proof) unheard(now time.Time) (flow.IPv4, bool) {
	if ip, missing := p.survey.Missing(now, absentTime, p.view.KnowsTarget); missing {
		// It may have been taken out of the registry since.
		p.survey.wanted = true
		return ip, true
	}
	for ip, at := range p.named {
		if p.view.KnowsTarget(ip) || now.Sub(at) > fleet.Forget {
			delete(p.named, ip)
			continue
		}
		return ip, true
	}
	ip, silent := p.view.FirstTarget(func(h *fleet.Target) bool { return !answers(now, h) && p.mayLive(now, h) })
	if h, known := p.view.Target(ip); known && h.State == fleet.Gone {
		p.survey.wanted = true
	}
	return ip, silent
}

// answers tells whether a target's agent is there to be asked.
func answers(now time.Time, h *fleet.Target) bool {
	return !h.Quiet(now) && h.Listing != fleet.ListingLeft
}

// mayLive tells whether a target whose agent does not answer may hold flows. One that
// said before that it holds nothing may have started since; after a while its VM
// counts as gone.
func (p *Proof) mayLive(now time.Time, h *fleet.Target) bool {
	if h.State != fleet.Gone {
		return true
	}
	return p.view.MayLive(h) && now.Sub(h.HeardAt) < absentTime
}

// unregistered returns an agent that is heard and not in the registry. One that was
// heard to be there only after the reading began is newer than it.
func (p *Proof) unregistered() (flow.IPv4, bool) {
	return p.view.FirstTarget(func(h *fleet.Target) bool {
		return h.State != fleet.Gone && !h.Listed && !h.RegisteredSince(p.survey.latest)
	})
}

// WantsSurvey tells whether the registry of agents is to be read: shortly before the balancer
// is not fresh any more, for nothing is concluded before, and when a flow seems to be over.
func (p *Proof) WantsSurvey(now time.Time) bool {
	if now.Sub(p.startedAt) < FreshTime-SurveyAhead || (!p.survey.wanted && !p.survey.earliest.IsZero()) {
		return false
	}
	return p.survey.pace.Begin(now)
}

// SurveyPending notes that another balancer is reading the registry: it is to be asked again
// soon.
func (p *Proof) SurveyPending() { p.survey.pace.Pending() }

// Surveyed takes a reading of the agents' registry, and tells whether it is not older
// than the last one: an agent that has registered since must not get lost.
func (p *Proof) Surveyed(now time.Time, s fleet.Survey) bool {
	if s.Revision < p.survey.revision {
		return false
	}
	p.survey.Take(s.Latest, s.Agents, p.view.KnowsTarget)
	p.view.List(now, s.Latest, s.Agents)
	p.survey.revision, p.survey.wanted = s.Revision, false
	p.survey.pace.Got(s.Earliest)
	if s.Earliest.After(p.survey.earliest) {
		p.survey.earliest = s.Earliest
	}
	if s.Latest.After(p.survey.latest) {
		p.survey.latest = s.Latest
	}
	return true
}

// Strike takes the agents off the last reading that were not heard for as long as nodes
// are remembered, and returns them.
func (p *Proof) Strike(now time.Time) []fleet.Entry { return p.survey.Strike(now, p.view.KnowsTarget) }
