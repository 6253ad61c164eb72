package search

import (
	"maps"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/flow/envelope"
)

// maxTargetsPerProbe is how many targets one search probe can visit.
const maxTargetsPerProbe = envelope.MaxCandidates + 1

// Port is how a finder sends packets; it must not retain the slices.
type Port interface {
	// Send sends a packet to a target in an envelope.
	Send(target flow.IPv4, env *envelope.Envelope, packet []byte)
	// Forward sends a packet to the target that holds its flow.
	Forward(key flow.Key, target flow.IPv4, packet []byte)
	// Route routes a packet as if it had just arrived.
	Route(now time.Time, key flow.Key, h *flow.Header, packet []byte)
	// Reset resets a flow at its client.
	Reset(key flow.Key, seq uint32)
}

// Options are a finder's parameters.
type Options struct {
	// Self and Zone are the balancer's address and zone.
	Self flow.IPv4
	Zone flow.Tag
	// Incarnation identifies this incarnation of the process; it is random for each start.
	Incarnation uint64
	// FirstTargets is how many targets of a flow's ranking, in the local zone and in other zones
	// each, are probed before all others: both together at most maxTargetsPerProbe.
	FirstTargets int
	// LinkMbps is the capacity of this VM's link, in Mbit/s; zero if it is not known.
	LinkMbps float64
}

// repeatShare is the share of the link's capacity for probes that ask a single target again
// because it did not answer, repeatBurst how long that share may be saved up.
const (
	repeatShare = 0.05
	repeatBurst = 500 * time.Millisecond
)

// newRepeatLimit returns the limit of these probes, in bytes.
func newRepeatLimit(linkMbps float64) *rate.Limiter {
	if linkMbps <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	bytesPerSecond := linkMbps * 1e6 / 8 * repeatShare
	return rate.NewLimiter(rate.Limit(bytesPerSecond), int(bytesPerSecond*repeatBurst.Seconds()))
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
	buffer flowBuffer
	// lastProbeID numbers the probes. It starts at the incarnation of the process, because answers
	// to probes of an earlier incarnation may still arrive.
	lastProbeID uint32
	// repeats limits the bytes of probes that ask a single target again.
	repeats *rate.Limiter

	// Scratch space, so that a packet costs no allocation: ranked are the targets that may
	// hold a flow.
	ranked       []rankedCandidate
	candidateBuf []flow.IPv4
	env          envelope.Envelope
}

// New returns a finder with an empty buffer. config returns the configuration in force; it is
// called only once there is one.
func New(opts Options, config func() *flow.Config, view *fleet.View, table *Table, proof *Proof, codec flow.Codec, port Port, events Events) *Finder {
	return &Finder{
		opts: opts, config: config, view: view, table: table, proof: proof, codec: codec, port: port, events: events,
		buffer: newFlowBuffer(), lastProbeID: uint32(opts.Incarnation), repeats: newRepeatLimit(opts.LinkMbps),
	}
}

// Known returns the target that is recorded for a flow, unless the target is overdue or uncertain:
// a retransmission of the flow's SYN may then have opened it at another target.
func (f *Finder) Known(now time.Time, key flow.Key) (flow.IPv4, bool) {
	target, ok := f.table.Get(now, key)
	return target, ok && !f.table.flows[key].uncertain && f.usable(now, target)
}

// usable reports whether packets may be sent to a recorded target: it is not in the view, or
// not overdue.
func (f *Finder) usable(now time.Time, target flow.IPv4) bool {
	t, known := f.view.Target(target)
	return !known || !t.Overdue(now)
}

// Found records which target holds a flow and forwards the buffered packets to it.
func (f *Finder) Found(now time.Time, key flow.Key, target flow.IPv4) {
	f.answered(target)
	f.table.Put(now, key, target)
	f.ForwardBuffered(key, target)
}

// answered records that a target's agent has answered a search probe.
func (f *Finder) answered(target flow.IPv4) {
	if t, known := f.view.Target(target); known {
		t.Unanswered = false
	}
}

// Discard drops the buffered packets of a flow.
func (f *Finder) Discard(key flow.Key) { f.buffer.remove(key) }

// Search searches for the target of a packet's flow, or buffers the packet if a search for the
// flow is under way or has ended without a target.
func (f *Finder) Search(now time.Time, key flow.Key, h *flow.Header, packet []byte) {
	if !f.buffer.addFollowing(key, packet) {
		f.startSearch(now, key, h, packet)
	}
}

// RetryDenied retries the flows that all targets have denied, because the view or the registry
// snapshot has changed.
func (f *Finder) RetryDenied(now time.Time) {
	f.buffer.retryDenied(now)
	f.Retry(now)
}

