package sim

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// Start is the time at which each simulation begins.
var Start = time.Unix(1_700_000_000, 0)

// Loop is the event loop of a simulation: it runs scheduled functions in order of simulated time.
type Loop struct {
	// Now is the current simulated time.
	Now time.Time
	// Rnd is the source of all random numbers of the simulation.
	Rnd *rand.Rand

	events eventQueue
	seq    int
}

// NewLoop returns a loop at Start.
func NewLoop(seed uint64) Loop {
	return Loop{Now: Start, Rnd: rand.New(rand.NewPCG(seed, 7))}
}

// event is a function scheduled for a time; events of the same time run in the order of seq.
type event struct {
	at  time.Time
	seq int
	do  func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].seq < q[j].seq
	}
	return q[i].at.Before(q[j].at)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return x
}

// Elapsed returns the time since Start.
func (l *Loop) Elapsed() time.Duration { return l.Now.Sub(Start) }

// After schedules do to run after d.
func (l *Loop) After(d time.Duration, do func()) {
	l.seq++
	heap.Push(&l.events, event{l.Now.Add(d), l.seq, do})
}

// Run advances simulated time by d and runs all events that are due by then.
func (l *Loop) Run(d time.Duration) {
	end := l.Now.Add(d)
	for len(l.events) > 0 && !l.events[0].at.After(end) {
		next := heap.Pop(&l.events).(event)
		l.Now = next.at
		next.do()
	}
	l.Now = end
}

// Every calls do once per period until it returns false. The first call is at a random
// time within the first period.
func (l *Loop) Every(period time.Duration, do func() bool) {
	l.After(l.Jitter(period), func() { l.repeat(period, do) })
}

func (l *Loop) repeat(period time.Duration, do func() bool) {
	if do() {
		l.After(period, func() { l.repeat(period, do) })
	}
}

// Jitter returns a random duration from 0 up to, but not including, bound.
func (l *Loop) Jitter(bound time.Duration) time.Duration {
	return time.Duration(l.Rnd.Int64N(int64(max(bound, 1))))
}
