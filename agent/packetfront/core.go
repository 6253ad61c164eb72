package packetfront

import (
	"time"

	"github.com/go-faster/errors"

	"github.com/poppywall/poppywall/backlog"
	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/fleet/zonecast"
	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/flow/envelope"
)

// Port sends packets and messages for the core. Implementations must not retain the slices.
type Port interface {
	// ToNode sends a datagram to a node: the head followed by the packet.
	ToNode(node flow.IPv4, head, packet []byte)
	// ToTarget delivers a client's packet to the target.
	ToTarget(packet []byte)
	// ToClient sends a target's packet to its client.
	ToClient(client flow.IPv4, packet []byte)
	// Reset sends a reset of a flow to its client.
	Reset(key flow.Key, seq uint32)
}

// Options are the core's parameters.
type Options struct {
	Self    flow.IPv4
	Zone    flow.Tag
	Service flow.ServiceID
	// Seeds are the addresses of the balancers to which the target is announced first.
	Seeds []flow.IPv4
	// Incarnation identifies this incarnation of the process; it is random for each start.
	Incarnation uint64
	// HeartbeatPeriod is the time between two heartbeats of the target.
	HeartbeatPeriod time.Duration
	// AddressReuse is the minimum time between the end of a target and the start of another service's
	// at its address; defaultAddressReuse if zero.
	AddressReuse time.Duration
	// FlowTTL is the idle time after which a flow may expire.
	FlowTTL time.Duration
	// RelayThreshold is the number of balancers in a zone at and above which nodes of other zones
	// reach the zone through relays; zonecast.RelayThreshold if zero.
	RelayThreshold int
}

// Times and limits of the core.
const (
	// joinPeriod is the pause between announcements to the seeds while no balancer is known.
	joinPeriod = 100 * time.Millisecond
	// unregisteredPeriod is the pause between announcements to the seeds while the target is
	// not in the registry: two fit into the time for which a balancer considers its view
	// incomplete.
	unregisteredPeriod = 200 * time.Millisecond
	// minAnnouncePause is the minimum pause between early announcements of the load.
	minAnnouncePause = 100 * time.Millisecond
	// loadChangeStep is the change of load, in slots, that is announced early.
	loadChangeStep = 2
	// defaultSlots is the assumed number of slots of a target before its first heartbeat.
	defaultSlots = 4
	// probeAfterMissedHeartbeats is the number of heartbeat periods without a heartbeat
	// after which the target is probed.
	probeAfterMissedHeartbeats = 2.5
	// answerTimeout is how long the target may leave a packet unanswered before it is probed.
	answerTimeout = 300 * time.Millisecond
	// deregistrationGrace is how long after its deregistration a target's earlier heartbeats may
	// still arrive.
	deregistrationGrace = 500 * time.Millisecond
)

// Core decides what happens to each packet to and from one target. It is not safe for
// concurrent use; callers must hold a lock.
type Core struct {
	opts   Options
	port   Port
	codec  flow.Codec
	events Events

	view *fleet.View
	// evacuations are the evacuated zones, as of the highest revision received.
	evacuations flow.Evacuations
	flows       *flows
	deliveries  *deliveryRing
	denied      deniedFlows
	target      target

	acks      acks
	health    health
	cold      cold
	copyState copyState
	queue     backlog.Queue[flow.Key]
	estimate  backlog.ServiceEstimate
	// lastAnswerAt is when the last completed answer was observed.
	lastAnswerAt time.Time
	outage       backlog.Outage
	overload     overload
	pendingOpens []pendingOpen

	// targetKnown is set once the target has sent something, or a target probe has finished and
	// leaves no doubt whether a target runs.
	targetKnown bool
	// wantedEntryState is the desired state of the registry entry, registration its last known
	// state.
	wantedEntryState fleet.EntryState
	registration     fleet.Registration
	// mayAnnounce is set once the agent may send announcements.
	mayAnnounce      bool
	seq              uint32
	leaving          bool
	lastAnnouncement fleet.Announcement
	lastAnnouncedAt  time.Time
	// nextSameZone and nextCrossZone are when the next announcements to balancers of the
	// local and of other zones are due; crossZonePeriod is the period of the latter.
	nextSameZone, nextCrossZone time.Time
	crossZonePeriod             time.Duration
	relays                      relayState
	nextJoin                    time.Time
	nextExpire                  time.Time

	// Scratch space that avoids an allocation per packet: the envelope of the current
	// packet, and a buffer for messages.
	env envelope.Envelope
	buf []byte
}

