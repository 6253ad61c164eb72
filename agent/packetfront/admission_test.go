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

// load is an envelope of a route that states what its requests need.
func load(priority uint8) envelope.Envelope {
	return envelope.Envelope{Service: service, Priority: priority, Objective: 150 * time.Millisecond, Deadline: 2500 * time.Millisecond}
}

// opens lets a client open a flow and the target answer it.
func (f *fixture) opens(client int, e envelope.Envelope, copies uint32) {
	f.deliver(e, packet(keyOf(client), flow.SYN, copies, ""))
	if f.flows.get(keyOf(client)) != nil {
		f.targetSends(client, flow.SYN|flow.ACK, 500, 0)
	}
}

// asks lets a client send its request.
func (f *fixture) asks(client int) {
	f.deliver(envelope.Envelope{}, packet(keyOf(client), flow.ACK, 500, "request"))
}

// answers lets the target answer a client's request.
func (f *fixture) answers(client int) { f.targetSends(client, flow.ACK, 501, 10) }

// fill gives the target as many requests as it should have.
func (f *fixture) fill() {
	for i := range f.targetLimit() {
		f.opens(i, load(2), 0)
		f.asks(i)
	}
}

// atTarget returns the clients whose requests the target got, in order.
func (f *fixture) atTarget() []int {
	var out []int
	for _, p := range f.port.target {
		h, err := platform.DecodePacket(p)
		if err == nil && h.Len > 0 {
			out = append(out, int(h.Src-0x64400000))
		}
	}
	return out
}

// opened tells whether the target got the client's SYN.
func (f *fixture) opened(client int) bool {
	for _, p := range f.port.target {
		h, err := platform.DecodePacket(p)
		if err == nil && h.IsOpening() && h.KeyFromClient() == keyOf(client) {
			return true
		}
	}
	return false
}

// TestRequestsBeyondTheLimitWaitForASlot: their flows are open, so that their
// clients wait to their deadlines and not to the end of a try; served is the one
// that package backlog names.
func TestRequestsBeyondTheLimitWaitForASlot(t *testing.T) {
	f := newFixture()
	require.Equal(t, 6, f.targetLimit(), "four slots and half a request queued for each")
	f.fill()
	require.Equal(t, []int{0, 1, 2, 3, 4, 5}, f.atTarget())
	f.opens(100, load(2), 0)
	f.opens(101, load(1), 0)
	f.pass(10 * time.Millisecond)
	f.opens(102, load(2), 0)
	for _, client := range []int{100, 101, 102, 100} {
		require.True(t, f.opened(client))
		f.asks(client)
	}
	require.Len(t, f.atTarget(), 6)
	require.Equal(t, 9, f.Busy(), "what waits is load")
	for i := range 4 {
		f.answers(i)
	}
	require.Equal(t, []int{101, 102, 100}, f.atTarget()[6:], "the higher priority, then the newest; what was repeated goes once")
	require.Equal(t, 5, f.Busy())
}

func TestLaterPacketsOfAWaitingRequestFollowIt(t *testing.T) {
	f := newFixture()
	f.fill()
	f.opens(100, load(2), 0)
	first := packet(keyOf(100), flow.ACK, 500, "one")
	second := packet(keyOf(100), flow.ACK, 500, "two")
	second[3] = 9
	f.deliver(envelope.Envelope{}, first)
	f.deliver(envelope.Envelope{}, second)
	f.deliver(envelope.Envelope{}, first)
	f.answers(0)
	require.Equal(t, []int{100, 100}, f.atTarget()[6:])
	third := packet(keyOf(100), flow.ACK, 500, "three")
	third[3] = 18
	f.deliver(envelope.Envelope{}, third)
	require.Len(t, f.atTarget(), 9, "the rest of a request that the target has is not held up")
}

func TestAClientThatLeavesFreesItsPlace(t *testing.T) {
	for name, leave := range map[string]func(f *fixture){
		"says so":      func(f *fixture) { f.deliver(envelope.Envelope{}, packet(keyOf(100), flow.ACK|flow.FIN, 500, "")) },
		"its deadline": func(f *fixture) { f.pass(2600 * time.Millisecond) },
	} {
		f := newFixture()
		f.fill()
		f.opens(100, load(2), 0)
		f.asks(100)
		require.Equal(t, 7, f.Busy(), name)
		leave(f)
		require.Equal(t, 6, f.Busy(), name)
		require.Zero(t, f.queue.Len(), name)
		f.answers(0)
		require.Len(t, f.atTarget(), 6, name)
	}
}

