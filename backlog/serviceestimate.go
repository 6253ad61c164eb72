package backlog

import "time"

// minWeight is the least weight of a new observation: the mean covers some 32 requests. A
// spread of service times of half their mean then leaves an error of a tenth, and the warm-up
// of a target that started cold shows within half a second.
const minWeight = 1.0 / 32

// A single answer weighs more where answers are sparse: the mean covers at most the answers
// of averagingTime, and at least some four of them (maxWeight). A target that was slow gets
// few requests, and these few must be enough to show that it has become faster.
const (
	averagingTime = time.Second
	maxWeight     = 1.0 / 4
)

// ServiceEstimate estimates the service rate of a target and the times that its requests take, from
// the answers observed.
type ServiceEstimate struct {
	// answerInterval is the mean time between two answers of a fully used target, responseTime
	// that from the delivery of a request to its answer, and serviceTime the part of it after
	// the whole request was delivered; all in nanoseconds.
	answerInterval, responseTime, serviceTime float64
	observations                              int
}

// NewServiceEstimate returns the initial estimate, used until answers are observed, for a target that
// works on slots requests at once, each for serviceTime.
func NewServiceEstimate(serviceTime time.Duration, slots int) ServiceEstimate {
	return ServiceEstimate{answerInterval: float64(serviceTime) / float64(max(slots, 1)), responseTime: float64(serviceTime), serviceTime: float64(serviceTime)}
}

// Completion describes one answered request.
type Completion struct {
	// ResponseTime is the time from the delivery of the first packet of the request to its answer, ServiceTime
	// that from the delivery of its last packet.
	ResponseTime, ServiceTime time.Duration
	// SincePrevious is the time since the previous answer, zero for the first one.
	SincePrevious time.Duration
	// Concurrency is how many requests the target had when this one was delivered, itself included.
	Concurrency int
}

// Observe records an answer of a target with the given number of slots. By Little's law a target
// that works on n requests at a time, each for t, sends an answer every t/n. A target with
// fewer requests than slots counts as working on as many as it has slots, as it could.
func (p *ServiceEstimate) Observe(s Completion, slots int) {
	working := max(float64(s.Concurrency)*p.WorkShare(), float64(slots), 1)
	p.observations++
	sparse := min(s.SincePrevious.Seconds()/averagingTime.Seconds(), maxWeight)
	weight := max(1/float64(p.observations), minWeight, sparse)
	p.answerInterval += weight * (float64(s.ServiceTime)/working - p.answerInterval)
	p.responseTime += weight * (float64(s.ResponseTime) - p.responseTime)
	p.serviceTime += weight * (float64(s.ServiceTime) - p.serviceTime)
}

// Observed reports whether enough answers were observed to rely on the estimate: the spread
// of a single request's service time equals its mean, that of the mean of minObservations is
// a third of it.
func (p ServiceEstimate) Observed() bool { return p.observations >= minObservations }

// minObservations is the least number of answers that make an estimate reliable.
const minObservations = 8

// MarkStale makes the next answers count as the first ones, because the target was idle for so
// long that its service time may have changed. Until then the estimate stays.
func (p *ServiceEstimate) MarkStale() { p.observations = 0 }

// AnswerInterval returns the mean time between two answers of a fully used target.
func (p ServiceEstimate) AnswerInterval() time.Duration { return time.Duration(p.answerInterval) }

// ResponseTime returns the mean response time, from the delivery of a request to its answer.
func (p ServiceEstimate) ResponseTime() time.Duration { return time.Duration(p.responseTime) }

// WorkShare returns the share of a request's response time, above 0 and up to 1, in which the
// target may work on it; before that its body is still in transfer. By Little's law it is
// also the share of the delivered requests that the target may work on at any moment,
// whatever slows the bodies down.
func (p ServiceEstimate) WorkShare() float64 {
	if p.responseTime <= 0 {
		return 1
	}
	return min(max(p.serviceTime/p.responseTime, minWorkShare), 1)
}

// minWorkShare limits the requests delivered to a target to 16 times those it works on.
// Uploads of 30 ms with 5 ms of work have a share of 0.14; without the limit a target that
// hangs would draw in every request.
const minWorkShare = 1.0 / 16
