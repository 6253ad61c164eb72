package packets

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestOnlyFlowsOfAFormerIncarnationAreReset: a target crashes and restarts under its former
// ID, whether or not its agent sees that or restarts too. Balancers that have just started
// then get packets of flows from before and after: the former must be reset, the latter kept.
func TestOnlyFlowsOfAFormerIncarnationAreReset(t *testing.T) {
	for name, c := range map[string]struct {
		restartSeen, agentRestarts, reportsStart bool
	}{
		"unseen":                         {reportsStart: true},
		"seen":                           {restartSeen: true, reportsStart: true},
		"agent restarted meanwhile":      {agentRestarts: true, reportsStart: true},
		"unseen, no start time":          {},
		"seen, no start time":            {restartSeen: true},
		"agent restarted, no start time": {agentRestarts: true},
	} {
		for seed := range uint64(5) {
			w := newWorld(seed)
			w.reuseTargetIDs, w.reportStartTime = true, c.reportsStart
			addSmallFleet(w)
			w.Run(3 * time.Second)
			for range 20 {
				w.addClient("z1", frontA)
			}
			w.Run(time.Second)
			a := w.agentOf(w.clients[0].target)
			former := a.target
			if c.agentRestarts {
				a.Restart(300 * time.Millisecond)
			}
			a.crash()
			if c.restartSeen {
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
			formerFlows, newFlows := 0, 0
			for _, client := range w.clients {
				client.request()
			}
			w.Run(2 * time.Second)
			for _, client := range w.clients {
				switch client.target {
				case former:
					require.Equal(t, stateReset, client.state, "%s, seed %d", name, seed)
					formerFlows++
				case a.target:
					require.Equal(t, client.requested, client.answered, "%s, seed %d", name, seed)
					newFlows++
				}
			}
			require.NotZero(t, formerFlows, name)
			require.NotZero(t, newFlows, name)
			require.Empty(t, w.violations, name)
		}
	}
}

// agentOf returns the agent beside a target, nil if the target has ended.
func (w *world) agentOf(t *target) *agentNode {
	for _, a := range sortedAgents(w) {
		if a.target == t {
			return a
		}
	}
	return nil
}
