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
	// targetQueuePerSlot is how many requests may queue at the target for each slot. Waiting
	// behind that many and the service itself take 1.5 times the service time, within the
	// latency objectives in use (4 to 5 times the service time). Requests beyond the limit
	// would be served in the target's order instead of the order that their callers need.
	targetQueuePerSlot = 0.5
	// maxQueued limits the requests queued at the agent. A target with four slots and a
	// service time of 30 ms serves that many in two seconds.
	maxQueued = 256
	// maxQueuedPackets limits the buffered packets of one queued request: a sender has at
	// most 16 in flight.
	maxQueuedPackets = 16
	// pendingOpenTTL is how long an admitted flow counts as load while its client has sent
	// no data.
	pendingOpenTTL = 300 * time.Millisecond
	// firstRequestWindow is the longest time between the handshake and the request that the
	// flow was opened for: the client sends it with the acknowledgement, and retransmits
	// after 0.2 and 0.6 s. If the first data comes later, the client opened the flow ahead
	// of its first request.
	firstRequestWindow = 700 * time.Millisecond
	// defaultServiceTime is the assumed service time of a target before an answer was
	// observed.
	defaultServiceTime = 50 * time.Millisecond
)

// requestParams are the parameters of a flow's requests, as stated by its route and its SYN.
type requestParams struct {
	priority            uint8
	objective, deadline time.Duration
	// began is when the client sent the flow's first SYN, unseenTry how much earlier its caller
	// may have begun, by a try whose packets were all lost (see backlog.Request). began is zero
	// once the target has the flow's first request, or if the flow was opened ahead of it.
	began     time.Time
	unseenTry time.Duration
}

// expired reports whether the deadline of the first request has passed before the request
// was delivered, so that its caller has certainly given up.
func (p requestParams) expired(now time.Time) bool {
	return p.deadline > 0 && !p.began.IsZero() && now.After(p.began.Add(p.deadline))
}

// requestParamsOf returns the parameters of a flow from its SYN h and the current envelope. It
// first updates the outage detection from the retransmission count: a SYN's Ack counts the SYNs of
// the flow sent before it.
func (c *Core) requestParamsOf(now time.Time, h *flow.Header) requestParams {
	if c.env.Flags&envelope.Retransmitted == 0 {
		c.outage.Opened(now, h.Ack)
	}
	began := now.Add(-backlog.RetransmissionAge(h.Ack))
	return requestParams{
		priority: c.env.Priority, objective: c.env.Objective, deadline: c.env.Deadline,
		began: began, unseenTry: c.outage.UnseenTry(began),
	}
}

// queuedRequest is a request that waits at the agent for a slot of the target: its packets
// and the envelope of the first one.
type queuedRequest struct {
	key      flow.Key
	queuedAt time.Time
	env      envelope.Envelope
	packets  []queuedPacket
}

type queuedPacket struct {
	seq  uint32
	data []byte
}

// add buffers a packet unless it is a retransmission of a buffered one or the limit is
// reached.
func (r *queuedRequest) add(seq uint32, packet []byte) {
	duplicate := slices.ContainsFunc(r.packets, func(p queuedPacket) bool { return p.seq == seq })
	if duplicate || len(r.packets) >= maxQueuedPackets {
		return
	}
	r.packets = append(r.packets, queuedPacket{seq, slices.Clone(packet)})
}

// targetLimit returns how many requests may be at the target: those that run or queue there,
// and in addition those whose bodies are still in transfer. The latter occupy no
// slot, however long they take: otherwise a few slow uploads would block an idle target.
func (c *Core) targetLimit() int {
	slots := c.target.slots()
	working := slots + int(targetQueuePerSlot*float64(slots))
	return int(float64(working) / c.estimate.WorkShare())
}

// atLimit reports whether the target has reached targetLimit, counting also the requests that
// are queued at the agent and those expected of new flows.
func (c *Core) atLimit() bool { return c.flows.busy >= c.targetLimit() }

// expectedWait returns how long a new request would wait for a slot if requests were served in
// order. During an overload, queued requests that cannot meet their objective are not ahead of it.
func (c *Core) expectedWait(now time.Time) time.Duration {
	busy := c.flows.busy
	if c.overload.active {
		busy -= c.queue.Len() - c.queue.CountInTime(now, c.estimate)
	}
	ahead := float64(busy)*c.estimate.WorkShare() - float64(c.target.slots()) + 1
	return time.Duration(max(ahead, 0) * float64(c.estimate.AnswerInterval()))
}

