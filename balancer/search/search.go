package search

import (
	"maps"
	"slices"
	"time"

	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/flow/envelope"
)

// searchRound is how many targets one message of a search visits.
const searchRound = envelope.MaxCandidates + 1

// Port is how a finder acts; it must not keep the slices.
type Port interface {
	// Send sends a packet to a target in an envelope.
	Send(target flow.IPv4, env *envelope.Envelope, packet []byte)
	// Forward sends a packet to the target that holds its flow.
	Forward(key flow.Key, target flow.IPv4, packet []byte)
	// Route routes a packet like one that has just come.
	Route(now time.Time, key flow.Key, h *flow.Header, packet []byte)
	// Reset ends a flow at its client.
	Reset(key flow.Key, seq uint32)
}

// Options are a finder's parameters.
type Options struct {
	// Self and Zone are the balancer's.
	Self flow.IPv4
	Zone flow.Tag
	// Epoch is random for each start.
	Epoch uint64
	// First is how many targets of a flow's ranking, in the own zone and elsewhere, are
	// asked before all others: at most as many as one message visits, both together.
	First int
}

// Finder finds the targets of flows that the balancer does not know. It is not safe for
// concurrent use; its owner holds a lock.
type Finder struct {
	opts   Options
	config func() *flow.Config
	view   *fleet.View
	table  *Table
	proof  *Proof
	codec  flow.Codec
	port   Port
	events Events
	kept   keptFlows
	// searches numbers the messages of searches, from the epoch on: answers to a
	// former process arrive here.
	searches uint32

	// Scratch space, so that a packet costs no allocation: holders are the targets that may
	// hold a flow.
	holders []holder
	out     []flow.Candidate
	env     envelope.Envelope
}

// New returns a finder that has found nothing yet. config returns the configuration in
// force; it is asked only for flows whose configuration is known.
func New(opts Options, config func() *flow.Config, view *fleet.View, table *Table, proof *Proof, codec flow.Codec, port Port, events Events) *Finder {
	return &Finder{
		opts: opts, config: config, view: view, table: table, proof: proof, codec: codec, port: port, events: events,
		kept: newKept(), searches: uint32(opts.Epoch),
	}
}

// Known returns the target that is remembered for a flow, unless its VM may be gone: the
// flow may have been opened elsewhere then by a copy of its SYN.
func (f *Finder) Known(now time.Time, key flow.Key) (flow.IPv4, bool) {
	target, ok := f.table.Get(now, key)
	return target, ok && f.heard(now, target)
}

// heard tells whether a remembered target may be relied on.
func (f *Finder) heard(now time.Time, target flow.IPv4) bool {
	h, known := f.view.Target(target)
	return !known || !h.Quiet(now)
}

// Found notes which target holds a flow and sends it the packets that waited.
func (f *Finder) Found(now time.Time, key flow.Key, target flow.IPv4) {
	f.table.Put(now, key, target)
	f.Release(key, target)
}

// Forget drops the packets of a flow that are kept.
func (f *Finder) Forget(key flow.Key) { f.kept.drop(key) }

// Seek searches for the target of a packet's flow, or lets the packet follow one for which
// that is done already.
func (f *Finder) Seek(now time.Time, key flow.Key, h *flow.Header, packet []byte) {
	if !f.kept.follow(key, packet) {
		f.seek(now, key, h, packet)
	}
}

// Wake looks again at the flows that all targets have denied: more is known since.
func (f *Finder) Wake(now time.Time) {
	f.kept.wake(now)
	f.Retry(now)
}

// seek searches for the target of a flow that the balancer does not know, by one of
// the flow's packets. Where all targets of an earlier moment have denied the flow,
// only those that came since are asked.
func (f *Finder) seek(now time.Time, key flow.Key, h *flow.Header, packet []byte) {
	route, ok := f.config().Routes[key.Front()]
	if !ok {
		f.kept.drop(key)
		f.events.Dropped(DropNoRoute)
		return
	}
	k := f.kept.flows[key]
	candidates := f.candidates(now, key, route, k.denials())
	if len(candidates) == 0 {
		f.nobodyToAsk(now, key, h, packet)
		return
	}
	if k = f.kept.ask(now, key, packet); k == nil {
		// There is no room to keep the packet: it is sent along the first targets, and
		// its client repeats it if none of them holds the flow.
		f.sendAlong(packet, candidates[:min(len(candidates), searchRound)], 0)
		return
	}
	k.begin(f.view.Generation())
	// Where there are more than one message visits, the likeliest are asked alone
	// first: nearly every flow that lives is at one of them.
	if len(candidates) > searchRound {
		k.unasked = slices.Clone(candidates[2*f.opts.First:])
		candidates = candidates[:2*f.opts.First]
	}
	f.visit(now, key, k, candidates)
}

