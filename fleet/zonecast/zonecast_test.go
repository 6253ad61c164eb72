package zonecast

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

var start = time.Unix(1_700_000_000, 0)

func addresses(first flow.IPv4, count int) []flow.IPv4 {
	var out []flow.IPv4
	for i := range count {
		out = append(out, first+flow.IPv4(i))
	}
	return out
}

// TestSmallZonesAreToldDirectly, all of their balancers, and as often as before; large ones
// through two relays.
func TestSmallZonesAreToldDirectly(t *testing.T) {
	const a, b = flow.Tag(1), flow.Tag(2)
	for name, c := range map[string]struct {
		known, recent map[flow.Tag][]flow.IPv4
		direct        []flow.IPv4
		relays        int
		period        time.Duration
	}{
		"nobody": {nil, nil, nil, 0, fleet.NearPeriod},
		"small zones": {
			map[flow.Tag][]flow.IPv4{a: addresses(100, 4), b: addresses(200, 4)}, map[flow.Tag][]flow.IPv4{a: addresses(100, 4), b: addresses(200, 4)},
			append(addresses(100, 4), addresses(200, 4)...), 0, fleet.FarPeriod(8),
		},
		"large zones": {
			map[flow.Tag][]flow.IPv4{a: addresses(100, 28), b: addresses(200, 28)}, map[flow.Tag][]flow.IPv4{a: addresses(100, 28), b: addresses(200, 28)},
			nil, 4, Period,
		},
		"one of each": {
			map[flow.Tag][]flow.IPv4{a: addresses(100, 9), b: addresses(200, 28)}, map[flow.Tag][]flow.IPv4{a: addresses(100, 9), b: addresses(200, 28)},
			addresses(100, 9), 2, fleet.FarPeriod(11),
		},
		"too few heard lately": {
			map[flow.Tag][]flow.IPv4{a: addresses(100, 28)}, map[flow.Tag][]flow.IPv4{a: addresses(100, 9)},
			addresses(100, 28), 0, fleet.FarPeriod(28),
		},
	} {
		p := Make(c.known, c.recent, From, 7, 0, 3)
		require.Equal(t, c.direct, p.Direct, name)
		require.Len(t, p.Relays, c.relays, name)
		require.Equal(t, c.period, p.Period, name)
		require.Len(t, p.Relayed, c.relays/Copies, name)
	}
}

// TestEachBalancerIsARelayInTurn: no two copies of a round go to the same one, and none has
// more rounds than another, of a node's or of all nodes', once each slot has passed.
func TestEachBalancerIsARelayInTurn(t *testing.T) {
	for _, count := range []int{11, 28, 57} {
		t.Run(strconv.Itoa(count), func(t *testing.T) { relaysInTurn(t, count) })
	}
	lone := map[flow.Tag][]flow.IPv4{1: addresses(100, 1)}
	require.Equal(t, addresses(100, 1), Make(lone, lone, 1, 7, 5, 5).Relays)
}

func relaysInTurn(t *testing.T, count int) {
	zone := map[flow.Tag][]flow.IPv4{1: addresses(100, count)}
	first := map[flow.IPv4]int{}
	for _, self := range addresses(1000, 300) {
		turns := map[flow.IPv4]int{}
		for slot := range count {
			asked := map[flow.IPv4]bool{}
			for round := range Active {
				relays := Make(zone, zone, From, self, int64(slot), round).Relays
				require.NotEqual(t, relays[0], relays[1])
				turns[relays[0]]++
				turns[relays[1]]++
				asked[relays[0]], asked[relays[1]] = true, true
				if round == 0 {
					first[relays[0]]++
				}
			}
			require.Len(t, asked, Active, "those of a slot")
		}
		require.Len(t, turns, count)
		for ip, n := range turns {
			require.Equal(t, Copies*Active, n, "%v of %v", ip, self)
		}
	}
	for ip, n := range first {
		require.Less(t, n, 3*300, "%v", ip)
	}
}

func held() *Held { return &Held{Pause: FlushPeriod} }

func TestMessagesAreGatheredAndRelayedOnce(t *testing.T) {
	h := held()
	message := []byte("first")
	require.True(t, h.Put(start, 2, fleet.Identity{Epoch: 1, Seq: 1}, message))
	copy(message, "xxxxx")
	h.Put(start, 1, fleet.Identity{Epoch: 3, Seq: 1}, []byte("other"))
	due := fleet.NextRound(start, FlushPeriod, h.Self)
	require.False(t, due.After(start.Add(FlushPeriod)))
	messages, _ := h.Take(due.Add(-1))
	require.Empty(t, messages, "still gathering")
	messages, old := h.Take(due)
	require.Equal(t, []fleet.RelayedMessage{{From: 1, Message: []byte("other")}, {From: 2, Message: []byte("first")}}, messages)
	require.Zero(t, old)
	messages, _ = h.Take(start.Add(2 * FlushPeriod))
	require.Empty(t, messages)
}

func TestTheLastMessageOfANodeIsRelayed(t *testing.T) {
	h := held()
	h.Put(start, 1, fleet.Identity{Epoch: 1, Seq: 1}, []byte("first"))
	h.Put(start, 1, fleet.Identity{Epoch: 1, Seq: 2}, []byte("second"))
	messages, _ := h.Take(start.Add(FlushPeriod))
	require.Equal(t, []fleet.RelayedMessage{{From: 1, Message: []byte("second")}}, messages)
}

// TestWhatAnotherRelayHasSentIsNot, and a later message of the node is.
func TestWhatAnotherRelayHasSentIsNot(t *testing.T) {
	h := held()
	h.Put(start, 1, fleet.Identity{Epoch: 1, Seq: 5}, []byte("word"))
	require.False(t, h.Relayed(1, fleet.Identity{Epoch: 1, Seq: 4}))
	require.False(t, h.Relayed(2, fleet.Identity{Epoch: 1, Seq: 5}))
	require.True(t, h.Relayed(1, fleet.Identity{Epoch: 1, Seq: 5}))
	messages, _ := h.Take(start.Add(FlushPeriod))
	require.Empty(t, messages)
}

// TestAFrozenRelaySendsNothingOld on when it goes on.
func TestAFrozenRelaySendsNothingOld(t *testing.T) {
	h := held()
	h.Put(start, 1, fleet.Identity{Epoch: 1, Seq: 1}, []byte("old"))
	thawed := start.Add(5 * time.Second)
	h.Put(thawed, 2, fleet.Identity{Epoch: 2, Seq: 1}, []byte("new"))
	messages, old := h.Take(thawed)
	require.Equal(t, []fleet.RelayedMessage{{From: 2, Message: []byte("new")}}, messages)
	require.Equal(t, 1, old)
}

func TestHeldWordsAreBounded(t *testing.T) {
	h := held()
	for i := range maxHeld {
		require.True(t, h.Put(start, flow.IPv4(i), fleet.Identity{Epoch: 1}, nil))
	}
	require.False(t, h.Put(start, maxHeld, fleet.Identity{Epoch: 1}, nil))
	require.True(t, h.Put(start, 0, fleet.Identity{Epoch: 2}, nil), "in the place of its earlier one")
}
