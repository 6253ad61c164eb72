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

const (
	// remoteZone is a zone other than the fixture's, remoteAgent an agent and remotePeer a
	// balancer there.
	remoteZone  = flow.Tag(9)
	remoteAgent = flow.IPv4(0x0a020001)
	remotePeer  = flow.IPv4(0x0a020002)
)

func remoteAnnouncement(incarnation uint64, seq uint32, state fleet.State) fleet.Announcement {
	return fleet.Announcement{
		MessageID: fleet.MessageID{ProcessIncarnation: incarnation, Seq: seq}, Zone: remoteZone, Service: alpha, State: state, Slots: 4,
		Registration: fleet.RegistrationPresent, Period: zonecast.RelayPeriod,
	}
}

// receiveRelayed handles messages that the peer relays.
func (f *fixture) receiveRelayed(messages ...fleet.RelayedMessage) {
	fleet.AppendBatches(nil, messages, func(b []byte) { f.HandleNode(f.now, peer, b) })
}

// sentTo returns the kinds of the messages sent to a node.
func (f *fixture) sentTo(ip flow.IPv4) []envelope.Kind {
	var out []envelope.Kind
	for _, s := range f.port.Nodes {
		if s.To == ip {
			out = append(out, s.Kind)
		}
	}
	return out
}

// TestRelayedAnnouncementsRefreshOnlyKnownProcesses: a relayed announcement of a process that
// was not seen directly is not applied; the balancer introduces itself to the node instead,
// once per pause. An announcement of a former process is ignored.
func TestRelayedAnnouncementsRefreshOnlyKnownProcesses(t *testing.T) {
	for name, c := range map[string]struct {
		relayed     fleet.Announcement
		known       bool
		introduced  bool
		outstanding uint16
	}{
		"of the current process":  {remoteAnnouncement(7, 9, fleet.Ready), true, false, 3},
		"older than the last one": {remoteAnnouncement(7, 1, fleet.Ready), true, false, 0},
		"of an earlier process":   {remoteAnnouncement(6, 99, fleet.Ready), true, false, 0},
		"of an unknown process":   {remoteAnnouncement(8, 1, fleet.Ready), true, true, 0},
		"of an unknown node":      {remoteAnnouncement(7, 9, fleet.Ready), false, true, 0},
	} {
		f := newFixture()
		if c.known {
			for _, a := range []fleet.Announcement{remoteAnnouncement(6, 1, fleet.Ready), remoteAnnouncement(7, 5, fleet.Ready)} {
				f.HandleNode(f.now, remoteAgent, a.Append(nil))
			}
		}
		f.port.Nodes = nil
		seenAt := f.now
		f.now = f.now.Add(time.Second)
		c.relayed.Outstanding = 3
		relayed := fleet.RelayedMessage{From: remoteAgent, Message: c.relayed.Append(nil)}
		f.receiveRelayed(relayed, relayed)
		f.receiveRelayed(relayed)
		target, known := f.view.Target(remoteAgent)
		require.Equal(t, c.known, known, name)
		if known {
			require.Equal(t, uint64(7), target.ProcessIncarnation, name)
			require.Equal(t, c.outstanding, target.Outstanding, name)
			require.Equal(t, c.outstanding > 0, target.LastSeen.After(seenAt), name)
		}
		require.Equal(t, c.introduced, len(f.sentTo(remoteAgent)) == 1, name)
	}
}

// TestARelayedGoneStateIsConfirmedWithTheAgent: until the agent confirms it, the target gets no
// new flows, and its open flows do not count as ended.
func TestARelayedGoneStateIsConfirmedWithTheAgent(t *testing.T) {
	f := newFixture()
	a := remoteAnnouncement(7, 1, fleet.Ready)
	f.HandleNode(f.now, remoteAgent, a.Append(nil))
	f.port.Nodes = nil
	gone := remoteAnnouncement(7, 2, fleet.Gone)
	gone.Registration = fleet.RegistrationRemoved
	f.receiveRelayed(fleet.RelayedMessage{From: remoteAgent, Message: gone.Append(nil)})
	target, _ := f.view.Target(remoteAgent)
	require.Equal(t, fleet.Draining, target.State)
	require.Equal(t, fleet.RegistrationPresent, target.Registration)
	require.True(t, target.MayHoldFlows(f.now))
	require.Equal(t, []envelope.Kind{envelope.Beacon}, f.sentTo(remoteAgent))

	gone.Seq = 3
	f.HandleNode(f.now, remoteAgent, gone.Append(nil))
	require.Equal(t, fleet.Gone, target.State, "the agent confirms it")
}

