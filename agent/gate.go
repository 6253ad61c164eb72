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

// gateInterval is how often queued requests, ejections and published loads are
// updated.
const gateInterval = 25 * time.Millisecond

// gateTarget is the address of a target and its parameters for admission.
type gateTarget struct {
	address string
	spec    admission.TargetSpec
}

// gate applies admission control and outlier detection to requests: it blocks
// each request until the controller decides whether and where it runs.
//
// Lock order: mu is a leaf lock.
type gate struct {
	now func() time.Time
	// loads holds the load reports that recentLoad returns. The map is replaced,
	// never modified.
	loads atomic.Pointer[map[route.ServiceID]serviceLoad]

	// mu guards the fields below.
	mu         sync.Mutex
	controller *admission.Controller
	detector   *outlier.Detector
	waiting    map[admission.Ticket]chan admission.Decision
	targets    map[string]gateTarget
	serviceIDs []route.ServiceID
	ejected    map[string]bool
	// ejectionsChanged reports whether an ejection began or ended since the last
	// tick.
	ejectionsChanged bool
}

func newGate(now func() time.Time, rnd *rand.Rand) *gate {
	return &gate{
		now:        now,
		controller: admission.New(admission.Defaults(), rnd),
		detector:   outlier.New(outlier.Defaults(), outlier.DefaultPolicy()),
		waiting:    map[admission.Ticket]chan admission.Decision{},
		targets:    map[string]gateTarget{},
		ejected:    map[string]bool{},
	}
}

// grant permits one request to run at a target until done is called.
type grant struct {
	gate    *gate
	ticket  admission.Ticket
	target  string
	address string
	once    sync.Once
}

// admit waits until the request may run. Its errors have the verdict NotRun.
func (g *gate) admit(ctx context.Context, o admission.Offer) (*grant, error) {
	d, wait := g.offer(o)
	if wait != nil {
		d = g.await(ctx, d.Ticket, wait)
	}
	if d.Action != admission.Run {
		return nil, refusalError(ctx, d)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return &grant{gate: g, ticket: d.Ticket, target: d.Target, address: g.targets[d.Target].address}, nil
}

func (g *gate) offer(o admission.Offer) (admission.Decision, chan admission.Decision) {
	g.mu.Lock()
	defer g.mu.Unlock()
	decisions := g.controller.Offer(g.now(), o)
	g.deliver(decisions[1:])
	decision := decisions[0]
	if decision.Action != admission.Wait {
		return decision, nil
	}
	ch := make(chan admission.Decision, 1)
	g.waiting[decision.Ticket] = ch
	return decision, ch
}

func (g *gate) await(ctx context.Context, t admission.Ticket, ch chan admission.Decision) admission.Decision {
	select {
	case d := <-ch:
		return d
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, pending := g.waiting[t]; !pending {
		// The decision was made before the cancellation. If it is a grant,
		// proxy.run detects the cancellation and releases it.
		return <-ch
	}
	delete(g.waiting, t)
	g.controller.Cancel(t)
	return admission.Decision{Ticket: t, Action: admission.Refuse, Reason: admission.Deadline}
}

// deliver passes decisions to the requests that wait for them. The caller
// holds mu.
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

func refusalError(ctx context.Context, d admission.Decision) error {
	if d.Reason == admission.Deadline {
		return notRunError(ctx)
	}
	return &verdict.Error{
		Verdict:    verdict.NotRun,
		Status:     http.StatusServiceUnavailable,
		Reason:     string(d.Reason),
		RetryAfter: d.RetryAfter,
	}
}

// done releases the grant and records the result of the request. Only the
// first call has an effect.
func (gr *grant) done(res admission.Result) {
	gr.once.Do(func() { gr.gate.finish(gr, res) })
}

// promote reclassifies the request as a stream.
func (gr *grant) promote() {
	gr.gate.mu.Lock()
	defer gr.gate.mu.Unlock()
	gr.gate.deliver(gr.gate.controller.Promote(gr.gate.now(), gr.ticket))
}

func (g *gate) finish(gr *grant, res admission.Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.deliver(g.controller.Done(now, gr.ticket, res))
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
			g.deliver(g.controller.RemoveTarget(now, name))
			g.detector.Remove(name)
			delete(g.ejected, name)
		}
	}
	g.targets = targets
	g.serviceIDs = slices.Collect(maps.Keys(services))
	for id, names := range services {
		g.deliver(g.controller.SetService(now, id, names))
	}
	for name := range targets {
		g.applyTarget(now, name)
	}
	g.publishLoads()
}

// serviceLoad is the load report of one service: its ready slots, and its load
// in thousandths of the limit.
type serviceLoad struct{ slots, busy int }

// publishLoads updates the load reports of all services. The caller holds mu.
func (g *gate) publishLoads() {
	loads := make(map[route.ServiceID]serviceLoad, len(g.serviceIDs))
	for _, id := range g.serviceIDs {
		slots, busy := g.controller.Slots(id)
		loads[id] = serviceLoad{slots, busy}
	}
	g.loads.Store(&loads)
}

// recentLoad returns a load report that is at most gateInterval old. It takes no
// lock, because it is called for every datagram to a caller.
func (g *gate) recentLoad(id route.ServiceID) serviceLoad {
	loads := g.loads.Load()
	if loads == nil {
		return serviceLoad{}
	}
	return (*loads)[id]
}

// applyTarget updates a target in the controller; an ejected target is not
// ready. The caller holds mu.
func (g *gate) applyTarget(now time.Time, name string) {
	spec := g.targets[name].spec
	spec.Ready = spec.Ready && !g.ejected[name]
	g.deliver(g.controller.SetTarget(now, name, spec))
}

// applyEjections updates the targets whose ejection began or ended. The caller
// holds mu.
func (g *gate) applyEjections(now time.Time) {
	for name := range g.targets {
		ejected := g.detector.Ejected(now, name)
		if ejected == g.ejected[name] {
			continue
		}
		g.ejected[name] = ejected
		g.ejectionsChanged = true
		g.applyTarget(now, name)
	}
}

// tick refuses requests that waited too long and ends ejections. It reports
// whether the ready slots of the host may have changed.
func (g *gate) tick() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.deliver(g.controller.Expire(now))
	g.applyEjections(now)
	g.publishLoads()
	changed := g.ejectionsChanged
	g.ejectionsChanged = false
	return changed
}

// slots returns the ready slots of a service and its load in thousandths of
// the limit.
func (g *gate) slots(id route.ServiceID) (slots, busy int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.controller.Slots(id)
}

// inProgress returns the numbers of requests and streams in progress at a
// target.
func (g *gate) inProgress(target string) (requests, streams int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.controller.InProgress(target)
}
