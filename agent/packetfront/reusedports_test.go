package packetfront

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/flow/envelope"
)

// TestFlowOnReusedPortsHasItsOwnAge: the deadline of a later flow between the same ports counts from
// its own SYN, also if the earlier flow never opened here.
func TestFlowOnReusedPortsHasItsOwnAge(t *testing.T) {
	for name, before := range map[string]func(f *fixture){
		"the target did not answer": func(f *fixture) { f.deliver(routeEnvelope(2), packet(keyOf(100), flow.SYN, 0, "")) },
		"another target took it":    func(f *fixture) { f.openFlow(100, routeEnvelope(2), 0) },
	} {
		// The request comes at once, within firstRequestWindow, and after it.
		for _, pause := range []time.Duration{0, 600 * time.Millisecond, time.Second} {
			f := newFixture()
			before(f)
			f.advance(2 * time.Second)
			f.deliver(routeEnvelope(2), packet(keyOf(100), flow.SYN, 0, ""))
			f.targetSends(100, flow.SYN|flow.ACK, 1_000_000, 0)
			f.advance(pause)
			f.deliver(envelope.Envelope{}, packet(keyOf(100), flow.ACK, 1_000_000, "request"))
			require.Contains(t, f.deliveredRequests(), 100, "%s, after %s", name, pause)
		}
	}
}

// TestFlowOnReusedPortsInheritsNoRequest: a running or queued request of an earlier flow between
// the same ports affects neither the timing nor the queueing of the later flow's requests.
func TestFlowOnReusedPortsInheritsNoRequest(t *testing.T) {
	again := func(f *fixture) {
		f.deliver(routeEnvelope(2), packet(keyOf(100), flow.SYN, 0, ""))
		f.targetSends(100, flow.SYN|flow.ACK, 1_000_000, 0)
	}
	request := packet(keyOf(100), flow.ACK, 1_000_000, "request")
	t.Run("the earlier request was running", func(t *testing.T) {
		f := newFixture()
		f.openFlow(100, routeEnvelope(2), 0)
		f.sendRequest(100)
		f.advance(2 * time.Second)
		again(f)
		f.deliver(envelope.Envelope{}, request)
		require.Equal(t, 1, f.flows.running)
		f.now = f.now.Add(20 * time.Millisecond)
		f.targetSends(100, flow.ACK, 1_000_001, 10)
		require.Equal(t, 20*time.Millisecond, f.estimate.ResponseTime())
		require.Zero(t, f.Busy())
	})
	t.Run("the earlier request was queued", func(t *testing.T) {
		f := newFixture()
		f.fillTarget()
		f.openFlow(100, routeEnvelope(2), 0)
		f.sendRequest(100)
		f.advance(2 * time.Second)
		again(f)
		f.deliver(envelope.Envelope{}, request)
		f.advance(time.Second)
		for i := range f.targetLimit() {
			f.sendAnswer(i)
		}
		require.Equal(t, 1, countOf(f.deliveredRequests(), 100))
		require.Zero(t, f.counts.abandonedInQueue)
	})
}

// TestFlowOnReusedPortsOfAnAbandonedOneIsServed: requests of a later flow between the same ports are
// not withheld because the earlier flow was abandoned.
func TestFlowOnReusedPortsOfAnAbandonedOneIsServed(t *testing.T) {
	for name, end := range map[string]func(f *fixture){
		"its client had left":     func(f *fixture) { f.deliver(envelope.Envelope{}, finPacket(100)) },
		"its deadline had passed": func(f *fixture) { f.sendRequest(100); f.advance(2600 * time.Millisecond) },
	} {
		f := newFixture()
		f.fillTarget()
		f.openFlow(100, routeEnvelope(2), 2)
		end(f)
		for i := range f.targetLimit() {
			f.sendAnswer(i)
		}
		f.advance(2600 * time.Millisecond)
		f.deliver(routeEnvelope(2), packet(keyOf(100), flow.SYN, 0, ""))
		f.targetSends(100, flow.SYN|flow.ACK, 1_000_000, 0)
		f.deliver(envelope.Envelope{}, packet(keyOf(100), flow.ACK, 1_000_000, "request"))
		require.Contains(t, f.deliveredRequests(), 100, name)
	}
}
