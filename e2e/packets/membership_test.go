package packets

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/model/sim"
)

// requireAllAgentsKnown checks that the view of every balancer holds exactly the agents that
// are up.
func requireAllAgentsKnown(t require.TestingT, w *world) {
	for _, b := range w.Balancers {
		require.ElementsMatch(t, agentIPs(w), b.Core.View().Targets(), "balancer %v", b.IP)
	}
}

func agentIPs(w *world) []flow.IPv4 {
	var out []flow.IPv4
	for ip, a := range w.agents {
		if a.Up {
			out = append(out, ip)
		}
	}
	return out
}

// TestNodesDiscoverEachOtherDespitePacketLoss: every balancer must discover every agent after
// a start during which 30 % of the datagrams are lost.
func TestNodesDiscoverEachOtherDespitePacketLoss(t *testing.T) {
	for seed := range uint64(30) {
		w := newWorld(seed)
		w.Loss = 0.3
		addSmallFleet(w)
		w.Run(4 * time.Second)
		w.Loss = 0
		w.Run(4 * time.Second)
		requireAllAgentsKnown(t, w)
	}
}

// TestViewsConvergeAfterAPartition: of two nodes that could not reach each other when one of
// them started, neither introduces itself to the other later. Only the comparison of views
// finds the missing entry.
func TestViewsConvergeAfterAPartition(t *testing.T) {
	w := newWorld(2)
	addSmallFleet(w)
	w.Run(3 * time.Second)
	isolated := w.addAgent("z2", serviceA).IP
	w.Cut = func(from, to flow.IPv4) bool {
		return (from == isolated && to == w.Seeds[0]) || (from == w.Seeds[0] && to == isolated)
	}
	w.Run(3 * time.Second)
	require.False(t, w.Balancers[w.Seeds[0]].Core.View().HasTarget(isolated))
	w.Cut = func(_, _ flow.IPv4) bool { return false }
	w.Run(3 * time.Second)
	requireAllAgentsKnown(t, w)
}

// TestMessagesStayBoundedWhenNodesJoin bounds the messages per node and second in a fleet of
// 18 nodes, 8 of which joined late.
func TestMessagesStayBoundedWhenNodesJoin(t *testing.T) {
	w := newWorld(1)
	addSmallFleet(w)
	w.Run(3 * time.Second)
	for range 4 {
		w.AddBalancer("z1")
		w.addAgent("z2", serviceA)
	}
	w.Run(time.Second)
	before := w.Datagrams
	w.Run(10 * time.Second)
	nodes := len(w.Balancers) + len(w.agents)
	perNode := float64(w.Datagrams-before) / 10 / float64(nodes)
	// Each agent announces to 7 balancers every second, each balancer sends beacons to
	// 6 balancers every second and to 11 agents every two: some 10 messages/s per node.
	require.Less(t, perNode, 15.0)
	requireAllAgentsKnown(t, w)
}

// TestATargetThatStartsLateIsNotOverlooked: a balancer that starts after an agent that has no
// target yet must learn of the target as soon as the other balancers, even if the agent's first
// announcement to it after the target's start is lost. If the agent did not retry until the
// balancer acknowledges, the balancer would treat the target's first flows as ended.
func TestATargetThatStartsLateIsNotOverlooked(t *testing.T) {
	for seed := range uint64(20) {
		w := newWorld(seed)
		addSmallFleet(w)
		w.Run(3 * time.Second)
		a := w.addVM("z1", serviceA)
		w.Run(500 * time.Millisecond)
		newBalancer := w.AddBalancer("z1")
		w.Run(800 * time.Millisecond)
		lost := seed%2 == 0
		w.Cut = func(from, to flow.IPv4) bool {
			cut := lost && from == a.IP && to == newBalancer.IP
			lost = lost && !cut
			return cut
		}
		a.startTarget()
		// The agent announces it as ready once it has reported.
		w.After(targetStartupReport, a.heartbeat)
		w.Run(4 * sim.AgentTick)
		require.Contains(t, w.Registry, a.IP)
		known, ok := newBalancer.Core.View().Target(a.IP)
		require.True(t, ok, "seed %d", seed)
		require.Equal(t, fleet.Ready, known.State, "seed %d", seed)
	}
}

// TestDeadNodesLeaveTheRegistry: the entry of an agent that crashed is removed, that of one
// that restarts is not. Otherwise flows would stay uncertain because of the dead one.
func TestDeadNodesLeaveTheRegistry(t *testing.T) {
	w := newWorld(9)
	addSmallFleet(w)
	w.Run(3 * time.Second)
	agents := sortedAgents(w)
	dead, slow := agents[0], agents[1]
	dead.crash()
	dead.Stop()
	slow.Restart(3 * time.Second)
	w.Run(fleet.ExpireAfter + 5*time.Second)
	require.NotContains(t, w.Registry, dead.IP)
	require.Contains(t, w.Registry, slow.IP)
	require.Len(t, w.Registry, len(agents)-1)
}

// TestIsolatedReaperRemovesNoRunningNode: a balancer that receives nothing any more must not
// consider all other nodes dead and remove them from the registry.
func TestIsolatedReaperRemovesNoRunningNode(t *testing.T) {
	w := newWorld(10)
	addSmallFleet(w)
	w.Run(3 * time.Second)
	reaper := w.BalancerIPs()[0]
	w.Cut = func(from, to flow.IPv4) bool { return from == reaper || to == reaper }
	w.Run(2*fleet.ExpireAfter + 5*time.Second)
	require.Zero(t, w.RemovedWhileAlive)
}
