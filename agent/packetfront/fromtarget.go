package packetfront

import (
	"time"

	"github.com/poppywall/poppywall/backlog"
	"github.com/poppywall/poppywall/flow"
)

// HandleTarget handles a packet that the target sent.
func (c *Core) HandleTarget(now time.Time, h *flow.Header, packet []byte) {
	c.targetSent(now)
	c.setTargetKnown(now)
	if !c.target.downSince.IsZero() {
		c.reportSentAfterRefusal(now, h)
	}
	if h.Flags.Has(flow.Bounced) {
		c.handleBounced(now, h, packet)
		return
	}
	key := h.KeyFromTarget()
	c.recordTargetPacket(now, key, h, packet)
	c.recordSlotFree(now)
	c.dispatchQueued(now)
	c.port.ToClient(key.ClientIP, packet)
}

// reportSentAfterRefusal reports a packet of a target that has refused a connection.
func (c *Core) reportSentAfterRefusal(now time.Time, h *flow.Header) {
	key, bounced := h.KeyFromTarget(), h.Flags.Has(flow.Bounced)
	if bounced {
		key = h.KeyFromClient()
	}
	c.events.SentAfterRefusal(key, bounced, c.target.evidence(now))
}

// recordTargetPacket updates the flow's record from a packet of the target.
func (c *Core) recordTargetPacket(now time.Time, key flow.Key, h *flow.Header, packet []byte) {
	r := c.flows.ensure(now, key)
	switch {
	case h.Flags.Has(flow.RST):
		if r.awaitsAnswer() {
			c.recordOutcome(now, true)
		}
		c.flows.stopCounting(r)
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

// recordAnswer records the first packet of an answer and updates the service estimate. Failures
// and shed requests are left out of the estimate: they come sooner than other answers, and a
// failing target must not look fast.
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
	completion := backlog.Completion{ResponseTime: now.Sub(r.runningAt), ServiceTime: now.Sub(r.deliveredAt), Concurrency: r.concurrent}
	if !c.lastAnswerAt.IsZero() {
		completion.SincePrevious = now.Sub(c.lastAnswerAt)
	}
	c.lastAnswerAt = now
	c.estimate.Observe(completion, c.target.slots())
}

// estimateTTL is how long the service estimate of an idle target stays valid. A slow target gets
// hardly any requests, and only requests can show that it has recovered. Once its estimate has
// expired it is treated like a typical target and gets requests again; a target that is still
// slow gets only a few each time.
const estimateTTL = 2 * time.Second

// expireEstimate marks the service estimate as stale once the target has been idle for
// estimateTTL.
func (c *Core) expireEstimate(now time.Time) {
	if c.flows.busy == 0 && now.Sub(c.lastAnswerAt) > estimateTTL {
		c.estimate.MarkStale()
	}
}

// recordSYNACK records a SYN+ACK and notifies the balancer if its SYN was passed on. The
// answer to a late retransmission of the SYN does not reset the stage of an open flow.
func (c *Core) recordSYNACK(now time.Time, key flow.Key, r *record, h *flow.Header) {
	if (r.stage == halfOpen || r.stage.isOpen()) && flow.WithinSequenceWindow(h.Seq, r.targetSeq) {
		return
	}
	if r.stage != offered {
		// A delivered or queued request belongs to an earlier flow between the same ports.
		c.flows.stopCounting(r)
	}
	c.flows.setStage(r, halfOpen)
	r.targetSeq, r.clientFin, r.targetFin, r.acceptedAt = h.Seq, false, false, now
	r.abandonedFor, r.withheld = "", false
	c.notifyBalancer(key, r)
}

// notifyBalancer notifies the balancer that searches for the flow, or whose SYN was passed on,
// that this target holds it.
func (c *Core) notifyBalancer(key flow.Key, r *record) {
	if r.balancer != 0 {
		// The record does not contain the packet's hop count, which balancers only log.
		c.sendOwner(key, r.balancer, 1)
		r.balancer = 0
	}
}

// recordSent records a packet of the target after the handshake: the flow is open here. While
// the flow's request is still queued, the packet is not its answer.
func (c *Core) recordSent(key flow.Key, r *record, h *flow.Header) {
	c.notifyBalancer(key, r)
	r.targetSeq = h.Seq + uint32(h.Len)
	if h.Len > 0 && r.queued == nil {
		c.flows.stopCounting(r)
	}
	if h.Flags.Has(flow.FIN) {
		r.targetFin = true
	}
	if r.targetFin && r.clientFin {
		c.flows.stopCounting(r)
		c.flows.setStage(r, closed)
		return
	}
	if r.stage != open {
		c.flows.setStage(r, open)
	}
}

// handleBounced passes on a packet that the target did not accept.
func (c *Core) handleBounced(now time.Time, h *flow.Header, packet []byte) {
	key := h.KeyFromClient()
	c.codec.Unmark(packet)
	env := c.deliveries.take(h.Echo, key)
	r := c.flows.get(key)
	if env == nil {
		c.handleBouncedOpenFlow(now, key, r, h)
		return
	}
	// A target may bounce a retransmission of a SYN whose flow it holds half open.
	if r != nil && (r.stage == offered || (r.stage.awaitsTarget() && !h.IsOpening())) {
		c.flows.remove(key, r)
	}
	if !h.IsOpening() {
		c.denied.add(key, h.Ack)
	}
	c.env = *env
	c.events.Bounced(key, h.IsOpening())
	c.passToNextCandidate(packet, true)
}

// handleBouncedOpenFlow handles a bounced packet of an open flow. The flow was seen open here, so no
// other target can hold it: the target that held it has ended, and the flow is reset.
func (c *Core) handleBouncedOpenFlow(now time.Time, key flow.Key, r *record, h *flow.Header) {
	if r == nil || r.stage != open || !r.matches(h) {
		c.events.Dropped(DropBounced)
		return
	}
	c.flows.stopCounting(r)
	c.flows.setStage(r, dead)
	r.usedAt = now
	// The target may have restarted unnoticed, so it may be cold.
	c.cold.suspectedAt = now
	c.events.Reset(key, "its target no longer holds it", c.target.evidence(now))
	c.port.Reset(key, h.Ack)
}
