package directory

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/poppywall/poppywall/route"
)

var t0 = time.Unix(1_700_000_000, 0)

func addr(kind Kind, i int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("10.%d.%d.%d:4000", kind, i/250, i%250))
}

func balancer(i int) Entry {
	a := addr(KindBalancer, i)
	return Entry{Kind: KindBalancer, Name: "b", Zone: fmt.Sprint("z", i%2), Data: a, Control: a, Incarnation: 1, Sequence: 1, Status: Alive}
}

func host(i int, seq uint32, slots uint16) Entry {
	a := addr(KindHost, i)
	return Entry{
		Kind: KindHost, Name: fmt.Sprint("h", i), Zone: fmt.Sprint("z", i%2), Data: a, Control: a,
		Incarnation: 1, Sequence: seq, Status: Alive, Offers: []Offer{{Service: 1, Slots: slots}},
	}
}

func drawEntry(t *rapid.T) Entry {
	e := host(rapid.IntRange(0, 3).Draw(t, "host"), uint32(rapid.IntRange(1, 3).Draw(t, "seq")), 5)
	e.Incarnation = Incarnation(rapid.IntRange(1, 2).Draw(t, "incarnation"))
	// Gone is left out: Merge downgrades it to Suspect, see
	// TestHealedPartitionStopsNoService.
	e.Status = rapid.SampledFrom([]Status{Alive, Suspect, Left}).Draw(t, "status")
	return e
}

// TestMergeIsOrderIndependent checks that late, duplicated and reordered updates
// result in the same directory.
func TestMergeIsOrderIndependent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		updates := rapid.SliceOfN(rapid.Custom(drawEntry), 1, 12).Draw(t, "updates")
		order := rapid.Permutation(updates).Draw(t, "order")
		a, b := New(Defaults(), balancer(0), t0), New(Defaults(), balancer(0), t0)
		a.Merge(t0, updates)
		for _, e := range order {
			b.Merge(t0, []Entry{e, e})
		}
		b.Merge(t0, updates)
		require.Equal(t, a.All(), b.All())
		require.Equal(t, a.Root(), b.Root())
		require.Equal(t, a.Hosts(1), b.Hosts(1))
		require.Empty(t, b.Merge(t0, updates), "a repeated merge changes nothing")
	})
}

// fleet simulates several directories on a faulty network. The live hosts are the
// reference that the directories are compared with.
type fleet struct {
	now   time.Time
	rnd   *rand.Rand
	dirs  []*Directory
	hosts map[int]*Entry // live hosts by number
	// registrars holds the registrar list that each host received last.
	registrars  map[int][]Entry
	partitioned bool // the halves of the fleet cannot reach each other
}

func newFleet(n int, seed uint64) *fleet {
	f := &fleet{now: t0, rnd: rand.New(rand.NewPCG(seed, 1)), hosts: map[int]*Entry{}, registrars: map[int][]Entry{}}
	for i := range n {
		f.dirs = append(f.dirs, New(Defaults(), balancer(i), t0))
	}
	for i := range n {
		for j := range n {
			f.dirs[i].Merge(t0, []Entry{balancer(j)})
		}
	}
	return f
}

func (f *fleet) canReach(i, j int) bool { return !f.partitioned || i%2 == j%2 }

// gossip runs one exchange, as balancer.Balancer.exchange does.
func (f *fleet) gossip(i int) {
	peer, ok := f.dirs[i].RandomPeer(f.rnd)
	if !ok {
		return
	}
	for j, d := range f.dirs {
		if d.Self().Data != peer.Data {
			continue
		}
		if !f.canReach(i, j) {
			f.dirs[i].SuspectPeer(f.now, peer.Data)
			return
		}
		f.exchange(f.dirs[i], d)
	}
}

func (f *fleet) exchange(a, b *Directory) {
	sent := a.PendingUpdates(nil)
	a.AcknowledgeUpdates(sent, b.Merge(f.now, sent))
	a.Merge(f.now, append(b.PendingUpdates(sent), b.Self()))
	if a.Root() == b.Root() {
		return
	}
	branches := b.DiffBranches(a.Branches(), 8)
	leaves := a.DiffLeaves(branches, b.Leaves(branches))
	entriesOfA := a.EntriesInLeaves(leaves, 512)
	a.Merge(f.now, b.EntriesInLeaves(leaves, 512))
	b.Merge(f.now, entriesOfA)
}

