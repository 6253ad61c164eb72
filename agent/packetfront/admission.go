package packetfront

import (
	"slices"
	"time"

	"github.com/poppywall/poppywall/backlog"
	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/flow/envelope"
)

// Limits of admission.
const (
	// targetQueuePerSlot is how many requests may wait at the target for each slot. A
	// request behind so many waits for 1.5 times the target's work on one, which
	// leaves it within the latency objectives in use (4 to 5 times the work).
	// What a target queues beyond that is served in the target's order, not in the
	// one that callers need.
	targetQueuePerSlot = 0.5
	// maxQueued bounds the requests that wait for a slot. A target of four slots and
	// 30 ms of work serves as many in two seconds.
	maxQueued = 256
	// maxQueuedPackets bounds those of one request: an end has at most 16 in flight.
	maxQueuedPackets = 16
	// pendingOpenTTL is how long a flow that was given to the target counts as load
	// although its client has sent nothing.
	pendingOpenTTL = 300 * time.Millisecond
	// firstRequestWindow is how long after the handshake the request comes that a flow was opened
	// for: its client sends it with the acknowledgement, and again after 0.2 and 0.6 s. One
	// that comes later is of a client that opened the flow ahead.
	firstRequestWindow = 700 * time.Millisecond
	// defaultWork is the time that a target is taken to need for a request before
	// one was observed.
	defaultWork = 50 * time.Millisecond
)

// requestParams are what a flow's route and its opening packet say of its requests.
type requestParams struct {
	priority            uint8
	objective, deadline time.Duration
	// began and hidden are the age of the flow's first request (backlog.Request);
	// zero once the target has it, or if the flow was opened ahead of it.
	began  time.Time
	hidden time.Duration
}

// expired tells that the caller of the first request, which the target has not got, has
// certainly gone.
func (t requestParams) expired(now time.Time) bool {
	return t.deadline > 0 && !t.began.IsZero() && now.After(t.began.Add(t.deadline))
}

// requestParamsOf reads the terms of a flow from its opening packet and the envelope
// around it. What the packet says of an outage is noted first.
func (c *Core) requestParamsOf(now time.Time, h *flow.Header) requestParams {
	if c.env.Flags&envelope.Retransmitted == 0 {
		c.outage.Opened(now, h.Ack)
	}
	began := now.Add(-backlog.RetransmissionAge(h.Ack))
	return requestParams{
		priority: c.env.Priority, objective: c.env.Objective, deadline: c.env.Deadline,
		began: began, hidden: c.outage.UnseenTry(began),
	}
}

// queuedRequest is a request that waits for a slot of the target: its packets, and
// the envelope that they came in.
type queuedRequest struct {
	key     flow.Key
	since   time.Time
	env     envelope.Envelope
	packets []queuedPacket
}

type queuedPacket struct {
	seq  uint32
	data []byte
}

// add keeps a packet; one that its client has repeated is kept once.
func (r *queuedRequest) add(seq uint32, packet []byte) {
	known := slices.ContainsFunc(r.packets, func(p queuedPacket) bool { return p.seq == seq })
	if known || len(r.packets) >= maxQueuedPackets {
		return
	}
	r.packets = append(r.packets, queuedPacket{seq, slices.Clone(packet)})
}

// targetLimit is how many requests the target may have: running and queued, and beside them
// those whose bodies are on their way. These keep no slot, however long they take; were
// they counted, a few slow uploads would keep an idle target from all others.
func (c *Core) targetLimit() int {
	slots := c.target.slots()
	working := slots + int(targetQueuePerSlot*float64(slots))
	return int(float64(working) / c.estimate.WorkShare())
}

// full tells that there are as many requests as the target should have, those that
// wait for a slot and those that are about to come included.
func (c *Core) full() bool { return c.flows.busy >= c.targetLimit() }

// expectedWait is how long a new request would expectedWait for a slot, served in order. While an
// overload stands those that cannot meet their objective are not ahead of it.
func (c *Core) expectedWait(now time.Time) time.Duration {
	busy := c.flows.busy
	if c.overload.active {
		busy -= c.queue.Len() - c.queue.CountInTime(now, c.estimate)
	}
	ahead := float64(busy)*c.estimate.WorkShare() - float64(c.target.slots()) + 1
	return time.Duration(max(ahead, 0) * float64(c.estimate.AnswerInterval()))
}

