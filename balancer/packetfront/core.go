package packetfront

import (
	"math/rand/v2"
	"time"

	"github.com/poppywall/poppywall/balancer/operator"
	"github.com/poppywall/poppywall/balancer/search"
	"github.com/poppywall/poppywall/choose"
	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/fleet/zonecast"
	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/flow/envelope"
)

// Port is how the core sends; it must not keep the slices.
type Port interface {
	// ToNode sends a datagram to a node: a head and what follows it.
	ToNode(node flow.IPv4, head, packet []byte)
	// Reset ends a flow at its client.
	Reset(key flow.Key, seq uint32)
}

// Options are the core's parameters.
type Options struct {
	// Self is this node's address between nodes.
	Self flow.IPv4
	Zone flow.Tag
	// Seeds are addresses of balancers to join by.
	Seeds []flow.IPv4
	// Incarnation is random for each start.
	Incarnation uint64
	Weights     choose.Weights
	// LinkMbps is the width of this VM's link, Mbit/s, zero when it is not known.
	LinkMbps float64
	// FollowTime is how long after an answer of the store a balancer counts as fed:
	// a watch's waiting time and its time-out.
	FollowTime time.Duration
	// RelayFrom is the number of a zone's balancers from which on the nodes of other
	// zones reach it through relays; zonecast.From unless it is set.
	RelayFrom int
}

// Times of the core, chosen with the bounds of the platform's routers and
// clients in mind.
const (
	// tickPeriod drives the core.
	tickPeriod = 100 * time.Millisecond
	// joinPeriod is the pause between tries to join by the seeds.
	joinPeriod = 200 * time.Millisecond
	// bootstrapQueries is how many balancers beside the seeds a fresh one asks each
	// joinPeriod for the nodes that they know.
	bootstrapQueries = 2
	// rejoinPeriod is the same for seeds still unknown once others are known.
	rejoinPeriod = 3 * time.Second
	// refuseWithin is how long after the first copy of a SYN a flow may be
	// reset: the client sends the next copy after 200 ms, and another target may
	// take that one.
	refuseWithin = 150 * time.Millisecond
	// nodeRequestPause is the least pause between requests for another balancer's
	// nodes after views were found to differ.
	nodeRequestPause = 500 * time.Millisecond
	// expirePeriod is how often what is too old is forgotten.
	expirePeriod = time.Second
	// minIdle is the least time for which an idle flow is remembered, whatever
	// the configuration says.
	minIdle = 20 * time.Second
	// agentBeacons is how many beacon periods pass between beacons to agents.
	agentBeacons = 2
)

// Core decides what happens to each packet. It is not safe for concurrent use;
// its owner holds a lock.
type Core struct {
	opts   Options
	port   Port
	codec  flow.Codec
	rnd    *rand.Rand
	events Events

	operator  *operator.State
	view      *fleet.View
	table     *search.Table
	proof     *search.Proof
	finder    *search.Finder
	startedAt time.Time
	// wasFresh is what the proof said at the last tick.
	wasFresh bool

	seq     uint32
	leaving bool
	// rotation tells whether the balancer takes part.
	rotation rotation
	// nextSameZone and nextCrossZone are when nodes of the own and of other zones are told
	// again, farPeriod is the pause for the latter.
	nextSameZone, nextCrossZone time.Time
	crossZonePeriod             time.Duration
	nextExpire                  time.Time
	nextJoin                    time.Time
	nextNodeRequest             time.Time
	// registeredBalancers is the last reading of the balancers' registry.
	registeredBalancers fleet.UnseenTracker
	nextAudit           time.Time
	// deadNodes are dead nodes that are still in the registry, nextDepart is when they
	// may be taken out.
	deadNodes    []DeadNode
	nextRemoval  time.Time
	relays       crossZone
	snapshots    snapshotSources
	loads        serviceLoads
	beaconRounds int
	// lastDigest is the view's digest at a moment, zero time when it has changed.
	lastDigest uint32
	digestAt   time.Time

	// Scratch space, so that a packet costs no allocation.
	env     envelope.Envelope
	buf     []byte
	plan    candidatePlan
	offers  []choose.Offer
	offerOf []*fleet.Target
	// expected is the delay that the first of the last candidates was chosen by.
	expected time.Duration
}

