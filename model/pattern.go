package model

import (
	"math"
	"sort"
	"time"

	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/model/sim"
)

// Pattern is a scenario of load or faults that is applied to a deployment during a run.
type Pattern struct {
	Name string
	// Description is a short description of what happens.
	Description string
	apply       func(*run)
}

// Parameters of the patterns.
const (
	// powerOffTime is how long VMs have no power. After it a process takes processStartTime and
	// up to processStartJitter more to start, a target up to targetStartJitter.
	powerOffTime       = 1400 * time.Millisecond
	processStartTime   = 240 * time.Millisecond
	processStartJitter = 350 * time.Millisecond
	targetStartJitter  = 300 * time.Millisecond
	// burstFactor multiplies the load for burstTime.
	burstFactor = 1.8
	burstTime   = 3 * time.Second
	// faultyShare is the share of targets that are faulty for faultTime: they go down and up
	// each flapInterval, fail failShare of their requests, or are slower by slowFactor.
	faultyShare  = 0.15
	faultTime    = 6 * time.Second
	flapInterval = 820 * time.Millisecond
	failShare    = 0.31
	slowFactor   = 4.0
	// errorFactor multiplies the service time of targets that fail all requests at once.
	errorFactor = 0.02
	// rolloutInterval is the time between two replacements. A balancer that leaves is unready but
	// still forwards for balancerLeaveTime; a draining target still serves for targetDrainTime.
	rolloutInterval   = 1200 * time.Millisecond
	balancerLeaveTime = 1700 * time.Millisecond
	targetDrainTime   = 3 * time.Second
	// evacuationTime is how long a zone stays evacuated.
	evacuationTime = 8 * time.Second
	// swingAmplitude is the amplitude of the load around its mean, as a share of the mean;
	// swingPeriod is the period.
	swingAmplitude = 0.55
	swingPeriod    = 15 * time.Second
	// shiftShare of one zone's requests are sent from another zone for shiftTime.
	shiftShare = 0.8
	shiftTime  = 6 * time.Second
)

