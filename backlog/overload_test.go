package backlog

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// step is the interval at which the tests feed an Overload.
const step = 10 * time.Millisecond

// loadFeed feeds an Overload with arrivals and answers at given rates.
type loadFeed struct {
	o        Overload
	now      time.Time
	deadline time.Duration
	// arrivals, answers and lost are the fractions of arrivals, answers and lost packets that
	// are due; lostShare is the share of flows whose first opening packet was lost.
	arrivals, answers float64
	lostShare, lost   float64
	// queued is the number of waiting requests, wait how long the next one would wait.
	queued float64
	wait   time.Duration
}

func newLoadFeed(deadline time.Duration) *loadFeed { return &loadFeed{now: start, deadline: deadline} }

// run feeds the overload for a span, with rates per second; free reports whether the target
// has a free slot in step i. It returns after how long an overload was first active, zero if
// it never was.
func (f *loadFeed) run(span time.Duration, arrived, answered float64, free func(i int) bool) time.Duration {
	active := time.Duration(0)
	for i := range int(span / step) {
		f.now = f.now.Add(step)
		f.o.SetSlotFree(f.now, free(i))
		for f.arrivals += arrived * step.Seconds(); f.arrivals >= 1; f.arrivals-- {
			f.lost += f.lostShare
			lost := f.lost >= 1
			if lost {
				f.lost--
			}
			f.o.Arrived(f.now, f.deadline, lost)
			f.queued++
		}
		for f.answers += answered * step.Seconds(); f.answers >= 1; f.answers-- {
			f.o.Answered(f.now)
			f.queued = max(f.queued-1, 0)
		}
		f.wait = time.Duration(f.queued / answered * float64(time.Second))
		if f.o.Active(f.now, f.wait) && active == 0 {
			active = time.Duration(i+1) * step
		}
	}
	return active
}

func never(int) bool  { return false }
func always(int) bool { return true }

// TestOverloadIsDetected: more requests arrive than are answered and no slot is free. The
// overload must be detected after a quarter of the deadline and the time that the window
// needs; a longer deadline leaves the backlog more time to pass.
func TestOverloadIsDetected(t *testing.T) {
	for deadline, most := range map[time.Duration]time.Duration{
		1200 * time.Millisecond: 1100 * time.Millisecond, 3 * time.Second: 1500 * time.Millisecond, 8 * time.Second: 2800 * time.Millisecond,
	} {
		f := newLoadFeed(deadline)
		require.Zero(t, f.run(3*time.Second, 50, 50, func(i int) bool { return i%2 == 0 }), "below the capacity")
		detected := f.run(4*time.Second, 180, 80, never)
		require.NotZero(t, detected, deadline)
		require.Greater(t, detected, deadline/4, deadline)
		require.Less(t, detected, most, deadline)
		require.True(t, f.o.Active(f.now, f.wait))
		f.run(300*time.Millisecond, 50, 50, func(i int) bool { return i%2 == 0 })
		require.False(t, f.o.Active(f.now, f.wait), "slots are free again")
	}
}

// TestBacklogAfterOutageIsNoOverload: the callers of an outage return all at once, and a third
// of the opening packets that arrive are retransmissions of lost ones. The backlog counts as
// an overload only if it is not gone after two deadlines.
func TestBacklogAfterOutageIsNoOverload(t *testing.T) {
	f := newLoadFeed(1200 * time.Millisecond)
	f.run(time.Second, 60, 60, always)
	f.lostShare = 0.33
	require.Zero(t, f.run(600*time.Millisecond, 240, 80, never))
	f.lostShare = 0
	require.Zero(t, f.run(1500*time.Millisecond, 65, 80, never))
	require.NotZero(t, f.run(2*time.Second, 65, 80, never), "longer than the callers of an outage wait")
}

