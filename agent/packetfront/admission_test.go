package packetfront

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poppywall/poppywall/backlog"
	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/flow/envelope"
	"github.com/poppywall/poppywall/platform"
	"github.com/poppywall/poppywall/platform/platformtest"
)

// routeEnvelope returns an envelope of a route with an objective of 150 ms and a deadline of
// 2.5 s.
func routeEnvelope(priority uint8) envelope.Envelope {
	return envelope.Envelope{Service: service, Priority: priority, Objective: 150 * time.Millisecond, Deadline: 2500 * time.Millisecond}
}

// openFlow delivers a client's SYN with a retransmission count, and the target's SYN+ACK if the
// flow was admitted.
func (f *fixture) openFlow(client int, e envelope.Envelope, retransmissions uint32) {
	f.deliver(e, packet(keyOf(client), flow.SYN, retransmissions, ""))
	if f.flows.get(keyOf(client)) != nil {
		f.targetSends(client, flow.SYN|flow.ACK, 500, 0)
	}
}

// sendRequest delivers a client's request.
func (f *fixture) sendRequest(client int) {
	f.deliver(envelope.Envelope{}, packet(keyOf(client), flow.ACK, 500, "request"))
}

// sendAnswer delivers the target's answer to a client's request.
func (f *fixture) sendAnswer(client int) { f.targetSends(client, flow.ACK, 501, 10) }

// fillTarget delivers requests up to the target's limit.
func (f *fixture) fillTarget() {
	for i := range f.targetLimit() {
		f.openFlow(i, routeEnvelope(2), 0)
		f.sendRequest(i)
	}
}

// deliveredRequests returns the clients whose data packets were delivered to the target, in order.
func (f *fixture) deliveredRequests() []int {
	var out []int
	for _, p := range f.port.target {
		h, err := platform.DecodePacket(p)
		if err == nil && h.Len > 0 {
			out = append(out, int(h.Src-0x64400000))
		}
	}
	return out
}

// synDelivered reports whether the client's SYN was delivered to the target.
func (f *fixture) synDelivered(client int) bool {
	for _, p := range f.port.target {
		h, err := platform.DecodePacket(p)
		if err == nil && h.IsOpening() && h.KeyFromClient() == keyOf(client) {
			return true
		}
	}
	return false
}

// TestRequestsBeyondTheLimitWaitForASlot: requests beyond the limit are queued at the agent on
// open flows, so that their clients wait until the deadline and not only for the connection
// timeout. They are served in the order of package backlog.
func TestRequestsBeyondTheLimitWaitForASlot(t *testing.T) {
	f := newFixture()
	require.Equal(t, 6, f.targetLimit(), "four slots and half a request queued for each")
	f.fillTarget()
	require.Equal(t, []int{0, 1, 2, 3, 4, 5}, f.deliveredRequests())
	f.openFlow(100, routeEnvelope(2), 0)
	f.openFlow(101, routeEnvelope(1), 0)
	f.advance(10 * time.Millisecond)
	f.openFlow(102, routeEnvelope(2), 0)
	for _, client := range []int{100, 101, 102, 100} {
		require.True(t, f.synDelivered(client))
		f.sendRequest(client)
	}
	require.Len(t, f.deliveredRequests(), 6)
	require.Equal(t, 9, f.Busy(), "queued requests count as load")
	for i := range 4 {
		f.sendAnswer(i)
	}
	require.Equal(t, []int{101, 102, 100}, f.deliveredRequests()[6:], "the higher priority first, then the newest; a retransmission is delivered once")
	require.Equal(t, 5, f.Busy())
}

