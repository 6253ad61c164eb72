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

// Port is how a core sends packets; it must not retain the slices.
type Port interface {
	// ToNode sends a datagram to a node: a header followed by a packet.
	ToNode(node flow.IPv4, head, packet []byte)
	// Reset resets a flow at its client.
	Reset(key flow.Key, seq uint32)
}

// Options are the core's parameters.
type Options struct {
	// Self is this balancer's address on the network between nodes, Zone its zone.
	Self flow.IPv4
	Zone flow.Tag
	// Seeds are the addresses of the balancers to join through.
	Seeds []flow.IPv4
	// Incarnation identifies this incarnation of the process; it is random for each start.
	Incarnation uint64
	Weights     choose.Weights
	// LinkMbps is the capacity of this VM's link, in Mbit/s; zero if it is not known.
	LinkMbps float64
	// FollowTime is how long after an answer of the store a balancer counts as following it:
	// a watch's waiting time and its timeout.
	FollowTime time.Duration
	// RelayThreshold is the number of balancers in a zone at and above which nodes of other zones
	// reach the zone through relays; zonecast.RelayThreshold if zero.
	RelayThreshold int
}

// Timing of the core.
const (
	// tickPeriod is the time between ticks once the balancer has settled.
	tickPeriod = 100 * time.Millisecond
	// joinPeriod is the time between attempts to join through the seeds.
	joinPeriod = 200 * time.Millisecond
	// bootstrapQueries is how many balancers, in addition to the seeds, a balancer that has
	// just started asks in each joinPeriod for the nodes that they know.
	bootstrapQueries = 2
	// rejoinPeriod replaces joinPeriod once the balancer has settled and knows other
	// balancers; it serves seeds that are still unknown.
	rejoinPeriod = 3 * time.Second
	// refuseWithin is how long after its first SYN a refused flow may be reset: the client
	// retransmits the SYN after 200 ms, and another target may accept that one.
	refuseWithin = 150 * time.Millisecond
	// nodeRequestPause is the minimum time between requests for the nodes that another
	// balancer knows, which are sent when its view differs from this one's.
	nodeRequestPause = 500 * time.Millisecond
	// expirePeriod is how often idle flows and nodes that are not seen are removed.
	expirePeriod = time.Second
	// minIdle is the minimum time for which an idle flow stays in the table, even if the
	// configured idle timeout is shorter.
	minIdle = 20 * time.Second
	// roundsPerAgentBeacon is the number of rounds of beacons to balancers for each round to agents.
	roundsPerAgentBeacon = 2
)

// Core decides where each packet is sent. It is not safe for concurrent use; its owner holds
// a lock.
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
	// wasFresh is whether the balancer was fresh at the last tick (search.Proof.Fresh).
	wasFresh bool

	// seq is the sequence number of the last beacon.
	seq     uint32
	leaving bool
	// rotation decides whether the balancer is in the routers' rotation.
	rotation rotation
	// nextSameZone and nextCrossZone are when the next beacons to nodes of the local zone and
	// of other zones are due; crossZonePeriod is the period of the latter.
	nextSameZone, nextCrossZone time.Time
	crossZonePeriod             time.Duration
	nextExpire                  time.Time
	nextJoin                    time.Time
	nextNodeRequest             time.Time
	// registeredBalancers is the last snapshot of the balancers' registry.
	registeredBalancers fleet.UnseenTracker
	nextAudit           time.Time
	// deadNodes are dead nodes that are still in the registry; nextRemoval is when they may
	// be removed from it.
	deadNodes   []DeadNode
	nextRemoval time.Time
	relays      relayState
	snapshots   snapshotSources
	loads       serviceLoads
	// beaconRounds counts the rounds of beacons to the local zone.
	beaconRounds int
	// lastDigest is the view's digest at digestAt; digestAt is zero if nodes have joined, changed or
	// expired since.
	lastDigest uint32
	digestAt   time.Time

	// Scratch space, so that a packet costs no allocation.
	env          envelope.Envelope
	buf          []byte
	plan         candidatePlan
	offers       []choose.Offer
	offerTargets []*fleet.Target
	// expectedDelay is the expected delay at the cheapest target of the last choice.
	expectedDelay time.Duration
}

