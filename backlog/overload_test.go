package backlog

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// step is the pace at which the tests feed an Overload.
const step = 10 * time.Millisecond

// flood feeds an overload for a span: rates are a second, free tells whether the target
// has a free slot at the moment. It returns when the overload was first found to stand.
type flood struct {
	o        Overload
	now      time.Time
	deadline time.Duration
	// due are the fractions of arrivals, lost packets and answers that are due.
	arrivals, answers float64
	lostShare, lost   float64
	// queue are the requests that wait, wait how long the next one would.
	queue float64
	wait  time.Duration
}

func newFlood(deadline time.Duration) *flood { return &flood{now: start, deadline: deadline} }

// play feeds it for a span and tells after how long it stood, zero if it did not.
func (f *flood) play(span time.Duration, arrived, answered float64, free func(i int) bool) time.Duration {
	stood := time.Duration(0)
	for i := range int(span / step) {
		f.now = f.now.Add(step)
		f.o.Slots(f.now, free(i))
		for f.arrivals += arrived * step.Seconds(); f.arrivals >= 1; f.arrivals-- {
			f.lost += f.lostShare
			lost := f.lost >= 1
			if lost {
				f.lost--
			}
			f.o.Arrived(f.now, f.deadline, lost)
			f.queue++
		}
		for f.answers += answered * step.Seconds(); f.answers >= 1; f.answers-- {
			f.o.Answered(f.now)
			f.queue = max(f.queue-1, 0)
		}
		f.wait = time.Duration(f.queue / answered * float64(time.Second))
		if f.o.Stands(f.now, f.wait) && stood == 0 {
			stood = time.Duration(i+1) * step
		}
	}
	return stood
}

func never(int) bool  { return false }
func always(int) bool { return true }

// TestAnOverloadIsTold: more arrives than is answered, no slot is free. After a quarter of
// the deadline and the time that the window needs it is told; a longer deadline leaves
// more time for it to pass.
func TestAnOverloadIsTold(t *testing.T) {
	for deadline, most := range map[time.Duration]time.Duration{
		1200 * time.Millisecond: 1100 * time.Millisecond, 3 * time.Second: 1500 * time.Millisecond, 8 * time.Second: 2800 * time.Millisecond,
	} {
		f := newFlood(deadline)
		require.Zero(t, f.play(3*time.Second, 50, 50, func(i int) bool { return i%2 == 0 }), "calm")
		stood := f.play(4*time.Second, 180, 80, never)
		require.NotZero(t, stood, deadline)
		require.Greater(t, stood, deadline/4, deadline)
		require.Less(t, stood, most, deadline)
		require.True(t, f.o.Stands(f.now, f.wait))
		f.play(300*time.Millisecond, 50, 50, func(i int) bool { return i%2 == 0 })
		require.False(t, f.o.Stands(f.now, f.wait), "slots are free again")
	}
}

// TestABacklogThatAnOutageLeftPasses: callers of the outage come all at once, a third of
// what arrives are copies of lost packets. It counts as standing only when it is not
// gone after two deadlines.
func TestABacklogThatAnOutageLeftPasses(t *testing.T) {
	f := newFlood(1200 * time.Millisecond)
	f.play(time.Second, 60, 60, always)
	f.lostShare = 0.33
	require.Zero(t, f.play(600*time.Millisecond, 240, 80, never))
	f.lostShare = 0
	require.Zero(t, f.play(1500*time.Millisecond, 65, 80, never))
	require.NotZero(t, f.play(2*time.Second, 65, 80, never), "longer than the callers of an outage wait")
}

// TestOthersThatAreLostAreNoOutage: a target that was busy gets the callers of targets that
// are lost, at 1.6 times what it can answer, a third of them by copies of packets that met nobody.
func TestOthersThatAreLostAreNoOutage(t *testing.T) {
	f := newFlood(1200 * time.Millisecond)
	require.Zero(t, f.play(3*time.Second, 70, 70, func(i int) bool { return i%10 < 3 }))
	f.lostShare = 0.33
	stood := f.play(3*time.Second, 128, 80, never)
	require.NotZero(t, stood)
	require.Less(t, stood, 1500*time.Millisecond)
}

// TestAFullTargetThatKeepsUpIsNotOverloaded while nobody waits; where a backlog waits that
// does not go away it is, after two deadlines.
func TestAFullTargetThatKeepsUpIsNotOverloaded(t *testing.T) {
	f := newFlood(time.Second)
	require.Zero(t, f.play(10*time.Second, 80, 80, never))
	f = newFlood(time.Second)
	f.queue = 20
	stood := f.play(4*time.Second, 80, 80, never)
	require.Greater(t, stood, 2*time.Second)
	require.Less(t, stood, 3500*time.Millisecond)
}

// TestACrestThatNobodyIsLostByIsNoOverload: a twentieth more than is answered for three
// seconds makes callers wait for 0.15 s, of the three that they can bear.
func TestACrestThatNobodyIsLostByIsNoOverload(t *testing.T) {
	f := newFlood(3 * time.Second)
	require.Zero(t, f.play(3*time.Second, 84, 80, never))
	require.Zero(t, f.play(2*time.Second, 60, 80, never))
}

// TestWithoutADeadlineNothingStands: nothing says how long callers wait.
func TestWithoutADeadlineNothingStands(t *testing.T) {
	f := newFlood(0)
	require.Zero(t, f.play(20*time.Second, 180, 80, never))
	require.Positive(t, f.o.Load(f.now).Lasted)
	require.InDelta(t, 180, f.o.Load(f.now).Arrived, 10)
	require.InDelta(t, 80, f.o.Load(f.now).Answered, 10)
}

