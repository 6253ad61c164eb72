package packetfront

import (
	"time"

	"github.com/poppywall/poppywall/backlog"
	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/fleet/zonecast"
	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/flow/envelope"
)

// Port is how the core sends; it must not keep the slices.
type Port interface {
	// ToNode sends a datagram to a node: a head and what follows it.
	ToNode(node flow.IPv4, head, packet []byte)
	// ToTarget hands a client's packet to the target.
	ToTarget(packet []byte)
	// ToClient sends a target's packet to its client.
	ToClient(client flow.IPv4, packet []byte)
	// Reset ends a flow at its client.
	Reset(key flow.Key, seq uint32)
}

// Options are the core's parameters.
type Options struct {
	Self          flow.IPv4
	Zone, Service flow.Tag
	// Seeds are addresses of balancers to join by.
	Seeds []flow.IPv4
	// Incarnation is random for each start.
	Incarnation uint64
	// HeartbeatPeriod is how often the target reports.
	HeartbeatPeriod time.Duration
	// FlowTTL is the age from which a flow may be forgotten.
	FlowTTL time.Duration
	// RelayFrom is the number of a zone's balancers from which on the nodes of other
	// zones reach it through relays; zonecast.From unless it is set.
	RelayFrom int
}

// Times and limits of the core.
const (
	// joinPeriod is the pause between tries to join by the seeds.
	joinPeriod = 100 * time.Millisecond
	// unregisteredPeriod is the pause between announcements to the seeds of a target that
	// is not in the registry: two within the time that a balancer takes its view
	// for incomplete.
	unregisteredPeriod = 200 * time.Millisecond
	// minAnnouncePause is the least pause between announcements of the load.
	minAnnouncePause = 100 * time.Millisecond
	// loadChangeStep is the change of load, in slots, that is announced early.
	loadChangeStep = 2
	// defaultSlots is what a target is taken for before its first heartbeat.
	defaultSlots = 4
	// probeAfterMissedHeartbeats after which the target is probed.
	probeAfterMissedHeartbeats = 2.5
	// answerTimeout is how long the target may owe an answer to any packet before
	// it is probed.
	answerTimeout = 300 * time.Millisecond
	// deregistrationGrace is how long a target that has said its last word may still send.
	deregistrationGrace = 500 * time.Millisecond
)

// Core decides what happens to each packet beside one target. It is not safe for
// concurrent use; its owner holds a lock.
type Core struct {
	opts   Options
	port   Port
	codec  flow.Codec
	events Events

	view *fleet.View
	// evacuations are the emptied zones, as of the highest revision heard of.
	evacuations flow.Evacuations
	flows       *flows
	deliveries  *deliveryRing
	target      target

	acks       acks
	health     health
	cold       cold
	configCopy configCopy
	queue      backlog.Queue[flow.Key]
	estimate   backlog.ServiceEstimate
	// lastAnswerAt is when an answer was observed last.
	lastAnswerAt time.Time
	outage       backlog.Outage
	overload     overload
	pendingOpens []pendingOpen

	// targetKnown is set once something was heard of the target, or a probe has told.
	targetKnown bool
	// wantedPresence is what the registry is to show, listing what it shows as far as that is
	// known.
	wantedPresence fleet.EntryState
	registration   fleet.Registration
	// introduced is set once the balancers may hear of the agent.
	introduced       bool
	seq              uint32
	leaving          bool
	lastAnnouncement fleet.Announcement
	lastAnnouncedAt  time.Time
	// nextSameZone and nextCrossZone are when balancers of the own and of other zones are
	// told again, farPeriod is the pause for the latter.
	nextSameZone, nextCrossZone time.Time
	crossZonePeriod             time.Duration
	relays                      crossZone
	nextJoin                    time.Time
	nextExpire                  time.Time

	// Scratch space, so that a packet costs no allocation.
	env envelope.Envelope
	buf []byte
}

// New returns a core that knows neither target nor balancers yet.
func New(now time.Time, opts Options, port Port, codec flow.Codec, events Events) *Core {
	if opts.RelayFrom == 0 {
		opts.RelayFrom = zonecast.RelayThreshold
	}
	c := &Core{
		opts: opts, port: port, codec: codec, events: events,
		view: fleet.NewView(), deliveries: newDeliveryRing(), acks: newAcks(), health: newHealth(),
		estimate: backlog.NewServiceEstimate(defaultWork, defaultSlots),
		buf:      make([]byte, 0, 2048), relays: newRelays(opts, events.ZoneRelayed),
	}
	c.flows = newFlows(func(r *queuedRequest) { c.queue.Remove(r.key) })
	c.cold.window.AssumeFull(now)
	c.overload.NoteOutage(now)
	return c
}

// SetSeeds replaces the balancers to join by.
func (c *Core) SetSeeds(seeds []flow.IPv4) { c.opts.Seeds = seeds }

// Busy returns the requests that the target works on or has queued.
func (c *Core) Busy() int { return c.flows.busy }

// Balancers returns the number of balancers known.
func (c *Core) Balancers() int { return len(c.view.Balancers()) }

// Evacuations returns the emptied zones that the agent acts on.
func (c *Core) Evacuations() flow.Evacuations { return c.evacuations }