// admitWhenFull decides on a new flow when the target is at its limit. Without an active
// overload, the flow is passed on while there are other candidates, and then to the one with the
// shortest wait. That one admits it unless it certainly cannot be served in time, or would have to
// wait past its client's next SYN. During an overload, the target admits the flow if its request
// can meet the objective. Otherwise it passes the flow on, and if another target has done so
// before, only to the one with the shortest wait or back to the balancer. admitWhenFull reports
// whether the target gets the flow; otherwise the packet was passed on, or dropped in favor of the
// client's next SYN.
func (c *Core) admitWhenFull(now time.Time, key flow.Key, h *flow.Header, packet []byte) bool {
	wait := c.expectedWait(now)
	if c.overload.active {
		if c.meetsObjective(wait, h) {
			return true
		}
		if c.env.Hops > 0 {
			// Another target was full as well: the remaining candidates are no better, and each
			// further offer takes capacity from the requests being served.
			c.env.SetCandidates(nil)
		}
		c.redirectToShortestWait()
		c.decline(now, key, h, packet, "target overloaded")
		return false
	}
	if c.env.Flags&envelope.ShortestWait == 0 {
		if c.env.ShortestWaitTarget == 0 || wait < c.env.ShortestWaitTime {
			c.env.ShortestWaitTarget, c.env.ShortestWaitTime = c.opts.Self, wait
		}
		c.redirectToShortestWait()
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

// redirectToShortestWait replaces the exhausted candidates of a new flow by the target with
// the shortest wait. It does so once per flow, and not if that target is this one or no
// target was full.
func (c *Core) redirectToShortestWait() {
	best := c.env.ShortestWaitTarget
	if c.env.Count > 0 || c.env.Flags&envelope.ShortestWait != 0 || best == 0 || best == c.opts.Self {
		return
	}
	c.env.Flags |= envelope.ShortestWait
	c.env.SetCandidates([]flow.IPv4{best})
}

// canMeetDeadline reports whether the request of a new flow can be answered before its
// deadline if it waits that long for a slot. A SYN's Ack counts the SYNs of the flow sent before it.
func (c *Core) canMeetDeadline(wait time.Duration, h *flow.Header) bool {
	if c.env.Deadline == 0 {
		return true
	}
	return c.queue.Len() < maxQueued && backlog.RetransmissionAge(h.Ack)+wait+c.estimate.ResponseTime() <= c.env.Deadline
}

// retransmittedBefore reports whether the client sends its next SYN before the target would
// have a slot for the request. By then other targets may be back or faster, whereas an open
// flow is bound to its target. A SYN's Ack counts the SYNs of the flow sent before it.
func retransmittedBefore(wait time.Duration, h *flow.Header) bool {
	next, more := backlog.NextRetransmission(h.Ack)
	return more && next < wait
}

// enqueueIfBusy queues a client's data if the target has no slot for the request, and reports
// whether it did. Requests of routes without a deadline are not queued, as they have no place
// in the order, nor are requests beyond maxQueued: the target queues or sheds these.
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
	r.queued = &queuedRequest{key: key, queuedAt: now, env: c.env}
	r.queued.add(h.Seq, packet)
	c.events.Queued(key, id, c.queue.Len(), c.expectedWait(now))
	c.queue.Push(key, r.request.nextRequest(now))
	return true
}

// nextRequest returns the queue entry of the flow's next request. A request after the first
// begins when it arrives.
func (p requestParams) nextRequest(now time.Time) backlog.Request {
	request := backlog.Request{Priority: p.priority, Began: now, Objective: p.objective, Deadline: p.deadline}
	if !p.began.IsZero() {
		request.Began, request.UnseenTry = p.began, p.unseenTry
	}
	return request
}

// startRequest records that a request is delivered to the target.
func (c *Core) startRequest(now time.Time, key flow.Key, r *record, requestID []byte) {
	c.flows.markRunning(now, r)
	c.recordSlotFree(now)
	r.request.began = time.Time{}
	if requestID != nil {
		c.events.RequestDelivered(key, requestID, c.flows.running, c.target.slots(), c.target.evidence(now))
	}
}

// dispatchQueued delivers queued requests while the target is below its limit.
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
		queued := r.queued
		r.queued = nil
		c.startRequest(now, key, r, c.codec.RequestID(queued.packets[0].data))
		r.deliveredAt = now
		for _, p := range queued.packets {
			c.env = queued.env
			c.deliverPacket(now, key, r, p.data)
		}
	}
}

// abandon records that nobody waits for the flow's requests any more, for example because the
// client ended the flow before the answer, which by HTTP/1.1 convention cancels the request.
// A queued request is dropped. A delivered one stops counting as load, because its answer may
// never come.
func (c *Core) abandon(now time.Time, key flow.Key, r *record, reason AbandonReason) {
	switch {
	case r.queued != nil:
		c.events.AbandonedInQueue(key, now.Sub(r.queued.queuedAt))
	case !r.runningAt.IsZero():
		c.events.AbandonedAtTarget(key, now.Sub(r.runningAt))
	}
	r.abandonedFor = reason
	c.flows.stopCounting(r)
	c.recordSlotFree(now)
}

// withhold reports whether a client's data must not reach the target because nobody waits for
// the answer. The data is not acknowledged, so the client's stack retransmits it until it
// gives up: only the target may reset a flow that it holds.
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

// expireQueued drops queued requests whose deadline has passed.
func (c *Core) expireQueued(now time.Time) {
	for _, key := range c.queue.Expire(now) {
		if r := c.flows.get(key); r != nil && r.queued != nil {
			c.abandon(now, key, r, DeadlinePassed)
		}
	}
}

// pendingOpen is an admitted flow that counts as load although its request has not arrived.
type pendingOpen struct {
	key flow.Key
	at  time.Time
}

// addPendingOpen counts an admitted flow as load: its request will follow.
func (c *Core) addPendingOpen(now time.Time, key flow.Key, r *record) {
	c.flows.markBusy(now, r)
	c.pendingOpens = append(c.pendingOpens, pendingOpen{key, now})
}

// expirePendingOpens stops counting flows as load whose clients have sent no data within
// pendingOpenTTL.
func (c *Core) expirePendingOpens(now time.Time) {
	for len(c.pendingOpens) > 0 && now.Sub(c.pendingOpens[0].at) > pendingOpenTTL {
		first := c.pendingOpens[0]
		c.pendingOpens = c.pendingOpens[1:]
		r := c.flows.get(first.key)
		if r != nil && r.busySince.Equal(first.at) && r.queued == nil && r.runningAt.IsZero() {
			c.flows.stopCounting(r)
		}
	}
	if len(c.pendingOpens) == 0 {
		c.pendingOpens = nil
	}
}
