package packets

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Sizes of the large fleet: those of a deployment of 136 targets that has added its
// spare ones twice, and a fifth of its balancers.
const (
	largeTargets   = 263
	largeBalancers = 12
	largeZones     = 6
)

// largeFleet is a deployment of hundreds of targets.
func largeFleet(w *world) {
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

// farewell lets a target that has drained say its last word and exit.
func (a *agentNode) farewell() {
	a.Core.Deregister(a.w.Now, a.target.life())
	a.crash()
}

// Times of a return of everything.
const (
	// darkTime is how long all VMs are without power.
	darkTime = 1200 * time.Millisecond
	// startSpread is how far apart they are back.
	startSpread = 300 * time.Millisecond
	// learnTime is what a balancer that has just started takes to hear of all targets.
	learnTime = 500 * time.Millisecond
	// resetWithin is how soon after that the clients of flows that are over are to
	// know.
	resetWithin = 300 * time.Millisecond
)

// deadFlowsReset ends everything, with the VMs that leave for good among it, lets all clients
// ask after the return and tells how many were told in time that their flows are
// over.
func deadFlowsReset(w *world, leaving ...*agentNode) int {
	for _, a := range leaving {
		a.Stop()
	}
	blackout(w, darkTime, darkTime)
	w.Run(darkTime + startSpread + learnTime)
	for _, c := range w.clients {
		c.request()
	}
	w.Run(resetWithin)
	told := 0
	for _, c := range w.clients {
		if c.state == refused {
			told++
		}
	}
	return told
}

// farewellIn returns a large fleet with open flows, one of whose targets said farewell
// some time ago.
func farewellIn(seed uint64, clients int, ago time.Duration) (*world, *agentNode) {
	w := newWorld(seed)
	largeFleet(w)
	w.Run(3 * time.Second)
	w.addClients(clients)
	w.Run(time.Second)
	leaving := sortedAgents(w)[7]
	leaving.drain()
	w.Run(time.Second)
	leaving.farewell()
	w.Run(ago)
	return w, leaving
}

const largeClients = 60

// TestATargetThatHasEndedHoldsUpNoReset: a target says farewell some time before
// everything loses power, and its VM does not come back. With hundreds of targets
// under release there is always one.
func TestATargetThatHasEndedHoldsUpNoReset(t *testing.T) {
	for _, ago := range []time.Duration{100, 700, 1400, 2800, 5000} {
		t.Run(fmt.Sprintf("%d ms", ago), func(t *testing.T) {
			w, leaving := farewellIn(uint64(40+ago), largeClients, ago*time.Millisecond)
			require.Equal(t, largeClients, deadFlowsReset(w, leaving))
			require.Empty(t, w.violations)
		})
	}
}

// TestAnAgentThatIsBackAnswersForItsTarget: the target said farewell in the moment in
// which everything lost power, so the store still lists its agent; that is back.
func TestAnAgentThatIsBackAnswersForItsTarget(t *testing.T) {
	w, leaving := farewellIn(46, largeClients, 0)
	require.Contains(t, w.Registry, leaving.IP)
	require.Equal(t, largeClients, deadFlowsReset(w))
	require.Empty(t, w.violations)
}

// TestAnEndThatTheStoreHasNotHeardOfIsWaitedForOnce: neither the store nor the agent
// can tell that the target has ended; for as long as a process takes to be restarted it
// may be back with its flows, and no longer.
func TestAnEndThatTheStoreHasNotHeardOfIsWaitedForOnce(t *testing.T) {
	w, leaving := farewellIn(47, largeClients, 0)
	require.Zero(t, deadFlowsReset(w, leaving))
	const absentTime = 4 * time.Second
	w.Run(absentTime)
	for _, c := range w.clients {
		require.Equal(t, refused, c.state)
	}
}
