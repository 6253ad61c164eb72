package packetfront

import (
	"maps"
	"slices"
	"time"

	"github.com/poppywall/poppywall/backlog"
	"github.com/poppywall/poppywall/flow"
)

// stage is the state of a flow at this target.
type stage uint8

const (
	// offered: a SYN was delivered, the target has not answered.
	offered stage = iota
	// halfOpen: the target answered the SYN; the client may have chosen another.
	halfOpen
	// acknowledged: the client has acknowledged the target's SYN+ACK, so that no other target holds
	// the flow; the target has sent nothing since.
	acknowledged
	// open: the target has sent something after its handshake.
	open
	// closed: both ends have sent a FIN, or the target reset the flow.
	closed
	// dead: the target that held the flow has ended.
	dead
)

// String returns the name of the stage for logs.
func (s stage) String() string {
	return [...]string{"offered", "half-open", "acknowledged", "open", "closed", "dead"}[s]
}

// awaitsTarget reports whether the target has answered the SYN and has sent nothing since, so that
// it may have discarded the flow.
func (s stage) awaitsTarget() bool { return s == halfOpen || s == acknowledged }

// mayBeHeld reports whether the target may hold a flow in this stage.
func (s stage) mayBeHeld() bool { return s != closed && s != dead }

// isOpen reports whether a flow in this stage is open at the target.
func (s stage) isOpen() bool { return s == acknowledged || s == open }

// How long a record is kept in the stages in which the target does not hold the flow, and the limit
// of the table. In all other stages the target may hold the flow until it has been idle for
// Options.FlowTTL.
const (
	// offeredTTL is longer than a client tries to open a flow (1.4 s). A target that answers the
	// SYN later gets a new record.
	offeredTTL = 5 * time.Second
	// closedTTL covers the last retransmissions of both ends.
	closedTTL = 5 * time.Second
	// busyTTL is how long a request without an answer counts as load: longer than the
	// deadlines in use.
	busyTTL = 10 * time.Second
	// maxFlows limits the table; a target accepts about 2,000 connections.
	maxFlows = 1 << 14
)

// record is the agent's state of one flow.
type record struct {
	stage stage
	// targetSeq is the target's last sequence number. It distinguishes the flow from a later
	// one between the same ports.
	targetSeq uint32
	// clientAck is the client's last acknowledgement, for a reset.
	clientAck uint32
	usedAt    time.Time
	// acceptedAt is when the target sent its SYN+ACK, zero if this process has not seen it.
	acceptedAt time.Time
	// busySince is when the client sent the unanswered request, or when its flow was admitted;
	// zero if the target owes no answer.
	busySince time.Time
	// request holds the parameters of the flow's requests.
	request requestParams
	// queued is the request that waits for a slot, nil if none does. runningAt is when the
	// current request was delivered to the target, zero before. deliveredAt is when its last
	// packet so far was delivered. concurrent is how many requests the target had at
	// runningAt, this one included.
	queued      *queuedRequest
	runningAt   time.Time
	deliveredAt time.Time
	concurrent  int
	// balancer is notified that this target holds the flow once the target has accepted it;
	// zero if no notification is due.
	balancer             flow.IPv4
	clientFin, targetFin bool
	// abandonedFor is set once nobody waits for the flow's requests any more, withheld once a
	// request was withheld from the target for that reason.
	abandonedFor AbandonReason
	withheld     bool
}

// abandoned reports whether nobody waits for the flow's requests any more, and why. Before
// delivery only the age of the flow's first request is known.
func (r *record) abandoned(now time.Time) (AbandonReason, bool) {
	if r.abandonedFor != "" {
		return r.abandonedFor, true
	}
	return DeadlinePassed, r.request.expired(now)
}

// supersededBy reports whether a SYN between the same ports, of a flow that began at the given
// time, replaces this flow. A SYN that began more than backlog.ConnectTimeout later belongs to
// a later flow, because all retransmissions are sent within that time.
func (r *record) supersededBy(now, began time.Time) bool {
	_, abandoned := r.abandoned(now)
	later := !r.request.began.IsZero() && began.Sub(r.request.began) > backlog.ConnectTimeout
	return abandoned || later || r.stage == closed || r.stage == dead
}

// matches reports whether a client's packet belongs to this flow, by its acknowledgement.
func (r *record) matches(h *flow.Header) bool {
	return r.stage != offered && flow.WithinSequenceWindow(h.Ack, r.targetSeq)
}

