package choose

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Offer is a target that may take a new flow, as one balancer sees it.
type Offer struct {
	// Outstanding is the number of requests that the target works on or has queued, from its agent's
	// last announcement; Sent is how many flows this balancer has sent to it since. Outstanding in
	// LoadReport has another unit.
	Outstanding, Sent int
	// Slots is the number of requests that the target works on at once.
	Slots int
	// AnswerInterval is the mean time between two answers of the target when it is fully used, as
	// observed by its agent; zero before the first observation.
	AnswerInterval time.Duration
	// CrossZone marks targets in another zone: traffic between zones has a cost.
	CrossZone bool
	// Warming marks targets that are still slow after their start.
	Warming bool
	// Avoid marks targets that are overdue; they are the last resort.
	Avoid bool
}

// Weights are the policy's parameters.
type Weights struct {
	// CrossZoneCost is the cost of crossing zones, in service times of the typical target: at 1.0 an
	// idle target in another zone equals an equally fast one in the local zone whose slots are all
	// taken.
	CrossZoneCost float64
	// CrossZonePrice replaces CrossZoneCost as the cost of crossing zones unless it is zero.
	CrossZonePrice time.Duration
	// Warming multiplies the expected delay at a warming target.
	Warming float64
}

// defaultServiceTime is the service time of the typical target where none was observed. It
// matters only in comparison with CrossZonePrice.
const defaultServiceTime = 50 * time.Millisecond

// TypicalServiceTime returns the median of the observed service times, which is assumed for
// targets without an observation. Of an even number it is the higher of the middle two: the
// cost of crossing zones is proportional to it, and if half of the targets are fast, a low
// value makes zones with headroom send flows to other zones.
func TypicalServiceTime(offers []Offer) time.Duration {
	var seen [maxObserved]time.Duration
	n := 0
	for _, o := range offers {
		if o.AnswerInterval > 0 && n < maxObserved {
			seen[n] = o.serviceTime(0)
			n++
		}
	}
	if n == 0 {
		return defaultServiceTime
	}
	slices.Sort(seen[:n])
	return seen[n/2]
}

// maxObserved is the largest number of observed service times that the median is taken of.
const maxObserved = 16

// serviceTime returns how long the target works on a request if all its slots are equally
// fast, and typical where that was not observed.
func (o Offer) serviceTime(typical time.Duration) time.Duration {
	if o.AnswerInterval > 0 {
		return o.AnswerInterval * time.Duration(max(o.Slots, 1))
	}
	return typical
}

// Delay returns how long the target is expected to take, fully used, for all its requests and
// one more flow, plus the cost of crossing zones. typical is the service time assumed of a
// target without an observation. Lower is better.
func (w Weights) Delay(o Offer, typical time.Duration) time.Duration {
	if o.Avoid {
		// After all other targets, in the same order among themselves.
		o.Avoid = false
		return math.MaxInt64/2 + w.Delay(o, typical)/2
	}
	load := float64(o.Outstanding+o.Sent+1) / float64(max(o.Slots, 1))
	if o.Warming {
		load *= w.Warming
	}
	return time.Duration(load*float64(o.serviceTime(typical))) + w.crossZoneDelay(o, typical)
}

// crossZoneDelay returns the cost of crossing zones to reach the target, as a delay.
func (w Weights) crossZoneDelay(o Offer, typical time.Duration) time.Duration {
	switch {
	case !o.CrossZone:
		return 0
	case w.CrossZonePrice > 0:
		return w.CrossZonePrice
	default:
		return time.Duration(w.CrossZoneCost * float64(typical))
	}
}

// Cheapest returns the index of the offer for a new flow, or -1 if there is none. Two random
// offers of the local zone and two of other zones are compared (power of two choices), so that
// balancers with the same stale load reports do not all choose the same target. typical is the
// TypicalServiceTime of all candidates.
func (w Weights) Cheapest(offers []Offer, typical time.Duration, rnd *rand.Rand) int {
	if len(offers) == 0 {
		return -1
	}
	best := w.sampleZone(offers, typical, false, rnd)
	crossZone := w.sampleZone(offers, typical, true, rnd)
	if best < 0 || (crossZone >= 0 && w.Delay(offers[crossZone], typical) < w.Delay(offers[best], typical)) {
		best = crossZone
	}
	return best
}

// sampleZone returns the better of two distinct random offers of the local or of other zones.
// Offers with Avoid are considered only if there are no others.
func (w Weights) sampleZone(offers []Offer, typical time.Duration, crossZone bool, rnd *rand.Rand) int {
	first, second := -1, -1
	seen := 0
	for pass := range 2 {
		for i, o := range offers {
			if o.CrossZone != crossZone || o.Avoid != (pass == 1) {
				continue
			}
			seen++
			// Reservoir sampling of two.
			switch j := rnd.IntN(seen); {
			case seen == 1:
				first = i
			case seen == 2:
				second = i
			case j == 0:
				first = i
			case j == 1:
				second = i
			}
		}
		if seen > 0 {
			break
		}
	}
	if second >= 0 && w.Delay(offers[second], typical) < w.Delay(offers[first], typical) {
		return second
	}
	return first
}
