package agent

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/poppywall/poppywall/admission"
	"github.com/poppywall/poppywall/outlier"
	"github.com/poppywall/poppywall/route"
	"github.com/poppywall/poppywall/verdict"
)

// gatePeriod is how often waiting requests and ejections are looked at.
const gatePeriod = 25 * time.Millisecond

// gateTarget is a target as the gate sees it.
type gateTarget struct {
	address string
	spec    admission.TargetSpec
}

// gate is the shell around admission and outlier detection: it makes requests
// wait for the controller's decisions.
//
// Lock order: mu is a leaf lock.
type gate struct {
	now func() time.Time
	// loads is what published returns, replaced whole.
	loads atomic.Pointer[map[route.ServiceID]serviceLoad]

	// mu guards what follows.
	mu       sync.Mutex
	ctrl     *admission.Controller
	detector *outlier.Detector
	waiting  map[admission.Ticket]chan admission.Decision
	targets  map[string]gateTarget
	services []route.ServiceID
	ejected  map[string]bool
	// changed tells that an ejection began or ended since the last look.
	changed bool
}

func newGate(now func() time.Time, rnd *rand.Rand) *gate {
	return &gate{
		now:      now,
		ctrl:     admission.New(admission.Defaults(), rnd),
		detector: outlier.New(outlier.Defaults(), outlier.DefaultPolicy()),
		waiting:  map[admission.Ticket]chan admission.Decision{},
		targets:  map[string]gateTarget{},
		ejected:  map[string]bool{},
	}
}

// grant is the right to run one request at a target. It ends with done.
type grant struct {
	gate    *gate
	ticket  admission.Ticket
	target  string
	address string
	once    sync.Once
}

// enter waits until the request may run. The error carries verdict.NotRun.
func (g *gate) enter(ctx context.Context, o admission.Offer) (*grant, error) {
	d, wait := g.offer(o)
	if wait != nil {
		d = g.await(ctx, d.Ticket, wait)
	}
	if d.Action != admission.Run {
		return nil, refusal(ctx, d)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return &grant{gate: g, ticket: d.Ticket, target: d.Target, address: g.targets[d.Target].address}, nil
}

func (g *gate) offer(o admission.Offer) (admission.Decision, chan admission.Decision) {
	g.mu.Lock()
	defer g.mu.Unlock()
	decisions := g.ctrl.Offer(g.now(), o)
	g.deliver(decisions[1:])
	own := decisions[0]
	if own.Action != admission.Wait {
		return own, nil
	}
	ch := make(chan admission.Decision, 1)
	g.waiting[own.Ticket] = ch
	return own, ch
}

func (g *gate) await(ctx context.Context, t admission.Ticket, ch chan admission.Decision) admission.Decision {
	select {
	case d := <-ch:
		return d
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, still := g.waiting[t]; !still {
		// The decision came first; a granted one is given back by run.
		return <-ch
	}
	delete(g.waiting, t)
	g.ctrl.Cancel(t)
	return admission.Decision{Ticket: t, Action: admission.Refuse, Reason: admission.Deadline}
}

// deliver hands decisions to waiting requests; it runs under mu.
func (g *gate) deliver(decisions []admission.Decision) {
	for _, d := range decisions {
		ch, ok := g.waiting[d.Ticket]
		if !ok {
			continue
		}
		delete(g.waiting, d.Ticket)
		ch <- d
	}
}

func refusal(ctx context.Context, d admission.Decision) error {
	if d.Reason == admission.Deadline {
		return notRunInTime(ctx)
	}
	return &verdict.Error{
		Verdict:    verdict.NotRun,
		Status:     http.StatusServiceUnavailable,
		Reason:     string(d.Reason),
		RetryAfter: d.RetryAfter,
	}
}

// done ends the grant; further calls do nothing.
func (gr *grant) done(res admission.Result) {
	gr.once.Do(func() { gr.gate.finish(gr, res) })
}

// promote turns the request into a stream.
func (gr *grant) promote() {
	gr.gate.mu.Lock()
	defer gr.gate.mu.Unlock()
	gr.gate.deliver(gr.gate.ctrl.Promote(gr.gate.now(), gr.ticket))
}

func (g *gate) finish(gr *grant, res admission.Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.deliver(g.ctrl.Done(now, gr.ticket, res))
	if res.Outcome == admission.Succeeded || res.Outcome == admission.Failed {
		g.detector.Report(now, gr.target, res.Outcome == admission.Failed)
		g.applyEjections(now)
	}
}

// setTargets replaces the targets and services of this host.
func (g *gate) setTargets(targets map[string]gateTarget, services map[route.ServiceID][]string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	for name := range g.targets {
		if _, ok := targets[name]; !ok {
			g.deliver(g.ctrl.RemoveTarget(now, name))
			g.detector.Remove(name)
			delete(g.ejected, name)
		}
	}
	g.targets = targets
	g.services = slices.Collect(maps.Keys(services))
	for id, names := range services {
		g.deliver(g.ctrl.SetService(now, id, names))
	}
	for name := range targets {
		g.applyTarget(now, name)
	}
	g.publish()
}

// serviceLoad is the load reading of one service.
type serviceLoad struct{ slots, busy int }

// publish takes the readings of all services; it runs under mu.
func (g *gate) publish() {
	loads := make(map[route.ServiceID]serviceLoad, len(g.services))
	for _, id := range g.services {
		slots, busy := g.ctrl.Slots(id)
		loads[id] = serviceLoad{slots, busy}
	}
	g.loads.Store(&loads)
}

// published returns a reading that is at most a gatePeriod old. It takes no
// lock: every datagram to a caller carries one.
func (g *gate) published(id route.ServiceID) serviceLoad {
	loads := g.loads.Load()
	if loads == nil {
		return serviceLoad{}
	}
	return (*loads)[id]
}

// applyTarget gives one target to the controller, with its ejection; it runs
// under mu.
func (g *gate) applyTarget(now time.Time, name string) {
	spec := g.targets[name].spec
	spec.Ready = spec.Ready && !g.ejected[name]
	g.deliver(g.ctrl.SetTarget(now, name, spec))
}

// applyEjections runs under mu.
func (g *gate) applyEjections(now time.Time) {
	for name := range g.targets {
		out := g.detector.Ejected(now, name)
		if out == g.ejected[name] {
			continue
		}
		g.ejected[name] = out
		g.changed = true
		g.applyTarget(now, name)
	}
}

// tick refuses what waited too long and lets ejections end. It tells whether
// the slots of the host may have changed.
func (g *gate) tick() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.deliver(g.ctrl.Expire(now))
	g.applyEjections(now)
	g.publish()
	changed := g.changed
	g.changed = false
	return changed
}

// slots returns the ready slots of a service and its load.
func (g *gate) slots(id route.ServiceID) (slots, busy int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ctrl.Slots(id)
}

// inProgress returns the requests and streams at a target.
func (g *gate) inProgress(target string) (requests, streams int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ctrl.InProgress(target)
}
