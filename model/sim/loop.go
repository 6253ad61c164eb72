package sim

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// Start is the time at which each simulation begins.
var Start = time.Unix(1_700_000_000, 0)

// Loop is simulated time: what happens, in order.
type Loop struct {
	// Now is the present moment.
	Now time.Time
	// Rnd draws all that is random.
	Rnd *rand.Rand

	events queue
	seq    int
}

// NewLoop returns a loop at Start.
func NewLoop(seed uint64) Loop {
	return Loop{Now: Start, Rnd: rand.New(rand.NewPCG(seed, 7))}
}

// event is something that happens at a time; seq keeps the order of equals.
type event struct {
	at  time.Time
	seq int
	do  func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].seq < q[j].seq
	}
	return q[i].at.Before(q[j].at)
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *queue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	old := *q
	x := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return x
}

// Since returns the time since Start.
func (l *Loop) Since() time.Duration { return l.Now.Sub(Start) }

// After does something after a while.
func (l *Loop) After(d time.Duration, do func()) {
	l.seq++
	heap.Push(&l.events, event{l.Now.Add(d), l.seq, do})
}

// Run lets a while pass.
func (l *Loop) Run(d time.Duration) {
	end := l.Now.Add(d)
	for len(l.events) > 0 && !l.events[0].at.After(end) {
		e := heap.Pop(&l.events).(event)
		l.Now = e.at
		e.do()
	}
	l.Now = end
}

// Every repeats do each period, from a random moment of the first one on, until
// it returns false.
func (l *Loop) Every(period time.Duration, do func() bool) {
	l.After(l.Jitter(period), func() { l.repeat(period, do) })
}

func (l *Loop) repeat(period time.Duration, do func() bool) {
	if do() {
		l.After(period, func() { l.repeat(period, do) })
	}
}

// Jitter draws a time below a bound.
func (l *Loop) Jitter(bound time.Duration) time.Duration {
	return time.Duration(l.Rnd.Int64N(int64(max(bound, 1))))
}
