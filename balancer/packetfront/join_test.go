package packetfront

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poppywall/poppywall/balancer/search"
	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/fleet/zonecast"
	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/flow/envelope"
	"github.com/poppywall/poppywall/platform"
)

// TestSeedsThatStartLaterAreMetAtOnce: the return of everybody, where a balancer is back before
// its seeds. It greets each until it is heard, not longer than it counts as just started.
func TestSeedsThatStartLaterAreMetAtOnce(t *testing.T) {
	const seed = flow.IPv4(0x0a000003)
	f := newFixture()
	opts := f.opts
	opts.Seeds = []flow.IPv4{self, peer, seed}
	f.Core = New(f.now, opts, f.port, platform.Codec{}, quiet{&f.doubt, &f.kept}, f.rnd)
	began, greeted := f.now, map[flow.IPv4][]time.Duration{}
	for f.now.Sub(began) < search.SettleTime {
		f.port.Nodes = nil
		f.Tick(f.now)
		for _, s := range f.port.OfKind(envelope.Beacon) {
			greeted[s.To] = append(greeted[s.To], f.now.Sub(began))
		}
		if f.now.Sub(began) >= 100*time.Millisecond && !f.view.HasBalancer(peer) {
			m := fleet.Beacon{MessageID: fleet.MessageID{Incarnation: 1, Seq: 1}}
			f.HandleNode(f.now, peer, m.Append(nil))
		}
		f.now = f.now.Add(f.TickPeriod(f.now))
	}
	for i := 1; i < len(greeted[seed]); i++ {
		require.LessOrEqual(t, greeted[seed][i]-greeted[seed][i-1], zonecast.IntroductionPause+search.BufferRetryInterval)
	}
	require.GreaterOrEqual(t, greeted[seed][len(greeted[seed])-1], search.SettleTime-zonecast.IntroductionPause-search.BufferRetryInterval)
	require.Empty(t, greeted[self])
	early := 0
	for _, at := range greeted[peer] {
		if at < 100*time.Millisecond {
			early++
		}
	}
	require.LessOrEqual(t, early, 3, "one in each pause")
}
