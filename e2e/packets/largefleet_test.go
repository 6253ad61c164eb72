package packets

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Sizes of the large fleet: the targets of a deployment of 136 that has added its spare
// ones twice, and a fifth of its balancers.
const (
	largeTargets   = 263
	largeBalancers = 12
	largeZones     = 6
)

// addLargeFleet adds the nodes of the large fleet.
func addLargeFleet(w *world) {
	zone := func(i int) string { return fmt.Sprintf("z%d", 1+i%largeZones) }
	for i := range largeBalancers {
		w.AddBalancer(zone(i))
	}
	for i := range largeTargets {
		service := serviceA
		if i%5 == 4 {
			service = serviceB
		}
		w.addAgent(zone(i), service)
	}
}

// addClients opens flows from all zones, on both fronts.
func (w *world) addClients(count int) {
	for i := range count {
		front := frontA
		if i%5 == 4 {
			front = frontB
		}
		w.addClient(fmt.Sprintf("z%d", 1+i%largeZones), front)
	}
}

// deregisterTarget makes a drained target deregister and exit.
func (a *agentNode) deregisterTarget() {
	a.Core.Deregister(a.w.Now, a.target.incarnation())
	a.crash()
}

// Times of a blackout of the whole deployment and of the return from it.
const (
	// outageTime is the time for which all VMs are without power.
	outageTime = 1200 * time.Millisecond
	// restartSpread is the time span over which they return.
	restartSpread = 300 * time.Millisecond
	// discoveryTime is the time that a balancer needs after its start to discover all targets.
	discoveryTime = 500 * time.Millisecond
	// maxResetTime is the time after that within which ended flows must be reset.
	maxResetTime = 300 * time.Millisecond
)

// resetsAfterBlackout ends all processes, sends a request on each flow after the return and
// returns the number of flows that were reset within maxResetTime. The agents in leaving do
// not return.
func resetsAfterBlackout(w *world, leaving ...*agentNode) int {
	for _, a := range leaving {
		a.Stop()
	}
	blackout(w, outageTime, outageTime)
	w.Run(outageTime + restartSpread + discoveryTime)
	for _, c := range w.clients {
		c.request()
	}
	w.Run(maxResetTime)
	resets := 0
	for _, c := range w.clients {
		if c.state == stateReset {
			resets++
		}
	}
	return resets
}

// newFleetWithDeregisteredTarget returns a large fleet with open flows in which a target
// deregistered the given time ago, and that target's agent.
func newFleetWithDeregisteredTarget(seed uint64, clients int, ago time.Duration) (*world, *agentNode) {
	w := newWorld(seed)
	addLargeFleet(w)
	w.Run(3 * time.Second)
	w.addClients(clients)
	w.Run(time.Second)
	leaving := sortedAgents(w)[7]
	leaving.drain()
	w.Run(time.Second)
	leaving.deregisterTarget()
	w.Run(ago)
	return w, leaving
}

const largeFleetClients = 60

// TestDeregisteredTargetDoesNotDelayResets: a target deregisters some time before a
// blackout, and its VM does not return. During a release of hundreds of targets there is
// always such a target.
func TestDeregisteredTargetDoesNotDelayResets(t *testing.T) {
	for _, ago := range []time.Duration{100, 700, 1400, 2800, 5000} {
		t.Run(fmt.Sprintf("%d ms", ago), func(t *testing.T) {
			w, leaving := newFleetWithDeregisteredTarget(uint64(40+ago), largeFleetClients, ago*time.Millisecond)
			require.Equal(t, largeFleetClients, resetsAfterBlackout(w, leaving))
			require.Empty(t, w.violations)
		})
	}
}

// TestReturnedAgentConfirmsThatItsTargetEnded: a target deregisters at the moment of a
// blackout, so its agent is still registered. The agent returns, so resets are not delayed.
func TestReturnedAgentConfirmsThatItsTargetEnded(t *testing.T) {
	w, leaving := newFleetWithDeregisteredTarget(46, largeFleetClients, 0)
	require.Contains(t, w.Registry, leaving.IP)
	require.Equal(t, largeFleetClients, resetsAfterBlackout(w))
	require.Empty(t, w.violations)
}

// TestUnrecordedDeregistrationDelaysResetsForABoundedTime: a target deregisters at the moment
// of a blackout and its VM does not return, so neither the store nor the agent shows that
// it has ended. Resets must wait as long as a process may take to restart with its flows,
// and no longer.
func TestUnrecordedDeregistrationDelaysResetsForABoundedTime(t *testing.T) {
	w, leaving := newFleetWithDeregisteredTarget(47, largeFleetClients, 0)
	require.Zero(t, resetsAfterBlackout(w, leaving))
	const absentTime = 4 * time.Second
	w.Run(absentTime)
	for _, c := range w.clients {
		require.Equal(t, stateReset, c.state)
	}
}
