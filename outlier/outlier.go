package outlier

import (
	"time"

	"gonum.org/v1/gonum/stat/distuv"
)

// Counts holds the numbers of requests and of failed requests over a window.
type Counts struct {
	Trials, Failures float64
}

// Add returns the sum of two counts.
func (c Counts) Add(o Counts) Counts {
	return Counts{c.Trials + o.Trials, c.Failures + o.Failures}
}

// Rate returns the failures per trial, zero without trials.
func (c Counts) Rate() float64 {
	if c.Trials == 0 {
		return 0
	}
	return c.Failures / c.Trials
}

// Policy decides whether a target with the given counts is ejected, compared with its peers.
type Policy interface {
	Eject(own, peers Counts) bool
}

// Threshold ejects a target whose failure rate is at least Rate, once there are MinTrials trials.
type Threshold struct {
	MinTrials float64
	Rate      float64
}

// Eject implements Policy.
func (t Threshold) Eject(own, _ Counts) bool {
	return own.Trials >= t.MinTrials && own.Rate() >= t.Rate
}

// Binomial ejects a target if the probability of so many failures, assuming the failure rate of
// its peers, is below Alpha.
type Binomial struct {
	Alpha float64
	// Prior stands in for peers with few trials, with the outcomes of a healthy service, so that a
	// target without peers can be evaluated too.
	Prior Counts
	// MinRate is the failure rate below which a target is never ejected, however significant the
	// difference.
	MinRate float64
}

// Eject implements Policy.
func (b Binomial) Eject(own, peers Counts) bool {
	rest := peers.Add(b.prior(peers))
	if own.Failures == 0 || own.Rate() < b.MinRate || own.Rate() <= rest.Rate() {
		return false
	}
	dist := distuv.Binomial{
		N: own.Failures + rest.Failures,
		P: own.Trials / (own.Trials + rest.Trials),
	}
	return 1-dist.CDF(own.Failures-1) < b.Alpha
}

// prior returns the prior with a weight that decreases with the trials of the peers: when all
// targets fail, none is an outlier.
func (b Binomial) prior(peers Counts) Counts {
	weight := max(0, 1-peers.Trials/b.Prior.Trials)
	return Counts{b.Prior.Trials * weight, b.Prior.Failures * weight}
}

// Options are the periods of a Detector.
type Options struct {
	// Bucket is the duration of one bucket of counts; Buckets of them make the window.
	Bucket  time.Duration
	Buckets int
	// BaseEjection is the duration of the first ejection; each further one in a row doubles it, up
	// to MaxEjection.
	BaseEjection, MaxEjection time.Duration
}

// Defaults returns the options in use.
func Defaults() Options {
	return Options{
		Bucket:       time.Second,
		Buckets:      10,
		BaseEjection: 5 * time.Second,
		MaxEjection:  60 * time.Second,
	}
}

// DefaultPolicy returns the policy in use; docs/DESIGN.md has the figures.
func DefaultPolicy() Policy {
	return Binomial{Alpha: 1e-5, Prior: Counts{Trials: 200, Failures: 4}, MinRate: 0.2}
}

// window holds the recent outcomes and the ejections of one target.
type window struct {
	// counts are those of each bucket, newest first.
	counts []Counts
	// newest is the index of the bucket in counts[0].
	newest int64

	ejectedUntil time.Time
	// streak is the number of ejections in a row.
	streak int
}

// Detector holds the windows of the targets of one host. It is not safe for concurrent use; its
// owner holds a lock.
type Detector struct {
	opts    Options
	policy  Policy
	targets map[string]*window
}

// New returns a detector without targets.
func New(opts Options, policy Policy) *Detector {
	return &Detector{opts: opts, policy: policy, targets: map[string]*window{}}
}

// Remove removes a target.
func (d *Detector) Remove(target string) { delete(d.targets, target) }

// Report records one outcome and reports whether the target is ejected because of it.
func (d *Detector) Report(now time.Time, target string, failed bool) bool {
	w, ok := d.targets[target]
	if !ok {
		w = &window{}
		d.targets[target] = w
	}
	w.add(d.bucketAt(now), d.opts.Buckets, failed)
	if now.Before(w.ejectedUntil) {
		return false
	}
	if !failed {
		d.resetStreak(now, w)
		return false
	}
	if !d.isOutlier(now, target, w) {
		return false
	}
	d.eject(now, w)
	return true
}

// isOutlier reports whether a target is an outlier over any time span up to now, so that earlier
// successes don't delay the ejection of a target that has just begun to fail. The peers are
// counted over the whole window, because a short span has too few of their trials.
func (d *Detector) isOutlier(now time.Time, target string, w *window) bool {
	var own Counts
	peers := d.peerCounts(now, target)
	for _, bucket := range w.counts {
		own = own.Add(bucket)
		if bucket.Failures > 0 && d.policy.Eject(own, peers) {
			return true
		}
	}
	return false
}

func (d *Detector) bucketAt(now time.Time) int64 { return now.UnixNano() / int64(d.opts.Bucket) }

// resetStreak ends a streak of ejections when a target succeeds more than a whole window after
// the last one ended.
func (d *Detector) resetStreak(now time.Time, w *window) {
	span := d.opts.Bucket * time.Duration(d.opts.Buckets)
	if w.streak > 0 && now.Sub(w.ejectedUntil) > span {
		w.streak = 0
	}
}

func (d *Detector) eject(now time.Time, w *window) {
	length := min(d.opts.BaseEjection<<w.streak, d.opts.MaxEjection)
	w.ejectedUntil = now.Add(length)
	// The cap keeps the shift above from overflowing.
	w.streak = min(w.streak+1, 8)
	// The window starts empty: old failures must not cause another ejection at once.
	w.counts = nil
}

// Counts returns the outcomes of a target in its window.
func (d *Detector) Counts(now time.Time, target string) Counts {
	w, ok := d.targets[target]
	if !ok {
		return Counts{}
	}
	w.advance(d.bucketAt(now), d.opts.Buckets)
	return w.sum()
}

// Ejected reports whether the target is ejected: it gets no new requests.
func (d *Detector) Ejected(now time.Time, target string) bool {
	w, ok := d.targets[target]
	return ok && now.Before(w.ejectedUntil)
}

func (d *Detector) peerCounts(now time.Time, except string) Counts {
	var sum Counts
	at := d.bucketAt(now)
	for name, w := range d.targets {
		if name != except {
			w.advance(at, d.opts.Buckets)
			sum = sum.Add(w.sum())
		}
	}
	return sum
}

func (w *window) add(at int64, n int, failed bool) {
	w.advance(at, n)
	w.counts[0].Trials++
	if failed {
		w.counts[0].Failures++
	}
}

// advance moves the window so that counts[0] is the bucket at.
func (w *window) advance(at int64, n int) {
	if w.counts == nil || at-w.newest >= int64(n) {
		w.counts, w.newest = make([]Counts, n), at
		return
	}
	for ; w.newest < at; w.newest++ {
		copy(w.counts[1:], w.counts)
		w.counts[0] = Counts{}
	}
}

func (w *window) sum() Counts {
	var sum Counts
	for _, c := range w.counts {
		sum = sum.Add(c)
	}
	return sum
}