// nobodyToAsk handles a packet of an unknown flow for which there is no target to
// ask.
func (f *Finder) nobodyToAsk(now time.Time, key flow.Key, h *flow.Header, packet []byte) {
	if k, kept := f.kept.flows[key]; kept && k.denied {
		f.conclude(now, key, k, h, 0)
		return
	}
	if f.proof.Settled(now) {
		f.kept.drop(key)
		f.events.Dropped(DropNoCandidate)
		return
	}
	f.Park(now, key, h, packet, KeepUnsettled)
}

// Sizes of a visit of many targets.
const (
	// mostParts is how many messages visit the targets at the same time, so that a
	// packet is passed on a few times, not hundreds of times: 600 flows that 263 targets
	// deny are all decided within 100 ms, where one message after the other takes 200
	// (simulated, 0.3 ms a hop).
	mostParts = 16
	// leastPart is how many targets each of them visits at least: a message that goes to
	// one target and back costs twice as much a target as one that visits many.
	leastPart = 16
)

// partOf is how many of so many targets one message visits. A single message visits as
// many as it can hold.
func partOf(targets int) int {
	if targets <= searchRound {
		return searchRound
	}
	return min(max((targets+mostParts-1)/mostParts, leastPart), searchRound)
}

// visit sends the first packet of a flow along targets, with several messages at the
// same time where there are many. Whoever may not be there any more is visited alone:
// a packet that is passed on through a VM that has died is lost there.
func (f *Finder) visit(now time.Time, key flow.Key, k *keptFlow, targets []flow.Candidate) {
	f.events.Searching(key, len(targets), k.searches)
	k.next = now.Add(keptPause)
	for _, part := range f.parts(now, targets, k.backward()) {
		f.searches++
		k.visits[f.searches] = part
		f.sendAlong(k.first, part, f.searches)
	}
}

// parts divides targets among messages. A message that visits several of many stays in
// their zone: so what crosses zones goes with the messages, not with the targets. backward
// reverses the order in which they are visited.
func (f *Finder) parts(now time.Time, targets []flow.Candidate, backward bool) [][]flow.Candidate {
	together, alone := map[flow.Tag][]flow.Candidate{}, [][]flow.Candidate{}
	heard := 0
	for _, candidate := range targets {
		h, known := f.view.Target(candidate.Target)
		if !known || h.State == fleet.Gone || h.Quiet(now) {
			alone = append(alone, []flow.Candidate{candidate})
			continue
		}
		heard++
		zone := h.Zone
		if len(targets) <= searchRound {
			// One message visits them all, the likeliest first.
			zone = 0
		}
		together[zone] = append(together[zone], candidate)
	}
	var out [][]flow.Candidate
	for _, zone := range slices.Sorted(maps.Keys(together)) {
		if backward {
			slices.Reverse(together[zone])
		}
		out = slices.AppendSeq(out, slices.Chunk(together[zone], partOf(heard)))
	}
	return append(out, alone...)
}

// askAgain goes on with a search whose messages do not come back: those targets are
// asked again that have not answered, unless they hold nothing any more, and the
// others with them.
func (f *Finder) askAgain(now time.Time, key flow.Key, k *keptFlow, h *flow.Header) {
	targets := k.unasked
	for _, id := range slices.Sorted(maps.Keys(k.visits)) {
		for _, candidate := range k.visits[id] {
			if target, known := f.view.Target(candidate.Target); known && target.MayHold(now) {
				targets = append(targets, candidate)
			}
		}
	}
	clear(k.visits)
	k.unasked = nil
	if len(targets) == 0 {
		f.allAsked(now, key, k, h, 0)
		return
	}
	k.searches++
	f.visit(now, key, k, targets)
}

