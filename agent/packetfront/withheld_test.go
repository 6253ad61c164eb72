package packetfront

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/flow/envelope"
)

// TestARepeatedRequestOfAClientThatHasLeftIsNotGivenToTheTarget: a client's end goes on to
// repeat what was not acknowledged for seconds after its caller has gone.
func TestARepeatedRequestOfAClientThatHasLeftIsNotGivenToTheTarget(t *testing.T) {
	for name, leave := range map[string]func(f *fixture){
		"it ended the flow while it waited":           func(f *fixture) { f.asks(100); f.deliver(envelope.Envelope{}, fin(100)) },
		"it ended the flow and its request came late": func(f *fixture) { f.deliver(envelope.Envelope{}, fin(100)) },
		"its deadline passed while it waited":         func(f *fixture) { f.asks(100); f.pass(2600 * time.Millisecond) },
	} {
		f := newFixture()
		f.fill()
		f.opens(100, load(2), 0)
		leave(f)
		for i := range f.targetLimit() {
			f.answers(i)
		}
		f.pass(pendingOpenTTL)
		require.Zero(t, f.Busy(), name)
		for range 3 {
			f.pass(1600 * time.Millisecond)
			f.asks(100)
		}
		require.NotContains(t, f.atTarget(), 100, name)
		require.Zero(t, f.Busy(), "%s: it is no load", name)
		require.Equal(t, 1, f.tally.withheld, "%s: it is counted once", name)
	}
}

// TestARequestThatComesAfterItsDeadlineIsNotGivenToTheTarget: the target took so long for the
// handshake.
func TestARequestThatComesAfterItsDeadlineIsNotGivenToTheTarget(t *testing.T) {
	f := newFixture()
	f.deliver(load(2), packet(keyOf(100), flow.SYN, 0, ""))
	f.pass(2600 * time.Millisecond)
	f.targetSends(100, flow.SYN|flow.ACK, 500, 0)
	f.asks(100)
	require.Empty(t, f.atTarget())
	require.Equal(t, 1, f.tally.withheld)
}

// TestAWithheldRequestThatComesAgainIsWithheld, however long after: its client did not open
// the flow ahead of it.
func TestAWithheldRequestThatComesAgainIsWithheld(t *testing.T) {
	f := newFixture()
	e := load(2)
	e.Deadline = 500 * time.Millisecond
	f.opens(100, e, 2)
	for range 3 {
		f.asks(100)
		f.pass(firstRequestWindow + 100*time.Millisecond)
	}
	require.NotContains(t, f.atTarget(), 100)
	require.Equal(t, 1, f.tally.withheld)
}

// TestTheRestOfARequestIsNotGivenToTheTargetOnceItsClientHasLeft: the target would run it
// when it is whole.
func TestTheRestOfARequestIsNotGivenToTheTargetOnceItsClientHasLeft(t *testing.T) {
	f := newFixture()
	f.opens(100, load(2), 0)
	f.deliver(envelope.Envelope{}, data(100, 1, "one"))
	f.deliver(envelope.Envelope{}, fin(100))
	f.deliver(envelope.Envelope{}, data(100, 4, "two"))
	require.Equal(t, []int{100}, f.atTarget())
	require.Equal(t, 1, f.tally.unwanted)
}

// TestALaterRequestOfAFlowIsWithheldAfterItsDeadline: the age of a request on a flow that
// stays open begins when the agent sees it first, not with each repetition.
func TestALaterRequestOfAFlowIsWithheldAfterItsDeadline(t *testing.T) {
	f := newFixture()
	f.opens(100, load(2), 0)
	f.asks(100)
	f.answers(100)
	f.fill()
	f.deliver(envelope.Envelope{}, data(100, 8, "again"))
	require.Equal(t, 1, f.queue.Len())
	f.pass(2600 * time.Millisecond)
	require.Zero(t, f.queue.Len())
	for i := range f.targetLimit() {
		f.answers(i)
	}
	f.deliver(envelope.Envelope{}, data(100, 8, "again"))
	require.Equal(t, 1, count(f.atTarget(), 100))
}

// count returns how often a client is among others.
func count(clients []int, client int) int {
	n := 0
	for _, c := range clients {
		if c == client {
			n++
		}
	}
	return n
}

// TestAnAgentThatWasFrozenGivesNoExpiredRequest: a target's answers come before its next
// tick.
func TestAnAgentThatWasFrozenGivesNoExpiredRequest(t *testing.T) {
	f := newFixture()
	f.fill()
	f.opens(100, load(2), 0)
	f.asks(100)
	f.now = f.now.Add(2600 * time.Millisecond)
	f.answers(0)
	require.NotContains(t, f.atTarget(), 100)
}

// TestAFlowThatWasOpenedAheadOfItsFirstRequestIsServed: the request is as old as its own
// first packet.
func TestAFlowThatWasOpenedAheadOfItsFirstRequestIsServed(t *testing.T) {
	f := newFixture()
	f.opens(100, load(2), 0)
	f.opens(101, load(2), 0)
	f.pass(2600 * time.Millisecond)
	f.asks(100)
	require.Equal(t, []int{100}, f.atTarget())
	f.answers(100)
	f.fill()
	f.asks(101)
	f.pass(2400 * time.Millisecond)
	require.Equal(t, 1, f.queue.Len(), "it waits to its own deadline")
	f.pass(200 * time.Millisecond)
	require.Zero(t, f.queue.Len())
}

// TestARequestThatEndsItsDirectionIsServed: such a client waits for its answer.
func TestARequestThatEndsItsDirectionIsServed(t *testing.T) {
	f := newFixture()
	f.opens(100, load(2), 0)
	for range 2 {
		f.deliver(envelope.Envelope{}, packet(keyOf(100), flow.ACK|flow.FIN, 500, "request"))
	}
	require.Equal(t, []int{100, 100}, f.atTarget(), "also when it is repeated")
	require.Equal(t, 1, f.Busy())
}

// TestAnAgentThatHasJustStartedWithholdsToo what it saw the end of.
func TestAnAgentThatHasJustStartedWithholdsToo(t *testing.T) {
	f := newFixture()
	f.target.sawStart = false
	f.deliver(envelope.Envelope{}, fin(100))
	f.targetSends(100, flow.ACK, 500, 0)
	f.asks(100)
	require.Empty(t, f.atTarget())
	require.Equal(t, 1, f.tally.withheld)
}
