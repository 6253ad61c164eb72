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
	ownZone   = flow.Tag(1)
	otherZone = flow.Tag(2)
)

// feeds lets another balancer say that it watches the store.
func (f *fixture) feeds(zone flow.Tag, feeding bool, ips ...flow.IPv4) {
	for _, ip := range ips {
		f.seq++
		m := fleet.Beacon{MessageID: fleet.MessageID{Incarnation: uint64(ip), Seq: f.seq}, Zone: zone, Feeder: feeding}
		f.HandleNode(f.now, ip, m.Append(nil))
	}
}

// TestReadingsAreSharedInAZone: all balancers of a zone doubt at the same time, after the
// return of everybody. The first ones of the zone that watch the store read the registry;
// the others ask them, and read it themselves where nobody is to be asked.
func TestReadingsAreSharedInAZone(t *testing.T) {
	first, second, third := lower, lower+1, lower+2
	for name, c := range map[string]struct {
		prepare func(f *fixture)
		ask     []flow.IPv4
	}{
		"alone":                 {prepare: func(*fixture) {}},
		"the first of its zone": {prepare: func(f *fixture) { f.feeds(ownZone, true, peer, peer+1); f.feeds(otherZone, true, third, third+1) }},
		"the second one":        {prepare: func(f *fixture) { f.feeds(ownZone, true, first, peer); f.feeds(otherZone, true, third, third+1) }, ask: []flow.IPv4{first}},
		"others feed its zone":  {prepare: func(f *fixture) { f.feeds(ownZone, true, first, second); f.feeds(otherZone, true, third) }, ask: []flow.IPv4{first, second}},
		"the first one has lost the store": {
			prepare: func(f *fixture) {
				f.feeds(ownZone, true, second, third)
				f.feeds(ownZone, false, first)
				f.feeds(otherZone, true, third+1)
			},
			ask: []flow.IPv4{second, third},
		},
		"its zone's feeders have lost the store": {prepare: func(f *fixture) {
			f.feeds(ownZone, false, first, second)
			f.feeds(otherZone, true, third, third+1, third+2)
		}},
		"one has not given any a moment ago": {
			prepare: func(f *fixture) {
				f.feeds(ownZone, true, first, second)
				f.feeds(otherZone, true, third)
				f.SnapshotFailed(f.now, first)
			},
			ask: []flow.IPv4{second},
		},
		"one has not given any long ago": {
			prepare: func(f *fixture) {
				f.SnapshotFailed(f.now.Add(-avoidTime), first)
				f.feeds(ownZone, true, first, second)
				f.feeds(otherZone, true, third)
			},
			ask: []flow.IPv4{first, second},
		},
		"they have not been heard lately": {prepare: func(f *fixture) {
			f.feeds(ownZone, true, first, second)
			f.feeds(otherZone, true, third)
			f.now = f.now.Add(fleet.ExpireAfter / 2)
		}},
	} {
		f := fixtureIn(ownZone)
		f.started(f.now.Add(-search.SettleTime))
		c.prepare(f)
		ask, due := f.SnapshotSources(f.now)
		require.True(t, due, name)
		require.Equal(t, len(c.ask), len(ask), name)
		require.Subset(t, ask, c.ask, name)
		_, due = f.SnapshotSources(f.now)
		require.False(t, due, "%s: it was asked for just now", name)
	}
}

// TestTheRegistryIsReadOnceThatIsOfUse: in time for the first conclusion, and not at the start
// of everybody, when nobody knows who reads for whom.
func TestTheRegistryIsReadOnceThatIsOfUse(t *testing.T) {
	const from = search.FreshTime - search.SnapshotLead
	f := newFixture()
	f.started(f.now)
	_, due := f.SnapshotSources(f.now.Add(from - 1))
	require.False(t, due)
	_, due = f.SnapshotSources(f.now.Add(from))
	require.True(t, due)
}

// TestFlowsThatAreOverAreToldAsSoonAsThatIsCertain: the return of everybody. Their clients wait
// until the balancer is not fresh any more, and no longer.
func TestFlowsThatAreOverAreToldAsSoonAsThatIsCertain(t *testing.T) {
	for _, ahead := range []time.Duration{10, 60, 110} {
		f := newFixture()
		f.started(f.now)
		f.TakeSnapshot(f.now, fleet.SnapshotAt(f.now, registered(targetA, targetB)))
		settled := f.now.Add(search.FreshTime)
		f.now = settled.Add(-ahead * time.Millisecond)
		f.announce(targetA, fleet.Ready)
		f.announce(targetB, fleet.Ready)
		f.Tick(f.now)
		f.client(packet(false, 9))
		f.answer(targetB, envelope.SearchExhausted, packet(false, 9))
		require.Equal(t, search.UncertainFresh, f.doubt)
		f.now = settled.Add(-1)
		f.Tick(f.now)
		require.Empty(t, f.port.Resets)
		f.now = settled
		f.Tick(f.now)
		require.Len(t, f.port.Resets, 1)
	}
}

