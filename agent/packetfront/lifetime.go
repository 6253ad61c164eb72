package packetfront

import (
	"slices"
	"time"

	"github.com/poppywall/poppywall/fleet"
)

// Parameters of the judgement of heartbeats.
const (
	// formerLives is how many earlier lives at this address are remembered.
	formerLives = 8
	// aliveBeats is how many heartbeat periods a target may be silent and still
	// count as alive when another life reports.
	aliveBeats = 1.5
	// firstCalls is how many calls a target may have made by the time its first
	// heartbeat gets through, beside one for each leastCallGap since its start.
	firstCalls = 4
	// leastCallGap is the least mean pause between the calls of a target: a fifth
	// of the second after which one that gets no answer repeats its call.
	leastCallGap = 200 * time.Millisecond
)

// lifetimes tells the heartbeats of the present life from those of an earlier
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
type lifetimes struct {
	former []fleet.Life
	// claimant is the last life that was not believed, claim its sequence.
	claimant fleet.Life
	claim    uint64
}

// retire remembers a life that was replaced.
func (l *lifetimes) retire(life fleet.Life) {
	if life.TargetID == "" {
		return
	}
	l.former = slices.DeleteFunc(l.former, func(f fleet.Life) bool { return f == life })
	if len(l.former) == formerLives {
		l.former = slices.Delete(l.former, 0, 1)
	}
	l.former = append(l.former, life)
}

// insists tells whether a life that is not believed has reported twice in a row.
func (l *lifetimes) insists(b fleet.Heartbeat) bool {
	again := l.claimant == b.Life && b.Sequence > l.claim
	l.claimant, l.claim = b.Life, b.Sequence
	return again
}

// belief is what a heartbeat is taken for.
type belief uint8

const (
	// lateBeat is that of a life that has ended.
	lateBeat belief = iota
	// ownBeat is that of the present life.
	ownBeat
	// firstBeat is the first one of a life that has taken the place of the present one.
	firstBeat
)

// judge tells whose a heartbeat is.
func (h *target) judge(now time.Time, b fleet.Heartbeat, period time.Duration) belief {
	switch {
	case h.life.TargetID == "":
		return firstBeat
	case b.Life == h.life && b.Sequence > h.sequence:
		h.lifetimes.claimant = fleet.Life{}
		return ownBeat
	case b.Born == 0 && h.life.Born != 0:
		// The present target says when it was born; a report that does not is not its own.
		return lateBeat
	case h.succeeded(now, b, period):
		return firstBeat
	case h.lifetimes.insists(b) && h.gaveWay(now, b, period):
		return firstBeat
	default:
		return lateBeat
	}
}

// succeeded tells whether another life has taken the place of the present one.
func (h *target) succeeded(now time.Time, b fleet.Heartbeat, period time.Duration) bool {
	if h.sawEnd && h.up && h.mayHaveStarted(now, b) {
		return true
	}
	if b.Life == h.life || b.Born < h.life.Born || slices.Contains(h.lifetimes.former, b.Life) {
		return false
	}
	return !h.alive(now, period) || h.mayHaveStarted(now, b)
}

// gaveWay tells whether the present life may have ended, given that another one goes
// on to report. Where targets say when they were born a late report is told from the
// present life's by the silence of that one, too; otherwise only its being repeated
// counts.
func (h *target) gaveWay(now time.Time, b fleet.Heartbeat, period time.Duration) bool {
	if b.Life == h.life {
		return !h.alive(now, period) && h.mayHaveStarted(now, b)
	}
	return b.Born == 0 || !h.alive(now, period)
}

// alive tells whether the present life reported lately and has not ended since.
func (h *target) alive(now time.Time, period time.Duration) bool {
	return h.life.TargetID != "" && h.up && !h.sawEnd && h.left.IsZero() && now.Sub(h.beatAt) <= time.Duration(aliveBeats*float64(period))
}

// mayHaveStarted tells whether the sender of a heartbeat may have started after the
// present life's last one.
func (h *target) mayHaveStarted(now time.Time, b fleet.Heartbeat) bool {
	return b.Sequence <= firstCalls+uint64(now.Sub(h.beatAt)/leastCallGap)
}
