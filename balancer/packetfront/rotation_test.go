package packetfront

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
)

// Links of a zone whose uploads fill the smaller ones, as measured on a zone of 2 larger
// and 2 smaller balancers after an outage of 5 s: 84 uploads a second of 67 packets over 15
// balancers are 3.9 Mbit/s each, two thirds more in a wave's crest; with what is sent
// again the smaller ones send 11 to 14 of their 14 Mbit/s for as long as traffic goes on,
// and an upload takes 2 to 6 s instead of 40 ms. The larger ones send 5 of 200.
const (
	smallLink  = 14
	largeLink  = 200
	crestMbps  = 11
	fullMbps   = 13
	largerMbps = 5
)

// zoneMate is another balancer of the zone.
type zoneMate struct {
	ip         flow.IPv4
	link, sent uint16
	out        bool
}

// larger are two balancers with large links.
var larger = []zoneMate{{peer, largeLink, largerMbps, false}, {peer + 1, largeLink, largerMbps, false}}

// linked is a ready balancer with a link and others of its zone.
func linked(link float64, mates ...zoneMate) *fixture {
	f := newFixture()
	f.opts.LinkMbps = link
	f.hearMates(mates)
	return f
}

func (f *fixture) hearMates(mates []zoneMate) {
	for _, m := range mates {
		f.seq++
		b := fleet.Beacon{
			MessageID: fleet.MessageID{Incarnation: uint64(m.ip), Seq: f.seq}, InRotation: !m.out, LinkMbps: m.link, SentMbps: m.sent,
		}
		f.HandleNode(f.now, m.ip, b.Append(nil))
	}
}

// sends lets the balancer send at a rate for a time, while the others of its zone are
// heard.
func (f *fixture) sends(mbps float64, d time.Duration, mates ...zoneMate) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(tickPeriod)
		f.rotation.count(int(mbps*1e6/8*tickPeriod.Seconds()) - frameBytes)
		f.hearMates(mates)
		f.wait(0)
		f.Tick(f.now)
	}
}

// TestABalancerWhoseLinkIsFullLeavesTheRotation where others can carry its zone, and only
// there.
func TestABalancerWhoseLinkIsFullLeavesTheRotation(t *testing.T) {
	small := zoneMate{peer + 2, smallLink, fullMbps, false}
	for name, c := range map[string]struct {
		link, mbps float64
		mates      []zoneMate
		out        bool
	}{
		"full":                                  {smallLink, fullMbps, larger, true},
		"full beside another small one":         {smallLink, fullMbps, append([]zoneMate{small}, larger...), true},
		"in a wave's crest":                     {smallLink, crestMbps, larger, false},
		"its link is not known":                 {0, fullMbps, larger, false},
		"the others' are not known":             {smallLink, fullMbps, []zoneMate{{peer, 0, 5, false}, {peer + 1, 0, 5, false}}, false},
		"no other one":                          {smallLink, fullMbps, nil, false},
		"all alike":                             {smallLink, fullMbps, []zoneMate{small, {peer, smallLink, fullMbps, false}}, false},
		"hardly larger ones":                    {smallLink, fullMbps, []zoneMate{{peer, 27, 5, false}, {peer + 1, 27, 5, false}}, false},
		"the larger ones could not carry it":    {smallLink, fullMbps, []zoneMate{{peer, 40, 18, false}, {peer + 1, 40, 18, false}}, false},
		"the larger ones are out themselves":    {smallLink, fullMbps, []zoneMate{{peer, largeLink, 5, true}, {peer + 1, largeLink, 5, true}}, false},
		"it is in the stronger half":            {smallLink, fullMbps, []zoneMate{{peer, 10, 9, false}, {peer + 1, 10, 9, false}, {peer + 2, largeLink, 5, false}}, false},
		"half of the zone is out already":       {smallLink, fullMbps, []zoneMate{{peer, largeLink, 5, false}, {peer + 1, 10, 9, true}, {peer + 2, 10, 9, true}}, false},
		"most of the larger ones are out":       {smallLink, fullMbps, []zoneMate{{peer, largeLink, 5, false}, {peer + 1, largeLink, 5, true}, {peer + 2, largeLink, 5, true}}, false},
		"a large one that is full among giants": {largeLink, 190, []zoneMate{{peer, 1000, 190, false}, {peer + 1, 1000, 190, false}}, true},
	} {
		f := linked(c.link, c.mates...)
		f.sends(c.mbps, 3*time.Second, c.mates...)
		require.Equal(t, !c.out, f.Ready(f.now), name)
	}
}

// TestABalancerComesBackWhenItsShareFits, not before it has rested.
func TestABalancerComesBackWhenItsShareFits(t *testing.T) {
	f := linked(smallLink, larger...)
	f.sends(fullMbps, 3*time.Second, larger...)
	require.False(t, f.Ready(f.now))
	f.sends(0, minRotationPause-3*time.Second, larger...)
	require.False(t, f.Ready(f.now), "it rests")
	busy := []zoneMate{{peer, largeLink, 20, false}, {peer + 1, largeLink, 20, false}}
	f.sends(0, 3*time.Second, busy...)
	require.False(t, f.Ready(f.now), "a third of 40 Mbit/s would fill its link again")
	f.sends(0, time.Second, larger...)
	require.True(t, f.Ready(f.now))
}

// TestABalancerComesBackAtOnceWhenItIsNeeded: the larger ones end or leave.
func TestABalancerComesBackAtOnceWhenItIsNeeded(t *testing.T) {
	leaving := []zoneMate{{peer, largeLink, 5, true}, {peer + 1, largeLink, 5, true}}
	for name, after := range map[string]func(*fixture){
		"they leave":      func(f *fixture) { f.sends(0, tickPeriod, leaving...) },
		"they are silent": func(f *fixture) { f.sends(0, 3*time.Second) },
		"they are full as well": func(f *fixture) {
			f.sends(0, tickPeriod, zoneMate{peer, largeLink, 190, false}, zoneMate{peer + 1, largeLink, 190, false})
		},
	} {
		f := linked(smallLink, larger...)
		f.sends(fullMbps, 3*time.Second, larger...)
		require.False(t, f.Ready(f.now), name)
		after(f)
		require.True(t, f.Ready(f.now), name)
	}
}

// TestABalancerThatIsOutForwardsOn: the routers notice after a second, and what they send
// until then is served.
func TestABalancerThatIsOutForwardsOn(t *testing.T) {
	f := linked(smallLink, larger...)
	f.sends(fullMbps, 3*time.Second, larger...)
	f.port.Nodes = nil
	f.client(packet(true, 0))
	require.Len(t, f.port.Delivered(), 1)
}

// TestOthersHearOfALinkThatIsFull at once.
func TestOthersHearOfALinkThatIsFull(t *testing.T) {
	f := linked(smallLink, larger...)
	f.port.Nodes = nil
	f.sends(fullMbps, 3*time.Second, larger...)
	last := fleet.Beacon{}
	for _, sent := range f.port.Nodes {
		if m, err := fleet.DecodeBeacon(sent.Raw); err == nil && sent.To == peer {
			last = m
		}
	}
	require.False(t, last.InRotation)
	require.EqualValues(t, smallLink, last.LinkMbps)
	require.InDelta(t, fullMbps, last.SentMbps, 1)
}
