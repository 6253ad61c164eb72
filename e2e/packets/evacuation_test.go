package packets

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poppywall/poppywall/flow"
)

const (
	// emptyWithin is how soon after the store's answer no new flow may reach a target
	// of an emptied zone, by nodes that nothing ails. Beacons to a zone's balancers are
	// repeated each second, to others each 2.5 s at most.
	emptyWithin = 5 * time.Second
	// heardWithin is how soon those whom it concerns have heard: the simulated shells
	// look at the store with each tick.
	heardWithin = 150 * time.Millisecond
	// refusedWithin is how soon a client is told that all zones are emptied.
	refusedWithin = 20 * time.Millisecond
)

// empty empties a zone or takes it back.
func (w *world) empty(zone string, empty bool) {
	if !w.Empty(zone, empty) {
		return
	}
	delete(w.emptiedAt, zone)
	if empty {
		w.emptiedAt[zone] = w.Now
	}
}

// troubled notes that nodes may be kept from hearing of an evacuation until a moment.
func (w *world) troubled(until time.Time) {
	if until.After(w.calmSince) {
		w.calmSince = until
	}
}

// mayOpen tells whether a target of a zone may still take a new flow.
func (w *world) mayOpen(zone string) bool {
	at, emptied := w.emptiedAt[zone]
	if !emptied {
		return true
	}
	if at.Before(w.calmSince) {
		at = w.calmSince
	}
	return w.Now.Sub(at) <= emptyWithin
}

// requireEvacuated checks that every process acts on what the store has.
func (w *world) requireEvacuated(t require.TestingT) {
	want := w.Evacuations.Zones()
	for _, ip := range w.BalancerIPs() {
		if b := w.Balancers[ip]; b.Up {
			require.Equal(t, want, b.Core.Evacuations().Zones(), "balancer %v", ip)
		}
	}
	for _, a := range sortedAgents(w) {
		if a.Up {
			require.Equal(t, want, a.Core.Evacuations().Zones(), "agent %v", a.IP)
		}
	}
}

// TestAZoneIsEmptiedAndTakenBack: new flows leave it within the time of a message, its
// open flows go on, and it serves again as soon.
func TestAZoneIsEmptiedAndTakenBack(t *testing.T) {
	w := newWorld(21)
	deployment(w)
	w.Run(3 * time.Second)
	for range 30 {
		w.addClient("z1", frontA)
	}
	w.Run(time.Second)
	opened := w.clients
	inZone := func(clients []*client) (n int) {
		for _, c := range clients {
			for _, a := range w.agents {
				if a.target == c.target && a.Zone == "z1" {
					n++
				}
			}
		}
		return n
	}
	require.Positive(t, inZone(opened))
	w.empty("z1", true)
	w.Run(heardWithin)
	for _, a := range w.agents {
		require.True(t, a.Zone != "z1" || a.Core.Evacuations().Has(flow.TagOf("z1")), "the agents of the zone have heard")
	}
	for range 30 {
		w.addClient("z1", frontA)
	}
	for _, c := range opened {
		c.request()
	}
	w.Run(time.Second)
	require.Zero(t, inZone(w.clients[len(opened):]))
	w.Run(2 * time.Second)
	w.requireEvacuated(t)
	for _, c := range w.clients {
		require.Equal(t, established, c.state)
		require.Equal(t, c.asked, c.answered)
	}
	w.empty("z1", false)
	w.Run(heardWithin)
	before := len(w.clients)
	for range 30 {
		w.addClient("z1", frontA)
	}
	w.Run(time.Second)
	require.Positive(t, inZone(w.clients[before:]))
	require.Empty(t, w.violations)
}

// TestAllZonesEmptied: new flows are refused at once, open ones go on.
func TestAllZonesEmptied(t *testing.T) {
	w := newWorld(22)
	deployment(w)
	w.Run(3 * time.Second)
	open := w.addClient("z1", frontA)
	w.Run(time.Second)
	for _, zone := range []string{"z1", "z2", "z3"} {
		w.empty(zone, true)
	}
	w.Run(heardWithin)
	refusedOne := w.addClient("z2", frontA)
	open.request()
	w.Run(refusedWithin)
	require.Equal(t, refused, refusedOne.state)
	w.Run(time.Second)
	require.Equal(t, open.asked, open.answered)
	require.Empty(t, w.violations)
}

// TestEvacuationsOutliveTheBalancers: all balancers restart while the store is away;
// the agents know. A fresh agent learns it from the balancers.
func TestEvacuationsOutliveTheBalancers(t *testing.T) {
	w := newWorld(23)
	deployment(w)
	w.Run(3 * time.Second)
	w.empty("z2", true)
	w.Run(3 * time.Second)
	w.StoreBack = w.Now.Add(time.Minute)
	for _, ip := range w.BalancerIPs() {
		w.Balancers[ip].Restart(200 * time.Millisecond)
	}
	w.Run(time.Second)
	w.requireEvacuated(t)
	fresh := w.addAgent("z2", serviceA)
	w.Run(time.Second)
	require.True(t, fresh.Core.Evacuations().Has(flow.TagOf("z2")))
	for range 30 {
		w.addClient("z2", frontA)
	}
	w.Run(time.Second)
	for _, c := range w.clients {
		for _, a := range w.agents {
			require.False(t, a.target == c.target && a.Zone == "z2")
		}
	}
}

// TestTheSameZoneAgainWithinASecond: the last word holds everywhere.
func TestTheSameZoneAgainWithinASecond(t *testing.T) {
	for seed := range uint64(20) {
		w := newWorld(seed)
		deployment(w)
		w.Loss, w.Double, w.Late = 0.05, 0.1, 250*time.Millisecond
		w.Run(3 * time.Second)
		for range 7 {
			w.empty("z1", !w.Evacuations.Has(flow.TagOf("z1")))
			w.Run(150 * time.Millisecond)
		}
		w.Run(emptyWithin)
		w.requireEvacuated(t)
	}
}
