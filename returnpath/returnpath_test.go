package returnpath

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

func bal(i int) netip.AddrPort    { return netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:1", i)) }
func caller(i int) netip.AddrPort { return netip.MustParseAddrPort(fmt.Sprintf("192.0.2.%d:1", i)) }

// TestAnswersFindALiveBalancer kills, stops and starts balancers while callers
// speak through random live ones. Whatever happened, an agent that sends the
// way QUIC does (the caller answers what arrives) gets a datagram through
// within a bounded number of tries. Point 1, the way back.
func TestAnswersFindALiveBalancer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := New(Defaults())
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		now := t0
		live := map[int]bool{1: true, 2: true, 3: true}
		anyLive := func() netip.AddrPort {
			for {
				if i := rnd.IntN(5) + 1; live[i] {
					return bal(i)
				}
			}
		}
		// Another flow of the host keeps the balancers heard of.
		busy := func() {
			for i := range live {
				table.Observe(now, caller(9), bal(i))
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"caller speaks": func(t *rapid.T) {
				table.Observe(now, caller(rapid.IntRange(1, 3).Draw(t, "caller")), anyLive())
			},
			"balancer dies": func(t *rapid.T) {
				if len(live) > 1 {
					delete(live, rapid.IntRange(1, 5).Draw(t, "balancer"))
				}
				if len(live) == 0 {
					live[1] = true
				}
			},
			"balancer leaves": func(t *rapid.T) {
				i := rapid.IntRange(1, 5).Draw(t, "balancer")
				if len(live) > 1 && live[i] {
					delete(live, i)
					table.Leave(bal(i))
				}
			},
			"balancer joins": func(t *rapid.T) { live[rapid.IntRange(1, 5).Draw(t, "balancer")] = true },
			"time passes": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
				table.Sweep(now)
			},
			"agent sends": func(t *rapid.T) {
				busy()
				c := caller(rapid.IntRange(1, 3).Draw(t, "caller"))
				// Probes double from 100 ms as QUIC's do.
				wait := 100 * time.Millisecond
				for range 60 {
					b, ok := table.Choose(now, rnd, c)
					require.True(t, ok)
					for i := range live {
						if bal(i) == b {
							table.Observe(now, c, anyLive())
							return
						}
					}
					now = now.Add(wait)
					wait = min(2*wait, time.Second)
					table.Sweep(now)
					busy()
				}
				t.Fatal("60 probes, none got through")
			},
		})
	})
}

func TestSteadyFlowKeepsItsBalancer(t *testing.T) {
	table := New(Defaults())
	rnd := rand.New(rand.NewPCG(1, 1))
	for i := 1; i <= 3; i++ {
		table.Observe(t0, caller(9), bal(i))
	}
	table.Observe(t0, caller(1), bal(2))
	for range 100 {
		b, ok := table.Choose(t0.Add(100*time.Millisecond), rnd, caller(1))
		require.True(t, ok)
		require.Equal(t, bal(2), b)
	}
}

func TestTableIsBounded(t *testing.T) {
	table := New(Defaults())
	for i := range MaxFlows + 10 {
		c := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 1)
		table.Observe(t0, c, netip.AddrPortFrom(c.Addr(), uint16(i)))
	}
	require.Equal(t, MaxFlows, table.Flows())
	require.Len(t, table.heard, MaxBalancers)
	table.Sweep(t0.Add(time.Hour))
	require.Zero(t, table.Flows())
	require.Empty(t, table.live)
	_, ok := table.Choose(t0, rand.New(rand.NewPCG(1, 1)), caller(1))
	require.False(t, ok)
	table.SetKnown([]netip.AddrPort{bal(1)})
	b, ok := table.Choose(t0, rand.New(rand.NewPCG(1, 1)), caller(1))
	require.True(t, ok)
	require.Equal(t, bal(1), b)
}
