package packetfront

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poppywall/poppywall/flow"
)

// upload is a request whose body comes in packets, one each gap; its target answers a
// work after the last one.
type upload struct {
	client  int
	packets int
	nextAt  time.Time
}

// uploads plays a service for a time: a new upload each period, packets each gap apart. It
// returns how many the target got and how many were passed on, those of the first
// seconds left out in which the agent has seen no answer yet.
func (f *fixture) uploads(d, period, gap, work time.Duration, packets int) (taken, passedOn int) {
	const learning = 5 * time.Second
	began := f.now
	f.peak = 0
	var running []*upload
	for next := f.now; f.now.Sub(began) < d; f.now = f.now.Add(time.Millisecond) {
		if !f.now.Before(next) {
			next = next.Add(period)
			f.client++
			f.opens(f.client, load(2), 0)
			got := f.flows.get(keyOf(f.client)) != nil
			if f.now.Sub(began) > learning {
				if got {
					taken++
				} else {
					passedOn++
				}
			}
			if got {
				running = append(running, &upload{f.client, packets, f.now})
			}
		}
		f.step(&running, gap, work)
		f.peak = max(f.peak, f.flows.running)
		if f.now.UnixMilli()%50 == 0 {
			f.Tick(f.now)
			f.target.awaitingSince = time.Time{}
		}
	}
	return taken, passedOn
}

// step sends what is due of each upload.
func (f *fixture) step(running *[]*upload, gap, work time.Duration) {
	left := (*running)[:0]
	for _, u := range *running {
		if f.now.Before(u.nextAt) {
			left = append(left, u)
			continue
		}
		if r := f.flows.get(keyOf(u.client)); r == nil {
			continue
		} else if r.queued != nil {
			// It waits at the agent; the target works on it from its release on.
			u.nextAt = f.now.Add(work)
			left = append(left, u)
			continue
		}
		if u.packets == 0 {
			f.targetSends(u.client, flow.ACK, 501, 10)
			continue
		}
		u.packets--
		f.asks(u.client)
		u.nextAt = f.now.Add(gap)
		if u.packets == 0 {
			u.nextAt = f.now.Add(work)
		}
		left = append(left, u)
	}
	*running = left
}

// TestSlowUploadsKeepNoSlot: a target that is 1% busy is never at its limit. Grounds of the
// figures: 84 uploads a second over 9 targets of 4 slots, 67 packets and 5 ms of work
// each; where a link in front is full they take 2 s instead of 40 ms, so 19 are on their
// way to a target that works on 0.05 of them. When each of them counted as a request at
// the target, its limit of 6 turned two of three away.
func TestSlowUploadsKeepNoSlot(t *testing.T) {
	f := longThere()
	taken, passedOn := f.uploads(20*time.Second, 107*time.Millisecond, 30*time.Millisecond, 5*time.Millisecond, 67)
	require.Zero(t, passedOn)
	require.Greater(t, taken, 130)
}

// TestATargetThatIsFullStillIs: the same number of requests at once, but of 200 ms of work
// each and whole at once, is three times what four slots and a short queue take. The rest
// waits at the agent until it is clear that it will not be served, and is passed on from
// then on.
func TestATargetThatIsFullStillIs(t *testing.T) {
	f := longThere()
	f.uploads(500*time.Millisecond, 10*time.Millisecond, time.Millisecond, 200*time.Millisecond, 1)
	require.Equal(t, 6, f.targetLimit())
	require.Equal(t, 6, f.peak)
	require.Positive(t, f.queue.Len(), "the rest waits at the agent, in its order")
	_, passedOn := f.uploads(20*time.Second, 10*time.Millisecond, time.Millisecond, 200*time.Millisecond, 1)
	require.Equal(t, 6, f.targetLimit())
	require.Equal(t, 6, f.peak)
	require.Greater(t, passedOn, 900, "of 1,500 flows the target can serve 300, and the clients of some have gone")
	require.Zero(t, f.queue.Len())
}
