package backlog

import (
	"slices"
	"time"
)

// Request describes a waiting request.
type Request struct {
	// Priority of the request; 0 is the highest.
	Priority uint8
	// Began is when the caller sent the first packet of its present try.
	Began time.Time
	// UnseenTry is how much earlier the caller may have begun, by a try whose packets were all
	// lost; zero if there was none.
	UnseenTry time.Duration
	// Objective is the route's latency objective, Deadline the time after which callers give up;
	// zero where the route states none.
	Objective, Deadline time.Duration
}

// defaultDeadline applies to routes that state no deadline.
const defaultDeadline = 10 * time.Second

// expires returns when the caller has certainly given up.
func (r Request) expires() time.Time {
	if r.Deadline == 0 {
		return r.Began.Add(defaultDeadline)
	}
	return r.Began.Add(r.Deadline)
}

// due returns the time by which an answer has to be sent. An earlier unseen try is assumed
// as long as that leaves time for an answer.
func (r Request) due(now time.Time, responseTime time.Duration) time.Time {
	last := r.expires()
	if early := last.Add(-r.UnseenTry); !early.Before(now.Add(responseTime)) {
		return early
	}
	return last
}

// sloEnd returns the latest time at which an answer meets the latency objective (SLO).
func (r Request) sloEnd() time.Time { return r.Began.Add(r.Objective) }

// meetsObjective reports whether an answer sent at t meets the objective.
func (r Request) meetsObjective(t time.Time) bool { return r.Objective > 0 && !t.After(r.sloEnd()) }

// inTime reports whether a request is served before the others during an overload: the time
// left until the end of its objective is at least overloadMargin times the mean response time.
// Here and in NextInTime and CountInTime, in time means within the objective, not the deadline.
func (r Request) inTime(now time.Time, est ServiceEstimate) bool {
	return r.meetsObjective(now.Add(scale(est.ResponseTime(), overloadMargin)))
}

// Queue holds waiting requests in no particular order; Next selects one. K identifies them.
type Queue[K comparable] struct {
	items []item[K]
	// order is scratch space of Next: indices of items.
	order []int
}

type item[K comparable] struct {
	key K
	Request
	// dueAt is scratch space of Next.
	dueAt time.Time
}

// Len returns the number of requests.
func (q *Queue[K]) Len() int { return len(q.items) }

// Push adds a request.
func (q *Queue[K]) Push(key K, r Request) {
	q.items = append(q.items, item[K]{key: key, Request: r})
}

// Remove removes a request and reports whether it was in the queue.
func (q *Queue[K]) Remove(key K) bool {
	for i := range q.items {
		if q.items[i].key == key {
			q.removeAt(i)
			return true
		}
	}
	return false
}

// removeAt removes the i-th item and returns its key.
func (q *Queue[K]) removeAt(i int) K {
	key := q.items[i].key
	last := len(q.items) - 1
	q.items[i] = q.items[last]
	q.items = q.items[:last]
	return key
}

// Clear removes all requests.
func (q *Queue[K]) Clear() { q.items = nil }

// Expire removes and returns the requests whose callers have certainly given up.
func (q *Queue[K]) Expire(now time.Time) (gone []K) {
	for i := 0; i < len(q.items); {
		if now.After(q.items[i].expires()) {
			gone = append(gone, q.removeAt(i))
			continue
		}
		i++
	}
	return gone
}

// Safety factors on the observed response time and answer interval in feasibility checks.
const (
	// objectiveMargin applies when a request that meets its objective would go first and all
	// others must be able to wait: more such requests will arrive and go first as well.
	objectiveMargin = 2.0
	// deadlineMargin applies when selecting the requests that can meet their deadlines.
	deadlineMargin = 1.0
	// overloadMargin applies when selecting the requests to serve during an overload: a request
	// left with only the mean response time often misses its objective.
	overloadMargin = 1.4
)

// Next removes and returns the request to be served now; est describes the target.
func (q *Queue[K]) Next(now time.Time, est ServiceEstimate) (K, bool) {
	if len(q.items) == 0 {
		var none K
		return none, false
	}
	done := now.Add(est.ResponseTime())
	q.sortByDue(now, est.ResponseTime())
	if at, ok := q.bestWithinObjective(done); ok && q.othersCanWait(at, done, scale(est.AnswerInterval(), objectiveMargin)) {
		return q.removeAt(at), true
	}
	q.keepFeasible(done, scale(est.AnswerInterval(), deadlineMargin))
	if len(q.order) > 0 {
		return q.removeAt(q.order[0]), true
	}
	return q.removeAt(q.lastExpiring()), true
}

