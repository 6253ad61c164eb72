package packetfront

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/flow/envelope"
)

// search delivers a search probe with a packet of a flow and reports whether the target got it.
func (f *fixture) search(client int, ack uint32) bool {
	before := len(f.port.target)
	e := envelope.Envelope{Flags: envelope.Search}
	e.SetCandidates([]flow.IPv4{nextIP})
	f.deliver(e, packet(keyOf(client), flow.ACK, ack, "x"))
	return len(f.port.target) > before
}

// TestBouncedFlowReachesTheTargetOnce guards against an open flow whose packets reach other targets and not
// its own: its agent keeps its data, and each packet is searched for by a balancer that has just
// started, along agents that have restarted beside their targets.
func TestBouncedFlowReachesTheTargetOnce(t *testing.T) {
	f := restartedAgent()
	require.True(t, f.search(1, 500), "the target may hold it")
	f.bounce()
	for range 5 {
		f.advance(time.Second)
		require.False(t, f.search(1, 520))
		require.Equal(t, nextIP, f.port.Last().To)
		require.Zero(t, f.port.Last().Env.Flags&envelope.Uncertain, "the target does not hold it")
	}
	require.True(t, f.search(1, 1_000_000), "a later flow between the same ports")
	require.True(t, f.search(2, 500), "another flow")
	f.syn(1, 0, 0)
	require.True(t, f.search(1, 520), "the target has got a SYN since")
}

// TestFlowThatTheTargetHoldsIsDeliveredAgain: only a bounce shows that a target does not hold a flow.
func TestFlowThatTheTargetHoldsIsDeliveredAgain(t *testing.T) {
	f := restartedAgent()
	for range 3 {
		require.True(t, f.search(1, 500))
	}
}

func TestDeniedFlowsAreBounded(t *testing.T) {
	d := newDeniedFlows()
	for client := range 3 * maxDeniedFlows {
		d.add(keyOf(client), 7)
		d.add(keyOf(client), 8)
	}
	require.Len(t, d.acks, maxDeniedFlows)
	require.Len(t, d.ring, maxDeniedFlows)
	require.False(t, d.has(keyOf(0), 8))
	require.True(t, d.has(keyOf(3*maxDeniedFlows-1), 8))
}
