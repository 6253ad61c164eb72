package model

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// play plays a pattern on the default deployment with some seeds.
func play(pattern string, seeds uint64) Result {
	var sum Result
	for seed := range seeds {
		sum.Add(Play(Options{Deployment: Defaults(), Pattern: pattern, At: 3 * time.Second, Length: 9 * time.Second, Seed: seed}))
	}
	return sum
}

// TestReturnOfAll: after a power loss of everything nearly everybody is served,
// though most of them late.
func TestReturnOfAll(t *testing.T) {
	r := play("return", 3)
	require.Less(t, r.Unserved(), 0.015, "%+v", r.All)
	require.Greater(t, r.Unserved(), 0.0, "flows that were open at the power loss end with it")
	require.Greater(t, r.All.Share(r.All.Late), 0.1)
	require.Zero(t, r.Doubled)
}

func TestOtherPatternsLoseHardlyAnything(t *testing.T) {
	for pattern, most := range map[string]float64{"quiet": 0, "burst": 0, "release": 0.0005, "slow": 0, "roll": 0, "flap": 0.002, "partial": 0.008, "kill": 0.01} {
		r := play(pattern, 2)
		require.LessOrEqual(t, r.Unserved(), most, "%s %+v", pattern, r.All)
		require.Zero(t, r.Doubled, pattern)
		require.Equal(t, r.All.Asked, r.All.InTime+r.All.Late+r.All.Refused+r.All.Lost, pattern)
	}
}

func TestARunRepeats(t *testing.T) {
	require.Equal(t, play("return", 1), play("return", 1))
}

func BenchmarkPlay(b *testing.B) {
	asked := 0
	for b.Loop() {
		r := Play(Options{Deployment: Defaults(), Pattern: "return", At: 3 * time.Second, Length: 9 * time.Second, Seed: 1})
		asked += r.All.Asked
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(asked), "ns/request")
}
