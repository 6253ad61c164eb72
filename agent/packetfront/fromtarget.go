package packetfront

import (
	"time"

	"github.com/poppywall/poppywall/backlog"
	"github.com/poppywall/poppywall/flow"
)

// HandleTarget takes a packet that the target sent.
func (c *Core) HandleTarget(now time.Time, h *flow.Header, packet []byte) {
	c.targetSent(now)
	c.setTargetKnown(now)
	if h.Flags.Has(flow.Bounced) {
		c.handleBounced(now, h, packet)
		return
	}
	key := h.KeyFromTarget()
	c.recordTargetPacket(now, key, h, packet)
	c.updateSlots(now)
	c.dispatchQueued(now)
	c.port.ToClient(key.ClientIP, packet)
}

// recordTargetPacket keeps what a target's packet says of its flow.
func (c *Core) recordTargetPacket(now time.Time, key flow.Key, h *flow.Header, packet []byte) {
	r := c.flows.ensure(now, key)
	switch {
	case h.Flags.Has(flow.RST):
		if r.awaitsAnswer() {
			c.recordOutcome(now, true)
		}
		c.flows.answered(r)
		c.flows.setStage(r, closed)
	case h.Flags.Has(flow.SYN):
		c.recordSYNACK(now, key, r, h)
	default:
		if h.Len > 0 {
			c.recordAnswer(now, r, c.codec.Answer(packet))
		}
		c.recordSent(key, r, h)
	}
}

// recordAnswer takes the first bytes of an answer. One that fails or is shed says nothing of
// how the target works, and it comes sooner: a target that fails must not look fast.
func (c *Core) recordAnswer(now time.Time, r *record, answer flow.Answer) {
	if r.awaitsAnswer() {
		c.recordAnswerOutcome(now, r, answer)
	}
	if r.runningAt.IsZero() {
		return
	}
	c.overload.Answered(now)
	if answer != flow.AnswerCompleted {
		return
	}
	served := backlog.Completion{ResponseTime: now.Sub(r.runningAt), ServiceTime: now.Sub(r.deliveredAt), Concurrency: r.concurrent}
	if !c.lastAnswerAt.IsZero() {
		served.SincePrevious = now.Sub(c.lastAnswerAt)
	}
	c.lastAnswerAt = now
	c.estimate.Observe(served, c.target.slots())
}

// estimateTTL is how long what was observed of an idle target's work holds. A target that was
// slow gets hardly any work, and shows only by work that it is not any more: then it is
// judged like the typical one and tried again, one that is slow still a few requests each
// time.
const estimateTTL = 2 * time.Second

// expireEstimate forgets an observation of a target that has had no work for long.
func (c *Core) expireEstimate(now time.Time) {
	if c.flows.busy == 0 && now.Sub(c.lastAnswerAt) > estimateTTL {
		c.estimate.MarkStale()
	}
}

// recordSYNACK notes a SYN+ACK. A balancer whose SYN was passed on learns where
// it went. The answer to a late copy of the SYN does not set an open flow back.
func (c *Core) recordSYNACK(now time.Time, key flow.Key, r *record, h *flow.Header) {
	if (r.stage == halfOpen || r.stage == open) && flow.WithinSequenceWindow(h.Seq, r.targetSeq) {
		return
	}
	if r.stage != offered {
		// What the target had, or was to get, was of an earlier flow.
		c.flows.answered(r)
	}
	c.flows.setStage(r, halfOpen)
	r.targetSeq, r.clientFin, r.targetFin = h.Seq, false, false
	r.abandonedFor, r.withheld = "", false
	c.sendFound(key, r)
}

// sendFound tells the balancer that looked for a flow that it is held here.
func (c *Core) sendFound(key flow.Key, r *record) {
	if r.balancer != 0 {
		c.sendOwner(key, r.balancer, 1)
		r.balancer = 0
	}
}

// recordSent notes a packet after the handshake: the flow is open here. What the target
// sends is no answer to a request that it has not got yet.
func (c *Core) recordSent(key flow.Key, r *record, h *flow.Header) {
	c.sendFound(key, r)
	r.targetSeq = h.Seq + uint32(h.Len)
	if h.Len > 0 && r.queued == nil {
		c.flows.answered(r)
	}
	if h.Flags.Has(flow.FIN) {
		r.targetFin = true
	}
	if r.targetFin && r.clientFin {
		c.flows.answered(r)
		c.flows.setStage(r, closed)
		return
	}
	if r.stage != open {
		c.flows.setStage(r, open)
	}
}

// handleBounced takes back a packet that the target did not accept.
func (c *Core) handleBounced(now time.Time, h *flow.Header, packet []byte) {
	key := h.KeyFromClient()
	c.codec.Unmark(packet)
	env := c.deliveries.take(h.Echo, key)
	r := c.flows.get(key)
	if env == nil {
		c.handleBouncedOpen(now, key, r, h)
		return
	}
	// A target may refuse a copy of a SYN whose flow it holds half open.
	if r != nil && (r.stage == offered || (r.stage == halfOpen && !h.IsOpening())) {
		c.flows.remove(key, r)
	}
	c.env = *env
	c.events.Bounced(key, h.IsOpening())
	c.passToNextCandidate(packet, true)
}

// handleBouncedOpen handles a packet that was delivered to an open flow. The target that
// held it has ended then, for it was seen open here: no other target can hold it.
func (c *Core) handleBouncedOpen(now time.Time, key flow.Key, r *record, h *flow.Header) {
	if r == nil || r.stage != open || !r.holds(h) {
		c.events.Dropped(DropBounced)
		return
	}
	c.flows.answered(r)
	c.flows.setStage(r, dead)
	r.usedAt = now
	// The target may have started again without a word.
	c.cold.suspectedAt = now
	c.events.Reset(key, "its target no longer holds it")
	c.port.Reset(key, h.Ack)
}
