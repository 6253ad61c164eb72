package packetfront

import (
	"time"

	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
)

// target is what an agent has observed of its target.
type target struct {
	// incarnation is the target's current incarnation, without an ID until it reports; sequence
	// is the sequence of its last heartbeat.
	incarnation fleet.TargetIncarnation
	sequence    uint64
	// history holds the incarnations before it.
	history incarnationHistory
	// heartbeat is the last heartbeat, heartbeatAt when it arrived.
	heartbeat   fleet.Heartbeat
	heartbeatAt time.Time
	// up is set by a heartbeat, a packet or an accepted connection, and cleared by a refused
	// connection.
	up bool
	// identity is what proves that the process at the target's address is of the agent's service.
	identity identity
	// deregisteredAt is when the target deregistered.
	deregisteredAt time.Time
	// ended is set once it is certain that no target runs here.
	ended bool
	// probeRefused is set by each refused target probe and stays set when the target comes up. A
	// new incarnation keeps it only if the agent saw its start. sawStart is set when the agent
	// was running before the current target took its first flow.
	probeRefused, sawStart bool
	// sawEnd is set when a target probe was refused while the target was up, and cleared by its
	// next heartbeat.
	sawEnd bool
	// upSince is when the target was found to be up, downSince and refusedAt when the first and the
	// last target probe since then were refused; zero if that has not happened.
	upSince, downSince, refusedAt time.Time
	// awaitingSince is when the first packet was delivered since the last packet or heartbeat
	// from the target.
	awaitingSince time.Time
	// probedAt is when the target was probed last, lastProbe the outcome.
	probedAt  time.Time
	lastProbe Probe
	// sentAt is when the target last sent a packet.
	sentAt time.Time
}

// evidence returns what is known of whether the target runs.
func (t *target) evidence(now time.Time) TargetEvidence {
	return TargetEvidence{
		State: t.state(), SinceReport: since(now, t.heartbeatAt), SinceSent: since(now, t.sentAt), LastProbe: t.lastProbe, SinceProbe: since(now, t.probedAt),
		SinceRefused: since(now, t.downSince), SinceDeregistered: since(now, t.deregisteredAt),
	}
}

// since returns the time since an event, negative if it has not happened.
func since(now, event time.Time) time.Duration {
	if event.IsZero() {
		return -1
	}
	return now.Sub(event)
}

// state returns the target's state for announcements.
func (t *target) state() fleet.State {
	switch {
	case !t.deregisteredAt.IsZero():
		return fleet.Gone
	case !t.up:
		return fleet.Absent
	case t.heartbeat.Draining:
		return fleet.Draining
	default:
		return fleet.Ready
	}
}

// Times for which a target that accepts no connection may still hold flows.
const (
	// closeTimeout applies to a target that was up: one that stops closes its listener first, then
	// deregisters and exits.
	closeTimeout = time.Second
	// unseenTimeout applies to a target that this process of the agent has not seen up: either it
	// has not started yet, or it was about to exit when the agent started.
	unseenTimeout = 250 * time.Millisecond
	// silenceTimeout applies to a target that has deregistered and whose port does not answer at
	// all; usually it refuses connections once the target has exited.
	silenceTimeout = 5 * time.Second
)

// closed reports whether the target refuses connections.
func (t *target) closed() bool { return !t.up && !t.downSince.IsZero() }

// hasEnded reports whether it is certain that no target runs here. A refused connection shows only
// that no process listens, and a target that stops holds its flows until it exits.
func (t *target) hasEnded(now time.Time, period time.Duration) bool {
	switch {
	case !t.deregisteredAt.IsZero():
		return !t.refusedAt.Before(t.deregisteredAt) || t.silentSinceDeregistration()
	case !t.closed():
		return false
	case t.upSince.IsZero():
		return now.Sub(t.downSince) >= unseenTimeout
	case t.reportedReady(t.downSince, period):
		return true
	default:
		return now.Sub(t.downSince) >= closeTimeout
	}
}

