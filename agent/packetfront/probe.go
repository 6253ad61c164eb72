package packetfront

import (
	"time"

	"github.com/poppywall/poppywall/fleet"
)

// WantsProbe tells whether the target should be probed by a connection: it is not
// known to be up, its heartbeats fail to come, it owes answers, or it has said
// farewell and its end was not seen yet.
func (c *Core) WantsProbe(now time.Time) bool {
	h := &c.target
	if !h.deregisteredAt.IsZero() {
		return !h.flowsEnded
	}
	if !h.up {
		return true
	}
	if now.Sub(h.probedAt) < answerTimeout {
		return false
	}
	silent := !h.awaitingSince.IsZero() && now.Sub(h.awaitingSince) > answerTimeout
	missed := time.Duration(probeAfterMissedHeartbeats * float64(c.opts.HeartbeatPeriod))
	return silent || (h.incarnation.TargetID != "" && now.Sub(h.heartbeatAt) > missed && now.Sub(h.probedAt) > c.opts.HeartbeatPeriod)
}

// Probe is the outcome of a connection to the target.
type Probe uint8

// The outcomes.
const (
	// ProbeAccepted: something listens.
	ProbeAccepted Probe = iota
	// ProbeRefused: nothing listens; a target that lives always does.
	ProbeRefused
	// ProbeSilent: no answer, which proves nothing.
	ProbeSilent
)

// Probed takes the outcome of a probe.
func (c *Core) Probed(now time.Time, p Probe) {
	h := &c.target
	h.probedAt, h.lastProbeFailed = now, p != ProbeAccepted
	if p == ProbeAccepted {
		h.acceptedAt = now
	}
	defer c.setTargetKnown(now)
	switch {
	case p == ProbeAccepted && !h.up:
		c.targetUp(now)
		h.heartbeat = fleet.Heartbeat{Slots: h.heartbeat.Slots}
		h.sawStart = h.probeRefused
		c.events.TargetReport("target listens", h.heartbeat)
		c.announceChange(now)
	case p == ProbeAccepted:
		h.awaitingSince = time.Time{}
	case p == ProbeRefused:
		c.targetRefused(now)
	}
}

// targetRefused notes that no target listens.
func (c *Core) targetRefused(now time.Time) {
	h := &c.target
	h.probeRefused = true
	if h.downSince.IsZero() {
		h.downSince = now
	}
	if !h.up {
		return
	}
	if h.deregisteredAt.IsZero() {
		c.health.recordCrash(now)
	}
	h.up, h.awaitingSince = false, time.Time{}
	h.sawEnd = true
	c.events.TargetReport("target does not listen", h.heartbeat)
	c.endFlows(now, "its target has ended")
	c.announceChange(now)
}
