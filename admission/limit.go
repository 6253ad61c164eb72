package admission

import "time"

// LimitOptions are the parameters of an adaptive limit.
type LimitOptions struct {
	// Backoff is the factor of a decrease.
	Backoff float64
	// Window is the least time, and WindowRequests the least number of requests, over which a mean
	// latency is evaluated.
	Window         time.Duration
	WindowRequests int
	// Tolerance is the multiple of its base latency from which on a target counts as overloaded.
	Tolerance float64
	// BaseLatencyMaxAge is how long a base latency is valid; then it is measured again, with the
	// limit halved meanwhile.
	BaseLatencyMaxAge time.Duration
}

// DefaultLimit returns the options in use.
func DefaultLimit() LimitOptions {
	return LimitOptions{
		Backoff:           0.8,
		Window:            100 * time.Millisecond,
		WindowRequests:    20,
		Tolerance:         2,
		BaseLatencyMaxAge: 30 * time.Second,
	}
}

// minBaseLatency is the least base latency used in the comparison; below it scheduling jitter
// of the machine dominates.
const minBaseLatency = 5 * time.Millisecond

// growthShare is the share by which a limit rises after a window within the tolerance.
const growthShare = 0.1

// probeState is the state of a new measurement of the base latency.
type probeState uint8

const (
	notProbing probeState = iota
	// settling waits for the requests from before the halving to end.
	settling
	// measuring takes the mean of the next window as the base latency.
	measuring
)

// limit is the adaptive concurrency limit of one target. It compares the mean latency of a window
// with the lowest such mean, not single requests, because a service mixes quick and slow
// requests. The limit never falls below the slots that the target announced.
type limit struct {
	opts     LimitOptions
	min, max float64
	current  float64

	// baseLatency was measured at baseAt; it is zero before the first window.
	baseLatency time.Duration
	baseAt      time.Time
	probe       probeState
	// restore is the limit to return to after a probe.
	restore float64

	// sum and count are of the latencies in the window that began at windowAt.
	sum      time.Duration
	count    int
	windowAt time.Time
	// decreasedAt is when a refusal by the target last lowered the limit.
	decreasedAt time.Time
}

// newLimit returns a limit that starts at the slots of the target: a base latency measured
// under overload would make overload the normal state.
func newLimit(opts LimitOptions) limit { return limit{opts: opts} }

// allowed returns the number of requests that may be in progress.
func (l *limit) allowed() int { return int(l.current) }

func (l *limit) setBounds(minimum, maximum int) {
	l.max = float64(maximum)
	l.min = min(float64(minimum), l.max)
	l.current = min(max(l.current, l.min), l.max)
}

// observe updates the limit after a request.
func (l *limit) observe(now time.Time, r Result, latency time.Duration) {
	if r.Outcome == Shed {
		l.observeShed(now)
		return
	}
	if r.Outcome != Succeeded || !r.Comparable {
		return
	}
	if l.count == 0 {
		l.windowAt = now
	}
	l.sum += latency
	l.count++
	if l.count >= l.opts.WindowRequests && now.Sub(l.windowAt) >= l.opts.Window {
		l.evaluate(now, l.sum/time.Duration(l.count))
		l.sum, l.count = 0, 0
	}
}

// observeShed lowers the limit after a refusal by the target; refusals within one window count
// once.
func (l *limit) observeShed(now time.Time) {
	if now.Sub(l.decreasedAt) < l.opts.Window {
		return
	}
	l.decreasedAt = now
	l.decrease()
}

// evaluate adjusts the limit, the base latency or the probe after a window.
func (l *limit) evaluate(now time.Time, mean time.Duration) {
	switch {
	case l.probe == settling:
		l.probe = measuring
	case l.probe == measuring:
		l.probe, l.current = notProbing, l.restore
		l.baseLatency, l.baseAt = mean, now
	case l.baseLatency == 0 || mean < l.baseLatency:
		l.baseLatency, l.baseAt = mean, now
	case now.Sub(l.baseAt) > l.opts.BaseLatencyMaxAge:
		l.probe, l.restore = settling, l.current
		l.current = max(l.current/2, l.min)
	case float64(mean) > l.opts.Tolerance*float64(max(l.baseLatency, minBaseLatency)):
		l.decrease()
	default:
		l.current = min(l.current+max(1, l.current*growthShare), l.max)
	}
}

func (l *limit) decrease() { l.current = max(l.current*l.opts.Backoff, l.min) }
