package backlog

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// steadyEstimate describes a target that answers a request every 10 ms, each 40 ms after its
// delivery.
func steadyEstimate() ServiceEstimate { return NewServiceEstimate(40*time.Millisecond, 4) }

func read(began time.Duration) Request {
	return Request{Priority: 2, Began: at(began), Objective: 150 * time.Millisecond, Deadline: 2500 * time.Millisecond}
}

// withUnseenTry is a read whose caller may have begun one try earlier.
func withUnseenTry(began time.Duration) Request {
	r := read(began)
	r.UnseenTry = ConnectTimeout + MaxRetryPause
	return r
}

func write(began time.Duration) Request {
	r := read(began)
	r.Priority = 1
	return r
}

func TestNextServes(t *testing.T) {
	now := 2 * time.Second
	for name, c := range map[string]struct {
		waiting map[string]Request
		want    string
	}{
		"the newest within its objective while older ones can wait": {
			map[string]Request{"old": read(time.Second), "new": read(1990 * time.Millisecond), "newer": read(1995 * time.Millisecond)}, "newer"},
		"the higher of two priorities": {
			map[string]Request{"write": write(1950 * time.Millisecond), "read": read(1990 * time.Millisecond)}, "write"},
		"one that would be lost otherwise, before one of a higher priority within its objective": {
			map[string]Request{"old": read(-445 * time.Millisecond), "write": write(1990 * time.Millisecond)}, "old"},
		"the higher priority where one of two is lost": {
			map[string]Request{"read": read(-460 * time.Millisecond), "write": write(-455 * time.Millisecond)}, "write"},
		"the later of two with inferred deadlines, where one is lost": {
			map[string]Request{"early": withUnseenTry(1140 * time.Millisecond), "later": withUnseenTry(1141 * time.Millisecond)}, "later"},
		"a known deadline before an inferred one, where one is lost": {
			map[string]Request{"known": read(-455 * time.Millisecond), "guessed": withUnseenTry(1142 * time.Millisecond)}, "known"},
		"the earliest deadline where none is within its objective": {
			map[string]Request{"b": read(600 * time.Millisecond), "a": read(500 * time.Millisecond)}, "a"},
		"one that can be answered in time before one that cannot": {
			map[string]Request{"too late": read(-490 * time.Millisecond), "old": read(time.Second)}, "old"},
		"the least late where none can be answered in time": {
			map[string]Request{"b": read(-480 * time.Millisecond), "a": read(-490 * time.Millisecond)}, "b"},
		"a caller that may have begun earlier first": {
			map[string]Request{"known": read(1200 * time.Millisecond), "unsure": withUnseenTry(1300 * time.Millisecond)}, "unsure"},
		"in order of arrival without objective and deadline": {
			map[string]Request{"b": {Began: at(1900 * time.Millisecond)}, "a": {Began: at(1800 * time.Millisecond)}}, "a"},
	} {
		q := Queue[string]{}
		for key, r := range c.waiting {
			q.Push(key, r)
		}
		got, ok := q.Next(at(now), steadyEstimate())
		require.True(t, ok, name)
		require.Equal(t, c.want, got, name)
		require.Equal(t, len(c.waiting)-1, q.Len(), name)
	}
}

func TestUnseenTryIsAssumedWhileAnswerCanArriveInTime(t *testing.T) {
	r := read(0)
	r.UnseenTry = ConnectTimeout + MaxRetryPause
	require.Equal(t, at(900*time.Millisecond), r.due(at(500*time.Millisecond), 40*time.Millisecond))
	require.Equal(t, at(2500*time.Millisecond), r.due(at(870*time.Millisecond), 40*time.Millisecond), "a caller of an earlier try has given up by now")
}

func TestExpireRemovesRequestsPastDeadline(t *testing.T) {
	q := Queue[int]{}
	q.Push(1, read(0))
	q.Push(2, read(time.Second))
	q.Push(3, Request{Began: start})
	require.Empty(t, q.Expire(at(2500*time.Millisecond)))
	require.Equal(t, []int{1}, q.Expire(at(2501*time.Millisecond)))
	require.True(t, q.Remove(2))
	require.False(t, q.Remove(2))
	require.Equal(t, []int{3}, q.Expire(at(defaultDeadline+time.Millisecond)))
	_, ok := q.Next(start, steadyEstimate())
	require.False(t, ok)
}