// awaitsAnswer reports whether a delivered request of the flow has no answer yet. The first
// answer may be the first packet that the target sends after the handshake. A reset before the
// request was delivered refuses the flow and is no answer.
func (r *record) awaitsAnswer() bool {
	return !r.busySince.IsZero() && r.queued == nil && (r.stage == open || !r.runningAt.IsZero())
}

// flows is the flow table of an agent.
type flows struct {
	byKey map[flow.Key]*record
	// overflowed is set once a record was evicted because the table was full.
	overflowed bool
	// onDequeue is called when a queued request is dropped.
	onDequeue func(*queuedRequest)
	// onExpire is called when a record is removed because of its age.
	onExpire func(now time.Time, key flow.Key, r *record)
	// busy counts the flows that wait for an answer or soon will, announced as Outstanding;
	// running counts those whose request was delivered to the target, open those that are open at it.
	busy, running, open int
}

func newFlows(onDequeue func(*queuedRequest), onExpire func(now time.Time, key flow.Key, r *record)) *flows {
	return &flows{byKey: map[flow.Key]*record{}, onDequeue: onDequeue, onExpire: onExpire}
}

func (f *flows) get(key flow.Key) *record { return f.byKey[key] }

// describe returns the stage of the flow's record for logs, or that there is none.
func (f *flows) describe(key flow.Key) string {
	r, ok := f.byKey[key]
	if !ok {
		return "none"
	}
	return r.stage.String()
}

// ensure returns the flow's record and marks it as used; it creates one if there is none.
func (f *flows) ensure(now time.Time, key flow.Key) *record {
	r, ok := f.byKey[key]
	if ok {
		r.usedAt = now
		return r
	}
	if len(f.byKey) >= maxFlows {
		f.overflowed = true
		for victim, old := range f.byKey {
			f.remove(victim, old)
			break
		}
	}
	r = &record{usedAt: now}
	f.byKey[key] = r
	return r
}

func (f *flows) remove(key flow.Key, r *record) {
	f.stopCounting(r)
	f.setStage(r, closed)
	delete(f.byKey, key)
}

// setStage sets a record's stage and updates the count of open flows.
func (f *flows) setStage(r *record, s stage) {
	if r.stage.isOpen() {
		f.open--
	}
	if s.isOpen() {
		f.open++
	}
	r.stage = s
}

// markBusy counts the flow as busy: it waits for an answer of the target.
func (f *flows) markBusy(now time.Time, r *record) {
	if r.busySince.IsZero() {
		r.busySince = now
		f.busy++
	}
}

// markRunning records that the flow's request was delivered to the target.
func (f *flows) markRunning(now time.Time, r *record) {
	f.running++
	r.runningAt, r.concurrent = now, f.running
}

// stopCounting stops counting the flow as busy and as running, and drops its queued request.
func (f *flows) stopCounting(r *record) {
	if !r.runningAt.IsZero() {
		r.runningAt = time.Time{}
		f.running--
	}
	if r.queued != nil {
		f.onDequeue(r.queued)
		r.queued = nil
	}
	if !r.busySince.IsZero() {
		r.busySince = time.Time{}
		f.busy--
	}
}

// expire removes records that are past their TTL, and stops counting requests as load that
// are past busyTTL. A flow with a queued request does not expire: the queue enforces the
// deadline of the request.
func (f *flows) expire(now time.Time, ttl time.Duration) {
	for key, r := range f.byKey {
		if r.queued != nil {
			continue
		}
		limit := ttl
		switch r.stage {
		case offered:
			limit = offeredTTL
		case closed:
			limit = closedTTL
		}
		if now.Sub(r.usedAt) > limit {
			f.onExpire(now, key, r)
			f.remove(key, r)
			continue
		}
		if !r.busySince.IsZero() && now.Sub(r.busySince) > busyTTL {
			f.stopCounting(r)
		}
	}
}

// endAll moves all flows to stage dead after their target has ended, and calls onOpen for each
// open one, in a deterministic order.
func (f *flows) endAll(now time.Time, onOpen func(flow.Key, *record)) {
	keys := slices.Collect(maps.Keys(f.byKey))
	flow.SortKeys(keys)
	for _, key := range keys {
		r := f.byKey[key]
		f.stopCounting(r)
		if r.stage.isOpen() {
			onOpen(key, r)
		}
		f.setStage(r, dead)
		r.usedAt = now
	}
}