// New returns a core that knows nothing yet.
func New(now time.Time, opts Options, port Port, codec flow.Codec, events Events, rnd *rand.Rand) *Core {
	if opts.RelayFrom == 0 {
		opts.RelayFrom = zonecast.RelayThreshold
	}
	c := &Core{
		opts: opts, port: port, codec: codec, events: events, rnd: rnd,
		view: fleet.NewView(), table: search.NewTable(search.MaxFlows), startedAt: now,
		buf: make([]byte, 0, 2048), plan: newCandidatePlan(), relays: newRelays(opts, events.ZoneRelayed),
		loads: serviceLoads{}, snapshots: snapshotSources{avoidUntil: map[flow.IPv4]time.Time{}},
	}
	c.operator = operator.New(now, operator.Options{Self: opts.Self, Zone: opts.Zone, FollowTime: opts.FollowTime}, c.view, listener{c}, rnd)
	c.proof = search.NewProof(now, opts.Self, opts.Seeds, c.view)
	found := search.Options{Self: opts.Self, Zone: opts.Zone, Incarnation: opts.Incarnation, First: searchFirstTargets}
	c.finder = search.New(found, c.operator.Config, c.view, c.table, c.proof, codec, finderPort{c}, events)
	return c
}

// SetSeeds replaces the balancers to join by.
func (c *Core) SetSeeds(seeds []flow.IPv4) {
	c.opts.Seeds = seeds
	c.proof.SetSeeds(seeds)
}

// View returns what is known of the fleet.
func (c *Core) View() *fleet.View { return c.view }

// TickPeriod is how long after a tick the next one is due: soon while packets
// may wait for what a balancer learns first.
func (c *Core) TickPeriod(now time.Time) time.Duration {
	if c.proof.Settled(now) {
		return tickPeriod
	}
	return search.BufferRetryInterval
}

// Ready tells whether clients' packets may come: a configuration is in force and
// the targets had the time to announce themselves.
func (c *Core) Ready(now time.Time) bool {
	if c.operator.Config() == nil || c.leaving || c.rotation.standby {
		return false
	}
	return c.view.TargetCount() > 0 || now.Sub(c.startedAt) > search.SettleTime
}

// Leave makes the balancer unready and tells the others.
func (c *Core) Leave(now time.Time) {
	c.leaving = true
	c.sendBeacons(now, c.view.Balancers())
	c.sendBeacons(now, c.directAgents())
}

// idle is how long an idle flow is remembered.
func (c *Core) idle() time.Duration {
	if c.operator.Config() == nil {
		return minIdle
	}
	return max(c.operator.Config().IdleTimeout, minIdle)
}

// HandleClient takes a packet that a client sent.
func (c *Core) HandleClient(now time.Time, h *flow.Header, packet []byte) {
	c.route(now, h.KeyFromClient(), h, packet)
}

// route sends a client's packet on its way, or keeps it while that is not known.
func (c *Core) route(now time.Time, key flow.Key, h *flow.Header, packet []byte) {
	if c.operator.Config() == nil {
		c.finder.Buffer(now, key, h, packet, search.BufferNoConfig)
		return
	}
	if h.IsOpening() {
		c.openFlow(now, key, h, packet)
		return
	}
	if target, ok := c.finder.Known(now, key); ok {
		c.forward(key, target, packet)
		c.finder.ForwardBuffered(key, target)
		return
	}
	c.finder.Search(now, key, h, packet)
}

