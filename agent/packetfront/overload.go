package packetfront

import (
	"time"

	"github.com/poppywall/poppywall/backlog"
	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/flow/envelope"
)

// overload judges whether the target has more to do than it can answer.
type overload struct {
	backlog.Overload
	active bool
	// changedAt is when the judgement changed last.
	changedAt time.Time
}

// crossZoneNotifyPause is how long after one change of the judgement other zones hear of the next
// one at the earliest: a service's targets change it together.
const crossZoneNotifyPause = time.Second

// countArrival notes a new flow where its way ends: at the target that takes it or leaves it to
// its client's next packet, or else at the last one that it is offered to. A target that
// others pass their flows on to has these to answer, not those that pass them on. A flow
// that a balancer sends again is the same arrival.
func (c *Core) countArrival(now time.Time, h *flow.Header) {
	if c.env.Flags&envelope.Retransmitted == 0 {
		c.overload.Arrived(now, c.env.Deadline, h.Ack > 0)
	}
}

// decline passes a new flow on for which the target has no room.
func (c *Core) decline(now time.Time, key flow.Key, h *flow.Header, packet []byte, reason string) {
	c.events.PassedOn(key, reason, int(c.env.Hops))
	if c.env.Count == 0 {
		c.countArrival(now, h)
	}
	c.passToNextCandidate(packet, true)
}

// countLaterRequest notes a later request of a flow. Its first one was noted with its opening
// packet.
func (c *Core) countLaterRequest(now time.Time, r *record) {
	if r.pendingAt.IsZero() && r.request.began.IsZero() {
		c.overload.ArrivedOnOpenFlow(now, r.request.deadline)
	}
}

// updateSlots notes whether the target has a free slot: requests whose bodies are on their
// way keep none.
func (c *Core) updateSlots(now time.Time) {
	working := float64(c.flows.running) * c.estimate.WorkShare()
	c.overload.SetSlotFree(now, working < float64(c.target.slots()))
}

// updateOverload tells balancers at once when an overload stands, and when it does no
// longer: they refuse for all others what it means for this target alone.
func (c *Core) updateOverload(now time.Time) {
	if c.target.warmup(now) > 0 || c.target.state() == fleet.Absent {
		c.overload.NoteOutage(now)
	}
	c.updateSlots(now)
	wait := c.expectedWait(now)
	stands := c.overload.Active(now, wait)
	if stands == c.overload.active {
		return
	}
	c.overload.active = stands
	c.events.Overloaded(stands, c.overload.Load(now), c.queue.Len(), wait)
	c.nextSameZone = now
	if next := c.overload.changedAt.Add(crossZoneNotifyPause); next.Before(c.nextCrossZone) {
		c.nextCrossZone = next
	}
	c.overload.changedAt = now
}

// meetsObjective tells whether a new flow's request can be answered within its
// objective after a wait, where it states one, and else before its deadline.
func (c *Core) meetsObjective(wait time.Duration, h *flow.Header) bool {
	if c.env.Objective == 0 {
		return c.canMeetDeadline(wait, h)
	}
	expected := fleet.LoadReport{QueueDelay: wait, ResponseTime: c.estimate.ResponseTime()}
	return c.queue.Len() < maxQueued && expected.MeetsObjective(backlog.RetransmissionAge(h.Ack), c.env.Objective)
}

// nextQueued takes out the request that gets the next slot.
func (c *Core) nextQueued(now time.Time) (flow.Key, bool) {
	if c.overload.active {
		return c.queue.NextInTime(now, c.estimate)
	}
	return c.queue.Next(now, c.estimate)
}
