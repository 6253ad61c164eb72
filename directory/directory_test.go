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
	// Gone is left out: it is downgraded on arrival, see TestHealedPartition.
	e.Status = rapid.SampledFrom([]Status{Alive, Suspect, Left}).Draw(t, "status")
	return e
}

// TestMergeIsOrderless proves that late, doubled and reordered updates give
// the same directory.
func TestMergeIsOrderless(t *testing.T) {
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
		require.Empty(t, b.Merge(t0, updates), "a second time is no news")
	})
}

// fleet is several directories that talk over a faulty network; the owners of
// hosts are the oracle.
type fleet struct {
	now   time.Time
	rnd   *rand.Rand
	dirs  []*Directory
	owner map[int]*Entry // live hosts by number
	// registrars is what each host was told last.
	registrars map[int][]Entry
	cut        bool // halves of the fleet cannot talk
}

func newFleet(n int, seed uint64) *fleet {
	f := &fleet{now: t0, rnd: rand.New(rand.NewPCG(seed, 1)), owner: map[int]*Entry{}, registrars: map[int][]Entry{}}
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

func (f *fleet) canTalk(i, j int) bool { return !f.cut || i%2 == j%2 }

// gossip runs one exchange as balancer.exchange does.
func (f *fleet) gossip(i int) {
	peer, ok := f.dirs[i].Peer(f.rnd)
	if !ok {
		return
	}
	for j, d := range f.dirs {
		if d.Self().Data != peer.Data {
			continue
		}
		if !f.canTalk(i, j) {
			f.dirs[i].SuspectPeer(f.now, peer.Data)
			return
		}
		f.exchange(f.dirs[i], d)
	}
}

func (f *fleet) exchange(a, b *Directory) {
	passed := a.Rumours(nil)
	a.Feedback(passed, b.Merge(f.now, passed))
	a.Merge(f.now, append(b.Rumours(passed), b.Self()))
	if a.Root() == b.Root() {
		return
	}
	of := b.DiffBranches(a.Branches(), 8)
	leaves := a.DiffLeaves(of, b.Leaves(of))
	mine := a.EntriesOf(leaves, 512)
	a.Merge(f.now, b.EntriesOf(leaves, 512))
	b.Merge(f.now, mine)
}

// heartbeat sends a host's sign of life to the registrars that it knows and can
// reach, as agent.announceRound does.
func (f *fleet) heartbeat(i int) {
	e := f.owner[i]
	var told []Entry
	for j, d := range f.dirs {
		if !f.canTalk(i, j) || (len(f.registrars[i]) > 0 && !slices.ContainsFunc(f.registrars[i], func(r Entry) bool { return r.Data == d.Self().Data })) {
			continue
		}
		told = Registrars(e.Data.String(), e.Zone, d.Balancers(), 3)
		r := d.Heartbeat(f.now, e.sign())
		if r.Incarnation > e.Incarnation {
			e.Incarnation, e.Sequence = r.Incarnation+1, 0
		}
		if r.Sequence > 0 || r.Incarnation > 0 {
			e.Sequence = max(e.Sequence, r.Sequence) + 1
		}
		if r.NeedEntry || r.Sequence > 0 {
			d.Merge(f.now, []Entry{*e})
			d.Heartbeat(f.now, e.sign())
		}
	}
	f.registrars[i] = told
}

func (e *Entry) sign() Heartbeat {
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

func (f *fleet) second() {
	f.now = f.now.Add(time.Second)
	for i := range f.owner {
		f.heartbeat(i)
	}
	for i, d := range f.dirs {
		d.Tick(f.now)
		d.Audit(f.now, 4, func(e *Entry) bool { return f.isRegistrar(d, e) })
		f.gossip(i)
	}
}

// settled tells whether every balancer sees exactly the live hosts.
func (f *fleet) settled() bool {
	for _, d := range f.dirs {
		seen := d.Hosts(1)
		if len(seen) != len(f.owner) {
			return false
		}
		for i := range f.owner {
			got, ok := d.Get(addr(KindHost, i))
			if !ok || !got.Usable() || got.Sequence != f.owner[i].Sequence {
				return false
			}
		}
	}
	return true
}

// TestDirectoryFindsTheTruth kills, starts, restarts and changes hosts while
// the network is cut and healed; once left alone, every balancer knows exactly
// the live hosts. Seconds are injected.
func TestDirectoryFindsTheTruth(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(2, 6).Draw(t, "balancers"), rapid.Uint64().Draw(t, "seed"))
		incarnation := Incarnation(1)
		step := map[string]func(*rapid.T){
			"start": func(t *rapid.T) {
				i := rapid.IntRange(0, 5).Draw(t, "host")
				if f.owner[i] == nil {
					incarnation++
					e := host(i, 1, 5)
					e.Incarnation = incarnation
					f.owner[i] = &e
				}
			},
			"kill":   func(t *rapid.T) { delete(f.owner, rapid.IntRange(0, 5).Draw(t, "host")) },
			"cut":    func(*rapid.T) { f.cut = true },
			"heal":   func(*rapid.T) { f.cut = false },
			"second": func(*rapid.T) { f.second() },
			"half a minute": func(*rapid.T) {
				for range 30 {
					f.second()
				}
			},
			"change": func(t *rapid.T) {
				if e := f.owner[rapid.IntRange(0, 5).Draw(t, "host")]; e != nil {
					e.Sequence++
				}
			},
		}
		t.Repeat(step)
		f.cut = false
		for range 240 {
			if f.settled() {
				return
			}
			f.second()
		}
		require.True(t, f.settled(), "not settled after 240 s without faults")
	})
}