// silentSinceDeregistration reports whether a target that has deregistered has neither answered a
// probe nor sent a packet for silenceTimeout.
func (t *target) silentSinceDeregistration() bool {
	since := t.deregisteredAt
	if t.sentAt.After(since) {
		since = t.sentAt
	}
	return t.lastProbe == ProbeUnanswered && t.probedAt.Sub(since) >= silenceTimeout
}

// reportedReady reports whether the target had, at a given time, just reported that it takes new
// flows. It had then not begun to stop.
func (t *target) reportedReady(at time.Time, period time.Duration) bool {
	return t.incarnation.TargetID != "" && !t.heartbeat.Draining && at.Sub(t.heartbeatAt) <= time.Duration(maxHeartbeatGapPeriods*float64(period))
}

// acceptsFlows reports whether the target may get new flows.
func (t *target) acceptsFlows() bool { return t.state() == fleet.Ready && !t.identity.unproven }

func (t *target) slots() int {
	if t.heartbeat.Slots <= 0 {
		return defaultSlots
	}
	return t.heartbeat.Slots
}

// warmup returns the remaining time for which the target is slow after its start.
func (t *target) warmup(now time.Time) time.Duration {
	return max(t.heartbeat.WarmupLeft-now.Sub(t.heartbeatAt), 0)
}

// expectAnswer records the delivery of a packet that the target should answer.
func (t *target) expectAnswer(now time.Time) {
	if t.awaitingSince.IsZero() {
		t.awaitingSince = now
	}
}

// targetSent records a packet from the target. After a refused connection a packet does not
// show that the target is up: for seconds after a target has exited, retransmissions and
// bounced packets still arrive from it. The next target probe decides.
func (c *Core) targetSent(now time.Time) {
	c.target.awaitingSince, c.target.sentAt = time.Time{}, now
	if c.target.deregisteredAt.IsZero() && c.target.downSince.IsZero() {
		c.targetUp(now)
	}
}

// targetReported records a heartbeat of the target, which shows that it is up.
func (c *Core) targetReported(now time.Time) {
	c.target.awaitingSince = time.Time{}
	if c.target.deregisteredAt.IsZero() {
		c.targetUp(now)
	}
}

// targetUp records that the target is up.
func (c *Core) targetUp(now time.Time) {
	t := &c.target
	if !t.up {
		t.upSince = now
		if probation := c.health.recordRestart(now); probation > 0 {
			c.events.OnProbation(c.health.crashes, probation)
		}
	}
	t.up, t.ended, t.downSince, t.refusedAt = true, false, time.Time{}, time.Time{}
}

// Heartbeat handles a heartbeat that arrived at the given time or later, and reports whether it is from
// the current target. After its return a draining target gets no new flows.
func (c *Core) Heartbeat(arrived, now time.Time, b fleet.Heartbeat) bool {
	t := &c.target
	c.checkIdentity(now)
	source := t.classify(now, b, c.opts.HeartbeatPeriod)
	switch source {
	case staleHeartbeat:
		if !t.isFormer(b.TargetIncarnation) {
			// The target may have restarted unnoticed, so it may be cold.
			c.cold.suspectedAt = now
		}
		c.events.TargetReport("late heartbeat ignored", b)
		return false
	case newHeartbeat:
		c.endClosedTarget(now)
		c.newTarget(b)
	}
	changed := t.heartbeat.Draining != b.Draining
	t.sequence, t.heartbeat, t.heartbeatAt, t.sawEnd = b.Sequence, b, now, false
	c.identify(now, arrived, b, source)
	if !t.deregisteredAt.IsZero() && now.Sub(t.deregisteredAt) > deregistrationGrace {
		// The deregistration was from a former incarnation with the same ID.
		t.deregisteredAt = time.Time{}
		c.events.TargetReport("deregistration revoked by a heartbeat", b)
	}
	if !t.up || changed {
		c.events.TargetReport("target state", b)
	}
	c.targetReported(now)
	c.setTargetKnown(now)
	c.announceChange(now)
	return true
}