// TestAnOverloadNeedsABacklog whatever arrives, in any order of events.
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
				o.Slots(now, free)
				if free {
					freeSince = now
				}
			}
			if o.Stands(now, time.Duration(rapid.IntRange(0, 3000).Draw(t, "wait"))*time.Millisecond) {
				require.False(t, !o.noSlot && now.Sub(freeSince) > OverloadWindow, "slots were free for a window")
				require.Positive(t, o.Load(now).Lasted)
			}
		}
	})
}

// TestInAnOverloadTheFirstObjectiveIsServedFirst, and those that cannot meet theirs wait.
func TestInAnOverloadTheFirstObjectiveIsServedFirst(t *testing.T) {
	q := Queue[int]{}
	q.Push(1, read(-500*time.Millisecond))
	q.Push(2, read(-20*time.Millisecond))
	q.Push(3, read(-60*time.Millisecond))
	var got []int
	for range 3 {
		key, ok := q.NextInTime(start, steady())
		require.True(t, ok)
		got = append(got, key)
	}
	require.Equal(t, []int{3, 2, 1}, got)
	_, ok := q.NextInTime(start, steady())
	require.False(t, ok)
}

// TestInAnOverloadWhatIsProbablyLateGoesLast: an answer takes 40 ms in the mean, 45 are left
// to the first objective.
func TestInAnOverloadWhatIsProbablyLateGoesLast(t *testing.T) {
	q := Queue[int]{}
	q.Push(1, read(-105*time.Millisecond))
	q.Push(2, read(-50*time.Millisecond))
	for _, want := range []int{2, 1} {
		got, ok := q.NextInTime(start, steady())
		require.True(t, ok)
		require.Equal(t, want, got)
	}
}

// chanceful is a target that is offered requests by chance, one with a work of its own after the
// other, and has half as many again as its slots at a time; the others wait for it.
type chanceful struct {
	o     Overload
	now   time.Time
	rnd   *rand.Rand
	slots int
	work  time.Duration
	next  time.Time
	// ends are when the requests that it has will be answered, waiting those behind them.
	ends    []time.Time
	waiting int
}

// play offers it a share of what it can answer for a span, and returns for how much of it an
// overload stood.
func (c *chanceful) play(span time.Duration, share float64, deadline time.Duration) (stood time.Duration) {
	mean := float64(c.work) / (share * float64(c.slots))
	c.next = c.now
	for end := c.now.Add(span); c.now.Before(end); c.now = c.now.Add(time.Millisecond) {
		c.answer()
		for ; !c.now.Before(c.next); c.next = c.next.Add(time.Duration(c.rnd.ExpFloat64() * mean)) {
			c.o.Arrived(c.now, deadline, false)
			c.waiting++
		}
		c.give()
		c.o.Slots(c.now, len(c.ends) < c.slots)
		if c.o.Stands(c.now, time.Duration(c.waiting)*c.work/time.Duration(c.slots)) {
			stood += time.Millisecond
		}
	}
	return stood
}

func (c *chanceful) answer() {
	c.ends = slices.DeleteFunc(c.ends, func(end time.Time) bool {
		if end.After(c.now) {
			return false
		}
		c.o.Answered(c.now)
		return true
	})
}

// give gives it requests that wait. What is beyond its slots begins when one of them is free.
func (c *chanceful) give() {
	for ; c.waiting > 0 && len(c.ends) < c.slots+c.slots/2; c.waiting-- {
		begins := c.now
		if ahead := len(c.ends); ahead >= c.slots {
			begins = slices.SortedFunc(slices.Values(c.ends), time.Time.Compare)[ahead-c.slots]
		}
		c.ends = append(c.ends, begins.Add(time.Duration((0.5+c.rnd.Float64())*float64(c.work))))
	}
}

// TestATargetBelowItsCapacityIsNotOverloaded: two slots at 0.85 of what they can answer are
// to count as free, whatever chance brings.
func TestATargetBelowItsCapacityIsNotOverloaded(t *testing.T) {
	for seed := range uint64(3) {
		c := &chanceful{now: start, rnd: rand.New(rand.NewPCG(seed, 1)), slots: 2, work: 24 * time.Millisecond}
		require.Zero(t, c.play(time.Minute, 0.85, 1200*time.Millisecond), "seed %d", seed)
	}
}

// TestChanceSeldomLooksLikeAnOverload at 0.85 of the capacity, over an hour of chance.
func TestChanceSeldomLooksLikeAnOverload(t *testing.T) {
	stood := time.Duration(0)
	for seed := range uint64(60) {
		c := &chanceful{now: start, rnd: rand.New(rand.NewPCG(seed, 1)), slots: 2, work: 24 * time.Millisecond}
		stood += c.play(time.Minute, 0.85, 1200*time.Millisecond)
	}
	require.Less(t, stood, time.Hour/500)
}

// TestATargetAtHalfItsCapacityIsNotOverloaded, and one that gets 2.4 times as much as it can
// answer is.
func TestATargetAtHalfItsCapacityIsNotOverloaded(t *testing.T) {
	for _, slots := range []int{2, 3, 7, 16} {
		c := &chanceful{now: start, rnd: rand.New(rand.NewPCG(1, 1)), slots: slots, work: 24 * time.Millisecond}
		require.Zero(t, c.play(time.Minute, 0.5, 1200*time.Millisecond), "slots %d", slots)
		require.NotZero(t, c.play(2*time.Second, 2.4, 1200*time.Millisecond), "slots %d: more than it can answer", slots)
	}
}