// NextInTime is Next during an overload: of the requests that can still meet their objective
// (inTime) it removes and returns the one whose objective ends first. The others wait: in an
// overload, serving the oldest first makes all requests late, and a request left with only the
// mean response time often misses its objective, in a slot that could have answered another one
// within its objective.
func (q *Queue[K]) NextInTime(now time.Time, est ServiceEstimate) (K, bool) {
	best := noItem
	for i := range q.items {
		if q.items[i].inTime(now, est) && (best == noItem || q.items[i].sloEnd().Before(q.items[best].sloEnd())) {
			best = i
		}
	}
	if best == noItem {
		return q.Next(now, est)
	}
	return q.removeAt(best), true
}

// CountInTime returns how many requests can still meet their objective (inTime): during an overload
// they are served before a request that arrives now.
func (q *Queue[K]) CountInTime(now time.Time, est ServiceEstimate) int {
	count := 0
	for i := range q.items {
		if q.items[i].inTime(now, est) {
			count++
		}
	}
	return count
}

// GoesFirst reports whether a request that is not in the queue yet would get the next free
// slot of the target: it can meet its objective, and all others can wait.
func (q *Queue[K]) GoesFirst(now time.Time, r Request, est ServiceEstimate) bool {
	done := now.Add(est.ResponseTime())
	if !r.meetsObjective(done) {
		return false
	}
	q.sortByDue(now, est.ResponseTime())
	return q.othersCanWait(noItem, done, scale(est.AnswerInterval(), objectiveMargin))
}

// noItem is the index of no item.
const noItem = -1

func scale(d time.Duration, factor float64) time.Duration { return time.Duration(factor * float64(d)) }

// sortByDue fills q.order with the items in order of their deadlines.
func (q *Queue[K]) sortByDue(now time.Time, responseTime time.Duration) {
	q.order = q.order[:0]
	for i := range q.items {
		q.items[i].dueAt = q.items[i].due(now, responseTime)
		q.order = append(q.order, i)
	}
	slices.SortFunc(q.order, func(a, b int) int { return q.items[a].dueAt.Compare(q.items[b].dueAt) })
}

// bestWithinObjective returns the item that can meet its objective and has the highest
// priority, and of those the newest.
func (q *Queue[K]) bestWithinObjective(done time.Time) (int, bool) {
	best := -1
	for i := range q.items {
		if q.items[i].meetsObjective(done) && (best < 0 || q.items[i].servedBefore(&q.items[best])) {
			best = i
		}
	}
	return best, best >= 0
}

// servedBefore reports whether an item is preferred to another one that can meet its
// objective too: a higher priority first, then the newer one.
func (i *item[K]) servedBefore(other *item[K]) bool {
	if i.Priority != other.Priority {
		return i.Priority < other.Priority
	}
	return i.Began.After(other.Began)
}

// othersCanWait reports whether all other items can be answered before their deadlines, in order
// of these, after the item first. Items that cannot meet their deadlines at all are ignored.
func (q *Queue[K]) othersCanWait(first int, done time.Time, step time.Duration) bool {
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

// keepFeasible reduces q.order to items that can all be answered before their deadlines, one after
// the other (Moore, 1968): whenever an item would miss its deadline, the one of those up to it
// whose loss costs least is dropped.
func (q *Queue[K]) keepFeasible(done time.Time, step time.Duration) {
	kept := q.order[:0]
	for _, at := range q.order {
		kept = append(kept, at)
		if !q.items[at].dueAt.Before(done) {
			done = done.Add(step)
			continue
		}
		least := 0
		for i := range kept {
			if q.items[kept[i]].givenUpBefore(&q.items[kept[least]]) {
				least = i
			}
		}
		kept = slices.Delete(kept, least, least+1)
	}
	q.order = kept
}

// givenUpBefore reports whether the loss of an item costs less than that of another one: the
// lower priority first, then the one whose deadline is only inferred from an unseen try. Of
// two such items the earlier one: the earlier it began, the longer the outage must have been
// for its caller to have tried before.
func (i *item[K]) givenUpBefore(other *item[K]) bool {
	switch {
	case i.Priority != other.Priority:
		return i.Priority > other.Priority
	case (i.UnseenTry > 0) != (other.UnseenTry > 0):
		return i.UnseenTry > 0
	default:
		return i.Began.Before(other.Began)
	}
}

// lastExpiring returns the index of the item whose caller gives up last.
func (q *Queue[K]) lastExpiring() int {
	best := 0
	for i := range q.items {
		if q.items[i].expires().After(q.items[best].expires()) {
			best = i
		}
	}
	return best
}
