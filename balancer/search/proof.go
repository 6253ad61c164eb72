package search

import (
	"slices"
	"time"

	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
)

// Uncertainty is why a flow that no candidate holds may still be alive. Only a flow that has
// certainly ended is reset.
type Uncertainty string

// Reasons for uncertainty.
const (
	// UncertainTarget: a probed target could not exclude that it holds the flow.
	UncertainTarget Uncertainty = "a target is unsure"
	// UncertainFresh: the balancer has just started; agents have not discovered it yet.
	UncertainFresh Uncertainty = "just started"
	// UncertainSnapshot: the registry of agents was not read shortly before the packet came or
	// since. An agent is registered before its target takes its first flow, so a snapshot
	// begun later contains the flow's target.
	UncertainSnapshot Uncertainty = "registry not read"
	// UncertainRegistry: an agent that was seen is not registered, so the registry may lack others
	// as well: the store was unavailable when they started.
	UncertainRegistry Uncertainty = "registry incomplete"
	// UncertainMissing: an agent that the registry or another balancer lists was not seen, or
	// a target that may hold flows cannot be asked.
	UncertainMissing Uncertainty = "a target was not asked"
)

// Timing of the proof that a flow has ended.
const (
	// SettleTime is how long after its start a balancer that knows no target assumes that it has
	// not discovered them yet: agents repeat their announcements every second.
	SettleTime = 2 * time.Second
	// FreshTime is how long at least after its start a balancer considers its view incomplete
	// (Fresh states when it is longer, up to SettleTime). A running agent introduces itself to
	// a new balancer within a round trip after it joined. A balancer joins through its seeds and
	// asks other balancers for the nodes that they know five times a second; an agent that the
	// registry lacks announces itself to the seeds as often.
	FreshTime = 500 * time.Millisecond
	// SnapshotLead is how long before the end of FreshTime the registry is read for the first
	// time: the store answers each page in milliseconds.
	SnapshotLead = 150 * time.Millisecond
	// missingAgentTimeout is how long an agent that is registered but was not seen causes
	// uncertainty: longer than a process takes to restart. After that its VM counts as gone.
	missingAgentTimeout = 4 * time.Second
	// snapshotMaxAge is how old a snapshot of the registry may be when a packet comes. An
	// agent that has registered since the snapshot has announced itself to this balancer,
	// repeatedly until that was acknowledged.
	snapshotMaxAge = 2 * time.Second
)

// registrySnapshot is the latest snapshot of the agents' registry. An agent is registered from
// its first start on, so a balancer that has just started learns from the registry which
// targets may hold flows, even if their agents are not back yet.
type registrySnapshot struct {
	fleet.UnseenTracker
	// earliest and latest are the highest Earliest and Latest of the accepted snapshots; zero
	// before the first.
	earliest, latest time.Time
	// revision is the store revision of the snapshot.
	revision int64
	// refreshWanted is set while a newer snapshot is needed.
	refreshWanted bool
	pacer         fleet.SnapshotPacer
}

// Proof determines whether this balancer knows all targets that may hold flows. It is not safe
// for concurrent use; its owner holds a lock.
type Proof struct {
	self  flow.IPv4
	seeds []flow.IPv4
	view  *fleet.View
	// startedAt is when the balancer started, lastSeedJoinedAt when a seed last joined.
	startedAt, lastSeedJoinedAt time.Time
	// namedAgents are agents that other balancers have listed and this one has not seen, with the
	// time at which they were last listed.
	namedAgents map[flow.IPv4]time.Time
	snapshot    registrySnapshot
}

// NewProof returns the Proof of a balancer that has just started.
func NewProof(now time.Time, self flow.IPv4, seeds []flow.IPv4, view *fleet.View) *Proof {
	return &Proof{self: self, seeds: seeds, view: view, startedAt: now, namedAgents: map[flow.IPv4]time.Time{}}
}

// SetSeeds replaces the seeds, the balancers to join through.
func (p *Proof) SetSeeds(seeds []flow.IPv4) { p.seeds = seeds }

// BalancerJoined records that another balancer was seen for the first time.
func (p *Proof) BalancerJoined(now time.Time, balancer flow.IPv4) {
	if slices.Contains(p.seeds, balancer) {
		p.lastSeedJoinedAt = now
	}
}

// AgentNamed records that another balancer has listed an agent.
func (p *Proof) AgentNamed(now time.Time, agent flow.IPv4) {
	if !p.view.HasTarget(agent) {
		p.namedAgents[agent] = now
	}
}

// Settled reports whether the targets have had time to announce themselves.
func (p *Proof) Settled(now time.Time) bool { return now.Sub(p.startedAt) >= SettleTime }

// checkSnapshotAge returns uncertainty and requests a snapshot if the registry was not read
// shortly before a packet came or since.
func (p *Proof) checkSnapshotAge(since time.Time) Uncertainty {
	if !p.snapshot.earliest.Before(since.Add(-snapshotMaxAge)) {
		return ""
	}
	p.snapshot.refreshWanted = true
	return UncertainSnapshot
}

