package packetfront

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poppywall/poppywall/balancer/search"
	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/flow/envelope"
	"github.com/poppywall/poppywall/platform"
	"github.com/poppywall/poppywall/platform/platformtest"
)

// evacuations returns evacuations with the given revision and zones.
func evacuations(revision int64, zones ...string) flow.Evacuations {
	e, _ := flow.NewEvacuations(revision, zones)
	return e
}

// newZonedFixture returns a settled balancer of zone "a" with targetA there and targetB in zone "b".
func newZonedFixture() *fixture {
	f := fixtureIn(flow.TagOf("a"))
	f.announceIn(targetA, "a", false)
	f.announceIn(targetB, "b", false)
	f.port.Nodes = nil
	return f
}

// announceIn delivers the announcement of a ready target in a zone.
func (f *fixture) announceIn(ip flow.IPv4, zone string, ejected bool) {
	f.seq++
	a := fleet.Announcement{
		MessageID: fleet.MessageID{ProcessIncarnation: uint64(ip), Seq: f.seq}, Service: alpha, State: fleet.Ready, Slots: 4,
		Zone: flow.TagOf(zone), Ejected: ejected,
	}
	f.HandleNode(f.now, ip, a.Append(nil))
}

// openFlowsAvoiding sends the SYNs of 50 flows and returns how many went to each target. Targets of
// evacuated zones must not be among the further candidates either.
func (f *fixture) openFlowsAvoiding(t *testing.T, evacuated ...flow.IPv4) map[flow.IPv4]int {
	t.Helper()
	out := map[flow.IPv4]int{}
	for _, ip := range f.View().Targets() {
		target, _ := f.View().Target(ip)
		target.FlowsSent = 0
	}
	for port := range uint16(50) {
		k := key
		k.ClientPort += port
		f.port.Nodes = nil
		f.receiveFromClient(platformtest.FromClient(k, flow.SYN, 0, 0, nil))
		for _, sent := range f.port.Delivered() {
			out[sent.To]++
			for _, c := range sent.Env.Candidates[:sent.Env.Count] {
				require.NotContains(t, evacuated, c)
			}
		}
	}
	return out
}

// TestAnEvacuatedZoneGetsNoNewFlows: from the moment the balancer receives the evacuation until it
// receives its end, from any source.
func TestAnEvacuatedZoneGetsNoNewFlows(t *testing.T) {
	sources := map[string]func(*fixture, flow.Evacuations){
		"the store":        func(f *fixture, e flow.Evacuations) { f.SetEvacuations(f.now, e) },
		"another balancer": func(f *fixture, e flow.Evacuations) { f.receiveEvacuations(peer, e) },
		"an agent":         func(f *fixture, e flow.Evacuations) { f.HandleNode(f.now, targetA, fleet.AppendEvacuations(nil, e)) },
	}
	for name, receive := range sources {
		f := newZonedFixture()
		require.Len(t, f.openFlowsAvoiding(t), 2, name)
		receive(f, evacuations(9, "a", "unknown"))
		require.Equal(t, map[flow.IPv4]int{targetB: 50}, f.openFlowsAvoiding(t, targetA), name)
		receive(f, evacuations(10, "b"))
		require.Equal(t, map[flow.IPv4]int{targetA: 50}, f.openFlowsAvoiding(t, targetB), name)
		receive(f, evacuations(9, "a"))
		require.Equal(t, map[flow.IPv4]int{targetA: 50}, f.openFlowsAvoiding(t, targetB), "%s: an older revision is ignored", name)
		receive(f, evacuations(11))
		require.Len(t, f.openFlowsAvoiding(t), 2, "%s: evacuation ended", name)
		receive(f, evacuations(12, "a"))
		require.Equal(t, map[flow.IPv4]int{targetB: 50}, f.openFlowsAvoiding(t, targetA), "%s: evacuated again", name)
	}
}

// receiveEvacuations delivers a beacon of another balancer with evacuations.
func (f *fixture) receiveEvacuations(ip flow.IPv4, e flow.Evacuations) {
	f.seq++
	m := fleet.Beacon{MessageID: fleet.MessageID{ProcessIncarnation: uint64(ip), Seq: f.seq}, Evacuations: e, Period: time.Hour}
	f.HandleNode(f.now, ip, m.Append(nil))
}

// TestAServiceWhoseZonesAreAllEvacuatedIsRefusedAtOnce: its SYNs are not buffered until an
// evacuation ends, not even by a balancer that has just started, once its view is complete.
func TestAServiceWhoseZonesAreAllEvacuatedIsRefusedAtOnce(t *testing.T) {
	for name, age := range map[string]time.Duration{"settled": search.SettleTime + time.Second, "started a moment ago": search.FreshTime + time.Millisecond} {
		f := newZonedFixture()
		f.restartAt(f.now.Add(-age))
		f.receiveEvacuations(peer, evacuations(9, "b", "a"))
		f.receiveFromClient(packet(true, 0))
		require.Len(t, f.port.Resets, 1, name)
		require.Zero(t, f.buffered, name)
		require.Empty(t, f.port.Delivered(), name)
	}
}