// TestNextLosesNoRequestThatDeadlineOrderServes: where serving in order of deadlines would
// answer every request with some time to spare, Next loses none.
func TestNextLosesNoRequestThatDeadlineOrderServes(t *testing.T) {
	const each = 10 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		q := Queue[int]{}
		due := map[int]time.Duration{}
		n := rapid.IntRange(1, 60).Draw(t, "n")
		for i := range n {
			// The i-th request has time for twice the work of those before it, and its own.
			least := time.Duration(objectiveMargin*float64(i)*float64(each)) + 2*steadyEstimate().ResponseTime()
			left := least + time.Duration(rapid.IntRange(0, 300).Draw(t, "ms"))*time.Millisecond
			r := Request{Priority: uint8(rapid.IntRange(0, 2).Draw(t, "priority")), Began: start, Objective: 100 * time.Millisecond, Deadline: left}
			if rapid.Bool().Draw(t, "fresh") {
				r.Began = at(-50 * time.Millisecond)
				r.Deadline += 50 * time.Millisecond
			}
			due[i] = left
			q.Push(i, r)
		}
		now := time.Duration(0)
		for range n {
			i, ok := q.Next(at(now), steadyEstimate())
			require.True(t, ok)
			require.LessOrEqual(t, now+steadyEstimate().ResponseTime(), due[i], "request %d of %d", i, n)
			now += each
		}
		require.Zero(t, q.Len())
	})
}

// TestReturnOfAllCallersAfterOutage: after an outage of 1.9 s all callers of that time, of known
// age, return at once to a target with a third of its capacity to spare. In order of arrival
// all requests are late, newest first some are lost. Next must lose none, and fewer may be late
// than in order of arrival.
func TestReturnOfAllCallersAfterOutage(t *testing.T) {
	fifo, newest, laxity := simulateReturn(oldestFirst), simulateReturn(newestFirst), simulateReturn(nil)
	t.Logf("oldest first %+v, newest first %+v, least laxity %+v", fifo, newest, laxity)
	require.Zero(t, laxity.lost)
	require.NotZero(t, newest.lost)
	require.Less(t, laxity.late, fifo.late)
}

type outcome struct{ late, lost int }

type pickFunc func(waiting []Request) int

func oldestFirst(waiting []Request) int {
	best := 0
	for i := range waiting {
		if waiting[i].Began.Before(waiting[best].Began) {
			best = i
		}
	}
	return best
}

func newestFirst(waiting []Request) int {
	best := 0
	for i := range waiting {
		if waiting[i].Began.After(waiting[best].Began) {
			best = i
		}
	}
	return best
}

// simulateReturn runs the load against a target that answers a request every 10 ms, in the
// order of Queue.Next if by is nil.
func simulateReturn(by pickFunc) outcome {
	const (
		each   = 10 * time.Millisecond
		gap    = 15 * time.Millisecond
		outage = 1900 * time.Millisecond
		length = 6 * time.Second
	)
	out := outcome{}
	q := Queue[time.Duration]{}
	var waiting []Request
	began := -outage
	for now := time.Duration(0); now < length; now += each {
		for ; began <= now; began += gap {
			q.Push(began, read(began))
			waiting = append(waiting, read(began))
		}
		var r Request
		if by == nil {
			for range q.Expire(at(now)) {
				out.lost++
			}
			key, ok := q.Next(at(now), steadyEstimate())
			if !ok {
				continue
			}
			r = read(key)
		} else {
			kept := waiting[:0]
			for _, w := range waiting {
				if at(now).After(w.expires()) {
					out.lost++
					continue
				}
				kept = append(kept, w)
			}
			waiting = kept
			if len(waiting) == 0 {
				continue
			}
			i := by(waiting)
			r = waiting[i]
			waiting = append(waiting[:i], waiting[i+1:]...)
		}
		done := at(now).Add(steadyEstimate().ResponseTime())
		switch {
		case done.After(r.expires()):
			out.lost++
		case !r.meetsObjective(done):
			out.late++
		}
	}
	return out
}

func BenchmarkNext(b *testing.B) {
	q := Queue[int]{}
	for i := range 256 {
		q.Push(i, read(-time.Duration(i)*time.Millisecond))
	}
	b.ReportAllocs()
	for b.Loop() {
		key, _ := q.Next(start, steadyEstimate())
		q.Push(key, read(-time.Duration(key)*time.Millisecond))
	}
}