// heartbeat sends a host's heartbeat to those of its registrars that it can reach,
// or to all balancers that it can reach if it has none. agent.Agent.heartbeatRound
// does the same with a few bootstrap addresses.
func (f *fleet) heartbeat(i int) {
	e := f.hosts[i]
	var registrars []Entry
	for j, d := range f.dirs {
		if !f.canReach(i, j) || (len(f.registrars[i]) > 0 && !slices.ContainsFunc(f.registrars[i], func(r Entry) bool { return r.Data == d.Self().Data })) {
			continue
		}
		registrars = Registrars(e.Data.String(), e.Zone, d.Balancers(), 3)
		r := d.Heartbeat(f.now, e.toHeartbeat())
		if r.Incarnation > e.Incarnation {
			e.Incarnation, e.Sequence = r.Incarnation+1, 0
		}
		if r.Sequence > 0 || r.Incarnation > 0 {
			e.Sequence = max(e.Sequence, r.Sequence) + 1
		}
		if r.NeedEntry || r.Sequence > 0 {
			d.Merge(f.now, []Entry{*e})
			d.Heartbeat(f.now, e.toHeartbeat())
		}
	}
	f.registrars[i] = registrars
}

func (e *Entry) toHeartbeat() Heartbeat {
	return Heartbeat{Key: e.Data, Incarnation: e.Incarnation, Sequence: e.Sequence, Period: time.Second}
}

func (f *fleet) isRegistrar(d *Directory, e *Entry) bool {
	for _, r := range Registrars(e.Data.String(), e.Zone, d.Balancers(), 3) {
		if r.Data == d.Self().Data {
			return true
		}
	}
	return false
}

func (f *fleet) tick() {
	f.now = f.now.Add(time.Second)
	for i := range f.hosts {
		f.heartbeat(i)
	}
	for i, d := range f.dirs {
		d.Tick(f.now)
		d.Audit(f.now, 4, func(e *Entry) bool { return f.isRegistrar(d, e) })
		f.gossip(i)
	}
}

// converged reports whether every directory lists exactly the live hosts, each
// with its current sequence.
func (f *fleet) converged() bool {
	for _, d := range f.dirs {
		seen := d.Hosts(1)
		if len(seen) != len(f.hosts) {
			return false
		}
		for i := range f.hosts {
			got, ok := d.Get(addr(KindHost, i))
			if !ok || !got.Usable() || got.Sequence != f.hosts[i].Sequence {
				return false
			}
		}
	}
	return true
}

// TestDirectoryConvergesAfterFaults kills, starts, restarts and changes hosts while
// the network is partitioned and healed. Within 240 s without faults, every
// directory must list exactly the live hosts. Time is simulated.
func TestDirectoryConvergesAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(2, 6).Draw(t, "balancers"), rapid.Uint64().Draw(t, "seed"))
		incarnation := Incarnation(1)
		step := map[string]func(*rapid.T){
			"start": func(t *rapid.T) {
				i := rapid.IntRange(0, 5).Draw(t, "host")
				if f.hosts[i] == nil {
					incarnation++
					e := host(i, 1, 5)
					e.Incarnation = incarnation
					f.hosts[i] = &e
				}
			},
			"kill":   func(t *rapid.T) { delete(f.hosts, rapid.IntRange(0, 5).Draw(t, "host")) },
			"cut":    func(*rapid.T) { f.partitioned = true },
			"heal":   func(*rapid.T) { f.partitioned = false },
			"second": func(*rapid.T) { f.tick() },
			"half a minute": func(*rapid.T) {
				for range 30 {
					f.tick()
				}
			},
			"change": func(t *rapid.T) {
				if e := f.hosts[rapid.IntRange(0, 5).Draw(t, "host")]; e != nil {
					e.Sequence++
				}
			},
		}
		t.Repeat(step)
		f.partitioned = false
		for range 240 {
			if f.converged() {
				return
			}
			f.tick()
		}
		require.True(t, f.converged(), "not converged after 240 s without faults")
	})
}

// TestHealedPartitionStopsNoService partitions the fleet until both halves have
// marked each other gone, then heals it. The claims of one half must not take
// hosts out of service in the directories of the other half.
func TestHealedPartitionStopsNoService(t *testing.T) {
	f := newFleet(4, 3)
	for i := range 4 {
		e := host(i, 1, 5)
		f.hosts[i] = &e
	}
	for range 10 {
		f.tick()
	}
	require.True(t, f.converged())
	f.partitioned = true
	for range 120 {
		f.tick()
	}
	countOwnHalf := func(d *Directory, half int) int {
		n := 0
		for i := range f.hosts {
			if e, ok := d.Get(addr(KindHost, i)); ok && i%2 == half && e.Usable() {
				n++
			}
		}
		return n
	}
	f.partitioned = false
	for s := range 240 {
		f.tick()
		for j, d := range f.dirs {
			require.Equal(t, 2, countOwnHalf(d, j%2), "second %d: balancer %d lost hosts of its own half", s, j)
		}
	}
	require.True(t, f.converged())
}

