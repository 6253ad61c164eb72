package packetfront

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/flow/envelope"
)

// twoZoneFixture is a balancer of zone zero, with six targets in each of the zones zero and
// one. targets is indexed by zone.
type twoZoneFixture struct {
	*fixture
	targets [2][]flow.IPv4
}

func newTwoZoneFixture() *twoZoneFixture {
	z := &twoZoneFixture{fixture: newFixture()}
	for zone := range z.targets {
		for i := range 6 {
			z.targets[zone] = append(z.targets[zone], flow.IPv4(0x0a020000+zone<<8+i))
		}
	}
	return z
}

// announceFor lets time pass while the targets of the given zones announce themselves.
func (z *twoZoneFixture) announceFor(d time.Duration, zones ...int) {
	for end := z.now.Add(d); z.now.Before(end); z.now = z.now.Add(tickPeriod) {
		for _, zone := range zones {
			for _, ip := range z.targets[zone] {
				z.seq++
				a := fleet.Announcement{MessageID: fleet.MessageID{ProcessIncarnation: uint64(ip), Seq: z.seq}, Zone: flow.Tag(zone), Service: alpha, State: fleet.Ready, Slots: 4}
				z.HandleNode(z.now, ip, a.Append(nil))
			}
		}
		z.Tick(z.now)
	}
}

// countCandidates opens flows and counts their candidates in each zone: the targets that get
// the SYN and the further candidates in its envelope.
func (z *twoZoneFixture) countCandidates(flows int) (counts [2]int) {
	before := len(z.port.Delivered())
	for i := range flows {
		k := key
		k.ClientPort += uint16(i)
		z.receiveFromClient(packetOf(k, true, 0))
	}
	for _, s := range z.port.Delivered()[before:] {
		candidates := []flow.IPv4{s.To}
		candidates = append(candidates, s.Env.Candidates[:s.Env.Count]...)
		for zone, targets := range z.targets {
			counts[zone] += len(slices.DeleteFunc(slices.Clone(candidates), func(ip flow.IPv4) bool { return !slices.Contains(targets, ip) }))
		}
	}
	return counts
}

// TestASilentZoneGetsNoNewFlows: its targets are not even further candidates, since a SYN
// that is passed on to one is lost, and the whole attempt with it. If every zone is silent, all
// are used, because this balancer may be the one that is partitioned.
func TestASilentZoneGetsNoNewFlows(t *testing.T) {
	z := newTwoZoneFixture()
	z.announceFor(3*time.Second, 0, 1)
	counts := z.countCandidates(50)
	require.Positive(t, counts[0])
	require.Positive(t, counts[1])
	z.announceFor(1500*time.Millisecond, 0)
	counts = z.countCandidates(50)
	require.Positive(t, counts[0])
	require.Zero(t, counts[1])
	z.announceFor(300*time.Millisecond, 0, 1)
	require.Positive(t, z.countCandidates(50)[1], "the zone was seen again")
	z.announceFor(1500 * time.Millisecond)
	counts = z.countCandidates(50)
	require.Positive(t, counts[0])
	require.Positive(t, counts[1])
}

// TestARetransmittedSYNLeavesASilentZone: the original SYN was most likely lost there.
func TestARetransmittedSYNLeavesASilentZone(t *testing.T) {
	z := newTwoZoneFixture()
	z.announceFor(3*time.Second, 0, 1)
	k := key
	for ; ; k.ClientPort++ {
		z.receiveFromClient(packetOf(k, true, 0))
		if slices.Contains(z.targets[1], z.port.Last().To) {
			break
		}
	}
	z.announceFor(1500*time.Millisecond, 0)
	z.receiveFromClient(packetOf(k, true, 1))
	require.Equal(t, envelope.Deliver, z.port.Last().Kind)
	require.Contains(t, z.targets[0], z.port.Last().To)
}

// TestFlowsInASilentZoneAreNotReset: silence does not prove that a flow there has ended, so its
// packets still go to its target.
func TestFlowsInASilentZoneAreNotReset(t *testing.T) {
	z := newTwoZoneFixture()
	z.announceFor(3*time.Second, 0, 1)
	z.table.Put(z.now, key, z.targets[1][0])
	z.announceFor(1500*time.Millisecond, 0)
	require.True(t, z.view.IsZoneSilent(1))
	z.receiveFromClient(packet(false, 0))
	require.Equal(t, z.targets[1][0], z.port.Last().To)
	require.Empty(t, z.port.Resets)
}
