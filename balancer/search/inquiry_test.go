package search

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/flow/envelope"
	"github.com/poppywall/poppywall/platform/platformtest"
)

// packetOf writes a packet of one of many flows.
func packetOf(n int) []byte {
	k := key
	k.ClientPort += uint16(n)
	return platformtest.FromClient(k, flow.ACK, 0, 9, nil)
}

// returnAll lets all messages of a kind since a moment return, in which nobody holds
// anything, and returns how many there were.
func (f *fixture) returnAll(kind envelope.Kind, from int) int {
	sent := f.port.OfKind(kind)[from:]
	for _, s := range sent {
		if kind == envelope.Inquire {
			f.comeBack(s, 0)
			continue
		}
		e := s.Env
		e.Kind, e.Count = envelope.Returned, 0
		e.Flags |= envelope.Searched
		packet := s.Raw[len(s.Env.Append(nil)):]
		f.HandleNode(f.now, s.To, append(e.Append(nil), packet...))
	}
	return len(sent)
}

// TestFlowsThatAreOverAreAskedAboutTogether: after the return of everybody, each long flow
// is over and its client sends its next packet. What that costs goes with the targets, not
// with flows times targets.
func TestFlowsThatAreOverAreAskedAboutTogether(t *testing.T) {
	const targets, flows = 678, 60
	f := manyTargets(targets)
	for n := range flows {
		f.client(packetOf(n))
	}
	require.Equal(t, flows, f.returnAll(envelope.Deliver, 0), "the likeliest targets of each flow")
	rounds, sent := 0, 0
	for len(f.port.Resets) < flows {
		messages := f.returnAll(envelope.Inquire, sent)
		require.NotZero(t, messages)
		sent += messages
		rounds++
	}
	require.LessOrEqual(t, rounds, 3, "the first flow, those that came meanwhile, in two datagrams' worth")
	require.LessOrEqual(t, sent, 3*(targets/searchRound+1))
	require.Len(t, f.port.Delivered(), flows)
}

// TestOneFlowIsAskedAboutAtOnce: nothing is waited for while no inquiry is under way.
func TestOneFlowIsAskedAboutAtOnce(t *testing.T) {
	f := manyTargets(200)
	f.client(packet(false, 9))
	f.comeBack(f.visiting()[0], 0)
	require.Len(t, inquiryOf(f.visiting()[0]).Flows, 1)
	require.Equal(t, envelope.AskedFlow{Key: key, Ack: 9}, inquiryOf(f.visiting()[0]).Flows[0])
}

// TestAFlowThatIsFoundIsNotConcludedOn: its target tells the balancer, and the inquiry's
// messages come back after that.
func TestAFlowThatIsFoundIsNotConcludedOn(t *testing.T) {
	f := manyTargets(200)
	f.client(packet(false, 9))
	f.comeBack(f.visiting()[0], 0)
	asked := f.visiting()
	holder := targetsOf(asked[2])[4]
	e := envelope.Envelope{Kind: envelope.Owner, Balancer: self}
	f.HandleNode(f.now, holder, envelope.AppendKey(e.Append(nil), key))
	for _, s := range asked {
		f.comeBack(s, 0)
	}
	require.Empty(t, f.port.Resets)
	target, known := f.Known(f.now, key)
	require.True(t, known)
	require.Equal(t, holder, target)
	require.Equal(t, holder, f.port.Delivered()[1].To, "the packet that waited")
}

// TestAnInquiryAboutAnEarlierFlowDeniesNoLaterOne between the same ports.
func TestAnInquiryAboutAnEarlierFlowDeniesNoLaterOne(t *testing.T) {
	f := manyTargets(200)
	f.client(packet(false, 9))
	f.comeBack(f.visiting()[0], 0)
	asked := f.visiting()
	f.Forget(key)
	f.client(packet(false, 77))
	for _, s := range asked {
		f.comeBack(s, 0)
	}
	require.Empty(t, f.port.Resets)
}

// TestAnAnswerToAnEarlierInquiryIsNone.
func TestAnAnswerToAnEarlierInquiryIsNone(t *testing.T) {
	f := manyTargets(200)
	f.client(packet(false, 9))
	f.comeBack(f.visiting()[0], 0)
	late := f.visiting()
	f.pass(keptPause)
	for _, s := range late {
		f.comeBack(s, 0)
	}
	require.Empty(t, f.port.Resets)
}

// TestAgentsThatKnowNoInquiriesGetThePacket: a release in which old and new versions run
// side by side.
func TestAgentsThatKnowNoInquiriesGetThePacket(t *testing.T) {
	f := manyTargets(200)
	f.client(packet(false, 9))
	f.comeBack(f.visiting()[0], 0)
	once := len(f.port.OfKind(envelope.Inquire))
	f.pass(maxInquiries*keptPause + 2*tickPeriod)
	require.Len(t, f.port.OfKind(envelope.Inquire), maxInquiries*once)
	visits := f.visiting()
	require.NotEmpty(t, visits)
	var asked []flow.IPv4
	for _, s := range visits {
		require.Equal(t, envelope.Deliver, s.Kind)
		asked = append(asked, targetsOf(s)...)
		f.comeBack(s, 0)
	}
	require.Len(t, asked, 200-2*first)
	require.Len(t, f.port.Resets, 1)
}

// TestALostInquiryHoldsUpNoLaterFlow: one that comes while it is under way is asked about
// once it has been given up.
func TestALostInquiryHoldsUpNoLaterFlow(t *testing.T) {
	f := manyTargets(200)
	f.client(packetOf(0))
	f.client(packetOf(1))
	f.returnAll(envelope.Deliver, 0)
	lost := len(f.port.OfKind(envelope.Inquire))
	f.pass(keptPause + tickPeriod)
	again := f.port.OfKind(envelope.Inquire)[lost:]
	require.NotEmpty(t, again)
	keys := map[flow.Key]bool{}
	for _, s := range again {
		for _, asked := range inquiryOf(s).Flows {
			keys[asked.Key] = true
		}
	}
	require.Len(t, keys, 2)
	f.returnAll(envelope.Inquire, lost)
	f.pass(time.Millisecond)
	require.Len(t, f.port.Resets, 2)
}
