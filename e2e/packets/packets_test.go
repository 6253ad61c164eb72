package packets

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
)

// deployment is three zones with a balancer each and hosts of two services.
func deployment(w *world) {
	zones := []string{"z1", "z2", "z3"}
	for _, z := range zones {
		w.addBalancer(z)
	}
	for _, z := range zones {
		w.addAgent(z, serviceA)
		w.addAgent(z, serviceB)
	}
	w.addAgent("z1", serviceA)
}

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

func TestFreshBalancerFindsOpenFlows(t *testing.T) {
	w := newWorld(2)
	deployment(w)
	w.run(3 * time.Second)
	var clients []*client
	for range 40 {
		clients = append(clients, w.addClient("z1", frontA))
	}
	w.run(time.Second)
	for _, b := range w.balancers {
		b.restart(100 * time.Millisecond)
	}
	w.run(1500 * time.Millisecond)
	for _, c := range clients {
		require.Equal(t, established, c.state)
		c.request()
	}
	w.run(time.Second)
	for _, c := range clients {
		require.Equal(t, c.asked, c.answered, "flow %v", c.key)
	}
	require.Empty(t, w.violations)
}

// TestADeadVMDoesNotHoldUpSearches: a packet that is passed on through a VM that
// has died without a word is lost there, and so would be the next one.
func TestADeadVMDoesNotHoldUpSearches(t *testing.T) {
	for seed := range uint64(10) {
		w := newWorld(seed)
		deployment(w)
		w.run(3 * time.Second)
		for range 60 {
			w.addClient("z1", frontA)
		}
		w.run(time.Second)
		dead := sortedAgents(w)[2]
		ended := dead.host
		dead.crash()
		dead.stop()
		fresh := w.addBalancer("z1")
		for _, ip := range w.balancerIPs() {
			// The fresh balancer learns of the dead VM as the others know it.
			if h, known := w.balancers[ip].core.View().Host(dead.ip); known {
				fresh.core.View().Announce(w.now, dead.ip, h.Announcement)
				break
			}
		}
		w.run(200 * time.Millisecond)
		for _, c := range w.clients {
			c.request()
		}
		w.run(700 * time.Millisecond)
		for _, c := range w.clients {
			if c.host != ended {
				require.Equal(t, c.asked, c.answered, "seed %d, flow %v", seed, c.key)
			}
		}
	}
}

func TestRefusedEverywhereIsResetAtOnce(t *testing.T) {
	w := newWorld(3)
	deployment(w)
	w.run(3 * time.Second)
	for _, a := range w.agents {
		a.host.full = true
	}
	c := w.addClient("z1", frontA)
	w.run(100 * time.Millisecond)
	require.Equal(t, refused, c.state)
}

func TestFlowsOfACrashedHostAreReset(t *testing.T) {
	w := newWorld(4)
	deployment(w)
	w.run(3 * time.Second)
	c := w.addClient("z1", frontA)
	w.run(500 * time.Millisecond)
	require.Equal(t, 1, c.answered)
	for _, a := range w.agents {
		if a.host == c.host {
			a.crash()
			w.after(200*time.Millisecond, a.startHost)
		}
	}
	c.request()
	w.run(time.Second)
	require.Equal(t, refused, c.state)
	require.Empty(t, w.violations)
}

// TestFlowsKeepTheirHosts is the stateful test: whatever happens, packets of
// open flows reach their hosts once the network is calm, and no rule is broken
// on the way.
func TestFlowsKeepTheirHosts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"))
		deployment(w)
		w.run(3 * time.Second)
		w.loss = rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(t, "loss")
		w.double = rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "double")
		w.late = rapid.SampledFrom([]time.Duration{time.Millisecond, 250 * time.Millisecond}).Draw(t, "late")
		for range rapid.IntRange(5, 40).Draw(t, "steps") {
			step(t, w)
			w.run(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
		}
		w.loss, w.double, w.late = 0, 0, time.Millisecond
		w.run(5 * time.Second)
		checkServed(t, w)
	})
}

