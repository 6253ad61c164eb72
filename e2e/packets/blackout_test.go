package packets

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// blackoutSpread is the time span over which processes restart after a blackout.
const blackoutSpread = 300 * time.Millisecond

// blackout restarts all processes after down, and all targets after targetsDown unless it
// is zero.
func blackout(w *world, down, targetsDown time.Duration) {
	for _, ip := range w.BalancerIPs() {
		w.Balancers[ip].Restart(down + time.Duration(w.Rnd.Int64N(int64(blackoutSpread))))
	}
	for _, a := range sortedAgents(w) {
		if !a.Up {
			continue
		}
		a.Restart(down + time.Duration(w.Rnd.Int64N(int64(blackoutSpread))))
		if targetsDown > 0 && a.target != nil {
			a.crash()
			w.After(targetsDown, func() {
				if a.target == nil {
					a.startTarget()
				}
			})
		}
	}
}

// TestDeadFlowsAreResetAfterABlackout: flows whose targets ended must be reset, so that
// clients need not wait for their timeouts.
func TestDeadFlowsAreResetAfterABlackout(t *testing.T) {
	w := newWorld(5)
	addSmallFleet(w)
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
		require.Equal(t, stateReset, c.state, "flow %v", c.key)
	}
	require.Empty(t, w.violations)
}

// TestVMWithoutTargetDoesNotKeepDeadFlows: a VM whose target does not restart and that is
// then removed must not leave the balancers uncertain about ended flows.
func TestVMWithoutTargetDoesNotKeepDeadFlows(t *testing.T) {
	w := newWorld(6)
	addSmallFleet(w)
	w.Run(3 * time.Second)
	c := w.addClient("z1", frontA)
	w.Run(time.Second)
	var other *agentNode
	for _, a := range sortedAgents(w) {
		if a.target != c.target {
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
	require.Equal(t, stateReset, c.state)
}

// TestRemovedTargetDoesNotDelayResets: after a power loss the target's VM returns for a
// moment, announces to some balancers that its target is gone, and is removed before
// another balancer starts. That one must not wait for the target before it resets flows.
func TestRemovedTargetDoesNotDelayResets(t *testing.T) {
	w := newWorld(11)
	addSmallFleet(w)
	w.Run(3 * time.Second)
	removed := sortedAgents(w)[0]
	removed.deregisterTarget()
	w.Run(time.Second)
	for range 20 {
		w.addClient("z1", frontA)
	}
	w.Run(time.Second)
	blackout(w, 500*time.Millisecond, 500*time.Millisecond)
	lateBalancer := w.Balancers[w.BalancerIPs()[2]]
	lateBalancer.Restart(2500 * time.Millisecond)
	w.Run(1200 * time.Millisecond)
	removed.Core.Stop(w.Now)
	removed.Stop()
	delete(w.Registry, removed.IP)
	w.Run(2500 * time.Millisecond)
	require.NotContains(t, lateBalancer.Core.View().Targets(), removed.IP)
	for _, c := range w.clients {
		c.request()
	}
	w.Run(time.Second)
	for _, c := range w.clients {
		require.Equal(t, stateReset, c.state)
	}
}

// TestBlackoutOfTheSystemAloneResetsNothing: if all balancers and agents restart but the
// targets keep running, all flows must be kept.
func TestBlackoutOfTheSystemAloneResetsNothing(t *testing.T) {
	for seed := range uint64(10) {
		w := newWorld(seed)
		addSmallFleet(w)
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
		checkOpenFlowsAnswered(t, w)
		for _, c := range w.clients {
			require.Equal(t, stateEstablished, c.state)
		}
	}
}

// TestFlowsOfALateAgentAreNotReset: all processes are killed while the store is
// unavailable, and one agent returns late. Its target's flows must not be reset meanwhile.
// The soak found that they were when the registry's leases had lapsed.
func TestFlowsOfALateAgentAreNotReset(t *testing.T) {
	w := newWorld(8)
	addSmallFleet(w)
	w.Run(4 * time.Second)
	c := w.addClient("z1", frontA)
	w.Run(time.Second)
	w.StoreDownUntil = w.Now.Add(500 * time.Millisecond)
	w.Run(100 * time.Millisecond)
	for _, ip := range w.BalancerIPs() {
		w.Balancers[ip].Restart(time.Second)
	}
	for _, a := range sortedAgents(w) {
		down := time.Second
		if a.target == c.target {
			down = 3500 * time.Millisecond
		}
		a.Restart(down)
	}
	w.Run(1500 * time.Millisecond)
	c.request()
	w.Run(5 * time.Second)
	require.Empty(t, w.violations)
	require.Equal(t, stateEstablished, c.state)
	require.Equal(t, c.requested, c.answered)
}

// TestBalancersThatStartTogetherFindTargetsThatTheRegistryLacks: the store was unavailable
// when the target started, and returns just as all balancers restart. No balancer may
// conclude on its own that the target is absent if another one has received from it meanwhile.
func TestBalancersThatStartTogetherFindTargetsThatTheRegistryLacks(t *testing.T) {
	for seed := range uint64(400) {
		w := newWorld(seed)
		addSmallFleet(w)
		for range 3 {
			w.AddBalancer("z2")
		}
		w.Run(3 * time.Second)
		w.StoreDownUntil = w.Now.Add(2 * time.Second)
		unregistered := w.addAgent("z3", serviceA)
		w.Run(600 * time.Millisecond)
		for _, a := range sortedAgents(w) {
			if a.Service == serviceA && a != unregistered {
				a.target.full = true
			}
		}
		for _, ip := range w.BalancerIPs() {
			require.True(t, w.Balancers[ip].Core.View().HasTarget(unregistered.IP), "seed %d: %v", seed, ip)
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
			require.Equal(t, unregistered.target, c.target, "seed %d", seed)
			require.Equal(t, 2, c.answered, "seed %d", seed)
		}
	}
}
