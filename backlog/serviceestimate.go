package backlog

import "time"

// minWeight is the least weight of a new observation: the mean covers some 32 requests. If the
// standard deviation of the service times is half of their mean, the error is then a tenth; and
// the warm-up of a target that started cold shows within half a second.
const minWeight = 1.0 / 32

// A single answer weighs more where answers are sparse: the mean covers at most the answers
// of averagingTime, and at least some four of them (maxWeight). A target that was slow gets
// few requests, and these few must be enough to show that it has become faster.
const (
	averagingTime = time.Second
	maxWeight     = 1.0 / 4
)

// ServiceEstimate estimates, from the answers of a target, its service rate and the times that
// its requests take.
type ServiceEstimate struct {
	// answerInterval is the mean time between two answers of a fully used target, responseTime
	// the mean time from the delivery of a request to its answer, and serviceTime the part of it
	// after the whole request was delivered; all in nanoseconds.
	answerInterval, responseTime, serviceTime float64
	observations                              int
}

// NewServiceEstimate returns the initial estimate, used until answers are observed, for a target
// that works on slots requests at once, each for serviceTime.
func NewServiceEstimate(serviceTime time.Duration, slots int) ServiceEstimate {
	return ServiceEstimate{answerInterval: float64(serviceTime) / float64(max(slots, 1)), responseTime: float64(serviceTime), serviceTime: float64(serviceTime)}
}

// Completion describes one answered request.
type Completion struct {
	// ResponseTime is the time from the delivery of the first packet of the request to its answer,
	// ServiceTime the time from the delivery of its last packet to the answer.
	ResponseTime, ServiceTime time.Duration
	// SincePrevious is the time since the previous answer, zero for the first one.
	SincePrevious time.Duration
	// Concurrency is how many requests the target had when this one was delivered, itself included.
	Concurrency int
}

// Observe records an answer of a target with the given number of slots. By Little's law a target
// that works on n requests at a time, each for t, sends an answer every t/n. A target with
// fewer requests than slots counts as working on as many as it has slots, as it could.
func (e *ServiceEstimate) Observe(c Completion, slots int) {
	working := max(float64(c.Concurrency)*e.WorkShare(), float64(slots), 1)
	e.observations++
	sparse := min(c.SincePrevious.Seconds()/averagingTime.Seconds(), maxWeight)
	weight := max(1/float64(e.observations), minWeight, sparse)
	e.answerInterval += weight * (float64(c.ServiceTime)/working - e.answerInterval)
	e.responseTime += weight * (float64(c.ResponseTime) - e.responseTime)
	e.serviceTime += weight * (float64(c.ServiceTime) - e.serviceTime)
}

// Observed reports whether enough answers were observed to rely on the estimate: if the standard
// deviation of a single service time equals its mean, which is twice what minWeight assumes, that
// of the mean of minObservations requests is a third of it.
func (e ServiceEstimate) Observed() bool { return e.observations >= minObservations }

// minObservations is the least number of answers that make an estimate reliable.
const minObservations = 8

// MarkStale makes the next answers count as the first ones, because the target was idle for so
// long that its service time may have changed. The estimate stays until the next answer.
func (e *ServiceEstimate) MarkStale() { e.observations = 0 }

// AnswerInterval returns the mean time between two answers of a fully used target.
func (e ServiceEstimate) AnswerInterval() time.Duration { return time.Duration(e.answerInterval) }

// ResponseTime returns the mean response time, from the delivery of a request to its answer.
func (e ServiceEstimate) ResponseTime() time.Duration { return time.Duration(e.responseTime) }

// WorkShare returns the share of a request's response time, above 0 and up to 1, in which the
// target may work on it; before that its body is still in transfer. By Little's law it is
// also the share of the delivered requests that the target may work on at any moment,
// whatever slows the bodies down.
func (e ServiceEstimate) WorkShare() float64 {
	if e.responseTime <= 0 {
		return 1
	}
	return min(max(e.serviceTime/e.responseTime, minWorkShare), 1)
}

// minWorkShare limits the requests delivered to a target to 16 times those it works on.
// Uploads of 30 ms with 5 ms of work have a share of 0.14; without the limit a target that
// hangs would draw in every request.
const minWorkShare = 1.0 / 16