// step does one thing that may happen to a deployment.
func step(t *rapid.T, w *world) {
	agents := sortedAgents(w)
	a := agents[rapid.IntRange(0, len(agents)-1).Draw(t, "agent")]
	ips := w.balancerIPs()
	b := w.balancers[ips[rapid.IntRange(0, len(ips)-1).Draw(t, "balancer")]]
	down := time.Duration(rapid.IntRange(1, 800).Draw(t, "down")) * time.Millisecond
	front := rapid.SampledFrom([]flow.Front{frontA, frontB}).Draw(t, "front")
	switch rapid.IntRange(0, 14).Draw(t, "what") {
	case 0:
		b.restart(down)
	case 1:
		a.restart(down)
	case 2:
		w.addBalancer("z2")
	case 3:
		w.addAgent("z3", a.service)
	case 4:
		a.drain()
	case 5:
		a.crash()
		w.after(down, func() {
			if a.host == nil {
				a.startHost()
			}
		})
	case 6:
		replaceHost(w, a)
	case 14:
		w.storeBack = w.now.Add(time.Duration(rapid.IntRange(100, 5000).Draw(t, "store away")) * time.Millisecond)
	case 12:
		blackout(w, down, down)
	case 13:
		blackout(w, down, 0)
	case 7:
		if a.host != nil {
			a.host.full = !a.host.full
		}
	default:
		for range 3 {
			w.addClient(a.zone, front)
		}
		for _, c := range w.clients {
			c.request()
		}
	}
}

// blackout ends all processes, and all hosts too if hostsDown is not zero.
func blackout(w *world, down, hostsDown time.Duration) {
	for _, ip := range w.balancerIPs() {
		w.balancers[ip].restart(down + time.Duration(w.rnd.Int64N(int64(300*time.Millisecond))))
	}
	for _, a := range sortedAgents(w) {
		if !a.up {
			continue
		}
		a.restart(down + time.Duration(w.rnd.Int64N(int64(300*time.Millisecond))))
		if hostsDown > 0 && a.host != nil {
			a.crash()
			w.after(hostsDown, func() {
				if a.host == nil {
					a.startHost()
				}
			})
		}
	}
}

// TestDeadFlowsAreResetAfterABlackout: clients need not wait for their time-outs.
func TestDeadFlowsAreResetAfterABlackout(t *testing.T) {
	w := newWorld(5)
	deployment(w)
	w.run(3 * time.Second)
	var clients []*client
	for range 20 {
		clients = append(clients, w.addClient("z1", frontA))
	}
	w.run(time.Second)
	blackout(w, time.Second, time.Second)
	w.run(2500 * time.Millisecond)
	for _, c := range clients {
		c.request()
	}
	w.run(700 * time.Millisecond)
	for _, c := range clients {
		require.Equal(t, refused, c.state, "flow %v", c.key)
	}
	require.Empty(t, w.violations)
}

// TestVMWithoutHostDoesNotKeepDeadFlows: a VM whose host does not come back and
// that is then taken away must not leave the balancers in doubt.
func TestVMWithoutHostDoesNotKeepDeadFlows(t *testing.T) {
	w := newWorld(6)
	deployment(w)
	w.run(3 * time.Second)
	c := w.addClient("z1", frontA)
	w.run(time.Second)
	var other *agentNode
	for _, a := range sortedAgents(w) {
		if a.host != c.host {
			other = a
		}
	}
	blackout(w, time.Second, 3*time.Second)
	w.run(2500 * time.Millisecond)
	other.core.Stop(w.now)
	other.stop()
	w.run(4 * time.Second)
	c.request()
	w.run(time.Second)
	require.Equal(t, refused, c.state)
}