// TestLongerHeartbeatPeriodIsNotSuspected: a registrar that requests a shorter
// period must not suspect a host that uses the longer period requested by another
// registrar.
func TestLongerHeartbeatPeriodIsNotSuspected(t *testing.T) {
	d := New(Defaults(), balancer(0), t0)
	e := host(1, 1, 5)
	d.Merge(t0, []Entry{e})
	heartbeat := e.toHeartbeat()
	heartbeat.Period = Defaults().MaxPeriod
	now := t0
	for range 5 {
		require.Equal(t, Defaults().MinPeriod.Milliseconds(), d.Heartbeat(now, heartbeat).PeriodMillis)
		now = now.Add(heartbeat.Period)
		d.Tick(now)
		got, _ := d.Get(e.Data)
		require.Equal(t, Alive, got.Status)
	}
	d.Tick(now.Add(Defaults().MissedHeartbeats * heartbeat.Period))
	got, _ := d.Get(e.Data)
	require.Equal(t, Suspect, got.Status)
}

func TestEntryWireForm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := drawEntry(t)
		e.Offers = append(e.Offers, Offer{Service: 7, Slots: rapid.Uint16().Draw(t, "slots")})
		text, err := e.MarshalText()
		require.NoError(t, err)
		var back Entry
		require.NoError(t, back.UnmarshalText(text))
		require.Equal(t, e, back)
		cut := text[:rapid.IntRange(0, len(text)-1).Draw(t, "cut")]
		require.Error(t, back.UnmarshalText(cut))
	})
}

func FuzzEntryDecode(f *testing.F) {
	text, err := host(1, 1, 5).MarshalText()
	require.NoError(f, err)
	f.Add(text)
	f.Add([]byte("?"))
	f.Fuzz(func(t *testing.T, b []byte) {
		var e Entry
		if e.UnmarshalText(b) == nil {
			require.NoError(t, e.Validate())
		}
	})
}

func TestTableIsBounded(t *testing.T) {
	opts := Defaults()
	opts.MaxEntries = 10
	d := New(opts, balancer(0), t0)
	for i := range 50 {
		d.Merge(t0, []Entry{host(i, 1, 5)})
	}
	require.Equal(t, 10, d.Len())
	require.Equal(t, 41, d.Rejected())
}

func TestTombstonesExpire(t *testing.T) {
	d := New(Defaults(), balancer(0), t0)
	e := host(1, 1, 5)
	e.Status = Left
	d.Merge(t0, []Entry{e})
	require.Equal(t, 2, d.Len())
	d.Tick(t0.Add(Defaults().TombstoneTTL))
	require.Equal(t, 1, d.Len())
	require.Equal(t, New(Defaults(), balancer(0), t0).Root(), d.Root())
}

func TestRegistrarsChangeOnlyForFailedBalancers(t *testing.T) {
	var all []Entry
	for i := range 20 {
		all = append(all, balancer(i))
	}
	moved := 0
	for h := range 200 {
		name := fmt.Sprint("host", h)
		before := Registrars(name, "z0", all, 3)
		require.Len(t, before, 3)
		require.Equal(t, "z1", before[2].Zone, "one registrar is in another zone")
		after := Registrars(name, "z0", all[2:], 3)
		if fmt.Sprint(before) != fmt.Sprint(after) {
			moved++
			require.True(t, before[0].Data == all[0].Data || before[1].Data == all[0].Data || before[2].Data == all[1].Data)
		}
	}
	require.Less(t, moved, 80)
}

func TestEntriesAreValidated(t *testing.T) {
	good := host(1, 1, 5)
	require.NoError(t, good.Validate())
	for name, spoil := range map[string]func(*Entry){
		"kind":   func(e *Entry) { e.Kind = 9 },
		"status": func(e *Entry) { e.Status = 0 },
		"data":   func(e *Entry) { e.Data = netip.MustParseAddrPort("[::1]:1") },
		"zone":   func(e *Entry) { e.Zone = string(make([]byte, 64)) },
		"offers": func(e *Entry) { e.Offers = make([]Offer, MaxOffers+1) },
	} {
		bad := host(1, 1, 5)
		spoil(&bad)
		require.Error(t, bad.Validate(), name)
	}
	var _ route.ServiceID
}
