package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poppywall/poppywall/flow"
)

// TestAgentsPreferSameZoneBalancersForConfiguration checks the order of preference among
// balancers: configuration version, zone, link capacity, address.
func TestAgentsPreferSameZoneBalancersForConfiguration(t *testing.T) {
	const local, other = flow.Tag(1), flow.Tag(2)
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
		"no balancer":                       {nil, 0, 0, 0},
		"none has a configuration":          {map[flow.IPv4]balancer{1: {0, local, 10}}, 0, 0, 0},
		"none has a newer one":              {map[flow.IPv4]balancer{1: {7, local, 10}, 2: {6, local, 10}}, 7, 0, 0},
		"the newest, though cross-zone":     {map[flow.IPv4]balancer{1: {7, local, 900}, 2: {8, other, 10}}, 6, 2, 8},
		"local zone before link capacity":   {map[flow.IPv4]balancer{1: {8, other, 65535}, 2: {8, local, 0}}, 6, 2, 8},
		"highest link capacity of the zone": {map[flow.IPv4]balancer{1: {8, local, 10}, 2: {8, local, 100}, 3: {8, local, 50}}, 6, 2, 8},
		"highest link capacity if all are cross-zone": {
			map[flow.IPv4]balancer{1: {8, other, 10}, 2: {8, other, 100}, 3: {7, local, 500}}, 6, 2, 8,
		},
		"lowest address among equals": {map[flow.IPv4]balancer{5: {8, local, 10}, 3: {8, local, 10}, 4: {8, local, 10}}, 6, 3, 8},
		"unknown link capacities":     {map[flow.IPv4]balancer{5: {8, other, 0}, 3: {8, other, 0}, 4: {8, other, 0}}, 0, 3, 8},
	} {
		// Repeated because the iteration order of maps is random.
		for range 20 {
			v := NewView()
			for ip, b := range c.balancers {
				m := Beacon{MessageID: MessageID{ProcessIncarnation: 1, Seq: 1}, ConfigVersion: b.version, Zone: b.zone, LinkMbps: b.mbps}
				v.ApplyBeacon(time.Unix(1, 0), ip, m)
			}
			from, version, ok := v.PreferredConfigSource(c.above, local)
			require.Equal(t, c.from, from, name)
			require.Equal(t, c.version, version, name)
			require.Equal(t, c.from != 0, ok, name)
		}
	}
}

// TestSendTimesAreSpreadOverThePeriod: nodes that start together, or that learn of a change at
// the same time, must not all send at once, and none waits longer than one period.
func TestSendTimesAreSpreadOverThePeriod(t *testing.T) {
	const nodes, parts = 1000, 10
	now, period := time.Unix(1_700_000_000, 123), 1800*time.Millisecond
	counts := make([]int, parts)
	for i := range nodes {
		self := flow.IPv4(0x0a000001 + i)
		next := NextSendTime(now, period, self)
		pause := next.Sub(now)
		require.Positive(t, pause)
		require.LessOrEqual(t, pause, period)
		counts[int((pause-1)*parts/period)]++
		require.Equal(t, period, NextSendTime(next, period, self).Sub(next), "then each period")
	}
	for _, count := range counts {
		require.InDelta(t, nodes/parts, count, nodes/parts/2)
	}
}

// TestSteppedClockDoesNotLengthenAPause covers wall-clock times before 1970 and far in the future.
func TestSteppedClockDoesNotLengthenAPause(t *testing.T) {
	for _, now := range []time.Time{time.Unix(0, 0), time.Unix(-5, 7), time.Unix(1<<33, 0)} {
		pause := NextSendTime(now, time.Second, 9).Sub(now)
		require.Positive(t, pause)
		require.LessOrEqual(t, pause, time.Second)
	}
}