// TestAHostThatWasTakenAwayIsNotWaitedFor: after a power loss its VM is back for a
// moment, tells some balancers that its host is gone, and is taken away before
// the others start.
func TestAHostThatWasTakenAwayIsNotWaitedFor(t *testing.T) {
	w := newWorld(11)
	deployment(w)
	w.run(3 * time.Second)
	gone := sortedAgents(w)[0]
	gone.core.Leave(w.now, gone.host.id)
	gone.host = nil
	w.run(time.Second)
	for range 20 {
		w.addClient("z1", frontA)
	}
	w.run(time.Second)
	blackout(w, 500*time.Millisecond, 500*time.Millisecond)
	last := w.balancers[w.balancerIPs()[2]]
	last.restart(2500 * time.Millisecond)
	w.run(1200 * time.Millisecond)
	gone.core.Stop(w.now)
	gone.stop()
	delete(w.registry, gone.ip)
	w.run(2500 * time.Millisecond)
	require.NotContains(t, last.core.View().Hosts(), gone.ip)
	for _, c := range w.clients {
		c.request()
	}
	w.run(time.Second)
	for _, c := range w.clients {
		require.Equal(t, refused, c.state)
	}
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

// TestBlackoutOfTheSystemAloneResetsNothing: hosts that live keep their flows.
func TestBlackoutOfTheSystemAloneResetsNothing(t *testing.T) {
	for seed := range uint64(10) {
		w := newWorld(seed)
		deployment(w)
		w.run(3 * time.Second)
		for range 20 {
			w.addClient("z1", frontA)
		}
		w.run(time.Second)
		blackout(w, time.Second, 0)
		for range 30 {
			for _, c := range w.clients {
				c.request()
			}
			w.run(100 * time.Millisecond)
		}
		checkServed(t, w)
		for _, c := range w.clients {
			require.Equal(t, established, c.state)
		}
	}
}

// TestALateAgentKeepsItsFlowsInDoubt: all processes are killed while the store is
// away, and one agent comes back late: its host's flows are not reset meanwhile.
// With leases that lapsed they were (found by the soak).
func TestALateAgentKeepsItsFlowsInDoubt(t *testing.T) {
	w := newWorld(8)
	deployment(w)
	w.run(4 * time.Second)
	c := w.addClient("z1", frontA)
	w.run(time.Second)
	w.storeBack = w.now.Add(500 * time.Millisecond)
	w.run(100 * time.Millisecond)
	for _, ip := range w.balancerIPs() {
		w.balancers[ip].restart(time.Second)
	}
	for _, a := range sortedAgents(w) {
		down := time.Second
		if a.host == c.host {
			down = 3500 * time.Millisecond
		}
		a.restart(down)
	}
	w.run(1500 * time.Millisecond)
	c.request()
	w.run(5 * time.Second)
	require.Empty(t, w.violations)
	require.Equal(t, established, c.state)
	require.Equal(t, c.asked, c.answered)
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

// replaceHost ends a host with its agent; its address serves the other service
// from then on.
func replaceHost(w *world, a *agentNode) {
	a.crash()
	a.stop()
	service := serviceA
	if a.service == serviceA {
		service = serviceB
	}
	w.after(2*time.Second, func() {
		if a.host == nil && !a.up {
			a.service = service
			a.start()
			a.startHost()
		}
	})
}

func sortedAgents(w *world) []*agentNode {
	var out []*agentNode
	for ip := flow.IPv4(0x0a000001); ip <= w.nextIP; ip++ {
		if a, ok := w.agents[ip]; ok {
			out = append(out, a)
		}
	}
	return out
}

// checkServed lets every open flow whose host lives ask once more.
func checkServed(t require.TestingT, w *world) {
	var asked []*client
	for _, c := range w.clients {
		if c.state == established && w.alive(c.host) && c.asked == c.answered {
			c.request()
			asked = append(asked, c)
		}
	}
	w.run(3 * time.Second)
	for _, c := range asked {
		if c.state == established && w.alive(c.host) {
			require.Equal(t, c.asked, c.answered, "flow %v at host %s\n%s", c.key, c.host.id, w.describe(c))
		}
	}
	require.Empty(t, w.violations)
}

// describe tells what the nodes know of a flow's host.
func (w *world) describe(c *client) string {
	text := ""
	for _, a := range sortedAgents(w) {
		if a.host == c.host {
			text += fmt.Sprintf("agent %v up %v serves %s, flow at host %+v\n", a.ip, a.up, a.service, *c.host.flows[c.key])
			for _, ip := range w.balancerIPs() {
				h, known := w.balancers[ip].core.View().Host(a.ip)
				text += fmt.Sprintf("balancer %v up %v knows it %v %+v\n", ip, w.balancers[ip].up, known, h)
			}
		}
	}
	return text
}
