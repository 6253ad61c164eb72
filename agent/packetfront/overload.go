package packetfront

import (
	"time"

	"github.com/poppywall/poppywall/backlog"
	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/flow/envelope"
)

// overload detects whether the target gets more requests than it can answer.
type overload struct {
	backlog.Overload
	active bool
	// changedAt is when active last changed.
	changedAt time.Time
}

// crossZoneNotifyPause is the minimum pause between two early announcements of overload
// changes to other zones: the targets of a service tend to change at the same time.
const crossZoneNotifyPause = time.Second

// countArrival counts a new flow as load offered to this target. A flow is counted once: by the
// target that admits or postpones it, or else by the last candidate that declines it. Other
// targets pass it on without counting it, because they do not have to answer it. A SYN that
// its balancer marks as a retransmission is not counted again; a balancer marks only those of
// flows that it has recorded. A SYN's Ack counts the SYNs of the flow sent before it.
func (c *Core) countArrival(now time.Time, h *flow.Header) {
	if c.env.Flags&envelope.Retransmitted == 0 {
		c.overload.Arrived(now, c.env.Deadline, h.Ack > 0)
	}
}

// decline passes on a new flow that the target, which is at its limit, does not admit.
func (c *Core) decline(now time.Time, key flow.Key, h *flow.Header, packet []byte, reason string) {
	c.events.PassedOn(key, reason, int(c.env.Hops))
	if c.env.Count == 0 {
		c.countArrival(now, h)
	}
	c.passToNextCandidate(packet, true)
}

// countLaterRequest counts a request after the first one of its flow; the first one was
// counted with the opening packet.
func (c *Core) countLaterRequest(now time.Time, r *record) {
	if r.busySince.IsZero() && r.request.began.IsZero() {
		c.overload.ArrivedOnOpenFlow(now, r.request.deadline)
	}
}

// recordSlotFree records whether the target has a free slot. Requests whose bodies are still in
// transfer occupy none.
func (c *Core) recordSlotFree(now time.Time) {
	working := float64(c.flows.running) * c.estimate.WorkShare()
	c.overload.SetSlotFree(now, working < float64(c.target.slots()))
}

// updateOverload detects the start and the end of an overload and announces both to the
// balancers early: this target limits only its own flows, while balancers can refuse flows
// for the whole service.
func (c *Core) updateOverload(now time.Time) {
	if c.target.warmup(now) > 0 || c.target.state() == fleet.Absent {
		c.overload.NoteOutage(now)
	}
	c.recordSlotFree(now)
	wait := c.expectedWait(now)
	active := c.overload.Active(now, wait)
	if active == c.overload.active {
		return
	}
	c.overload.active = active
	c.events.OverloadChanged(active, c.overload.Load(now), c.queue.Len(), wait)
	c.nextSameZone = now
	if next := c.overload.changedAt.Add(crossZoneNotifyPause); next.Before(c.nextCrossZone) {
		c.nextCrossZone = next
	}
	c.overload.changedAt = now
}

// meetsObjective reports whether the request of a new flow can be answered within its
// objective after the wait, or before its deadline if it has no objective. A SYN's Ack counts the
// SYNs of the flow sent before it.
func (c *Core) meetsObjective(wait time.Duration, h *flow.Header) bool {
	if c.env.Objective == 0 {
		return c.canMeetDeadline(wait, h)
	}
	expected := fleet.LoadReport{QueueDelay: wait, ResponseTime: c.estimate.ResponseTime()}
	return c.queue.Len() < maxQueued && expected.MeetsObjective(backlog.RetransmissionAge(h.Ack), c.env.Objective)
}

// nextQueued removes and returns the queued request that gets the next slot.
func (c *Core) nextQueued(now time.Time) (flow.Key, bool) {
	if c.overload.active {
		return c.queue.NextInTime(now, c.estimate)
	}
	return c.queue.Next(now, c.estimate)
}
