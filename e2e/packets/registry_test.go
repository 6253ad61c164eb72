package packets

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/model/sim"
)

// returnWithMissingVMs runs a blackout of a deployment in three zones after which most of the
// registered VMs do not return, so that all balancers are uncertain at the same time whether
// flows have ended. It returns the calls at the store from the blackout on.
func returnWithMissingVMs(t *testing.T, balancers, registered int) (w *world, calls map[sim.Call]int) {
	w = newWorld(3)
	for i := range balancers {
		w.AddBalancer(zoneName(i))
	}
	for i := range 6 {
		w.addAgent(zoneName(i), serviceA)
	}
	w.Run(3 * time.Second)
	for i := range 2 * balancers {
		w.addClient(zoneName(i), frontA)
	}
	w.Run(time.Second)
	for i := range registered - 6 {
		ip := flow.IPv4(0x0b000000 + i)
		w.Registry[ip] = fleet.Entry{IP: ip, ProcessIncarnation: 1}
	}
	clear(w.Calls)
	blackout(w, outageTime, outageTime)
	w.Run(outageTime + restartSpread + discoveryTime)
	for _, c := range w.clients {
		c.request()
	}
	w.Run(7 * time.Second)
	require.Empty(t, w.violations)
	for _, c := range w.clients {
		require.Equal(t, stateReset, c.state, "flow %v", c.key)
	}
	return w, w.Calls
}

// TestRegistryReadsGrowWithTheZonesNotTheBalancers: balancers of a zone share snapshots, so
// the number of read pages is bounded by the zones and the pages of the registry.
func TestRegistryReadsGrowWithTheZonesNotTheBalancers(t *testing.T) {
	const zones, pages = 3, 4
	// One balancer of a zone reads, in 8 s of uncertainty at 0, 0.4, 1.2, 2.8, 4.4, 6 and
	// 7.6 s because the pauses double. At first some others do not know of it and read too.
	const maxReads = zones * (7 + 2) * pages
	for _, balancers := range []int{12, 30, 90} {
		_, calls := returnWithMissingVMs(t, balancers, 678)
		t.Logf("%d balancers: %v", balancers, calls)
		require.LessOrEqual(t, calls[sim.CallSnapshot], maxReads, "%d balancers", balancers)
		require.LessOrEqual(t, calls[sim.CallTargets], 2*balancers, "%d balancers", balancers)
	}
}

// TestEndedFlowsAreResetSoonDuringLongUncertainty: after a blackout, idle flows send their
// next packets one by one for seconds, and each reset needs a recent enough snapshot. A
// balancer that gets a snapshot older than its request must request the next one sooner.
func TestEndedFlowsAreResetSoonDuringLongUncertainty(t *testing.T) {
	const clients, pause, maxTime = 320, 25 * time.Millisecond, 400 * time.Millisecond
	w := newWorld(5)
	for i := range 24 {
		w.AddBalancer(zoneName(i))
	}
	for i := range 6 {
		w.addAgent(zoneName(i), serviceA)
	}
	w.Run(3 * time.Second)
	for i := range clients {
		w.addClient(zoneName(i), frontA)
	}
	w.Run(time.Second)
	blackout(w, outageTime, outageTime)
	w.Run(outageTime + restartSpread + discoveryTime + maxResetTime)
	for i, c := range w.clients {
		c.request()
		w.After(maxTime, func() {
			if c.state != stateReset {
				t.Errorf("flow %v, client %d: not reset within %v", c.key, i, maxTime)
			}
		})
		w.Run(pause)
	}
	w.Run(maxTime)
	require.Empty(t, w.violations)
}