// admitWhenFull decides on a new flow for which the target has no room at once. While
// there are other candidates it is passed on; then it goes to the target with the
// shortest wait, which takes it unless it certainly cannot be served in time, or
// would wait for longer than until its client's next opening packet. It tells
// whether the target is to take it; otherwise the packet was sent on or dropped.
func (c *Core) admitWhenFull(now time.Time, key flow.Key, h *flow.Header, packet []byte) bool {
	wait := c.expectedWait(now)
	if c.overload.active {
		if c.meetsObjective(wait, h) {
			return true
		}
		if c.env.Hops > 0 {
			// Another one was full as well: the next ones are no better, and each visit
			// costs those that are served.
			c.env.SetCandidates(nil)
		}
		c.sendToShortestWait()
		c.decline(now, key, h, packet, "target overloaded")
		return false
	}
	if c.env.Flags&envelope.ShortestWait == 0 {
		if c.env.ShortestWaitTarget == 0 || wait < c.env.ShortestWaitTime {
			c.env.ShortestWaitTarget, c.env.ShortestWaitTime = c.opts.Self, wait
		}
		c.sendToShortestWait()
		if c.env.Count > 0 {
			c.decline(now, key, h, packet, "target at its limit")
			return false
		}
	}
	if !c.canMeetDeadline(wait, h) {
		c.decline(now, key, h, packet, "no target can serve it in time")
		return false
	}
	if retransmittedBefore(wait, h) && !c.queue.GoesFirst(now, c.requestParamsOf(now, h).nextRequest(now), c.estimate) {
		c.countArrival(now, h)
		c.events.Postponed(key, wait)
		return false
	}
	return true
}

// sendToShortestWait makes the last candidate of a new flow send it on to the one with the
// shortest wait, once, unless that is this one or none was full.
func (c *Core) sendToShortestWait() {
	best := c.env.ShortestWaitTarget
	if c.env.Count > 0 || c.env.Flags&envelope.ShortestWait != 0 || best == 0 || best == c.opts.Self {
		return
	}
	c.env.Flags |= envelope.ShortestWait
	c.env.SetCandidates([]flow.Candidate{{Target: best, Service: c.env.Service}})
}

// canMeetDeadline tells whether a new flow's request can be answered before its caller
// gives up.
func (c *Core) canMeetDeadline(wait time.Duration, h *flow.Header) bool {
	if c.env.Deadline == 0 {
		return true
	}
	return c.queue.Len() < maxQueued && backlog.RetransmissionAge(h.Ack)+wait+c.estimate.ResponseTime() <= c.env.Deadline
}

// retransmittedBefore tells whether a new flow's next opening packet comes before the target
// would have a slot for its request, served in order. Until then targets may come
// back, or others be faster; a flow that is open is bound to its target.
func retransmittedBefore(wait time.Duration, h *flow.Header) bool {
	next, more := backlog.NextRetransmission(h.Ack)
	return more && next < wait
}

// enqueueIfBusy decides whether a client's data goes to the target now or is kept until the
// target has a slot, and keeps it. A route that states no deadline gives no order to
// wait in, and more than maxHeld are not kept: the target queues or sheds these.
func (c *Core) enqueueIfBusy(now time.Time, key flow.Key, r *record, h *flow.Header, packet []byte) bool {
	switch {
	case r.queued != nil:
		r.queued.add(h.Seq, packet)
		return true
	case !r.runningAt.IsZero():
		return false
	}
	id := c.codec.RequestID(packet)
	if c.flows.running < c.targetLimit() || r.request.deadline == 0 || c.queue.Len() >= maxQueued {
		c.startRequest(now, key, r, id)
		return false
	}
	r.queued = &queuedRequest{key: key, since: now, env: c.env}
	r.queued.add(h.Seq, packet)
	c.events.Queued(key, id, c.queue.Len(), c.expectedWait(now))
	c.queue.Push(key, r.request.nextRequest(now))
	return true
}

