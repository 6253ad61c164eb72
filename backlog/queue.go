package backlog

import (
	"math"
	"slices"
	"time"
)

// Request is what is known of a request that waits.
type Request struct {
	// Priority orders requests; 0 is the highest.
	Priority uint8
	// Began is when its caller sent the first packet of the present try.
	Began time.Time
	// Hidden is how much earlier the caller may have begun, with a try that
	// nobody saw.
	Hidden time.Duration
	// Objective is the route's latency objective, Deadline when callers give up;
	// zero when unstated.
	Objective, Deadline time.Duration
}

// unstatedDeadline stands for the deadline of a route that states none.
const unstatedDeadline = 10 * time.Second

// expires is when the caller has certainly gone.
func (r Request) expires() time.Time {
	if r.Deadline == 0 {
		return r.Began.Add(unstatedDeadline)
	}
	return r.Began.Add(r.Deadline)
}

// due is until when an answer has to be sent. A caller that was here before is
// assumed while that leaves time for an answer.
func (r Request) due(now time.Time, took time.Duration) time.Time {
	last := r.expires()
	if early := last.Add(-r.Hidden); !early.Before(now.Add(took)) {
		return early
	}
	return last
}

// fresh tells whether an answer sent by a time meets the objective.
func (r Request) fresh(by time.Time) bool {
	return r.Objective > 0 && !by.After(r.Began.Add(r.Objective))
}

// Queue holds requests in no order; Next chooses. K names them.
type Queue[K comparable] struct {
	items []item[K]
	// order is scratch of Next.
	order []int
	// since is when the queue was empty last.
	since time.Time
}

type item[K comparable] struct {
	key K
	Request
	// dueAt is scratch of Next.
	dueAt time.Time
}

// Len returns the number of requests.
func (q *Queue[K]) Len() int { return len(q.items) }

// Push adds a request.
func (q *Queue[K]) Push(now time.Time, key K, r Request) {
	if len(q.items) == 0 {
		q.since = now
	}
	q.items = append(q.items, item[K]{key: key, Request: r})
}

// Remove takes a request out and tells whether it was there.
func (q *Queue[K]) Remove(key K) bool {
	for i := range q.items {
		if q.items[i].key == key {
			q.take(i)
			return true
		}
	}
	return false
}

// take removes the i-th item.
func (q *Queue[K]) take(i int) K {
	key := q.items[i].key
	last := len(q.items) - 1
	q.items[i] = q.items[last]
	q.items = q.items[:last]
	return key
}

// Clear forgets all requests.
func (q *Queue[K]) Clear() { q.items = nil }

// Expire takes out the requests whose callers have certainly gone.
func (q *Queue[K]) Expire(now time.Time) (gone []K) {
	for i := 0; i < len(q.items); {
		if now.After(q.items[i].expires()) {
			gone = append(gone, q.take(i))
			continue
		}
		i++
	}
	return gone
}

// Standing tells that the queue has not been empty for longer than a request of
// that deadline can wait twice over: it is no backlog that passes.
func (q *Queue[K]) Standing(now time.Time, deadline time.Duration) bool {
	return len(q.items) > 0 && now.Sub(q.since) > standingDeadlines*deadline
}

// standingDeadlines is how many deadlines a queue may last before it counts as
// standing: after an outage of one deadline all callers of that time are served
// or gone within the next, and a host at 0.7 of its capacity needs one more.
const standingDeadlines = 2

// spare is the factor on the host's pace in the look ahead: requests of a higher
// priority and fresh ones will take part of it.
const spare = 2.0

// Next takes out the request to be served now. pace is how the host works.
func (q *Queue[K]) Next(now time.Time, pace Pace) (K, bool) {
	if len(q.items) == 0 {
		var none K
		return none, false
	}
	order := q.byDue(now, pace.Took())
	done := now.Add(pace.Took())
	late := 0
	for late < len(order) && q.items[order[late]].dueAt.Before(done) {
		late++
	}
	if late == len(order) {
		// No answer is expected in time; the one that is late by least may be.
		return q.take(order[late-1]), true
	}
	order = order[late:]
	step := time.Duration(spare * float64(pace.Each()))
	if at, ok := q.bestFresh(order, done); ok && q.canWait(order, at, lowest, done, step) {
		return q.take(at), true
	}
	return q.take(q.firstDue(order, done, step)), true
}

// lowest is a priority that no request is below.
const lowest = math.MaxUint8

// byDue returns the items in order of their deadlines, with their dueAt set.
func (q *Queue[K]) byDue(now time.Time, took time.Duration) []int {
	order := q.order[:0]
	for i := range q.items {
		q.items[i].dueAt = q.items[i].due(now, took)
		order = append(order, i)
	}
	slices.SortFunc(order, func(a, b int) int { return q.items[a].dueAt.Compare(q.items[b].dueAt) })
	q.order = order
	return order
}

// bestFresh returns the item that can meet its objective and has the highest
// priority, of those the newest.
func (q *Queue[K]) bestFresh(order []int, done time.Time) (int, bool) {
	best := -1
	for _, at := range order {
		if q.items[at].fresh(done) && (best < 0 || q.items[at].before(&q.items[best])) {
			best = at
		}
	}
	return best, best >= 0
}

func (i *item[K]) before(other *item[K]) bool {
	if i.Priority != other.Priority {
		return i.Priority < other.Priority
	}
	return i.Began.After(other.Began)
}

// canWait tells whether every other item of a priority or a higher one can be
// answered in time, in order of their deadlines, after one that goes first.
func (q *Queue[K]) canWait(order []int, first int, priority uint8, done time.Time, step time.Duration) bool {
	for _, at := range order {
		if at == first || q.items[at].Priority > priority {
			continue
		}
		done = done.Add(step)
		if q.items[at].dueAt.Before(done) {
			return false
		}
	}
	return true
}

// firstDue returns the item with the earliest deadline, unless one of a higher
// priority would be too late after it.
func (q *Queue[K]) firstDue(order []int, done time.Time, step time.Duration) int {
	first := order[0]
	for _, at := range order {
		higher := q.items[at].Priority
		if higher >= q.items[first].Priority || q.canWait(order, first, higher, done, step) {
			continue
		}
		first = at
	}
	return first
}