func TestLaterPacketsOfAQueuedRequestAreDelivered(t *testing.T) {
	f := newFixture()
	f.fillTarget()
	f.openFlow(100, routeEnvelope(2), 0)
	first := packet(keyOf(100), flow.ACK, 500, "one")
	second := packet(keyOf(100), flow.ACK, 500, "two")
	second[3] = 9
	f.deliver(envelope.Envelope{}, first)
	f.deliver(envelope.Envelope{}, second)
	f.deliver(envelope.Envelope{}, first)
	f.sendAnswer(0)
	require.Equal(t, []int{100, 100}, f.deliveredRequests()[6:])
	third := packet(keyOf(100), flow.ACK, 500, "three")
	third[3] = 18
	f.deliver(envelope.Envelope{}, third)
	require.Len(t, f.deliveredRequests(), 9, "the rest of a running request is not queued")
}

func TestQueuedRequestIsDroppedWhenItsClientLeaves(t *testing.T) {
	for name, leave := range map[string]func(f *fixture){
		"it sends a FIN":      func(f *fixture) { f.deliver(envelope.Envelope{}, packet(keyOf(100), flow.ACK|flow.FIN, 500, "")) },
		"its deadline passes": func(f *fixture) { f.advance(2600 * time.Millisecond) },
	} {
		f := newFixture()
		f.fillTarget()
		f.openFlow(100, routeEnvelope(2), 0)
		f.sendRequest(100)
		require.Equal(t, 7, f.Busy(), name)
		leave(f)
		require.Equal(t, 6, f.Busy(), name)
		require.Zero(t, f.queue.Len(), name)
		f.sendAnswer(0)
		require.Len(t, f.deliveredRequests(), 6, name)
	}
}

// TestARequestWhoseClientLeftDoesNotHoldASlot: the target may never answer a request whose client
// has left, so it stops counting as load at once.
func TestARequestWhoseClientLeftDoesNotHoldASlot(t *testing.T) {
	f := newFixture()
	f.fillTarget()
	f.openFlow(100, routeEnvelope(2), 0)
	f.sendRequest(100)
	f.deliver(envelope.Envelope{}, packet(keyOf(0), flow.ACK|flow.FIN, 500, ""))
	require.Equal(t, []int{100}, f.deliveredRequests()[6:])
	require.Equal(t, 6, f.Busy())
	f.sendAnswer(0)
	require.Equal(t, 6, f.Busy(), "a late answer is counted once")
}

// TestRetransmissionsOfPostponedFlowsAreNoOutage: a retransmitted SYN does not indicate an outage if
// the balancer has received an earlier SYN of the flow.
func TestRetransmissionsOfPostponedFlowsAreNoOutage(t *testing.T) {
	for flags, unseenTry := range map[envelope.Flags]time.Duration{0: backlog.ConnectTimeout + backlog.MaxRetryPause, envelope.Retransmitted: 0} {
		f := newFixture()
		e := routeEnvelope(2)
		e.Flags = flags
		f.openFlow(0, e, 2)
		require.Equal(t, unseenTry, f.flows.get(keyOf(0)).request.unseenTry)
	}
}

// TestANewFlowGoesToTheTargetWithTheShortestWait: a new flow that all candidates decline goes
// once to the one with the shortest wait.
func TestANewFlowGoesToTheTargetWithTheShortestWait(t *testing.T) {
	f := newFixture()
	f.fillTarget()
	e := routeEnvelope(2)
	e.SetCandidates([]flow.IPv4{nextIP})
	f.openFlow(100, e, 2)
	passed := f.port.Last()
	require.Equal(t, nextIP, passed.To)
	require.Equal(t, flow.IPv4(9), passed.Env.ShortestWaitTarget, "it was offered here first")
	require.Equal(t, f.expectedWait(f.now).Truncate(time.Millisecond), passed.Env.ShortestWaitTime)

	last := routeEnvelope(2)
	last.ShortestWaitTarget, last.ShortestWaitTime = nextIP, 10*time.Millisecond
	f.openFlow(101, last, 2)
	sent := f.port.Last()
	require.Equal(t, nextIP, sent.To)
	require.NotZero(t, sent.Env.Flags&envelope.ShortestWait)
	require.False(t, f.synDelivered(101))

	last.ShortestWaitTime = time.Second
	f.openFlow(102, last, 2)
	require.True(t, f.synDelivered(102), "here the wait is shorter")

	redirected := routeEnvelope(2)
	redirected.Flags = envelope.ShortestWait
	redirected.ShortestWaitTarget, redirected.ShortestWaitTime = nextIP, time.Millisecond
	f.openFlow(103, redirected, 2)
	require.True(t, f.synDelivered(103), "it was redirected before")
}

