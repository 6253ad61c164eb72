package telemetry

import (
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"
)

func TestSentTrafficIsCountedByKindAndZone(t *testing.T) {
	s := NewSentTraffic(Metrics{Registry: prometheus.NewRegistry(), Subsystem: "test"}, []string{"a", "b"})
	s.Count(1, OtherZone, 60)
	s.Count(1, OtherZone, 40)
	s.Count(0, SameZone, 7)
	s.Count(2, SameZone, 7)
	s.Count(-1, ZoneUnknown, 7)
	require.InDelta(t, 100, testutil.ToFloat64(s.bytes[1][OtherZone]), 0)
	require.InDelta(t, 2, testutil.ToFloat64(s.datagrams[1][OtherZone]), 0)
	require.InDelta(t, 7, testutil.ToFloat64(s.bytes[0][SameZone]), 0)
	require.InDelta(t, 0, testutil.ToFloat64(s.bytes[0][ZoneUnknown]), 0)
}