// TestFailoverToBusyTargetIsNoOutage: a busy target receives the callers of lost targets, 1.6
// times what it can answer, a third of them by retransmissions of lost packets. That is an
// overload: the retransmissions are no sign that this target was unreachable.
func TestFailoverToBusyTargetIsNoOutage(t *testing.T) {
	f := newLoadFeed(1200 * time.Millisecond)
	require.Zero(t, f.run(3*time.Second, 70, 70, func(i int) bool { return i%10 < 3 }))
	f.lostShare = 0.33
	detected := f.run(3*time.Second, 128, 80, never)
	require.NotZero(t, detected)
	require.Less(t, detected, 1500*time.Millisecond)
}

// TestAFullTargetThatKeepsUpIsNotOverloaded: a target without a free slot is not overloaded
// while no request waits; with a backlog that does not shrink it is, after two deadlines.
func TestAFullTargetThatKeepsUpIsNotOverloaded(t *testing.T) {
	f := newLoadFeed(time.Second)
	require.Zero(t, f.run(10*time.Second, 80, 80, never))
	f = newLoadFeed(time.Second)
	f.queued = 20
	detected := f.run(4*time.Second, 80, 80, never)
	require.Greater(t, detected, 2*time.Second)
	require.Less(t, detected, 3500*time.Millisecond)
}

// TestShortLoadPeakIsNoOverload: for three seconds a twentieth more requests arrive than are
// answered. Callers wait for 0.15 s of a deadline of three seconds, so none is lost.
func TestShortLoadPeakIsNoOverload(t *testing.T) {
	f := newLoadFeed(3 * time.Second)
	require.Zero(t, f.run(3*time.Second, 84, 80, never))
	require.Zero(t, f.run(2*time.Second, 60, 80, never))
}

// TestNoOverloadWithoutDeadline: without a deadline it is unknown how long callers wait, so no
// backlog counts as an overload.
func TestNoOverloadWithoutDeadline(t *testing.T) {
	f := newLoadFeed(0)
	require.Zero(t, f.run(20*time.Second, 180, 80, never))
	require.Positive(t, f.o.Load(f.now).BacklogAge)
	require.InDelta(t, 180, f.o.Load(f.now).Arrived, 10)
	require.InDelta(t, 80, f.o.Load(f.now).Answered, 10)
}

// TestAnOverloadNeedsABacklog: whatever events occur in whatever order, no overload is active
// without a backlog.
func TestAnOverloadNeedsABacklog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var o Overload
		now, freeSince := start, start
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				o.Arrived(now, time.Duration(rapid.IntRange(0, 3000).Draw(t, "deadline"))*time.Millisecond, rapid.Bool().Draw(t, "lost"))
			case 1:
				o.Answered(now)
			case 2:
				free := rapid.Bool().Draw(t, "free")
				o.SetSlotFree(now, free)
				if free {
					freeSince = now
				}
			}
			if o.Active(now, time.Duration(rapid.IntRange(0, 3000).Draw(t, "wait"))*time.Millisecond) {
				require.False(t, !o.slotsFull && now.Sub(freeSince) > OverloadWindow, "slots were free for a window")
				require.Positive(t, o.Load(now).BacklogAge)
			}
		}
	})
}

// TestNextInTimeServesEarliestObjectiveFirst: requests that cannot meet their objective are
// served last.
func TestNextInTimeServesEarliestObjectiveFirst(t *testing.T) {
	q := Queue[int]{}
	q.Push(1, read(-500*time.Millisecond))
	q.Push(2, read(-20*time.Millisecond))
	q.Push(3, read(-60*time.Millisecond))
	var got []int
	for range 3 {
		key, ok := q.NextInTime(start, steadyEstimate())
		require.True(t, ok)
		got = append(got, key)
	}
	require.Equal(t, []int{3, 2, 1}, got)
	_, ok := q.NextInTime(start, steadyEstimate())
	require.False(t, ok)
}

// TestNextInTimeServesLikelyLateRequestsLast: the mean response time is 40 ms, and the first
// request has 45 ms left to meet its objective.
func TestNextInTimeServesLikelyLateRequestsLast(t *testing.T) {
	q := Queue[int]{}
	q.Push(1, read(-105*time.Millisecond))
	q.Push(2, read(-50*time.Millisecond))
	for _, want := range []int{2, 1} {
		got, ok := q.NextInTime(start, steadyEstimate())
		require.True(t, ok)
		require.Equal(t, want, got)
	}
}

