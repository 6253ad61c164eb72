package packetfront

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/flow/envelope"
)

// has lets a balancer say which configuration it has.
func (f *fixture) has(balancer flow.IPv4, zone flow.Tag, version int64, link uint16) {
	f.seq++
	m := fleet.Beacon{
		MessageID: fleet.MessageID{Incarnation: uint64(balancer), Seq: uint32(f.seq)}, Zone: zone, ConfigVersion: version,
		LinkMbps: link, Period: time.Hour,
	}
	f.HandleNode(f.now, balancer, m.Append(nil))
}

// latest is the longest that an agent waits before it fetches a version.
const latest = copyDelay + copySpread

// TestAnAgentKeepsTheNewestConfiguration: it asks a balancer of its own zone, one with a
// wide link, after a delay of its own, and says in its announcements what it has.
func TestAnAgentKeepsTheNewestConfiguration(t *testing.T) {
	f := newFixture()
	near := f.opts.Zone
	f.has(balancerIP, near+1, 8, 1000)
	f.has(balancerIP+1, near, 8, 14)
	f.has(balancerIP+2, near, 8, 200)
	f.has(balancerIP+3, near, 7, 1000)
	_, _, due := f.CopySource(f.now)
	require.False(t, due, "not at once: all agents have heard it")
	f.now = f.now.Add(latest)
	from, version, due := f.CopySource(f.now)
	require.True(t, due)
	require.Equal(t, balancerIP+2, from)
	require.EqualValues(t, 8, version)
	_, _, due = f.CopySource(f.now)
	require.False(t, due, "it is on its way, or did not come")
	f.now = f.now.Add(copyRetryPause)
	_, _, due = f.CopySource(f.now)
	require.True(t, due)

	require.True(t, f.CopyStored(8))
	_, _, due = f.CopySource(f.now)
	require.False(t, due)
	f.port.Nodes = nil
	f.pass(fleet.SameZonePeriod)
	a, err := fleet.DecodeAnnouncement(f.port.OfKind(envelope.Announce)[0].Raw)
	require.NoError(t, err)
	require.EqualValues(t, 8, a.ConfigVersion)

	require.False(t, f.CopyStored(7), "one that comes late")
	f.has(balancerIP+3, near, 9, 14)
	_, _, due = f.CopySource(f.now)
	require.False(t, due)
	f.now = f.now.Add(latest)
	from, version, due = f.CopySource(f.now)
	require.True(t, due)
	require.Equal(t, balancerIP+3, from)
	require.EqualValues(t, 9, version)
}
