package flow

import (
	"net/netip"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestIPv4(t *testing.T) {
	ip := FromAddr(netip.MustParseAddr("10.1.2.3"))
	require.Equal(t, "10.1.2.3", ip.String())
	require.Equal(t, ip, FromAddr(netip.MustParseAddr("::ffff:10.1.2.3")))
	require.Zero(t, FromAddr(netip.MustParseAddr("::1")))
}

func TestTags(t *testing.T) {
	require.Zero(t, TagOf(""))
	require.NotZero(t, TagOf("alpha"))
	require.NotEqual(t, TagOf("alpha"), TagOf("beta"))
}

func TestSameFlowSequenceWindow(t *testing.T) {
	for _, c := range []struct {
		ack, seq uint32
		same     bool
	}{
		{1000, 1000, true},
		{1000 + sequenceWindow, 1000, true},
		{1001 + sequenceWindow, 1000, false},
		{5, 0xfffffff0, true}, // around the wrap
		{0x80000000, 0, false},
	} {
		require.Equal(t, c.same, WithinSequenceWindow(c.ack, c.seq), "%+v", c)
	}
}

func TestRoutePicksByWeight(t *testing.T) {
	r := &Route{Services: []WeightedService{{Name: "a", Weight: 1}, {Name: "b", Weight: 3}}}
	count := map[string]int{}
	for i := range uint32(4000) {
		count[r.Pick(Key{ClientIP: IPv4(i)}.Hash()).Name]++
	}
	require.InDelta(t, 1000, count["a"], 150)
	require.InDelta(t, 3000, count["b"], 150)
}

func rankTargets(hash uint64, targets []IPv4, limit int) []IPv4 {
	r := NewRanking(limit)
	for _, target := range targets {
		r.Add(Score(hash, target), target)
	}
	return slices.Clone(r.Candidates())
}

// TestRankingKeepsOrderWhenATargetJoins checks that the order of the other targets depends
// neither on a target that joins nor on the order of the offers, so that it moves only the
// flows that it gains.
func TestRankingKeepsOrderWhenATargetJoins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		targets := rapid.SliceOfNDistinct(rapid.Uint32(), 2, 40, rapid.ID).Draw(t, "targets")
		hash := rapid.Uint64().Draw(t, "hash")
		var ips []IPv4
		for _, target := range targets {
			ips = append(ips, IPv4(target))
		}
		all := rankTargets(hash, ips, len(ips))
		without := slices.DeleteFunc(slices.Clone(all), func(ip IPv4) bool { return ip == ips[0] })
		require.Equal(t, without, rankTargets(hash, ips[1:], len(ips)))
		slices.Reverse(ips)
		require.Equal(t, all, rankTargets(hash, ips, len(ips)))
		k := rapid.IntRange(1, len(ips)).Draw(t, "k")
		require.Equal(t, all[:k], rankTargets(hash, ips, k))
	})
}

func TestRankingSpreadsFlowsEvenly(t *testing.T) {
	targets := []IPv4{0x0a010001, 0x0a010002, 0x0a020001, 0x0a020002, 0x0a030001}
	count := map[IPv4]int{}
	for i := range uint32(10_000) {
		count[rankTargets(Key{ClientIP: 0x64400000 + IPv4(i), ClientPort: 1024}.Hash(), targets, 1)[0]]++
	}
	for _, target := range targets {
		require.InDelta(t, 2000, count[target], 200, target)
	}
}

func BenchmarkRank(b *testing.B) {
	r := NewRanking(8)
	b.ReportAllocs()
	for b.Loop() {
		r.Reset()
		for target := range IPv4(17) {
			r.Add(Score(12345, 0x0a000000+target), target)
		}
	}
}