// forward sends a packet to the target that is remembered for its flow.
func (c *Core) forward(key flow.Key, target flow.IPv4, packet []byte) {
	c.events.Forwarded()
	c.env = envelope.Envelope{Kind: envelope.Deliver, Balancer: c.opts.Self}
	c.send(target, packet)
}

func (c *Core) send(target flow.IPv4, packet []byte) { c.sendIn(&c.env, target, packet) }

func (c *Core) sendIn(env *envelope.Envelope, target flow.IPv4, packet []byte) {
	c.buf = env.Append(c.buf[:0])
	c.rotation.count(len(c.buf) + len(packet))
	c.port.ToNode(target, c.buf, packet)
}

// openFlow sends a client's SYN to a target. A copy goes where the first one went; the
// candidates behind it are for the case that the target refuses.
func (c *Core) openFlow(now time.Time, key flow.Key, h *flow.Header, packet []byte) {
	route, ok := c.operator.Config().Routes[key.Front()]
	if !ok {
		c.finder.Discard(key)
		// Silence, not a reset: this balancer may be the one that has not heard
		// of a new route yet, and a copy may reach another one.
		c.events.Dropped(search.DropNoRoute)
		return
	}
	hash := key.Hash()
	backend := route.Pick(hash)
	service := c.serviceLoad(now, backend)
	candidates := c.openCandidates(now, hash, backend.Tag)
	if len(candidates) == 0 {
		c.noTarget(now, key, h, route, backend, packet)
		return
	}
	if service.Overloaded {
		c.preferFreeSlots(now, candidates)
	}
	c.finder.Discard(key)
	remembered, known := c.table.Get(now, key)
	repeated := known && h.Ack > 0
	if repeated {
		candidates = toFront(candidates, remembered)
	}
	candidates = candidates[:min(len(candidates), service.openTries())]
	if service.Overloaded {
		candidates = c.dropRefusing(now, candidates, route.Objective)
	}
	chosen := candidates[0]
	if h.Ack == 0 {
		c.table.RecordSYN(now, key, chosen.Target)
	} else {
		c.table.Put(now, key, chosen.Target)
	}
	target, _ := c.view.Target(chosen.Target)
	target.FlowsSent++
	c.events.Opened(Decision{Key: key, Route: route.Name, Service: backend.Name, Target: target, Config: c.operator.Config().Version, Evacuations: c.operator.Evacuations().Revision,
		Age: now.Sub(target.LastSeen), Expected: c.expected, OtherZone: target.Zone != c.opts.Zone, Candidates: len(candidates), Copy: h.Ack})
	c.env = envelope.Envelope{
		Kind: envelope.Deliver, Balancer: c.opts.Self, Service: chosen.Service, Priority: route.Priority,
		Objective: route.Objective, Deadline: route.Deadline, ColdRate: c.operator.Config().ColdRates[backend.Tag],
	}
	if repeated {
		c.env.Flags |= envelope.Retransmitted
	}
	c.env.SetCandidates(candidates[1:])
	c.send(chosen.Target, packet)
}

// noTarget answers a SYN for which no target is known, or none that may get it.
func (c *Core) noTarget(now time.Time, key flow.Key, h *flow.Header, route *flow.Route, backend flow.Backend, packet []byte) {
	reason := c.refusal(backend.Tag)
	if c.proof.Fresh(now) || (!c.proof.Settled(now) && reason == "") {
		c.finder.Buffer(now, key, h, packet, search.BufferNoTarget)
		return
	}
	c.finder.Discard(key)
	if reason == "" {
		reason = "no target of the service"
	}
	c.refuse(key, h, reason, route.Name)
}

// refuse resets a flow that cannot be opened; nothing of it has run. Only the
// first copy is answered: a later one may cross the answer to an earlier one,
// whose flow is open by then.
func (c *Core) refuse(key flow.Key, h *flow.Header, reason, route string) {
	if h.Ack > 0 {
		c.events.Dropped(DropCopyRefused)
		return
	}
	c.events.Refused(key, reason, route)
	c.port.Reset(key, 0)
}
