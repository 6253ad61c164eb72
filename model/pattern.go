package model

import (
	"math"
	"sort"
	"time"

	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/model/sim"
)

// Pattern is what happens to a deployment under load, from the given moment on.
type Pattern struct {
	Name string
	// Happens says what, in a few words.
	Happens string
	begin   func(*run)
}

// Times and shares of the patterns.
const (
	// darkTime is how long VMs have no power, processTime and processSpread how
	// long a process takes from then on until it is up, targetSpread how long a target
	// takes.
	darkTime      = 1400 * time.Millisecond
	processTime   = 240 * time.Millisecond
	processSpread = 350 * time.Millisecond
	targetSpread  = 300 * time.Millisecond
	// burstFactor is on the load, for burstTime.
	burstFactor = 1.8
	burstTime   = 3 * time.Second
	// badShare of the targets misbehave for badTime: down and up by turns of
	// flapTime, failing a failShare of their requests, or slower by slowFactor.
	badShare   = 0.15
	badTime    = 6 * time.Second
	flapTime   = 820 * time.Millisecond
	failShare  = 0.31
	slowFactor = 4.0
	// errorFactor is on the time of those that fail at once.
	errorFactor = 0.02
	// rollGap is between two replacements, leaveTime how long a balancer forwards
	// on once it is unready, drainTime how long a target serves on.
	rollGap   = 1200 * time.Millisecond
	leaveTime = 1700 * time.Millisecond
	drainTime = 3 * time.Second
	// emptyTime is how long a zone is emptied.
	emptyTime = 8 * time.Second
	// swingShare is how far the load swings around its mean, each swingTime.
	swingShare = 0.55
	swingTime  = 15 * time.Second
	// shiftShare of one zone's callers call from another for shiftTime.
	shiftShare = 0.8
	shiftTime  = 6 * time.Second
)

// Patterns are all that can be played.
var Patterns = []Pattern{
	{"quiet", "the load alone", func(*run) {}},
	{"return", "everything loses power and comes back, targets cold, callers all at once", (*run).returnOfAll},
	{"kill", "all processes end and start again; targets live", (*run).killAll},
	{"burst", "many more callers for some seconds", (*run).burst},
	{"release", "the targets are replaced one after the other", (*run).release},
	{"flap", "some targets go down and up by turns", (*run).flap},
	{"partial", "some targets fail part of their requests", (*run).partial},
	{"errors", "some targets fail all their requests at once", (*run).errors},
	{"slow", "some targets turn slow", (*run).slow},
	{"roll", "the balancers are restarted one after the other", (*run).roll},
	{"evacuate", "a zone is emptied and taken back", (*run).evacuate},
	{"swing", "the load falls to a third and is back, flows open all the while", (*run).swing},
	{"shift", "most callers of one zone call from another for some seconds", (*run).shift},
	{"overload", "far more callers than can be served, for longer than they wait", (*run).overloadAll},
	{"overload-kind", "overload by one kind alone, the first class", (*run).overloadKind},
	{"overload-zone", "overload by the callers of one zone", (*run).overloadZone},
	{"overload-lost", "as overload, and a zone loses power inside", (*run).overloadZoneLost},
	{"overload-fresh", "as overload, and balancers start anew inside", (*run).overloadFresh},
	{"overload-cut", "as overload, and a balancer hears no agent inside", (*run).overloadCut},
	{"overload-noise", "as overload, with messages lost, late and doubled", (*run).overloadNoise},
}

// PatternNames returns the names of all patterns.
func PatternNames() []string {
	var out []string
	for _, p := range Patterns {
		out = append(out, p.Name)
	}
	sort.Strings(out)
	return out
}

func patternOf(name string) (Pattern, bool) {
	for _, p := range Patterns {
		if p.Name == name {
			return p, true
		}
	}
	return Pattern{}, false
}

// startUp is how long a process is away when its VM is.
func (r *run) startUp() time.Duration {
	return darkTime + processTime + r.world.Jitter(processSpread)
}

func (r *run) returnOfAll() {
	for _, ip := range r.world.BalancerIPs() {
		r.world.Balancers[ip].Restart(r.startUp())
	}
	for _, ip := range r.world.AgentIPs() {
		a := r.world.Agents[ip]
		h := r.targets[a]
		a.Restart(r.startUp())
		if h != nil {
			h.end()
			r.world.After(darkTime+r.world.Jitter(targetSpread), func() { r.startTarget(a, h.service, h.speed) })
		}
	}
}

