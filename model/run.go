package model

import (
	"strconv"
	"time"

	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/model/sim"
)

// Times of a run.
const (
	// setupTime is how long the nodes run before the load starts, to discover each other.
	setupTime = 4 * time.Second
	// idleTimeout is the time after which nodes may forget idle flows.
	idleTimeout = 15 * time.Second
	// windowLength is the length of the windows that results are counted in.
	windowLength = 2 * time.Second
)

// Options are the parameters of a run.
type Options struct {
	Deployment Deployment
	Pattern    string
	// At is when the pattern begins, counted from the start of the load. Length is the duration
	// of the load.
	At, Length time.Duration
	Seed       uint64
}

// run is one simulated deployment under load.
type run struct {
	deployment Deployment
	world      *sim.World
	routers    *routers
	targets    map[*sim.Agent]*target
	requests   []*request
	attempts   map[flow.Key]*attempt
	lastPorts  map[flow.IPv4]uint16
	fronts     map[*Class]flow.Front
	// startedTargets counts the targets of each service that were started on a new VM.
	startedTargets map[*Service]int
	// loadEnds is when callers stop sending requests.
	loadEnds time.Time
	// loadFactor multiplies the rate of all classes.
	loadFactor float64
	// deliveredAbandoned counts requests that were delivered to targets although the FIN of
	// the caller that abandoned them must already have reached the agent.
	deliveredAbandoned int
	// movedShare is the share of the first zone's requests that are sent from the second zone.
	movedShare float64
	overload   overload
}

// Simulate runs a pattern on a deployment and returns the outcome of the requests.
func Simulate(o Options) Result {
	r := newRun(o)
	loadStart := r.startLoad(o)
	r.world.Run(o.Length + r.longestDeadline())
	return r.result(loadStart)
}

// startLoad lets the deployment start, begins the load, schedules the pattern, and returns the
// time at which the load began.
func (r *run) startLoad(o Options) time.Time {
	r.world.Run(setupTime)
	r.loadEnds = r.world.Now.Add(o.Length)
	for i := range r.deployment.Classes {
		r.startArrivals(&r.deployment.Classes[i])
	}
	if p, ok := patternOf(o.Pattern); ok {
		r.world.After(o.At, func() { p.apply(r) })
	}
	return r.world.Now
}

func newRun(o Options) *run {
	r := &run{
		deployment: o.Deployment, world: sim.NewWorld(o.Seed), targets: map[*sim.Agent]*target{},
		attempts: map[flow.Key]*attempt{}, lastPorts: map[flow.IPv4]uint16{}, fronts: map[*Class]flow.Front{}, startedTargets: map[*Service]int{}, loadFactor: 1,
	}
	r.overload.passOns = map[flow.Key]int{}
	r.world.PassedOn = func(key flow.Key) { r.overload.passOns[key]++ }
	r.world.Client = r.handlePacket
	r.world.Delay = r.delay
	r.world.Config = r.config()
	r.routers = newRouters(r.world, r.deployment.Zones)
	for i := range r.deployment.Balancers {
		zone := i % r.deployment.Zones
		r.routers.add(zone, r.world.AddBalancer(zoneName(zone)))
	}
	for i := range r.deployment.Services {
		s := &r.deployment.Services[i]
		for j := range s.Targets {
			agent, speed := r.world.AddAgent(zoneName(j%r.deployment.Zones), s.Name), r.nextSpeed(s)
			if s.StartDelay == 0 {
				r.startTarget(agent, s, speed)
				continue
			}
			r.world.After(s.StartDelay.D(), func() { r.startTarget(agent, s, speed) })
		}
	}
	return r
}

func zoneName(zone int) string { return "zone-" + strconv.Itoa(zone) }

// sameZoneDelay is the one-way delay between two nodes of one zone.
const sameZoneDelay = 100 * time.Microsecond

func (r *run) delay(from, to flow.IPv4) time.Duration {
	if r.zoneOf(from) == r.zoneOf(to) {
		return sameZoneDelay
	}
	return r.deployment.ZoneDelay.D()
}

func (r *run) zoneOf(ip flow.IPv4) string {
	if b, ok := r.world.Balancers[ip]; ok {
		return b.Zone
	}
	if a, ok := r.world.Agents[ip]; ok {
		return a.Zone
	}
	return ""
}

// config returns a configuration with a front address for each class.
func (r *run) config() *flow.Config {
	c := &flow.Config{Version: 1, IdleTimeout: idleTimeout, Routes: map[flow.Front]*flow.Route{}}
	for i := range r.deployment.Classes {
		class := &r.deployment.Classes[i]
		front := flow.Front{IP: 0xc6120001 + flow.IPv4(i), Port: 443}
		r.fronts[class] = front
		c.Routes[front] = &flow.Route{
			Name: class.Name, Priority: class.Priority, Objective: class.Objective.D(), Deadline: class.Deadline.D(),
			Services: []flow.WeightedService{{Name: class.Service, ID: flow.ServiceIDOf(class.Service), Weight: 1}},
		}
	}
	return c
}

// startArrivals begins the requests of a class, at random times. For flows of several requests
// it also starts at once the number of flows that are open in steady state.
func (r *run) startArrivals(c *Class) {
	if c.multiRequest() {
		for range int(c.Rate * c.Pause.D().Seconds() * (1 - 1/c.Requests)) {
			first := time.Duration(r.world.Rnd.ExpFloat64() * float64(c.Pause))
			r.world.After(first, func() { r.sendFromRandomZone(c) })
		}
	}
	r.scheduleArrival(c)
}

// scheduleArrival sends a request after a random interval and then schedules the next one.
func (r *run) scheduleArrival(c *Class) {
	interval := r.world.Rnd.ExpFloat64() * max(c.Requests, 1) / (c.Rate * r.loadFactor * r.overload.factorFor(c))
	r.world.After(time.Duration(interval*float64(time.Second)), func() {
		if r.world.Now.Before(r.loadEnds) {
			r.sendFromRandomZone(c)
			r.scheduleArrival(c)
		}
	})
}

// sendFromRandomZone sends a request from a random zone, unless the load has ended.
func (r *run) sendFromRandomZone(c *Class) {
	if r.world.Now.Before(r.loadEnds) {
		r.sendFromZone(c, r.drawZone())
	}
}

// drawZone draws the zone that a request is sent from.
func (r *run) drawZone() int {
	zone := r.overload.drawZone(r.world.Rnd, r.deployment.Zones)
	if zone == 0 && r.movedShare > 0 && r.world.Rnd.Float64() < r.movedShare {
		return 1 % r.deployment.Zones
	}
	return zone
}

// maxCloseDelay returns the maximum delay until a caller's FIN reaches the agent of its flow.
func (r *run) maxCloseDelay() time.Duration {
	return r.deployment.ClientDelay.D() + 2*r.deployment.ZoneDelay.D()
}

// longestDeadline returns the longest deadline of all classes.
func (r *run) longestDeadline() time.Duration {
	longest := time.Duration(0)
	for _, c := range r.deployment.Classes {
		longest = max(longest, c.Deadline.D())
	}
	return longest
}
