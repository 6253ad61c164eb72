package backlog

import "time"

// leastWeight is the weight of a new observation: the mean covers some 32 requests,
// so that the spread of their work (half of the mean) leaves an error of a tenth,
// and a target that has started cold is seen to warm up within half a second.
const leastWeight = 1.0 / 32

// Pace is how a target works, from what was observed of its requests.
type Pace struct {
	// each is the mean time between two answers of a target that is fully used, in
	// nanoseconds, took that from a request's delivery to its answer.
	each, took float64
	observed   int
}

// NewPace returns the pace of a target that is assumed to take work for a request,
// and to work on slots of them at once, until something is observed.
func NewPace(work time.Duration, slots int) Pace {
	return Pace{each: float64(work) / float64(max(slots, 1)), took: float64(work)}
}

// Done takes note of an answer: how long the request took from its delivery, and
// how many requests the target had then, this one included. By Little's law a target
// with n requests that take t each answers one each t/n; one that has fewer than
// its slots could take more meanwhile.
func (p *Pace) Done(took time.Duration, running, slots int) {
	each := float64(took) / float64(max(running, slots, 1))
	p.observed++
	weight := max(1/float64(p.observed), leastWeight)
	p.each += weight * (each - p.each)
	p.took += weight * (float64(took) - p.took)
}

// Each returns the mean time between two answers of a target that is fully used.
func (p Pace) Each() time.Duration { return time.Duration(p.each) }

// Took returns the mean time from a request's delivery to its answer.
func (p Pace) Took() time.Duration { return time.Duration(p.took) }
