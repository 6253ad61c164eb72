package measure

import (
	"container/heap"
	"time"

	"github.com/poppywall/poppywall/admission"
)

// job is a request that is queued or being served.
type job struct {
	workspace int
	attempt   int
	arrivedAt time.Time
	ticket    admission.Ticket
	work      time.Duration
	// virtualFinish is the server's virtual time at which the job is completed.
	virtualFinish float64
}

// server simulates one target. All its jobs progress at the same speed, so they
// finish in the order of their finish times on a virtual clock of that speed.
type server struct {
	virtualTime float64
	jobs        jobQueue
}

type jobQueue []*job

func (q jobQueue) Len() int { return len(q) }

func (q jobQueue) Less(i, j int) bool {
	if q[i].virtualFinish != q[j].virtualFinish {
		return q[i].virtualFinish < q[j].virtualFinish
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
	j.virtualFinish = sv.virtualTime + j.work.Seconds()
	heap.Push(&sv.jobs, j)
}