// OtherServiceReported handles a heartbeat of a target of another service. It may be a late one of a
// former target; if the current target does not report, it may be that one.
func (c *Core) OtherServiceReported(now time.Time) {
	if c.target.alive(now, c.opts.HeartbeatPeriod) {
		return
	}
	c.doubtIdentity("another service reported")
	c.announceChange(now)
}

// SetService changes the service of the agent. The process at the target's address is of the new
// service once it reports.
func (c *Core) SetService(now time.Time, service flow.ServiceID) {
	if service == c.opts.Service {
		return
	}
	c.opts.Service = service
	c.doubtIdentity("settings name another service")
	c.announceChange(now)
}

// newTarget records a new target or a new incarnation of the same one. The flows of the
// former one are not reset here, because some of the known flows may already belong to the
// new one: the target bounces packets of flows that it does not hold. The agent saw the
// new one start only if it saw the former one end. A deregistration shows that only if the agent
// saw the former one start: it may be a late one of a target that ended before this process.
func (c *Core) newTarget(b fleet.Heartbeat) {
	t := &c.target
	sawStart := t.sawEnd || t.ended || (t.sawStart && !t.deregisteredAt.IsZero()) || (t.incarnation.TargetID == "" && t.probeRefused)
	t.history.addFormer(t.incarnation)
	t.history.rejected = fleet.TargetIncarnation{}
	*t = target{incarnation: b.TargetIncarnation, history: t.history, identity: t.identity, up: t.up, upSince: t.upSince, probeRefused: sawStart, sawStart: sawStart, probedAt: t.probedAt, lastProbe: t.lastProbe, sentAt: t.sentAt}
	c.events.TargetReport("new target incarnation", b)
}

// Deregister handles the deregistration of a target. One without a start time is attributed to
// the current incarnation of that ID.
func (c *Core) Deregister(now time.Time, left fleet.TargetIncarnation) {
	t := &c.target
	if left.TargetID != t.incarnation.TargetID || (left.StartedMillis != 0 && left.StartedMillis != t.incarnation.StartedMillis) || !t.deregisteredAt.IsZero() {
		c.events.TargetReport("late deregistration ignored", fleet.Heartbeat{TargetIncarnation: left})
		return
	}
	t.deregisteredAt = now
	c.events.TargetReport("target deregistered", t.heartbeat)
	c.announceChange(now)
}

// checkEnded ends the target's flows once it is certain that no target runs here.
func (c *Core) checkEnded(now time.Time) {
	if c.target.ended || !c.target.hasEnded(now, c.opts.HeartbeatPeriod) {
		return
	}
	c.endTarget(now)
	c.setTargetKnown(now)
	c.announceChange(now)
}

// endClosedTarget ends a target that had closed its listener, because another process runs: a
// listener that was closed is not opened again.
func (c *Core) endClosedTarget(now time.Time) {
	if c.target.closed() && !c.target.ended {
		c.endTarget(now)
	}
}

// endTarget records that the target has ended, and resets the flows of one that was up.
func (c *Core) endTarget(now time.Time) {
	t := &c.target
	t.ended = true
	if t.upSince.IsZero() {
		return
	}
	if t.deregisteredAt.IsZero() {
		c.health.recordCrash(now)
	}
	c.endFlows(now)
}

// endFlows marks all flows of a target that has ended and resets the open ones at their
// clients.
func (c *Core) endFlows(now time.Time) {
	c.queue.Clear()
	c.flows.endAll(now, func(key flow.Key, r *record) {
		c.events.Reset(key, "its target has ended", c.target.evidence(now))
		c.port.Reset(key, r.clientAck)
	})
}
