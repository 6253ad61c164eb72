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
	// queuePerSlot is how many requests may wait at the target for each slot. A
	// request behind so many waits for 1.5 times the target's work on one, which
	// leaves it within the latency objectives in use (4 to 5 times the work).
	// What a target queues beyond that is served in the target's order, not in the
	// one that callers need.
	queuePerSlot = 0.5
	// maxHeld bounds the requests that wait for a slot. A target of four slots and
	// 30 ms of work serves as many in two seconds.
	maxHeld = 256
	// maxHeldPackets bounds those of one request: an end has at most 16 in flight.
	maxHeldPackets = 16
	// openingLoad is how long a flow that was given to the target counts as load
	// although its client has sent nothing.
	openingLoad = 300 * time.Millisecond
	// promptTime is how long after the handshake the request comes that a flow was opened
	// for: its client sends it with the acknowledgement, and again after 0.2 and 0.6 s. One
	// that comes later is of a client that opened the flow ahead.
	promptTime = 700 * time.Millisecond
	// assumedWork is the time that a target is taken to need for a request before
	// one was observed.
	assumedWork = 50 * time.Millisecond
)

// terms are what a flow's route and its opening packet say of its requests.
type terms struct {
	priority            uint8
	objective, deadline time.Duration
	// began and hidden are the age of the flow's first request (backlog.Request);
	// zero once the target has it, or if the flow was opened ahead of it.
	began  time.Time
	hidden time.Duration
}

// expired tells that the caller of the first request, which the target has not got, has
// certainly gone.
func (t terms) expired(now time.Time) bool {
	return t.deadline > 0 && !t.began.IsZero() && now.After(t.began.Add(t.deadline))
}

// termsOf reads the terms of a flow from its opening packet and the envelope
// around it. What the packet says of an outage is noted first.
func (c *Core) termsOf(now time.Time, h *flow.Header) terms {
	if c.env.Flags&envelope.Repeated == 0 {
		c.outage.Opened(now, h.Ack)
	}
	began := now.Add(-backlog.Age(h.Ack))
	return terms{
		priority: c.env.Priority, objective: c.env.Objective, deadline: c.env.Deadline,
		began: began, hidden: c.outage.Hidden(began),
	}
}

// heldRequest is a request that waits for a slot of the target: its packets, and
// the envelope that they came in.
type heldRequest struct {
	key     flow.Key
	since   time.Time
	env     envelope.Envelope
	packets []heldPacket
}

type heldPacket struct {
	seq  uint32
	data []byte
}

// add keeps a packet; one that its client has repeated is kept once.
func (r *heldRequest) add(seq uint32, packet []byte) {
	known := slices.ContainsFunc(r.packets, func(p heldPacket) bool { return p.seq == seq })
	if known || len(r.packets) >= maxHeldPackets {
		return
	}
	r.packets = append(r.packets, heldPacket{seq, slices.Clone(packet)})
}

// limit is how many requests the target may have: running and queued, and beside them
// those whose bodies are on their way. These keep no slot, however long they take; were
// they counted, a few slow uploads would keep an idle target from all others.
func (c *Core) limit() int {
	slots := c.target.slots()
	working := slots + int(queuePerSlot*float64(slots))
	return int(float64(working) / c.pace.Share())
}

// full tells that there are as many requests as the target should have, those that
// wait for a slot and those that are about to come included.
func (c *Core) full() bool { return c.flows.busy >= c.limit() }

// wait is how long a new request would wait for a slot, served in order. While an
// overload stands those that cannot meet their objective are not ahead of it.
func (c *Core) wait(now time.Time) time.Duration {
	busy := c.flows.busy
	if c.overload.stands {
		busy -= c.held.Len() - c.held.InTime(now, c.pace)
	}
	ahead := float64(busy)*c.pace.Share() - float64(c.target.slots()) + 1
	return time.Duration(max(ahead, 0) * float64(c.pace.Each()))
}

// settles decides on a new flow for which the target has no room at once. While
// there are other candidates it is passed on; then it goes to the target with the
// shortest wait, which takes it unless it certainly cannot be served in time, or
// would wait for longer than until its client's next opening packet. It tells
// whether the target is to take it; otherwise the packet was sent on or dropped.
func (c *Core) settles(now time.Time, key flow.Key, h *flow.Header, packet []byte) bool {
	wait := c.wait(now)
	if c.overload.stands {
		if c.meetsObjective(wait, h) {
			return true
		}
		if c.env.Hops > 0 {
			// Another one was full as well: the next ones are no better, and each visit
			// costs those that are served.
			c.env.SetCandidates(nil)
		}
		c.settleElsewhere()
		c.declines(now, key, h, packet, "target overloaded")
		return false
	}
	if c.env.Flags&envelope.Settle == 0 {
		if c.env.Best == 0 || wait < c.env.BestWait {
			c.env.Best, c.env.BestWait = c.opts.Self, wait
		}
		c.settleElsewhere()
		if c.env.Count > 0 {
			c.declines(now, key, h, packet, "target at its limit")
			return false
		}
	}
	if !c.servable(wait, h) {
		c.declines(now, key, h, packet, "no target can serve it in time")
		return false
	}
	if canComeAgain(wait, h) && !c.held.GoesFirst(now, c.termsOf(now, h).next(now), c.pace) {
		c.arrives(now, h)
		c.events.Postponed(key, wait)
		return false
	}
	return true
}

