package packetfront

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/flow/envelope"
)

// TestRetransmittedRequestOfAClientThatLeftIsWithheld: a client's stack retransmits unacknowledged
// data for seconds after the caller has gone.
func TestRetransmittedRequestOfAClientThatLeftIsWithheld(t *testing.T) {
	for name, leave := range map[string]func(f *fixture){
		"FIN while its request was queued":             func(f *fixture) { f.sendRequest(100); f.deliver(envelope.Envelope{}, finPacket(100)) },
		"FIN before its request arrived":               func(f *fixture) { f.deliver(envelope.Envelope{}, finPacket(100)) },
		"deadline passed while its request was queued": func(f *fixture) { f.sendRequest(100); f.advance(2600 * time.Millisecond) },
	} {
		f := newFixture()
		f.fillTarget()
		f.openFlow(100, routeEnvelope(2), 0)
		leave(f)
		for i := range f.targetLimit() {
			f.sendAnswer(i)
		}
		f.advance(pendingOpenTTL)
		require.Zero(t, f.Busy(), name)
		for range 3 {
			f.advance(1600 * time.Millisecond)
			f.sendRequest(100)
		}
		require.NotContains(t, f.deliveredRequests(), 100, name)
		require.Zero(t, f.Busy(), "%s: it does not count as load", name)
		require.Equal(t, 1, f.counts.withheld, "%s: it is counted once", name)
	}
}

// TestRequestThatArrivesAfterItsDeadlineIsWithheld: a slow handshake of the target may use up the
// deadline.
func TestRequestThatArrivesAfterItsDeadlineIsWithheld(t *testing.T) {
	f := newFixture()
	f.deliver(routeEnvelope(2), packet(keyOf(100), flow.SYN, 0, ""))
	f.advance(2600 * time.Millisecond)
	f.targetSends(100, flow.SYN|flow.ACK, 500, 0)
	f.sendRequest(100)
	require.Empty(t, f.deliveredRequests())
	require.Equal(t, 1, f.counts.withheld)
}

// TestRetransmissionOfAWithheldRequestIsWithheld: a retransmission later than firstRequestWindow
// must not be taken for the first request of a flow that was opened ahead.
func TestRetransmissionOfAWithheldRequestIsWithheld(t *testing.T) {
	f := newFixture()
	e := routeEnvelope(2)
	e.Deadline = 500 * time.Millisecond
	f.openFlow(100, e, 2)
	for range 3 {
		f.sendRequest(100)
		f.advance(firstRequestWindow + 100*time.Millisecond)
	}
	require.NotContains(t, f.deliveredRequests(), 100)
	require.Equal(t, 1, f.counts.withheld)
}

// TestRestOfARequestIsWithheldOnceItsClientHasLeft: the target would execute the request once it is
// complete.
func TestRestOfARequestIsWithheldOnceItsClientHasLeft(t *testing.T) {
	f := newFixture()
	f.openFlow(100, routeEnvelope(2), 0)
	f.deliver(envelope.Envelope{}, dataPacket(100, 1, "one"))
	f.deliver(envelope.Envelope{}, finPacket(100))
	f.deliver(envelope.Envelope{}, dataPacket(100, 4, "two"))
	require.Equal(t, []int{100}, f.deliveredRequests())
	require.Equal(t, 1, f.counts.abandonedAtTarget)
}

// TestALaterRequestOfAFlowIsWithheldAfterItsDeadline: the age of a later request counts from its
// first packet, not from each retransmission.
func TestALaterRequestOfAFlowIsWithheldAfterItsDeadline(t *testing.T) {
	f := newFixture()
	f.openFlow(100, routeEnvelope(2), 0)
	f.sendRequest(100)
	f.sendAnswer(100)
	f.fillTarget()
	f.deliver(envelope.Envelope{}, dataPacket(100, 8, "again"))
	require.Equal(t, 1, f.queue.Len())
	f.advance(2600 * time.Millisecond)
	require.Zero(t, f.queue.Len())
	for i := range f.targetLimit() {
		f.sendAnswer(i)
	}
	f.deliver(envelope.Envelope{}, dataPacket(100, 8, "again"))
	require.Equal(t, 1, countOf(f.deliveredRequests(), 100))
}

// countOf returns how often a client occurs in a list.
func countOf(clients []int, client int) int {
	n := 0
	for _, c := range clients {
		if c == client {
			n++
		}
	}
	return n
}

// TestAgentResumedAfterAFreezeDispatchesNoExpiredRequest: an answer of the target may arrive before
// the next tick and must not dispatch a queued request whose deadline has passed.
func TestAgentResumedAfterAFreezeDispatchesNoExpiredRequest(t *testing.T) {
	f := newFixture()
	f.fillTarget()
	f.openFlow(100, routeEnvelope(2), 0)
	f.sendRequest(100)
	f.now = f.now.Add(2600 * time.Millisecond)
	f.sendAnswer(0)
	require.NotContains(t, f.deliveredRequests(), 100)
}

// TestFlowOpenedAheadOfItsFirstRequestIsServed: the age of the first request counts from its own
// first packet if the flow was opened ahead of it.
func TestFlowOpenedAheadOfItsFirstRequestIsServed(t *testing.T) {
	f := newFixture()
	f.openFlow(100, routeEnvelope(2), 0)
	f.openFlow(101, routeEnvelope(2), 0)
	f.advance(2600 * time.Millisecond)
	f.sendRequest(100)
	require.Equal(t, []int{100}, f.deliveredRequests())
	f.sendAnswer(100)
	f.fillTarget()
	f.sendRequest(101)
	f.advance(2400 * time.Millisecond)
	require.Equal(t, 1, f.queue.Len(), "it is queued until its own deadline")
	f.advance(200 * time.Millisecond)
	require.Zero(t, f.queue.Len())
}

// TestRequestWithFINIsServed: a client that sends its request with a FIN still waits for the answer.
func TestRequestWithFINIsServed(t *testing.T) {
	f := newFixture()
	f.openFlow(100, routeEnvelope(2), 0)
	for range 2 {
		f.deliver(envelope.Envelope{}, packet(keyOf(100), flow.ACK|flow.FIN, 500, "request"))
	}
	require.Equal(t, []int{100, 100}, f.deliveredRequests(), "also when it is retransmitted")
	require.Equal(t, 1, f.Busy())
}

// TestRestartedAgentWithholdsRequestsOfClientsThatLeft: an agent without a record of the flow sees
// the client's FIN and must withhold its later data.
func TestRestartedAgentWithholdsRequestsOfClientsThatLeft(t *testing.T) {
	f := newFixture()
	f.target.sawStart = false
	f.deliver(envelope.Envelope{}, finPacket(100))
	f.targetSends(100, flow.ACK, 500, 0)
	f.sendRequest(100)
	require.Empty(t, f.deliveredRequests())
	require.Equal(t, 1, f.counts.withheld)
}
