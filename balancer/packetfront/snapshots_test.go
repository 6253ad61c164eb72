package packetfront

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poppywall/poppywall/balancer/search"
	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/fleet/registry"
	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/flow/envelope"
	"github.com/poppywall/poppywall/platform"
	"github.com/poppywall/poppywall/standin"
	"github.com/poppywall/poppywall/store"
)

const (
	localZone = flow.Tag(1)
	otherZone = flow.Tag(2)
)

// peers handles beacons of other balancers of a zone, which state whether they are feeders.
func (f *fixture) peers(zone flow.Tag, feeder bool, ips ...flow.IPv4) {
	for _, ip := range ips {
		f.seq++
		m := fleet.Beacon{MessageID: fleet.MessageID{ProcessIncarnation: uint64(ip), Seq: f.seq}, Zone: zone, Feeder: feeder}
		f.HandleNode(f.now, ip, m.Append(nil))
	}
}

// TestSnapshotsAreSharedInAZone: after a common restart all balancers of a zone need a snapshot
// of the registry at the same time. The first feeders of the zone read the registry; the others
// ask them, and read it themselves if there is no feeder to ask.
func TestSnapshotsAreSharedInAZone(t *testing.T) {
	first, second, third := lowerPeer, lowerPeer+1, lowerPeer+2
	for name, c := range map[string]struct {
		prepare func(f *fixture)
		ask     []flow.IPv4
	}{
		"alone":                  {prepare: func(*fixture) {}},
		"the first of its zone":  {prepare: func(f *fixture) { f.peers(localZone, true, peer, peer+1); f.peers(otherZone, true, third, third+1) }},
		"the second one":         {prepare: func(f *fixture) { f.peers(localZone, true, first, peer); f.peers(otherZone, true, third, third+1) }, ask: []flow.IPv4{first}},
		"others are its feeders": {prepare: func(f *fixture) { f.peers(localZone, true, first, second); f.peers(otherZone, true, third) }, ask: []flow.IPv4{first, second}},
		"the first one has lost the store": {
			prepare: func(f *fixture) {
				f.peers(localZone, true, second, third)
				f.peers(localZone, false, first)
				f.peers(otherZone, true, third+1)
			},
			ask: []flow.IPv4{second, third},
		},
		"its zone's feeders have lost the store": {prepare: func(f *fixture) {
			f.peers(localZone, false, first, second)
			f.peers(otherZone, true, third, third+1, third+2)
		}},
		"one failed a moment ago": {
			prepare: func(f *fixture) {
				f.peers(localZone, true, first, second)
				f.peers(otherZone, true, third)
				f.SnapshotFailed(f.now, first)
			},
			ask: []flow.IPv4{second},
		},
		"one failed some time ago": {
			prepare: func(f *fixture) {
				f.SnapshotFailed(f.now.Add(-snapshotRetryDelay), first)
				f.peers(localZone, true, first, second)
				f.peers(otherZone, true, third)
			},
			ask: []flow.IPv4{first, second},
		},
		"they were not seen lately": {prepare: func(f *fixture) {
			f.peers(localZone, true, first, second)
			f.peers(otherZone, true, third)
			f.now = f.now.Add(fleet.ExpireAfter / 2)
		}},
	} {
		f := fixtureIn(localZone)
		f.restartAt(f.now.Add(-search.SettleTime))
		c.prepare(f)
		ask, due := f.SnapshotSources(f.now)
		require.True(t, due, name)
		require.Equal(t, len(c.ask), len(ask), name)
		require.Subset(t, ask, c.ask, name)
		_, due = f.SnapshotSources(f.now)
		require.False(t, due, "%s: one was requested just now", name)
	}
}

// TestTheFirstSnapshotIsReadShortlyBeforeFreshTimeEnds: in time for the first decision whether a
// flow has ended, but not right after a common start, when the balancers do not know yet which
// of them read the registry for the others.
func TestTheFirstSnapshotIsReadShortlyBeforeFreshTimeEnds(t *testing.T) {
	const from = search.FreshTime - search.SnapshotLead
	f := newFixture()
	f.restartAt(f.now)
	_, due := f.SnapshotSources(f.now.Add(from - 1))
	require.False(t, due)
	_, due = f.SnapshotSources(f.now.Add(from))
	require.True(t, due)
}

// TestEndedFlowsAreResetAsSoonAsThatIsCertain: after a common restart the clients of ended flows
// get their reset once the balancer is no longer fresh, and not later.
func TestEndedFlowsAreResetAsSoonAsThatIsCertain(t *testing.T) {
	for _, ahead := range []time.Duration{10, 60, 110} {
		f := newFixture()
		f.restartAt(f.now)
		f.TakeSnapshot(f.now, fleet.SnapshotAt(f.now, registered(targetA, targetB)))
		settled := f.now.Add(search.FreshTime)
		f.now = settled.Add(-ahead * time.Millisecond)
		f.announce(targetA, fleet.Ready)
		f.announce(targetB, fleet.Ready)
		f.Tick(f.now)
		f.receiveFromClient(packet(false, 9))
		f.returnPacket(targetB, envelope.SearchExhausted, packet(false, 9))
		require.Equal(t, search.UncertainFresh, f.uncertainty)
		f.now = settled.Add(-1)
		f.Tick(f.now)
		require.Empty(t, f.port.Resets)
		f.now = settled
		f.Tick(f.now)
		require.Len(t, f.port.Resets, 1)
	}
}