// New returns the core of an agent that has just started: the state of its target is unknown
// and its view is empty.
func New(now time.Time, opts Options, port Port, codec flow.Codec, events Events) *Core {
	if opts.RelayThreshold == 0 {
		opts.RelayThreshold = zonecast.RelayThreshold
	}
	c := &Core{
		opts: opts, port: port, codec: codec, events: events,
		view: fleet.NewView(), deliveries: newDeliveryRing(), denied: newDeniedFlows(), acks: newAcks(), health: newHealth(),
		estimate: backlog.NewServiceEstimate(defaultServiceTime, defaultSlots),
		buf:      make([]byte, 0, 2048), relays: newRelayState(opts, events.ZoneRelayed),
	}
	c.flows = newFlows(func(r *queuedRequest) { c.queue.Remove(r.key) }, c.reportExpired)
	c.target.identity = newIdentity(now, opts.AddressReuse)
	c.cold.window.AssumeFull(now)
	c.overload.NoteOutage(now)
	return c
}

// SetSeeds replaces the seeds, the balancers to which the target is announced first.
func (c *Core) SetSeeds(seeds []flow.IPv4) { c.opts.Seeds = seeds }

// Busy returns the number of flows that count as load: they wait for an answer or soon will.
func (c *Core) Busy() int { return c.flows.busy }

// Balancers returns the number of balancers known.
func (c *Core) Balancers() int { return len(c.view.Balancers()) }

// Evacuations returns the evacuated zones that are in force at the agent.
func (c *Core) Evacuations() flow.Evacuations { return c.evacuations }

// HandleNode handles a datagram of another node.
func (c *Core) HandleNode(now time.Time, from flow.IPv4, datagram []byte) {
	kind, err := envelope.KindOf(datagram)
	switch {
	case errors.Is(err, envelope.ErrVersion):
		c.events.OtherVersion(from, envelope.VersionOf(datagram))
		return
	case err != nil:
		c.events.Dropped(DropMalformed)
		return
	}
	switch kind {
	case envelope.Deliver:
		err = c.handleDeliver(now, datagram)
	case envelope.Beacon:
		err = c.handleBeacon(now, from, datagram)
	case envelope.Batch:
		err = c.handleBatch(now, datagram)
	case envelope.Peers:
		err = c.handlePeers(now, datagram)
	default:
		err = envelope.ErrMalformed
	}
	if err != nil {
		c.events.Dropped(DropMalformed)
	}
}

func (c *Core) handleDeliver(now time.Time, datagram []byte) error {
	packet, err := c.env.Decode(datagram)
	if err != nil {
		return err
	}
	h, err := c.codec.Decode(packet)
	if err != nil {
		return err
	}
	if h.IsOpening() {
		c.handleSYN(now, &h, packet)
		return nil
	}
	c.deliverToFlow(now, &h, packet)
	return nil
}

// handleSYN delivers a SYN to the target, passes it on to the next candidate, or leaves the
// flow to its client's next SYN.
func (c *Core) handleSYN(now time.Time, h *flow.Header, packet []byte) {
	key := h.KeyFromClient()
	reason, ok := c.refusal(now)
	if ok && c.health.ejected && c.env.Count > 0 {
		reason, ok = "target ejected", false
	}
	if ok && c.flows.get(key) == nil && c.coldLimitReached(now) {
		reason, ok = "target cold", false
	}
	if !ok {
		c.events.PassedOn(key, reason, int(c.env.Hops))
		c.redirectToShortestWait()
		c.passToNextCandidate(packet, true)
		return
	}
	if c.flows.get(key) == nil && c.atLimit() && !c.admitWhenFull(now, key, h, packet) {
		return
	}
	c.admit(now, key, h, packet)
}

