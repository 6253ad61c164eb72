package packetfront

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poppywall/poppywall/flow"
)

// upload is a request whose body arrives in packets with a fixed gap; its target answers one
// service time after the last packet.
type upload struct {
	client  int
	packets int
	nextAt  time.Time
}

// runUploads starts a new upload each period for the given time; its packets arrive one gap apart.
// It returns how many flows the target got and how many were passed on, except for the first 5
// seconds, in which the agent has seen no answer yet.
func (f *fixture) runUploads(d, period, gap, work time.Duration, packets int) (taken, passedOn int) {
	const learning = 5 * time.Second
	began := f.now
	f.peak = 0
	var running []*upload
	for next := f.now; f.now.Sub(began) < d; f.now = f.now.Add(time.Millisecond) {
		if !f.now.Before(next) {
			next = next.Add(period)
			f.client++
			f.openFlow(f.client, routeEnvelope(2), 0)
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
		f.advanceUploads(&running, gap, work)
		f.peak = max(f.peak, f.flows.running)
		if f.now.UnixMilli()%50 == 0 {
			f.Tick(f.now)
			f.answerProbe()
		}
	}
	return taken, passedOn
}

// advanceUploads sends the due packet or answer of each upload.
func (f *fixture) advanceUploads(running *[]*upload, gap, work time.Duration) {
	left := (*running)[:0]
	for _, u := range *running {
		if f.now.Before(u.nextAt) {
			left = append(left, u)
			continue
		}
		if r := f.flows.get(keyOf(u.client)); r == nil {
			continue
		} else if r.queued != nil {
			// It is queued at the agent; the target works on it once it is dispatched.
			u.nextAt = f.now.Add(work)
			left = append(left, u)
			continue
		}
		if u.packets == 0 {
			f.targetSends(u.client, flow.ACK, 501, 10)
			continue
		}
		u.packets--
		f.sendRequest(u.client)
		u.nextAt = f.now.Add(gap)
		if u.packets == 0 {
			u.nextAt = f.now.Add(work)
		}
		left = append(left, u)
	}
	*running = left
}

// TestSlowUploadsKeepNoSlot: a target that is 1% busy must not be at its limit. The figures stem
// from 84 uploads a second to 9 targets of 4 slots, with 67 packets and 5 ms of service time each.
// Behind a full link they take 2 s instead of 40 ms, so 19 are in transfer to a target that works
// on 0.05 of them. When each counted as a request at the target, the limit of 6 turned away two of
// three.
func TestSlowUploadsKeepNoSlot(t *testing.T) {
	f := newSettledFixture()
	taken, passedOn := f.runUploads(20*time.Second, 107*time.Millisecond, 30*time.Millisecond, 5*time.Millisecond, 67)
	require.Zero(t, passedOn)
	require.Greater(t, taken, 130)
}

// TestFullTargetStaysAtItsLimit: as many concurrent requests, but with 200 ms of service time and
// bodies that arrive at once, are three times what four slots and a short queue hold. The rest
// is queued at the agent, and passed on once it cannot be served in time.
func TestFullTargetStaysAtItsLimit(t *testing.T) {
	f := newSettledFixture()
	f.runUploads(500*time.Millisecond, 10*time.Millisecond, time.Millisecond, 200*time.Millisecond, 1)
	require.Equal(t, 6, f.targetLimit())
	require.Equal(t, 6, f.peak)
	require.Positive(t, f.queue.Len(), "the rest is queued at the agent")
	_, passedOn := f.runUploads(20*time.Second, 10*time.Millisecond, time.Millisecond, 200*time.Millisecond, 1)
	require.Equal(t, 6, f.targetLimit())
	require.Equal(t, 6, f.peak)
	require.Greater(t, passedOn, 900, "of 1,500 flows the target can serve 300, and the clients of some have gone")
	require.Zero(t, f.queue.Len())
}
