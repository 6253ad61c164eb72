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

// TestSeedsThatStartLaterAreContactedPromptly: after a common restart a balancer may be up
// before its seeds. It introduces itself to each seed in short intervals until the seed is
// seen, but not for longer than search.SettleTime.
func TestSeedsThatStartLaterAreContactedPromptly(t *testing.T) {
	const seed = flow.IPv4(0x0a000003)
	f := newFixture()
	opts := f.opts
	opts.Seeds = []flow.IPv4{self, peer, seed}
	f.Core = New(f.now, opts, f.port, platform.Codec{}, eventRecorder{&f.uncertainty, &f.buffered}, f.rnd)
	startedAt, introducedAt := f.now, map[flow.IPv4][]time.Duration{}
	for f.now.Sub(startedAt) < search.SettleTime {
		f.port.Nodes = nil
		f.Tick(f.now)
		for _, s := range f.port.OfKind(envelope.Beacon) {
			introducedAt[s.To] = append(introducedAt[s.To], f.now.Sub(startedAt))
		}
		if f.now.Sub(startedAt) >= 100*time.Millisecond && !f.view.HasBalancer(peer) {
			m := fleet.Beacon{MessageID: fleet.MessageID{ProcessIncarnation: 1, Seq: 1}}
			f.HandleNode(f.now, peer, m.Append(nil))
		}
		f.now = f.now.Add(f.TickPeriod(f.now))
	}
	for i := 1; i < len(introducedAt[seed]); i++ {
		require.LessOrEqual(t, introducedAt[seed][i]-introducedAt[seed][i-1], zonecast.IntroductionPause+search.BufferRetryInterval)
	}
	require.GreaterOrEqual(t, introducedAt[seed][len(introducedAt[seed])-1], search.SettleTime-zonecast.IntroductionPause-search.BufferRetryInterval)
	require.Empty(t, introducedAt[self])
	early := 0
	for _, at := range introducedAt[peer] {
		if at < 100*time.Millisecond {
			early++
		}
	}
	require.LessOrEqual(t, early, 3, "one per pause")
}