// randomTarget is a target with Poisson arrivals and random service times. It has at most half
// as many requests again as slots; further requests wait.
type randomTarget struct {
	o     Overload
	now   time.Time
	rnd   *rand.Rand
	slots int
	work  time.Duration
	next  time.Time
	// completions are when the requests that it has will be answered; waiting counts those that
	// wait for it.
	completions []time.Time
	waiting     int
}

// run offers the target a share of its capacity for a span, and returns for how much of it an
// overload was active.
func (c *randomTarget) run(span time.Duration, share float64, deadline time.Duration) (active time.Duration) {
	mean := float64(c.work) / (share * float64(c.slots))
	c.next = c.now
	for end := c.now.Add(span); c.now.Before(end); c.now = c.now.Add(time.Millisecond) {
		c.complete()
		for ; !c.now.Before(c.next); c.next = c.next.Add(time.Duration(c.rnd.ExpFloat64() * mean)) {
			c.o.Arrived(c.now, deadline, false)
			c.waiting++
		}
		c.dispatch()
		c.o.SetSlotFree(c.now, len(c.completions) < c.slots)
		if c.o.Active(c.now, time.Duration(c.waiting)*c.work/time.Duration(c.slots)) {
			active += time.Millisecond
		}
	}
	return active
}

func (c *randomTarget) complete() {
	c.completions = slices.DeleteFunc(c.completions, func(end time.Time) bool {
		if end.After(c.now) {
			return false
		}
		c.o.Answered(c.now)
		return true
	})
}

// dispatch delivers waiting requests. Those beyond the slots begin when a slot becomes free.
func (c *randomTarget) dispatch() {
	for ; c.waiting > 0 && len(c.completions) < c.slots+c.slots/2; c.waiting-- {
		begins := c.now
		if ahead := len(c.completions); ahead >= c.slots {
			begins = slices.SortedFunc(slices.Values(c.completions), time.Time.Compare)[ahead-c.slots]
		}
		c.completions = append(c.completions, begins.Add(time.Duration((0.5+c.rnd.Float64())*float64(c.work))))
	}
}

// TestATargetBelowItsCapacityIsNotOverloaded: random load on two slots at 0.85 of their
// capacity is no overload.
func TestATargetBelowItsCapacityIsNotOverloaded(t *testing.T) {
	for seed := range uint64(3) {
		c := &randomTarget{now: start, rnd: rand.New(rand.NewPCG(seed, 1)), slots: 2, work: 24 * time.Millisecond}
		require.Zero(t, c.run(time.Minute, 0.85, 1200*time.Millisecond), "seed %d", seed)
	}
}

// TestRandomLoadSeldomCountsAsOverload: over an hour of random load at 0.85 of the capacity an
// overload is active for less than 0.2% of the time.
func TestRandomLoadSeldomCountsAsOverload(t *testing.T) {
	active := time.Duration(0)
	for seed := range uint64(60) {
		c := &randomTarget{now: start, rnd: rand.New(rand.NewPCG(seed, 1)), slots: 2, work: 24 * time.Millisecond}
		active += c.run(time.Minute, 0.85, 1200*time.Millisecond)
	}
	require.Less(t, active, time.Hour/500)
}

// TestATargetAtHalfItsCapacityIsNotOverloaded, and a target offered 2.4 times its capacity is.
func TestATargetAtHalfItsCapacityIsNotOverloaded(t *testing.T) {
	for _, slots := range []int{2, 3, 7, 16} {
		c := &randomTarget{now: start, rnd: rand.New(rand.NewPCG(1, 1)), slots: slots, work: 24 * time.Millisecond}
		require.Zero(t, c.run(time.Minute, 0.5, 1200*time.Millisecond), "slots %d", slots)
		require.NotZero(t, c.run(2*time.Second, 2.4, 1200*time.Millisecond), "slots %d: more than it can answer", slots)
	}
}