// TestARequestWhoseClientLeftDoesNotHoldASlot: the target may never answer it.
func TestARequestWhoseClientLeftDoesNotHoldASlot(t *testing.T) {
	f := newFixture()
	f.fill()
	f.opens(100, load(2), 0)
	f.asks(100)
	f.deliver(envelope.Envelope{}, packet(keyOf(0), flow.ACK|flow.FIN, 500, ""))
	require.Equal(t, []int{100}, f.atTarget()[6:])
	require.Equal(t, 6, f.Busy())
	f.answers(0)
	require.Equal(t, 6, f.Busy(), "an answer that comes all the same is counted once")
}

// TestCopiesOfPostponedFlowsAreNoOutage: somebody has seen the first one.
func TestCopiesOfPostponedFlowsAreNoOutage(t *testing.T) {
	for flags, hidden := range map[envelope.Flags]time.Duration{0: backlog.ConnectTimeout + backlog.MaxRetryPause, envelope.Retransmitted: 0} {
		f := newFixture()
		e := load(2)
		e.Flags = flags
		f.opens(0, e, 2)
		require.Equal(t, hidden, f.flows.get(keyOf(0)).request.hidden)
	}
}

// TestANewFlowGoesToTheTargetWithTheShortestWait when no candidate has room.
func TestANewFlowGoesToTheTargetWithTheShortestWait(t *testing.T) {
	f := newFixture()
	f.fill()
	e := load(2)
	e.SetCandidates([]flow.Candidate{{Target: nextIP, Service: service}})
	f.opens(100, e, 2)
	passed := f.port.Last()
	require.Equal(t, nextIP, passed.To)
	require.Equal(t, flow.IPv4(9), passed.Env.ShortestWaitTarget, "it was offered here first")
	require.Equal(t, f.expectedWait(f.now).Truncate(time.Millisecond), passed.Env.ShortestWaitTime)

	last := load(2)
	last.ShortestWaitTarget, last.ShortestWaitTime = nextIP, 10*time.Millisecond
	f.opens(101, last, 2)
	sent := f.port.Last()
	require.Equal(t, nextIP, sent.To)
	require.NotZero(t, sent.Env.Flags&envelope.ShortestWait)
	require.False(t, f.opened(101))

	last.ShortestWaitTime = time.Second
	f.opens(102, last, 2)
	require.True(t, f.opened(102), "here the wait is shorter")

	settled := load(2)
	settled.Flags = envelope.ShortestWait
	settled.ShortestWaitTarget, settled.ShortestWaitTime = nextIP, time.Millisecond
	f.opens(103, settled, 2)
	require.True(t, f.opened(103), "it was sent on once")
}

// TestALongWaitIsLeftToTheNextOpeningPacket, for an open flow is bound to its target;
// the last one has none behind it.
func TestALongWaitIsLeftToTheNextOpeningPacket(t *testing.T) {
	f := newFixture()
	f.fill()
	for client := 100; f.expectedWait(f.now) <= 200*time.Millisecond; client++ {
		f.opens(client, load(2), 2)
		f.asks(client)
	}
	sent := len(f.port.Nodes)
	f.opens(500, load(2), 0)
	require.False(t, f.opened(500))
	require.Len(t, f.port.Nodes, sent, "it is not refused either")
	f.opens(501, load(2), 1)
	require.True(t, f.opened(501), "the next one comes after 400 ms")
	f.opens(502, load(2), 2)
	require.True(t, f.opened(502))
}

// TestAFreshFlowIsNotPostponedWhileTheOthersCanWait: it would be late when its next
// opening packet came.
func TestAFreshFlowIsNotPostponedWhileTheOthersCanWait(t *testing.T) {
	f := newFixture()
	f.fill()
	patient := load(2)
	patient.Deadline = time.Minute
	for client := 100; f.expectedWait(f.now) <= 500*time.Millisecond; client++ {
		f.opens(client, patient, 2)
		f.asks(client)
	}
	slow := load(2)
	slow.Objective = time.Millisecond
	f.opens(501, slow, 0)
	require.False(t, f.opened(501), "it is late anyway")
	f.opens(500, load(2), 0)
	require.True(t, f.opened(500))
	f.asks(500)
	f.answers(0)
	require.Equal(t, []int{500}, f.atTarget()[6:])
}

