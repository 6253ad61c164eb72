package packetfront

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
)

// Links of a zone in which uploads saturate the smaller links, as measured in a zone of 2 larger and
// 2 smaller balancers after an outage of 5 s: 84 uploads per second of 67 packets over 15
// balancers are 3.9 Mbit/s each, two thirds more at the peak of a wave. With retransmissions, the
// smaller balancers send 11 to 14 of their 14 Mbit/s for as long as traffic lasts, and an upload
// takes 2 to 6 s instead of 40 ms. The larger ones send 5 of 200.
const (
	smallLinkMbps = 14
	largeLinkMbps = 200
	peakMbps      = 11
	fullLinkMbps  = 13
	largerMbps    = 5
)

// zonePeer is another balancer of the zone.
type zonePeer struct {
	ip                 flow.IPv4
	linkMbps, sentMbps uint16
	out                bool
}

// largerPeers are two balancers with large links.
var largerPeers = []zonePeer{{peer, largeLinkMbps, largerMbps, false}, {peer + 1, largeLinkMbps, largerMbps, false}}

// newLinkedFixture returns a ready balancer with a link of known capacity and other balancers in its
// zone.
func newLinkedFixture(linkMbps float64, peers ...zonePeer) *fixture {
	f := newFixture()
	f.opts.LinkMbps = linkMbps
	f.receiveBeacons(peers)
	return f
}

// receiveBeacons delivers a beacon of each of the peers.
func (f *fixture) receiveBeacons(peers []zonePeer) {
	for _, p := range peers {
		f.seq++
		b := fleet.Beacon{
			MessageID: fleet.MessageID{ProcessIncarnation: uint64(p.ip), Seq: f.seq}, InRotation: !p.out, LinkMbps: p.linkMbps, SentMbps: p.sentMbps,
		}
		f.HandleNode(f.now, p.ip, b.Append(nil))
	}
}

// sendAtRate simulates the balancer sending at a rate for a time, while beacons of its peers
// arrive.
func (f *fixture) sendAtRate(mbps float64, d time.Duration, peers ...zonePeer) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(tickPeriod)
		f.rotation.recordSent(int(mbps*1e6/8*tickPeriod.Seconds()) - headerBytes)
		f.receiveBeacons(peers)
		f.wait(0)
		f.Tick(f.now)
	}
}

// TestABalancerWhoseLinkIsFullLeavesTheRotation: only if balancers with larger links can carry its
// zone.
func TestABalancerWhoseLinkIsFullLeavesTheRotation(t *testing.T) {
	small := zonePeer{peer + 2, smallLinkMbps, fullLinkMbps, false}
	for name, c := range map[string]struct {
		link, mbps float64
		peers      []zonePeer
		out        bool
	}{
		"full":                                   {smallLinkMbps, fullLinkMbps, largerPeers, true},
		"full, another small link":               {smallLinkMbps, fullLinkMbps, append([]zonePeer{small}, largerPeers...), true},
		"at a wave's peak":                       {smallLinkMbps, peakMbps, largerPeers, false},
		"its link is unknown":                    {0, fullLinkMbps, largerPeers, false},
		"the peers' links unknown":               {smallLinkMbps, fullLinkMbps, []zonePeer{{peer, 0, 5, false}, {peer + 1, 0, 5, false}}, false},
		"no peers":                               {smallLinkMbps, fullLinkMbps, nil, false},
		"all equal":                              {smallLinkMbps, fullLinkMbps, []zonePeer{small, {peer, smallLinkMbps, fullLinkMbps, false}}, false},
		"not twice as large":                     {smallLinkMbps, fullLinkMbps, []zonePeer{{peer, 27, 5, false}, {peer + 1, 27, 5, false}}, false},
		"the larger ones could not carry it":     {smallLinkMbps, fullLinkMbps, []zonePeer{{peer, 40, 18, false}, {peer + 1, 40, 18, false}}, false},
		"the larger ones are out themselves":     {smallLinkMbps, fullLinkMbps, []zonePeer{{peer, largeLinkMbps, 5, true}, {peer + 1, largeLinkMbps, 5, true}}, false},
		"it is in the stronger half":             {smallLinkMbps, fullLinkMbps, []zonePeer{{peer, 10, 9, false}, {peer + 1, 10, 9, false}, {peer + 2, largeLinkMbps, 5, false}}, false},
		"half of the zone is out already":        {smallLinkMbps, fullLinkMbps, []zonePeer{{peer, largeLinkMbps, 5, false}, {peer + 1, 10, 9, true}, {peer + 2, 10, 9, true}}, false},
		"most of the larger ones are out":        {smallLinkMbps, fullLinkMbps, []zonePeer{{peer, largeLinkMbps, 5, false}, {peer + 1, largeLinkMbps, 5, true}, {peer + 2, largeLinkMbps, 5, true}}, false},
		"a large one that is full, larger peers": {largeLinkMbps, 190, []zonePeer{{peer, 1000, 190, false}, {peer + 1, 1000, 190, false}}, true},
	} {
		f := newLinkedFixture(c.link, c.peers...)
		f.sendAtRate(c.mbps, 3*time.Second, c.peers...)
		require.Equal(t, !c.out, f.Ready(f.now), name)
	}
}