// TestSYNsAreBufferedWhileOnlyEvacuatedTargetsAreKnown: the agents of other zones announce
// themselves to a balancer shortly after its start.
func TestSYNsAreBufferedWhileOnlyEvacuatedTargetsAreKnown(t *testing.T) {
	f := newZonedFixture()
	f.restartAt(f.now)
	f.receiveEvacuations(peer, evacuations(9, "a", "b"))
	f.receiveFromClient(packet(true, 0))
	require.Empty(t, f.port.Resets)
	f.announceIn(targetC, "c", false)
	f.now = f.now.Add(search.BufferRetryInterval)
	f.Tick(f.now)
	sent := f.port.Delivered()
	require.Equal(t, targetC, sent[len(sent)-1].To)
}

// TestOpenFlowsOfAnEvacuatedZoneContinue: their packets are neither sent to another target nor
// answered with a reset, and searches for unknown flows probe the zone's targets.
func TestOpenFlowsOfAnEvacuatedZoneContinue(t *testing.T) {
	f := newZonedFixture()
	f.table.Put(f.now, key, targetA)
	f.SetEvacuations(f.now, evacuations(9, "a"))
	f.port.Nodes = nil
	f.receiveFromClient(packet(false, 7))
	require.Equal(t, targetA, f.port.Delivered()[0].To)
	f.table.Drop(key, targetA)
	f.port.Nodes = nil
	f.receiveFromClient(packet(false, 7))
	probed := []flow.IPv4{}
	for _, sent := range f.port.Delivered() {
		probed = append(probed, sent.To)
		probed = append(probed, sent.Env.Candidates[:sent.Env.Count]...)
	}
	require.Contains(t, probed, targetA)
	require.Empty(t, f.port.Resets)
}

// TestASYNRetransmissionLeavesAnEvacuatedZone: the first SYN was sent there before the balancer
// received the evacuation.
func TestASYNRetransmissionLeavesAnEvacuatedZone(t *testing.T) {
	f := newZonedFixture()
	f.receiveFromClient(packet(true, 0))
	first := f.port.Delivered()[0].To
	zone, remaining := "a", targetB
	if first == targetB {
		zone, remaining = "b", targetA
	}
	f.SetEvacuations(f.now, evacuations(9, zone))
	f.port.Nodes = nil
	f.receiveFromClient(packet(true, 1))
	require.Equal(t, remaining, f.port.Delivered()[0].To)
}

// TestTheEjectedShareExcludesEvacuatedZones: one of the five targets is ejected and gets no new flows.
// After an evacuation it is the only target left, and the ejection is ignored.
func TestTheEjectedShareExcludesEvacuatedZones(t *testing.T) {
	f := newZonedFixture()
	f.announceIn(targetB, "b", true)
	for i := range flow.IPv4(3) {
		f.announceIn(targetC+i, "a", false)
	}
	require.NotContains(t, f.openFlowsAvoiding(t), targetB)
	f.SetEvacuations(f.now, evacuations(9, "a"))
	require.Equal(t, map[flow.IPv4]int{targetB: 50}, f.openFlowsAvoiding(t), "the only target that accepts flows")
}

// TestEvacuationsAreAnnouncedAtOnce: every balancer that applies a change sends it to the other
// balancers; those that have it from the store also send it to the agents of the zones that have
// changed. So a change costs a message per pair of balancers and a few per agent. A revision that
// changes no zone is not sent on.
func TestEvacuationsAreAnnouncedAtOnce(t *testing.T) {
	f := newZonedFixture()
	f.receiveFirstBeacon(peer)
	notified := func(do func()) (out []flow.IPv4) {
		f.port.Nodes = nil
		do()
		for _, sent := range f.port.Nodes {
			if m, err := fleet.DecodeBeacon(sent.Raw); err == nil && m.Evacuations.Revision > 0 {
				out = append(out, sent.To)
			}
		}
		return out
	}
	require.ElementsMatch(t, []flow.IPv4{peer, targetA}, notified(func() { f.SetEvacuations(f.now, evacuations(8, "a")) }))
	require.ElementsMatch(t, []flow.IPv4{peer, targetB}, notified(func() { f.SetEvacuations(f.now, evacuations(9, "a", "b")) }))
	require.Empty(t, notified(func() { f.SetEvacuations(f.now, evacuations(10, "a", "b")) }))
	require.EqualValues(t, 10, f.Evacuations().Revision)
	require.Equal(t, []flow.IPv4{peer}, notified(func() { f.HandleNode(f.now, targetB, fleet.AppendEvacuations(nil, evacuations(11))) }))
}

// TestInvalidEvacuationMessagesChangeNothing: truncated messages and outdated beacons.
func TestInvalidEvacuationMessagesChangeNothing(t *testing.T) {
	f := newZonedFixture()
	f.SetEvacuations(f.now, evacuations(9, "a"))
	good := fleet.AppendEvacuations(nil, evacuations(12, "b"))
	f.HandleNode(f.now, targetA, good[:len(good)-1])
	f.HandleNode(f.now, targetA, envelope.AppendPrefix(nil, envelope.Evacuated))
	require.Equal(t, evacuations(9, "a"), f.Evacuations())
	// An earlier message of the other balancer arrives late.
	f.receiveEvacuations(peer, evacuations(10))
	outdated := fleet.Beacon{MessageID: fleet.MessageID{ProcessIncarnation: uint64(peer), Seq: f.seq - 1}, Evacuations: evacuations(11, "a")}
	f.HandleNode(f.now, peer, outdated.Append(nil))
	require.Equal(t, evacuations(10), f.Evacuations())
	require.Equal(t, "op/evacuate/a", platform.EvacuateKey("a"))
}
