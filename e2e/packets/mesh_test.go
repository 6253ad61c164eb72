package packets

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/fleet/zonecast"
	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/flow/envelope"
	"github.com/poppywall/poppywall/model/sim"
)

// Relay thresholds: the number of a zone's balancers from which on relays are used.
const (
	alwaysRelay = 1
	neverRelay  = 1 << 20
)

// addNodes adds nodes in three zones, two balancers to five agents.
func addNodes(w *world, nodes int) {
	balancers := nodes * 2 / 7
	for i := range balancers {
		w.AddBalancer(zoneName(i))
	}
	for i := range nodes - balancers {
		w.addAgent(zoneName(i), serviceA)
	}
}

func zoneName(i int) string { return fmt.Sprintf("z%d", 1+i%3) }

// newRelayedFleet returns a settled fleet of 60 nodes whose zones are all reached through
// relays.
func newRelayedFleet(seed uint64) *world {
	w := newWorld(seed)
	w.RelayThreshold = alwaysRelay
	addNodes(w, 60)
	w.Run(6 * time.Second)
	return w
}

// crossZoneBytes returns the number of bytes that were sent between zones.
func crossZoneBytes(w *world) int {
	sum := 0
	for _, t := range w.CrossZone {
		sum += t.Bytes
	}
	return sum
}

// crossZoneBytesPerNode returns the bytes per second that a node sends to other zones when
// there are no faults.
func crossZoneBytesPerNode(relayThreshold, nodes int) float64 {
	const seconds = 10
	w := newWorld(1)
	w.RelayThreshold = relayThreshold
	addNodes(w, nodes)
	w.Run(6 * time.Second)
	clear(w.CrossZone)
	w.Run(seconds * time.Second)
	return float64(crossZoneBytes(w)) / seconds / float64(nodes)
}

// TestCrossZoneBytesGrowLinearlyWithTheNodes, not with their square: a node sends at most 1.3
// times as many bytes in a fleet three times as large, and no more than without relays.
func TestCrossZoneBytesGrowLinearlyWithTheNodes(t *testing.T) {
	const maxGrowth = 1.3
	cost := map[int]float64{}
	for _, nodes := range []int{30, 100, 300} {
		cost[nodes] = crossZoneBytesPerNode(0, nodes)
		direct := crossZoneBytesPerNode(neverRelay, nodes)
		t.Logf("%d nodes: %.0f B/s per node, %.0f without relays", nodes, cost[nodes], direct)
		require.LessOrEqual(t, cost[nodes], direct)
	}
	require.LessOrEqual(t, cost[300], maxGrowth*cost[100])
	require.LessOrEqual(t, crossZoneBytesPerNode(alwaysRelay, 300), maxGrowth*crossZoneBytesPerNode(alwaysRelay, 100))
}

// receivedDatagramRates returns the datagrams per second that a balancer receives when there
// are no faults, by kind.
func receivedDatagramRates(nodes int) map[envelope.Kind]float64 {
	const seconds = 4
	w := newWorld(1)
	addNodes(w, nodes)
	w.Run(6 * time.Second)
	rates := map[envelope.Kind]float64{}
	balancer := w.BalancerIPs()[1]
	w.OnReceive = func(_, to flow.IPv4, kind envelope.Kind, _ []byte) {
		if to == balancer {
			rates[kind] += 1.0 / seconds
		}
	}
	w.Run(seconds * time.Second)
	return rates
}

// TestRelayedMessagesShareDatagrams: a balancer receives relayed messages in as many datagrams
// as the active relays flush, as long as these have space, however many balancers its zone
// has.
func TestRelayedMessagesShareDatagrams(t *testing.T) {
	const maxRate = float64(zonecast.ActiveRelays) * float64(time.Second) / float64(zonecast.FlushPeriod)
	for _, nodes := range []int{150, 450} {
		rates := receivedDatagramRates(nodes)
		t.Logf("%d nodes: %v", nodes, rates)
		require.LessOrEqual(t, rates[envelope.Batch], 1.1*maxRate, "%d nodes", nodes)
	}
}

// TestNoZoneIsSilentWithoutFaults: after a common start no zone may be detected as silent,
// also when other balancers become relays, because messages arrive at an even rate.
func TestNoZoneIsSilentWithoutFaults(t *testing.T) {
	w := newWorld(1)
	addNodes(w, 450)
	w.Run(2 * time.Second)
	for range 240 {
		w.Run(50 * time.Millisecond)
		for _, ip := range w.BalancerIPs()[:6] {
			for i := range 3 {
				require.False(t, w.Balancers[ip].Core.View().IsZoneSilent(flow.TagOf(zoneName(i))), "%v after %v", ip, w.Elapsed())
			}
		}
	}
}