// TestLongWaitPostponesFlowToItsNextSYN: a flow that would wait past its client's next SYN is
// dropped silently, because an open flow is bound to its target. After the last SYN it is
// admitted.
func TestLongWaitPostponesFlowToItsNextSYN(t *testing.T) {
	f := newFixture()
	f.fillTarget()
	for client := 100; f.expectedWait(f.now) <= 200*time.Millisecond; client++ {
		f.openFlow(client, routeEnvelope(2), 2)
		f.sendRequest(client)
	}
	sent := len(f.port.Nodes)
	f.openFlow(500, routeEnvelope(2), 0)
	require.False(t, f.synDelivered(500))
	require.Len(t, f.port.Nodes, sent, "it is not returned either")
	f.openFlow(501, routeEnvelope(2), 1)
	require.True(t, f.synDelivered(501), "the next SYN comes after 400 ms")
	f.openFlow(502, routeEnvelope(2), 2)
	require.True(t, f.synDelivered(502))
}

// TestFlowIsNotPostponedWhileQueuedRequestsCanWait: a new flow that can still meet its objective
// is admitted ahead of queued requests that can wait; after its next SYN it would be late.
func TestFlowIsNotPostponedWhileQueuedRequestsCanWait(t *testing.T) {
	f := newFixture()
	f.fillTarget()
	patient := routeEnvelope(2)
	patient.Deadline = time.Minute
	for client := 100; f.expectedWait(f.now) <= 500*time.Millisecond; client++ {
		f.openFlow(client, patient, 2)
		f.sendRequest(client)
	}
	slow := routeEnvelope(2)
	slow.Objective = time.Millisecond
	f.openFlow(501, slow, 0)
	require.False(t, f.synDelivered(501), "it cannot meet its objective anyway")
	f.openFlow(500, routeEnvelope(2), 0)
	require.True(t, f.synDelivered(500))
	f.sendRequest(500)
	f.sendAnswer(0)
	require.Equal(t, []int{500}, f.deliveredRequests()[6:])
}

func TestFlowThatCannotMeetItsDeadlineIsReturned(t *testing.T) {
	f := newFixture()
	f.fillTarget()
	client := 100
	for ; f.expectedWait(f.now) <= 1900*time.Millisecond-f.estimate.ResponseTime(); client++ {
		f.openFlow(client, routeEnvelope(2), 2)
		f.sendRequest(client)
	}
	f.openFlow(client, routeEnvelope(2), 2)
	require.False(t, f.synDelivered(client))
	require.Equal(t, envelope.Returned, f.port.Last().Kind)
	long := routeEnvelope(2)
	long.Deadline = 8 * time.Second
	f.openFlow(client+1, long, 2)
	require.True(t, f.synDelivered(client+1), "a route with a longer deadline")
	unstated := envelope.Envelope{Service: service}
	f.openFlow(client+2, unstated, 2)
	require.True(t, f.synDelivered(client+2), "a route without a deadline")
}

