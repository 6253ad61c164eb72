package packetfront

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/flow/envelope"
)

// receiveConfigVersion delivers a balancer's beacon with its configuration version and link
// capacity in Mbit/s.
func (f *fixture) receiveConfigVersion(balancer flow.IPv4, zone flow.Tag, version int64, link uint16) {
	f.seq++
	m := fleet.Beacon{
		MessageID: fleet.MessageID{ProcessIncarnation: uint64(balancer), Seq: uint32(f.seq)}, Zone: zone, ConfigVersion: version,
		LinkMbps: link, Period: time.Hour,
	}
	f.HandleNode(f.now, balancer, m.Append(nil))
}

// maxCopyDelay is the maximum delay before an agent fetches a version.
const maxCopyDelay = copyDelay + copySpread

// TestAgentFetchesTheNewestConfiguration: it fetches from a balancer of the local zone with a
// link of sufficient capacity, after a delay of its own, and announces its version.
func TestAgentFetchesTheNewestConfiguration(t *testing.T) {
	f := newFixture()
	localZone := f.opts.Zone
	f.receiveConfigVersion(balancerIP, localZone+1, 8, 1000)
	f.receiveConfigVersion(balancerIP+1, localZone, 8, 14)
	f.receiveConfigVersion(balancerIP+2, localZone, 8, 200)
	f.receiveConfigVersion(balancerIP+3, localZone, 7, 1000)
	_, _, due := f.CopySource(f.now)
	require.False(t, due, "not at once, because all agents learn of it at the same time")
	f.now = f.now.Add(maxCopyDelay)
	from, version, due := f.CopySource(f.now)
	require.True(t, due)
	require.Equal(t, balancerIP+2, from)
	require.EqualValues(t, 8, version)
	_, _, due = f.CopySource(f.now)
	require.False(t, due, "the fetch is under way, or has failed")
	f.now = f.now.Add(copyRetryPause)
	_, _, due = f.CopySource(f.now)
	require.True(t, due)

	require.True(t, f.CopyStored(8))
	_, _, due = f.CopySource(f.now)
	require.False(t, due)
	f.port.Nodes = nil
	f.advance(fleet.SameZonePeriod)
	a, err := fleet.DecodeAnnouncement(f.port.OfKind(envelope.Announce)[0].Raw)
	require.NoError(t, err)
	require.EqualValues(t, 8, a.ConfigVersion)

	require.False(t, f.CopyStored(7), "a copy of an older version that arrives late")
	f.receiveConfigVersion(balancerIP+3, localZone, 9, 14)
	_, _, due = f.CopySource(f.now)
	require.False(t, due)
	f.now = f.now.Add(maxCopyDelay)
	from, version, due = f.CopySource(f.now)
	require.True(t, due)
	require.Equal(t, balancerIP+3, from)
	require.EqualValues(t, 9, version)
}
