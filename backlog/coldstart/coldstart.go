// Package coldstart limits the rate of opening packets to a cold target.
//
// A target that has just started sustains only a limited number of requests per second, which is
// applied as a limit on opening packets per second. Its agent delivers every opening packet to it,
// so the agent alone can keep the limit exactly: with a sliding window over the opening packets
// delivered, including retransmitted ones and those before the limit applied. An agent that has
// started beside a running target does not know what its previous incarnation delivered, and
// counts the window as full until one window has passed.
//
// Cost: amortised O(1) per opening packet; at most maxRemembered times are kept.
package coldstart

import (
	"math"
	"time"
)

const (
	// span is the length of the window: one second, and the most by which the delays of two
	// packets on their way to a target on the same VM differ, so that two packets delivered more
	// than a window apart arrive at least a second apart.
	span = time.Second + 20*time.Millisecond
	// maxRemembered limits the memory of the window to 100 KB: 4,000 opening packets per second
	// are more than a warm target sustains. Beyond it the window counts as full.
	maxRemembered = 4096
)

// Window holds the times of the opening packets delivered to a target. The zero value is the
// window of an agent that has been running for long and delivered none.
type Window struct {
	// times are the deliveries within the last span, oldest first.
	times []time.Time
	// fullUntil is until when the window counts as full because deliveries within the last span
	// are unknown.
	fullUntil time.Time
}

// AssumeFull makes the window count as full for one span, because deliveries before now are
// unknown.
func (w *Window) AssumeFull(now time.Time) { w.fullUntil = now.Add(span) }

// Add records an opening packet delivered to the target.
func (w *Window) Add(now time.Time) {
	w.prune(now)
	if len(w.times) >= maxRemembered {
		w.AssumeFull(now)
		w.times = w.times[:0]
	}
	w.times = append(w.times, now)
}

// Headroom returns how many more opening packets may be delivered now to a target that sustains
// rate of them per second. Rates below one count as one.
func (w *Window) Headroom(now time.Time, rate float64) int {
	w.prune(now)
	if now.Before(w.fullUntil) {
		return 0
	}
	return max(MaxPerWindow(rate)-len(w.times), 0)
}

// MaxPerWindow returns the number of opening packets per window that a rate in opening packets per
// second allows, from 1 to maxRemembered.
func MaxPerWindow(rate float64) int { return int(min(max(math.Floor(rate), 1), maxRemembered)) }

// prune removes times older than the window.
func (w *Window) prune(now time.Time) {
	old := 0
	for old < len(w.times) && now.Sub(w.times[old]) > span {
		old++
	}
	w.times = w.times[old:]
}