// startSearch searches for the target of an unknown flow with one of its packets. If all
// targets of an earlier generation have denied the flow, only those that came since are
// probed.
func (f *Finder) startSearch(now time.Time, key flow.Key, h *flow.Header, packet []byte) {
	route, ok := f.config().Routes[key.Front()]
	if !ok {
		f.buffer.remove(key)
		f.events.Dropped(DropNoRoute)
		return
	}
	b := f.buffer.flows[key]
	candidates := f.candidates(now, key, route, b.denials())
	if len(candidates) == 0 {
		f.handleNoCandidates(now, key, h, packet)
		return
	}
	if recorded, ok := f.table.Get(now, key); ok {
		candidates = flow.MoveToFront(candidates, recorded)
	}
	if b = f.buffer.addForSearch(now, key, packet); b == nil {
		// The buffer is full: the packet is sent to the first targets only, and its client
		// retransmits it if none of them holds the flow.
		slices.SortStableFunc(candidates, func(a, b flow.IPv4) int {
			return compareBool(f.mayNotAnswer(now, a), f.mayNotAnswer(now, b))
		})
		f.sendProbe(packet, candidates[:min(len(candidates), maxTargetsPerProbe)], 0)
		return
	}
	b.beginSearch(f.view.Generation())
	// If there are more candidates than fit into one probe, the likeliest are probed
	// first: nearly every live flow is at one of them.
	if len(candidates) > maxTargetsPerProbe {
		b.notProbed = slices.Clone(candidates[2*f.opts.FirstTargets:])
		candidates = candidates[:2*f.opts.FirstTargets]
	}
	f.sendProbes(now, key, b, candidates)
}

// handleNoCandidates handles a packet of an unknown flow for which there is no target to
// probe.
func (f *Finder) handleNoCandidates(now time.Time, key flow.Key, h *flow.Header, packet []byte) {
	if b, buffered := f.buffer.flows[key]; buffered && b.denied {
		f.resetIfEnded(now, key, b, h, 0)
		return
	}
	if f.proof.Settled(now) {
		f.buffer.remove(key)
		f.events.Dropped(DropNoCandidate)
		return
	}
	f.Buffer(now, key, h, packet, BufferNoTarget)
}

// Limits of a search over many targets.
const (
	// maxParallelProbes is how many probes visit the targets in parallel, so that a packet is
	// passed on a few times, not hundreds of times: 600 flows that 263 targets deny are all
	// decided within 100 ms; with one probe after the other it takes 200 ms (simulated, 0.3 ms
	// per hop).
	maxParallelProbes = 16
	// minTargetsPerProbe is how many targets each of them visits at least: a probe of a single
	// target costs twice as much per target as one that visits many.
	minTargetsPerProbe = 16
)

// targetsPerProbe returns how many of the given number of targets one probe visits. A single
// probe visits as many as it can hold.
func targetsPerProbe(targets int) int {
	if targets <= maxTargetsPerProbe {
		return maxTargetsPerProbe
	}
	return min(max((targets+maxParallelProbes-1)/maxParallelProbes, minTargetsPerProbe), maxTargetsPerProbe)
}

// sendProbes sends the first packet of a flow to targets, with several probes in parallel if
// there are many.
func (f *Finder) sendProbes(now time.Time, key flow.Key, b *bufferedFlow, targets []flow.IPv4) {
	probes := f.splitIntoProbes(now, key, b, targets)
	f.events.Searching(key, probes, b.attempts)
	b.nextTryAt = now.Add(searchRetryInterval)
	for _, probe := range probes {
		f.lastProbeID++
		b.probes[f.lastProbeID] = probe
		f.sendProbe(b.first, probe, f.lastProbeID)
	}
}

// splitIntoProbes divides targets among probes. A target that may not answer gets a probe of its
// own: a packet that is passed on through an agent that is down is lost there, and the targets
// behind it are not asked. So does the recorded target, which most likely holds the flow. When
// there are several probes, each stays within one zone, so that cross-zone traffic grows with the
// number of probes and not with the number of targets.
//
// Targets that did not answer may only be late, because a link is full, and a probe for each of
// them fills it more; those beyond repeatShare of the link share probes.
func (f *Finder) splitIntoProbes(now time.Time, key flow.Key, b *bufferedFlow, targets []flow.IPv4) [][]flow.IPv4 {
	recorded, _ := f.table.Get(now, key)
	var answering, late []flow.IPv4
	var single [][]flow.IPv4
	for _, candidate := range targets {
		switch {
		case candidate == recorded || f.mayBeGone(now, candidate):
			single = append(single, []flow.IPv4{candidate})
		case !f.unanswered(candidate):
			answering = append(answering, candidate)
		case f.repeats.AllowN(now, envelope.MaxLen+len(b.first)):
			single = append(single, []flow.IPv4{candidate})
		default:
			late = append(late, candidate)
		}
	}
	if b.attempts%2 == 0 {
		slices.Reverse(late)
	}
	// Those that shared a probe are the first to get one of their own in the next attempt.
	return slices.Concat(f.shareProbes(answering, len(targets)), f.shareProbes(late, len(targets)), single)
}

