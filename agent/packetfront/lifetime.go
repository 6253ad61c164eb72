package packetfront

import (
	"slices"
	"time"

	"github.com/poppywall/poppywall/fleet"
)

// Parameters of the judgement of heartbeats.
const (
	// maxFormerIncarnations is how many earlier lives at this address are remembered.
	maxFormerIncarnations = 8
	// alivePeriods is how many heartbeat periods a target may be silent and still
	// count as alive when another life reports.
	alivePeriods = 1.5
	// initialCalls is how many calls a target may have made by the time its first
	// heartbeat gets through, beside one for each leastCallGap since its start.
	initialCalls = 4
	// minCallPause is the least mean pause between the calls of a target: a fifth
	// of the second after which one that gets no answer repeats its call.
	minCallPause = 200 * time.Millisecond
)

// incarnationHistory tells the heartbeats of the present life from those of an earlier
// one at the same address: one that was held up on its way may arrive after its
// sender has ended and another has reported.
//
//   - A life that reported before the present one is not believed, nor is one that
//     was born before it.
//   - Another life while the present one is alive must belong to a process that
//     started after its last heartbeat. If it claims more calls than such a process
//     can have made, it is not believed. That decides alone where targets do not say
//     when they were born: IDs have no order.
//   - Clocks are stepped back between two lives, and two may be born in the same
//     millisecond. So a life that is not believed is the present one after all if it
//     goes on to report while that one is silent, and at once if the present one was
//     seen to end and the other may have started since.
type incarnationHistory struct {
	former []fleet.Incarnation
	// claimant is the last life that was not believed, claim its sequence.
	claimant      fleet.Incarnation
	claimSequence uint64
}

// retire remembers a life that was replaced.
func (l *incarnationHistory) retire(life fleet.Incarnation) {
	if life.TargetID == "" {
		return
	}
	l.former = slices.DeleteFunc(l.former, func(f fleet.Incarnation) bool { return f == life })
	if len(l.former) == maxFormerIncarnations {
		l.former = slices.Delete(l.former, 0, 1)
	}
	l.former = append(l.former, life)
}

// repeatsClaim tells whether a life that is not believed has reported twice in a row.
func (l *incarnationHistory) repeatsClaim(b fleet.Heartbeat) bool {
	again := l.claimant == b.Incarnation && b.Sequence > l.claimSequence
	l.claimant, l.claimSequence = b.Incarnation, b.Sequence
	return again
}

// heartbeatSource is what a heartbeat is taken for.
type heartbeatSource uint8

const (
	// staleHeartbeat is that of a life that has ended.
	staleHeartbeat heartbeatSource = iota
	// currentHeartbeat is that of the present life.
	currentHeartbeat
	// newHeartbeat is the first one of a life that has taken the place of the present one.
	newHeartbeat
)

// classify tells whose a heartbeat is.
func (h *target) classify(now time.Time, b fleet.Heartbeat, period time.Duration) heartbeatSource {
	switch {
	case h.incarnation.TargetID == "":
		return newHeartbeat
	case b.Incarnation == h.incarnation && b.Sequence > h.sequence:
		h.history.claimant = fleet.Incarnation{}
		return currentHeartbeat
	case b.StartedMillis == 0 && h.incarnation.StartedMillis != 0:
		// The present target says when it was born; a report that does not is not its own.
		return staleHeartbeat
	case h.replaced(now, b, period):
		return newHeartbeat
	case h.history.repeatsClaim(b) && h.mayHaveEnded(now, b, period):
		return newHeartbeat
	default:
		return staleHeartbeat
	}
}

// replaced tells whether another life has taken the place of the present one.
func (h *target) replaced(now time.Time, b fleet.Heartbeat, period time.Duration) bool {
	if h.sawEnd && h.up && h.mayHaveStarted(now, b) {
		return true
	}
	if b.Incarnation == h.incarnation || b.StartedMillis < h.incarnation.StartedMillis || slices.Contains(h.history.former, b.Incarnation) {
		return false
	}
	return !h.alive(now, period) || h.mayHaveStarted(now, b)
}

// mayHaveEnded tells whether the present life may have ended, given that another one goes
// on to report. Where targets say when they were born a late report is told from the
// present life's by the silence of that one, too; otherwise only its being repeated
// counts.
func (h *target) mayHaveEnded(now time.Time, b fleet.Heartbeat, period time.Duration) bool {
	if b.Incarnation == h.incarnation {
		return !h.alive(now, period) && h.mayHaveStarted(now, b)
	}
	return b.StartedMillis == 0 || !h.alive(now, period)
}

// alive tells whether the present life reported lately and has not ended since.
func (h *target) alive(now time.Time, period time.Duration) bool {
	return h.incarnation.TargetID != "" && h.up && !h.sawEnd && h.deregisteredAt.IsZero() && now.Sub(h.heartbeatAt) <= time.Duration(alivePeriods*float64(period))
}

// mayHaveStarted tells whether the sender of a heartbeat may have started after the
// present life's last one.
func (h *target) mayHaveStarted(now time.Time, b fleet.Heartbeat) bool {
	return b.Sequence <= initialCalls+uint64(now.Sub(h.heartbeatAt)/minCallPause)
}