// nextRequest describes the flow's nextRequest request: a later one than the first began when
// it came.
func (t requestParams) nextRequest(now time.Time) backlog.Request {
	request := backlog.Request{Priority: t.priority, Began: now, Objective: t.objective, Deadline: t.deadline}
	if !t.began.IsZero() {
		request.Began, request.UnseenTry = t.began, t.hidden
	}
	return request
}

// startRequest notes that the target gets a request.
func (c *Core) startRequest(now time.Time, key flow.Key, r *record, requestID []byte) {
	c.flows.started(now, r)
	c.updateSlots(now)
	r.request.began = time.Time{}
	if requestID != nil {
		c.events.Request(key, requestID, c.flows.running, c.target.slots())
	}
}

// dispatchQueued gives requests that wait to the target while it has room.
func (c *Core) dispatchQueued(now time.Time) {
	if c.queue.Len() > 0 && c.flows.running < c.targetLimit() {
		c.expireQueued(now)
	}
	for c.queue.Len() > 0 && c.flows.running < c.targetLimit() {
		key, ok := c.nextQueued(now)
		if !ok {
			return
		}
		r := c.flows.get(key)
		if r == nil || r.queued == nil {
			continue
		}
		held := r.queued
		r.queued = nil
		c.startRequest(now, key, r, c.codec.RequestID(held.packets[0].data))
		r.deliveredAt = now
		for _, p := range held.packets {
			c.env = held.env
			c.deliverPacket(now, key, r, p.data)
		}
	}
}

// abandon notes that a client has ended its flow before the answer: as is customary
// with HTTP/1.1, that gives the request up. One that still waits is for nobody; for
// one that the target has, no answer may come any more, and it must not count as load
// until then.
func (c *Core) abandon(now time.Time, key flow.Key, r *record, why Abandoned) {
	switch {
	case r.queued != nil:
		c.events.Expired(key, now.Sub(r.queued.since))
	case !r.runningAt.IsZero():
		c.events.Unwanted(key, now.Sub(r.runningAt))
	}
	r.abandonedFor = why
	c.flows.answered(r)
	c.updateSlots(now)
}

// withhold tells whether nobody waits for a client's data any more: then it goes no
// further. The client's end repeats it until it gives up by itself, for nobody
// acknowledges it: only the target may reset a flow that it holds.
func (c *Core) withhold(now time.Time, key flow.Key, r *record, packet []byte) bool {
	reason, abandoned := r.abandoned(now)
	if !abandoned {
		return false
	}
	if !r.withheld {
		r.withheld = true
		c.events.Withheld(key, c.codec.RequestID(packet), reason)
	}
	return true
}

// expireQueued forgets requests whose callers have gone.
func (c *Core) expireQueued(now time.Time) {
	for _, key := range c.queue.Expire(now) {
		if r := c.flows.get(key); r != nil && r.queued != nil {
			c.abandon(now, key, r, DeadlinePassed)
		}
	}
}

// pendingOpen is a flow that counts as load from its admission on.
type pendingOpen struct {
	key flow.Key
	at  time.Time
}

// addPendingOpen counts a flow that was given to the target as load: its request
// will follow.
func (c *Core) addPendingOpen(now time.Time, key flow.Key, r *record) {
	c.flows.requested(now, r)
	c.pendingOpens = append(c.pendingOpens, pendingOpen{key, now})
}

// expirePendingOpens stops counting flows whose clients have sent nothing.
func (c *Core) expirePendingOpens(now time.Time) {
	for len(c.pendingOpens) > 0 && now.Sub(c.pendingOpens[0].at) > pendingOpenTTL {
		first := c.pendingOpens[0]
		c.pendingOpens = c.pendingOpens[1:]
		r := c.flows.get(first.key)
		if r != nil && r.pendingAt.Equal(first.at) && r.queued == nil && r.runningAt.IsZero() {
			c.flows.answered(r)
		}
	}
	if len(c.pendingOpens) == 0 {
		c.pendingOpens = nil
	}
}
