package backlog

import (
	"math"
	"time"
)

// Thresholds of overload detection.
const (
	// OverloadWindow is the time constant of the decaying counts: long enough for some ten
	// requests of a target, short enough to detect an overload within it.
	OverloadWindow = 300 * time.Millisecond
	// backlogBeginShare and backlogEndShare are the shares of time without a free slot at which
	// a backlog begins and ends. A target of two slots at 0.85 of its capacity has no free slot
	// for 0.78 of the time and must not count as having a backlog.
	backlogBeginShare = 0.9
	backlogEndShare   = 0.8
	// minBacklogAge and persistenceFactor, like minLag and longWaitFactor, are factors of
	// Overload.deadline, the shortest recent deadline. A growing backlog counts as an overload
	// only after minBacklogAge, so that it is not a burst by chance. One that does not grow
	// counts once all waits have been long (longWaitFactor) for persistenceFactor deadlines:
	// after an outage of one deadline all callers of that time are served or gone within the
	// next deadline, and a target at 0.7 of its capacity needs one more.
	minBacklogAge     = 0.25
	persistenceFactor = 2.0
	// minLag is the share of the deadline that the target must need for the requests that wait,
	// or that have arrived since the slots filled and are not answered. Chance does not take a
	// target below its capacity that far behind.
	minLag = 1.0 / 3
	// longWaitFactor is the share of the deadline from which on a wait is long, in a backlog that
	// does not grow.
	longWaitFactor = 1.0 / 8
	// outageLossShare is the least share of flows with a lost first opening packet at which an
	// outage counts as the cause of a backlog.
	outageLossShare = 0.2
	// idleFullShare is the share of time without a free slot below which a target was idle.
	// Lost packets are a sign of an outage only at an idle target: a busy one was reachable,
	// and receives the callers of other targets that are lost.
	idleFullShare = 0.5
	// outageRetryTime is how long after a sign of an outage its callers still arrive: those of
	// its last moment have retried by then, and the counts reflect it one window later.
	outageRetryTime = ConnectTimeout + MaxRetryPause + OverloadWindow
)

// Overload detects from the arrivals and answers of a target whether its backlog is an
// overload. The backlog of an outage shrinks as soon as fewer requests arrive than are
// answered; that of an overload does not. The zero value has seen no request.
type Overload struct {
	// updatedAt is when the state was last brought up to date.
	updatedAt time.Time
	// arrived, opened, lost and answered are counts that decay with OverloadWindow: of requests,
	// of flows, of flows whose first opening packet was lost, and of answers. fullShare is the
	// share of time without a free slot, with the same decay.
	arrived, opened, lost, answered, fullShare float64
	// slotsFull is true while no slot is free; slotsFullSince is when the last slot was taken.
	slotsFull      bool
	slotsFullSince time.Time
	// backlogSince is when the backlog began, zero without one. unanswered counts the requests
	// that arrived since the slots filled and were not answered.
	backlogSince time.Time
	unanswered   float64
	// longWaitsSince is when there was last no backlog, or a wait shorter than longWaitFactor of
	// the deadline.
	longWaitsSince time.Time
	// outageAt is when the last sign of an outage was seen.
	outageAt time.Time
	// deadline is the shortest one of the requests that arrived in this window or the last
	// one, zero before the first; nextDeadline is the shortest of this window.
	deadline, nextDeadline time.Duration
	deadlineWindowAt       time.Time
	active                 bool
}

// Arrived records a new flow that this target takes or is the last one to refuse, and the
// deadline of its requests, zero where the route states none. lost reports that the flow's
// first opening packet was lost: a sign of an outage at a target that was idle until now.
func (o *Overload) Arrived(now time.Time, deadline time.Duration, lost bool) {
	o.ArrivedOnOpenFlow(now, deadline)
	o.opened++
	if lost {
		o.lost++
	}
	if o.lost >= max(outageLossShare*o.opened, 1) && o.fullShare < idleFullShare {
		o.NoteOutage(now)
	}
}

// ArrivedOnOpenFlow records a later request of an open flow.
func (o *Overload) ArrivedOnOpenFlow(now time.Time, deadline time.Duration) {
	o.advance(now)
	o.arrived++
	o.unanswered++
	if deadline > 0 && (o.nextDeadline == 0 || deadline < o.nextDeadline) {
		o.nextDeadline = deadline
	}
	if o.deadline == 0 || o.nextDeadline < o.deadline {
		o.deadline = o.nextDeadline
	}
}