// TestAnOlderSnapshotDoesNotReplaceANewerOne: an agent that was registered between the two
// would get lost, and its flows would be taken for ended.
func TestAnOlderSnapshotDoesNotReplaceANewerOne(t *testing.T) {
	f := newFixture()
	newer := fleet.SnapshotAt(f.now, registered(targetA, targetB, targetC))
	newer.Revision = 8
	f.TakeSnapshot(f.now, newer)
	f.now = f.now.Add(time.Second)
	older := fleet.SnapshotAt(f.now, registered(targetA, targetB))
	older.Revision = 7
	f.TakeSnapshot(f.now, older)
	f.receiveFromClient(packet(false, 9))
	f.returnPacket(targetB, envelope.SearchExhausted, packet(false, 9))
	require.Equal(t, search.UncertainMissing, f.uncertainty)
}

// TestFirstTargetsAreReadFromTheRegistryWhenNoneIsKnown: after a common start, but not if a
// single balancer starts while others run.
func TestFirstTargetsAreReadFromTheRegistryWhenNoneIsKnown(t *testing.T) {
	fresh := func() *fixture {
		f := newFixture()
		f.Core = New(f.now, f.opts, f.port, platform.Codec{}, eventRecorder{&f.uncertainty, &f.buffered}, f.rnd)
		return f
	}
	f := fresh()
	require.False(t, f.NeedsTargets(f.now), "other balancers may still answer")
	f.now = f.now.Add(search.BufferRetryInterval)
	require.True(t, f.NeedsTargets(f.now))
	require.False(t, f.NeedsTargets(f.now), "only once")
	f = fresh()
	f.announce(targetA, fleet.Ready)
	f.now = f.now.Add(search.BufferRetryInterval)
	require.False(t, f.NeedsTargets(f.now))
}

// TestFewBalancersOfAZoneRegister: fleet.RegisteredPerZone of a zone, whatever their number. A
// balancer that knows no other balancer registers search.FreshTime after its start.
func TestFewBalancersOfAZoneRegister(t *testing.T) {
	for name, c := range map[string]struct {
		age    time.Duration
		before int
		want   bool
	}{
		"knows no balancer, just started": {age: search.FreshTime - 1},
		"knows no node":                   {age: search.FreshTime, want: true},
		"others may precede it":           {age: search.SettleTime - 1, before: 1},
		"one of the first":                {age: search.SettleTime, before: fleet.RegisteredPerZone - 1, want: true},
		"enough others precede it":        {age: search.SettleTime, before: fleet.RegisteredPerZone},
		"many others of a large fleet":    {age: time.Minute, before: 100},
	} {
		f := fixtureIn(localZone)
		f.startedAt = f.now.Add(-c.age)
		for i := range c.before {
			f.peers(localZone, false, lowerPeer+flow.IPv4(i))
		}
		f.peers(otherZone, false, otherZonePeers(c.before > 0)...)
		require.Equal(t, c.want, f.MustRegister(f.now), name)
	}
}

// otherZonePeers returns balancers of another zone, which do not count for registration, or
// none.
func otherZonePeers(present bool) []flow.IPv4 {
	if !present {
		return nil
	}
	return []flow.IPv4{lowerPeer - 1, lowerPeer - 2, lowerPeer - 3, lowerPeer - 4, lowerPeer - 5}
}

// TestTheStoreIsReadWhenNoPeerServesASnapshot: the balancers that are known as feeders of the
// zone do not answer, as after a partition or during one.
func TestTheStoreIsReadWhenNoPeerServesASnapshot(t *testing.T) {
	s := standin.NewStore(time.Now)
	putVersion(t, s, 1)
	agent, err := net.ListenPacket("udp4", "127.0.98.1:22002")
	require.NoError(t, err)
	defer func() { require.NoError(t, agent.Close()) }()
	f := startFront(t, 97, serveStore(t, s))
	unreachable := func(n byte) flow.IPv4 { return flow.IPv4(0x7f000001 + int(n)<<8) }
	f.locked(func(now time.Time) {
		for i, ip := range []flow.IPv4{unreachable(91), unreachable(92), unreachable(93)} {
			zone := flow.TagOf("z1")
			if i == 2 {
				zone = otherZone
			}
			m := fleet.Beacon{MessageID: fleet.MessageID{ProcessIncarnation: 1, Seq: 1}, Zone: zone, Feeder: true, Period: time.Minute}
			f.core.HandleNode(now, ip, m.Append(nil))
		}
	})
	_, err = s.Txn(t.Context(), store.Txn{Puts: []store.Put{{Key: "poppywall/agents/127.0.98.1", Value: []byte("7")}}})
	require.NoError(t, err)
	require.NoError(t, agent.SetReadDeadline(time.Now().Add(5*time.Second)))
	_, from, err := agent.ReadFrom(make([]byte, 2048))
	require.NoError(t, err, "the balancer introduces itself to the registered agent")
	require.Equal(t, fmt.Sprintf("127.0.%d.1:22002", 97), from.String())
	agents, err := registry.List(t.Context(), s, fleet.RoleAgent)
	require.NoError(t, err)
	require.Len(t, agents.Entries, 1)
}
