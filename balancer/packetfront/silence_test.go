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

// zonal is a balancer of zone zero with six targets there and six in zone one, by zone.
type zonal struct {
	*fixture
	targets [2][]flow.IPv4
}

func newZonal() *zonal {
	z := &zonal{fixture: newFixture()}
	for zone := range z.targets {
		for i := range 6 {
			z.targets[zone] = append(z.targets[zone], flow.IPv4(0x0a020000+zone<<8+i))
		}
	}
	return z
}

// speak lets the targets of zones repeat their words for a time.
func (z *zonal) speak(d time.Duration, zones ...int) {
	for end := z.now.Add(d); z.now.Before(end); z.now = z.now.Add(tickPeriod) {
		for _, zone := range zones {
			for _, ip := range z.targets[zone] {
				z.seq++
				a := fleet.Announcement{MessageID: fleet.MessageID{Incarnation: uint64(ip), Seq: z.seq}, Zone: flow.Tag(zone), Service: alpha, State: fleet.Ready, Slots: 4}
				z.HandleNode(z.now, ip, a.Append(nil))
			}
		}
		z.Tick(z.now)
	}
}

// offered opens flows and counts the candidates of each zone, whether they got the
// opening packet or stand behind the one that did.
func (z *zonal) offered(flows int) (counts [2]int) {
	before := len(z.port.Delivered())
	for i := range flows {
		k := key
		k.ClientPort += uint16(i)
		z.client(packetOf(k, true, 0))
	}
	for _, s := range z.port.Delivered()[before:] {
		candidates := []flow.IPv4{s.To}
		for _, item := range s.Env.Candidates[:s.Env.Count] {
			candidates = append(candidates, item.Target)
		}
		for zone, targets := range z.targets {
			counts[zone] += len(slices.DeleteFunc(slices.Clone(candidates), func(ip flow.IPv4) bool { return !slices.Contains(targets, ip) }))
		}
	}
	return counts
}

// TestASilentZoneGetsNoNewFlows, neither first nor along other candidates: packets that are
// passed on there are lost with the whole try. Where every zone is silent all are tried, for it may
// be this balancer that hears nothing.
func TestASilentZoneGetsNoNewFlows(t *testing.T) {
	z := newZonal()
	z.speak(3*time.Second, 0, 1)
	counts := z.offered(50)
	require.Positive(t, counts[0])
	require.Positive(t, counts[1])
	z.speak(1500*time.Millisecond, 0)
	counts = z.offered(50)
	require.Positive(t, counts[0])
	require.Zero(t, counts[1])
	z.speak(300*time.Millisecond, 0, 1)
	require.Positive(t, z.offered(50)[1], "heard again")
	z.speak(1500 * time.Millisecond)
	counts = z.offered(50)
	require.Positive(t, counts[0])
	require.Positive(t, counts[1])
}

// TestACopyLeavesASilentZone: the first one was most likely lost there.
func TestACopyLeavesASilentZone(t *testing.T) {
	z := newZonal()
	z.speak(3*time.Second, 0, 1)
	k := key
	for ; ; k.ClientPort++ {
		z.client(packetOf(k, true, 0))
		if slices.Contains(z.targets[1], z.port.Last().To) {
			break
		}
	}
	z.speak(1500*time.Millisecond, 0)
	z.client(packetOf(k, true, 1))
	require.Equal(t, envelope.Deliver, z.port.Last().Kind)
	require.Contains(t, z.targets[0], z.port.Last().To)
}

// TestASilentZoneIsNoProof that a flow there is over: its packets still go there.
func TestASilentZoneIsNoProof(t *testing.T) {
	z := newZonal()
	z.speak(3*time.Second, 0, 1)
	z.table.Put(z.now, key, z.targets[1][0])
	z.speak(1500*time.Millisecond, 0)
	require.True(t, z.view.IsZoneSilent(1))
	z.client(packet(false, 0))
	require.Equal(t, z.targets[1][0], z.port.Last().To)
	require.Empty(t, z.port.Resets)
}
