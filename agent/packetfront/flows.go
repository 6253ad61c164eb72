package packetfront

import (
	"maps"
	"slices"
	"time"

	"github.com/poppywall/poppywall/backlog"
	"github.com/poppywall/poppywall/flow"
)

// stage is how far a flow has come at this target.
type stage uint8

const (
	// offered: a SYN was delivered, the target has not answered.
	offered stage = iota
	// halfOpen: the target answered the SYN; the client may have chosen another.
	halfOpen
	// open: the target has sent something after its handshake.
	open
	// closed: both ends are done, or the target reset the flow.
	closed
	// dead: the target that held the flow has ended.
	dead
)

// How long a flow is remembered in each stage.
const (
	// opening is longer than a client tries to open a flow (1.4 s).
	openingTTL = 5 * time.Second
	// closedTTL covers the last retransmissions of both ends.
	closedTTL = 5 * time.Second
	// pendingTTL is how long a request counts as load when no answer is seen:
	// longer than the deadlines of clients in use.
	pendingTTL = 10 * time.Second
	// maxFlows bounds the table; a target takes some 2,000 connections.
	maxFlows = 1 << 14
)

// record is what an agent knows of one flow.
type record struct {
	stage stage
	// targetSeq is the target's last sequence number: it tells this flow from a
	// later one between the same ports.
	targetSeq uint32
	// clientAck is the client's last acknowledgement, for a reset.
	clientAck uint32
	usedAt    time.Time
	// pendingAt is when the client sent a request that was not answered yet, or
	// its flow was given to the target.
	pendingAt time.Time
	// request is what the flow's requests ask for.
	request requestParams
	// queued is the request that waits for a slot, nil when none does; runningAt is
	// when the present request was given to the target, zero before, givenAt when its
	// last packet so far was, and among how many the target had at first, this one
	// included.
	queued      *queuedRequest
	runningAt   time.Time
	deliveredAt time.Time
	concurrent  int
	// balancer is told that the flow is here once the target has taken it; zero
	// when it knows.
	balancer             flow.IPv4
	clientFin, targetFin bool
	// abandonedFor is set once nobody waits for the flow's requests any more, withheld once one
	// was kept from the target for it.
	abandonedFor Abandoned
	withheld     bool
}

// abandoned tells whether nobody waits for the flow's requests any more, and why. Only
// the first one's age is known before it was given to the target.
func (r *record) abandoned(now time.Time) (Abandoned, bool) {
	if r.abandonedFor != "" {
		return r.abandonedFor, true
	}
	return DeadlinePassed, r.request.expired(now)
}

// supersededBy tells that an opening packet between the same ports is that of a later flow, or
// says nothing new; began is when that flow began. All copies are sent within a try.
func (r *record) supersededBy(now, began time.Time) bool {
	_, abandoned := r.abandoned(now)
	later := !r.request.began.IsZero() && began.Sub(r.request.began) > backlog.ConnectTimeout
	return abandoned || later || r.stage == closed || r.stage == dead
}

// holds tells whether a client's packet belongs to this record's flow.
func (r *record) holds(h *flow.Header) bool {
	return r.stage != offered && flow.WithinSequenceWindow(h.Ack, r.targetSeq)
}

// awaitsAnswer tells that a request of the flow has no answer yet. The first one's answer
// may be all that the target sends after its handshake; before the target has got the
// request it may only refuse the flow, which is no answer.
func (r *record) awaitsAnswer() bool {
	return !r.pendingAt.IsZero() && r.queued == nil && (r.stage == open || !r.runningAt.IsZero())
}

// flows is the table of an agent.
type flows struct {
	byKey map[flow.Key]*record
	// overflowed is set once a flow had to be forgotten early.
	overflowed bool
	// onDequeue is told of a request that no longer waits because the target owes nothing.
	onDequeue func(*queuedRequest)
	// busy counts the flows that owe an answer or may soon, running those whose
	// request the target has.
	busy, running, open int
}

func newFlows(unheld func(*queuedRequest)) *flows {
	return &flows{byKey: map[flow.Key]*record{}, onDequeue: unheld}
}

func (f *flows) get(key flow.Key) *record { return f.byKey[key] }

// ensure returns the flow's record, a new one if there was none.
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
	f.answered(r)
	f.setStage(r, closed)
	delete(f.byKey, key)
}

// setStage moves a record and keeps the count of open flows.
func (f *flows) setStage(r *record, s stage) {
	if r.stage == open {
		f.open--
	}
	if s == open {
		f.open++
	}
	r.stage = s
}

// requested notes that the target owes an answer.
func (f *flows) requested(now time.Time, r *record) {
	if r.pendingAt.IsZero() {
		r.pendingAt = now
		f.busy++
	}
}

// started notes that the target has the flow's request.
func (f *flows) started(now time.Time, r *record) {
	f.running++
	r.runningAt, r.concurrent = now, f.running
}

// answered notes that the target owes nothing.
func (f *flows) answered(r *record) {
	if !r.runningAt.IsZero() {
		r.runningAt = time.Time{}
		f.running--
	}
	if r.queued != nil {
		f.onDequeue(r.queued)
		r.queued = nil
	}
	if !r.pendingAt.IsZero() {
		r.pendingAt = time.Time{}
		f.busy--
	}
}

// expire forgets what is over. A request that waits has its own deadline.
func (f *flows) expire(now time.Time, ttl time.Duration) {
	for key, r := range f.byKey {
		if r.queued != nil {
			continue
		}
		limit := ttl
		switch r.stage {
		case offered, halfOpen:
			limit = openingTTL
		case closed:
			limit = closedTTL
		}
		if now.Sub(r.usedAt) > limit {
			f.remove(key, r)
			continue
		}
		if !r.pendingAt.IsZero() && now.Sub(r.pendingAt) > pendingTTL {
			f.answered(r)
		}
	}
}

// kill marks all flows of a target that has ended and calls each for every open
// one, in an order that repeats.
func (f *flows) kill(now time.Time, each func(flow.Key, *record)) {
	keys := slices.Collect(maps.Keys(f.byKey))
	flow.SortKeys(keys)
	for _, key := range keys {
		r := f.byKey[key]
		f.answered(r)
		if r.stage == open {
			each(key, r)
		}
		f.setStage(r, dead)
		r.usedAt = now
	}
}