// TestOverloadedTargetTakesOnlyFlowsThatMeetTheirObjective: without this rule all requests would
// wait almost until their deadlines.
func TestOverloadedTargetTakesOnlyFlowsThatMeetTheirObjective(t *testing.T) {
	f := newFixture()
	f.fillTarget()
	client := 100
	long := routeEnvelope(2)
	long.Deadline = time.Minute
	for ; f.expectedWait(f.now) < 200*time.Millisecond; client++ {
		f.openFlow(client, long, 2)
		f.sendRequest(client)
	}
	for range 2 {
		f.advance(2550 * time.Millisecond)
		for waiting := 100; waiting < client; waiting++ {
			f.sendRequest(waiting)
		}
	}
	require.True(t, f.overload.active)
	f.openFlow(client, routeEnvelope(2), 2)
	require.False(t, f.synDelivered(client))
	require.Equal(t, envelope.Returned, f.port.Last().Kind)
	unstated := routeEnvelope(2)
	unstated.Objective = 0
	f.openFlow(client+1, unstated, 2)
	require.True(t, f.synDelivered(client+1), "a route without an objective")
}

// TestSearchEndsAtTargetWithQueuedRequest: the balancer is notified of the owner although the
// request is queued; otherwise it would search all targets again and again.
func TestSearchEndsAtTargetWithQueuedRequest(t *testing.T) {
	f := newFixture()
	f.fillTarget()
	f.openFlow(100, routeEnvelope(2), 0)
	require.Empty(t, f.owners())
	e := envelope.Envelope{Service: service, Flags: envelope.Search}
	f.deliver(e, packet(keyOf(100), flow.ACK, 500, "request"))
	require.Equal(t, []flow.IPv4{balancerIP}, f.owners())
	require.Len(t, f.deliveredRequests(), 6)
}

// TestRequestsWithoutAnswerStayLoad: a delivered or queued request counts as load past
// pendingOpenTTL although the target has sent nothing on its flow.
func TestRequestsWithoutAnswerStayLoad(t *testing.T) {
	f := newFixture()
	f.fillTarget()
	f.openFlow(100, routeEnvelope(2), 0)
	f.sendRequest(100)
	f.advance(2 * pendingOpenTTL)
	require.Equal(t, 7, f.Busy())
	require.Len(t, f.deliveredRequests(), 6)
}

func TestQueuedRequestsAreDroppedWhenTheirTargetEnds(t *testing.T) {
	f := newFixture()
	f.fillTarget()
	f.openFlow(100, routeEnvelope(2), 0)
	f.sendRequest(100)
	f.TargetProbed(f.now, ProbeRefused)
	require.Zero(t, f.Busy())
	require.Zero(t, f.queue.Len())
	f.TargetProbed(f.now, ProbeAccepted)
	f.advance(time.Second)
	require.Len(t, f.deliveredRequests(), 6)
}

// TestLaterRequestsOfAFlowAreQueued: later requests of a flow are queued like the first one, and
// their deadlines count from their own arrival.
func TestLaterRequestsOfAFlowAreQueued(t *testing.T) {
	f := newFixture()
	f.fillTarget()
	f.sendAnswer(0)
	f.openFlow(100, routeEnvelope(2), 0)
	f.sendRequest(100)
	f.advance(3 * time.Second)
	f.sendRequest(0)
	require.Len(t, f.deliveredRequests(), 7)
	require.Equal(t, 1, f.queue.Len())
	f.advance(2 * time.Second)
	f.sendAnswer(1)
	require.Equal(t, 0, f.deliveredRequests()[7], "its client has waited for two seconds, not five")
}

// dataPacket returns a data packet of a client with the given sequence number.
func dataPacket(client int, offset uint32, text string) []byte {
	return platformtest.FromClient(keyOf(client), flow.ACK, offset, 500, []byte(text))
}

// finPacket returns the packet with which a client ends its flow.
func finPacket(client int) []byte { return packet(keyOf(client), flow.ACK|flow.FIN, 500, "") }

