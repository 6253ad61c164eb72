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

// WorkspaceLoad is what one workspace offers.
type WorkspaceLoad struct {
	Name   string
	Weight int
	// PerSecond is the rate of first attempts.
	PerSecond float64
	// Work is the time a request needs on a free slot.
	Work time.Duration
}

// OverloadOptions describe one run of admission under load.
type OverloadOptions struct {
	Workspaces []WorkspaceLoad
	Targets    int
	// Slots is how many requests a target really serves at once; more slow
	// each other down, with Overhead extra per surplus request and slot.
	Slots    int
	Overhead float64
	// Limit is the configured bound of requests at a target.
	Limit int
	// Patience is the callers' deadline.
	Patience time.Duration
	// Retries is how often a refused caller comes back; Obedient ones wait as
	// long as they were told, others not at all.
	Retries  int
	Obedient bool
	Length   time.Duration
	Seed     uint64
	// Gate switches admission off when false: every request goes to the least
	// busy target at once, for comparison.
	Gate bool
}

// DefaultOverload is a service of 2 targets with 5 slots and 10 ms of work:
// 1,000 requests a second at the most.
func DefaultOverload() OverloadOptions {
	return OverloadOptions{
		Targets:  2,
		Slots:    5,
		Overhead: 0.05,
		Limit:    80,
		Patience: time.Second,
		Length:   20 * time.Second,
		Seed:     1,
		Gate:     true,
	}
}

// OverloadResult is what became of the requests.
type OverloadResult struct {
	// Goodput is the requests a second that ended within the callers'
	// patience, by workspace and in all.
	Goodput map[string]float64
	Total   float64
	Refused float64
	Late    float64
	// SlowestRefusal is the longest time from an attempt to its refusal.
	SlowestRefusal time.Duration
}

// Overload runs one load.
func Overload(o OverloadOptions) OverloadResult {
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
	o       OverloadOptions
	rnd     *rand.Rand
	ctrl    *admission.Controller
	events  eventQueue
	seq     int
	now     time.Time
	waiting map[admission.Ticket]*job
	servers []server
	good    map[string]float64
	refused float64
	late    float64
	slowest time.Duration
}

func newOverloadSim(o OverloadOptions) *overloadSim {
	s := &overloadSim{
		o:       o,
		rnd:     rand.New(rand.NewPCG(o.Seed, 3)),
		now:     choiceStart,
		waiting: map[admission.Ticket]*job{},
		good:    map[string]float64{},
	}
	s.ctrl = admission.New(admission.Defaults(), s.rnd)
	var names []string
	for i := range o.Targets {
		name := targetName(i)
		names = append(names, name)
		spec := admission.TargetSpec{Slots: o.Slots, Requests: o.Limit, Streams: 1, Ready: true}
		s.ctrl.SetTarget(s.now, name, spec)
		s.servers = append(s.servers, server{})
	}
	s.ctrl.SetService(s.now, overloadService, names)
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
	gap := s.rnd.ExpFloat64() / s.o.Workspaces[workspace].PerSecond
	return s.now.Add(time.Duration(gap * float64(time.Second)))
}

func (s *overloadSim) run() {
	end := choiceStart.Add(s.o.Length)
	for s.now.Before(end) {
		next := s.events[0].at
		if at, ok := s.nextCompletion(); ok && at.Before(next) {
			s.advance(at)
			s.complete()
			continue
		}
		s.advance(next)
		s.handle(heap.Pop(&s.events).(event))
	}
}

// rate is the speed of each request at a target with n of them.
func (s *overloadSim) rate(n int) float64 {
	if n <= s.o.Slots {
		return 1
	}
	surplus := float64(n-s.o.Slots) / float64(s.o.Slots)
	return float64(s.o.Slots) / float64(n) / (1 + s.o.Overhead*surplus)
}

func (s *overloadSim) nextCompletion() (time.Time, bool) {
	soonest := math.Inf(1)
	for i := range s.servers {
		if sv := &s.servers[i]; len(sv.jobs) > 0 {
			soonest = min(soonest, (sv.jobs[0].finish-sv.virtual)/s.rate(len(sv.jobs)))
		}
	}
	if math.IsInf(soonest, 1) {
		return time.Time{}, false
	}
	return s.now.Add(time.Duration(max(soonest, 0)*float64(time.Second)) + 1), true
}

// advance moves time and lets the targets work.
func (s *overloadSim) advance(to time.Time) {
	dt := to.Sub(s.now).Seconds()
	for i := range s.servers {
		sv := &s.servers[i]
		sv.virtual += dt * s.rate(len(sv.jobs))
	}
	s.now = to
}