// TestAnOlderReadingDoesNotTakeTheNewersPlace: an agent that was registered between the
// two would get lost, and the end of its flows look certain.
func TestAnOlderReadingDoesNotTakeTheNewersPlace(t *testing.T) {
	f := newFixture()
	newer := fleet.SnapshotAt(f.now, registered(targetA, targetB, other))
	newer.Revision = 8
	f.TakeSnapshot(f.now, newer)
	f.now = f.now.Add(time.Second)
	older := fleet.SnapshotAt(f.now, registered(targetA, targetB))
	older.Revision = 7
	f.TakeSnapshot(f.now, older)
	f.client(packet(false, 9))
	f.answer(targetB, envelope.SearchExhausted, packet(false, 9))
	require.Equal(t, search.UncertainMissing, f.doubt)
}

// TestFirstTargetsAreReadWhereNobodyKnowsAny: after a common start, not where a single
// balancer starts among others.
func TestFirstTargetsAreReadWhereNobodyKnowsAny(t *testing.T) {
	fresh := func() *fixture {
		f := newFixture()
		f.Core = New(f.now, f.opts, f.port, platform.Codec{}, quiet{&f.doubt, &f.kept}, f.rnd)
		return f
	}
	f := fresh()
	require.False(t, f.NeedsTargets(f.now), "others may answer")
	f.now = f.now.Add(search.BufferRetryInterval)
	require.True(t, f.NeedsTargets(f.now))
	require.False(t, f.NeedsTargets(f.now), "once")
	f = fresh()
	f.announce(targetA, fleet.Ready)
	f.now = f.now.Add(search.BufferRetryInterval)
	require.False(t, f.NeedsTargets(f.now))
}

// TestTheRegistryNamesAFewBalancersOfAZone, whatever their number, and at once one that
// knows nobody.
func TestTheRegistryNamesAFewBalancersOfAZone(t *testing.T) {
	for name, c := range map[string]struct {
		age    time.Duration
		before int
		want   bool
	}{
		"knows nobody, just started":     {age: search.FreshTime - 1},
		"knows nobody":                   {age: search.FreshTime, want: true},
		"others may come before it":      {age: search.SettleTime - 1, before: 1},
		"one of the first":               {age: search.SettleTime, before: fleet.RegisteredPerZone - 1, want: true},
		"others come before it":          {age: search.SettleTime, before: fleet.RegisteredPerZone},
		"many others of a large fleet's": {age: time.Minute, before: 100},
	} {
		f := fixtureIn(ownZone)
		f.startedAt = f.now.Add(-c.age)
		for i := range c.before {
			f.feeds(ownZone, false, lower+flow.IPv4(i))
		}
		f.feeds(otherZone, false, beaconsOf(c.before > 0)...)
		require.Equal(t, c.want, f.MustRegister(f.now), name)
	}
}

// beaconsOf are balancers of another zone, which do not count.
func beaconsOf(any bool) []flow.IPv4 {
	if !any {
		return nil
	}
	return []flow.IPv4{lower - 1, lower - 2, lower - 3, lower - 4, lower - 5}
}

// TestWhoGetsNoReadingReadsTheStore: the balancers that are said to feed the zone are not
// there, as after a cut, or behind one.
func TestWhoGetsNoReadingReadsTheStore(t *testing.T) {
	s := standin.NewStore(time.Now)
	putVersion(t, s, 1)
	named, err := net.ListenPacket("udp4", "127.0.98.1:22002")
	require.NoError(t, err)
	defer func() { require.NoError(t, named.Close()) }()
	f := startFront(t, 97, serveStore(t, s))
	dead := func(n byte) flow.IPv4 { return flow.IPv4(0x7f000001 + int(n)<<8) }
	f.locked(func(now time.Time) {
		for i, ip := range []flow.IPv4{dead(91), dead(92), dead(93)} {
			zone := flow.TagOf("z1")
			if i == 2 {
				zone = otherZone
			}
			m := fleet.Beacon{MessageID: fleet.MessageID{Incarnation: 1, Seq: 1}, Zone: zone, Feeder: true, Period: time.Minute}
			f.core.HandleNode(now, ip, m.Append(nil))
		}
	})
	_, err = s.Txn(t.Context(), store.Txn{Puts: []store.Put{{Key: "poppywall/agents/127.0.98.1", Value: []byte("7")}}})
	require.NoError(t, err)
	require.NoError(t, named.SetReadDeadline(time.Now().Add(5*time.Second)))
	_, from, err := named.ReadFrom(make([]byte, 2048))
	require.NoError(t, err, "the agent is greeted once the registry has named it")
	require.Equal(t, fmt.Sprintf("127.0.%d.1:22002", 97), from.String())
	listed, err := registry.List(t.Context(), s, fleet.RoleAgent)
	require.NoError(t, err)
	require.Len(t, listed.Entries, 1)
}
