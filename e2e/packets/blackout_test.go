package packets

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// blackout ends all processes, and all hosts too if hostsDown is not zero.
func blackout(w *world, down, hostsDown time.Duration) {
	for _, ip := range w.BalancerIPs() {
		w.Balancers[ip].Restart(down + time.Duration(w.Rnd.Int64N(int64(300*time.Millisecond))))
	}
	for _, a := range sortedAgents(w) {
		if !a.Up {
			continue
		}
		a.Restart(down + time.Duration(w.Rnd.Int64N(int64(300*time.Millisecond))))
		if hostsDown > 0 && a.host != nil {
			a.crash()
			w.After(hostsDown, func() {
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
	w.Run(3 * time.Second)
	var clients []*client
	for range 20 {
		clients = append(clients, w.addClient("z1", frontA))
	}
	w.Run(time.Second)
	blackout(w, time.Second, time.Second)
	w.Run(2500 * time.Millisecond)
	for _, c := range clients {
		c.request()
	}
	w.Run(700 * time.Millisecond)
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
	w.Run(3 * time.Second)
	c := w.addClient("z1", frontA)
	w.Run(time.Second)
	var other *agentNode
	for _, a := range sortedAgents(w) {
		if a.host != c.host {
			other = a
		}
	}
	blackout(w, time.Second, 3*time.Second)
	w.Run(2500 * time.Millisecond)
	other.Core.Stop(w.Now)
	other.Stop()
	w.Run(4 * time.Second)
	c.request()
	w.Run(time.Second)
	require.Equal(t, refused, c.state)
}

// TestAHostThatWasTakenAwayIsNotWaitedFor: after a power loss its VM is back for a
// moment, tells some balancers that its host is gone, and is taken away before
// the others start.
func TestAHostThatWasTakenAwayIsNotWaitedFor(t *testing.T) {
	w := newWorld(11)
	deployment(w)
	w.Run(3 * time.Second)
	gone := sortedAgents(w)[0]
	gone.farewell()
	w.Run(time.Second)
	for range 20 {
		w.addClient("z1", frontA)
	}
	w.Run(time.Second)
	blackout(w, 500*time.Millisecond, 500*time.Millisecond)
	last := w.Balancers[w.BalancerIPs()[2]]
	last.Restart(2500 * time.Millisecond)
	w.Run(1200 * time.Millisecond)
	gone.Core.Stop(w.Now)
	gone.Stop()
	delete(w.Registry, gone.IP)
	w.Run(2500 * time.Millisecond)
	require.NotContains(t, last.Core.View().Hosts(), gone.IP)
	for _, c := range w.clients {
		c.request()
	}
	w.Run(time.Second)
	for _, c := range w.clients {
		require.Equal(t, refused, c.state)
	}
}

// TestBlackoutOfTheSystemAloneResetsNothing: hosts that live keep their flows.
func TestBlackoutOfTheSystemAloneResetsNothing(t *testing.T) {
	for seed := range uint64(10) {
		w := newWorld(seed)
		deployment(w)
		w.Run(3 * time.Second)
		for range 20 {
			w.addClient("z1", frontA)
		}
		w.Run(time.Second)
		blackout(w, time.Second, 0)
		for range 30 {
			for _, c := range w.clients {
				c.request()
			}
			w.Run(100 * time.Millisecond)
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
	w.Run(4 * time.Second)
	c := w.addClient("z1", frontA)
	w.Run(time.Second)
	w.StoreBack = w.Now.Add(500 * time.Millisecond)
	w.Run(100 * time.Millisecond)
	for _, ip := range w.BalancerIPs() {
		w.Balancers[ip].Restart(time.Second)
	}
	for _, a := range sortedAgents(w) {
		down := time.Second
		if a.host == c.host {
			down = 3500 * time.Millisecond
		}
		a.Restart(down)
	}
	w.Run(1500 * time.Millisecond)
	c.request()
	w.Run(5 * time.Second)
	require.Empty(t, w.violations)
	require.Equal(t, established, c.state)
	require.Equal(t, c.asked, c.answered)
}

// TestBalancersThatStartTogetherFindHostsThatTheRegistryLacks: the store was away
// when those started, and is back just as all balancers start again. One balancer
// alone must not take a host for not there that another one has heard of meanwhile.
func TestBalancersThatStartTogetherFindHostsThatTheRegistryLacks(t *testing.T) {
	for seed := range uint64(400) {
		w := newWorld(seed)
		deployment(w)
		for range 3 {
			w.AddBalancer("z2")
		}
		w.Run(3 * time.Second)
		w.StoreBack = w.Now.Add(2 * time.Second)
		fresh := w.addAgent("z3", serviceA)
		w.Run(600 * time.Millisecond)
		for _, a := range sortedAgents(w) {
			if a.Service == serviceA && a != fresh {
				a.host.full = true
			}
		}
		for _, ip := range w.BalancerIPs() {
			require.True(t, w.Balancers[ip].Core.View().KnowsHost(fresh.IP), "seed %d: %v", seed, ip)
		}
		for range 12 {
			w.addClient("z1", frontA)
			w.Run(80 * time.Millisecond)
		}
		for _, ip := range w.BalancerIPs() {
			w.Balancers[ip].Restart(time.Duration(w.Rnd.Int64N(int64(600 * time.Millisecond))))
		}
		w.Run(400 * time.Millisecond)
		for _, c := range w.clients {
			c.request()
		}
		w.Run(3 * time.Second)
		require.Empty(t, w.violations, "seed %d", seed)
		for _, c := range w.clients {
			require.Equal(t, fresh.host, c.host, "seed %d", seed)
			require.Equal(t, 2, c.answered, "seed %d", seed)
		}
	}
}
