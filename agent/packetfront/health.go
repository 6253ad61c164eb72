package packetfront

import (
	"time"

	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/outlier"
)

// readmissionWarmup is how long a target counts as warming up after an ejection, so that its
// share grows back gradually.
const readmissionWarmup = 2 * time.Second

// onlyTarget is the key of the agent's one target in its outlier detector.
const onlyTarget = "target"

// health ejects a target that fails requests, by error answers and by resets. A target that
// fails quickly looks idle and would attract more requests than any other. A slow or hanging
// target is not ejected: its unanswered requests count as load, and the load limit keeps new
// flows away.
//
// The agent sees one target only, so it compares against what a healthy service shows (the
// prior of outlier.Binomial). When many targets of a service fail alike, so that more than a third
// of them are ejected, the balancers ignore the ejections (honorsEjections and maxEjectedShare in
// balancer/packetfront).
//
// A target that crashes loses the requests it has, and a target that has just crashed is more
// likely than others to crash again. So each restart after a crash begins with a probation, in
// which the target counts as ejected; it gets longer with each crash in a row.
type health struct {
	detector *outlier.Detector
	ejected  bool
	// readmittedAt is when the last ejection ended.
	readmittedAt time.Time
	// crashes counts the crashes in a row, lastCrash is when the last one was seen;
	// probationEnd is when the probation after it ends.
	crashes      int
	lastCrash    time.Time
	probationEnd time.Time
}

// Durations of the probation after a crash.
const (
	// minProbation is the probation after the first crash, as long as a target is slow after
	// its start anyway; each further crash in a row doubles it, up to maxProbation. With it,
	// 0.10% of the writes to targets that flap every 0.8 s are lost, without it 0.25%
	// (package model, pattern "flap").
	minProbation = 2 * time.Second
	maxProbation = 30 * time.Second
	// crashMemory is how long a crash counts: a target that has stayed up for the longest
	// probation starts again with the shortest one.
	crashMemory = 30 * time.Second
)

// recordCrash records that the target ended without deregistering.
func (h *health) recordCrash(now time.Time) {
	if now.Sub(h.lastCrash) > crashMemory {
		h.crashes = 0
	}
	h.crashes++
	h.lastCrash = now
}

// recordRestart records that the target is up and returns the length of its probation, zero
// if it has not crashed lately.
func (h *health) recordRestart(now time.Time) time.Duration {
	if h.crashes == 0 || now.Sub(h.lastCrash) > crashMemory {
		return 0
	}
	probation := min(minProbation<<min(h.crashes-1, maxDoublings), maxProbation)
	h.probationEnd, h.ejected = now.Add(probation), true
	return probation
}

// maxDoublings keeps the doubled probation within the range of time.Duration.
const maxDoublings = 8

func newHealth() health {
	return health{detector: outlier.New(outlier.Defaults(), outlier.DefaultPolicy())}
}

// recordAnswerOutcome records whether an answer is a failure. A target that sheds a request
// beyond its slots is not at fault; one that sheds with a free slot is.
func (c *Core) recordAnswerOutcome(now time.Time, r *record, a flow.Answer) {
	if a == flow.AnswerShed && r.concurrent > c.target.slots() {
		c.events.RequestFailed()
		return
	}
	c.recordOutcome(now, a != flow.AnswerCompleted)
}

// recordOutcome records whether a request failed, and ejects the target if too many did.
func (c *Core) recordOutcome(now time.Time, failed bool) {
	if failed {
		c.events.RequestFailed()
	}
	counts := c.health.detector.Counts(now, onlyTarget)
	if !c.health.detector.Report(now, onlyTarget, failed) {
		return
	}
	c.health.ejected = true
	c.events.Ejected(true, int(counts.Trials)+1, int(counts.Failures)+1)
	c.announceChange(now)
}

// checkHealth ends an ejection, or a probation, whose time is over.
func (c *Core) checkHealth(now time.Time) {
	if !c.health.ejected || c.health.detector.Ejected(now, onlyTarget) || now.Before(c.health.probationEnd) {
		return
	}
	c.health.ejected, c.health.readmittedAt = false, now
	c.events.Ejected(false, 0, 0)
	c.announceChange(now)
}

// warmup returns how long the target still gets less than its share of new flows: for the
// warm-up that it reports after its start, or because it was readmitted after an ejection.
func (c *Core) warmup(now time.Time) time.Duration {
	readmission := c.health.readmittedAt.Add(readmissionWarmup).Sub(now)
	return max(c.target.warmup(now), readmission, 0)
}
