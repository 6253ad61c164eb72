package packetfront

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/platform/platformtest"
)

// coldRate is the rate, in requests per second, that a cold target of the service can sustain.
const coldRate = 5

// announceCold delivers the announcement of a cold target with headroom for so many new flows.
func (f *fixture) announceCold(ip flow.IPv4, headroom uint16) {
	f.seq++
	a := fleet.Announcement{
		MessageID: fleet.MessageID{ProcessIncarnation: uint64(ip), Seq: f.seq}, Service: alpha, State: fleet.Ready, Slots: 4,
		Cold: true, Headroom: headroom,
	}
	f.HandleNode(f.now, ip, a.Append(nil))
}

// newColdRateFixture returns a fixture whose service has a cold rate.
func newColdRateFixture() *fixture {
	f := newFixture()
	c := config(6)
	c.ColdRates = map[flow.ServiceID]float64{alpha: coldRate}
	f.SetConfig(f.now, c)
	f.port.Nodes = nil
	return f
}

// TestColdTargetsGetNewFlowsUpToTheirHeadroom: flows above the headroom are sent to warm targets
// directly, not through the cold ones. The headroom grows at the cold rate.
func TestColdTargetsGetNewFlowsUpToTheirHeadroom(t *testing.T) {
	f := newColdRateFixture()
	f.announceCold(targetA, 3)
	sent := f.openFlows(40)
	require.Equal(t, 3, sent[targetA])
	require.Equal(t, 37, sent[targetB])
	f.now = f.now.Add(time.Second)
	require.Equal(t, coldRate, f.openFlows(40)[targetA])
	f.announce(targetA, fleet.Ready)
	require.Greater(t, f.openFlows(40)[targetA], 2*coldRate, "warm again")
}

// TestBalancersShareAColdTargetsHeadroom: each of three balancers uses a third.
func TestBalancersShareAColdTargetsHeadroom(t *testing.T) {
	f := newColdRateFixture()
	f.receiveFirstBeacon(peer)
	f.receiveFirstBeacon(peer + 1)
	f.announceCold(targetA, 9)
	require.Equal(t, 3, f.openFlows(40)[targetA])
}

// TestFlowsAboveTheColdLimitAreRefusedAtOnce: if all targets are cold, the flows that they cannot
// take are reset, not buffered.
func TestFlowsAboveTheColdLimitAreRefusedAtOnce(t *testing.T) {
	f := newColdRateFixture()
	f.announceCold(targetA, 1)
	f.announceCold(targetB, 1)
	require.Len(t, f.openFlows(10), 2)
	require.Len(t, f.port.Resets, 8)
	require.Zero(t, f.buffered)
	env := f.port.Delivered()[0].Env
	require.InDelta(t, coldRate, env.ColdRate, 0.1, "the agent receives the cold rate with the flow")
}

// openFlows sends SYNs of new clients and returns how many went to each target.
func (f *fixture) openFlows(count int) map[flow.IPv4]int {
	f.port.Nodes = nil
	out := map[flow.IPv4]int{}
	for range count {
		f.seq++
		k := key
		k.ClientPort += uint16(f.seq)
		p := platformtest.FromClient(k, flow.SYN, 0, 0, nil)
		f.receiveFromClient(p)
	}
	for _, sent := range f.port.Delivered() {
		out[sent.To]++
	}
	return out
}