// Patterns are all patterns.
var Patterns = []Pattern{
	{"quiet", "the load alone", func(*run) {}},
	{"return", "everything loses power and comes back, targets cold, callers all at once", (*run).powerLoss},
	{"kill", "all processes end and start again; targets live", (*run).restartProcesses},
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
	{"overload-kind", "overload by one kind alone, the first class", (*run).overloadClass},
	{"overload-zone", "overload by the callers of one zone", (*run).overloadZone},
	{"overload-lost", "as overload, and a zone loses power inside", (*run).overloadZoneLost},
	{"overload-fresh", "as overload, and balancers start anew inside", (*run).overloadBalancerRestart},
	{"overload-cut", "as overload, and a balancer hears no agent inside", (*run).overloadPartition},
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

// drawDowntime draws the time from a VM's power loss until a process on it is up again.
func (r *run) drawDowntime() time.Duration {
	return powerOffTime + processStartTime + r.world.Jitter(processStartJitter)
}

func (r *run) powerLoss() {
	for _, ip := range r.world.BalancerIPs() {
		r.world.Balancers[ip].Restart(r.drawDowntime())
	}
	for _, ip := range r.world.AgentIPs() {
		a := r.world.Agents[ip]
		t := r.targets[a]
		a.Restart(r.drawDowntime())
		if t != nil {
			t.stop()
			r.world.After(powerOffTime+r.world.Jitter(targetStartJitter), func() { r.startTarget(a, t.service, t.speed) })
		}
	}
}

func (r *run) restartProcesses() {
	for _, ip := range r.world.BalancerIPs() {
		r.world.Balancers[ip].Restart(r.drawDowntime())
	}
	for _, ip := range r.world.AgentIPs() {
		r.world.Agents[ip].Restart(r.drawDowntime())
	}
}

func (r *run) burst() {
	r.loadFactor = burstFactor
	r.world.After(burstTime, func() { r.loadFactor = 1 })
}

// faultyTargets returns faultyShare of the targets of each service, at least one.
func (r *run) faultyTargets() []*target {
	var out []*target
	for i := range r.deployment.Services {
		s := &r.deployment.Services[i]
		left := max(int(faultyShare*float64(s.Targets)), 1)
		for _, ip := range r.world.AgentIPs() {
			if t := r.targets[r.world.Agents[ip]]; t != nil && t.service == s && left > 0 {
				out = append(out, t)
				left--
			}
		}
	}
	return out
}

func (r *run) flap() {
	end := r.world.Now.Add(faultTime)
	for _, t := range r.faultyTargets() {
		r.flapTarget(t, end)
	}
}

func (r *run) flapTarget(t *target, end time.Time) {
	t.stop()
	r.world.After(flapInterval, func() {
		next := r.startTarget(t.agent, t.service, t.speed)
		if r.world.Now.Before(end) {
			r.world.After(flapInterval, func() { r.flapTarget(next, end) })
		}
	})
}

func (r *run) partial() {
	for _, t := range r.faultyTargets() {
		t.failureRate = failShare
		r.world.After(faultTime, func() { t.failureRate = 0 })
	}
}

func (r *run) errors() {
	for _, t := range r.faultyTargets() {
		t.failureRate, t.slowdown = 1, errorFactor
		r.world.After(faultTime, func() { t.failureRate, t.slowdown = 0, 1 })
	}
}

func (r *run) slow() {
	for _, t := range r.faultyTargets() {
		t.slowdown = slowFactor
		r.world.After(faultTime, func() { t.slowdown = 1 })
	}
}

// release replaces a third of the targets of each service, one after the other: a new target
// starts on a VM of its own, then the old one drains and leaves.
func (r *run) release() {
	delay := time.Duration(0)
	for i := range r.deployment.Services {
		s := &r.deployment.Services[i]
		left := max(s.Targets/3, 1)
		for _, ip := range r.world.AgentIPs() {
			a := r.world.Agents[ip]
			if t := r.targets[a]; t != nil && t.service == s && left > 0 {
				left--
				r.world.After(delay, func() { r.replaceTarget(t) })
				delay += rolloutInterval
			}
		}
	}
}

func (r *run) replaceTarget(old *target) {
	r.addTarget(old.agent.Zone, old.service)
	r.world.After(rolloutInterval, func() {
		old.draining = true
		old.report()
	})
	r.world.After(rolloutInterval+targetDrainTime, func() {
		old.agent.Core.Deregister(r.world.Now, fleet.TargetIncarnation{TargetID: old.id})
		old.stop()
		old.agent.Core.Stop(r.world.Now)
		old.agent.Stop()
	})
}

func (r *run) roll() {
	for i, ip := range r.world.BalancerIPs() {
		b := r.world.Balancers[ip]
		r.world.After(time.Duration(i)*(balancerLeaveTime+rolloutInterval), func() { r.drainAndRestart(b) })
	}
}

func (r *run) drainAndRestart(b *sim.Balancer) {
	b.Core.Leave(r.world.Now)
	r.world.After(balancerLeaveTime, func() { b.Restart(processStartTime) })
}

// swing varies the load as a cosine whose maximum is the nominal load. It begins at the maximum.
func (r *run) swing() {
	start := r.world.Now
	r.world.Every(swingStep, func() bool {
		phase := 2 * math.Pi * r.world.Now.Sub(start).Seconds() / swingPeriod.Seconds()
		r.loadFactor = (1 + swingAmplitude*math.Cos(phase)) / (1 + swingAmplitude)
		return r.world.Now.Before(r.loadEnds)
	})
}

// swingStep is the interval at which swing updates the load factor.
const swingStep = 100 * time.Millisecond

func (r *run) shift() {
	r.movedShare = shiftShare
	r.world.After(shiftTime, func() { r.movedShare = 0 })
}

func (r *run) evacuate() {
	zone := zoneName(0)
	r.world.SetEvacuated(zone, true)
	r.world.After(evacuationTime, func() { r.world.SetEvacuated(zone, false) })
}
