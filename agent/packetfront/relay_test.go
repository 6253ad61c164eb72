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

// farZone is another zone than the agent's, firstFar the first balancer there.
const (
	farZone  = flow.Tag(9)
	firstFar = flow.IPv4(0x0a090001)
)

// meetsZone lets so many balancers of another zone say that they have the last
// announcement.
func (f *fixture) meetsZone(count int) {
	for i := range count {
		f.beacon(firstFar+flow.IPv4(i), farZone, 0)
		f.beacon(firstFar+flow.IPv4(i), farZone, f.Core.seq)
	}
	f.port.Nodes = nil
}

// relays lets a balancer relay a beacon of the first one of the other zone.
func (f *fixture) relays(epoch uint64, seq uint32) {
	m := fleet.Beacon{MessageID: fleet.MessageID{Incarnation: epoch, Seq: seq}, Zone: farZone}
	fleet.AppendBatches(nil, []fleet.RelayedMessage{{From: firstFar, Message: m.Append(nil)}}, func(b []byte) { f.HandleNode(f.now, balancerIP, b) })
}

// TestALargeZoneIsToldThroughRelays, a small one directly; both copies of a round are the
// same announcement.
func TestALargeZoneIsToldThroughRelays(t *testing.T) {
	for count, relayed := range map[int]bool{zonecast.RelayThreshold - 1: false, zonecast.RelayThreshold: true, 40: true} {
		f := newFixture()
		f.meetsZone(count)
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

// TestAChangeOfStateNeedsNoRelay: every balancer of a large zone is told itself.
func TestAChangeOfStateNeedsNoRelay(t *testing.T) {
	f := newFixture()
	f.meetsZone(20)
	f.beat(true)
	require.Len(t, f.port.OfKind(envelope.Announce), 20)
}

// TestATargetsNameIsToldThroughRelays: it is as ready as it was, and after a return of
// everybody all agents learn it at once.
func TestATargetsNameIsToldThroughRelays(t *testing.T) {
	for name, c := range map[string]struct {
		count, direct int
		draining      bool
	}{
		"a small zone":          {4, 4, false},
		"a large zone":          {20, 0, false},
		"and the target drains": {20, 20, true},
	} {
		f := &fixture{port: &port{}, now: time.Unix(1_700_000_000, 0)}
		f.Core = New(f.now, Options{Self: 9, Service: service, Incarnation: 1, HeartbeatPeriod: time.Second, FlowTTL: time.Minute}, f.port, platformCodec, quiet{})
		f.Probed(f.now, ProbeAccepted)
		f.registered()
		f.meetsZone(c.count)
		f.beat(c.draining)
		require.Len(t, f.port.OfKind(envelope.Announce), c.direct, name)
		f.pass(0)
		if c.direct == 0 {
			require.Len(t, f.port.OfKind(envelope.Relay), zonecast.RelayCopies, name)
		}
	}
}

// TestBalancersThatAreRelayed are refreshed where they were heard themselves; a strange
// one is told of the target and has to answer.
func TestBalancersThatAreRelayed(t *testing.T) {
	for name, c := range map[string]struct {
		epoch  uint64
		met    bool
		greets bool
		heard  bool
	}{
		"heard before":    {4, true, false, true},
		"another process": {5, true, true, false},
		"never heard":     {4, false, true, false},
	} {
		f := newFixture()
		if c.met {
			f.meetsZone(1)
		}
		f.port.Nodes = nil
		f.now = f.now.Add(fleet.ExpireAfter - time.Second)
		f.relays(c.epoch, 1000)
		f.relays(c.epoch, 1001)
		sent := f.port.OfKind(envelope.Announce)
		require.Equal(t, c.greets, len(sent) == 1, name)
		if c.greets {
			a, err := fleet.DecodeAnnouncement(sent[0].Raw)
			require.NoError(t, err)
			require.True(t, a.WantReply, name)
		}
		f.pass(2 * time.Second)
		require.Equal(t, c.heard, f.view.HasBalancer(firstFar), name)
	}
}

// TestASilentBalancerOfAnotherZoneIsAsked before it is forgotten.
func TestASilentBalancerOfAnotherZoneIsAsked(t *testing.T) {
	f := newFixture()
	f.meetsZone(1)
	f.relays(4, 1000)
	asked := 0
	for range int(fleet.ExpireAfter/time.Second) - 1 {
		f.pass(time.Second)
		for _, s := range f.port.OfKind(envelope.Announce) {
			if a, err := fleet.DecodeAnnouncement(s.Raw); err == nil && s.To == firstFar && a.WantReply {
				asked++
			}
		}
		f.port.Nodes = nil
	}
	require.Equal(t, 4, asked)
}

// TestWhatIsNoBatchOfBeaconsIsRefused.
func TestWhatIsNoBatchOfBeaconsIsRefused(t *testing.T) {
	f := newFixture()
	f.port.Nodes = nil
	a := fleet.Announcement{MessageID: fleet.MessageID{Incarnation: 3, Seq: 1}}
	for _, message := range [][]byte{nil, a.Append(nil), envelope.AppendPrefix(nil, envelope.Beacon)} {
		fleet.AppendBatches(nil, []fleet.RelayedMessage{{From: firstFar, Message: message}}, func(b []byte) { f.HandleNode(f.now, balancerIP, b) })
	}
	require.Empty(t, f.port.Nodes)
}

// TestABalancerThatHasTheAnnouncementIsNotToldAgain when it is heard for the first time.
func TestABalancerThatHasTheAnnouncementIsNotToldAgain(t *testing.T) {
	for name, c := range map[string]struct {
		heard uint32
		told  int
	}{"has it": {1, 0}, "has not": {0, 1}} {
		f := newFixture()
		f.Contact(f.now, []flow.IPv4{balancerIP})
		last := f.Core.seq
		f.port.Nodes = nil
		f.beacon(balancerIP, 0, last*c.heard)
		require.Len(t, f.port.OfKind(envelope.Announce), c.told, name)
	}
}