// New returns the core of a balancer that has just started, with an empty view.
func New(now time.Time, opts Options, port Port, codec flow.Codec, events Events, rnd *rand.Rand) *Core {
	if opts.RelayThreshold == 0 {
		opts.RelayThreshold = zonecast.RelayThreshold
	}
	c := &Core{
		opts: opts, port: port, codec: codec, events: events, rnd: rnd,
		view: fleet.NewView(), table: search.NewTable(search.MaxFlows), startedAt: now,
		buf: make([]byte, 0, 2048), plan: newCandidatePlan(), relays: newRelayState(opts, events.ZoneRelayed),
		loads: serviceLoads{}, snapshots: snapshotSources{avoidUntil: map[flow.IPv4]time.Time{}},
	}
	c.operator = operator.New(now, operator.Options{Self: opts.Self, Zone: opts.Zone, FollowTime: opts.FollowTime}, c.view, listener{c}, rnd)
	c.proof = search.NewProof(now, opts.Self, opts.Seeds, c.view)
	finderOpts := search.Options{Self: opts.Self, Zone: opts.Zone, Incarnation: opts.Incarnation, FirstTargets: searchFirstTargets, LinkMbps: opts.LinkMbps}
	c.finder = search.New(finderOpts, c.operator.Config, c.view, c.table, c.proof, codec, finderPort{c}, events)
	return c
}

// SetSeeds replaces the seeds, the balancers to join through.
func (c *Core) SetSeeds(seeds []flow.IPv4) {
	c.opts.Seeds = seeds
	c.proof.SetSeeds(seeds)
}

// View returns the balancer's view of the fleet.
func (c *Core) View() *fleet.View { return c.view }

// TickPeriod returns the time until the next tick. It is shorter until the balancer has
// settled, because packets may be buffered until its first targets are known.
func (c *Core) TickPeriod(now time.Time) time.Duration {
	if c.proof.Settled(now) {
		return tickPeriod
	}
	return search.BufferRetryInterval
}

// Ready reports whether the routers may send clients' packets: a configuration is in force,
// the targets have had time to announce themselves, and the balancer is neither leaving nor
// out of rotation.
func (c *Core) Ready(now time.Time) bool {
	if c.operator.Config() == nil || c.leaving || c.rotation.standby {
		return false
	}
	return c.view.TargetCount() > 0 || now.Sub(c.startedAt) > search.SettleTime
}

// Leave makes the balancer unready and announces that at once.
func (c *Core) Leave(now time.Time) {
	c.leaving = true
	c.sendBeacons(now, c.view.Balancers())
	c.sendBeacons(now, c.directAgents())
}

// idleTimeout returns how long an idle flow stays in the table.
func (c *Core) idleTimeout() time.Duration {
	if c.operator.Config() == nil {
		return minIdle
	}
	return max(c.operator.Config().IdleTimeout, minIdle)
}

// HandleClient handles a packet from a client.
func (c *Core) HandleClient(now time.Time, h *flow.Header, packet []byte) {
	c.route(now, h.KeyFromClient(), h, packet)
}

// route forwards a client's packet, or buffers it until it can be routed.
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

// forward sends a packet to the target that is recorded for its flow.
func (c *Core) forward(key flow.Key, target flow.IPv4, packet []byte) {
	c.events.Forwarded()
	c.env = envelope.Envelope{Kind: envelope.Deliver, Balancer: c.opts.Self}
	c.send(target, packet)
}

// send sends a packet to a target in the scratch envelope.
func (c *Core) send(target flow.IPv4, packet []byte) { c.sendEnvelope(&c.env, target, packet) }

