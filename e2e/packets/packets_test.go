package packets

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
)

// coldRate is how many requests a second a cold target of service B bears, where that
// is bounded.
const coldRate = 4

// deployment is three zones with a balancer each and targets of two services.
func deployment(w *world) {
	zones := []string{"z1", "z2", "z3"}
	for _, z := range zones {
		w.AddBalancer(z)
	}
	for _, z := range zones {
		w.addAgent(z, serviceA)
		w.addAgent(z, serviceB)
	}
	w.addAgent("z1", serviceA)
}

func TestFreshBalancerFindsOpenFlows(t *testing.T) {
	w := newWorld(2)
	deployment(w)
	w.Run(3 * time.Second)
	var clients []*client
	for range 40 {
		clients = append(clients, w.addClient("z1", frontA))
	}
	w.Run(time.Second)
	for _, b := range w.Balancers {
		b.Restart(100 * time.Millisecond)
	}
	w.Run(1500 * time.Millisecond)
	for _, c := range clients {
		require.Equal(t, established, c.state)
		c.request()
	}
	w.Run(time.Second)
	for _, c := range clients {
		require.Equal(t, c.asked, c.answered, "flow %v", c.key)
	}
	require.Empty(t, w.violations)
}

// TestADeadVMDoesNotHoldUpSearches: a packet that is passed on through a VM that
// has died without a word is lost there, and so would be the next one.
func TestADeadVMDoesNotHoldUpSearches(t *testing.T) {
	for seed := range uint64(10) {
		w := newWorld(seed)
		deployment(w)
		w.Run(3 * time.Second)
		for range 60 {
			w.addClient("z1", frontA)
		}
		w.Run(time.Second)
		dead := sortedAgents(w)[2]
		ended := dead.target
		dead.crash()
		dead.Stop()
		fresh := w.AddBalancer("z1")
		for _, ip := range w.BalancerIPs() {
			// The fresh balancer learns of the dead VM as the others know it.
			if h, known := w.Balancers[ip].Core.View().Target(dead.IP); known {
				fresh.Core.View().ApplyAnnouncement(w.Now, dead.IP, h.Announcement)
				break
			}
		}
		w.Run(200 * time.Millisecond)
		for _, c := range w.clients {
			c.request()
		}
		w.Run(700 * time.Millisecond)
		for _, c := range w.clients {
			if c.target != ended {
				require.Equal(t, c.asked, c.answered, "seed %d, flow %v", seed, c.key)
			}
		}
	}
}

func TestRefusedEverywhereIsResetAtOnce(t *testing.T) {
	w := newWorld(3)
	deployment(w)
	w.Run(3 * time.Second)
	for _, a := range w.agents {
		a.target.full = true
	}
	c := w.addClient("z1", frontA)
	w.Run(100 * time.Millisecond)
	require.Equal(t, refused, c.state)
}

func TestFlowsOfACrashedTargetAreReset(t *testing.T) {
	w := newWorld(4)
	deployment(w)
	w.Run(3 * time.Second)
	c := w.addClient("z1", frontA)
	w.Run(500 * time.Millisecond)
	require.Equal(t, 1, c.answered)
	for _, a := range w.agents {
		if a.target == c.target {
			a.crash()
			w.After(200*time.Millisecond, a.startTarget)
		}
	}
	c.request()
	w.Run(time.Second)
	require.Equal(t, refused, c.state)
	require.Empty(t, w.violations)
}

// TestFlowsKeepTheirTargets is the stateful test: whatever happens, packets of
// open flows reach their targets once the network is calm, and no rule is broken
// on the way.
func TestFlowsKeepTheirTargets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"))
		deployment(w)
		w.Run(3 * time.Second)
		keepTargets(t, w)
	})
}

// TestFlowsKeepTheirTargetsWhereReadingsAreShared: the same with several balancers in a zone,
// which share their readings of the registry.
func TestFlowsKeepTheirTargetsWhereReadingsAreShared(t *testing.T) {
	shared := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"))
		for range 3 {
			deployment(w)
		}
		w.Run(3 * time.Second)
		keepTargets(t, w)
		for _, asked := range w.Asked {
			shared += asked
		}
	})
	require.NotZero(t, shared)
}

// keepTargets lets a settled deployment go through what is drawn.
func keepTargets(t *rapid.T, w *world) {
	w.Loss = rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(t, "loss")
	w.Double = rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "double")
	w.Late = rapid.SampledFrom([]time.Duration{time.Millisecond, 250 * time.Millisecond}).Draw(t, "late")
	if rapid.Bool().Draw(t, "cold bound") {
		w.Config.ColdRates = map[flow.Tag]float64{flow.TagOf(serviceB): coldRate}
	}
	w.keepIDs, w.sayBorn = rapid.Bool().Draw(t, "keep IDs"), rapid.Bool().Draw(t, "say born")
	for range rapid.IntRange(5, 40).Draw(t, "steps") {
		step(t, w)
		w.Run(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
	}
	w.Loss, w.Double, w.Late = 0, 0, time.Millisecond
	w.Run(max(5*time.Second, w.calmSince.Add(emptyWithin).Sub(w.Now)))
	w.requireEvacuated(t)
	checkServed(t, w)
}

