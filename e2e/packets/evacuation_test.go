package packets

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poppywall/poppywall/flow"
)

const (
	// maxEvacuationTime is the time after the store's answer from which on no new flow may
	// reach a target of the evacuated zone, while no fault disturbs the nodes. Beacons are
	// repeated every second to balancers of the same zone, at least every 2.5 s to others.
	maxEvacuationTime = 5 * time.Second
	// evacuationNoticeTime is the time within which the agents of a zone, and the balancers,
	// act on its evacuation: the simulated shells read the store at each tick.
	evacuationNoticeTime = 150 * time.Millisecond
	// maxRefusalTime is the time within which a new flow is reset while all zones are evacuated.
	maxRefusalTime = 20 * time.Millisecond
)

// setEvacuated evacuates a zone or returns it to service.
func (w *world) setEvacuated(zone string, evacuated bool) {
	if !w.SetEvacuated(zone, evacuated) {
		return
	}
	delete(w.evacuatedAt, zone)
	if evacuated {
		w.evacuatedAt[zone] = w.Now
	}
}

// extendDisturbance records that a fault may keep nodes from learning of an evacuation until
// the given time.
func (w *world) extendDisturbance(until time.Time) {
	if until.After(w.disturbedUntil) {
		w.disturbedUntil = until
	}
}

// allowsNewFlows reports whether a target of the zone may still get new flows.
func (w *world) allowsNewFlows(zone string) bool {
	at, evacuated := w.evacuatedAt[zone]
	if !evacuated {
		return true
	}
	if at.Before(w.disturbedUntil) {
		at = w.disturbedUntil
	}
	return w.Now.Sub(at) <= maxEvacuationTime
}

// requireSameEvacuations checks that every running process has the store's evacuations.
func (w *world) requireSameEvacuations(t require.TestingT) {
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

// TestEvacuatedZoneGetsNoNewFlowsUntilItReturns: an evacuated zone must get no new flows
// after evacuationNoticeTime while its open flows continue, and must get new flows again
// as soon after its return.
func TestEvacuatedZoneGetsNoNewFlowsUntilItReturns(t *testing.T) {
	w := newWorld(21)
	addSmallFleet(w)
	w.Run(3 * time.Second)
	for range 30 {
		w.addClient("z1", frontA)
	}
	w.Run(time.Second)
	opened := w.clients
	countInZ1 := func(clients []*client) (n int) {
		for _, c := range clients {
			for _, a := range w.agents {
				if a.target == c.target && a.Zone == "z1" {
					n++
				}
			}
		}
		return n
	}
	require.Positive(t, countInZ1(opened))
	w.setEvacuated("z1", true)
	w.Run(evacuationNoticeTime)
	for _, a := range w.agents {
		require.True(t, a.Zone != "z1" || a.Core.Evacuations().Has(flow.TagOf("z1")), "an agent of the zone does not know of its evacuation")
	}
	for range 30 {
		w.addClient("z1", frontA)
	}
	for _, c := range opened {
		c.request()
	}
	w.Run(time.Second)
	require.Zero(t, countInZ1(w.clients[len(opened):]))
	w.Run(2 * time.Second)
	w.requireSameEvacuations(t)
	for _, c := range w.clients {
		require.Equal(t, stateEstablished, c.state)
		require.Equal(t, c.requested, c.answered)
	}
	w.setEvacuated("z1", false)
	w.Run(evacuationNoticeTime)
	before := len(w.clients)
	for range 30 {
		w.addClient("z1", frontA)
	}
	w.Run(time.Second)
	require.Positive(t, countInZ1(w.clients[before:]))
	require.Empty(t, w.violations)
}

// TestNewFlowsAreRefusedWhenAllZonesAreEvacuated: new flows are reset within maxRefusalTime,
// open ones continue.
func TestNewFlowsAreRefusedWhenAllZonesAreEvacuated(t *testing.T) {
	w := newWorld(22)
	addSmallFleet(w)
	w.Run(3 * time.Second)
	open := w.addClient("z1", frontA)
	w.Run(time.Second)
	for _, zone := range []string{"z1", "z2", "z3"} {
		w.setEvacuated(zone, true)
	}
	w.Run(evacuationNoticeTime)
	newClient := w.addClient("z2", frontA)
	open.request()
	w.Run(maxRefusalTime)
	require.Equal(t, stateReset, newClient.state)
	w.Run(time.Second)
	require.Equal(t, open.requested, open.answered)
	require.Empty(t, w.violations)
}

// TestEvacuationsOutliveTheBalancers: if all balancers restart while the store is
// unavailable, they get the evacuations back from the agents, and a new agent gets them
// from the balancers.
func TestEvacuationsOutliveTheBalancers(t *testing.T) {
	w := newWorld(23)
	addSmallFleet(w)
	w.Run(3 * time.Second)
	w.setEvacuated("z2", true)
	w.Run(3 * time.Second)
	w.StoreDownUntil = w.Now.Add(time.Minute)
	for _, ip := range w.BalancerIPs() {
		w.Balancers[ip].Restart(200 * time.Millisecond)
	}
	w.Run(time.Second)
	w.requireSameEvacuations(t)
	newAgent := w.addAgent("z2", serviceA)
	w.Run(time.Second)
	require.True(t, newAgent.Core.Evacuations().Has(flow.TagOf("z2")))
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

// TestRepeatedEvacuationsOfAZoneConverge: after several changes of the same zone within
// about a second, with loss, duplicates and delays, every process must have the last one.
func TestRepeatedEvacuationsOfAZoneConverge(t *testing.T) {
	for seed := range uint64(20) {
		w := newWorld(seed)
		addSmallFleet(w)
		w.Loss, w.Duplication, w.MaxExtraDelay = 0.05, 0.1, 250*time.Millisecond
		w.Run(3 * time.Second)
		for range 7 {
			w.setEvacuated("z1", !w.Evacuations.Has(flow.TagOf("z1")))
			w.Run(150 * time.Millisecond)
		}
		w.Run(maxEvacuationTime)
		w.requireSameEvacuations(t)
	}
}
