package model

import (
	"math/rand/v2"
	"time"

	"github.com/poppywall/poppywall/flow"
)

// Parameters of the overload patterns.
const (
	// overloadTime is how long an overload lasts: several deadlines of the classes in use.
	overloadTime = 8 * time.Second
	// overloadFactor multiplies the load of all callers, classFactor the load of one class,
	// zoneFactor the load of one zone.
	overloadFactor = 2.4
	classFactor    = 2.6
	zoneFactor     = 4.5
	// nestedFaultDelay is the time from the start of the overload to a fault during it, and
	// nestedFaultTime how long that fault lasts.
	nestedFaultDelay = 3 * time.Second
	nestedFaultTime  = 2 * time.Second
	// reactionTime is the time allowed to detect an overload and act on it: a quarter of a
	// deadline of some seconds, and a window of counts.
	reactionTime = time.Second
	// noiseLoss is the probability that an announcement is lost, noiseDuplication that any
	// datagram is duplicated, maxNoiseDelay the maximum additional delay of an announcement.
	noiseLoss, noiseDuplication = 0.3, 0.05
	maxNoiseDelay               = 300 * time.Millisecond
	// overloadedZone is the zone whose callers cause the overload.
	overloadedZone = 0
)

// overload is a load beyond the capacity of the targets.
type overload struct {
	// startedAt is when the overload began, zero before.
	startedAt time.Time
	// class is the only class whose load rises, nil for all classes. oneZone is set if only the
	// load of overloadedZone rises; zones is the number of zones.
	class   *Class
	oneZone bool
	zones   int
	factor  float64
	active  bool
	// passOns counts for each flow how often an agent did not take it.
	passOns map[flow.Key]int
	// refusals counts the attempts that were refused while the overload was active,
	// refusedPassOns the passOns of their flows.
	refusals, refusedPassOns int
}

// factorFor returns the factor on the load of a class.
func (p *overload) factorFor(c *Class) float64 {
	switch {
	case !p.active || (p.class != nil && p.class != c):
		return 1
	case p.oneZone:
		return (p.factor + float64(p.zones-1)) / float64(p.zones)
	default:
		return p.factor
	}
}

// drawZone draws the zone that a request is sent from.
func (p *overload) drawZone(rnd *rand.Rand, zones int) int {
	if !p.active || !p.oneZone {
		return rnd.IntN(zones)
	}
	if rnd.Float64()*(p.factor+float64(zones-1)) < p.factor {
		return overloadedZone
	}
	return 1 + rnd.IntN(zones-1)
}

// recordRefusal counts an attempt that was refused.
func (p *overload) recordRefusal(key flow.Key) {
	if p.active {
		p.refusals++
		p.refusedPassOns += p.passOns[key]
	}
	delete(p.passOns, key)
}

func (r *run) startOverload(p overload) {
	p.startedAt, p.active, p.zones, p.passOns = r.world.Now, true, r.deployment.Zones, r.overload.passOns
	r.overload = p
	r.world.After(overloadTime, func() { r.overload.active = false })
}

func (r *run) overloadAll() { r.startOverload(overload{factor: overloadFactor}) }
func (r *run) overloadClass() {
	r.startOverload(overload{factor: classFactor, class: &r.deployment.Classes[0]})
}
func (r *run) overloadZone() { r.startOverload(overload{factor: zoneFactor, oneZone: true}) }

func (r *run) overloadZoneLost() {
	r.overloadAll()
	r.world.After(nestedFaultDelay, func() { r.powerOffZone(zoneName(r.deployment.Zones - 1)) })
}

// powerOffZone simulates a power loss of all VMs of a zone.
func (r *run) powerOffZone(zone string) {
	for _, ip := range r.world.BalancerIPs() {
		if b := r.world.Balancers[ip]; b.Zone == zone {
			b.Restart(nestedFaultTime + r.drawDowntime())
		}
	}
	for _, ip := range r.world.AgentIPs() {
		a := r.world.Agents[ip]
		t := r.targets[a]
		if a.Zone != zone || t == nil {
			continue
		}
		a.Restart(nestedFaultTime + r.drawDowntime())
		t.stop()
		r.world.After(nestedFaultTime+powerOffTime+r.world.Jitter(targetStartJitter), func() { r.startTarget(a, t.service, t.speed) })
	}
}

// overloadBalancerRestart restarts a balancer of each zone.
func (r *run) overloadBalancerRestart() {
	r.overloadAll()
	r.world.After(nestedFaultDelay, func() {
		for _, ip := range r.world.BalancerIPs()[:r.deployment.Zones] {
			r.world.Balancers[ip].Restart(processStartTime)
		}
	})
}

// overloadPartition drops all messages from agents to one balancer for nestedFaultTime.
func (r *run) overloadPartition() {
	r.overloadAll()
	r.world.After(nestedFaultDelay, func() {
		isolated := r.world.BalancerIPs()[0]
		r.world.Cut = func(from, to flow.IPv4) bool { return to == isolated && r.world.Agents[from] != nil }
		r.world.After(nestedFaultTime, func() { r.world.Cut = func(_, _ flow.IPv4) bool { return false } })
	})
}

// overloadNoise drops and delays announcements and duplicates datagrams of all kinds.
func (r *run) overloadNoise() {
	r.overloadAll()
	w := r.world
	w.Duplication = noiseDuplication
	w.DisturbAnnouncement = func() (bool, time.Duration) { return w.Rnd.Float64() < noiseLoss, w.Jitter(maxNoiseDelay) }
	w.After(overloadTime, func() {
		w.Duplication = 0
		w.DisturbAnnouncement = func() (bool, time.Duration) { return false, 0 }
	})
}