// TestARelayForwardsMessagesWithinItsZone: announcements of agents to balancers, beacons of
// balancers to balancers and agents.
func TestARelayForwardsMessagesWithinItsZone(t *testing.T) {
	f := newFixture()
	f.receiveFirstBeacon(peer)
	a, b := remoteAnnouncement(7, 1, fleet.Ready), fleet.Beacon{MessageID: fleet.MessageID{ProcessIncarnation: 5, Seq: 1}, Zone: remoteZone}
	f.HandleNode(f.now, remoteAgent, fleet.AppendRelay(nil, a.Append(nil)))
	f.HandleNode(f.now, remotePeer, fleet.AppendRelay(nil, b.Append(nil)))
	for range int(zonecast.AgentFlushPeriod/tickPeriod) + 1 {
		f.Tick(f.now)
		f.now = f.now.Add(tickPeriod)
	}
	batches := map[flow.IPv4][][]flow.IPv4{}
	for _, s := range f.port.Nodes {
		if messages, err := fleet.DecodeBatch(s.Raw); err == nil {
			var from []flow.IPv4
			for _, m := range messages {
				from = append(from, m.From)
			}
			batches[s.To] = append(batches[s.To], from)
		}
	}
	require.Equal(t, map[flow.IPv4][][]flow.IPv4{
		peer: {{remoteAgent, remotePeer}}, targetA: {{remotePeer}}, targetB: {{remotePeer}},
	}, batches)
}

// TestAMessageThatAnotherRelayHasSentIsNotRepeated: a relay discards its buffered copy of a
// message that it receives from another relay.
func TestAMessageThatAnotherRelayHasSentIsNotRepeated(t *testing.T) {
	f := newFixture()
	f.receiveFirstBeacon(peer)
	b := fleet.Beacon{MessageID: fleet.MessageID{ProcessIncarnation: 5, Seq: 1}, Zone: remoteZone}
	f.HandleNode(f.now, remotePeer, fleet.AppendRelay(nil, b.Append(nil)))
	f.receiveRelayed(fleet.RelayedMessage{From: remotePeer, Message: b.Append(nil)})
	for range int(zonecast.AgentFlushPeriod/tickPeriod) + 1 {
		f.Tick(f.now)
		f.now = f.now.Add(tickPeriod)
	}
	for _, s := range f.port.Nodes {
		_, err := fleet.DecodeBatch(s.Raw)
		require.Error(t, err)
	}
}

// TestAnOverdueTargetOfAnotherZoneIsProbed: at least three times before it is overdue.
func TestAnOverdueTargetOfAnotherZoneIsProbed(t *testing.T) {
	f := newFixture()
	a := remoteAnnouncement(7, 1, fleet.Ready)
	f.HandleNode(f.now, remoteAgent, a.Append(nil))
	a.Seq = 2
	f.receiveRelayed(fleet.RelayedMessage{From: remoteAgent, Message: a.Append(nil)})
	f.port.Nodes = nil
	target, _ := f.view.Target(remoteAgent)
	for !target.Overdue(f.now) {
		f.sendRelayed(f.now)
		f.now = f.now.Add(tickPeriod)
	}
	require.GreaterOrEqual(t, len(f.sentTo(remoteAgent)), 3)
}

func TestMalformedBatchesChangeNothing(t *testing.T) {
	f := newFixture()
	for _, message := range [][]byte{nil, {1, 2, 3}, envelope.AppendPrefix(nil, envelope.Announce), envelope.AppendPrefix(nil, envelope.Beacon)} {
		f.receiveRelayed(fleet.RelayedMessage{From: remoteAgent, Message: message})
		f.HandleNode(f.now, remoteAgent, fleet.AppendRelay(nil, message))
	}
	require.False(t, f.view.HasTarget(remoteAgent))
	require.Empty(t, f.sentTo(remoteAgent))
}
