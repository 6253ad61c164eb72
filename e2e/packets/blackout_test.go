package packets

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// blackoutSpread is within which time of each other processes come back.
const blackoutSpread = 300 * time.Millisecond

// blackout ends all processes, and all targets too if targetsDown is not zero.
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

// TestVMWithoutTargetDoesNotKeepDeadFlows: a VM whose target does not come back and
// that is then taken away must not leave the balancers in doubt.
func TestVMWithoutTargetDoesNotKeepDeadFlows(t *testing.T) {
	w := newWorld(6)
	deployment(w)
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
	require.Equal(t, refused, c.state)
}

// TestATargetThatWasTakenAwayIsNotWaitedFor: after a power loss its VM is back for a
// moment, tells some balancers that its target is gone, and is taken away before
// the others start.
func TestATargetThatWasTakenAwayIsNotWaitedFor(t *testing.T) {
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
	require.NotContains(t, last.Core.View().Targets(), gone.IP)
	for _, c := range w.clients {
		c.request()
	}
	w.Run(time.Second)
	for _, c := range w.clients {
		require.Equal(t, refused, c.state)
	}
}

// TestBlackoutOfTheSystemAloneResetsNothing: targets that live keep their flows.
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
// away, and one agent comes back late: its target's flows are not reset meanwhile.
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
		if a.target == c.target {
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

// TestBalancersThatStartTogetherFindTargetsThatTheRegistryLacks: the store was away
// when those started, and is back just as all balancers start again. One balancer
// alone must not take a target for not there that another one has heard of meanwhile.
func TestBalancersThatStartTogetherFindTargetsThatTheRegistryLacks(t *testing.T) {
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
				a.target.full = true
			}
		}
		for _, ip := range w.BalancerIPs() {
			require.True(t, w.Balancers[ip].Core.View().HasTarget(fresh.IP), "seed %d: %v", seed, ip)
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
			require.Equal(t, fresh.target, c.target, "seed %d", seed)
			require.Equal(t, 2, c.answered, "seed %d", seed)
		}
	}
}
