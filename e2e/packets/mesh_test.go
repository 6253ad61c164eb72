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

// Relays in tests: so few balancers of a zone are told through relays.
const (
	alwaysRelay = 1
	neverRelay  = 1 << 20
)

// meshFleet is a deployment of so many nodes in three zones, two balancers to five agents.
func meshFleet(w *world, nodes int) {
	balancers := nodes * 2 / 7
	for i := range balancers {
		w.AddBalancer(meshZone(i))
	}
	for i := range nodes - balancers {
		w.addAgent(meshZone(i), serviceA)
	}
}

func meshZone(i int) string { return fmt.Sprintf("z%d", 1+i%3) }

// relayedFleet is a fleet of 60 nodes whose zones are told through relays, after it has
// settled.
func relayedFleet(seed uint64) *world {
	w := newWorld(seed)
	w.RelayFrom = alwaysRelay
	meshFleet(w, 60)
	w.Run(6 * time.Second)
	return w
}

// across sums what has crossed zones, in bytes.
func across(w *world) int {
	sum := 0
	for _, t := range w.Across {
		sum += t.Bytes
	}
	return sum
}

// bytesANode is what a node sends to other zones in a second of calm.
func bytesANode(relayFrom, nodes int) float64 {
	const span = 10
	w := newWorld(1)
	w.RelayFrom = relayFrom
	meshFleet(w, nodes)
	w.Run(6 * time.Second)
	clear(w.Across)
	w.Run(span * time.Second)
	return float64(across(w)) / span / float64(nodes)
}

// TestBytesBetweenZonesGrowWithTheNodes, not with their square: a node costs at most 1.3
// times as much in a fleet three times as large, and no fleet costs more than with the
// direct way.
func TestBytesBetweenZonesGrowWithTheNodes(t *testing.T) {
	const mostGrowth = 1.3
	cost := map[int]float64{}
	for _, nodes := range []int{30, 100, 300} {
		cost[nodes] = bytesANode(0, nodes)
		direct := bytesANode(neverRelay, nodes)
		t.Logf("%d nodes: %.0f B a node and second, directly %.0f", nodes, cost[nodes], direct)
		require.LessOrEqual(t, cost[nodes], direct)
	}
	require.LessOrEqual(t, cost[300], mostGrowth*cost[100])
	require.LessOrEqual(t, bytesANode(alwaysRelay, 300), mostGrowth*bytesANode(alwaysRelay, 100))
}

// datagramsHeard is how many datagrams a balancer gets in a second of calm, by kind.
func datagramsHeard(nodes int) map[envelope.Kind]float64 {
	const span = 4
	w := newWorld(1)
	meshFleet(w, nodes)
	w.Run(6 * time.Second)
	heard := map[envelope.Kind]float64{}
	balancer := w.BalancerIPs()[1]
	w.Heard = func(_, to flow.IPv4, kind envelope.Kind, _ []byte) {
		if to == balancer {
			heard[kind] += 1.0 / span
		}
	}
	w.Run(span * time.Second)
	return heard
}

// TestRelayedMessagesShareDatagrams: a balancer gets what is relayed in as many datagrams as
// the active relays send while these have room, however many balancers its zone has.
func TestRelayedMessagesShareDatagrams(t *testing.T) {
	const most = float64(zonecast.ActiveRelays) * float64(time.Second) / float64(zonecast.FlushPeriod)
	for _, nodes := range []int{150, 450} {
		kinds := datagramsHeard(nodes)
		t.Logf("%d nodes: %v", nodes, kinds)
		require.LessOrEqual(t, kinds[envelope.Batch], 1.1*most, "%d nodes", nodes)
	}
}

// TestNoZoneFallsSilentInCalm after a common start, also when other balancers come to be
// relays: their messages flow evenly.
func TestNoZoneFallsSilentInCalm(t *testing.T) {
	w := newWorld(1)
	meshFleet(w, 450)
	w.Run(2 * time.Second)
	for range 240 {
		w.Run(50 * time.Millisecond)
		for _, ip := range w.BalancerIPs()[:6] {
			for i := range 3 {
				require.False(t, w.Balancers[ip].Core.View().IsZoneSilent(flow.TagOf(meshZone(i))), "%v after %v", ip, w.Since())
			}
		}
	}
}

