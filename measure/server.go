package measure

import (
	"container/heap"
	"time"

	"github.com/poppywall/poppywall/admission"
)

// job is a request inside the site.
type job struct {
	workspace int
	attempt   int
	since     time.Time
	ticket    admission.Ticket
	work      time.Duration
	// finish is the server's virtual time at which the job is done.
	finish float64
}

// server is one target: all its jobs progress at the same speed, so a virtual
// clock that runs at that speed orders them.
type server struct {
	virtual float64
	jobs    jobQueue
}

type jobQueue []*job

func (q jobQueue) Len() int { return len(q) }

func (q jobQueue) Less(i, j int) bool {
	if q[i].finish != q[j].finish {
		return q[i].finish < q[j].finish
	}
	return q[i].ticket < q[j].ticket
}

func (q jobQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *jobQueue) Push(x any) { *q = append(*q, x.(*job)) }

func (q *jobQueue) Pop() any {
	old := *q
	j := old[len(old)-1]
	*q = old[:len(old)-1]
	return j
}

func (sv *server) add(j *job) {
	j.finish = sv.virtual + j.work.Seconds()
	heap.Push(&sv.jobs, j)
}
