package fleet

import (
	"time"

	"github.com/poppywall/poppywall/flow"
)

// Repetition of what a node has said, to those that heard it before. Changes are
// told at once; the repetition shows that the node lives and carries its load.
const (
	// NearPeriod is the pause between repetitions to nodes of the own zone.
	NearPeriod = time.Second
	// farRate is how many repetitions a second a node sends to nodes of other
	// zones in all: bytes between zones are dear, and their number would grow with
	// the square of the fleet.
	farRate = 4
	// mostFarPeriod bounds the pause between repetitions to a node of another zone,
	// and with it how long one that has died without a word counts as there.
	mostFarPeriod = 2500 * time.Millisecond
	// quietPeriods is how many periods a node may stay unheard: two messages lost
	// and half a period.
	quietPeriods = 2.5
	// dutyPeriods is the same for a balancer that others rely on for a duty.
	dutyPeriods = 2.2
)

// FarPeriod is the pause between repetitions to each of so many nodes in other
// zones.
func FarPeriod(nodes int) time.Duration {
	return min(max(time.Duration(nodes)*time.Second/farRate, NearPeriod), mostFarPeriod)
}

// NextRound returns when a node that repeats something each period does so next: at its own
// part of the period, by the time of day, so that nodes that have started together, or have
// heard of the same change, do not all send at once. A clock that is stepped only makes one
// pause shorter.
func NextRound(now time.Time, period time.Duration, self flow.IPv4) time.Time {
	phase := time.Duration(flow.Score(phaseSalt, self) % uint64(period))
	since := (time.Duration(now.UnixNano()) - phase) % period
	if since < 0 {
		since += period
	}
	return now.Add(period - since)
}

// phaseSalt tells the phases of nodes from other scores of theirs.
const phaseSalt = 3

// unheard tells whether a node was silent for longer than so many of the periods
// that it has stated; zero stands for the near one.
func unheard(now, heardAt time.Time, period time.Duration, periods float64) bool {
	if period <= 0 {
		period = NearPeriod
	}
	return float64(now.Sub(heardAt)) > periods*float64(period)
}
