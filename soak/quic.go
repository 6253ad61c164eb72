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

// RunQUIC runs one seed against the QUIC front. An error is a failure of the run
// itself.
func RunQUIC(cfg Config) (Report, error) {
	rec := &recorder{report: Report{Seed: cfg.Seed}, began: time.Now()}
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
			c.work(done)
		}()
	}
	wg.Add(1)
	go func() {
		defer wg.Done()
		watchRevisions(s, rec, done)
	}()
	inject(s, cfg, quicFaults, rand.New(rand.NewPCG(cfg.Seed, 1)), rec)
	undrainAll(s, rec)
	time.Sleep(settle)
	close(done)
	wg.Wait()
	for _, c := range callers {
		c.finish()
	}
	checkRevision(s, rec)
	for _, c := range callers {
		c.checkRuns()
	}
	return rec.report, nil
}

// quicFaults are all kinds for the QUIC front.
var quicFaults = append(systemFaults[*quicSite](),
	fault[*quicSite]{"target crashes", crashTarget},
	fault[*quicSite]{"target freezes", misbehave(func(t *standin.Target, on bool) { t.Frozen.Store(on) })},
	fault[*quicSite]{"target fails", misbehave(func(t *standin.Target, on bool) { t.FailAll.Store(on) })},
	fault[*quicSite]{"target dies in the middle of answers", misbehave(func(t *standin.Target, on bool) { t.DieMidAnswer.Store(on) })},
	fault[*quicSite]{"target stops announcing itself", misbehave(func(t *standin.Target, on bool) { t.Silent.Store(on) })},
	fault[*quicSite]{"host drains", drainTarget},
	fault[*quicSite]{"configuration changes", func(s *quicSite, rnd *rand.Rand, rec *recorder) func() {
		s.relabel(pick(s.agents, rnd), rec)
		return nil
	}},
	fault[*quicSite]{"all balancers killed", func(s *quicSite, _ *rand.Rand, rec *recorder) func() {
		var ends []func()
		for _, n := range s.balancers {
			if end := restart(n, syscall.SIGKILL, rec); end != nil {
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

// crashTarget ends a target without a word; another one follows.
func crashTarget(s *quicSite, rnd *rand.Rand, rec *recorder) func() {
	n := pick(s.agents, rnd)
	if n.current() == nil || s.lastOfService(n) {
		return nil
	}
	rec.note("target beside %s crashes", n.name)
	n.crashTarget()
	return func() {
		if err := s.startTarget(n); err != nil {
			rec.violate("target: %v", err)
		}
	}
}

// misbehave lets a target do something wrong for a while.
func misbehave(set func(t *standin.Target, on bool)) func(*quicSite, *rand.Rand, *recorder) func() {
	return func(s *quicSite, rnd *rand.Rand, rec *recorder) func() {
		n := pick(s.agents, rnd)
		t := n.current()
		if t == nil || s.lastOfService(n) {
			return nil
		}
		rec.note("target beside %s", n.name)
		n.spoil(true)
		set(t, true)
		return func() {
			set(t, false)
			n.spoil(false)
		}
	}
}

// drainTarget lets an operator drain a host until the faults are over: what must
// not happen takes longer to be seen than other faults last.
func drainTarget(s *quicSite, rnd *rand.Rand, rec *recorder) func() {
	n := pick(s.agents, rnd)
	if !n.drained().IsZero() || s.lastOfService(n) {
		return nil
	}
	if s.drain(n, true) {
		rec.note("%s drains", n.host)
	}
	return nil
}

func undrainAll(s *quicSite, rec *recorder) {
	for _, n := range s.agents {
		if n.drained().IsZero() {
			continue
		}
		rec.note("%s drains no more", n.host)
		if !s.drain(n, false) {
			rec.violate("%s: the store refuses a change after the faults", n.host)
		}
	}
}

// relabel changes something that no selector heeds.
func (s *quicSite) relabel(n *targetNode, rec *recorder) {
	edit := change.EditTarget(s.store, n.host, "", func(t *catalog.Target) {
		t.Labels = catalog.Labels{"tried": strconv.Itoa(int(s.revision))}
	})
	if err := s.accepted(s.applier().Edit(context.Background(), edit)); err != nil {
		rec.note("change not accepted: %v", err)
	}
}

// lastOfService tells whether a service would be left without a target that takes
// new work.
func (s *quicSite) lastOfService(n *targetNode) bool {
	for _, other := range s.agents {
		if other != n && other.service == n.service && other.current() != nil && other.drained().IsZero() {
			return false
		}
	}
	return true
}

// watchRevisions checks that no balancer's configuration goes back during its
// process's life.
func watchRevisions(s *quicSite, rec *recorder, done chan struct{}) {
	seen := map[*node]catalog.Revision{}
	life := map[*node]time.Time{}
	for {
		select {
		case <-done:
			return
		case <-time.After(200 * time.Millisecond):
		}
		for _, n := range s.balancers {
			since := time.Unix(0, n.cutAt.Load())
			revision, ok := revisionOf(n)
			if !ok || n.cutSince(since.Add(1)) {
				continue
			}
			if life[n].Equal(since) && revision < seen[n] {
				rec.violate("%s went back from revision %d to %d", n.name, seen[n], revision)
			}
			seen[n], life[n] = revision, since
		}
	}
}

// checkRevision makes a change and looks for it at every balancer.
func checkRevision(s *quicSite, rec *recorder) {
	s.relabel(s.agents[0], rec)
	time.Sleep(configTime)
	for _, n := range s.balancers {
		if revision, _ := revisionOf(n); revision < s.revision {
			rec.violate("%s: revision %d is not in force, but %d", n.name, s.revision, revision)
		}
	}
}

// revisionOf reads a balancer's revision from its metrics; false when it does not
// answer.
func revisionOf(n *node) (catalog.Revision, bool) {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + at(n.addr, portMetrics) + "/metrics")
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