// TestRelayedAnnouncementsAreAsFreshAsDirectOnes compares the ages of announcements from
// other zones with and without relays.
func TestRelayedAnnouncementsAreAsFreshAsDirectOnes(t *testing.T) {
	mean := map[int]time.Duration{}
	for _, relayThreshold := range []int{0, neverRelay} {
		w := newWorld(1)
		w.RelayThreshold = relayThreshold
		addNodes(w, 300)
		w.Run(6 * time.Second)
		var sum, oldest time.Duration
		count := 0
		for range 50 {
			w.Run(100 * time.Millisecond)
			w.forEachCrossZoneTarget(func(_ *sim.Balancer, target *fleet.Target) {
				age := w.Now.Sub(w.sentAt(target))
				sum += age
				oldest = max(oldest, age)
				count++
			})
		}
		mean[relayThreshold] = sum / time.Duration(count)
		t.Logf("relay threshold %d: mean age %v, oldest %v", relayThreshold, mean[relayThreshold], oldest)
		// The longest period of direct messages and two ticks.
		require.LessOrEqual(t, oldest, 2500*time.Millisecond+200*time.Millisecond)
	}
	require.LessOrEqual(t, mean[0], mean[neverRelay])
}

// sentAt returns when the agent sent the announcement that a view holds.
func (w *world) sentAt(t *fleet.Target) time.Time { return w.sentTimes[messageKey{t.IP, t.MessageID}] }

// forEachCrossZoneTarget calls do for each balancer that is up and each target of another
// zone in its view.
func (w *world) forEachCrossZoneTarget(do func(b *sim.Balancer, target *fleet.Target)) {
	for _, ip := range w.BalancerIPs() {
		b := w.Balancers[ip]
		if !b.Up {
			continue
		}
		for _, targetIP := range b.Core.View().Targets() {
			if target, _ := b.Core.View().Target(targetIP); target.Zone != flow.TagOf(b.Zone) {
				do(b, target)
			}
		}
	}
}

// balancersIn returns a zone's balancers in order of their addresses.
func (w *world) balancersIn(zone string) []*sim.Balancer {
	var out []*sim.Balancer
	for _, ip := range w.BalancerIPs() {
		if b := w.Balancers[ip]; b.Zone == zone {
			out = append(out, b)
		}
	}
	return out
}

// TestNoRunningTargetIsOverdueWhenRelaysFail: whatever happens to relays, no balancer may
// consider a target overdue whose agent can still reach it.
func TestNoRunningTargetIsOverdueWhenRelaysFail(t *testing.T) {
	for name, fault := range map[string]func(w *world, zone []*sim.Balancer){
		"one relay stops":   func(_ *world, zone []*sim.Balancer) { zone[0].Stop() },
		"half of them stop": func(_ *world, zone []*sim.Balancer) { stopBalancers(zone[:len(zone)/2]) },
		"all but one stop":  func(_ *world, zone []*sim.Balancer) { stopBalancers(zone[1:]) },
		"relays restart one after the other": func(w *world, zone []*sim.Balancer) {
			for i, b := range zone[1:] {
				w.After(time.Duration(i)*700*time.Millisecond, func() { b.Restart(time.Second) })
			}
		},
		"one relays nothing": func(w *world, zone []*sim.Balancer) { w.Drop = dropBatchesFrom(zone[:1]) },
		"none relays":        func(w *world, zone []*sim.Balancer) { w.Drop = dropBatchesFrom(zone) },
		"one reaches half of the others": func(w *world, zone []*sim.Balancer) {
			half := map[flow.IPv4]bool{}
			for _, b := range zone[len(zone)/2:] {
				half[b.IP] = true
			}
			w.Cut = func(from, to flow.IPv4) bool { return from == zone[0].IP && half[to] }
		},
		"none reaches another one": func(w *world, zone []*sim.Balancer) {
			in := map[flow.IPv4]bool{}
			for _, b := range zone {
				in[b.IP] = true
			}
			w.Cut = func(from, to flow.IPv4) bool { return in[from] && in[to] }
		},
		"10 % of datagrams are lost": func(w *world, _ []*sim.Balancer) { w.Loss = 0.1 },
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(4) {
				w := newRelayedFleet(seed)
				fault(w, w.balancersIn("z1"))
				for range 150 {
					w.Run(100 * time.Millisecond)
					w.forEachCrossZoneTarget(func(b *sim.Balancer, target *fleet.Target) {
						if b.Core.View().HasTarget(target.IP) && w.Agents[target.IP].Up && target.Overdue(w.Now) {
							t.Fatalf("seed %d, %v: balancer %v considers running target %v overdue, last seen %v ago", seed, w.Elapsed(), b.IP, target.IP, w.Now.Sub(target.LastSeen))
						}
					})
				}
			}
		})
	}
}

func stopBalancers(balancers []*sim.Balancer) {
	for _, b := range balancers {
		b.Stop()
	}
}

