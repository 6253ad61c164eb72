package soak

import (
	"bufio"
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/poppywall/poppywall/catalog"
	"github.com/poppywall/poppywall/change"
	"github.com/poppywall/poppywall/standin"
)

// RunQUIC runs one seed against the QUIC front. An error means that the run itself
// failed.
func RunQUIC(cfg Config) (Report, error) {
	rec := &recorder{report: Report{Seed: cfg.Seed}, startedAt: time.Now()}
	s, err := newQUICSite(cfg)
	if err != nil {
		return rec.report, err
	}
	defer s.stop()
	if err := s.waitHealthy(); err != nil {
		return rec.report, err
	}
	callers := newCallers(s, rec)
	var wg sync.WaitGroup
	done := make(chan struct{})
	for _, c := range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.run(done)
		}()
	}
	wg.Add(1)
	go func() {
		defer wg.Done()
		watchRevisions(s, rec, done)
	}()
	injectFaults(s, cfg, quicFaults, rand.New(rand.NewPCG(cfg.Seed, 1)), rec, func() {})
	undrainAll(s, rec)
	time.Sleep(settleTime)
	close(done)
	wg.Wait()
	for _, c := range callers {
		c.checkConnections()
	}
	checkRevision(s, rec)
	for _, c := range callers {
		c.checkExecutions()
	}
	return rec.report, nil
}

// quicFaults are the faults for the QUIC front. Each is equally likely.
var quicFaults = append(commonFaults[*quicSite](),
	fault[*quicSite]{"target crashes", crashTarget},
	fault[*quicSite]{"target freezes", targetFault(func(t *standin.Target, on bool) { t.Frozen.Store(on) })},
	fault[*quicSite]{"target fails", targetFault(func(t *standin.Target, on bool) { t.FailAll.Store(on) })},
	fault[*quicSite]{"target dies in the middle of answers", targetFault(func(t *standin.Target, on bool) { t.AbortMidResponse.Store(on) })},
	fault[*quicSite]{"target stops announcing itself", targetFault(func(t *standin.Target, on bool) { t.StopAnnouncing.Store(on) })},
	fault[*quicSite]{"host drains", drainTarget},
	fault[*quicSite]{"configuration changes", func(s *quicSite, rnd *rand.Rand, rec *recorder) func() {
		s.relabel(pick(s.agents, rnd), rec)
		return nil
	}},
	fault[*quicSite]{"all balancers killed", func(s *quicSite, _ *rand.Rand, rec *recorder) func() {
		var ends []func()
		for _, n := range s.balancers {
			if end := restartProcess(n, syscall.SIGKILL, rec); end != nil {
				ends = append(ends, end)
			}
		}
		return func() {
			for _, end := range ends {
				end()
			}
		}
	}},
)

// crashTarget ends a target without deregistration and starts a new one later.
func crashTarget(s *quicSite, rnd *rand.Rand, rec *recorder) func() {
	n := pick(s.agents, rnd)
	if n.currentTarget() == nil || s.lastOfService(n) {
		return nil
	}
	rec.logEvent("target beside %s crashes", n.name)
	n.crashTarget()
	return func() {
		if err := s.startTarget(n); err != nil {
			rec.addViolation("target: %v", err)
		}
	}
}

// targetFault makes a target misbehave for a while.
func targetFault(set func(t *standin.Target, on bool)) func(*quicSite, *rand.Rand, *recorder) func() {
	return func(s *quicSite, rnd *rand.Rand, rec *recorder) func() {
		n := pick(s.agents, rnd)
		t := n.currentTarget()
		if t == nil || s.lastOfService(n) {
			return nil
		}
		rec.logEvent("affects the target beside %s", n.name)
		n.setMisbehaving(true)
		set(t, true)
		return func() {
			set(t, false)
			n.setMisbehaving(false)
		}
	}
}

// drainTarget drains a host by a change of the configuration, until all faults are
// over: a new connection violates the drain only after drainGrace, which is longer
// than other faults last.
func drainTarget(s *quicSite, rnd *rand.Rand, rec *recorder) func() {
	n := pick(s.agents, rnd)
	if !n.drainingSince().IsZero() || s.lastOfService(n) {
		return nil
	}
	if s.drain(n, true) {
		rec.logEvent("%s drains", n.host)
	}
	return nil
}

func undrainAll(s *quicSite, rec *recorder) {
	for _, n := range s.agents {
		if n.drainingSince().IsZero() {
			continue
		}
		rec.logEvent("%s no longer drains", n.host)
		if !s.drain(n, false) {
			rec.addViolation("%s: the end of its drain was not accepted after the faults", n.host)
		}
	}
}

// relabel changes a label that no selector uses.
func (s *quicSite) relabel(n *quicAgent, rec *recorder) {
	edit := change.EditTarget(s.store, n.host, "", func(t *catalog.Target) {
		t.Labels = catalog.Labels{"tried": strconv.Itoa(int(s.revision))}
	})
	if err := s.checkAccepted(s.applier().Edit(context.Background(), edit)); err != nil {
		rec.logEvent("change not accepted: %v", err)
	}
}

// lastOfService reports whether the service of n would have no other target that
// accepts new work.
func (s *quicSite) lastOfService(n *quicAgent) bool {
	for _, other := range s.agents {
		if other != n && other.service == n.service && other.currentTarget() != nil && other.drainingSince().IsZero() {
			return false
		}
	}
	return true
}

// watchRevisions checks that no balancer returns to an earlier configuration within
// one incarnation of its process.
func watchRevisions(s *quicSite, rec *recorder, done chan struct{}) {
	seen := map[*node]catalog.Revision{}
	incarnation := map[*node]time.Time{}
	for {
		select {
		case <-done:
			return
		case <-time.After(200 * time.Millisecond):
		}
		for _, n := range s.balancers {
			since := time.Unix(0, n.interruptedAt.Load())
			revision, ok := revisionOf(n)
			if !ok || n.interruptedSince(since.Add(1)) {
				continue
			}
			if incarnation[n].Equal(since) && revision < seen[n] {
				rec.addViolation("%s returned from revision %d to %d", n.name, seen[n], revision)
			}
			seen[n], incarnation[n] = revision, since
		}
	}
}

// checkRevision makes a change and checks that it is in force at every balancer.
func checkRevision(s *quicSite, rec *recorder) {
	s.relabel(s.agents[0], rec)
	time.Sleep(configTimeout)
	for _, n := range s.balancers {
		if revision, _ := revisionOf(n); revision < s.revision {
			rec.addViolation("%s: revision %d is not in force, revision %d is", n.name, s.revision, revision)
		}
	}
}

// revisionOf returns the configuration revision in a balancer's metrics, or false if
// it cannot be read.
func revisionOf(n *node) (catalog.Revision, bool) {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + hostPort(n.addr, portMetrics) + "/metrics")
	if err != nil {
		return 0, false
	}
	defer func() { _ = resp.Body.Close() }()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if text, ok := strings.CutPrefix(lines.Text(), "poppywall_balancer_configuration_revision "); ok {
			v, err := strconv.ParseFloat(text, 64)
			return catalog.Revision(v), err == nil
		}
	}
	return 0, false
}
