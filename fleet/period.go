package fleet

import (
	"time"

	"github.com/poppywall/poppywall/flow"
)

// Periodic repetition of a node's state message. Changes are sent immediately; the repetitions
// show that the node is alive and carry the load report.
const (
	// SameZonePeriod is the time between repetitions to nodes of the local zone.
	SameZonePeriod = time.Second
	// crossZoneRate is how many repetitions a second a node sends to nodes of other zones in
	// total, as far as SameZonePeriod and maxCrossZonePeriod allow. Traffic between zones is
	// expensive and would otherwise grow with the square of the fleet size.
	crossZoneRate = 4
	// maxCrossZonePeriod bounds the time between repetitions to a node of another zone, and
	// with it how long a node that crashed still counts as alive. With more than 10 such nodes
	// it makes the total rate exceed crossZoneRate.
	maxCrossZonePeriod = 2500 * time.Millisecond
	// overduePeriods is how many periods may pass without a message before a node is overdue:
	// two lost messages and half a period.
	overduePeriods = 2.5
	// eligiblePeriods is how many periods may pass without a beacon before a balancer is no
	// longer eligible for a duty that other balancers rely on.
	eligiblePeriods = 2.2
)

// CrossZonePeriod returns the time between repetitions to each node of other zones, given the
// number of those nodes.
func CrossZonePeriod(nodes int) time.Duration {
	return min(max(time.Duration(nodes)*time.Second/crossZoneRate, SameZonePeriod), maxCrossZonePeriod)
}

// NextSendTime returns the next send time of a node that sends once per period. Each node sends
// at a phase of the period of its own, derived from its address and counted by the wall
// clock, so that nodes that started together or learned of the same change do not all send
// at once. A step of the clock only shortens one interval.
func NextSendTime(now time.Time, period time.Duration, self flow.IPv4) time.Time {
	phase := time.Duration(flow.Score(phaseSalt, self) % uint64(period))
	since := (time.Duration(now.UnixNano()) - phase) % period
	if since < 0 {
		since += period
	}
	return now.Add(period - since)
}

// phaseSalt separates the scores of phases from other scores of the same addresses.
const phaseSalt = 3

// overdue reports whether a node was last seen more than the given number of its announced
// periods ago. A period of zero stands for SameZonePeriod.
func overdue(now, lastSeen time.Time, period time.Duration, periods float64) bool {
	if period <= 0 {
		period = SameZonePeriod
	}
	return float64(now.Sub(lastSeen)) > periods*float64(period)
}
