package packetfront

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/flow/envelope"
)

// TestALaterFlowBetweenTheSamePortsHasItsOwnAge, also when the one before never opened: it
// would be given up by the other one's deadline.
func TestALaterFlowBetweenTheSamePortsHasItsOwnAge(t *testing.T) {
	for name, before := range map[string]func(f *fixture){
		"the target did not answer": func(f *fixture) { f.deliver(load(2), packet(keyOf(100), flow.SYN, 0, "")) },
		"another target took it":    func(f *fixture) { f.opens(100, load(2), 0) },
	} {
		// Its request comes at once, within the time of a prompt one, and after it.
		for _, pause := range []time.Duration{0, 600 * time.Millisecond, time.Second} {
			f := newFixture()
			before(f)
			f.pass(2 * time.Second)
			f.deliver(load(2), packet(keyOf(100), flow.SYN, 0, ""))
			f.targetSends(100, flow.SYN|flow.ACK, 1_000_000, 0)
			f.pass(pause)
			f.deliver(envelope.Envelope{}, packet(keyOf(100), flow.ACK, 1_000_000, "request"))
			require.Contains(t, f.atTarget(), 100, "%s, after %s", name, pause)
		}
	}
}

// TestALaterFlowBetweenTheSamePortsStartsAnew, whatever the one before had with the
// target: its requests are timed, and wait, by themselves.
func TestALaterFlowBetweenTheSamePortsStartsAnew(t *testing.T) {
	again := func(f *fixture) {
		f.deliver(load(2), packet(keyOf(100), flow.SYN, 0, ""))
		f.targetSends(100, flow.SYN|flow.ACK, 1_000_000, 0)
	}
	request := packet(keyOf(100), flow.ACK, 1_000_000, "request")
	t.Run("the target had a request", func(t *testing.T) {
		f := newFixture()
		f.opens(100, load(2), 0)
		f.asks(100)
		f.pass(2 * time.Second)
		again(f)
		f.deliver(envelope.Envelope{}, request)
		require.Equal(t, 1, f.flows.running)
		f.now = f.now.Add(20 * time.Millisecond)
		f.targetSends(100, flow.ACK, 1_000_001, 10)
		require.Equal(t, 20*time.Millisecond, f.estimate.ResponseTime())
		require.Zero(t, f.Busy())
	})
	t.Run("a request waited", func(t *testing.T) {
		f := newFixture()
		f.fill()
		f.opens(100, load(2), 0)
		f.asks(100)
		f.pass(2 * time.Second)
		again(f)
		f.deliver(envelope.Envelope{}, request)
		f.pass(time.Second)
		for i := range f.targetLimit() {
			f.answers(i)
		}
		require.Equal(t, 1, count(f.atTarget(), 100))
		require.Zero(t, f.tally.gaveUp)
	})
}

// TestAFlowThatBeginsAnewBetweenTheSamePortsIsServed: what was known of the one before
// does not count.
func TestAFlowThatBeginsAnewBetweenTheSamePortsIsServed(t *testing.T) {
	for name, end := range map[string]func(f *fixture){
		"its client had left":     func(f *fixture) { f.deliver(envelope.Envelope{}, fin(100)) },
		"its deadline had passed": func(f *fixture) { f.asks(100); f.pass(2600 * time.Millisecond) },
	} {
		f := newFixture()
		f.fill()
		f.opens(100, load(2), 2)
		end(f)
		for i := range f.targetLimit() {
			f.answers(i)
		}
		f.pass(2600 * time.Millisecond)
		f.deliver(load(2), packet(keyOf(100), flow.SYN, 0, ""))
		f.targetSends(100, flow.SYN|flow.ACK, 1_000_000, 0)
		f.deliver(envelope.Envelope{}, packet(keyOf(100), flow.ACK, 1_000_000, "request"))
		require.Contains(t, f.atTarget(), 100, name)
	}
}
