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

// evacuations are those of a revision.
func evacuations(revision int64, zones ...string) flow.Evacuations {
	e, _ := flow.NewEvacuations(revision, zones)
	return e
}

// zoned is a settled balancer of zone "a" with targetA there and targetB in zone "b".
func zoned() *fixture {
	f := fixtureIn(flow.TagOf("a"))
	f.announceIn(targetA, "a", false)
	f.announceIn(targetB, "b", false)
	f.port.Nodes = nil
	return f
}

// announceIn announces a ready target of a zone.
func (f *fixture) announceIn(ip flow.IPv4, zone string, ejected bool) {
	f.seq++
	a := fleet.Announcement{
		MessageID: fleet.MessageID{Incarnation: uint64(ip), Seq: f.seq}, Service: alpha, State: fleet.Ready, Slots: 4,
		Zone: flow.TagOf(zone), Ejected: ejected,
	}
	f.HandleNode(f.now, ip, a.Append(nil))
}

// opens lets clients open flows and returns how many went to each target at first;
// no emptied target may be named behind it either.
func (f *fixture) opens(t *testing.T, emptied ...flow.IPv4) map[flow.IPv4]int {
	t.Helper()
	out := map[flow.IPv4]int{}
	for _, ip := range f.View().Targets() {
		h, _ := f.View().Target(ip)
		h.FlowsSent = 0
	}
	for port := range uint16(50) {
		k := key
		k.ClientPort += port
		f.port.Nodes = nil
		f.client(platformtest.FromClient(k, flow.SYN, 0, 0, nil))
		for _, sent := range f.port.Delivered() {
			out[sent.To]++
			for _, c := range sent.Env.Candidates[:sent.Env.Count] {
				require.NotContains(t, emptied, c.Target)
			}
		}
	}
	return out
}

// TestAnEmptiedZoneGetsNoNewFlows, from the moment when the balancer hears of it until
// the zone is taken back, whoever tells.
func TestAnEmptiedZoneGetsNoNewFlows(t *testing.T) {
	tell := map[string]func(*fixture, flow.Evacuations){
		"the store":        func(f *fixture, e flow.Evacuations) { f.SetEvacuations(f.now, e) },
		"another balancer": func(f *fixture, e flow.Evacuations) { f.beaconOf(peer, e) },
		"an agent":         func(f *fixture, e flow.Evacuations) { f.HandleNode(f.now, targetA, fleet.AppendEvacuations(nil, e)) },
	}
	for name, say := range tell {
		f := zoned()
		require.Len(t, f.opens(t), 2, name)
		say(f, evacuations(9, "a", "unknown"))
		require.Equal(t, map[flow.IPv4]int{targetB: 50}, f.opens(t, targetA), name)
		say(f, evacuations(10, "b"))
		require.Equal(t, map[flow.IPv4]int{targetA: 50}, f.opens(t, targetB), name)
		say(f, evacuations(9, "a"))
		require.Equal(t, map[flow.IPv4]int{targetA: 50}, f.opens(t, targetB), "%s: one that is behind", name)
		say(f, evacuations(11))
		require.Len(t, f.opens(t), 2, "%s: taken back", name)
		say(f, evacuations(12, "a"))
		require.Equal(t, map[flow.IPv4]int{targetB: 50}, f.opens(t, targetA), "%s: again", name)
	}
}

// beaconOf lets another balancer say which zones are emptied.
func (f *fixture) beaconOf(ip flow.IPv4, e flow.Evacuations) {
	f.seq++
	m := fleet.Beacon{MessageID: fleet.MessageID{Incarnation: uint64(ip), Seq: f.seq}, Evacuations: e, Period: time.Hour}
	f.HandleNode(f.now, ip, m.Append(nil))
}

// TestAServiceWhoseZonesAreAllEmptiedIsRefusedAtOnce: nothing waits for the zones to
// be taken back, at a balancer that has just started neither once its view is whole.
func TestAServiceWhoseZonesAreAllEmptiedIsRefusedAtOnce(t *testing.T) {
	for name, age := range map[string]time.Duration{"settled": search.SettleTime + time.Second, "started a moment ago": search.FreshTime + time.Millisecond} {
		f := zoned()
		f.started(f.now.Add(-age))
		f.beaconOf(peer, evacuations(9, "b", "a"))
		f.client(packet(true, 0))
		require.Len(t, f.port.Resets, 1, name)
		require.Zero(t, f.kept, name)
		require.Empty(t, f.port.Delivered(), name)
	}
}

// TestABalancerThatKnowsOnlyEmptiedTargetsYetWaitsForTheOthers: the agents of the
// other zones greet it within its first moments.
func TestABalancerThatKnowsOnlyEmptiedTargetsYetWaitsForTheOthers(t *testing.T) {
	f := zoned()
	f.started(f.now)
	f.beaconOf(peer, evacuations(9, "a", "b"))
	f.client(packet(true, 0))
	require.Empty(t, f.port.Resets)
	f.announceIn(other, "c", false)
	f.now = f.now.Add(search.BufferRetryInterval)
	f.Tick(f.now)
	sent := f.port.Delivered()
	require.Equal(t, other, sent[len(sent)-1].To)
}