func (c *Core) sendEnvelope(env *envelope.Envelope, target flow.IPv4, packet []byte) {
	c.buf = env.Append(c.buf[:0])
	c.rotation.recordSent(len(c.buf) + len(packet))
	c.port.ToNode(target, c.buf, packet)
}

// openFlow sends a client's SYN to a target. A retransmission goes to the target recorded last for
// the flow, if that is still a candidate. The envelope lists further candidates, in case the target
// refuses. A SYN's Ack counts the SYNs of the flow sent before it; a retransmission is marked as
// one only if the flow is recorded here, which it is not if the earlier SYNs reached other
// balancers.
func (c *Core) openFlow(now time.Time, key flow.Key, h *flow.Header, packet []byte) {
	route, ok := c.operator.Config().Routes[key.Front()]
	if !ok {
		c.finder.Discard(key)
		// No reset: the route may be new and not in force here yet, and a retransmission
		// may reach another balancer.
		c.events.Dropped(search.DropNoRoute)
		return
	}
	hash := key.Hash()
	backend := route.Pick(hash)
	load := c.serviceLoad(now, backend)
	candidates := c.openCandidates(now, hash, backend.ID)
	if len(candidates) == 0 {
		c.handleNoTarget(now, key, h, route, backend, packet)
		return
	}
	if load.Overloaded {
		c.preferFreeSlots(now, candidates)
	}
	c.finder.Discard(key)
	recorded, known := c.table.Get(now, key)
	retransmitted := known && h.Ack > 0
	if retransmitted {
		candidates = flow.MoveToFront(candidates, recorded)
	}
	candidates = candidates[:min(len(candidates), load.maxOpenAttempts())]
	if load.Overloaded {
		candidates = c.dropRefusing(now, candidates, route.Objective)
	}
	chosen := candidates[0]
	if h.Ack == 0 {
		c.table.RecordSYN(now, key, chosen)
	} else {
		c.table.Put(now, key, chosen)
	}
	target, _ := c.view.Target(chosen)
	target.FlowsSent++
	c.events.Opened(Decision{Key: key, Route: route.Name, Service: backend.Name, Target: target, Config: c.operator.Config().Version, Evacuations: c.operator.Evacuations().Revision,
		ReportAge: now.Sub(target.LastSeen), ExpectedDelay: c.expectedDelay, CrossZone: target.Zone != c.opts.Zone, Candidates: len(candidates), Retransmissions: h.Ack})
	c.env = envelope.Envelope{
		Kind: envelope.Deliver, Balancer: c.opts.Self, Service: backend.ID, Priority: route.Priority,
		Objective: route.Objective, Deadline: route.Deadline, ColdRate: c.operator.Config().ColdRates[backend.ID],
	}
	if retransmitted {
		c.env.Flags |= envelope.Retransmitted
	}
	c.env.SetCandidates(candidates[1:])
	c.send(chosen, packet)
}

// handleNoTarget handles a SYN for which there is no target: none is known, or none of them may
// get new flows. The SYN is buffered while targets may still be unknown, otherwise refused.
func (c *Core) handleNoTarget(now time.Time, key flow.Key, h *flow.Header, route *flow.Route, backend flow.WeightedService, packet []byte) {
	reason := c.refusalReason(backend.ID)
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

// refuse resets a flow that cannot be opened; no target has received its request. Only the first
// SYN is answered with a reset: when a retransmission is refused, the flow may already be open at
// the target that accepted an earlier SYN. A SYN's Ack counts the SYNs of the flow sent before it.
func (c *Core) refuse(key flow.Key, h *flow.Header, reason, route string) {
	if h.Ack > 0 {
		c.events.Dropped(DropRetransmissionRefused)
		return
	}
	c.events.Refused(key, reason, route)
	c.port.Reset(key, 0)
}
