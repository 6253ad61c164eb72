package packetfront

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/platform/platformtest"
)

// coldRate is what a cold target of the service bears, requests a second.
const coldRate = 5

// announceCold announces a target that is cold and bears so many new flows more.
func (f *fixture) announceCold(ip flow.IPv4, room uint16) {
	f.seq++
	a := fleet.Announcement{
		MessageID: fleet.MessageID{Incarnation: uint64(ip), Seq: f.seq}, Service: alpha, State: fleet.Ready, Slots: 4,
		Cold: true, Headroom: room,
	}
	f.HandleNode(f.now, ip, a.Append(nil))
}

// bounded is a fixture whose service states a bound.
func bounded() *fixture {
	f := newFixture()
	c := config(6)
	c.ColdRates = map[flow.Tag]float64{alpha: coldRate}
	f.SetConfig(f.now, c)
	f.port.Nodes = nil
	return f
}

// TestColdTargetsAreSentWhatTheyBear: the surplus is not passed along them but goes to
// the warm ones at once. What a target bears comes anew with time.
func TestColdTargetsAreSentWhatTheyBear(t *testing.T) {
	f := bounded()
	f.announceCold(targetA, 3)
	sent := f.openMany(40)
	require.Equal(t, 3, sent[targetA])
	require.Equal(t, 37, sent[targetB])
	f.now = f.now.Add(time.Second)
	require.Equal(t, coldRate, f.openMany(40)[targetA])
	f.announce(targetA, fleet.Ready)
	require.Greater(t, f.openMany(40)[targetA], 2*coldRate, "warm again")
}

// TestBalancersShareWhatAColdTargetBears: each of three sends a third.
func TestBalancersShareWhatAColdTargetBears(t *testing.T) {
	f := bounded()
	f.hears(peer)
	f.hears(peer + 1)
	f.announceCold(targetA, 9)
	require.Equal(t, 3, f.openMany(40)[targetA])
}

// TestWhatColdTargetsDoNotBearIsRefusedAtOnce.
func TestWhatColdTargetsDoNotBearIsRefusedAtOnce(t *testing.T) {
	f := bounded()
	f.announceCold(targetA, 1)
	f.announceCold(targetB, 1)
	require.Len(t, f.openMany(10), 2)
	require.Len(t, f.port.Resets, 8)
	require.Zero(t, f.kept)
	env := f.port.Delivered()[0].Env
	require.InDelta(t, coldRate, env.ColdRate, 0.1, "the agent hears the bound with the flow")
}

// openMany lets clients open flows and returns how many went to each target.
func (f *fixture) openMany(count int) map[flow.IPv4]int {
	f.port.Nodes = nil
	out := map[flow.IPv4]int{}
	for range count {
		f.seq++
		k := key
		k.ClientPort += uint16(f.seq)
		p := platformtest.FromClient(k, flow.SYN, 0, 0, nil)
		f.client(p)
	}
	for _, sent := range f.port.Delivered() {
		out[sent.To]++
	}
	return out
}
