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

// TestPlanUsesRelaysForLargeZonesOnly checks that all balancers of a small zone get the
// message directly, with the period of direct messages, and a large zone through two relays.
func TestPlanUsesRelaysForLargeZonesOnly(t *testing.T) {
	const a, b = flow.Tag(1), flow.Tag(2)
	for name, c := range map[string]struct {
		known, recent map[flow.Tag][]flow.IPv4
		direct        []flow.IPv4
		relays        int
		period        time.Duration
	}{
		"no balancers": {nil, nil, nil, 0, fleet.SameZonePeriod},
		"small zones": {
			map[flow.Tag][]flow.IPv4{a: addresses(100, 4), b: addresses(200, 4)}, map[flow.Tag][]flow.IPv4{a: addresses(100, 4), b: addresses(200, 4)},
			append(addresses(100, 4), addresses(200, 4)...), 0, fleet.CrossZonePeriod(8),
		},
		"large zones": {
			map[flow.Tag][]flow.IPv4{a: addresses(100, 28), b: addresses(200, 28)}, map[flow.Tag][]flow.IPv4{a: addresses(100, 28), b: addresses(200, 28)},
			nil, 4, RelayPeriod,
		},
		"one of each": {
			map[flow.Tag][]flow.IPv4{a: addresses(100, 9), b: addresses(200, 28)}, map[flow.Tag][]flow.IPv4{a: addresses(100, 9), b: addresses(200, 28)},
			addresses(100, 9), 2, fleet.CrossZonePeriod(11),
		},
		"too few recent balancers": {
			map[flow.Tag][]flow.IPv4{a: addresses(100, 28)}, map[flow.Tag][]flow.IPv4{a: addresses(100, 9)},
			addresses(100, 28), 0, fleet.CrossZonePeriod(28),
		},
	} {
		p := NewPlan(c.known, c.recent, RelayThreshold, 7, 0, 3)
		require.Equal(t, c.direct, p.Direct, name)
		require.Len(t, p.Relays, c.relays, name)
		require.Equal(t, c.period, p.Period, name)
		require.Len(t, p.RelayedZones, c.relays/RelayCopies, name)
	}
}

// TestRelayRoleRotatesEvenly checks that the two copies of a round go to different balancers
// and that, over all rotation intervals, each balancer relays the same number of rounds of a
// node, and none far more first rounds of all nodes than another.
func TestRelayRoleRotatesEvenly(t *testing.T) {
	for _, count := range []int{11, 28, 57} {
		t.Run(strconv.Itoa(count), func(t *testing.T) { checkRelayRotation(t, count) })
	}
	single := map[flow.Tag][]flow.IPv4{1: addresses(100, 1)}
	require.Equal(t, addresses(100, 1), NewPlan(single, single, 1, 7, 5, 5).Relays)
}

func checkRelayRotation(t *testing.T, count int) {
	zone := map[flow.Tag][]flow.IPv4{1: addresses(100, count)}
	first := map[flow.IPv4]int{}
	for _, self := range addresses(1000, 300) {
		rounds := map[flow.IPv4]int{}
		for rotation := range count {
			selected := map[flow.IPv4]bool{}
			for round := range ActiveRelays {
				relays := NewPlan(zone, zone, RelayThreshold, self, int64(rotation), round).Relays
				require.NotEqual(t, relays[0], relays[1])
				rounds[relays[0]]++
				rounds[relays[1]]++
				selected[relays[0]], selected[relays[1]] = true, true
				if round == 0 {
					first[relays[0]]++
				}
			}
			require.Len(t, selected, ActiveRelays, "relays of a rotation interval")
		}
		require.Len(t, rounds, count)
		for ip, n := range rounds {
			require.Equal(t, RelayCopies*ActiveRelays, n, "%v of %v", ip, self)
		}
	}
	for ip, n := range first {
		require.Less(t, n, 3*300, "%v", ip)
	}
}

func newBuffer() *RelayBuffer { return &RelayBuffer{FlushPeriod: FlushPeriod} }

func TestMessagesAreBufferedAndRelayedOnce(t *testing.T) {
	h := newBuffer()
	message := []byte("first")
	require.True(t, h.Put(start, 2, fleet.MessageID{ProcessIncarnation: 1, Seq: 1}, message))
	copy(message, "xxxxx")
	h.Put(start, 1, fleet.MessageID{ProcessIncarnation: 3, Seq: 1}, []byte("other"))
	due := fleet.NextSendTime(start, FlushPeriod, h.Self)
	require.False(t, due.After(start.Add(FlushPeriod)))
	messages, _ := h.Take(due.Add(-1))
	require.Empty(t, messages, "still buffering")
	messages, stale := h.Take(due)
	require.Equal(t, []fleet.RelayedMessage{{From: 1, Message: []byte("other")}, {From: 2, Message: []byte("first")}}, messages)
	require.Zero(t, stale)
	messages, _ = h.Take(start.Add(2 * FlushPeriod))
	require.Empty(t, messages)
}

func TestLaterMessageReplacesBufferedOne(t *testing.T) {
	h := newBuffer()
	h.Put(start, 1, fleet.MessageID{ProcessIncarnation: 1, Seq: 1}, []byte("first"))
	h.Put(start, 1, fleet.MessageID{ProcessIncarnation: 1, Seq: 2}, []byte("second"))
	messages, _ := h.Take(start.Add(FlushPeriod))
	require.Equal(t, []fleet.RelayedMessage{{From: 1, Message: []byte("second")}}, messages)
}

// TestMessageSentByAnotherRelayIsDropped checks that only the message with the same identity
// is dropped, so that two relays do not both send it.
func TestMessageSentByAnotherRelayIsDropped(t *testing.T) {
	h := newBuffer()
	h.Put(start, 1, fleet.MessageID{ProcessIncarnation: 1, Seq: 5}, []byte("word"))
	require.False(t, h.Discard(1, fleet.MessageID{ProcessIncarnation: 1, Seq: 4}))
	require.False(t, h.Discard(2, fleet.MessageID{ProcessIncarnation: 1, Seq: 5}))
	require.True(t, h.Discard(1, fleet.MessageID{ProcessIncarnation: 1, Seq: 5}))
	messages, _ := h.Take(start.Add(FlushPeriod))
	require.Empty(t, messages)
}

// TestResumedRelayDropsStaleMessages guards against a relay that was frozen and then relays
// messages of nodes that may be gone.
func TestResumedRelayDropsStaleMessages(t *testing.T) {
	h := newBuffer()
	h.Put(start, 1, fleet.MessageID{ProcessIncarnation: 1, Seq: 1}, []byte("old"))
	resumedAt := start.Add(5 * time.Second)
	h.Put(resumedAt, 2, fleet.MessageID{ProcessIncarnation: 2, Seq: 1}, []byte("new"))
	messages, stale := h.Take(resumedAt)
	require.Equal(t, []fleet.RelayedMessage{{From: 2, Message: []byte("new")}}, messages)
	require.Equal(t, 1, stale)
}

func TestRelayBufferIsBounded(t *testing.T) {
	h := newBuffer()
	for i := range maxBuffered {
		require.True(t, h.Put(start, flow.IPv4(i), fleet.MessageID{ProcessIncarnation: 1}, nil))
	}
	require.False(t, h.Put(start, maxBuffered, fleet.MessageID{ProcessIncarnation: 1}, nil))
	require.True(t, h.Put(start, 0, fleet.MessageID{ProcessIncarnation: 2}, nil), "replaces the earlier message of the node")
}
