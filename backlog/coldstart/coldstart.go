// Package coldstart bounds the new flows that a cold target gets.
//
// A target that has just started bears only so many requests a second. Its agent
// gives it every opening packet, so the agent alone can keep the bound exactly: a
// sliding window over the opening packets given, those of warm times included. An
// agent that has started beside a running target does not know what the process
// before it gave, and takes the window for full until it has been there for as long.
//
// Cost: amortised O(1) an opening packet; at most maxRemembered times are kept.
package coldstart

import (
	"math"
	"time"
)

const (
	// span is the window. It is a second, and what a packet may take longer than
	// another one on its way to a target on the same VM: two that were given a
	// second apart do not arrive closer than a second.
	span = time.Second + 20*time.Millisecond
	// maxRemembered bounds the window's memory, 100 KB: 4,000 requests a second are
	// beyond what a target takes when it is warm. Beyond it the window counts as full.
	maxRemembered = 4096
)

// Window remembers the opening packets that a target was given. The zero value is
// that of an agent which has been there for long.
type Window struct {
	// given are the times of the last span, oldest first.
	given []time.Time
	// blindUntil is when everything of the last span is known.
	blindUntil time.Time
}

// Blind tells the window that nothing is known of what was given before now.
func (w *Window) Blind(now time.Time) { w.blindUntil = now.Add(span) }

// Give notes an opening packet for the target.
func (w *Window) Give(now time.Time) {
	w.forget(now)
	if len(w.given) >= maxRemembered {
		w.Blind(now)
		w.given = w.given[:0]
	}
	w.given = append(w.given, now)
}

// Room tells how many opening packets more the target may be given now, where it bears
// rate requests a second. A target that bears any bears one.
func (w *Window) Room(now time.Time, rate float64) int {
	w.forget(now)
	if now.Before(w.blindUntil) {
		return 0
	}
	return max(Most(rate)-len(w.given), 0)
}

// Most is how many requests within a second a rate allows.
func Most(rate float64) int { return int(min(max(math.Floor(rate), 1), maxRemembered)) }

// forget drops what is older than the window.
func (w *Window) forget(now time.Time) {
	old := 0
	for old < len(w.given) && now.Sub(w.given[old]) > span {
		old++
	}
	w.given = w.given[old:]
}