// checkView returns why there may be targets that this balancer does not know, and one of them
// if it is known.
func (p *Proof) checkView(now time.Time) (Uncertainty, flow.IPv4) {
	switch {
	case p.Fresh(now):
		return UncertainFresh, 0
	case p.snapshot.earliest.IsZero():
		p.snapshot.refreshWanted = true
		return UncertainSnapshot, 0
	}
	if ip, missing := p.missingTarget(now); missing {
		return UncertainMissing, ip
	}
	if ip, missing := p.unregisteredTarget(); missing {
		p.snapshot.refreshWanted = true
		return UncertainRegistry, ip
	}
	return "", 0
}

// Fresh reports whether the balancer has just started. One that knows no other balancer cannot
// ask for nodes, and is fresh until the targets would have announced themselves to it. One
// that has just seen a seed for the first time is fresh as well: targets that the registry
// lacks announce themselves to the seeds, and seeds that have started together with this
// balancer must receive those announcements first. Other balancers are not waited for: among
// hundreds, one is always late.
func (p *Proof) Fresh(now time.Time) bool {
	age := now.Sub(p.startedAt)
	if age >= SettleTime {
		return false
	}
	isolated := len(p.view.Balancers()) == 0 && p.hasOtherSeeds()
	return age < FreshTime || now.Sub(p.lastSeedJoinedAt) < FreshTime || isolated
}

func (p *Proof) hasOtherSeeds() bool {
	return slices.ContainsFunc(p.seeds, func(ip flow.IPv4) bool { return ip != p.self })
}

// missingTarget returns a target that may hold flows and cannot be asked.
func (p *Proof) missingTarget(now time.Time) (flow.IPv4, bool) {
	if ip, missing := p.snapshot.Missing(now, missingAgentTimeout, p.view.HasTarget); missing {
		// It may have been removed from the registry since.
		p.snapshot.refreshWanted = true
		return ip, true
	}
	for ip, at := range p.namedAgents {
		if p.view.HasTarget(ip) || now.Sub(at) > fleet.ExpireAfter {
			delete(p.namedAgents, ip)
			continue
		}
		return ip, true
	}
	ip, missing := p.view.FirstTarget(func(t *fleet.Target) bool { return !reachable(now, t) && p.unreachableMayHoldFlows(now, t) })
	if t, known := p.view.Target(ip); known && t.State == fleet.Gone {
		p.snapshot.refreshWanted = true
	}
	return ip, missing
}

// reachable reports whether a target's agent can be asked.
func reachable(now time.Time, t *fleet.Target) bool {
	return !t.Overdue(now) && t.Registration != fleet.RegistrationAbandoned
}

// unreachableMayHoldFlows reports whether a target whose agent cannot be asked may hold flows. One
// that last announced that it holds none may have started again since; after missingAgentTimeout
// its VM counts as gone.
func (p *Proof) unreachableMayHoldFlows(now time.Time, t *fleet.Target) bool {
	if t.State != fleet.Gone {
		return true
	}
	return p.view.MayHaveRestarted(t) && now.Sub(t.LastSeen) < missingAgentTimeout
}

// unregisteredTarget returns an agent that was seen but is not in the registry. An agent that
// first announced its registration after the latest time that the snapshot may reflect does not
// count: its entry may be newer than the snapshot.
func (p *Proof) unregisteredTarget() (flow.IPv4, bool) {
	return p.view.FirstTarget(func(t *fleet.Target) bool {
		return t.State != fleet.Gone && !t.Registered && !t.RegisteredAfter(p.snapshot.latest)
	})
}

// TryBeginSnapshot reports whether to read the agents' registry now, and records that the read begins
// if so. It is read shortly before the balancer stops being fresh, since nothing is decided
// earlier, and when a flow seems to have ended, as often as the pacer allows.
func (p *Proof) TryBeginSnapshot(now time.Time) bool {
	if now.Sub(p.startedAt) < FreshTime-SnapshotLead || (!p.snapshot.refreshWanted && !p.snapshot.earliest.IsZero()) {
		return false
	}
	return p.snapshot.pacer.TryBegin(now)
}

// SnapshotPending records that another balancer is still reading the registry, and shortens the
// pause until it is asked again.
func (p *Proof) SnapshotPending() { p.snapshot.pacer.ResetPause() }

// ApplySnapshot applies a snapshot of the agents' registry and reports whether it was accepted. A
// snapshot older than the last one is rejected: an agent that has registered since must not
// get lost.
func (p *Proof) ApplySnapshot(now time.Time, s fleet.Snapshot) bool {
	if s.Revision < p.snapshot.revision {
		return false
	}
	p.snapshot.Update(s.Latest, s.Agents, p.view.HasTarget)
	p.view.ApplySnapshot(now, s.Latest, s.Agents)
	p.snapshot.revision, p.snapshot.refreshWanted = s.Revision, false
	p.snapshot.pacer.Received(s.Earliest)
	if s.Earliest.After(p.snapshot.earliest) {
		p.snapshot.earliest = s.Earliest
	}
	if s.Latest.After(p.snapshot.latest) {
		p.snapshot.latest = s.Latest
	}
	return true
}

// Purge removes the agents that were not seen for fleet.ExpireAfter from the last snapshot, and
// returns them.
func (p *Proof) Purge(now time.Time) []fleet.Entry { return p.snapshot.Purge(now, p.view.HasTarget) }
