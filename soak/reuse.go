package soak

import (
	"math/rand/v2"
	"time"
)

// addressReuse is how long an address stays unused after the end of a target before one of another
// service starts there: the agents' default and a little more.
const addressReuse = 2*time.Second + 30*time.Millisecond

// addressReuser moves addresses of targets to other services beside agents that keep running. It draws from
// a source of its own, so that the other faults of a seed stay the same.
type addressReuser struct {
	site *site
	rec  *recorder
	rnd  *rand.Rand
	left int
	// vacant is the agent whose target has crashed, nil if there is none.
	vacant *packetAgent
}

func newAddressReuser(s *site, cfg Config, rec *recorder) *addressReuser {
	return &addressReuser{site: s, rec: rec, rnd: rand.New(rand.NewPCG(cfg.Seed, 2)), left: cfg.Reuses}
}

// step begins or ends a reuse. It is called between the other faults.
func (r *addressReuser) step() {
	switch {
	case r.vacant != nil:
		r.occupy()
	case r.left > 0 && r.rnd.IntN(2) == 0:
		r.vacate()
	}
}

// finish ends the reuse that has begun.
func (r *addressReuser) finish() {
	for r.vacant != nil {
		time.Sleep(10 * time.Millisecond)
		r.occupy()
	}
}

// vacate crashes a target. In half of the cases no client sends anything until the address is used again.
func (r *addressReuser) vacate() {
	n := pick(r.site.agents, r.rnd)
	quiet := r.rnd.IntN(2) == 0
	if !n.acceptsFault() || n.currentTarget() == nil || lastOfService(r.site, n) {
		return
	}
	r.left--
	r.vacant = n
	r.site.quiet.Store(quiet)
	if quiet {
		time.Sleep(time.Duration(r.rnd.Int64N(int64(2 * r.site.cfg.heartbeatPeriod()))))
	}
	r.rec.logEvent("target beside %s crashes, its address will be used again (quiet: %v)", n.name, quiet)
	n.crashTarget()
}

// occupy starts a target of another service at the vacant address once that may be used again. The
// settings of the agent change without a signal. If another fault has started a target there, the
// reuse ends without one.
func (r *addressReuser) occupy() {
	n := r.vacant
	reused := n.currentTarget() == nil
	if reused && time.Since(n.crashedAt) < addressReuse {
		return
	}
	r.vacant = nil
	defer r.site.quiet.Store(false)
	if !reused {
		return
	}
	n.service = (n.service + 1) % len(services)
	r.rec.logEvent("address of %s is used again by %s", n.name, services[n.service])
	if err := n.writeSettings(r.site.agentSettings(n)); err != nil {
		r.rec.addViolation("settings: %v", err)
	}
	if err := r.site.startTargetThatReports(n, time.Duration(r.rnd.Int64N(int64(r.site.cfg.heartbeatPeriod())))); err != nil {
		r.rec.addViolation("target: %v", err)
	}
}