// settleElsewhere makes the last candidate of a new flow send it on to the one with the
// shortest wait, once, unless that is this one or none was full.
func (c *Core) settleElsewhere() {
	best := c.env.Best
	if c.env.Count > 0 || c.env.Flags&envelope.Settle != 0 || best == 0 || best == c.opts.Self {
		return
	}
	c.env.Flags |= envelope.Settle
	c.env.SetCandidates([]flow.Candidate{{Target: best, Service: c.env.Service}})
}

// servable tells whether a new flow's request can be answered before its caller
// gives up.
func (c *Core) servable(wait time.Duration, h *flow.Header) bool {
	if c.env.Deadline == 0 {
		return true
	}
	return c.held.Len() < maxHeld && backlog.Age(h.Ack)+wait+c.pace.Took() <= c.env.Deadline
}

// canComeAgain tells whether a new flow's next opening packet comes before the target
// would have a slot for its request, served in order. Until then targets may come
// back, or others be faster; a flow that is open is bound to its target.
func canComeAgain(wait time.Duration, h *flow.Header) bool {
	next, more := backlog.NextCopy(h.Ack)
	return more && next < wait
}

// waits decides whether a client's data goes to the target now or is kept until the
// target has a slot, and keeps it. A route that states no deadline gives no order to
// wait in, and more than maxHeld are not kept: the target queues or sheds these.
func (c *Core) waits(now time.Time, key flow.Key, r *record, h *flow.Header, packet []byte) bool {
	switch {
	case r.held != nil:
		r.held.add(h.Seq, packet)
		return true
	case !r.runningAt.IsZero():
		return false
	}
	id := c.codec.RequestID(packet)
	if c.flows.running < c.limit() || r.request.deadline == 0 || c.held.Len() >= maxHeld {
		c.start(now, key, r, id)
		return false
	}
	r.held = &heldRequest{key: key, since: now, env: c.env}
	r.held.add(h.Seq, packet)
	c.events.Waiting(key, id, c.held.Len(), c.wait(now))
	c.held.Push(key, r.request.next(now))
	return true
}

// next describes the flow's next request: a later one than the first began when
// it came.
func (t terms) next(now time.Time) backlog.Request {
	request := backlog.Request{Priority: t.priority, Began: now, Objective: t.objective, Deadline: t.deadline}
	if !t.began.IsZero() {
		request.Began, request.Hidden = t.began, t.hidden
	}
	return request
}

// start notes that the target gets a request.
func (c *Core) start(now time.Time, key flow.Key, r *record, requestID []byte) {
	c.flows.started(now, r)
	c.noteSlots(now)
	r.request.began = time.Time{}
	if requestID != nil {
		c.events.Request(key, requestID, c.flows.running, c.target.slots())
	}
}

// releaseHeld gives requests that wait to the target while it has room.
func (c *Core) releaseHeld(now time.Time) {
	if c.held.Len() > 0 && c.flows.running < c.limit() {
		c.expireHeld(now)
	}
	for c.held.Len() > 0 && c.flows.running < c.limit() {
		key, ok := c.nextHeld(now)
		if !ok {
			return
		}
		r := c.flows.get(key)
		if r == nil || r.held == nil {
			continue
		}
		held := r.held
		r.held = nil
		c.start(now, key, r, c.codec.RequestID(held.packets[0].data))
		r.givenAt = now
		for _, p := range held.packets {
			c.env = held.env
			c.toOpen(now, key, r, p.data)
		}
	}
}

// leaves notes that a client has ended its flow before the answer: as is customary
// with HTTP/1.1, that gives the request up. One that still waits is for nobody; for
// one that the target has, no answer may come any more, and it must not count as load
// until then.
func (c *Core) leaves(now time.Time, key flow.Key, r *record, why Abandoned) {
	switch {
	case r.held != nil:
		c.events.GaveUp(key, now.Sub(r.held.since))
	case !r.runningAt.IsZero():
		c.events.Unwanted(key, now.Sub(r.runningAt))
	}
	r.left = why
	c.flows.answered(r)
	c.noteSlots(now)
}

// withholds tells whether nobody waits for a client's data any more: then it goes no
// further. The client's end repeats it until it gives up by itself, for nobody
// acknowledges it: only the target may reset a flow that it holds.
func (c *Core) withholds(now time.Time, key flow.Key, r *record, packet []byte) bool {
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

// expireHeld forgets requests whose callers have gone.
func (c *Core) expireHeld(now time.Time) {
	for _, key := range c.held.Expire(now) {
		if r := c.flows.get(key); r != nil && r.held != nil {
			c.leaves(now, key, r, DeadlinePassed)
		}
	}
}

// openingFlow is a flow that counts as load from its admission on.
type openingFlow struct {
	key flow.Key
	at  time.Time
}

// countOpening counts a flow that was given to the target as load: its request
// will follow.
func (c *Core) countOpening(now time.Time, key flow.Key, r *record) {
	c.flows.requested(now, r)
	c.opening = append(c.opening, openingFlow{key, now})
}

// expireOpening stops counting flows whose clients have sent nothing.
func (c *Core) expireOpening(now time.Time) {
	for len(c.opening) > 0 && now.Sub(c.opening[0].at) > openingLoad {
		first := c.opening[0]
		c.opening = c.opening[1:]
		r := c.flows.get(first.key)
		if r != nil && r.pendingAt.Equal(first.at) && r.held == nil && r.runningAt.IsZero() {
			c.flows.answered(r)
		}
	}
	if len(c.opening) == 0 {
		c.opening = nil
	}
}
