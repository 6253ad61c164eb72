package packets

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poppywall/poppywall/model/sim"
)

// startTargetsAnew ends all targets and starts others, so that their agents have seen them start and
// take a flow without a record for one that the target does not hold.
func startTargetsAnew(w *world) {
	w.Run(3 * time.Second)
	for _, a := range sortedAgents(w) {
		a.crash()
		// By then its heartbeat is overdue, and the agent has probed it.
		w.After(4*sim.HeartbeatPeriod, a.startTarget)
	}
	w.Run(4*sim.HeartbeatPeriod + 3*time.Second)
}

// TestPausedFlowsAreServedAcrossChanges guards against nodes that forget a flow while its client
// pauses, before its first request or between two: balancers lose their records, restart, get other
// settings, agents restart, targets drain.
func TestPausedFlowsAreServedAcrossChanges(t *testing.T) {
	restartBalancers := func(w *world) {
		for _, b := range w.Balancers {
			b.Restart(100 * time.Millisecond)
		}
	}
	restartAgents := func(w *world) {
		for _, a := range sortedAgents(w) {
			a.Restart(300 * time.Millisecond)
		}
	}
	for name, change := range map[string]func(w *world){
		"nothing":           func(*world) {},
		"balancers restart": restartBalancers,
		"agents restart":    restartAgents,
		"all restart":       func(w *world) { restartBalancers(w); restartAgents(w) },
		"targets drain": func(w *world) {
			for _, a := range w.agents {
				a.drain()
			}
		},
		"the idle timeout is shortened": func(w *world) {
			shorter := *w.Config
			shorter.Version, shorter.IdleTimeout = 2, time.Second
			w.Config = &shorter
			for _, b := range w.Balancers {
				b.Core.SetConfig(w.Now, w.Config)
			}
		},
		"all restart without the store": func(w *world) {
			w.StoreDownUntil = w.Now.Add(3 * time.Second)
			restartBalancers(w)
			restartAgents(w)
		},
	} {
		for _, pause := range []time.Duration{7 * time.Second, 14 * time.Second, 50 * time.Second} {
			w := newWorld(1)
			addSmallFleet(w)
			startTargetsAnew(w)
			w.maxPause = time.Nanosecond
			for range 20 {
				w.addClient("z1", frontA)
			}
			w.Run(pause - 4*time.Second)
			change(w)
			w.Run(4 * time.Second)
			w.maxPause = 0
			unused := 0
			for _, c := range w.clients {
				require.Equal(t, stateEstablished, c.state, "%s, %v", name, pause)
				if c.requested == 0 {
					unused++
				}
			}
			require.NotZero(t, unused, "some clients pause before their first request")
			checkOpenFlowsAnswered(t, w)
			for _, c := range w.clients {
				require.Equal(t, stateEstablished, c.state, "%s, %v", name, pause)
			}
		}
	}
}