func (r *run) killAll() {
	for _, ip := range r.world.BalancerIPs() {
		r.world.Balancers[ip].Restart(r.startUp())
	}
	for _, ip := range r.world.AgentIPs() {
		r.world.Agents[ip].Restart(r.startUp())
	}
}

func (r *run) burst() {
	r.factor = burstFactor
	r.world.After(burstTime, func() { r.factor = 1 })
}

// bad returns the targets that misbehave: a share of each service, one at least.
func (r *run) bad() []*target {
	var out []*target
	for i := range r.deployment.Services {
		s := &r.deployment.Services[i]
		left := max(int(badShare*float64(s.Targets)), 1)
		for _, ip := range r.world.AgentIPs() {
			if h := r.targets[r.world.Agents[ip]]; h != nil && h.service == s && left > 0 {
				out = append(out, h)
				left--
			}
		}
	}
	return out
}

func (r *run) flap() {
	end := r.world.Now.Add(badTime)
	for _, h := range r.bad() {
		r.flapTarget(h, end)
	}
}

func (r *run) flapTarget(h *target, end time.Time) {
	h.end()
	r.world.After(flapTime, func() {
		next := r.startTarget(h.agent, h.service, h.speed)
		if r.world.Now.Before(end) {
			r.world.After(flapTime, func() { r.flapTarget(next, end) })
		}
	})
}

func (r *run) partial() {
	for _, h := range r.bad() {
		h.failing = failShare
		r.world.After(badTime, func() { h.failing = 0 })
	}
}

func (r *run) errors() {
	for _, h := range r.bad() {
		h.failing, h.slow = 1, errorFactor
		r.world.After(badTime, func() { h.failing, h.slow = 0, 1 })
	}
}

func (r *run) slow() {
	for _, h := range r.bad() {
		h.slow = slowFactor
		r.world.After(badTime, func() { h.slow = 1 })
	}
}

// release replaces a third of the targets of each service: each drains, leaves, and
// another one starts on a VM of its own a moment before.
func (r *run) release() {
	wait := time.Duration(0)
	for i := range r.deployment.Services {
		s := &r.deployment.Services[i]
		left := max(s.Targets/3, 1)
		for _, ip := range r.world.AgentIPs() {
			a := r.world.Agents[ip]
			if h := r.targets[a]; h != nil && h.service == s && left > 0 {
				left--
				r.world.After(wait, func() { r.replace(h) })
				wait += rollGap
			}
		}
	}
}

func (r *run) replace(old *target) {
	r.addTarget(old.agent.Zone, old.service)
	r.world.After(rollGap, func() {
		old.draining = true
		old.report()
	})
	r.world.After(rollGap+drainTime, func() {
		old.agent.Core.Deregister(r.world.Now, fleet.Incarnation{TargetID: old.id})
		old.end()
		old.agent.Core.Stop(r.world.Now)
		old.agent.Stop()
	})
}

func (r *run) roll() {
	for i, ip := range r.world.BalancerIPs() {
		b := r.world.Balancers[ip]
		r.world.After(time.Duration(i)*(leaveTime+rollGap), func() { r.restartPlanned(b) })
	}
}

func (r *run) restartPlanned(b *sim.Balancer) {
	b.Core.Leave(r.world.Now)
	r.world.After(leaveTime, func() { b.Restart(processTime) })
}

// swing begins at the crest.
func (r *run) swing() {
	began := r.world.Now
	r.world.Every(swingStep, func() bool {
		turn := 2 * math.Pi * r.world.Now.Sub(began).Seconds() / swingTime.Seconds()
		r.factor = (1 + swingShare*math.Cos(turn)) / (1 + swingShare)
		return r.world.Now.Before(r.ends)
	})
}

// swingStep is how often the load is set anew.
const swingStep = 100 * time.Millisecond

func (r *run) shift() {
	r.moved = shiftShare
	r.world.After(shiftTime, func() { r.moved = 0 })
}

func (r *run) evacuate() {
	zone := zoneName(0)
	r.world.Empty(zone, true)
	r.world.After(emptyTime, func() { r.world.Empty(zone, false) })
}
