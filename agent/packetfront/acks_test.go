package packetfront

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
)

// announced counts the announcements to a balancer and returns the last state.
func (f *fixture) announced(t *testing.T, ip flow.IPv4) (count int, last fleet.State) {
	t.Helper()
	for _, s := range f.port.Nodes {
		if s.To != ip {
			continue
		}
		if a, err := fleet.DecodeAnnouncement(s.Raw); err == nil {
			count, last = count+1, a.State
		}
	}
	return count, last
}

// TestAChangeOfStateIsRepeatedUntilItIsAcknowledged by each balancer.
func TestAChangeOfStateIsRepeatedUntilItIsAcknowledged(t *testing.T) {
	f := newFixture()
	for _, ip := range []flow.IPv4{balancerIP, nextIP} {
		f.beacon(ip, 0, 0)
		f.beacon(ip, 0, f.Core.seq)
	}
	f.pass(ackPause)
	f.port.Nodes = nil
	f.pass(ackPause)
	require.Empty(t, f.port.Nodes, "all is acknowledged")

	f.beat(true)
	f.beacon(balancerIP, 0, f.Core.seq)
	for range 3 {
		f.pass(ackPause)
	}
	count, _ := f.announced(t, balancerIP)
	require.Equal(t, 1, count)
	count, last := f.announced(t, nextIP)
	require.Equal(t, 4, count, "none of them was acknowledged")
	require.Equal(t, fleet.Draining, last)
	f.beacon(nextIP, 0, f.Core.seq-1)
	f.pass(ackPause)
	count, _ = f.announced(t, nextIP)
	require.Equal(t, 4, count, "any announcement of that state will do")
}

// TestAnAcknowledgementOfAFormerProcessIsNone.
func TestAnAcknowledgementOfAFormerProcessIsNone(t *testing.T) {
	f := newFixture()
	f.beacon(balancerIP, 0, 0)
	f.port.Nodes = nil
	m := fleet.Beacon{MessageID: fleet.MessageID{Incarnation: 4, Seq: 99}, LastReceived: fleet.MessageID{Incarnation: 77, Seq: 1000}}
	f.HandleNode(f.now, balancerIP, m.Append(nil))
	f.pass(ackPause)
	count, _ := f.announced(t, balancerIP)
	require.Equal(t, 1, count)
}

// TestRepetitionsAreBounded: a balancer that is gone is not told for ever.
func TestRepetitionsAreBounded(t *testing.T) {
	f := newFixture()
	f.beacon(balancerIP, 0, 0)
	f.port.Nodes = nil
	for range 10 {
		f.pass(ackPause)
	}
	count, _ := f.announced(t, balancerIP)
	require.Equal(t, ackTries, count)
}
