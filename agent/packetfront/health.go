package packetfront

import (
	"time"

	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/outlier"
)

// readmissionWarmup is how long a target counts as warming after an ejection, so that it
// gets its share back gradually.
const readmissionWarmup = 2 * time.Second

// onlyTarget names the one target in its detector.
const onlyTarget = "target"

// health judges the target by the outcomes of its requests: answers that say that it
// has failed, and resets. A target that fails quickly looks idle, and would draw more
// work than any other. One that is slow or does not answer needs no judge: what it
// owes counts as load, and the limit of its load keeps new flows away.
//
// The agent sees one target only, so the judgement is against what a healthy service
// shows (outlier.Binomial's prior). When most targets of a service fail alike the
// balancers pay no heed to it (ejectable).
//
// A target that ends without a word takes with it what it was given, and one that has
// ended so a moment ago is likelier than others to end again. It proves itself: it
// counts as ejected for a time after each such start, longer after each relapse.
type health struct {
	detector *outlier.Detector
	ejected  bool
	// readmittedAt is when the last ejection ended.
	readmittedAt time.Time
	// crashes counts the unplanned crashes in a row, lastEnd is when the last one was seen;
	// provenAt is when the target has been up for long enough since.
	crashes      int
	lastCrash    time.Time
	probationEnd time.Time
}

// Times of the proof of a target that has ended unplanned.
const (
	// minProbation is how long it has to stay up after the first end, as long as a target
	// is slow after its start anyway; each further end in a row doubles it up to
	// mostProof. Of the writes to targets that go down and up each 0.8 s 0.10% are lost
	// with it and 0.25% without (model, pattern "flap").
	minProbation = 2 * time.Second
	maxProbation = 30 * time.Second
	// crashMemory is how long after an end another one counts as a relapse: a target that
	// has stayed up for the longest proof starts over.
	crashMemory = 30 * time.Second
)

// recordCrash notes an end without a word.
func (h *health) recordCrash(now time.Time) {
	if now.Sub(h.lastCrash) > crashMemory {
		h.crashes = 0
	}
	h.crashes++
	h.lastCrash = now
}

// recordRestart notes that the target is up, and tells how long it has to prove itself;
// zero where it has not ended lately.
func (h *health) recordRestart(now time.Time) time.Duration {
	if h.crashes == 0 || now.Sub(h.lastCrash) > crashMemory {
		return 0
	}
	proof := min(minProbation<<min(h.crashes-1, maxDoublings), maxProbation)
	h.probationEnd, h.ejected = now.Add(proof), true
	return proof
}

// maxDoublings keeps the doubled time in range.
const maxDoublings = 8

func newHealth() health {
	return health{detector: outlier.New(outlier.Defaults(), outlier.DefaultPolicy())}
}

// recordAnswerOutcome takes the answer to a request. That a target sheds what it would have to
// queue is no fault of its own; it is where it has slots.
func (c *Core) recordAnswerOutcome(now time.Time, r *record, a flow.Answer) {
	if a == flow.AnswerShed && r.concurrent > c.target.slots() {
		c.events.Failed()
		return
	}
	c.recordOutcome(now, a != flow.AnswerCompleted)
}

// recordOutcome takes the recordOutcome of a request.
func (c *Core) recordOutcome(now time.Time, failed bool) {
	if failed {
		c.events.Failed()
	}
	before := c.health.detector.Counts(now, onlyTarget)
	if !c.health.detector.Report(now, onlyTarget, failed) {
		return
	}
	c.health.ejected = true
	c.events.Ejected(true, int(before.Trials)+1, int(before.Failures)+1)
	c.announceChange(now)
}

// checkHealth ends an ejection whose time is over.
func (c *Core) checkHealth(now time.Time) {
	if !c.health.ejected || c.health.detector.Ejected(now, onlyTarget) || now.Before(c.health.probationEnd) {
		return
	}
	c.health.ejected, c.health.readmittedAt = false, now
	c.events.Ejected(false, 0, 0)
	c.announceChange(now)
}

// warmup is how long the target is to get less than its share: it says so itself
// after its start, or comes back from an ejection.
func (c *Core) warmup(now time.Time) time.Duration {
	comeback := c.health.readmittedAt.Add(readmissionWarmup).Sub(now)
	return max(c.target.warmup(now), comeback, 0)
}
