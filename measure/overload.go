package measure

import (
	"container/heap"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"text/tabwriter"
	"time"

	"github.com/poppywall/poppywall/admission"
)

// WorkspaceLoad is the load that one workspace offers.
type WorkspaceLoad struct {
	Name   string
	Weight int
	// PerSecond is the rate of first attempts.
	PerSecond float64
	// Work is the service time of a request in a slot of its own.
	Work time.Duration
}

// OverloadOptions are the options of one simulation of admission control.
type OverloadOptions struct {
	Workspaces []WorkspaceLoad
	Targets    int
	// Slots is the number of requests that a target serves at full speed at the
	// same time. With more, all get an equal share of the slots, and the total
	// rate falls by the factor 1 + Overhead * (requests - Slots) / Slots.
	Slots    int
	Overhead float64
	// MaxRequests is the configured limit of concurrent requests at a target.
	MaxRequests int
	// Timeout is the time from a request's arrival to its caller's deadline.
	Timeout time.Duration
	// Retries is how often a refused request is retried: after the refusal's
	// RetryAfter if HonorRetryAfter is set, otherwise after 1 ms.
	Retries         int
	HonorRetryAfter bool
	Length          time.Duration
	Seed            uint64
	// Admission enables admission control. Without it each request is sent to the
	// target with the fewest requests at once, for comparison.
	Admission bool
}

// DefaultOverload returns the options of a service with 2 targets of 5 slots. With
// 10 ms of work per request its capacity is 1,000 requests per second.
func DefaultOverload() OverloadOptions {
	return OverloadOptions{
		Targets:     2,
		Slots:       5,
		Overhead:    0.05,
		MaxRequests: 80,
		Timeout:     time.Second,
		Length:      20 * time.Second,
		Seed:        1,
		Admission:   true,
	}
}

// OverloadResult holds the rates of requests by outcome.
type OverloadResult struct {
	// Goodput is the rate of requests that were completed within Timeout by
	// workspace, TotalGoodput that of all workspaces.
	Goodput          map[string]float64
	TotalGoodput     float64
	RefusedPerSecond float64
	LatePerSecond    float64
	// SlowestRefusal is the longest time from an attempt to its refusal.
	SlowestRefusal time.Duration
}

// RunOverload simulates one load.
func RunOverload(o OverloadOptions) OverloadResult {
	s := newOverloadSim(o)
	s.run()
	return s.result()
}

const (
	overloadService = 1
	expireEvery     = 25 * time.Millisecond
)

type eventKind uint8

const (
	eventArrive eventKind = iota
	eventExpire
)

type event struct {
	at        time.Time
	kind      eventKind
	workspace int
	attempt   int
	seq       int
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].seq < q[j].seq
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

type overloadSim struct {
	opts            OverloadOptions
	rnd             *rand.Rand
	controller      *admission.Controller
	events          eventQueue
	seq             int
	now             time.Time
	queued          map[admission.Ticket]*job
	servers         []server
	completedInTime map[string]float64
	refused         float64
	late            float64
	slowestRefusal  time.Duration
}

func newOverloadSim(o OverloadOptions) *overloadSim {
	s := &overloadSim{
		opts:            o,
		rnd:             rand.New(rand.NewPCG(o.Seed, 3)),
		now:             simStart,
		queued:          map[admission.Ticket]*job{},
		completedInTime: map[string]float64{},
	}
	s.controller = admission.New(admission.Defaults(), s.rnd)
	var names []string
	for i := range o.Targets {
		name := targetName(i)
		names = append(names, name)
		spec := admission.TargetSpec{Slots: o.Slots, Requests: o.MaxRequests, Streams: 1, Ready: true}
		s.controller.SetTarget(s.now, name, spec)
		s.servers = append(s.servers, server{})
	}
	s.controller.SetService(s.now, overloadService, names)
	for i := range o.Workspaces {
		s.push(event{at: s.nextArrival(i), kind: eventArrive, workspace: i})
	}
	s.push(event{at: s.now.Add(expireEvery), kind: eventExpire})
	return s
}

func targetName(i int) string { return fmt.Sprintf("target-%03d", i) }

