package choose

import "math/rand/v2"

// Offer is a target that may take a new flow, as one balancer sees it.
type Offer struct {
	// Busy is the target's own last word on the requests that it works on or has
	// queued; Sent is what this balancer sent since.
	Busy, Sent int
	// Slots is what the target works on at once.
	Slots int
	// OtherZone targets cost bytes between zones.
	OtherZone bool
	// Warming targets are slow after their start.
	Warming bool
	// Avoid marks targets that are unheard or refused lately: last resort.
	Avoid bool
}

// Weights are the policy's parameters, in units of busy requests per slot.
type Weights struct {
	// OtherZone is added for a target in another zone: at 1.0 an idle target
	// elsewhere equals one in the own zone whose slots are all taken.
	OtherZone float64
	// Warming is the factor on the load of a warming target.
	Warming float64
}

// avoidCost puts targets to be avoided behind all others.
const avoidCost = 1e6

// Cost is the expected load of a target with one more flow; lower is better.
func (w Weights) Cost(o Offer) float64 {
	cost := float64(o.Busy+o.Sent+1) / float64(max(o.Slots, 1))
	if o.Warming {
		cost *= w.Warming
	}
	if o.OtherZone {
		cost += w.OtherZone
	}
	if o.Avoid {
		cost += avoidCost
	}
	return cost
}

// Cheapest returns the index of the offer for a new flow, or -1 without any. Two
// random offers of the own zone and two of the other zones are compared (power of
// two choices), so that balancers with the same stale readings do not all send to
// the same target.
func (w Weights) Cheapest(offers []Offer, rnd *rand.Rand) int {
	if len(offers) == 0 {
		return -1
	}
	best := w.sampleZone(offers, false, rnd)
	other := w.sampleZone(offers, true, rnd)
	if best < 0 || (other >= 0 && w.Cost(offers[other]) < w.Cost(offers[best])) {
		best = other
	}
	return best
}

// sampleZone compares two distinct random offers of the own or of other zones,
// passing over those to be avoided while there are others.
func (w Weights) sampleZone(offers []Offer, otherZone bool, rnd *rand.Rand) int {
	first, second := -1, -1
	seen := 0
	for pass := range 2 {
		for i, o := range offers {
			if o.OtherZone != otherZone || o.Avoid != (pass == 1) {
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
	if second >= 0 && w.Cost(offers[second]) < w.Cost(offers[first]) {
		return second
	}
	return first
}