// admit delivers a SYN to the target and creates the record of a new flow. A SYN's Ack counts the
// SYNs of the flow sent before it.
func (c *Core) admit(now time.Time, key flow.Key, h *flow.Header, packet []byte) {
	c.cold.window.Add(now)
	c.denied.remove(key)
	if r := c.flows.get(key); r != nil && r.supersededBy(now, now.Add(-backlog.RetransmissionAge(h.Ack))) {
		r.request = c.requestParamsOf(now, h)
	}
	if c.flows.get(key) == nil {
		r := c.flows.ensure(now, key)
		r.stage = offered
		r.request = c.requestParamsOf(now, h)
		c.countArrival(now, h)
		c.addPendingOpen(now, key, r)
		if c.env.Hops > 0 {
			r.balancer = c.env.Balancer
		}
	}
	c.deliverRecorded(now, key, packet)
}

// refusal returns whether the target may get a new flow now, and if not, the reason.
func (c *Core) refusal(now time.Time) (string, bool) {
	c.checkIdentity(now)
	switch {
	case c.env.Service != c.opts.Service:
		return "another service", false
	case c.evacuations.Has(c.opts.Zone):
		return "zone emptied", false
	case c.target.identity.unproven:
		return "target has not reported", false
	case !c.target.acceptsFlows() || c.leaving:
		return "target " + c.target.state().String(), false
	}
	return "", true
}

// deliverRecorded delivers a packet that the target may bounce, and records its envelope so
// that the bounced packet can be passed on.
func (c *Core) deliverRecorded(now time.Time, key flow.Key, packet []byte) {
	c.codec.SetEcho(packet, c.deliveries.put(key, &c.env))
	c.target.expectAnswer(now)
	c.events.Delivered()
	c.port.ToTarget(packet)
}

// deliverToFlow handles a client's packet other than a SYN: it delivers the packet if the target
// holds or may hold the flow, resets a flow whose target has ended, and otherwise passes the
// packet on.
func (c *Core) deliverToFlow(now time.Time, h *flow.Header, packet []byte) {
	key := h.KeyFromClient()
	r := c.flows.get(key)
	if r == nil || !r.matches(h) {
		c.deliverUnknownFlow(now, key, h, packet)
		return
	}
	if r.stage == dead {
		c.events.Reset(key, "its target has ended", c.target.evidence(now))
		c.port.Reset(key, h.Ack)
		return
	}
	c.recordClientPacket(now, r, h)
	// The acknowledgement matches this target's sequence numbers, so no other target holds
	// the flow, even if this one has not received the packet yet.
	if c.env.Flags&envelope.Search != 0 || c.env.Hops > 0 {
		c.sendOwner(key, c.env.Balancer, c.env.Hops)
	}
	if h.Len > 0 && !c.acceptData(now, key, r, h, packet) {
		return
	}
	c.deliverPacket(now, key, r, packet)
	if endsFlow(h) {
		c.abandon(now, key, r, ClientLeft)
		c.dispatchQueued(now)
	}
}

// endsFlow reports whether a client ends its flow. A client that sends a FIN together with data
// still waits for the answer.
func endsFlow(h *flow.Header) bool {
	return h.Len == 0 && (h.Flags.Has(flow.FIN) || h.Flags.Has(flow.RST))
}

// acceptData reports whether a client's data is delivered now rather than withheld or queued.
func (c *Core) acceptData(now time.Time, key flow.Key, r *record, h *flow.Header, packet []byte) bool {
	if c.withhold(now, key, r, packet) {
		return false
	}
	c.countLaterRequest(now, r)
	c.flows.markBusy(now, r)
	if c.enqueueIfBusy(now, key, r, h, packet) {
		return false
	}
	r.deliveredAt = now
	return true
}

