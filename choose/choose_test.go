package choose

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var t0 = time.Unix(1_700_000_000, 0)

func addr(i int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("10.0.%d.%d:4000", i/250, i%250))
}

func hosts(n int) []Host {
	out := make([]Host, n)
	for i := range out {
		out[i] = Host{Addr: addr(i), Zone: "a", Capacity: 5}
	}
	return out
}

// oracle records, for each host, why it must not be picked.
type oracle struct {
	refusedAt map[netip.AddrPort]time.Time
	// unanswered is the first send since the last packet from the host, or since the last retry.
	unanswered map[netip.AddrPort]time.Time
}

func (o *oracle) blocked(opts Options, now time.Time, h Host) bool {
	if at, ok := o.refusedAt[h.Addr]; ok && now.Sub(at) < opts.SkipRefused {
		return true
	}
	if at, ok := o.unanswered[h.Addr]; ok && now.Sub(at) >= opts.AnswerTimeout {
		return true
	}
	return h.Capacity <= 0
}

// TestPickNeverTakesABlockedHostWhileAnotherIsFree drives a set by random steps: frozen hosts
// (no answer), refusals, drains (capacity 0) and replacements.
func TestPickNeverTakesABlockedHostWhileAnotherIsFree(t *testing.T) {
	opts := Defaults()
	rapid.Check(t, func(t *rapid.T) {
		set := NewSet(opts, "a")
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		now := t0
		o := oracle{map[netip.AddrPort]time.Time{}, map[netip.AddrPort]time.Time{}}
		current := map[netip.AddrPort]Host{}
		t.Repeat(map[string]func(*rapid.T){
			"replace": func(t *rapid.T) {
				next := map[netip.AddrPort]Host{}
				var list []Host
				for _, h := range hosts(rapid.IntRange(0, 5).Draw(t, "n")) {
					h.Capacity = rapid.IntRange(0, 3).Draw(t, "capacity")
					next[h.Addr] = h
					list = append(list, h)
				}
				for a := range current {
					if _, stays := next[a]; !stays {
						delete(o.refusedAt, a)
						delete(o.unanswered, a)
					}
				}
				current = next
				set.Replace(now, list)
			},
			"refuse": func(t *rapid.T) {
				a := addr(rapid.IntRange(0, 4).Draw(t, "host"))
				set.Refuse(now, a)
				if _, ok := current[a]; ok {
					o.refusedAt[a] = now
					delete(o.unanswered, a)
				}
			},
			"observe": func(t *rapid.T) {
				a := addr(rapid.IntRange(0, 4).Draw(t, "host"))
				set.Observe(now, a, HostLoad{Open: rapid.IntRange(0, 50).Draw(t, "open")})
				delete(o.unanswered, a)
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"pick": func(t *rapid.T) {
				free := 0
				for _, h := range current {
					if !o.blocked(opts, now, h) {
						free++
					}
				}
				a, ok := set.Pick(now, rnd)
				require.Equal(t, len(current) > 0, ok)
				if !ok {
					return
				}
				h, known := current[a]
				require.True(t, known, "picked a host that is not a candidate")
				if free > 0 {
					require.False(t, o.blocked(opts, now, h), "picked a blocked host while %d were free", free)
				}
				if at, ok := o.unanswered[a]; !ok || now.Sub(at) >= opts.AnswerTimeout {
					o.unanswered[a] = now
				}
			},
		})
	})
}

func TestRecoveredHostGetsWorkGradually(t *testing.T) {
	opts := Defaults()
	set := NewSet(opts, "a")
	rnd := rand.New(rand.NewPCG(1, 1))
	set.Replace(t0, hosts(9))
	for i := range 9 {
		set.Observe(t0, addr(i), HostLoad{Open: 1000})
	}
	// A tenth host joins empty, as after a cold start.
	start := t0.Add(time.Minute)
	now := start
	set.Replace(now, hosts(10))
	taken, picks := map[int]int{}, map[int]int{}
	for ms := range 12_000 {
		now = start.Add(time.Duration(ms) * time.Millisecond)
		a, _ := set.Pick(now, rnd)
		picks[ms/1000]++
		if a == addr(9) {
			taken[ms/1000]++
		}
		for i := range 10 {
			set.index[addr(i)].unansweredSince = time.Time{}
		}
	}
	share := func(s int) float64 { return float64(taken[s]) / float64(picks[s]) }
	require.Less(t, share(0), 0.2, "no herding in the first second")
	require.Greater(t, share(11), 0.12, "it gets its share after the slow start")
}

// TestNewBalancerSkipsSlowStart: a balancer that learns of its hosts one by one in its first
// seconds must not treat the later ones as cold.
func TestNewBalancerSkipsSlowStart(t *testing.T) {
	set := NewSet(Defaults(), "a")
	rnd := rand.New(rand.NewPCG(1, 1))
	now := t0
	for n := 1; n <= 4; n++ {
		now = now.Add(100 * time.Millisecond)
		set.Replace(now, hosts(n))
	}
	taken := map[netip.AddrPort]int{}
	for range 400 {
		a, _ := set.Pick(now, rnd)
		taken[a]++
		set.index[a].unansweredSince = time.Time{}
	}
	for i := range 4 {
		require.InDelta(t, 100, taken[addr(i)], 15)
	}
}

// TestStaleLoadReportLosesWeight: a host whose flows ended unseen must not keep its old load
// report for ever where new flows are few, as each of many balancers sees them. If the report
// kept its weight, the host would be picked only when drawn twice, a chance of 1 in 400.
func TestStaleLoadReportLosesWeight(t *testing.T) {
	const balancers, picks = 100, 80
	tried := 0
	for b := range balancers {
		set := NewSet(Defaults(), "a")
		rnd := rand.New(rand.NewPCG(uint64(b), 1))
		set.Replace(t0, hosts(20))
		set.Observe(t0, addr(0), HostLoad{Open: 10000})
		for i := range picks {
			now := t0.Add(time.Duration(i) * 500 * time.Millisecond)
			for h := range 19 {
				set.Observe(now, addr(h+1), HostLoad{Open: 5})
			}
			if a, _ := set.Pick(now, rnd); a == addr(0) {
				tried++
				break
			}
		}
	}
	require.Greater(t, tried, 60)
}

func BenchmarkPick(b *testing.B) {
	set := NewSet(Defaults(), "a")
	rnd := rand.New(rand.NewPCG(1, 1))
	set.Replace(t0, hosts(35))
	b.ReportAllocs()
	for b.Loop() {
		a, _ := set.Pick(t0, rnd)
		set.Observe(t0, a, HostLoad{Open: 1})
	}
}