func TestWhatCannotBeServedInTimeIsReturnedAtOnce(t *testing.T) {
	f := newFixture()
	f.fill()
	client := 100
	for ; f.expectedWait(f.now) <= 1900*time.Millisecond-f.estimate.ResponseTime(); client++ {
		f.opens(client, load(2), 2)
		f.asks(client)
	}
	f.opens(client, load(2), 2)
	require.False(t, f.opened(client))
	require.Equal(t, envelope.Returned, f.port.Last().Kind)
	long := load(2)
	long.Deadline = 8 * time.Second
	f.opens(client+1, long, 2)
	require.True(t, f.opened(client+1), "another route's callers can wait")
	unstated := envelope.Envelope{Service: service}
	f.opens(client+2, unstated, 2)
	require.True(t, f.opened(client+2), "a route that states no deadline")
}

// TestAStandingBacklogTakesOnlyWhatMeetsItsObjective: everybody would wait as long
// as they can bear otherwise.
func TestAStandingBacklogTakesOnlyWhatMeetsItsObjective(t *testing.T) {
	f := newFixture()
	f.fill()
	client := 100
	long := load(2)
	long.Deadline = time.Minute
	for ; f.expectedWait(f.now) < 200*time.Millisecond; client++ {
		f.opens(client, long, 2)
		f.asks(client)
	}
	for range 2 {
		f.pass(2550 * time.Millisecond)
		for waiting := 100; waiting < client; waiting++ {
			f.asks(waiting)
		}
	}
	require.True(t, f.overload.active)
	f.opens(client, load(2), 2)
	require.False(t, f.opened(client))
	require.Equal(t, envelope.Returned, f.port.Last().Kind)
	unstated := load(2)
	unstated.Objective = 0
	f.opens(client+1, unstated, 2)
	require.True(t, f.opened(client+1), "a route that states no objective")
}

// TestASearchThatMeetsAWaitingRequestEnds: its balancer is told at once, or it would
// ask every target again and again.
func TestASearchThatMeetsAWaitingRequestEnds(t *testing.T) {
	f := newFixture()
	f.fill()
	f.opens(100, load(2), 0)
	require.Empty(t, f.owners())
	e := envelope.Envelope{Service: service, Flags: envelope.Search}
	f.deliver(e, packet(keyOf(100), flow.ACK, 500, "request"))
	require.Equal(t, []flow.IPv4{balancerIP}, f.owners())
	require.Len(t, f.atTarget(), 6)
}

// TestALongRequestStaysLoad although the target has said nothing on its flow.
func TestALongRequestStaysLoad(t *testing.T) {
	f := newFixture()
	f.fill()
	f.opens(100, load(2), 0)
	f.asks(100)
	f.pass(2 * pendingOpenTTL)
	require.Equal(t, 7, f.Busy())
	require.Len(t, f.atTarget(), 6)
}

func TestWaitingRequestsEndWithTheirTarget(t *testing.T) {
	f := newFixture()
	f.fill()
	f.opens(100, load(2), 0)
	f.asks(100)
	f.Probed(f.now, ProbeRefused)
	require.Zero(t, f.Busy())
	require.Zero(t, f.queue.Len())
	f.Probed(f.now, ProbeAccepted)
	f.pass(time.Second)
	require.Len(t, f.atTarget(), 6)
}

// TestLaterRequestsOfAFlowWait like the first, from when they come.
func TestLaterRequestsOfAFlowWait(t *testing.T) {
	f := newFixture()
	f.fill()
	f.answers(0)
	f.opens(100, load(2), 0)
	f.asks(100)
	f.pass(3 * time.Second)
	f.asks(0)
	require.Len(t, f.atTarget(), 7)
	require.Equal(t, 1, f.queue.Len())
	f.pass(2 * time.Second)
	f.answers(1)
	require.Equal(t, 0, f.atTarget()[7], "its client has waited for two seconds, not five")
}

