package packetfront

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poppywall/poppywall/fleet"
)

// after lets a target act on a request some time after it came.
func after(took time.Duration, a answer) answer {
	return func(f *fixture, client int) {
		f.now = f.now.Add(took)
		a(f, client)
	}
}

var (
	served  = says("HTTP/1.1 200 OK")
	failed  = says("HTTP/1.1 500 Internal")
	shed    = says("HTTP/1.1 503 Busy")
	nothing answer
)

// paced returns an agent whose target has answered many requests in 40 ms each.
func paced() *fixture {
	f := newFixture()
	for i := range 40 {
		f.requestAtOnce(i, after(40*time.Millisecond, served))
	}
	return f
}

// TestATargetThatFailsFastDoesNotLookFast: what is not served says nothing of the pace.
func TestATargetThatFailsFastDoesNotLookFast(t *testing.T) {
	for name, a := range map[string]answer{
		"errors in 1 ms": after(time.Millisecond, failed),
		"sheds in 1 ms":  after(time.Millisecond, shed),
		"resets in 1 ms": after(time.Millisecond, resets),
		"hangs":          nothing,
	} {
		f := paced()
		before := f.announcement(f.now).LoadReport
		require.NotZero(t, before.AnswerInterval, name)
		for i := range 40 {
			f.requestAtOnce(100+i, a)
		}
		after := f.announcement(f.now).LoadReport
		require.Equal(t, before.AnswerInterval, after.AnswerInterval, name)
		require.Equal(t, before.ResponseTime, after.ResponseTime, name)
	}
}

// TestATargetThatFailsFromItsStartHasNoPace: it is taken for typical, and its failures are
// judged by themselves.
func TestATargetThatFailsFromItsStartHasNoPace(t *testing.T) {
	f := newFixture()
	for i := range 40 {
		f.requestAtOnce(i, after(time.Millisecond, failed))
	}
	require.Zero(t, f.announcement(f.now).AnswerInterval)
	require.True(t, f.announcement(f.now).Ejected)
}

// TestATargetThatWasSlowIsTriedAgain: one that took 7 times as long for 6 s is not said to be slow
// any more once it has been idle for a while, and is observed anew by the next requests.
func TestATargetThatWasSlowIsTriedAgain(t *testing.T) {
	f := paced()
	usual := f.announcement(f.now).AnswerInterval
	slowUntil := f.now.Add(6 * time.Second)
	for i := 100; f.now.Before(slowUntil); i++ {
		f.requestAtOnce(i, after(280*time.Millisecond, served))
	}
	require.Greater(t, f.announcement(f.now).AnswerInterval, 5*usual)
	f.now = f.now.Add(estimateTTL + time.Millisecond)
	f.Tick(f.now)
	require.Equal(t, fleet.LoadReport{}, f.announcement(f.now).LoadReport, "taken for typical, so it gets flows")
	for i := range 8 {
		f.requestAtOnce(1000+i, after(40*time.Millisecond, served))
	}
	require.InDelta(t, float64(usual), float64(f.announcement(f.now).AnswerInterval), float64(usual)/10)
}

// TestABusyTargetKeepsItsPace, however long its answer takes.
func TestABusyTargetKeepsItsPace(t *testing.T) {
	f := paced()
	f.ask(100)
	f.now = f.now.Add(estimateTTL + time.Millisecond)
	f.Tick(f.now)
	require.NotZero(t, f.announcement(f.now).AnswerInterval)
}
