package admission

import "time"

// LimitOptions are the bounds of an adaptive limit.
type LimitOptions struct {
	// Min keeps a target from being starved for ever.
	Min float64
	// Backoff is the factor of a decrease.
	Backoff float64
	// DecreaseEvery is the least time between two decreases: the requests in
	// progress at the first one must not count again.
	DecreaseEvery time.Duration
	// Tolerance is how many times its usual latency a target may take before
	// it counts as overloaded.
	Tolerance float64
	// ShortGain and LongGain are the weights of a new latency in the recent
	// and the usual mean.
	ShortGain, LongGain float64
}

// DefaultLimit returns the options in use.
func DefaultLimit() LimitOptions {
	return LimitOptions{
		Min:           1,
		Backoff:       0.8,
		DecreaseEvery: 200 * time.Millisecond,
		Tolerance:     2,
		ShortGain:     0.1,
		LongGain:      0.002,
	}
}

// minUsual is the least usual latency compared with: below it jitter of the
// machine dominates.
const minUsual = 5 * time.Millisecond

// limit is one target's adaptive concurrency limit.
type limit struct {
	opts LimitOptions
	max  float64
	cur  float64

	decreasedAt time.Time
	// short and long are the recent and the usual mean latency. Means are
	// compared, not single requests: a service mixes quick and slow work.
	short, long time.Duration
}

func newLimit(opts LimitOptions, maximum int) limit {
	return limit{opts: opts, max: float64(maximum), cur: float64(maximum)}
}

// allowed returns the number of requests that may be in progress.
func (l *limit) allowed() int { return int(l.cur) }

func (l *limit) setMax(maximum int) {
	m := float64(maximum)
	if l.cur >= l.max || l.cur > m {
		l.cur = m
	}
	l.max = m
}

// done learns from one finished request.
func (l *limit) done(now time.Time, r Result, latency time.Duration) {
	switch r.Outcome {
	case Cancelled, Failed:
		return
	case Shed:
		l.decrease(now)
		return
	}
	if r.Comparable && l.slow(latency) {
		l.decrease(now)
		return
	}
	l.cur = min(l.cur+1/max(l.cur, 1), l.max)
}

func (l *limit) slow(latency time.Duration) bool {
	if l.long == 0 {
		l.short, l.long = latency, latency
	}
	l.short += time.Duration(l.opts.ShortGain * float64(latency-l.short))
	l.long += time.Duration(l.opts.LongGain * float64(latency-l.long))
	return float64(l.short) > l.opts.Tolerance*float64(max(l.long, minUsual))
}

func (l *limit) decrease(now time.Time) {
	if now.Sub(l.decreasedAt) < l.opts.DecreaseEvery {
		return
	}
	l.decreasedAt = now
	l.cur = max(l.cur*l.opts.Backoff, l.opts.Min)
}