// TestReadingsOfOtherZonesAreAsFreshAsTheDirectWays.
func TestReadingsOfOtherZonesAreAsFreshAsTheDirectWays(t *testing.T) {
	mean := map[int]time.Duration{}
	for _, relayFrom := range []int{0, neverRelay} {
		w := newWorld(1)
		w.RelayFrom = relayFrom
		meshFleet(w, 300)
		w.Run(6 * time.Second)
		var sum, oldest time.Duration
		count := 0
		for range 50 {
			w.Run(100 * time.Millisecond)
			w.farTargets(func(_ *sim.Balancer, h *fleet.Target) {
				age := w.Now.Sub(w.saidAt(h))
				sum += age
				oldest = max(oldest, age)
				count++
			})
		}
		mean[relayFrom] = sum / time.Duration(count)
		t.Logf("relays from %d: mean age %v, oldest %v", relayFrom, mean[relayFrom], oldest)
		// The longest period of the direct way and two ticks.
		require.LessOrEqual(t, oldest, 2500*time.Millisecond+200*time.Millisecond)
	}
	require.LessOrEqual(t, mean[0], mean[neverRelay])
}

// saidAt is when the agent sent what a view holds of it.
func (w *world) saidAt(h *fleet.Target) time.Time { return w.sent[said{h.IP, h.MessageID}] }

// farTargets calls do for each balancer that is up and each target of another zone that it
// knows.
func (w *world) farTargets(do func(b *sim.Balancer, h *fleet.Target)) {
	for _, ip := range w.BalancerIPs() {
		b := w.Balancers[ip]
		if !b.Up {
			continue
		}
		for _, target := range b.Core.View().Targets() {
			if h, _ := b.Core.View().Target(target); h.Zone != flow.TagOf(b.Zone) {
				do(b, h)
			}
		}
	}
}

// balancersOf returns a zone's balancers in order.
func (w *world) balancersOf(zone string) []*sim.Balancer {
	var out []*sim.Balancer
	for _, ip := range w.BalancerIPs() {
		if b := w.Balancers[ip]; b.Zone == zone {
			out = append(out, b)
		}
	}
	return out
}

// TestNoLivingTargetFallsSilent whatever becomes of relays: those that can hear its agent
// do not take it for dead.
func TestNoLivingTargetFallsSilent(t *testing.T) {
	for name, harm := range map[string]func(w *world, zone []*sim.Balancer){
		"one relay dies":   func(_ *world, zone []*sim.Balancer) { zone[0].Stop() },
		"half of them die": func(_ *world, zone []*sim.Balancer) { stopAll(zone[:len(zone)/2]) },
		"all but one die":  func(_ *world, zone []*sim.Balancer) { stopAll(zone[1:]) },
		"relays come and go": func(w *world, zone []*sim.Balancer) {
			for i, b := range zone[1:] {
				w.After(time.Duration(i)*700*time.Millisecond, func() { b.Restart(time.Second) })
			}
		},
		"one hands nothing on": func(w *world, zone []*sim.Balancer) { w.Drop = batchesOf(zone[:1]) },
		"none relays":          func(w *world, zone []*sim.Balancer) { w.Drop = batchesOf(zone) },
		"one reaches half of the others": func(w *world, zone []*sim.Balancer) {
			half := map[flow.IPv4]bool{}
			for _, b := range zone[len(zone)/2:] {
				half[b.IP] = true
			}
			w.Cut = func(from, to flow.IPv4) bool { return from == zone[0].IP && half[to] }
		},
		"all are cut from one another": func(w *world, zone []*sim.Balancer) {
			in := map[flow.IPv4]bool{}
			for _, b := range zone {
				in[b.IP] = true
			}
			w.Cut = func(from, to flow.IPv4) bool { return in[from] && in[to] }
		},
		"a tenth is lost": func(w *world, _ []*sim.Balancer) { w.Loss = 0.1 },
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(4) {
				w := relayedFleet(seed)
				harm(w, w.balancersOf("z1"))
				for range 150 {
					w.Run(100 * time.Millisecond)
					w.farTargets(func(b *sim.Balancer, h *fleet.Target) {
						if b.Core.View().HasTarget(h.IP) && w.Agents[h.IP].Up && h.Overdue(w.Now) {
							t.Fatalf("seed %d, %v: balancer %v takes %v for dead, heard %v ago", seed, w.Since(), b.IP, h.IP, w.Now.Sub(h.LastSeen))
						}
					})
				}
			}
		})
	}
}

func stopAll(balancers []*sim.Balancer) {
	for _, b := range balancers {
		b.Stop()
	}
}