// TestHealedPartitionStopsNoService lets two halves give each other up and
// meet again: nobody may lose sight of hosts of its own half.
func TestHealedPartitionStopsNoService(t *testing.T) {
	f := newFleet(4, 3)
	for i := range 4 {
		e := host(i, 1, 5)
		f.owner[i] = &e
	}
	for range 10 {
		f.second()
	}
	require.True(t, f.settled())
	f.cut = true
	for range 120 {
		f.second()
	}
	own := func(d *Directory, half int) int {
		n := 0
		for i := range f.owner {
			if e, ok := d.Get(addr(KindHost, i)); ok && i%2 == half && e.Usable() {
				n++
			}
		}
		return n
	}
	f.cut = false
	for s := range 240 {
		f.second()
		for j, d := range f.dirs {
			require.Equal(t, 2, own(d, j%2), "second %d: balancer %d lost sight of its own half", s, j)
		}
	}
	require.True(t, f.settled())
}

// TestOwnersPeriodCounts: a registrar that would allow more frequent heartbeats
// must not suspect an owner that keeps the longer period of another one.
func TestOwnersPeriodCounts(t *testing.T) {
	d := New(Defaults(), balancer(0), t0)
	e := host(1, 1, 5)
	d.Merge(t0, []Entry{e})
	sign := e.sign()
	sign.Period = Defaults().MaxPeriod
	now := t0
	for range 5 {
		require.Equal(t, Defaults().MinPeriod.Milliseconds(), d.Heartbeat(now, sign).PeriodMillis)
		now = now.Add(sign.Period)
		d.Tick(now)
		got, _ := d.Get(e.Data)
		require.Equal(t, Alive, got.Status)
	}
	d.Tick(now.Add(Defaults().MissedHeartbeats * sign.Period))
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

func TestTombstonesAreForgotten(t *testing.T) {
	d := New(Defaults(), balancer(0), t0)
	e := host(1, 1, 5)
	e.Status = Left
	d.Merge(t0, []Entry{e})
	require.Equal(t, 2, d.Len())
	d.Tick(t0.Add(Defaults().ForgetAfter))
	require.Equal(t, 1, d.Len())
	require.Equal(t, New(Defaults(), balancer(0), t0).Root(), d.Root())
}

func TestRegistrarsMoveOnlyWithTheDead(t *testing.T) {
	var all []Entry
	for i := range 20 {
		all = append(all, balancer(i))
	}
	moved := 0
	for h := range 200 {
		name := fmt.Sprint("host", h)
		before := Registrars(name, "z0", all, 3)
		require.Len(t, before, 3)
		require.Equal(t, "z1", before[2].Zone, "one registrar is beyond the zone")
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
