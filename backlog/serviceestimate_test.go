package backlog

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestServiceEstimateFollowsTarget(t *testing.T) {
	p := NewServiceEstimate(50*time.Millisecond, 4)
	require.Equal(t, 12500*time.Microsecond, p.AnswerInterval())
	whole := func(took time.Duration, among int) {
		p.Observe(Completion{ResponseTime: took, ServiceTime: took, Concurrency: among}, 4)
	}
	whole(60*time.Millisecond, 6)
	require.Equal(t, 10*time.Millisecond, p.AnswerInterval(), "the first observation replaces the assumed value")
	require.Equal(t, 60*time.Millisecond, p.ResponseTime())
	for range 40 {
		whole(30*time.Millisecond, 2)
	}
	require.InDelta(t, 7.5e6, float64(p.AnswerInterval()), 1e5, "a target with free slots could take more")
	require.InDelta(t, 30e6, float64(p.ResponseTime()), 1e6)
	require.Equal(t, 1.0, p.WorkShare())
}

// TestUploadTimeIsNotServiceTime: of 20 uploads at a target, each with 95 ms of transfer and 5 ms
// of work, the target works on one at a time.
func TestUploadTimeIsNotServiceTime(t *testing.T) {
	p := NewServiceEstimate(50*time.Millisecond, 4)
	for range 400 {
		p.Observe(Completion{ResponseTime: 100 * time.Millisecond, ServiceTime: 5 * time.Millisecond, Concurrency: 20}, 4)
	}
	require.InDelta(t, minWorkShare, p.WorkShare(), 0.001, "a twentieth, raised to the lower limit")
	require.InDelta(t, 1.25e6, float64(p.AnswerInterval()), 1e4, "limited by its slots")
	require.InDelta(t, 100e6, float64(p.ResponseTime()), 1e5)
	require.Equal(t, 1.0, ServiceEstimate{}.WorkShare())
}

// TestSparseAnswersWeighMore: a target that gets few requests shows by these few that its service
// time has changed; at its full rate a single answer changes the estimate little.
func TestSparseAnswersWeighMore(t *testing.T) {
	settled := func() ServiceEstimate {
		p := NewServiceEstimate(50*time.Millisecond, 4)
		for range 100 {
			p.Observe(Completion{ResponseTime: 300 * time.Millisecond, ServiceTime: 300 * time.Millisecond, SincePrevious: 20 * time.Millisecond, Concurrency: 1}, 4)
		}
		return p
	}
	for gap, most := range map[time.Duration]int{10 * time.Millisecond: 82, 100 * time.Millisecond: 26, 10 * time.Second: 10} {
		p, answers := settled(), 0
		for ; p.ResponseTime() > 60*time.Millisecond; answers++ {
			p.Observe(Completion{ResponseTime: 40 * time.Millisecond, ServiceTime: 40 * time.Millisecond, SincePrevious: gap, Concurrency: 1}, 4)
		}
		require.LessOrEqual(t, answers, most, "an answer each %v", gap)
	}
}

// TestObservedNeedsMinimumAnswers: at first and after MarkStale the estimate is not reliable until
// minObservations answers; meanwhile it keeps its value.
func TestObservedNeedsMinimumAnswers(t *testing.T) {
	p := NewServiceEstimate(50*time.Millisecond, 4)
	done := func(took time.Duration) {
		p.Observe(Completion{ResponseTime: took, ServiceTime: took, Concurrency: 1}, 4)
	}
	for range minObservations {
		require.False(t, p.Observed())
		done(200 * time.Millisecond)
	}
	require.True(t, p.Observed())
	p.MarkStale()
	require.False(t, p.Observed())
	require.Equal(t, 200*time.Millisecond, p.ResponseTime())
	done(20 * time.Millisecond)
	require.Equal(t, 20*time.Millisecond, p.ResponseTime(), "observations before MarkStale have no weight")
}
