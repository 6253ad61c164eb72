package packets

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestFlowsOfAFormerLifeEndAndThoseOfTheNextStay: a target crashes and starts again under
// its ID, seen by its agent or not, with an agent that goes on or starts anew; then a
// balancer that knows nothing takes the packets of flows from before and after.
func TestFlowsOfAFormerLifeEndAndThoseOfTheNextStay(t *testing.T) {
	for name, c := range map[string]struct {
		seen, agentRestarts, born bool
	}{
		"unseen":                           {born: true},
		"seen":                             {seen: true, born: true},
		"agent restarted meanwhile":        {agentRestarts: true, born: true},
		"unseen, it does not say when":     {},
		"seen, it does not say when":       {seen: true},
		"restarted, and does not say when": {agentRestarts: true},
	} {
		for seed := range uint64(5) {
			w := newWorld(seed)
			w.keepIDs, w.sayBorn = true, c.born
			deployment(w)
			w.Run(3 * time.Second)
			for range 20 {
				w.addClient("z1", frontA)
			}
			w.Run(time.Second)
			a := w.nodeOf(w.clients[0].target)
			former := a.target
			if c.agentRestarts {
				a.Restart(300 * time.Millisecond)
			}
			a.crash()
			if c.seen {
				w.Run(200 * time.Millisecond)
			}
			a.startTarget()
			require.Equal(t, former.id, a.target.id, name)
			w.Run(4 * time.Second)
			for range 60 {
				w.addClient("z1", frontA)
			}
			w.Run(time.Second)
			for _, ip := range w.BalancerIPs() {
				w.Balancers[ip].Restart(100 * time.Millisecond)
			}
			w.Run(time.Second)
			over, later := 0, 0
			for _, client := range w.clients {
				client.request()
			}
			w.Run(2 * time.Second)
			for _, client := range w.clients {
				switch client.target {
				case former:
					require.Equal(t, refused, client.state, "%s, seed %d", name, seed)
					over++
				case a.target:
					require.Equal(t, client.asked, client.answered, "%s, seed %d", name, seed)
					later++
				}
			}
			require.NotZero(t, over, name)
			require.NotZero(t, later, name)
			require.Empty(t, w.violations, name)
		}
	}
}

// nodeOf returns the agent beside a target.
func (w *world) nodeOf(h *target) *agentNode {
	for _, a := range sortedAgents(w) {
		if a.target == h {
			return a
		}
	}
	return nil
}
