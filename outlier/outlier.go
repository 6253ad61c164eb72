package outlier

import (
	"time"

	"gonum.org/v1/gonum/stat/distuv"
)

// Counts are outcomes over a window.
type Counts struct {
	Trials, Failures float64
}

// Add returns the sum of two counts.
func (c Counts) Add(o Counts) Counts {
	return Counts{c.Trials + o.Trials, c.Failures + o.Failures}
}

// Rate returns the failures per trial.
func (c Counts) Rate() float64 {
	if c.Trials == 0 {
		return 0
	}
	return c.Failures / c.Trials
}

// Judge decides whether a target with the given counts is to be ejected,
// compared with its peers.
type Judge interface {
	Eject(own, peers Counts) bool
}

// Threshold ejects above a failure rate once there are enough trials.
type Threshold struct {
	MinTrials float64
	Rate      float64
}

// Eject implements Judge.
func (t Threshold) Eject(own, _ Counts) bool {
	return own.Trials >= t.MinTrials && own.Rate() >= t.Rate
}

// Binomial ejects when so many failures would be rarer than Alpha if the
// target were like its peers.
type Binomial struct {
	Alpha float64
	// Prior stands in for peers with few trials: what a healthy service shows,
	// so that a target without peers can be judged too.
	Prior Counts
	// MinRate spares a target whose rate is low in itself, however
	// significant the difference.
	MinRate float64
}

// Eject implements Judge.
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

// prior fades as peers speak for themselves: when all targets fail, none is an
// outlier.
func (b Binomial) prior(peers Counts) Counts {
	weight := max(0, 1-peers.Trials/b.Prior.Trials)
	return Counts{b.Prior.Trials * weight, b.Prior.Failures * weight}
}

// Options are the periods of a detector.
type Options struct {
	// Bucket is the width of one count; Buckets of them make the window.
	Bucket  time.Duration
	Buckets int
	// BaseEjection is how long a first ejection lasts; each further one in a
	// row doubles it up to MaxEjection.
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

// DefaultJudge returns the judge in use (see docs/DESIGN.md for the figures).
func DefaultJudge() Judge {
	return Binomial{Alpha: 1e-5, Prior: Counts{Trials: 200, Failures: 4}, MinRate: 0.2}
}

type window struct {
	counts []Counts
	// at is the index of the bucket in counts[0].
	at int64

	ejectedTill time.Time
	streak      int
}

// Detector keeps the windows of the targets of one host. It is not safe for
// concurrent use; its owner holds a lock.
type Detector struct {
	opts    Options
	judge   Judge
	targets map[string]*window
}

// New returns a detector without targets.
func New(opts Options, judge Judge) *Detector {
	return &Detector{opts: opts, judge: judge, targets: map[string]*window{}}
}

// Remove forgets a target.
func (d *Detector) Remove(target string) { delete(d.targets, target) }

// Report takes one outcome and tells whether the target is ejected by it.
func (d *Detector) Report(now time.Time, target string, failed bool) bool {
	w, ok := d.targets[target]
	if !ok {
		w = &window{}
		d.targets[target] = w
	}
	w.add(d.bucket(now), d.opts.Buckets, failed)
	if now.Before(w.ejectedTill) {
		return false
	}
	if !failed {
		d.calm(now, w)
		return false
	}
	if !d.fails(now, target, w) {
		return false
	}
	d.eject(now, w)
	return true
}

// fails tells whether a target is an outlier over any span up to now: one that has
// begun to fail a moment ago is not spared for having done well before. Its peers
// speak for the whole window, for in a short span they say little.
func (d *Detector) fails(now time.Time, target string, w *window) bool {
	var own Counts
	peers := d.peers(now, target)
	for _, bucket := range w.counts {
		own = own.Add(bucket)
		if bucket.Failures > 0 && d.judge.Eject(own, peers) {
			return true
		}
	}
	return false
}

func (d *Detector) bucket(now time.Time) int64 { return now.UnixNano() / int64(d.opts.Bucket) }

// calm ends a streak once a target has done well for a whole window.
func (d *Detector) calm(now time.Time, w *window) {
	span := d.opts.Bucket * time.Duration(d.opts.Buckets)
	if w.streak > 0 && now.Sub(w.ejectedTill) > span {
		w.streak = 0
	}
}

func (d *Detector) eject(now time.Time, w *window) {
	length := min(d.opts.BaseEjection<<w.streak, d.opts.MaxEjection)
	w.ejectedTill = now.Add(length)
	w.streak = min(w.streak+1, 8)
	// The window restarts: old failures must not eject again at once.
	w.counts = nil
}

// Counts returns the outcomes of a target in its window.
func (d *Detector) Counts(now time.Time, target string) Counts {
	w, ok := d.targets[target]
	if !ok {
		return Counts{}
	}
	w.advance(d.bucket(now), d.opts.Buckets)
	return w.sum()
}

// Ejected tells whether the target gets no new work.
func (d *Detector) Ejected(now time.Time, target string) bool {
	w, ok := d.targets[target]
	return ok && now.Before(w.ejectedTill)
}

func (d *Detector) peers(now time.Time, except string) Counts {
	var sum Counts
	at := d.bucket(now)
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
	if w.counts == nil || at-w.at >= int64(n) {
		w.counts, w.at = make([]Counts, n), at
		return
	}
	for ; w.at < at; w.at++ {
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