func (s *overloadSim) complete() {
	for i := range s.servers {
		sv := &s.servers[i]
		for len(sv.jobs) > 0 && sv.jobs[0].finish <= sv.virtual {
			j := heap.Pop(&sv.jobs).(*job)
			s.count(j)
			if s.o.Gate {
				res := admission.Result{Outcome: admission.Succeeded, Comparable: true}
				s.take(s.ctrl.Done(s.now, j.ticket, res))
			}
		}
	}
}

func (s *overloadSim) count(j *job) {
	if s.now.Sub(j.since) > s.o.Patience {
		s.late++
		return
	}
	s.good[s.o.Workspaces[j.workspace].Name]++
}

func (s *overloadSim) handle(e event) {
	switch e.kind {
	case eventExpire:
		s.take(s.ctrl.Expire(s.now))
		s.push(event{at: s.now.Add(expireEvery), kind: eventExpire})
	case eventArrive:
		if e.attempt == 0 {
			s.push(event{at: s.nextArrival(e.workspace), kind: eventArrive, workspace: e.workspace})
		}
		s.arrive(e)
	}
}

func (s *overloadSim) arrive(e event) {
	m := s.o.Workspaces[e.workspace]
	j := &job{workspace: e.workspace, attempt: e.attempt, since: s.now, work: m.Work}
	if !s.o.Gate {
		s.seq++
		j.ticket = admission.Ticket(s.seq)
		s.servers[s.leastBusy()].add(j)
		return
	}
	decisions := s.ctrl.Offer(s.now, admission.Offer{
		Service:   overloadService,
		Workspace: m.Name,
		Weight:    m.Weight,
		Deadline:  s.now.Add(s.o.Patience),
	})
	j.ticket = decisions[0].Ticket
	s.waiting[j.ticket] = j
	s.take(decisions)
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

func (s *overloadSim) take(decisions []admission.Decision) {
	for _, d := range decisions {
		j, ok := s.waiting[d.Ticket]
		if !ok || d.Action == admission.Wait {
			continue
		}
		delete(s.waiting, d.Ticket)
		if d.Action == admission.Refuse {
			s.refuse(j, d)
			continue
		}
		for i := range s.servers {
			if targetName(i) == d.Target {
				s.servers[i].add(j)
			}
		}
	}
}

func (s *overloadSim) refuse(j *job, d admission.Decision) {
	s.refused++
	s.slowest = max(s.slowest, s.now.Sub(j.since))
	if j.attempt >= s.o.Retries {
		return
	}
	at := s.now.Add(time.Millisecond)
	if s.o.Obedient {
		at = s.now.Add(d.RetryAfter)
	}
	s.push(event{at: at, kind: eventArrive, workspace: j.workspace, attempt: j.attempt + 1})
}

func (s *overloadSim) result() OverloadResult {
	length := s.o.Length.Seconds()
	r := OverloadResult{Goodput: map[string]float64{}, Refused: s.refused / length, Late: s.late / length, SlowestRefusal: s.slowest}
	for m, n := range s.good {
		r.Goodput[m] = n / length
		r.Total += n / length
	}
	return r
}

// MaxMin returns the weighted max-min fair shares of a capacity: the oracle of
// fairness.
func MaxMin(capacity float64, offered []float64, weights []int) []float64 {
	share := make([]float64, len(offered))
	open := make([]bool, len(offered))
	for i := range open {
		open[i] = true
	}
	for left := capacity; left > 1e-9; {
		sum := 0
		for i, w := range weights {
			if open[i] {
				sum += w
			}
		}
		if sum == 0 {
			break
		}
		given := 0.0
		unit := left / float64(sum)
		for i, w := range weights {
			if !open[i] {
				continue
			}
			g := min(unit*float64(w), offered[i]-share[i])
			share[i] += g
			given += g
			open[i] = offered[i]-share[i] > 1e-9
		}
		left -= given
		if given < 1e-9 {
			break
		}
	}
	return share
}

// EqualWorkspaces returns workspaces of equal weight that offer a total rate.
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

// PrintOverload compares goodput with and without admission under rising load
// and retries.
func PrintOverload(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(tw, "LOAD\tRETRIES\tADMISSION\tGOODPUT/S\tREFUSED/S\tLATE/S\tSLOWEST REFUSAL")
	for _, x := range []float64{1, 2, 4} {
		for _, retries := range []int{0, 3} {
			for _, gate := range []bool{true, false} {
				o := DefaultOverload()
				o.Workspaces, o.Retries, o.Gate = EqualWorkspaces(4, 950*x), retries, gate
				r := Overload(o)
				fmt.Fprintf(tw, "%gx\t%d\t%v\t%.0f\t%.0f\t%.0f\t%v\n", x, retries, gate, r.Total, r.Refused, r.Late, r.SlowestRefusal.Round(time.Millisecond))
			}
		}
	}
	return tw.Flush()
}
