package packetfront

import (
	"time"

	"github.com/poppywall/poppywall/fleet"
)

// WantsProbe reports whether the target should be probed by a connection: it is not known
// to be up, its heartbeat or an answer is overdue, the proof of its identity is about to expire, or
// it has deregistered and its end was not seen yet.
func (c *Core) WantsProbe(now time.Time) bool {
	t := &c.target
	if !t.deregisteredAt.IsZero() {
		return !t.ended
	}
	if !t.up {
		return true
	}
	if now.Sub(t.probedAt) < answerTimeout {
		return false
	}
	unanswered := !t.awaitingSince.IsZero() && now.Sub(t.awaitingSince) > answerTimeout
	if t.identity.renewalDue(now) {
		return true
	}
	heartbeatTimeout := time.Duration(probeAfterMissedHeartbeats * float64(c.opts.HeartbeatPeriod))
	return unanswered || (t.incarnation.TargetID != "" && now.Sub(t.heartbeatAt) > heartbeatTimeout && now.Sub(t.probedAt) > c.opts.HeartbeatPeriod)
}

// Probe is the outcome of a target probe, which is an attempt to connect to the target.
type Probe uint8

// The outcomes.
const (
	// ProbeAccepted: a process listens.
	ProbeAccepted Probe = iota
	// ProbeRefused: no process listens. The target has ended, or is about to stop.
	ProbeRefused
	// ProbeUnanswered: no answer, which does not show whether the target is up.
	ProbeUnanswered
)

// String returns the name of the outcome for logs.
func (p Probe) String() string {
	return [...]string{"accepted", "refused", "unanswered", "invalid"}[p&3]
}

// TargetProbed handles the outcome of a target probe that began at the given time.
func (c *Core) TargetProbed(began, now time.Time, p Probe) {
	t := &c.target
	t.probedAt, t.lastProbe = now, p
	c.checkIdentity(now)
	if p == ProbeAccepted {
		t.identity.renew(began, now)
	}
	switch {
	case p == ProbeAccepted && !t.up:
		c.endClosedTarget(now)
		c.targetUp(now)
		t.heartbeat = fleet.Heartbeat{Slots: t.heartbeat.Slots}
		t.sawStart = t.probeRefused
		c.events.TargetReport("target listens", t.heartbeat)
		c.announceChange(now)
	case p == ProbeAccepted:
		t.awaitingSince = time.Time{}
	case p == ProbeRefused:
		c.targetRefused(now)
	}
	if !t.closed() || t.ended {
		c.setTargetKnown(now)
	}
}

// targetRefused records that no process listens.
func (c *Core) targetRefused(now time.Time) {
	t := &c.target
	t.probeRefused, t.refusedAt = true, now
	c.doubtIdentity("connection refused")
	if t.downSince.IsZero() {
		t.downSince = now
	}
	if t.up {
		t.up, t.awaitingSince, t.sawEnd = false, time.Time{}, true
		c.events.TargetReport("target does not listen", t.heartbeat)
	}
	c.checkEnded(now)
	c.announceChange(now)
}