// batchesOf drops the batches that balancers send.
func batchesOf(balancers []*sim.Balancer) func(from flow.IPv4, kind envelope.Kind) bool {
	return func(from flow.IPv4, kind envelope.Kind) bool {
		for _, b := range balancers {
			if b.IP == from {
				return kind == envelope.Batch
			}
		}
		return false
	}
}

// TestADeadTargetIsNoticedAsSoonAsByTheDirectWay, whose longest period is 2.5 s and which
// waits for two and a half of them.
func TestADeadTargetIsNoticedAsSoonAsByTheDirectWay(t *testing.T) {
	w := relayedFleet(3)
	dead := sortedAgents(w)[0]
	dead.crash()
	dead.Stop()
	w.Run(6250*time.Millisecond + 100*time.Millisecond)
	w.farTargets(func(b *sim.Balancer, h *fleet.Target) {
		require.Equal(t, h.IP == dead.IP, h.Overdue(w.Now), "balancer %v, target %v", b.IP, h.IP)
	})
}

// TestAFrozenRelayBringsBackNoEarlierLife: what it relayed before the agent started anew
// arrives after that, also at a balancer that has only just started.
func TestAFrozenRelayBringsBackNoEarlierLife(t *testing.T) {
	w := relayedFleet(4)
	zone := w.balancersOf("z1")
	agent := sortedAgents(w)[1]
	require.NotEqual(t, "z1", agent.Zone)
	var late [][]byte
	w.Heard = func(from, _ flow.IPv4, kind envelope.Kind, datagram []byte) {
		if kind == envelope.Batch {
			late = append(late, append([]byte(nil), datagram...))
		}
	}
	w.Run(3 * time.Second)
	w.Heard = nil
	require.NotEmpty(t, late)
	agent.Restart(200 * time.Millisecond)
	w.Run(time.Second)
	fresh := w.AddBalancer("z1")
	w.Run(time.Second)
	current, _ := fresh.Core.View().Target(agent.IP)
	epoch := current.Incarnation
	for _, datagram := range late {
		for _, b := range append(zone, fresh) {
			b.Core.HandleNode(w.Now, zone[0].IP, datagram)
			h, known := b.Core.View().Target(agent.IP)
			require.True(t, known)
			require.Equal(t, epoch, h.Incarnation, "balancer %v", b.IP)
		}
	}
}

// TestChangesOfStateNeedNoRelay: every balancer that can be reached knows them within the
// repetitions of what is not acknowledged.
func TestChangesOfStateNeedNoRelay(t *testing.T) {
	w := relayedFleet(5)
	w.Drop = batchesOf(w.balancersOf("z1"))
	agent := sortedAgents(w)[1]
	agent.drain()
	w.Run(100 * time.Millisecond)
	w.farTargets(func(b *sim.Balancer, h *fleet.Target) {
		if h.IP == agent.IP {
			require.Equal(t, fleet.Draining, h.State, "balancer %v", b.IP)
		}
	})
}

// TestAgentsKnowTheBalancersOfOtherZones also where no relay tells them of these: changes
// of state would not reach whom they forget.
func TestAgentsKnowTheBalancersOfOtherZones(t *testing.T) {
	for name, harm := range map[string]func(w *world){
		"calm":         func(*world) {},
		"none relays":  func(w *world) { w.Drop = func(_ flow.IPv4, kind envelope.Kind) bool { return kind == envelope.Batch } },
		"much is lost": func(w *world) { w.Loss = 0.2 },
	} {
		w := relayedFleet(6)
		harm(w)
		for range 60 {
			w.Run(time.Second)
			for _, a := range sortedAgents(w) {
				require.Equal(t, len(w.Balancers), a.Core.Balancers(), "%s, agent %v", name, a.IP)
			}
		}
	}
}

// TestFlowsKeepTheirTargetsThroughRelays is TestFlowsKeepTheirTargets where every zone is
// told through relays.
func TestFlowsKeepTheirTargetsThroughRelays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"))
		w.RelayFrom = rapid.IntRange(alwaysRelay, 3).Draw(t, "relays from")
		deployment(w)
		for range rapid.IntRange(0, 6).Draw(t, "more balancers") {
			w.AddBalancer(rapid.SampledFrom([]string{"z1", "z2", "z3"}).Draw(t, "zone"))
		}
		w.Run(3 * time.Second)
		keepTargets(t, w)
	})
}