func (s *overloadSim) push(e event) {
	s.seq++
	e.seq = s.seq
	heap.Push(&s.events, e)
}

func (s *overloadSim) nextArrival(workspace int) time.Time {
	gap := s.rnd.ExpFloat64() / s.opts.Workspaces[workspace].PerSecond
	return s.now.Add(time.Duration(gap * float64(time.Second)))
}

func (s *overloadSim) run() {
	end := simStart.Add(s.opts.Length)
	for s.now.Before(end) {
		next := s.events[0].at
		if at, ok := s.nextCompletion(); ok && at.Before(next) {
			s.advance(at)
			s.completeJobs()
			continue
		}
		s.advance(next)
		s.handleEvent(heap.Pop(&s.events).(event))
	}
}

// requestSpeed returns the speed at which each of n requests at a target
// progresses, relative to a request in a slot of its own.
func (s *overloadSim) requestSpeed(n int) float64 {
	if n <= s.opts.Slots {
		return 1
	}
	surplus := float64(n-s.opts.Slots) / float64(s.opts.Slots)
	return float64(s.opts.Slots) / float64(n) / (1 + s.opts.Overhead*surplus)
}

// nextCompletion returns when the next job completes, or false if none is being
// served.
func (s *overloadSim) nextCompletion() (time.Time, bool) {
	soonest := math.Inf(1)
	for i := range s.servers {
		if sv := &s.servers[i]; len(sv.jobs) > 0 {
			soonest = min(soonest, (sv.jobs[0].virtualFinish-sv.virtualTime)/s.requestSpeed(len(sv.jobs)))
		}
	}
	if math.IsInf(soonest, 1) {
		return time.Time{}, false
	}
	return s.now.Add(time.Duration(max(soonest, 0)*float64(time.Second)) + 1), true
}

// advance moves the simulated time forward, and with it the virtual time of each
// server.
func (s *overloadSim) advance(to time.Time) {
	dt := to.Sub(s.now).Seconds()
	for i := range s.servers {
		sv := &s.servers[i]
		sv.virtualTime += dt * s.requestSpeed(len(sv.jobs))
	}
	s.now = to
}

func (s *overloadSim) completeJobs() {
	for i := range s.servers {
		sv := &s.servers[i]
		for len(sv.jobs) > 0 && sv.jobs[0].virtualFinish <= sv.virtualTime {
			j := heap.Pop(&sv.jobs).(*job)
			s.recordCompletion(j)
			if s.opts.Admission {
				res := admission.Result{Outcome: admission.Succeeded, Comparable: true}
				s.applyDecisions(s.controller.Done(s.now, j.ticket, res))
			}
		}
	}
}

func (s *overloadSim) recordCompletion(j *job) {
	if s.now.Sub(j.arrivedAt) > s.opts.Timeout {
		s.late++
		return
	}
	s.completedInTime[s.opts.Workspaces[j.workspace].Name]++
}

func (s *overloadSim) handleEvent(e event) {
	switch e.kind {
	case eventExpire:
		s.applyDecisions(s.controller.Expire(s.now))
		s.push(event{at: s.now.Add(expireEvery), kind: eventExpire})
	case eventArrive:
		if e.attempt == 0 {
			s.push(event{at: s.nextArrival(e.workspace), kind: eventArrive, workspace: e.workspace})
		}
		s.handleArrival(e)
	}
}

func (s *overloadSim) handleArrival(e event) {
	workspace := s.opts.Workspaces[e.workspace]
	j := &job{workspace: e.workspace, attempt: e.attempt, arrivedAt: s.now, work: workspace.Work}
	if !s.opts.Admission {
		s.seq++
		j.ticket = admission.Ticket(s.seq)
		s.servers[s.leastBusy()].add(j)
		return
	}
	decisions := s.controller.Offer(s.now, admission.Offer{
		Service:   overloadService,
		Workspace: workspace.Name,
		Weight:    workspace.Weight,
		Deadline:  s.now.Add(s.opts.Timeout),
	})
	j.ticket = decisions[0].Ticket
	s.queued[j.ticket] = j
	s.applyDecisions(decisions)
}

