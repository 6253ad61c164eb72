package backlog

import (
	"math"
	"time"
)

// Thresholds of an overload that stands.
const (
	// OverloadWindow is the time constant of what is observed: long enough for some
	// ten requests of a target, short enough for an overload to be told within it.
	OverloadWindow = 300 * time.Millisecond
	// backlogBegins and backlogEnds are the shares of time without a free slot at which a
	// backlog begins and ends. A target of two slots at 0.85 of its capacity has none
	// for 0.78 of the time, and is to count as free.
	backlogBegins = 0.9
	backlogEnds   = 0.8
	// standsAfter and standsAnyhow are the shares of a deadline that a backlog lasts at
	// least until it counts as standing: by the first it is no chance; by the second, after an
	// outage of one deadline, all callers of that time are served or gone within the next, and
	// a target at 0.7 of its capacity needs one more.
	standsAfter  = 0.25
	standsAnyhow = 2.0
	// standsBehind is the share of a deadline that the target needs for what waits, or for
	// what has arrived since the slots filled and is not answered: a target below its
	// capacity is not that far behind by chance.
	standsBehind = 1.0 / 3
	// waitsAnyhow is the share of a deadline that requests wait at least, without a break,
	// in a backlog that stands though it does not grow.
	waitsAnyhow = 1.0 / 8
	// lostShare is the share of opening packets that are copies of lost ones from which
	// on an outage is taken for the cause of a backlog.
	lostShare = 0.2
	// idleFull is the share of time without a free slot below which a target was idle: its
	// callers met nobody. One that was busy had its own, and gets those of others that are lost.
	idleFull = 0.5
	// outageEcho is how long after a sign of an outage its callers still come: those of
	// its last moment try once more by then, and what arrives tells again a window later.
	outageEcho = TryTime + RetryPause + OverloadWindow
)

// Overload tells from what arrives at a target and what it answers whether its
// backlog passes: one that an outage left does as soon as fewer requests come than are
// answered, one that grows does not. The zero value has seen nothing.
type Overload struct {
	// at is when the rest was brought up to date.
	at time.Time
	// arrived, opened, lost and answered are counts that decay with OverloadWindow: of
	// requests, of flows, of those that met nobody first, and of answers; full is the
	// share of time without a free slot, over the same.
	arrived, opened, lost, answered, full float64
	// noSlot tells whether there is no free slot at the moment, noSlotAt since when.
	noSlot   bool
	noSlotAt time.Time
	// since is when the backlog began, zero without one, and behind the requests that
	// arrived since the slots filled and were not answered.
	since  time.Time
	behind float64
	// waitsSince is when requests last waited for less than waitsAnyhow.
	waitsSince time.Time
	// outageAt is when there was a sign of an outage last.
	outageAt time.Time
	// deadline is the shortest one of the requests that arrived in this window or the
	// last one, zero before the first.
	deadline, nextDeadline time.Duration
	deadlineAt             time.Time
	stands                 bool
}

// Arrived notes a new flow that this target takes or is the last to refuse, and the
// deadline of its requests, zero where none is stated. lost tells that its first
// opening packet met nobody: a sign of an outage at a target that was idle until now.
func (o *Overload) Arrived(now time.Time, deadline time.Duration, lost bool) {
	o.ArrivedLater(now, deadline)
	o.opened++
	if lost {
		o.lost++
	}
	if o.lost >= max(lostShare*o.opened, 1) && o.full < idleFull {
		o.Outage(now)
	}
}

// ArrivedLater notes a later request of a flow that is open.
func (o *Overload) ArrivedLater(now time.Time, deadline time.Duration) {
	o.advance(now)
	o.arrived++
	o.behind++
	if deadline > 0 && (o.nextDeadline == 0 || deadline < o.nextDeadline) {
		o.nextDeadline = deadline
	}
	if o.deadline == 0 || o.nextDeadline < o.deadline {
		o.deadline = o.nextDeadline
	}
}

// Answered notes an answer of the target.
func (o *Overload) Answered(now time.Time) {
	o.advance(now)
	o.answered++
	o.behind = max(o.behind-1, 0)
}

// Slots notes whether the target has a free slot from now on.
func (o *Overload) Slots(now time.Time, free bool) {
	o.advance(now)
	if !free && !o.noSlot {
		o.noSlotAt = now
	}
	o.noSlot = !free
}

// Outage notes a sign that an outage may have left what arrives: the target or its agent
// has just started, or callers met nobody.
func (o *Overload) Outage(now time.Time) { o.outageAt = now }

// Stands tells whether there is more to do than the target can answer, and that does
// not pass. wait is how long a request that comes now would wait for a slot.
func (o *Overload) Stands(now time.Time, wait time.Duration) bool {
	o.advance(now)
	outage := now.Sub(o.outageAt) <= outageEcho
	if outage {
		o.behind = 0
	}
	if o.since.IsZero() || wait < scale(o.deadline, waitsAnyhow) {
		o.waitsSince = now
	}
	switch {
	case o.since.IsZero():
		o.stands = false
	case o.stands || o.deadline == 0:
	case now.Sub(o.waitsSince) > scale(o.deadline, standsAnyhow):
		o.stands = true
	default:
		lasts := now.Sub(o.since) > scale(o.deadline, standsAfter)
		behind := max(o.behindTime(), wait) > scale(o.deadline, standsBehind)
		o.stands = lasts && behind && !outage
	}
	return o.stands
}

// behindTime is how long the target needs for what has arrived since the slots filled and is
// not answered. It tells what wait does not: flows that are left to their next packets.
func (o *Overload) behindTime() time.Duration {
	return scale(OverloadWindow, o.behind/max(o.answered, 1))
}

// Load says what the judgement rests on, for logs.
func (o *Overload) Load(now time.Time) Load {
	o.advance(now)
	l := Load{
		Arrived: o.arrived / OverloadWindow.Seconds(), Answered: o.answered / OverloadWindow.Seconds(), Full: o.full, Behind: o.behindTime(),
	}
	if !o.since.IsZero() {
		l.Lasted = now.Sub(o.since)
	}
	return l
}

// Load is what an overload is told from.
type Load struct {
	// Arrived and Answered are rates, a second.
	Arrived, Answered float64
	// Full is the share of time without a free slot, up to 1.
	Full float64
	// Behind is how long the target needs for what arrived since the slots filled and is
	// not answered.
	Behind time.Duration
	// Lasted is how long the backlog lasts, zero without one.
	Lasted time.Duration
}

// advance lets what was observed decay up to now.
func (o *Overload) advance(now time.Time) {
	if o.at.IsZero() {
		o.at, o.deadlineAt = now, now
	}
	elapsed := now.Sub(o.at)
	if elapsed <= 0 {
		return
	}
	o.at = now
	keep := math.Exp(-float64(elapsed) / float64(OverloadWindow))
	o.arrived *= keep
	o.opened *= keep
	o.lost *= keep
	o.answered *= keep
	o.full *= keep
	if o.noSlot {
		o.full += 1 - keep
	}
	if now.Sub(o.deadlineAt) >= OverloadWindow {
		o.deadlineAt = now
		if o.nextDeadline > 0 {
			o.deadline = o.nextDeadline
		}
		o.nextDeadline = 0
	}
	if o.full < backlogEnds {
		o.behind = 0
	}
	switch {
	case o.since.IsZero() && o.full > backlogBegins:
		// It began when the last slot was taken.
		o.since = o.noSlotAt
	case !o.since.IsZero() && o.full < backlogEnds:
		o.since = time.Time{}
	}
}
