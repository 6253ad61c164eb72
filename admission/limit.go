package admission

import "time"

// LimitOptions are the bounds of an adaptive limit.
type LimitOptions struct {
	// Backoff is the factor of a decrease.
	Backoff float64
	// Window is the least span, and WindowRequests the least number, of
	// requests whose mean latency is judged.
	Window         time.Duration
	WindowRequests int
	// Tolerance is how many times its base latency a target may take before
	// it counts as overloaded.
	Tolerance float64
	// BaseLife is how long a base latency is believed; then it is measured
	// anew with the limit halved for a moment.
	BaseLife time.Duration
}

// DefaultLimit returns the options in use.
func DefaultLimit() LimitOptions {
	return LimitOptions{
		Backoff:        0.8,
		Window:         100 * time.Millisecond,
		WindowRequests: 20,
		Tolerance:      2,
		BaseLife:       30 * time.Second,
	}
}

// minBase is the least base latency compared with: below it jitter of the
// machine dominates.
const minBase = 5 * time.Millisecond

// growth is the share by which a limit rises after a good window.
const growth = 0.1

// probe is the state of measuring the base latency anew.
type probe uint8

const (
	notProbing probe = iota
	// settling lets the requests from before the halving end.
	settling
	// measuring takes the next window's mean as the base.
	measuring
)

// limit is one target's adaptive concurrency limit. It compares the mean
// latency of a window with the lowest such mean, not single requests: a
// service mixes quick and slow work. The limit never falls below the slots
// that the target announced.
type limit struct {
	opts     LimitOptions
	min, max float64
	cur      float64

	base   time.Duration
	baseAt time.Time
	probe  probe
	// restore is the limit to go back to after a probe.
	restore float64

	sum         time.Duration
	count       int
	windowAt    time.Time
	decreasedAt time.Time
}

// newLimit starts at the slots: a base latency learnt under overload would
// take overload for normal.
func newLimit(opts LimitOptions) limit { return limit{opts: opts} }

// allowed returns the number of requests that may be in progress.
func (l *limit) allowed() int { return int(l.cur) }

func (l *limit) setBounds(minimum, maximum int) {
	l.max = float64(maximum)
	l.min = min(float64(minimum), l.max)
	l.cur = min(max(l.cur, l.min), l.max)
}

// done learns from one finished request.
func (l *limit) done(now time.Time, r Result, latency time.Duration) {
	if r.Outcome == Shed {
		l.shed(now)
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
		l.judge(now, l.sum/time.Duration(l.count))
		l.sum, l.count = 0, 0
	}
}

// shed answers a refusal by the target; those of one window count once.
func (l *limit) shed(now time.Time) {
	if now.Sub(l.decreasedAt) < l.opts.Window {
		return
	}
	l.decreasedAt = now
	l.decrease()
}

func (l *limit) judge(now time.Time, mean time.Duration) {
	switch {
	case l.probe == settling:
		l.probe = measuring
	case l.probe == measuring:
		l.probe, l.cur = notProbing, l.restore
		l.base, l.baseAt = mean, now
	case l.base == 0 || mean < l.base:
		l.base, l.baseAt = mean, now
	case now.Sub(l.baseAt) > l.opts.BaseLife:
		l.probe, l.restore = settling, l.cur
		l.cur = max(l.cur/2, l.min)
	case float64(mean) > l.opts.Tolerance*float64(max(l.base, minBase)):
		l.decrease()
	default:
		l.cur = min(l.cur+max(1, l.cur*growth), l.max)
	}
}

func (l *limit) decrease() { l.cur = max(l.cur*l.opts.Backoff, l.min) }
