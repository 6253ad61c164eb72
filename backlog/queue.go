package backlog

import (
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

// aim is until when an answer meets the objective.
func (r Request) aim() time.Time { return r.Began.Add(r.Objective) }

// fresh tells whether an answer sent by a time meets the objective.
func (r Request) fresh(by time.Time) bool { return r.Objective > 0 && !by.After(r.aim()) }

// inTime tells whether a request goes before the others while an overload stands: it leaves
// time for more than the mean work before its objective.
func (r Request) inTime(now time.Time, pace Pace) bool {
	return r.fresh(now.Add(scale(pace.Took(), spareInTime)))
}

// Queue holds requests in no order; Next chooses. K names them.
type Queue[K comparable] struct {
	items []item[K]
	// order is scratch of Next: indices of items.
	order []int
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
func (q *Queue[K]) Push(key K, r Request) {
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

// Factors on the target's pace in looking ahead.
const (
	// spareFresh is for the question whether everybody can wait while a fresh request
	// goes first: more fresh ones will come and ask the same.
	spareFresh = 2.0
	// spareDue is for the question who can be served before the deadlines.
	spareDue = 1.0
	// spareInTime is for the question who gets a slot while an overload stands.
	spareInTime = 1.4
)

// Next takes out the request to be served now. pace is how the target works.
func (q *Queue[K]) Next(now time.Time, pace Pace) (K, bool) {
	if len(q.items) == 0 {
		var none K
		return none, false
	}
	done := now.Add(pace.Took())
	q.byDue(now, pace.Took())
	if at, ok := q.bestFresh(done); ok && q.canWait(at, done, scale(pace.Each(), spareFresh)) {
		return q.take(at), true
	}
	q.sacrifice(done, scale(pace.Each(), spareDue))
	if len(q.order) > 0 {
		return q.take(q.order[0]), true
	}
	return q.take(q.lastExpiring()), true
}

// NextInTime is Next while an overload stands: the request whose objective ends first, of
// those that are in time. The others wait: in an overload the
// oldest first makes everybody late, and one that only the mean work is left to is often
// late, in a slot that another could have been answered in.
func (q *Queue[K]) NextInTime(now time.Time, pace Pace) (K, bool) {
	best := nobody
	for i := range q.items {
		if q.items[i].inTime(now, pace) && (best == nobody || q.items[i].aim().Before(q.items[best].aim())) {
			best = i
		}
	}
	if best == nobody {
		return q.Next(now, pace)
	}
	return q.take(best), true
}

// InTime returns how many requests go before one that comes now while an overload stands.
func (q *Queue[K]) InTime(now time.Time, pace Pace) int {
	count := 0
	for i := range q.items {
		if q.items[i].inTime(now, pace) {
			count++
		}
	}
	return count
}

// GoesFirst tells whether a request that is not in the queue yet would be served as
// soon as the target has a slot: it can meet its objective, and all others can wait.
func (q *Queue[K]) GoesFirst(now time.Time, r Request, pace Pace) bool {
	done := now.Add(pace.Took())
	if !r.fresh(done) {
		return false
	}
	q.byDue(now, pace.Took())
	return q.canWait(nobody, done, scale(pace.Each(), spareFresh))
}

// nobody is the index of no item.
const nobody = -1

func scale(d time.Duration, factor float64) time.Duration { return time.Duration(factor * float64(d)) }

// byDue puts the items in order of their deadlines.
func (q *Queue[K]) byDue(now time.Time, took time.Duration) {
	q.order = q.order[:0]
	for i := range q.items {
		q.items[i].dueAt = q.items[i].due(now, took)
		q.order = append(q.order, i)
	}
	slices.SortFunc(q.order, func(a, b int) int { return q.items[a].dueAt.Compare(q.items[b].dueAt) })
}

// bestFresh returns the item that can meet its objective and has the highest
// priority, of those the newest.
func (q *Queue[K]) bestFresh(done time.Time) (int, bool) {
	best := -1
	for i := range q.items {
		if q.items[i].fresh(done) && (best < 0 || q.items[i].before(&q.items[best])) {
			best = i
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

// canWait tells whether every other item can be answered in time, in order of their
// deadlines, after one that goes first. Those that cannot be answered at all do not
// count.
func (q *Queue[K]) canWait(first int, done time.Time, step time.Duration) bool {
	earliest := done
	for _, at := range q.order {
		if at == first || q.items[at].dueAt.Before(earliest) {
			continue
		}
		done = done.Add(step)
		if q.items[at].dueAt.Before(done) {
			return false
		}
	}
	return true
}

// sacrifice leaves in order those that can be answered in time one after the other
// (Moore, 1968): whenever one comes too late, the one of those up to it is given up
// whose loss would be the least.
func (q *Queue[K]) sacrifice(done time.Time, step time.Duration) {
	kept := q.order[:0]
	for _, at := range q.order {
		kept = append(kept, at)
		if !q.items[at].dueAt.Before(done) {
			done = done.Add(step)
			continue
		}
		least := 0
		for i := range kept {
			if q.items[kept[i]].lessThan(&q.items[kept[least]]) {
				least = i
			}
		}
		kept = slices.Delete(kept, least, least+1)
	}
	q.order = kept
}

// lessThan tells whether the loss of an item is less than that of another one: that
// of a lower priority, then of one whose deadline is only guessed. Of those the
// earlier one: the earlier it began, the longer the outage must have been for it to
// be a caller that was here before.
func (i *item[K]) lessThan(other *item[K]) bool {
	switch {
	case i.Priority != other.Priority:
		return i.Priority > other.Priority
	case (i.Hidden > 0) != (other.Hidden > 0):
		return i.Hidden > 0
	default:
		return i.Began.Before(other.Began)
	}
}

// lastExpiring returns the item whose caller waits longest.
func (q *Queue[K]) lastExpiring() int {
	best := 0
	for i := range q.items {
		if q.items[i].expires().After(q.items[best].expires()) {
			best = i
		}
	}
	return best
}
