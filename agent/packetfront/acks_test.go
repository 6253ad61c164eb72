package packetfront

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
)

// announcementsTo returns the number of announcements to a balancer and the last state.
func (f *fixture) announcementsTo(t *testing.T, ip flow.IPv4) (count int, last fleet.State) {
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

// TestAChangeOfStateIsRepeatedUntilItIsAcknowledged: an announcement may be lost, so that a
// change is repeated to each balancer that has not acknowledged it.
func TestAChangeOfStateIsRepeatedUntilItIsAcknowledged(t *testing.T) {
	f := newFixture()
	for _, ip := range []flow.IPv4{balancerIP, nextIP} {
		f.receiveBeacon(ip, 0, 0)
		f.receiveBeacon(ip, 0, f.Core.seq)
	}
	f.advance(ackTimeout)
	f.port.Nodes = nil
	f.advance(ackTimeout)
	require.Empty(t, f.port.Nodes, "every balancer has acknowledged the last change")

	f.receiveHeartbeat(true)
	f.receiveBeacon(balancerIP, 0, f.Core.seq)
	for range 3 {
		f.advance(ackTimeout)
	}
	count, _ := f.announcementsTo(t, balancerIP)
	require.Equal(t, 1, count)
	count, last := f.announcementsTo(t, nextIP)
	require.Equal(t, 4, count, "no announcement was acknowledged")
	require.Equal(t, fleet.Draining, last)
	f.receiveBeacon(nextIP, 0, f.Core.seq-1)
	f.advance(ackTimeout)
	count, _ = f.announcementsTo(t, nextIP)
	require.Equal(t, 4, count, "any announcement of that state acknowledges the change")
}

// TestAcknowledgementOfAFormerIncarnationIsIgnored: sequence numbers of the agent's former
// process do not acknowledge announcements of the current one.
func TestAcknowledgementOfAFormerIncarnationIsIgnored(t *testing.T) {
	f := newFixture()
	f.receiveBeacon(balancerIP, 0, 0)
	f.port.Nodes = nil
	m := fleet.Beacon{MessageID: fleet.MessageID{ProcessIncarnation: 4, Seq: 99}, LastReceived: fleet.MessageID{ProcessIncarnation: 77, Seq: 1000}}
	f.HandleNode(f.now, balancerIP, m.Append(nil))
	f.advance(ackTimeout)
	count, _ := f.announcementsTo(t, balancerIP)
	require.Equal(t, 1, count)
}

// TestAnnouncementRetriesAreBounded: a balancer that does not answer gets no endless retries.
func TestAnnouncementRetriesAreBounded(t *testing.T) {
	f := newFixture()
	f.receiveBeacon(balancerIP, 0, 0)
	f.port.Nodes = nil
	for range 10 {
		f.advance(ackTimeout)
	}
	count, _ := f.announcementsTo(t, balancerIP)
	require.Equal(t, maxAckRetries, count)
}