// deliverPacket delivers a packet of a flow that the target holds.
func (c *Core) deliverPacket(now time.Time, key flow.Key, r *record, packet []byte) {
	if r.stage.awaitsTarget() {
		c.deliverRecorded(now, key, packet)
		return
	}
	c.codec.SetEcho(packet, 0)
	c.target.expectAnswer(now)
	c.events.Delivered()
	c.port.ToTarget(packet)
}

// recordClientPacket updates the flow's record from a packet of the client that acknowledges what
// the target sent.
func (c *Core) recordClientPacket(now time.Time, r *record, h *flow.Header) {
	if h.Len > 0 && r.queued == nil && !r.withheld && now.Sub(r.acceptedAt) > firstRequestWindow {
		r.request.began = time.Time{}
	}
	r.usedAt = now
	r.clientAck = h.Ack
	if r.stage == halfOpen && !h.Flags.Has(flow.RST) {
		c.flows.setStage(r, acknowledged)
	}
	if h.Flags.Has(flow.FIN) {
		r.clientFin = true
	}
}

// deliverUnknownFlow handles a packet of a flow without a matching record. An agent that saw its
// target start has records of all flows and passes the packet on; any other agent delivers it,
// and the target bounces what it does not hold. An agent that has not probed its target yet has
// usually just restarted beside a target that runs. A flow that the target has bounced before is passed
// on: while its own agent keeps its data, balancers that have just started search for it with each
// packet, and none of these may reach this target.
func (c *Core) deliverUnknownFlow(now time.Time, key flow.Key, h *flow.Header, packet []byte) {
	if c.target.ended || (c.target.sawStart && !c.flows.overflowed) || c.denied.has(key, h.Ack) {
		c.denyFlow(now, key, packet, true)
		return
	}
	if !c.target.probedAt.IsZero() && (c.target.state() == fleet.Absent || c.target.state() == fleet.Gone) {
		c.denyFlow(now, key, packet, false)
		return
	}
	// If the target holds the flow, its next packet on it completes the record.
	r := c.flows.ensure(now, key)
	r.balancer = c.env.Balancer
	if endsFlow(h) {
		r.abandonedFor = ClientLeft
	}
	c.deliverRecorded(now, key, packet)
}

// denyFlow passes on a packet of an open flow that the target does not hold.
func (c *Core) denyFlow(now time.Time, key flow.Key, packet []byte, certain bool) {
	c.events.FlowDenied(key, c.flows.describe(key), certain, int(c.env.Hops), c.target.evidence(now))
	c.passToNextCandidate(packet, certain)
}

// passToNextCandidate sends a packet to its next candidate, or back to its balancer if there is
// none. certain is set if this target certainly does not hold the flow.
func (c *Core) passToNextCandidate(packet []byte, certain bool) {
	if !certain {
		c.env.Flags |= envelope.Uncertain
	}
	c.env.Hops++
	next, ok := c.env.Pop()
	if ok && c.env.Hops < envelope.MaxHops {
		c.sendEnvelope(next, packet)
		return
	}
	if ok {
		c.env.Flags |= envelope.Uncertain
	}
	if c.env.Flags&envelope.Search != 0 {
		c.env.Flags |= envelope.SearchExhausted
	}
	c.env.Kind = envelope.Returned
	c.sendEnvelope(c.env.Balancer, packet)
}

func (c *Core) sendEnvelope(to flow.IPv4, packet []byte) {
	c.buf = c.env.Append(c.buf[:0])
	c.port.ToNode(to, c.buf, packet)
}

// sendOwner notifies a balancer that this target holds a flow.
func (c *Core) sendOwner(key flow.Key, balancer flow.IPv4, hops uint8) {
	e := envelope.Envelope{Kind: envelope.Owner, Balancer: balancer, Hops: hops}
	c.buf = envelope.AppendKey(e.Append(c.buf[:0]), key)
	c.port.ToNode(balancer, c.buf, nil)
}