// TestRetransmittedAnswerDoesNotEndAQueuedRequest: the target retransmits its last answer while
// the flow's next request is still queued at the agent.
func TestRetransmittedAnswerDoesNotEndAQueuedRequest(t *testing.T) {
	f := newFixture()
	f.openFlow(100, routeEnvelope(2), 0)
	f.sendRequest(100)
	f.sendAnswer(100)
	f.fillTarget()
	f.deliver(envelope.Envelope{}, dataPacket(100, 8, "next"))
	require.Equal(t, 1, f.queue.Len())
	busy := f.Busy()
	f.sendAnswer(100)
	require.Equal(t, busy, f.Busy(), "the queued request still counts as load")
	f.sendAnswer(0)
	require.Equal(t, 2, countOf(f.deliveredRequests(), 100), "it gets the next slot")
}

// TestFlowWithAQueuedRequestDoesNotExpire: with long deadlines the client's last packet may be
// long ago. If the record expired, the flow's next packet would be passed on as unknown.
func TestFlowWithAQueuedRequestDoesNotExpire(t *testing.T) {
	f := newFixture()
	patient := routeEnvelope(2)
	patient.Deadline = time.Minute
	f.fillTarget()
	f.openFlow(100, patient, 0)
	f.sendRequest(100)
	for range 2 * busyTTL / time.Second {
		for i := range f.targetLimit() {
			// The target keeps working on the other requests.
			f.targetSends(i, flow.ACK, 501, 0)
			f.flows.get(keyOf(i)).busySince = f.now
		}
		f.advance(time.Second)
	}
	require.Equal(t, 1, f.queue.Len())
	require.Equal(t, 7, f.Busy())
	f.sendAnswer(0)
	require.Equal(t, 1, countOf(f.deliveredRequests(), 100))
}

// TestResetByTheTargetRemovesTheQueuedRequest: a queue entry that outlived its flow would be
// dispatched or expired in place of the request of a later flow between the same ports.
func TestResetByTheTargetRemovesTheQueuedRequest(t *testing.T) {
	f := newFixture()
	f.fillTarget()
	f.openFlow(100, routeEnvelope(2), 0)
	f.sendRequest(100)
	f.targetSends(100, flow.RST, 500, 0)
	require.Zero(t, f.queue.Len())
	f.advance(2 * time.Second)
	f.fillTarget()
	f.deliver(routeEnvelope(2), packet(keyOf(100), flow.SYN, 0, ""))
	f.targetSends(100, flow.SYN|flow.ACK, 1_000_000, 0)
	f.deliver(envelope.Envelope{}, packet(keyOf(100), flow.ACK, 1_000_000, "request"))
	f.advance(time.Second)
	require.Zero(t, f.counts.abandonedInQueue, "its client still waits")
	require.Equal(t, 1, f.queue.Len())
}

// TestRetransmittedAnswerDoesNotEndARunningRequest: the target retransmits its last answer after
// the next request was delivered.
func TestRetransmittedAnswerDoesNotEndARunningRequest(t *testing.T) {
	f := newFixture()
	f.openFlow(100, routeEnvelope(2), 0)
	f.sendRequest(100)
	f.sendAnswer(100)
	require.Zero(t, f.Busy())
	f.deliver(envelope.Envelope{}, packet(keyOf(100), flow.ACK, 511, "another"))
	f.sendAnswer(100)
	require.Equal(t, 1, f.Busy())
	require.Equal(t, 1, f.flows.running)
	f.targetSends(100, flow.ACK, 511, 10)
	require.Zero(t, f.Busy())
}

// TestSlotOfAnExpiredRequestIsReusedAtOnce: the tick that expires requests without an answer also
// dispatches queued requests to their slots.
func TestSlotOfAnExpiredRequestIsReusedAtOnce(t *testing.T) {
	f := newFixture()
	f.fillTarget()
	patient := routeEnvelope(2)
	patient.Deadline = time.Minute
	f.openFlow(100, patient, 0)
	f.sendRequest(100)
	f.advance(busyTTL + time.Second)
	require.Zero(t, f.queue.Len())
	require.Equal(t, 1, countOf(f.deliveredRequests(), 100))
}