// shareProbes divides targets of a search over the given total number among probes that visit
// several of them.
func (f *Finder) shareProbes(targets []flow.IPv4, total int) [][]flow.IPv4 {
	byZone := map[flow.Tag][]flow.IPv4{}
	for _, candidate := range targets {
		zone, _ := f.view.NodeZone(candidate)
		if total <= maxTargetsPerProbe {
			// One probe visits them all, the likeliest first.
			zone = 0
		}
		byZone[zone] = append(byZone[zone], candidate)
	}
	var out [][]flow.IPv4
	for _, zone := range slices.Sorted(maps.Keys(byZone)) {
		out = slices.AppendSeq(out, slices.Chunk(byZone[zone], targetsPerProbe(len(targets))))
	}
	return out
}

// mayBeGone reports whether a target's VM may be gone.
func (f *Finder) mayBeGone(now time.Time, target flow.IPv4) bool {
	t, known := f.view.Target(target)
	return !known || t.State == fleet.Gone || t.Overdue(now)
}

// unanswered reports whether the last probe that visited a target has not returned.
func (f *Finder) unanswered(target flow.IPv4) bool {
	t, known := f.view.Target(target)
	return known && t.Unanswered
}

// mayNotAnswer reports whether a target's agent may be down, so that a probe that visits it may be
// lost.
func (f *Finder) mayNotAnswer(now time.Time, target flow.IPv4) bool {
	return f.mayBeGone(now, target) || f.unanswered(target)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// retrySearch continues a search: targets that have not answered, each by itself, and those that
// were unsure are probed again, unless they hold no flows any more, together with those not yet
// probed.
func (f *Finder) retrySearch(now time.Time, key flow.Key, b *bufferedFlow, h *flow.Header) {
	targets := append(b.notProbed, f.stillMayHold(now, b.unsure)...)
	if unanswered := b.outstanding(); len(unanswered) > 0 {
		f.events.Unanswered(key, unanswered, b.attempts)
		for _, probe := range unanswered {
			silent := f.stillMayHold(now, probe)
			f.markUnanswered(silent)
			targets = append(targets, silent...)
		}
	}
	targets = append(targets, f.joinedSince(now, key, b.generation, targets)...)
	clear(b.probes)
	b.notProbed, b.unsure, b.generation = nil, nil, f.view.Generation()
	if len(targets) == 0 {
		f.finishSearch(now, key, b, h, 0)
		return
	}
	b.attempts++
	f.sendProbes(now, key, b, targets)
}

// joinedSince returns the candidates that became ones after a generation of the view, except the
// given targets.
func (f *Finder) joinedSince(now time.Time, key flow.Key, generation uint32, except []flow.IPv4) []flow.IPv4 {
	route, ok := f.config().Routes[key.Front()]
	if !ok || generation == f.view.Generation() {
		return nil
	}
	joined := f.candidates(now, key, route, denials{known: true, generation: generation})
	return slices.DeleteFunc(joined, func(c flow.IPv4) bool { return slices.Contains(except, c) })
}

// stillMayHold returns those of the targets that may hold flows.
func (f *Finder) stillMayHold(now time.Time, targets []flow.IPv4) []flow.IPv4 {
	return slices.DeleteFunc(slices.Clone(targets), func(c flow.IPv4) bool {
		t, known := f.view.Target(c)
		return !known || !t.MayHoldFlows(now)
	})
}

// markUnanswered records that a probe that visited the targets has not returned.
func (f *Finder) markUnanswered(targets []flow.IPv4) {
	for _, c := range targets {
		if t, known := f.view.Target(c); known {
			t.Unanswered = true
		}
	}
}

// sendProbe sends a packet to the first of the targets, to be passed on to the others.
func (f *Finder) sendProbe(packet []byte, targets []flow.IPv4, probeID uint32) {
	f.env = envelope.Envelope{
		Kind: envelope.Deliver, Balancer: f.opts.Self, Flags: envelope.Search, ProbeID: probeID,
	}
	f.env.SetCandidates(targets[1:])
	f.port.Send(targets[0], &f.env, packet)
}

// HandleReturned handles a packet that no target took, with the envelope in which an agent returned
// it. If it was sent to the recorded target of its flow, the flow is searched for; if it was a
// search probe, the search continues or ends.
func (f *Finder) HandleReturned(now time.Time, from flow.IPv4, key flow.Key, env envelope.Envelope, h *flow.Header, packet []byte) {
	f.answered(from)
	certain := env.Flags&envelope.Uncertain == 0
	if certain {
		f.table.Drop(key, from)
	} else {
		f.table.MarkUncertain(key, from)
	}
	if env.Flags&envelope.Search == 0 {
		f.events.RecordReturned(key, from, certain)
		f.port.Route(now, key, h, packet)
		return
	}
	b, buffered := f.buffer.flows[key]
	if !buffered || !b.searching || b.probes[env.ProbeID] == nil {
		f.events.Dropped(DropLateAnswer)
		return
	}
	if !certain {
		b.unsure = append(b.unsure, b.probes[env.ProbeID]...)
	}
	delete(b.probes, env.ProbeID)
	f.events.ProbeReturned(key, from, int(env.Hops), certain, len(b.probes))
	if len(b.probes) > 0 {
		return
	}
	if rest := b.notProbed; len(rest) > 0 {
		b.notProbed = nil
		f.sendProbes(now, key, b, rest)
		return
	}
	f.finishSearch(now, key, b, h, int(env.Hops))
}

// finishSearch ends a search in which every target was probed and none said that it holds the flow,
// unless some have to be probed again.
func (f *Finder) finishSearch(now time.Time, key flow.Key, b *bufferedFlow, h *flow.Header, hops int) {
	if len(b.unsure) > 0 {
		f.events.Lost(key, hops, UncertainTarget, 0)
		b.nextTryAt = now.Add(searchRetryInterval)
		return
	}
	b.searching = false
	b.denied, b.deniedGeneration = true, b.generation
	f.resetIfEnded(now, key, b, h, hops)
}

// resetIfEnded handles a flow that all targets known at the start of its search have denied. If
// targets joined since, they are probed. Otherwise the client is reset if the flow
// has certainly ended, and the flow is checked again later if that is uncertain.
func (f *Finder) resetIfEnded(now time.Time, key flow.Key, b *bufferedFlow, h *flow.Header, hops int) {
	if f.view.Generation() != b.deniedGeneration && f.hasTargetSince(now, b.deniedGeneration) {
		f.startSearch(now, key, h, b.first)
		return
	}
	uncertainty, missing := f.proof.checkView(now)
	if uncertainty == "" {
		uncertainty = f.proof.checkSnapshotAge(b.receivedAt)
	}
	f.events.Lost(key, hops, uncertainty, missing)
	if uncertainty != "" {
		b.nextTryAt = now.Add(searchRetryInterval)
		return
	}
	f.buffer.remove(key)
	if !h.Flags.Has(flow.RST) {
		f.port.Reset(key, h.Ack)
	}
}

// hasTargetSince reports whether a target became one that may hold flows after the given generation
// of the view.
func (f *Finder) hasTargetSince(now time.Time, generation uint32) bool {
	for _, tag := range f.view.Services() {
		for _, t := range f.view.TargetsOf(tag) {
			if t.MayHoldFlowsSince(now, generation) {
				return true
			}
		}
	}
	return false
}

// Buffer buffers a packet that cannot be routed yet.
func (f *Finder) Buffer(now time.Time, key flow.Key, h *flow.Header, packet []byte, reason BufferReason) {
	ttl := bufferTTL
	if h.IsOpening() {
		ttl = synBufferTTL
	}
	_, buffered := f.buffer.flows[key]
	if f.buffer.add(now, key, h.IsOpening(), packet, now.Add(BufferRetryInterval), ttl) != nil && !buffered {
		f.events.Buffered(key, reason)
	}
}

// ForwardBuffered forwards the packets that waited for a flow's target.
func (f *Finder) ForwardBuffered(key flow.Key, target flow.IPv4) {
	for _, packet := range f.buffer.remove(key) {
		f.port.Forward(key, target, packet)
	}
}

// Retry retries the buffered packets that are due.
func (f *Finder) Retry(now time.Time) {
	if len(f.buffer.flows) == 0 {
		return
	}
	keys, expired := f.buffer.due(now)
	for range expired {
		f.events.Dropped(DropExpired)
	}
	for _, key := range keys {
		b := f.buffer.flows[key]
		h, err := f.codec.Decode(b.first)
		switch {
		case err != nil:
			// Packets are decoded on arrival, so this does not happen; one that does not decode
			// cannot be routed.
			f.buffer.remove(key)
		case b.searching:
			f.retrySearch(now, key, b, &h)
		case b.denied:
			f.resetIfEnded(now, key, b, &h, 0)
		default:
			f.port.Route(now, key, &h, b.first)
		}
	}
}