// dropBatchesFrom returns a filter that drops the batches that the balancers send.
func dropBatchesFrom(balancers []*sim.Balancer) func(from flow.IPv4, kind envelope.Kind) bool {
	return func(from flow.IPv4, kind envelope.Kind) bool {
		for _, b := range balancers {
			if b.IP == from {
				return kind == envelope.Batch
			}
		}
		return false
	}
}

// TestDeadTargetIsDetectedThroughRelaysAsSoonAsDirectly: direct messages have a period of at
// most 2.5 s, and a target is overdue after two and a half periods.
func TestDeadTargetIsDetectedThroughRelaysAsSoonAsDirectly(t *testing.T) {
	w := newRelayedFleet(3)
	dead := sortedAgents(w)[0]
	dead.crash()
	dead.Stop()
	w.Run(6250*time.Millisecond + 100*time.Millisecond)
	w.forEachCrossZoneTarget(func(b *sim.Balancer, target *fleet.Target) {
		require.Equal(t, target.IP == dead.IP, target.Overdue(w.Now), "balancer %v, target %v", b.IP, target.IP)
	})
}

// TestLateRelayedMessagesRestoreNoFormerIncarnation: a frozen relay's batches from before an
// agent's restart arrive after it, also at a balancer that has just started. No view may go
// back to the agent's former incarnation.
func TestLateRelayedMessagesRestoreNoFormerIncarnation(t *testing.T) {
	w := newRelayedFleet(4)
	zone := w.balancersIn("z1")
	agent := sortedAgents(w)[1]
	require.NotEqual(t, "z1", agent.Zone)
	var delayed [][]byte
	w.OnReceive = func(from, _ flow.IPv4, kind envelope.Kind, datagram []byte) {
		if kind == envelope.Batch {
			delayed = append(delayed, append([]byte(nil), datagram...))
		}
	}
	w.Run(3 * time.Second)
	w.OnReceive = nil
	require.NotEmpty(t, delayed)
	agent.Restart(200 * time.Millisecond)
	w.Run(time.Second)
	newBalancer := w.AddBalancer("z1")
	w.Run(time.Second)
	current, _ := newBalancer.Core.View().Target(agent.IP)
	incarnation := current.ProcessIncarnation
	for _, datagram := range delayed {
		for _, b := range append(zone, newBalancer) {
			b.Core.HandleNode(w.Now, zone[0].IP, datagram)
			target, known := b.Core.View().Target(agent.IP)
			require.True(t, known)
			require.Equal(t, incarnation, target.ProcessIncarnation, "balancer %v", b.IP)
		}
	}
}

// TestStateChangesNeedNoRelay: state changes are sent directly and retransmitted until they
// are acknowledged, so every balancer that can be reached must know them within 100 ms.
func TestStateChangesNeedNoRelay(t *testing.T) {
	w := newRelayedFleet(5)
	w.Drop = dropBatchesFrom(w.balancersIn("z1"))
	agent := sortedAgents(w)[1]
	agent.drain()
	w.Run(100 * time.Millisecond)
	w.forEachCrossZoneTarget(func(b *sim.Balancer, target *fleet.Target) {
		if target.IP == agent.IP {
			require.Equal(t, fleet.Draining, target.State, "balancer %v", b.IP)
		}
	})
}

// TestAgentsKnowTheBalancersOfOtherZones: agents must not forget balancers whose beacons no
// relay delivers, because state changes would not reach these.
func TestAgentsKnowTheBalancersOfOtherZones(t *testing.T) {
	for name, fault := range map[string]func(w *world){
		"no faults":   func(*world) {},
		"none relays": func(w *world) { w.Drop = func(_ flow.IPv4, kind envelope.Kind) bool { return kind == envelope.Batch } },
		"20 % loss":   func(w *world) { w.Loss = 0.2 },
	} {
		w := newRelayedFleet(6)
		fault(w)
		for range 60 {
			w.Run(time.Second)
			for _, a := range sortedAgents(w) {
				require.Equal(t, len(w.Balancers), a.Core.Balancers(), "%s, agent %v", name, a.IP)
			}
		}
	}
}

// TestFlowsKeepTheirTargetsThroughRelays is TestFlowsKeepTheirTargets with zones that are
// reached through relays.
func TestFlowsKeepTheirTargetsThroughRelays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"))
		w.RelayThreshold = rapid.IntRange(alwaysRelay, 3).Draw(t, "relays from")
		addSmallFleet(w)
		for range rapid.IntRange(0, 6).Draw(t, "more balancers") {
			w.AddBalancer(rapid.SampledFrom([]string{"z1", "z2", "z3"}).Draw(t, "zone"))
		}
		w.Run(3 * time.Second)
		checkFlowsKeepTargets(t, w, 400*time.Millisecond)
	})
}