// Answered records an answer of the target.
func (o *Overload) Answered(now time.Time) {
	o.advance(now)
	o.answered++
	o.unanswered = max(o.unanswered-1, 0)
}

// SetSlotFree records whether the target has a free slot from now on.
func (o *Overload) SetSlotFree(now time.Time, free bool) {
	o.advance(now)
	if !free && !o.slotsFull {
		o.slotsFullSince = now
	}
	o.slotsFull = !free
}

// NoteOutage records a sign of an outage that may be the cause of the present arrivals: the
// target or its agent has just started, or opening packets of callers were lost.
func (o *Overload) NoteOutage(now time.Time) { o.outageAt = now }

// Active reports whether the backlog counts as an overload: the target answers fewer requests
// than arrive, or requests have had to wait for too long without a break. wait is how long a
// request that arrives now would wait for a slot.
func (o *Overload) Active(now time.Time, wait time.Duration) bool {
	o.advance(now)
	outage := now.Sub(o.outageAt) <= outageRetryTime
	if outage {
		o.unanswered = 0
	}
	if o.backlogSince.IsZero() || wait < scale(o.deadline, longWaitFactor) {
		o.longWaitsSince = now
	}
	switch {
	case o.backlogSince.IsZero():
		o.active = false
	case o.active || o.deadline == 0:
	case now.Sub(o.longWaitsSince) > scale(o.deadline, persistenceFactor):
		o.active = true
	default:
		oldEnough := now.Sub(o.backlogSince) > scale(o.deadline, minBacklogAge)
		lagging := max(o.lag(), wait) > scale(o.deadline, minLag)
		o.active = oldEnough && lagging && !outage
	}
	return o.active
}

// lag returns how long the target needs for the requests that arrived since the slots filled
// and are not answered. Unlike the wait it includes flows that were postponed to their next
// opening packet.
func (o *Overload) lag() time.Duration {
	return scale(OverloadWindow, o.unanswered/max(o.answered, 1))
}

// Load returns the figures that detection is based on, for logs.
func (o *Overload) Load(now time.Time) Load {
	o.advance(now)
	l := Load{
		Arrived: o.arrived / OverloadWindow.Seconds(), Answered: o.answered / OverloadWindow.Seconds(), FullShare: o.fullShare, Lag: o.lag(),
	}
	if !o.backlogSince.IsZero() {
		l.BacklogAge = now.Sub(o.backlogSince)
	}
	return l
}

// Load holds the figures that an overload is detected from.
type Load struct {
	// Arrived and Answered are rates per second.
	Arrived, Answered float64
	// FullShare is the share of time without a free slot, from 0 to 1.
	FullShare float64
	// Lag is how long the target needs for the requests that arrived since the slots filled
	// and are not answered.
	Lag time.Duration
	// BacklogAge is the age of the backlog, zero without one.
	BacklogAge time.Duration
}

// advance brings the decaying counts and the backlog state up to now.
func (o *Overload) advance(now time.Time) {
	if o.updatedAt.IsZero() {
		o.updatedAt, o.deadlineWindowAt = now, now
	}
	elapsed := now.Sub(o.updatedAt)
	if elapsed <= 0 {
		return
	}
	o.updatedAt = now
	decay := math.Exp(-float64(elapsed) / float64(OverloadWindow))
	o.arrived *= decay
	o.opened *= decay
	o.lost *= decay
	o.answered *= decay
	o.fullShare *= decay
	if o.slotsFull {
		o.fullShare += 1 - decay
	}
	if now.Sub(o.deadlineWindowAt) >= OverloadWindow {
		o.deadlineWindowAt = now
		if o.nextDeadline > 0 {
			o.deadline = o.nextDeadline
		}
		o.nextDeadline = 0
	}
	if o.fullShare < backlogEndShare {
		o.unanswered = 0
	}
	switch {
	case o.backlogSince.IsZero() && o.fullShare > backlogBeginShare:
		// The backlog began when the last slot was taken.
		o.backlogSince = o.slotsFullSince
	case !o.backlogSince.IsZero() && o.fullShare < backlogEndShare:
		o.backlogSince = time.Time{}
	}
}
