package packets

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/model/sim"
)

// doubtfulReturn is the return of everybody with so many balancers in three zones, after
// which some VMs of a registry of so many do not come back: all balancers doubt at the same
// time whether flows are over. It returns the calls at the store from then on.
func doubtfulReturn(t *testing.T, balancers, registered int) (w *world, calls map[sim.Call]int) {
	w = newWorld(3)
	for i := range balancers {
		w.AddBalancer(meshZone(i))
	}
	for i := range 6 {
		w.addAgent(meshZone(i), serviceA)
	}
	w.Run(3 * time.Second)
	for i := range 2 * balancers {
		w.addClient(meshZone(i), frontA)
	}
	w.Run(time.Second)
	for i := range registered - 6 {
		ip := flow.IPv4(0x0b000000 + i)
		w.Registry[ip] = fleet.Entry{IP: ip, Incarnation: 1}
	}
	clear(w.Calls)
	blackout(w, darkTime, darkTime)
	w.Run(darkTime + startSpread + learnTime)
	for _, c := range w.clients {
		c.request()
	}
	w.Run(7 * time.Second)
	require.Empty(t, w.violations)
	for _, c := range w.clients {
		require.Equal(t, refused, c.state, "flow %v", c.key)
	}
	return w, w.Calls
}

// TestReadingsOfTheRegistryGrowWithTheZones and its pages, not with the balancers.
func TestReadingsOfTheRegistryGrowWithTheZones(t *testing.T) {
	const zones, pages = 3, 4
	// One balancer of a zone reads, with the doubling pauses of 8 s of doubt: 0, 0.4, 1.2,
	// 2.8, 4.4, 6, 7.6 s. At first some do not know of it.
	const most = zones * (7 + 2) * pages
	for _, balancers := range []int{12, 30, 90} {
		_, calls := doubtfulReturn(t, balancers, 678)
		t.Logf("%d balancers: %v", balancers, calls)
		require.LessOrEqual(t, calls[sim.CallSurvey], most, "%d balancers", balancers)
		require.LessOrEqual(t, calls[sim.CallTargets], 2*balancers, "%d balancers", balancers)
	}
}

// TestFlowsThatAreOverAreToldSoonHoweverLongDoubtLasts: long flows speak one after the other for
// seconds after the return of everybody, and each needs a reading that is young enough. A
// balancer that is given one that is older than its question asks again sooner.
func TestFlowsThatAreOverAreToldSoonHoweverLongDoubtLasts(t *testing.T) {
	const clients, pause, within = 320, 25 * time.Millisecond, 400 * time.Millisecond
	w := newWorld(5)
	for i := range 24 {
		w.AddBalancer(meshZone(i))
	}
	for i := range 6 {
		w.addAgent(meshZone(i), serviceA)
	}
	w.Run(3 * time.Second)
	for i := range clients {
		w.addClient(meshZone(i), frontA)
	}
	w.Run(time.Second)
	blackout(w, darkTime, darkTime)
	w.Run(darkTime + startSpread + learnTime + resetWithin)
	for i, c := range w.clients {
		c.request()
		w.After(within, func() {
			if c.state != refused {
				t.Errorf("flow %v, client %d: not told within %v", c.key, i, within)
			}
		})
		w.Run(pause)
	}
	w.Run(within)
	require.Empty(t, w.violations)
}