// TestABalancerReturnsToTheRotationWhenItsShareFits: but not before minRotationPause has passed.
func TestABalancerReturnsToTheRotationWhenItsShareFits(t *testing.T) {
	f := newLinkedFixture(smallLinkMbps, largerPeers...)
	f.sendAtRate(fullLinkMbps, 3*time.Second, largerPeers...)
	require.False(t, f.Ready(f.now))
	f.sendAtRate(0, minRotationPause-3*time.Second, largerPeers...)
	require.False(t, f.Ready(f.now), "minRotationPause has not passed")
	busy := []zonePeer{{peer, largeLinkMbps, 20, false}, {peer + 1, largeLinkMbps, 20, false}}
	f.sendAtRate(0, 3*time.Second, busy...)
	require.False(t, f.Ready(f.now), "a third of 40 Mbit/s would fill its link again")
	f.sendAtRate(0, time.Second, largerPeers...)
	require.True(t, f.Ready(f.now))
}

// TestABalancerReturnsToTheRotationAtOnceWhenNeeded: the larger balancers have left, died, or are
// full as well.
func TestABalancerReturnsToTheRotationAtOnceWhenNeeded(t *testing.T) {
	leaving := []zonePeer{{peer, largeLinkMbps, 5, true}, {peer + 1, largeLinkMbps, 5, true}}
	for name, after := range map[string]func(*fixture){
		"they leave":       func(f *fixture) { f.sendAtRate(0, tickPeriod, leaving...) },
		"they are overdue": func(f *fixture) { f.sendAtRate(0, 3*time.Second) },
		"they are full as well": func(f *fixture) {
			f.sendAtRate(0, tickPeriod, zonePeer{peer, largeLinkMbps, 190, false}, zonePeer{peer + 1, largeLinkMbps, 190, false})
		},
	} {
		f := newLinkedFixture(smallLinkMbps, largerPeers...)
		f.sendAtRate(fullLinkMbps, 3*time.Second, largerPeers...)
		require.False(t, f.Ready(f.now), name)
		after(f)
		require.True(t, f.Ready(f.now), name)
	}
}

// TestABalancerOutOfRotationStillForwards: the routers take a second to notice, and packets that
// they send until then are served.
func TestABalancerOutOfRotationStillForwards(t *testing.T) {
	f := newLinkedFixture(smallLinkMbps, largerPeers...)
	f.sendAtRate(fullLinkMbps, 3*time.Second, largerPeers...)
	f.port.Nodes = nil
	f.receiveFromClient(packet(true, 0))
	require.Len(t, f.port.Delivered(), 1)
}

// TestLeavingTheRotationIsAnnouncedAtOnce: the beacon to the peers contains the link's capacity and
// the rate.
func TestLeavingTheRotationIsAnnouncedAtOnce(t *testing.T) {
	f := newLinkedFixture(smallLinkMbps, largerPeers...)
	f.port.Nodes = nil
	f.sendAtRate(fullLinkMbps, 3*time.Second, largerPeers...)
	last := fleet.Beacon{}
	for _, sent := range f.port.Nodes {
		if m, err := fleet.DecodeBeacon(sent.Raw); err == nil && sent.To == peer {
			last = m
		}
	}
	require.False(t, last.InRotation)
	require.EqualValues(t, smallLinkMbps, last.LinkMbps)
	require.InDelta(t, fullLinkMbps, last.SentMbps, 1)
}
