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

func balancer(i int) netip.AddrPort { return netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:1", i)) }
func caller(i int) netip.AddrPort   { return netip.MustParseAddrPort(fmt.Sprintf("192.0.2.%d:1", i)) }

// TestAnswersFindALiveBalancer kills, stops and starts balancers while callers send
// through random live ones. An agent that retransmits as QUIC does, to a caller
// that answers whatever arrives, must get a datagram through a live balancer
// within 60 attempts. Guards point 1 of docs/GUARANTEES.md (streams survive
// planned changes) for the path from agent to caller.
func TestAnswersFindALiveBalancer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := New(Defaults())
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		now := t0
		live := map[int]bool{1: true, 2: true, 3: true}
		anyLive := func() netip.AddrPort {
			for {
				if i := rng.IntN(5) + 1; live[i] {
					return balancer(i)
				}
			}
		}
		// Another flow of the host keeps all live balancers in the table.
		refreshBalancers := func() {
			for i := range live {
				table.Observe(now, caller(9), balancer(i))
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"caller sends": func(t *rapid.T) {
				table.Observe(now, caller(rapid.IntRange(1, 3).Draw(t, "caller")), anyLive())
			},
			"balancer crashes": func(t *rapid.T) {
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
					table.RemoveBalancer(balancer(i))
				}
			},
			"balancer joins": func(t *rapid.T) { live[rapid.IntRange(1, 5).Draw(t, "balancer")] = true },
			"time passes": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
				table.Sweep(now)
			},
			"agent sends": func(t *rapid.T) {
				refreshBalancers()
				c := caller(rapid.IntRange(1, 3).Draw(t, "caller"))
				// The interval between probes doubles from 100 ms, as in QUIC.
				wait := 100 * time.Millisecond
				for range 60 {
					b, ok := table.Choose(now, rng, c)
					require.True(t, ok)
					for i := range live {
						if balancer(i) == b {
							table.Observe(now, c, anyLive())
							return
						}
					}
					now = now.Add(wait)
					wait = min(2*wait, time.Second)
					table.Sweep(now)
					refreshBalancers()
				}
				t.Fatal("none of 60 probes reached a live balancer")
			},
		})
	})
}

// Within ReplyTimeout of the caller's latest datagram, a flow stays on its
// balancer however many datagrams are sent.
func TestSteadyFlowKeepsItsBalancer(t *testing.T) {
	table := New(Defaults())
	rng := rand.New(rand.NewPCG(1, 1))
	for i := 1; i <= 3; i++ {
		table.Observe(t0, caller(9), balancer(i))
	}
	table.Observe(t0, caller(1), balancer(2))
	for range 100 {
		b, ok := table.Choose(t0.Add(100*time.Millisecond), rng, caller(1))
		require.True(t, ok)
		require.Equal(t, balancer(2), b)
	}
}

func TestTableIsBounded(t *testing.T) {
	table := New(Defaults())
	for i := range MaxFlows + 10 {
		c := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 1)
		table.Observe(t0, c, netip.AddrPortFrom(c.Addr(), uint16(i)))
	}
	require.Equal(t, MaxFlows, table.Flows())
	require.Len(t, table.lastSeen, MaxBalancers)
	table.Sweep(t0.Add(time.Hour))
	require.Zero(t, table.Flows())
	require.Empty(t, table.live)
	_, ok := table.Choose(t0, rand.New(rand.NewPCG(1, 1)), caller(1))
	require.False(t, ok)
	table.SetFallback([]netip.AddrPort{balancer(1)})
	b, ok := table.Choose(t0, rand.New(rand.NewPCG(1, 1)), caller(1))
	require.True(t, ok)
	require.Equal(t, balancer(1), b)
}
