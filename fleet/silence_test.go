package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poppywall/poppywall/flow"
)

// zoneOfNodes is a view that receives announcements of the agents of one zone.
type zoneOfNodes struct {
	*View
	now    time.Time
	zone   flow.Tag
	period time.Duration
	first  flow.IPv4
	nodes  int
	seq    uint32
}

// sendFor lets the nodes send their periodic messages for a time, spread evenly over the
// period or all at once.
func (z *zoneOfNodes) sendFor(d time.Duration, together bool) (silences []ZoneSilence) {
	const step = 50 * time.Millisecond
	for end := z.now.Add(d); z.now.Before(end); z.now = z.now.Add(step) {
		for i := range z.nodes {
			phase := time.Duration(i) * z.period / time.Duration(z.nodes)
			if together {
				phase = 0
			}
			if z.now.Sub(start.Add(phase))%z.period < step {
				z.send(i)
			}
		}
		silences = append(silences, z.DetectSilentZones(z.now)...)
	}
	return silences
}

func (z *zoneOfNodes) send(node int) {
	z.seq++
	a := announcement(uint64(node+1), z.seq, alpha, Ready)
	a.Zone, a.Period = z.zone, z.period
	z.ApplyAnnouncement(z.now, z.first+flow.IPv4(node), a)
}

// timeToSilence advances time without messages of the zone, for at most d. It returns the time
// until the zone was detected as silent, or zero if it was not.
func (z *zoneOfNodes) timeToSilence(d time.Duration) time.Duration {
	began := z.now
	for end := z.now.Add(d); z.now.Before(end); z.now = z.now.Add(50 * time.Millisecond) {
		z.DetectSilentZones(z.now)
		if z.IsZoneSilent(z.zone) {
			return z.now.Sub(began)
		}
	}
	return 0
}

func newZoneOfNodes(nodes int, period time.Duration) *zoneOfNodes {
	return &zoneOfNodes{View: NewView(), now: start, zone: 3, period: period, first: ip1, nodes: nodes}
}

// TestSilentZoneIsDetectedQuickly: with many nodes, four messages are missing within a fraction
// of a node's period; with few nodes, detection takes about one period.
func TestSilentZoneIsDetectedQuickly(t *testing.T) {
	for name, c := range map[string]struct {
		nodes  int
		period time.Duration
		max    time.Duration
	}{
		"twelve nodes, cross-zone": {12, 2500 * time.Millisecond, 1250 * time.Millisecond},
		"twelve nodes, same-zone":  {12, time.Second, 750 * time.Millisecond},
		"a hundred nodes":          {100, 2500 * time.Millisecond, 400 * time.Millisecond},
		"five nodes":               {5, 2500 * time.Millisecond, 2800 * time.Millisecond},
	} {
		z := newZoneOfNodes(c.nodes, c.period)
		require.Empty(t, z.sendFor(3*c.period, false), name)
		silent := z.timeToSilence(10 * time.Second)
		require.NotZero(t, silent, name)
		require.LessOrEqual(t, silent, c.max, name)
		z.send(0)
		require.Equal(t, []ZoneSilence{{Zone: 3, Silent: false, LastSeen: z.now}}, z.DetectSilentZones(z.now), name)
		require.False(t, z.IsZoneSilent(3), name)
	}
}

// TestSynchronizedNodesDoNotLookSilent: after a power loss all nodes of a zone may start, and
// then send, at the same moment.
func TestSynchronizedNodesDoNotLookSilent(t *testing.T) {
	z := newZoneOfNodes(12, 2500*time.Millisecond)
	require.Empty(t, z.sendFor(20*time.Second, true))
}

// TestZoneOfFewNodesIsNeverSilent: too few missing messages prove nothing about a zone, so each
// node is only checked on its own.
func TestZoneOfFewNodesIsNeverSilent(t *testing.T) {
	z := newZoneOfNodes(missedMessages-1, time.Second)
	z.sendFor(3*time.Second, false)
	require.Zero(t, z.timeToSilence(time.Minute))
}

// TestOneAliveNodeKeepsItsZoneFromFallingSilent checks a zone in which all other nodes have
// stopped.
func TestOneAliveNodeKeepsItsZoneFromFallingSilent(t *testing.T) {
	z := newZoneOfNodes(20, time.Second)
	z.sendFor(3*time.Second, false)
	z.nodes = 1
	silences := 0
	for range 10 {
		z.sendFor(time.Second, false)
		if z.IsZoneSilent(z.zone) {
			silences++
		}
	}
	require.LessOrEqual(t, silences, 1, "only until the messages of the stopped nodes are no longer counted")
}

// TestSilenceIsPerZone checks that the silence of one zone does not affect another.
func TestSilenceIsPerZone(t *testing.T) {
	z := newZoneOfNodes(12, time.Second)
	other := *z
	other.zone, other.first = 4, ip1+100
	for range 30 {
		z.now, other.now = z.now.Add(100*time.Millisecond), z.now.Add(100*time.Millisecond)
		for i := range z.nodes {
			z.send(i)
			other.send(i)
		}
	}
	for range 30 {
		other.now = other.now.Add(100 * time.Millisecond)
		for i := range other.nodes {
			other.send(i)
		}
		other.DetectSilentZones(other.now)
	}
	require.True(t, z.IsZoneSilent(3))
	require.False(t, z.IsZoneSilent(4))
}
