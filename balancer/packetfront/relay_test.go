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
	// farZone is another zone than the fixture's, farAgent an agent there.
	farZone  = flow.Tag(9)
	farAgent = flow.IPv4(0x0a020001)
	farPeer  = flow.IPv4(0x0a020002)
)

func farAnnouncement(epoch uint64, seq uint32, state fleet.State) fleet.Announcement {
	return fleet.Announcement{
		MessageID: fleet.MessageID{Incarnation: epoch, Seq: seq}, Zone: farZone, Service: alpha, State: state, Slots: 4,
		Registration: fleet.RegistrationPresent, Period: zonecast.RelayPeriod,
	}
}

// relays lets the peer relay messages to the fixture's balancer.
func (f *fixture) relays(messages ...fleet.RelayedMessage) {
	fleet.AppendBatches(nil, messages, func(b []byte) { f.HandleNode(f.now, peer, b) })
}

// sentTo returns the kinds of what went to a node.
func (f *fixture) sentTo(ip flow.IPv4) []envelope.Kind {
	var out []envelope.Kind
	for _, s := range f.port.Nodes {
		if s.To == ip {
			out = append(out, s.Kind)
		}
	}
	return out
}

// TestWhatIsRelayedRefreshesWhoWasHeard and introduces nobody: a strange node is greeted
// instead, once in a pause, and a former life is passed over.
func TestWhatIsRelayedRefreshesWhoWasHeard(t *testing.T) {
	for name, c := range map[string]struct {
		relayed fleet.Announcement
		known   bool
		greeted bool
		busy    uint16
	}{
		"of the process heard":  {farAnnouncement(7, 9, fleet.Ready), true, false, 3},
		"older than known":      {farAnnouncement(7, 1, fleet.Ready), true, false, 0},
		"of an earlier process": {farAnnouncement(6, 99, fleet.Ready), true, false, 0},
		"of a strange process":  {farAnnouncement(8, 1, fleet.Ready), true, true, 0},
		"of a strange node":     {farAnnouncement(7, 9, fleet.Ready), false, true, 0},
	} {
		f := newFixture()
		if c.known {
			for _, a := range []fleet.Announcement{farAnnouncement(6, 1, fleet.Ready), farAnnouncement(7, 5, fleet.Ready)} {
				f.HandleNode(f.now, farAgent, a.Append(nil))
			}
		}
		f.port.Nodes = nil
		heard := f.now
		f.now = f.now.Add(time.Second)
		c.relayed.Outstanding = 3
		relayed := fleet.RelayedMessage{From: farAgent, Message: c.relayed.Append(nil)}
		f.relays(relayed, relayed)
		f.relays(relayed)
		h, known := f.view.Target(farAgent)
		require.Equal(t, c.known, known, name)
		if known {
			require.Equal(t, uint64(7), h.Incarnation, name)
			require.Equal(t, c.busy, h.Outstanding, name)
			require.Equal(t, c.busy > 0, h.LastSeen.After(heard), name)
		}
		require.Equal(t, c.greeted, len(f.sentTo(farAgent)) == 1, name)
	}
}

// TestAnEndThatIsRelayedIsAskedFor: the target gets no new flow meanwhile, and its open
// ones are not taken for over.
func TestAnEndThatIsRelayedIsAskedFor(t *testing.T) {
	f := newFixture()
	a := farAnnouncement(7, 1, fleet.Ready)
	f.HandleNode(f.now, farAgent, a.Append(nil))
	f.port.Nodes = nil
	gone := farAnnouncement(7, 2, fleet.Gone)
	gone.Registration = fleet.RegistrationRemoved
	f.relays(fleet.RelayedMessage{From: farAgent, Message: gone.Append(nil)})
	h, _ := f.view.Target(farAgent)
	require.Equal(t, fleet.Draining, h.State)
	require.Equal(t, fleet.RegistrationPresent, h.Registration)
	require.True(t, h.MayHoldFlows(f.now))
	require.Equal(t, []envelope.Kind{envelope.Beacon}, f.sentTo(farAgent))

	gone.Seq = 3
	f.HandleNode(f.now, farAgent, gone.Append(nil))
	require.Equal(t, fleet.Gone, h.State, "the agent says so")
}

