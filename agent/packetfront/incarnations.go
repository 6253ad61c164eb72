package packetfront

import (
	"slices"
	"time"

	"github.com/poppywall/poppywall/fleet"
)

// Parameters of the classification of heartbeats.
const (
	// maxFormerIncarnations is how many former incarnations at this address are recorded.
	maxFormerIncarnations = 8
	// maxHeartbeatGapPeriods is the number of heartbeat periods since its last heartbeat for
	// which a target counts as alive when another incarnation reports.
	maxHeartbeatGapPeriods = 1.5
	// maxInitialCalls is how many calls a target may have made by the time its first
	// heartbeat arrives, in addition to one per minCallInterval since its start.
	maxInitialCalls = 4
	// minCallInterval is the minimum mean interval between the calls of a target: a fifth
	// of the second after which a target repeats a call that got no answer.
	minCallInterval = 200 * time.Millisecond
)

// incarnationHistory distinguishes heartbeats of the target's current incarnation from
// those of former ones at the same address: a delayed heartbeat may arrive after its
// sender has ended and another incarnation has reported.
//
//   - An incarnation that reported before the current one is rejected, and so is one with
//     an earlier start time.
//   - While the current incarnation is alive, another one must belong to a process that
//     started after the current one's last heartbeat. If its sequence shows more calls than
//     such a process can have made, it is rejected. IDs have no order, so that one without a
//     start time is rejected in any case until the current one is overdue.
//   - A clock may be stepped back between two incarnations, and two may start in the same
//     millisecond. A rejected incarnation is therefore accepted if it continues to report
//     while the current one is overdue, and at once if a target probe saw the current one
//     end and the other may have started since.
type incarnationHistory struct {
	former []fleet.TargetIncarnation
	// rejected is the last rejected incarnation, rejectedSequence its sequence.
	rejected         fleet.TargetIncarnation
	rejectedSequence uint64
}

// addFormer records an incarnation that was replaced.
func (h *incarnationHistory) addFormer(former fleet.TargetIncarnation) {
	if former.TargetID == "" {
		return
	}
	h.former = slices.DeleteFunc(h.former, func(f fleet.TargetIncarnation) bool { return f == former })
	if len(h.former) == maxFormerIncarnations {
		h.former = slices.Delete(h.former, 0, 1)
	}
	h.former = append(h.former, former)
}

// rejectedAgain records a rejected heartbeat and reports whether the one rejected before it
// was an earlier one of the same incarnation.
func (h *incarnationHistory) rejectedAgain(b fleet.Heartbeat) bool {
	again := h.rejected == b.TargetIncarnation && b.Sequence > h.rejectedSequence
	h.rejected, h.rejectedSequence = b.TargetIncarnation, b.Sequence
	return again
}

// heartbeatSource is the incarnation that a heartbeat is attributed to.
type heartbeatSource uint8

const (
	// staleHeartbeat is attributed to an incarnation that has ended.
	staleHeartbeat heartbeatSource = iota
	// currentHeartbeat is attributed to the current incarnation.
	currentHeartbeat
	// newHeartbeat is the first one of an incarnation that has replaced the current one.
	newHeartbeat
)

// classify determines the source of a heartbeat.
func (t *target) classify(now time.Time, b fleet.Heartbeat, period time.Duration) heartbeatSource {
	switch {
	case t.incarnation.TargetID == "":
		return newHeartbeat
	case b.TargetIncarnation == t.incarnation && b.Sequence > t.sequence:
		t.history.rejected = fleet.TargetIncarnation{}
		return currentHeartbeat
	case b.StartedMillis == 0 && t.incarnation.StartedMillis != 0:
		// The current target reports its start time, so that this heartbeat is not its own.
		return staleHeartbeat
	case t.replacedBy(now, b, period):
		return newHeartbeat
	case t.history.rejectedAgain(b) && t.mayHaveEnded(now, b, period):
		return newHeartbeat
	default:
		return staleHeartbeat
	}
}

// replacedBy reports whether the sender of a heartbeat has replaced the current incarnation.
func (t *target) replacedBy(now time.Time, b fleet.Heartbeat, period time.Duration) bool {
	if t.sawEnd && t.up && t.mayHaveStarted(now, b) {
		return true
	}
	if b.TargetIncarnation == t.incarnation || b.StartedMillis < t.incarnation.StartedMillis || slices.Contains(t.history.former, b.TargetIncarnation) {
		return false
	}
	return !t.alive(now, period) || (b.StartedMillis != 0 && t.mayHaveStarted(now, b))
}

// mayHaveEnded reports whether the current incarnation may have ended, given that another one
// continues to report. If targets report their start time, the current incarnation must be overdue
// as well; otherwise a period without its report suffices.
func (t *target) mayHaveEnded(now time.Time, b fleet.Heartbeat, period time.Duration) bool {
	switch {
	case b.TargetIncarnation == t.incarnation:
		return !t.alive(now, period) && t.mayHaveStarted(now, b)
	case b.StartedMillis == 0:
		return now.Sub(t.heartbeatAt) >= period
	default:
		return !t.alive(now, period)
	}
}

// isFormer reports whether an incarnation is the current one or one of those before it.
func (t *target) isFormer(i fleet.TargetIncarnation) bool {
	return i == t.incarnation || slices.Contains(t.history.former, i)
}

// alive reports whether the current incarnation reported recently and has not ended since, as far as
// is known.
func (t *target) alive(now time.Time, period time.Duration) bool {
	return t.incarnation.TargetID != "" && t.up && !t.sawEnd && !t.identity.unproven && t.deregisteredAt.IsZero() && now.Sub(t.heartbeatAt) <= time.Duration(maxHeartbeatGapPeriods*float64(period))
}

// mayHaveStarted reports whether the sender of a heartbeat may have started after the last
// heartbeat of the current incarnation.
func (t *target) mayHaveStarted(now time.Time, b fleet.Heartbeat) bool {
	return b.Sequence <= maxInitialCalls+uint64(now.Sub(t.heartbeatAt)/minCallInterval)
}