func (s *overloadSim) leastBusy() int {
	best := 0
	for i := range s.servers {
		if len(s.servers[i].jobs) < len(s.servers[best].jobs) {
			best = i
		}
	}
	return best
}

// applyDecisions starts or refuses queued jobs as the admission controller decided.
func (s *overloadSim) applyDecisions(decisions []admission.Decision) {
	for _, d := range decisions {
		j, ok := s.queued[d.Ticket]
		if !ok || d.Action == admission.Wait {
			continue
		}
		delete(s.queued, d.Ticket)
		if d.Action == admission.Refuse {
			s.handleRefusal(j, d)
			continue
		}
		for i := range s.servers {
			if targetName(i) == d.Target {
				s.servers[i].add(j)
			}
		}
	}
}

func (s *overloadSim) handleRefusal(j *job, d admission.Decision) {
	s.refused++
	s.slowestRefusal = max(s.slowestRefusal, s.now.Sub(j.arrivedAt))
	if j.attempt >= s.opts.Retries {
		return
	}
	at := s.now.Add(time.Millisecond)
	if s.opts.HonorRetryAfter {
		at = s.now.Add(d.RetryAfter)
	}
	s.push(event{at: at, kind: eventArrive, workspace: j.workspace, attempt: j.attempt + 1})
}

func (s *overloadSim) result() OverloadResult {
	length := s.opts.Length.Seconds()
	r := OverloadResult{Goodput: map[string]float64{}, RefusedPerSecond: s.refused / length, LatePerSecond: s.late / length, SlowestRefusal: s.slowestRefusal}
	for m, n := range s.completedInTime {
		r.Goodput[m] = n / length
		r.TotalGoodput += n / length
	}
	return r
}

// MaxMinShares returns the weighted max-min fair shares of a capacity, the reference
// for the fairness of admission.
func MaxMinShares(capacity float64, offered []float64, weights []int) []float64 {
	share := make([]float64, len(offered))
	unsatisfied := make([]bool, len(offered))
	for i := range unsatisfied {
		unsatisfied[i] = true
	}
	for remaining := capacity; remaining > 1e-9; {
		totalWeight := 0
		for i, w := range weights {
			if unsatisfied[i] {
				totalWeight += w
			}
		}
		if totalWeight == 0 {
			break
		}
		assigned := 0.0
		perWeight := remaining / float64(totalWeight)
		for i, w := range weights {
			if !unsatisfied[i] {
				continue
			}
			g := min(perWeight*float64(w), offered[i]-share[i])
			share[i] += g
			assigned += g
			unsatisfied[i] = offered[i]-share[i] > 1e-9
		}
		remaining -= assigned
		if assigned < 1e-9 {
			break
		}
	}
	return share
}

// EqualWorkspaces returns n workspaces of weight 1 that offer the total rate in
// equal parts.
func EqualWorkspaces(n int, total float64) []WorkspaceLoad {
	var out []WorkspaceLoad
	for i := range n {
		out = append(out, WorkspaceLoad{
			Name: fmt.Sprintf("workspace-%d", i), Weight: 1,
			PerSecond: total / float64(n), Work: 10 * time.Millisecond,
		})
	}
	return out
}

// PrintOverload compares goodput with and without admission control under rising
// load and retries.
func PrintOverload(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(tw, "LOAD\tRETRIES\tADMISSION\tGOODPUT/S\tREFUSED/S\tLATE/S\tSLOWEST REFUSAL")
	for _, x := range []float64{1, 2, 4} {
		for _, retries := range []int{0, 3} {
			for _, gate := range []bool{true, false} {
				o := DefaultOverload()
				o.Workspaces, o.Retries, o.Admission = EqualWorkspaces(4, 950*x), retries, gate
				r := RunOverload(o)
				fmt.Fprintf(tw, "%gx\t%d\t%v\t%.0f\t%.0f\t%.0f\t%v\n", x, retries, gate, r.TotalGoodput, r.RefusedPerSecond, r.LatePerSecond, r.SlowestRefusal.Round(time.Millisecond))
			}
		}
	}
	return tw.Flush()
}
