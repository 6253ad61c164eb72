package model

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poppywall/poppywall/model/sim"
)

// simulate runs a pattern on the default deployment with the seeds 0 to seeds-1 and adds the results.
func simulate(pattern string, seeds uint64) Result {
	var sum Result
	for seed := range seeds {
		sum.Add(Simulate(Options{Deployment: DefaultDeployment(), Pattern: pattern, At: 3 * time.Second, Length: 9 * time.Second, Seed: seed}))
	}
	return sum
}

// TestMostRequestsAreServedAfterPowerLoss checks that after a power loss of all VMs nearly all
// requests are answered, although many of them late.
func TestMostRequestsAreServedAfterPowerLoss(t *testing.T) {
	r := simulate("return", 3)
	require.Less(t, r.Unserved(), 0.015, "%+v", r.All)
	require.Greater(t, r.Unserved(), 0.0, "flows that were open at the power loss end with it")
	require.Greater(t, r.All.Share(r.All.Late), 0.1)
	require.Zero(t, r.DuplicateExecutions)
}

func TestOtherPatternsServeNearlyAllRequests(t *testing.T) {
	for pattern, most := range map[string]float64{"quiet": 0, "burst": 0, "release": 0.0005, "slow": 0, "roll": 0, "flap": 0.002, "partial": 0.008, "kill": 0.01, "evacuate": 0} {
		r := simulate(pattern, 2)
		require.LessOrEqual(t, r.Unserved(), most, "%s %+v", pattern, r.All)
		require.Zero(t, r.DuplicateExecutions, pattern)
		require.Equal(t, r.All.Total, r.All.InTime+r.All.Late+r.All.Refused+r.All.Lost, pattern)
	}
}

func TestRunsAreDeterministic(t *testing.T) {
	require.Equal(t, simulate("return", 1), simulate("return", 1))
}

func BenchmarkSimulate(b *testing.B) {
	asked := 0
	for b.Loop() {
		r := Simulate(Options{Deployment: DefaultDeployment(), Pattern: "return", At: 3 * time.Second, Length: 9 * time.Second, Seed: 1})
		asked += r.All.Total
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(asked), "ns/request")
}

// manyTargets returns a deployment at 42% of its capacity. A fifth of the requests are unsafe:
// those that a faulty target loses are not retried.
func manyTargets() Deployment {
	d := DefaultDeployment()
	d.Name, d.Balancers = "many targets", 8
	d.Services = []Service{{Name: "main", Targets: 25, Slots: 2, Queue: 8, ColdTime: ms(2000), ColdFactor: 1.6}}
	d.Classes = []Class{
		{Name: "read", Service: "main", Rate: 440, Work: ms(30), Spread: 0.5, Objective: ms(250), Deadline: ms(3000), Priority: 2, Retries: 2},
		{Name: "write", Service: "main", Rate: 125, Work: ms(39), Spread: 0.5, Objective: ms(300), Deadline: ms(3000), Priority: 1, Unsafe: true, Retries: 2},
	}
	return d
}

// TestBadTargetsLoseFewWrites checks the share of writes lost by the patterns "flap" and
// "partial", in which three of 25 targets go down and up each 0.8 s, or fail 31% of their
// requests, for 6 of 13 s. Reasons for the bounds: at 23 requests per second a target's failure
// rate of a third shows within some 30 requests, of which 2 writes are lost. A target that goes
// down the first time loses the requests in its 2 slots, a fifth of them writes; when it goes
// down again it has none.
func TestBadTargetsLoseFewWrites(t *testing.T) {
	for pattern, most := range map[string]float64{"flap": 0.0012, "partial": 0.006} {
		var sum Result
		for seed := range uint64(8) {
			sum.Add(Simulate(Options{Deployment: manyTargets(), Pattern: pattern, At: 4 * time.Second, Length: 13 * time.Second, Seed: seed}))
		}
		write := sum.Classes[1].Count
		require.Greater(t, write.Total, 5000, pattern)
		require.Less(t, write.Share(write.Lost+write.Refused), most, "%s %+v", pattern, write)
		require.Zero(t, sum.DuplicateExecutions, pattern)
	}
}

// TestAbandonedRequestsAreNotDelivered checks that an agent does not deliver a request once the
// FIN of the caller that abandoned it has arrived. Under a burst of four times the load, more
// than the targets can answer, many callers give up while their requests are queued, and their
// clients retransmit these for seconds. Requests that are already in the target's own queue by
// then still run.
func TestAbandonedRequestsAreNotDelivered(t *testing.T) {
	d := DefaultDeployment()
	for i := range d.Classes {
		d.Classes[i].Rate *= 2.2
	}
	var sum Result
	for seed := range uint64(4) {
		sum.Add(Simulate(Options{Deployment: d, Pattern: "burst", At: 3 * time.Second, Length: 9 * time.Second, Seed: seed}))
	}
	require.Greater(t, sum.All.Lost, 500, "%+v", sum.All)
	require.Zero(t, sum.DeliveredAbandoned, "%+v", sum.All)
}

// TestStoreCallsAtStartGrowWithZones checks the calls to the store when all nodes start at once: one
// registration per agent, at most one read of the first targets per balancer, which takes up to two
// calls, and a few calls for registry snapshots per zone.
func TestStoreCallsAtStartGrowWithZones(t *testing.T) {
	for _, nodes := range []int{100, 300} {
		balancers := nodes * meshBalancers / meshNodes
		c := Mesh(nodes)
		t.Logf("%d nodes: %v", nodes, c.Calls)
		require.Equal(t, nodes-balancers, c.Calls[sim.CallRegister])
		require.LessOrEqual(t, c.Calls[sim.CallTargets], 2*balancers)
		require.LessOrEqual(t, c.Calls[sim.CallSnapshot], 4*meshZones)
	}
}
