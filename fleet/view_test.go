package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poppywall/poppywall/flow"
)

// TestAnAgentAsksANearBalancerForTheNewestConfiguration.
func TestAnAgentAsksANearBalancerForTheNewestConfiguration(t *testing.T) {
	const near, far = flow.Tag(1), flow.Tag(2)
	type balancer struct {
		version int64
		zone    flow.Tag
		mbps    uint16
	}
	for name, c := range map[string]struct {
		balancers map[flow.IPv4]balancer
		above     int64
		from      flow.IPv4
		version   int64
	}{
		"nobody known":                    {nil, 0, 0, 0},
		"none has a configuration":        {map[flow.IPv4]balancer{1: {0, near, 10}}, 0, 0, 0},
		"none has a newer one":            {map[flow.IPv4]balancer{1: {7, near, 10}, 2: {6, near, 10}}, 7, 0, 0},
		"the newest one, though far":      {map[flow.IPv4]balancer{1: {7, near, 900}, 2: {8, far, 10}}, 6, 2, 8},
		"the own zone before a wide link": {map[flow.IPv4]balancer{1: {8, far, 65535}, 2: {8, near, 0}}, 6, 2, 8},
		"the widest link of the zone":     {map[flow.IPv4]balancer{1: {8, near, 10}, 2: {8, near, 100}, 3: {8, near, 50}}, 6, 2, 8},
		"the widest link where all are far": {
			map[flow.IPv4]balancer{1: {8, far, 10}, 2: {8, far, 100}, 3: {7, near, 500}}, 6, 2, 8,
		},
		"the lowest address of equal ones": {map[flow.IPv4]balancer{5: {8, near, 10}, 3: {8, near, 10}, 4: {8, near, 10}}, 6, 3, 8},
		"of unknown links":                 {map[flow.IPv4]balancer{5: {8, far, 0}, 3: {8, far, 0}, 4: {8, far, 0}}, 0, 3, 8},
	} {
		// Maps are looked through in another order each time.
		for range 20 {
			v := NewView()
			for ip, b := range c.balancers {
				m := Beacon{Identity: Identity{Epoch: 1, Seq: 1}, ConfigVersion: b.version, Zone: b.zone, LinkMbps: b.mbps}
				v.Beacon(time.Unix(1, 0), ip, m)
			}
			from, version, ok := v.NewestNear(c.above, near)
			require.Equal(t, c.from, from, name)
			require.Equal(t, c.version, version, name)
			require.Equal(t, c.from != 0, ok, name)
		}
	}
}

// TestNodesThatStartTogetherDoNotSendTogether: after a common start, and after a change that
// all hear of, their rounds are spread over the period, and none pauses for longer.
func TestNodesThatStartTogetherDoNotSendTogether(t *testing.T) {
	const nodes, parts = 1000, 10
	now, period := time.Unix(1_700_000_000, 123), 1800*time.Millisecond
	counts := make([]int, parts)
	for i := range nodes {
		self := flow.IPv4(0x0a000001 + i)
		next := NextRound(now, period, self)
		pause := next.Sub(now)
		require.Positive(t, pause)
		require.LessOrEqual(t, pause, period)
		counts[int((pause-1)*parts/period)]++
		require.Equal(t, period, NextRound(next, period, self).Sub(next), "then each period")
	}
	for _, count := range counts {
		require.InDelta(t, nodes/parts, count, nodes/parts/2)
	}
}

// TestAClockThatIsSteppedLengthensNoPause.
func TestAClockThatIsSteppedLengthensNoPause(t *testing.T) {
	for _, now := range []time.Time{time.Unix(0, 0), time.Unix(-5, 7), time.Unix(1<<33, 0)} {
		pause := NextRound(now, time.Second, 9).Sub(now)
		require.Positive(t, pause)
		require.LessOrEqual(t, pause, time.Second)
	}
}
