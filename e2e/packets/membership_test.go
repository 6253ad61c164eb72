package packets

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
)

// requireKnown checks that every balancer that is up knows every agent.
func requireKnown(t require.TestingT, w *world) {
	for _, b := range w.balancers {
		require.ElementsMatch(t, agentIPs(w), b.core.View().Hosts(), "balancer %v", b.ip)
	}
}

func agentIPs(w *world) []flow.IPv4 {
	var out []flow.IPv4
	for ip, a := range w.agents {
		if a.up {
			out = append(out, ip)
		}
	}
	return out
}

func TestFleetLearnsItselfWhateverIsLost(t *testing.T) {
	for seed := range uint64(30) {
		w := newWorld(seed)
		w.loss = 0.3
		deployment(w)
		w.run(4 * time.Second)
		w.loss = 0
		w.run(4 * time.Second)
		requireKnown(t, w)
	}
}

// TestViewsAreComparedAfterACut: neither of two nodes that were cut off from each
// other when one of them started would tell the other one of itself.
func TestViewsAreComparedAfterACut(t *testing.T) {
	w := newWorld(2)
	deployment(w)
	w.run(3 * time.Second)
	apart := w.addAgent("z2", serviceA).ip
	w.cut = func(from, to flow.IPv4) bool {
		return (from == apart && to == w.seeds[0]) || (from == w.seeds[0] && to == apart)
	}
	w.run(3 * time.Second)
	require.False(t, w.balancers[w.seeds[0]].core.View().KnowsHost(apart))
	w.cut = func(_, _ flow.IPv4) bool { return false }
	w.run(3 * time.Second)
	requireKnown(t, w)
}

func TestMessagesStayBoundedWhenNodesJoin(t *testing.T) {
	w := newWorld(1)
	deployment(w)
	w.run(3 * time.Second)
	for range 4 {
		w.addBalancer("z1")
		w.addAgent("z2", serviceA)
	}
	w.run(time.Second)
	before := w.messages
	w.run(10 * time.Second)
	nodes := len(w.balancers) + len(w.agents)
	perNode := float64(w.messages-before) / 10 / float64(nodes)
	// Each agent announces to 7 balancers a second, each balancer sends beacons
	// to 6 balancers a second and to 11 agents in two: some 10 for each node.
	require.Less(t, perNode, 15.0)
	requireKnown(t, w)
}

// TestAHostThatStartsLateIsNotOverlooked: a balancer that started after the agent,
// while that had no host, knows the host as soon as others do, also when the first
// message about it is lost. Otherwise it would take the host's first flows for
// over. (Found on a day of the platform's bench.)
func TestAHostThatStartsLateIsNotOverlooked(t *testing.T) {
	for seed := range uint64(20) {
		w := newWorld(seed)
		deployment(w)
		w.run(3 * time.Second)
		a := &agentNode{w: w, ip: w.ip(), zone: "z1", service: serviceA}
		w.agents[a.ip] = a
		a.start()
		w.run(500 * time.Millisecond)
		fresh := w.addBalancer("z1")
		w.run(800 * time.Millisecond)
		lost := seed%2 == 0
		w.cut = func(from, to flow.IPv4) bool {
			cut := lost && from == a.ip && to == fresh.ip
			lost = lost && !cut
			return cut
		}
		a.startHost()
		w.run(4 * hostTick)
		require.Contains(t, w.registry, a.ip)
		known, ok := fresh.core.View().Host(a.ip)
		require.True(t, ok, "seed %d", seed)
		require.Equal(t, fleet.Ready, known.State, "seed %d", seed)
	}
}

// TestDeadNodesLeaveTheRegistry: an agent that died without a word is taken out,
// one that restarts is not, and flows are not in doubt for the dead one for ever.
func TestDeadNodesLeaveTheRegistry(t *testing.T) {
	w := newWorld(9)
	deployment(w)
	w.run(3 * time.Second)
	agents := sortedAgents(w)
	dead, late := agents[0], agents[1]
	dead.crash()
	dead.stop()
	late.restart(3 * time.Second)
	w.run(fleet.Forget + 5*time.Second)
	require.NotContains(t, w.registry, dead.ip)
	require.Contains(t, w.registry, late.ip)
	require.Len(t, w.registry, len(agents)-1)
}

// TestACutOffKeeperStrikesNobody: a balancer that hears nobody any more must not
// take all others for dead.
func TestACutOffKeeperStrikesNobody(t *testing.T) {
	w := newWorld(10)
	deployment(w)
	w.run(3 * time.Second)
	keeper := w.balancerIPs()[0]
	w.cut = func(from, to flow.IPv4) bool { return from == keeper || to == keeper }
	w.run(2*fleet.Forget + 5*time.Second)
	require.Zero(t, w.struckAlive)
}