// sendAlong sends a packet to the first of some targets, to be passed on to the
// others.
func (f *Finder) sendAlong(packet []byte, targets []flow.Candidate, searchID uint32) {
	f.env = envelope.Envelope{
		Kind: envelope.Deliver, Balancer: f.opts.Self, Flags: envelope.Search, SearchID: searchID, Service: targets[0].Service,
	}
	f.env.SetCandidates(targets[1:])
	f.port.Send(targets[0].Target, &f.env, packet)
}

// Returned takes a packet back that nobody took, in the envelope that came with it. One
// that was sent to the remembered target of its flow is searched for; a search goes on, or
// ends.
func (f *Finder) Returned(now time.Time, from flow.IPv4, key flow.Key, env envelope.Envelope, h *flow.Header, packet []byte) {
	f.table.Drop(key, from)
	if env.Flags&envelope.Search == 0 {
		f.port.Route(now, key, h, packet)
		return
	}
	k, kept := f.kept.flows[key]
	if !kept || !k.asking || k.visits[env.SearchID] == nil {
		f.events.Dropped(DropLateAnswer)
		return
	}
	delete(k.visits, env.SearchID)
	k.unsure = k.unsure || env.Flags&envelope.Unsure != 0
	if len(k.visits) > 0 {
		return
	}
	if rest := k.unasked; len(rest) > 0 {
		k.unasked = nil
		f.visit(now, key, k, rest)
		return
	}
	f.allAsked(now, key, k, h, int(env.Hops))
}

// allAsked ends a search in which every target was asked and none has the flow.
func (f *Finder) allAsked(now time.Time, key flow.Key, k *keptFlow, h *flow.Header, hops int) {
	k.asking = false
	if k.unsure {
		f.events.Lost(key, hops, DoubtTarget, 0)
		k.next = now.Add(keptPause)
		return
	}
	k.denied, k.deniedUpTo = true, k.generation
	f.conclude(now, key, k, h, hops)
}

// conclude decides on a flow that all targets have denied that were known when its
// search began. Those that came since are asked; otherwise its client is told at
// once when the flow is certainly over, and while that is not certain it is looked
// at again.
func (f *Finder) conclude(now time.Time, key flow.Key, k *keptFlow, h *flow.Header, hops int) {
	if f.view.Generation() != k.deniedUpTo && f.anyoneSince(now, k.deniedUpTo) {
		f.seek(now, key, h, k.first)
		return
	}
	doubt, missing := f.proof.incomplete(now)
	if doubt == "" {
		doubt = f.proof.unsurveyed(k.since)
	}
	f.events.Lost(key, hops, doubt, missing)
	if doubt != "" {
		k.next = now.Add(keptPause)
		return
	}
	f.kept.drop(key)
	if !h.Flags.Has(flow.RST) {
		f.port.Reset(key, h.Ack)
	}
}

// anyoneSince tells whether a target that may hold flows came after a generation of
// the view.
func (f *Finder) anyoneSince(now time.Time, generation uint32) bool {
	for _, tag := range f.view.Services() {
		for _, h := range f.view.Service(tag) {
			if h.MayHoldSince(now, generation) {
				return true
			}
		}
	}
	return false
}

// Park keeps a packet that came before the balancer knew its way.
func (f *Finder) Park(now time.Time, key flow.Key, h *flow.Header, packet []byte, reason Keep) {
	ttl := keptTTL
	if h.IsOpening() {
		ttl = parkTTL
	}
	_, kept := f.kept.flows[key]
	if f.kept.keep(now, key, h.IsOpening(), packet, now.Add(ParkPause), ttl) != nil && !kept {
		f.events.Kept(key, reason)
	}
}

// Release sends the packets that waited for a flow's target.
func (f *Finder) Release(key flow.Key, target flow.IPv4) {
	for _, packet := range f.kept.drop(key) {
		f.port.Forward(key, target, packet)
	}
}

// Retry tries the packets that are due once more.
func (f *Finder) Retry(now time.Time) {
	if len(f.kept.flows) == 0 {
		return
	}
	keys, expired := f.kept.due(now)
	for range expired {
		f.events.Dropped(DropExpired)
	}
	for _, key := range keys {
		k := f.kept.flows[key]
		h, err := f.codec.Decode(k.first)
		switch {
		case err != nil:
			// It was decoded when it came; a packet that is none is of no use.
			f.kept.drop(key)
		case k.asking:
			f.askAgain(now, key, k, &h)
		case k.denied:
			f.conclude(now, key, k, &h, 0)
		default:
			f.port.Route(now, key, &h, k.first)
		}
	}
}