// TestARelayHandsWordsOnInItsZone: those of agents to balancers, those of balancers to all.
func TestARelayHandsWordsOnInItsZone(t *testing.T) {
	f := newFixture()
	f.hears(peer)
	a, b := farAnnouncement(7, 1, fleet.Ready), fleet.Beacon{MessageID: fleet.MessageID{Incarnation: 5, Seq: 1}, Zone: farZone}
	f.HandleNode(f.now, farAgent, fleet.AppendRelay(nil, a.Append(nil)))
	f.HandleNode(f.now, farPeer, fleet.AppendRelay(nil, b.Append(nil)))
	for range int(zonecast.AgentFlushPeriod/tickPeriod) + 1 {
		f.Tick(f.now)
		f.now = f.now.Add(tickPeriod)
	}
	batches := map[flow.IPv4][][]flow.IPv4{}
	for _, s := range f.port.Nodes {
		if messages, err := fleet.DecodeBatch(s.Raw); err == nil {
			var from []flow.IPv4
			for _, w := range messages {
				from = append(from, w.From)
			}
			batches[s.To] = append(batches[s.To], from)
		}
	}
	require.Equal(t, map[flow.IPv4][][]flow.IPv4{
		peer: {{farAgent, farPeer}}, targetA: {{farPeer}}, targetB: {{farPeer}},
	}, batches)
}

// TestAMessageThatAnotherRelayHasSentIsNotRepeated.
func TestAMessageThatAnotherRelayHasSentIsNotRepeated(t *testing.T) {
	f := newFixture()
	f.hears(peer)
	b := fleet.Beacon{MessageID: fleet.MessageID{Incarnation: 5, Seq: 1}, Zone: farZone}
	f.HandleNode(f.now, farPeer, fleet.AppendRelay(nil, b.Append(nil)))
	f.relays(fleet.RelayedMessage{From: farPeer, Message: b.Append(nil)})
	for range int(zonecast.AgentFlushPeriod/tickPeriod) + 1 {
		f.Tick(f.now)
		f.now = f.now.Add(tickPeriod)
	}
	for _, s := range f.port.Nodes {
		_, err := fleet.DecodeBatch(s.Raw)
		require.Error(t, err)
	}
}

// TestASilentTargetOfAnotherZoneIsAsked before it counts as dead.
func TestASilentTargetOfAnotherZoneIsAsked(t *testing.T) {
	f := newFixture()
	a := farAnnouncement(7, 1, fleet.Ready)
	f.HandleNode(f.now, farAgent, a.Append(nil))
	a.Seq = 2
	f.relays(fleet.RelayedMessage{From: farAgent, Message: a.Append(nil)})
	f.port.Nodes = nil
	h, _ := f.view.Target(farAgent)
	for !h.Overdue(f.now) {
		f.sendRelayed(f.now)
		f.now = f.now.Add(tickPeriod)
	}
	require.GreaterOrEqual(t, len(f.sentTo(farAgent)), 3)
}

func TestMalformedBatchesChangeNothing(t *testing.T) {
	f := newFixture()
	for _, message := range [][]byte{nil, {1, 2, 3}, envelope.AppendPrefix(nil, envelope.Announce), envelope.AppendPrefix(nil, envelope.Beacon)} {
		f.relays(fleet.RelayedMessage{From: farAgent, Message: message})
		f.HandleNode(f.now, farAgent, fleet.AppendRelay(nil, message))
	}
	require.False(t, f.view.HasTarget(farAgent))
	require.Empty(t, f.sentTo(farAgent))
}