// HandleNode takes a datagram of another node.
func (c *Core) HandleNode(now time.Time, from flow.IPv4, datagram []byte) {
	kind, err := envelope.KindOf(datagram)
	if err != nil {
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

// handleSYN gives a SYN to the target, or to the next candidate.
func (c *Core) handleSYN(now time.Time, h *flow.Header, packet []byte) {
	key := h.KeyFromClient()
	reason, ok := c.refusal()
	if ok && c.health.ejected && c.env.Count > 0 {
		reason, ok = "target ejected", false
	}
	if ok && c.flows.get(key) == nil && c.tooCold(now) {
		reason, ok = "target cold", false
	}
	if !ok {
		c.events.PassedOn(key, reason, int(c.env.Hops))
		c.sendToShortestWait()
		c.passToNextCandidate(packet, true)
		return
	}
	if c.flows.get(key) == nil && c.full() && !c.admitWhenFull(now, key, h, packet) {
		return
	}
	c.admit(now, key, h, packet)
}

// admit gives a SYN to the target.
func (c *Core) admit(now time.Time, key flow.Key, h *flow.Header, packet []byte) {
	c.cold.window.Add(now)
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

// refusal tells whether the target may get a new flow now, and why not.
func (c *Core) refusal() (string, bool) {
	switch {
	case c.env.Service != c.opts.Service:
		return "another service", false
	case c.evacuations.Has(c.opts.Zone):
		return "zone emptied", false
	case !c.target.acceptsFlows() || c.leaving:
		return "target " + c.target.state().String(), false
	}
	return "", true
}

// deliverRecorded delivers a packet that the target may bounce.
func (c *Core) deliverRecorded(now time.Time, key flow.Key, packet []byte) {
	c.codec.SetEcho(packet, c.deliveries.put(key, &c.env))
	c.target.expectAnswer(now)
	c.events.Delivered()
	c.port.ToTarget(packet)
}

// deliverToFlow gives a packet of an open flow to the target if it may be the
// target's, and passes it on otherwise.
func (c *Core) deliverToFlow(now time.Time, h *flow.Header, packet []byte) {
	key := h.KeyFromClient()
	r := c.flows.get(key)
	if r == nil || !r.holds(h) {
		c.deliverUnknownFlow(now, key, h, packet)
		return
	}
	if r.stage == dead {
		c.events.Reset(key, "its target has ended")
		c.port.Reset(key, h.Ack)
		return
	}
	c.recordClientPacket(now, r, h)
	// The acknowledgement fits this target's: the flow is nowhere else, also while
	// the target has not seen it yet.
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

// endsFlow tells that a client ends its flow. One whose request says so itself waits for
// the answer yet.
func endsFlow(h *flow.Header) bool {
	return h.Len == 0 && (h.Flags.Has(flow.FIN) || h.Flags.Has(flow.RST))
}

// acceptData tells whether the target is to get a client's data now.
func (c *Core) acceptData(now time.Time, key flow.Key, r *record, h *flow.Header, packet []byte) bool {
	if c.withhold(now, key, r, packet) {
		return false
	}
	c.countLaterRequest(now, r)
	c.flows.requested(now, r)
	if c.enqueueIfBusy(now, key, r, h, packet) {
		return false
	}
	r.deliveredAt = now
	return true
}

// deliverPacket gives a packet to the target of its flow.
func (c *Core) deliverPacket(now time.Time, key flow.Key, r *record, packet []byte) {
	if r.stage == halfOpen {
		c.deliverRecorded(now, key, packet)
		return
	}
	c.codec.SetEcho(packet, 0)
	c.target.expectAnswer(now)
	c.events.Delivered()
	c.port.ToTarget(packet)
}

// recordClientPacket keeps what a client's packet says of its flow.
func (c *Core) recordClientPacket(now time.Time, r *record, h *flow.Header) {
	if h.Len > 0 && r.queued == nil && !r.withheld && now.Sub(r.usedAt) > firstRequestWindow {
		r.request.began = time.Time{}
	}
	r.usedAt = now
	r.clientAck = h.Ack
	if h.Flags.Has(flow.FIN) {
		r.clientFin = true
	}
}

// deliverUnknownFlow handles a packet of a flow that is not known here. An agent
// that saw its target start knows all its flows; another one asks the target.
func (c *Core) deliverUnknownFlow(now time.Time, key flow.Key, h *flow.Header, packet []byte) {
	if c.target.state() == fleet.Absent || c.target.state() == fleet.Gone {
		c.passToNextCandidate(packet, c.target.absent())
		return
	}
	if c.target.sawStart && !c.flows.overflowed {
		c.passToNextCandidate(packet, true)
		return
	}
	// What the target sends on this flow will show that it holds it.
	r := c.flows.ensure(now, key)
	r.balancer = c.env.Balancer
	if endsFlow(h) {
		r.abandonedFor = ClientLeft
	}
	c.deliverRecorded(now, key, packet)
}

// passToNextCandidate sends a packet to its next candidate, or back to its balancer when
// there is none. sure tells that this target certainly does not hold the flow.
func (c *Core) passToNextCandidate(packet []byte, sure bool) {
	if !sure {
		c.env.Flags |= envelope.Uncertain
	}
	c.env.Hops++
	next, ok := c.env.Pop()
	if ok && c.env.Hops < envelope.MaxHops {
		c.env.Service = next.Service
		c.sendEnvelope(next.Target, packet)
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

// sendOwner tells a balancer that a flow is held here.
func (c *Core) sendOwner(key flow.Key, balancer flow.IPv4, hops uint8) {
	e := envelope.Envelope{Kind: envelope.Owner, Balancer: balancer, Hops: hops, Service: c.opts.Service}
	c.buf = envelope.AppendKey(e.Append(c.buf[:0]), key)
	c.port.ToNode(balancer, c.buf, nil)
}
