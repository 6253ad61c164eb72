package packetfront

import (
	"time"

	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
)

// target is what an agent knows of the target beside it.
type target struct {
	// incarnation is the target's, without an ID until it reports; sequence is that of its last
	// heartbeat.
	incarnation fleet.Incarnation
	sequence    uint64
	// history are the lives before it.
	history incarnationHistory
	// heartbeat is the last heartbeat, beatAt when it came.
	heartbeat   fleet.Heartbeat
	heartbeatAt time.Time
	// up is set by a heartbeat, a packet or a connection that was accepted, and
	// cleared by one that was refused.
	up bool
	// deregisteredAt is when the target said its last word.
	deregisteredAt time.Time
	// flowsEnded is set once the flows of a target that has ended were ended too.
	flowsEnded bool
	// probeRefused is set when a probe was refused before the target came up, sawStart
	// when the agent was there before the present target took its first flow.
	probeRefused, sawStart bool
	// sawEnd is set when a probe was refused since the target reported last.
	sawEnd bool
	// upSince is when the target was found to be there, downSince when a probe was
	// refused first since it was there last; zero when that does not apply.
	upSince, downSince time.Time
	// awaitingSince is when the oldest packet was delivered since the target was heard.
	awaitingSince time.Time
	// probedAt is when the target was probed last, acceptedAt when it accepted a
	// connection.
	probedAt, acceptedAt time.Time
	// lastProbeFailed tells that the last probe was not accepted.
	lastProbeFailed bool
}

// state returns what the target can do.
func (h *target) state() fleet.State {
	switch {
	case !h.deregisteredAt.IsZero():
		return fleet.Gone
	case !h.up:
		return fleet.Absent
	case h.heartbeat.Draining:
		return fleet.Draining
	default:
		return fleet.Ready
	}
}

// absent tells that no target runs here for certain: it has ended, or a
// connection was refused.
func (h *target) absent() bool { return h.flowsEnded || (h.probeRefused && !h.up) }

// acceptsFlows tells whether the target may get new flows.
func (h *target) acceptsFlows() bool { return h.state() == fleet.Ready }

func (h *target) slots() int {
	if h.heartbeat.Slots <= 0 {
		return defaultSlots
	}
	return h.heartbeat.Slots
}

// warmup is how long the target stays slow from now on.
func (h *target) warmup(now time.Time) time.Duration {
	return max(h.heartbeat.WarmupLeft-now.Sub(h.heartbeatAt), 0)
}

// expectAnswer notes a packet that the target will answer.
func (h *target) expectAnswer(now time.Time) {
	if h.awaitingSince.IsZero() {
		h.awaitingSince = now
	}
}

// targetSent notes a packet of the target. It is no proof of life where a connection was
// refused: a target that has exited is targetSent for seconds yet, by packets that it sends
// again and those that it does not take. The next connection tells.
func (c *Core) targetSent(now time.Time) {
	c.target.awaitingSince = time.Time{}
	if c.target.deregisteredAt.IsZero() && c.target.downSince.IsZero() {
		c.targetUp(now)
	}
}

// targetReported notes a report of the target: it is there.
func (c *Core) targetReported(now time.Time) {
	c.target.awaitingSince = time.Time{}
	if c.target.deregisteredAt.IsZero() {
		c.targetUp(now)
	}
}

// targetUp notes that the target is there.
func (c *Core) targetUp(now time.Time) {
	h := &c.target
	if !h.up {
		h.upSince = now
		if proof := c.health.recordRestart(now); proof > 0 {
			c.events.OnProbation(c.health.crashes, proof)
		}
	}
	h.up, h.flowsEnded, h.downSince = true, false, time.Time{}
}

// Heartbeat takes a report of the target and tells whether it is that of the present
// one. When it returns, a draining target gets no further new flow.
func (c *Core) Heartbeat(now time.Time, b fleet.Heartbeat) bool {
	h := &c.target
	switch h.classify(now, b, c.opts.HeartbeatPeriod) {
	case staleHeartbeat:
		c.events.TargetReport("late heartbeat ignored", b)
		return false
	case newHeartbeat:
		c.newTarget(b)
	}
	changed := h.heartbeat.Draining != b.Draining
	h.sequence, h.heartbeat, h.heartbeatAt, h.sawEnd = b.Sequence, b, now, false
	if !h.deregisteredAt.IsZero() && now.Sub(h.deregisteredAt) > deregistrationGrace {
		// The farewell was that of a life before this one, under the same ID.
		h.deregisteredAt = time.Time{}
		c.events.TargetReport("target has not left", b)
	}
	if !h.up || changed {
		c.events.TargetReport("target state", b)
	}
	c.targetReported(now)
	c.setTargetKnown(now)
	c.announceChange(now)
	return true
}

// newTarget notes that another target runs here, or the same one in another life. Flows
// of the one before are not ended here, for some of those known may be of the new one
// already: the target bounces what it does not hold. The agent saw the new one start
// only if it saw the one before end.
func (c *Core) newTarget(b fleet.Heartbeat) {
	h := &c.target
	sawStart := h.sawEnd || !h.deregisteredAt.IsZero() || (h.incarnation.TargetID == "" && h.probeRefused)
	h.history.retire(h.incarnation)
	h.history.claimant = fleet.Incarnation{}
	*h = target{incarnation: b.Incarnation, history: h.history, up: h.up, upSince: h.upSince, probeRefused: sawStart, sawStart: sawStart, probedAt: h.probedAt, acceptedAt: h.acceptedAt, lastProbeFailed: h.lastProbeFailed}
	c.events.TargetReport("target found", b)
}

// Leave takes the last word of a target. One that does not say which life it ends is
// taken for the present one's.
func (c *Core) Leave(now time.Time, l fleet.Incarnation) {
	h := &c.target
	if l.TargetID != h.incarnation.TargetID || (l.StartedMillis != 0 && l.StartedMillis != h.incarnation.StartedMillis) || !h.deregisteredAt.IsZero() {
		c.events.TargetReport("late farewell ignored", fleet.Heartbeat{Incarnation: l})
		return
	}
	h.deregisteredAt = now
	c.events.TargetReport("target left", h.heartbeat)
	c.announceChange(now)
}

// mayListen tells whether the target accepted a connection a moment ago, or no probe has
// told otherwise: one that has said farewell is probed several times within that time,
// but an agent that stood still meanwhile knows nothing new.
func (h *target) mayListen(now time.Time) bool {
	return !h.lastProbeFailed || now.Sub(h.acceptedAt) <= deregistrationGrace/2
}

// endFlows ends all flows of a target that has ended: each client is told at once.
func (c *Core) endFlows(now time.Time, reason string) {
	if c.target.flowsEnded {
		return
	}
	c.target.flowsEnded = true
	c.queue.Clear()
	c.flows.kill(now, func(key flow.Key, r *record) {
		c.events.Reset(key, reason)
		c.port.Reset(key, r.clientAck)
	})
}
