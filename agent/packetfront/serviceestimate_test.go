package packetfront

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poppywall/poppywall/fleet"
)

// delayed lets a target act on a request the given time after its arrival.
func delayed(took time.Duration, a answer) answer {
	return func(f *fixture, client int) {
		f.now = f.now.Add(took)
		a(f, client)
	}
}

var (
	served   = answerWith("HTTP/1.1 200 OK")
	failed   = answerWith("HTTP/1.1 500 Internal")
	shed     = answerWith("HTTP/1.1 503 Busy")
	noAnswer answer
)

// newObservedFixture returns an agent whose target has answered 40 requests in 40 ms each.
func newObservedFixture() *fixture {
	f := newFixture()
	for i := range 40 {
		f.requestWithoutACK(i, delayed(40*time.Millisecond, served))
	}
	return f
}

// TestFailuresDoNotChangeTheServiceEstimate: a target that fails, sheds or resets fast must not
// look fast.
func TestFailuresDoNotChangeTheServiceEstimate(t *testing.T) {
	for name, a := range map[string]answer{
		"errors in 1 ms": delayed(time.Millisecond, failed),
		"sheds in 1 ms":  delayed(time.Millisecond, shed),
		"resets in 1 ms": delayed(time.Millisecond, resetFlow),
		"hangs":          noAnswer,
	} {
		f := newObservedFixture()
		before := f.announcement(f.now).LoadReport
		require.NotZero(t, before.AnswerInterval, name)
		for i := range 40 {
			f.requestWithoutACK(100+i, a)
		}
		after := f.announcement(f.now).LoadReport
		require.Equal(t, before.AnswerInterval, after.AnswerInterval, name)
		require.Equal(t, before.ResponseTime, after.ResponseTime, name)
	}
}

// TestFailuresAloneGiveNoServiceEstimate: a target that has only failed reports no load, so it is
// treated as typical; its failures get it ejected.
func TestFailuresAloneGiveNoServiceEstimate(t *testing.T) {
	f := newFixture()
	for i := range 40 {
		f.requestWithoutACK(i, delayed(time.Millisecond, failed))
	}
	require.Zero(t, f.announcement(f.now).AnswerInterval)
	require.True(t, f.announcement(f.now).Ejected)
}

// TestServiceEstimateOfAnIdleTargetExpires: a target that took 7 times as long for 6 s is no longer
// announced as slow once it has been idle for a while, and the next requests give a new estimate.
func TestServiceEstimateOfAnIdleTargetExpires(t *testing.T) {
	f := newObservedFixture()
	usual := f.announcement(f.now).AnswerInterval
	slowUntil := f.now.Add(6 * time.Second)
	for i := 100; f.now.Before(slowUntil); i++ {
		f.requestWithoutACK(i, delayed(280*time.Millisecond, served))
	}
	require.Greater(t, f.announcement(f.now).AnswerInterval, 5*usual)
	f.now = f.now.Add(estimateTTL + time.Millisecond)
	f.Tick(f.now)
	require.Equal(t, fleet.LoadReport{}, f.announcement(f.now).LoadReport, "treated as typical, so it gets flows")
	for i := range 8 {
		f.requestWithoutACK(1000+i, delayed(40*time.Millisecond, served))
	}
	require.InDelta(t, float64(usual), float64(f.announcement(f.now).AnswerInterval), float64(usual)/10)
}

// TestServiceEstimateOfABusyTargetDoesNotExpire: the estimate stays valid while an answer is
// pending, however long it takes.
func TestServiceEstimateOfABusyTargetDoesNotExpire(t *testing.T) {
	f := newObservedFixture()
	f.openAndRequest(100)
	f.now = f.now.Add(estimateTTL + time.Millisecond)
	f.Tick(f.now)
	require.NotZero(t, f.announcement(f.now).AnswerInterval)
}
