package packetfront

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/fleet/zonecast"
	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/flow/envelope"
)

// otherZone is a zone other than the agent's, otherZoneBalancer the address of the first
// balancer there.
const (
	otherZone         = flow.Tag(9)
	otherZoneBalancer = flow.IPv4(0x0a090001)
)

// addOtherZoneBalancers makes a number of balancers of another zone known, all of which have
// acknowledged the last announcement.
func (f *fixture) addOtherZoneBalancers(count int) {
	for i := range count {
		f.receiveBeacon(otherZoneBalancer+flow.IPv4(i), otherZone, 0)
		f.receiveBeacon(otherZoneBalancer+flow.IPv4(i), otherZone, f.Core.seq)
	}
	f.port.Nodes = nil
}

// relayBeacon delivers a beacon of the first balancer of the other zone through a relay.
func (f *fixture) relayBeacon(incarnation uint64, seq uint32) {
	m := fleet.Beacon{MessageID: fleet.MessageID{ProcessIncarnation: incarnation, Seq: seq}, Zone: otherZone}
	fleet.AppendBatches(nil, []fleet.RelayedMessage{{From: otherZoneBalancer, Message: m.Append(nil)}}, func(b []byte) { f.HandleNode(f.now, balancerIP, b) })
}

// TestAnnouncementsToALargeZoneAreRelayed: those to a small one are sent directly. The relays
// of a round get identical announcements, so that duplicates can be detected.
func TestAnnouncementsToALargeZoneAreRelayed(t *testing.T) {
	for count, relayed := range map[int]bool{zonecast.RelayThreshold - 1: false, zonecast.RelayThreshold: true, 40: true} {
		f := newFixture()
		f.addOtherZoneBalancers(count)
		f.announceCrossZone(f.now)
		if !relayed {
			require.Len(t, f.port.OfKind(envelope.Announce), count)
			require.Empty(t, f.port.OfKind(envelope.Relay))
			continue
		}
		require.Empty(t, f.port.OfKind(envelope.Announce))
		sent := f.port.OfKind(envelope.Relay)
		require.Len(t, sent, zonecast.RelayCopies)
		require.Equal(t, sent[0].Raw, sent[1].Raw)
	}
}

// TestAChangeOfStateIsSentDirectlyToALargeZone: every balancer of a large zone gets it from the
// agent itself.
func TestAChangeOfStateIsSentDirectlyToALargeZone(t *testing.T) {
	f := newFixture()
	f.addOtherZoneBalancers(20)
	f.receiveHeartbeat(true)
	require.Len(t, f.port.OfKind(envelope.Announce), 20)
}

// TestFirstTargetIncarnationIsRelayedToALargeZone: the target is as ready as before, and after a
// restart of all processes all agents learn their target's incarnation at the same time.
func TestFirstTargetIncarnationIsRelayedToALargeZone(t *testing.T) {
	for name, c := range map[string]struct {
		count, direct int
		draining      bool
	}{
		"a small zone":          {4, 4, false},
		"a large zone":          {20, 0, false},
		"and the target drains": {20, 20, true},
	} {
		f := &fixture{port: &port{}, now: time.Unix(1_700_000_000, 0)}
		f.Core = New(f.now, Options{Self: 9, Service: service, Incarnation: 1, HeartbeatPeriod: time.Second, FlowTTL: time.Minute}, f.port, platformCodec, discardEvents{})
		f.TargetProbed(f.now, ProbeAccepted)
		f.registered()
		f.addOtherZoneBalancers(c.count)
		f.receiveHeartbeat(c.draining)
		require.Len(t, f.port.OfKind(envelope.Announce), c.direct, name)
		f.advance(0)
		if c.direct == 0 {
			require.Len(t, f.port.OfKind(envelope.Relay), zonecast.RelayCopies, name)
		}
	}
}

// TestRelayedBeaconsRefreshOnlyProcessesSeenDirectly: an unknown balancer process is sent an
// announcement that requests a reply.
func TestRelayedBeaconsRefreshOnlyProcessesSeenDirectly(t *testing.T) {
	for name, c := range map[string]struct {
		incarnation uint64
		known       bool
		probed      bool
		refreshed   bool
	}{
		"seen directly":   {4, true, false, true},
		"another process": {5, true, true, false},
		"never seen":      {4, false, true, false},
	} {
		f := newFixture()
		if c.known {
			f.addOtherZoneBalancers(1)
		}
		f.port.Nodes = nil
		f.now = f.now.Add(fleet.ExpireAfter - time.Second)
		f.relayBeacon(c.incarnation, 1000)
		f.relayBeacon(c.incarnation, 1001)
		sent := f.port.OfKind(envelope.Announce)
		require.Equal(t, c.probed, len(sent) == 1, name)
		if c.probed {
			a, err := fleet.DecodeAnnouncement(sent[0].Raw)
			require.NoError(t, err)
			require.True(t, a.WantReply, name)
		}
		f.advance(2 * time.Second)
		require.Equal(t, c.refreshed, f.view.HasBalancer(otherZoneBalancer), name)
	}
}

// TestOverdueBalancerOfAnotherZoneIsProbed: it is probed several times before it is forgotten.
func TestOverdueBalancerOfAnotherZoneIsProbed(t *testing.T) {
	f := newFixture()
	f.addOtherZoneBalancers(1)
	f.relayBeacon(4, 1000)
	probes := 0
	for range int(fleet.ExpireAfter/time.Second) - 1 {
		f.advance(time.Second)
		for _, s := range f.port.OfKind(envelope.Announce) {
			if a, err := fleet.DecodeAnnouncement(s.Raw); err == nil && s.To == otherZoneBalancer && a.WantReply {
				probes++
			}
		}
		f.port.Nodes = nil
	}
	require.Equal(t, 4, probes)
}

// TestBatchWithoutBeaconsIsRejected: other or malformed messages in a batch cause no message.
func TestBatchWithoutBeaconsIsRejected(t *testing.T) {
	f := newFixture()
	f.port.Nodes = nil
	a := fleet.Announcement{MessageID: fleet.MessageID{ProcessIncarnation: 3, Seq: 1}}
	for _, message := range [][]byte{nil, a.Append(nil), envelope.AppendPrefix(nil, envelope.Beacon)} {
		fleet.AppendBatches(nil, []fleet.RelayedMessage{{From: otherZoneBalancer, Message: message}}, func(b []byte) { f.HandleNode(f.now, balancerIP, b) })
	}
	require.Empty(t, f.port.Nodes)
}

// TestNewBalancerThatHasTheAnnouncementIsNotSentItAgain: the first beacon of a balancer may
// already acknowledge the last change of state.
func TestNewBalancerThatHasTheAnnouncementIsNotSentItAgain(t *testing.T) {
	for name, c := range map[string]struct {
		acknowledged uint32
		sent         int
	}{"has it": {1, 0}, "has not": {0, 1}} {
		f := newFixture()
		f.Contact(f.now, []flow.IPv4{balancerIP})
		last := f.Core.seq
		f.port.Nodes = nil
		f.receiveBeacon(balancerIP, 0, last*c.acknowledged)
		require.Len(t, f.port.OfKind(envelope.Announce), c.sent, name)
	}
}
