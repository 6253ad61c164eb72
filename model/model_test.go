package model

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poppywall/poppywall/model/sim"
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
	for pattern, most := range map[string]float64{"quiet": 0, "burst": 0, "release": 0.0005, "slow": 0, "roll": 0, "flap": 0.002, "partial": 0.008, "kill": 0.01, "evacuate": 0} {
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

// manyTargets is a deployment with 0.42 of its capacity in use, a fifth of it by requests
// that must not be repeated: what a bad target loses of these is lost.
func manyTargets() Deployment {
	d := Defaults()
	d.Name, d.Balancers = "many targets", 8
	d.Services = []Service{{Name: "main", Targets: 25, Slots: 2, Queue: 8, ColdTime: ms(2000), ColdFactor: 1.6}}
	d.Classes = []Class{
		{Name: "read", Service: "main", Rate: 440, Work: ms(30), Spread: 0.5, Objective: ms(250), Deadline: ms(3000), Priority: 2, Retries: 2},
		{Name: "write", Service: "main", Rate: 125, Work: ms(39), Spread: 0.5, Objective: ms(300), Deadline: ms(3000), Priority: 1, Unsafe: true, Retries: 2},
	}
	return d
}

// TestBadTargetsLoseFewWrites: patterns "flap" and "partial", in which three of 25 targets
// go down and up each 0.8 s, or fail 31% of their requests, for 6 of 13 s. Grounds of
// the figures: a target of 23 requests a second shows a third of failures within some 30
// requests, of which 2 writes are lost; what a target has in hand when it goes down the
// first time is lost (2 slots, a fifth of it writes), later ends find nothing in hand.
func TestBadTargetsLoseFewWrites(t *testing.T) {
	for pattern, most := range map[string]float64{"flap": 0.0012, "partial": 0.006} {
		var sum Result
		for seed := range uint64(8) {
			sum.Add(Play(Options{Deployment: manyTargets(), Pattern: pattern, At: 4 * time.Second, Length: 13 * time.Second, Seed: seed}))
		}
		write := sum.Classes[1].Count
		require.Greater(t, write.Asked, 5000, pattern)
		require.Less(t, write.Share(write.Lost+write.Refused), most, "%s %+v", pattern, write)
		require.Zero(t, sum.Doubled, pattern)
	}
}

// TestTargetsDoNotGetWhatNobodyWaitsFor: under a burst of four times the load, more than
// the targets can answer, callers leave in numbers while their requests wait, and their
// ends repeat these for seconds. None of these goes to a target once the caller's farewell
// has arrived; what the target had in its own queue by then it begins all the same.
func TestTargetsDoNotGetWhatNobodyWaitsFor(t *testing.T) {
	d := Defaults()
	for i := range d.Classes {
		d.Classes[i].Rate *= 2.2
	}
	var sum Result
	for seed := range uint64(4) {
		sum.Add(Play(Options{Deployment: d, Pattern: "burst", At: 3 * time.Second, Length: 9 * time.Second, Seed: seed}))
	}
	require.Greater(t, sum.All.Lost, 500, "%+v", sum.All)
	require.Zero(t, sum.ForNobody, "%+v", sum.All)
}

// TestCallsAtAStartGrowWithTheZones: a common start of everybody costs each agent its entry, each
// balancer the first targets at the most, and a zone a few entries and readings.
func TestCallsAtAStartGrowWithTheZones(t *testing.T) {
	for _, nodes := range []int{100, 300} {
		balancers := nodes * meshBalancers / meshNodes
		c := Mesh(nodes)
		t.Logf("%d nodes: %v", nodes, c.Calls)
		require.Equal(t, nodes-balancers, c.Calls[sim.CallRegister])
		require.LessOrEqual(t, c.Calls[sim.CallTargets], 2*balancers)
		require.LessOrEqual(t, c.Calls[sim.CallSurvey], 4*meshZones)
	}
}