// step does one thing that may happen to a deployment.
func step(t *rapid.T, w *world) {
	agents := sortedAgents(w)
	a := agents[rapid.IntRange(0, len(agents)-1).Draw(t, "agent")]
	ips := w.BalancerIPs()
	b := w.Balancers[ips[rapid.IntRange(0, len(ips)-1).Draw(t, "balancer")]]
	down := time.Duration(rapid.IntRange(1, 800).Draw(t, "down")) * time.Millisecond
	front := rapid.SampledFrom([]flow.Front{frontA, frontB}).Draw(t, "front")
	switch rapid.IntRange(0, 20).Draw(t, "what") {
	case 0:
		b.Restart(down)
	case 1:
		a.Restart(down)
	case 2:
		w.AddBalancer("z2")
	case 3:
		w.addAgent("z3", a.Service)
	case 4:
		a.drain()
	case 5:
		a.crash()
		w.After(down, func() {
			if a.target == nil {
				a.startTarget()
			}
		})
	case 6:
		replaceTarget(w, a)
	case 14:
		w.StoreBack = w.Now.Add(time.Duration(rapid.IntRange(100, 5000).Draw(t, "store away")) * time.Millisecond)
		w.troubled(w.StoreBack)
	case 12:
		w.troubled(w.Now.Add(down + blackoutSpread))
		blackout(w, down, down)
	case 13:
		w.troubled(w.Now.Add(down + blackoutSpread))
		blackout(w, down, 0)
	case 19, 20:
		w.empty(rapid.SampledFrom([]string{"z1", "z2", "z3"}).Draw(t, "zone"), rapid.Bool().Draw(t, "empty"))
	case 7:
		if a.target != nil {
			a.target.full = !a.target.full
		}
	case 15:
		retire(t, w, a, down)
	case 16:
		a.lateWord(rapid.Bool().Draw(t, "farewell"))
	case 17:
		w.clockStep = int64(rapid.IntRange(-5000, 5000).Draw(t, "clock step"))
	case 18:
		// A restart that the agent does not see.
		if a.target != nil {
			a.crash()
			a.startTarget()
		}
	default:
		for range 3 {
			w.addClient(a.Zone, front)
		}
		for _, c := range w.clients {
			c.request()
		}
	}
}

// retire lets a target drain and say farewell. Its VM goes with it, at once or when its
// agent has done its part, or another target starts there.
func retire(t *rapid.T, w *world, a *agentNode, down time.Duration) {
	if a.target == nil || !a.Up {
		return
	}
	a.drain()
	leaving := a.target
	stays, planned := rapid.Bool().Draw(t, "VM stays"), rapid.Bool().Draw(t, "planned")
	w.After(down, func() {
		if a.target != leaving || !a.Up {
			return
		}
		a.farewell()
		w.After(down, func() {
			switch {
			case stays && a.target == nil:
				a.startTarget()
			case !stays && a.target == nil && a.Up:
				a.stop(planned)
			}
		})
	})
}

// stop ends the agent, with the word and the removal of a planned stop or without.
func (a *agentNode) stop(planned bool) {
	if planned {
		if a.Core.RemovesEntry() && !a.w.Now.Before(a.w.StoreBack) {
			delete(a.w.Registry, a.IP)
			a.Core.EntryStored(a.w.Now, fleet.EntryAbsent)
		}
		a.Core.Stop(a.w.Now)
	}
	a.Stop()
}

// replaceTarget ends a target with its agent; its address serves the other service
// from then on.
func replaceTarget(w *world, a *agentNode) {
	a.crash()
	a.Stop()
	service := serviceA
	if a.Service == serviceA {
		service = serviceB
	}
	w.After(2*time.Second, func() {
		if a.target == nil && !a.Up {
			a.Service = service
			a.Start()
			a.startTarget()
		}
	})
}

func sortedAgents(w *world) []*agentNode {
	var out []*agentNode
	for _, ip := range w.AgentIPs() {
		out = append(out, w.agents[ip])
	}
	return out
}

// checkServed lets every open flow whose target lives ask once more.
func checkServed(t require.TestingT, w *world) {
	var asked []*client
	for _, c := range w.clients {
		if c.state == established && w.alive(c.target) && c.asked == c.answered {
			c.request()
			asked = append(asked, c)
		}
	}
	w.Run(3 * time.Second)
	for _, c := range asked {
		if c.state == established && w.alive(c.target) {
			require.Equal(t, c.asked, c.answered, "flow %v at target %s\n%s", c.key, c.target.id, w.describe(c))
		}
	}
	require.Empty(t, w.violations)
}

// describe tells what the nodes know of a flow's target.
func (w *world) describe(c *client) string {
	text := ""
	for _, a := range sortedAgents(w) {
		if a.target == c.target {
			text += fmt.Sprintf("agent %v up %v serves %s, flow at target %+v\n", a.IP, a.Up, a.Service, *c.target.flows[c.key])
			for _, ip := range w.BalancerIPs() {
				h, known := w.Balancers[ip].Core.View().Target(a.IP)
				text += fmt.Sprintf("balancer %v up %v knows it %v %+v\n", ip, w.Balancers[ip].Up, known, h)
			}
		}
	}
	return text
}