// TestOpenFlowsOfAnEmptiedZoneGoOn: their packets are neither moved nor reset, and a
// balancer that does not know them looks for them there too.
func TestOpenFlowsOfAnEmptiedZoneGoOn(t *testing.T) {
	f := zoned()
	f.table.Put(f.now, key, targetA)
	f.SetEvacuations(f.now, evacuations(9, "a"))
	f.port.Nodes = nil
	f.client(packet(false, 7))
	require.Equal(t, targetA, f.port.Delivered()[0].To)
	f.table.Drop(key, targetA)
	f.port.Nodes = nil
	f.client(packet(false, 7))
	asked := []flow.IPv4{}
	for _, sent := range f.port.Delivered() {
		asked = append(asked, sent.To)
		for _, c := range sent.Env.Candidates[:sent.Env.Count] {
			asked = append(asked, c.Target)
		}
	}
	require.Contains(t, asked, targetA)
	require.Empty(t, f.port.Resets)
}

// TestACopyOfAnOpeningPacketLeavesAnEmptiedZone: the first one went there before the
// balancer heard.
func TestACopyOfAnOpeningPacketLeavesAnEmptiedZone(t *testing.T) {
	f := zoned()
	f.client(packet(true, 0))
	first := f.port.Delivered()[0].To
	zone, rest := "a", targetB
	if first == targetB {
		zone, rest = "b", targetA
	}
	f.SetEvacuations(f.now, evacuations(9, zone))
	f.port.Nodes = nil
	f.client(packet(true, 1))
	require.Equal(t, rest, f.port.Delivered()[0].To)
}

// TestEjectionsAreWeighedAmongTheZonesThatServe: of four targets one is ejected, but
// of the two that are left after an evacuation that is half.
func TestEjectionsAreWeighedAmongTheZonesThatServe(t *testing.T) {
	f := zoned()
	f.announceIn(targetB, "b", true)
	for i := range flow.IPv4(3) {
		f.announceIn(other+i, "a", false)
	}
	require.NotContains(t, f.opens(t), targetB)
	f.SetEvacuations(f.now, evacuations(9, "a"))
	require.Equal(t, map[flow.IPv4]int{targetB: 50}, f.opens(t), "the only one that may serve")
}

// TestNewsOfAnEvacuationTravelsAtOnce: other balancers hear it from each that has it,
// agents of the zones that have changed from those that have it from the store, so that
// it costs a message a balancer pair and a few an agent. What changes nothing is not passed on.
func TestNewsOfAnEvacuationTravelsAtOnce(t *testing.T) {
	f := zoned()
	f.hears(peer)
	told := func(do func()) (out []flow.IPv4) {
		f.port.Nodes = nil
		do()
		for _, sent := range f.port.Nodes {
			if m, err := fleet.DecodeBeacon(sent.Raw); err == nil && m.Evacuations.Revision > 0 {
				out = append(out, sent.To)
			}
		}
		return out
	}
	require.ElementsMatch(t, []flow.IPv4{peer, targetA}, told(func() { f.SetEvacuations(f.now, evacuations(8, "a")) }))
	require.ElementsMatch(t, []flow.IPv4{peer, targetB}, told(func() { f.SetEvacuations(f.now, evacuations(9, "a", "b")) }))
	require.Empty(t, told(func() { f.SetEvacuations(f.now, evacuations(10, "a", "b")) }))
	require.EqualValues(t, 10, f.Evacuations().Revision)
	require.Equal(t, []flow.IPv4{peer}, told(func() { f.HandleNode(f.now, targetB, fleet.AppendEvacuations(nil, evacuations(11))) }))
}

// TestForeignEvacuationMessagesChangeNothing.
func TestForeignEvacuationMessagesChangeNothing(t *testing.T) {
	f := zoned()
	f.SetEvacuations(f.now, evacuations(9, "a"))
	good := fleet.AppendEvacuations(nil, evacuations(12, "b"))
	f.HandleNode(f.now, targetA, good[:len(good)-1])
	f.HandleNode(f.now, targetA, envelope.AppendPrefix(nil, envelope.Evacuated))
	require.Equal(t, evacuations(9, "a"), f.Evacuations())
	// A message of a former process of the other balancer comes late.
	f.beaconOf(peer, evacuations(10))
	late := fleet.Beacon{MessageID: fleet.MessageID{Incarnation: uint64(peer), Seq: f.seq - 1}, Evacuations: evacuations(11, "a")}
	f.HandleNode(f.now, peer, late.Append(nil))
	require.Equal(t, evacuations(10), f.Evacuations())
	require.Equal(t, "op/evacuate/a", platform.EvacuateKey("a"))
}