// data returns a packet of a client's request that begins at an offset.
func data(client int, offset uint32, text string) []byte {
	return platformtest.FromClient(keyOf(client), flow.ACK, offset, 500, []byte(text))
}

// fin is what a client sends that ends its flow.
func fin(client int) []byte { return packet(keyOf(client), flow.ACK|flow.FIN, 500, "") }

// TestATargetThatRepeatsItsAnswerDoesNotEndTheNextRequest, which waits at the agent: the
// target has not got it yet.
func TestATargetThatRepeatsItsAnswerDoesNotEndTheNextRequest(t *testing.T) {
	f := newFixture()
	f.opens(100, load(2), 0)
	f.asks(100)
	f.answers(100)
	f.fill()
	f.deliver(envelope.Envelope{}, data(100, 8, "next"))
	require.Equal(t, 1, f.queue.Len())
	busy := f.Busy()
	f.answers(100)
	require.Equal(t, busy, f.Busy(), "it is load as before")
	f.answers(0)
	require.Equal(t, 2, count(f.atTarget(), 100), "it gets the next slot")
}

// TestAFlowWhoseRequestWaitsIsNotForgotten: its client's last packet may be long ago where
// callers wait for long, and a packet of a flow that is not known would be denied.
func TestAFlowWhoseRequestWaitsIsNotForgotten(t *testing.T) {
	f := newFixture()
	patient := load(2)
	patient.Deadline = time.Minute
	f.fill()
	f.opens(100, patient, 0)
	f.asks(100)
	for range 2 * pendingTTL / time.Second {
		for i := range f.targetLimit() {
			// The target works on the others all the time.
			f.targetSends(i, flow.ACK, 501, 0)
			f.flows.get(keyOf(i)).pendingAt = f.now
		}
		f.pass(time.Second)
	}
	require.Equal(t, 1, f.queue.Len())
	require.Equal(t, 7, f.Busy())
	f.answers(0)
	require.Equal(t, 1, count(f.atTarget(), 100))
}

// TestARequestThatTheTargetResetsNoLongerWaits: a later flow between the same ports is not
// served, or given up, in its place.
func TestARequestThatTheTargetResetsNoLongerWaits(t *testing.T) {
	f := newFixture()
	f.fill()
	f.opens(100, load(2), 0)
	f.asks(100)
	f.targetSends(100, flow.RST, 500, 0)
	require.Zero(t, f.queue.Len())
	f.pass(2 * time.Second)
	f.fill()
	f.deliver(load(2), packet(keyOf(100), flow.SYN, 0, ""))
	f.targetSends(100, flow.SYN|flow.ACK, 1_000_000, 0)
	f.deliver(envelope.Envelope{}, packet(keyOf(100), flow.ACK, 1_000_000, "request"))
	f.pass(time.Second)
	require.Zero(t, f.tally.gaveUp, "its client waits")
	require.Equal(t, 1, f.queue.Len())
}

// TestARepeatedAnswerAnswersNoLaterRequest: the target sends its last answer once more when it
// has the next request already.
func TestARepeatedAnswerAnswersNoLaterRequest(t *testing.T) {
	f := newFixture()
	f.opens(100, load(2), 0)
	f.asks(100)
	f.answers(100)
	require.Zero(t, f.Busy())
	f.deliver(envelope.Envelope{}, packet(keyOf(100), flow.ACK, 511, "another"))
	f.answers(100)
	require.Equal(t, 1, f.Busy())
	require.Equal(t, 1, f.flows.running)
	f.targetSends(100, flow.ACK, 511, 10)
	require.Zero(t, f.Busy())
}

// TestASlotOfAForgottenRequestIsGivenAtOnce: the tick that forgets requests without an
// answer gives their slots to those that wait.
func TestASlotOfAForgottenRequestIsGivenAtOnce(t *testing.T) {
	f := newFixture()
	f.fill()
	patient := load(2)
	patient.Deadline = time.Minute
	f.opens(100, patient, 0)
	f.asks(100)
	f.pass(openingTTL + time.Second)
	require.Zero(t, f.queue.Len())
	require.Equal(t, 1, count(f.atTarget(), 100))
}
