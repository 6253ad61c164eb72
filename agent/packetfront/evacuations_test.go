package packetfront

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/flow/envelope"
)

// ownZone is the zone of the fixture's agent in these tests.
const ownZone = "a"

// evacuations are those of a revision.
func evacuations(revision int64, zones ...string) flow.Evacuations {
	e, _ := flow.NewEvacuations(revision, zones)
	return e
}

// hearsOf lets a balancer say which zones are emptied, by its message of a number.
func (f *fixture) hearsOf(balancer flow.IPv4, seq uint32, e flow.Evacuations) {
	m := fleet.Beacon{MessageID: fleet.MessageID{Incarnation: uint64(balancer), Seq: seq}, Evacuations: e, Period: time.Hour}
	f.HandleNode(f.now, balancer, m.Append(nil))
}

// takes offers the target a new flow that another target may have, too, and tells
// whether it got it.
func (f *fixture) takes(t *testing.T, client int) bool {
	t.Helper()
	before := len(f.port.target)
	e := envelope.Envelope{Service: service}
	e.SetCandidates([]flow.Candidate{{Target: nextIP, Service: service}})
	f.deliver(e, packet(keyOf(client), flow.SYN, 0, ""))
	if len(f.port.target) > before {
		return true
	}
	require.Equal(t, nextIP, f.port.Last().To)
	return false
}

// TestAnAgentOfAnEmptiedZonePassesNewFlowsOn, whatever the balancers believe.
func TestAnAgentOfAnEmptiedZonePassesNewFlowsOn(t *testing.T) {
	f := newFixture()
	f.opts.Zone = flow.TagOf(ownZone)
	require.True(t, f.takes(t, 1))
	f.hearsOf(balancerIP, 1, evacuations(9, "b", ownZone))
	require.False(t, f.takes(t, 2))
	f.hearsOf(balancerIP, 2, evacuations(8))
	require.False(t, f.takes(t, 3), "a balancer that is behind")
	f.hearsOf(balancerIP, 3, evacuations(10, "b"))
	require.True(t, f.takes(t, 4), "taken back")
	f.hearsOf(balancerIP, 4, evacuations(11, ownZone))
	require.False(t, f.takes(t, 5), "again")
	f.hearsOf(balancerIP, 4, evacuations(12))
	require.False(t, f.takes(t, 6), "a message that was overtaken")
}

// TestWithoutAnotherCandidateAnEmptiedTargetReturnsTheFlow: its balancer refuses it at
// once.
func TestWithoutAnotherCandidateAnEmptiedTargetReturnsTheFlow(t *testing.T) {
	f := newFixture()
	f.opts.Zone = flow.TagOf(ownZone)
	f.hearsOf(balancerIP, 1, evacuations(9, ownZone))
	f.syn(1, 0, 0)
	require.Equal(t, envelope.Returned, f.port.Last().Kind)
	require.Equal(t, balancerIP, f.port.Last().To)
	require.Empty(t, f.port.target)
}

// TestPacketsOfOpenFlowsReachAnEmptiedTarget.
func TestPacketsOfOpenFlowsReachAnEmptiedTarget(t *testing.T) {
	f := newFixture()
	f.opts.Zone = flow.TagOf(ownZone)
	f.syn(1, 0, 0)
	f.targetSends(1, flow.SYN|flow.ACK, 500, 0)
	f.hearsOf(balancerIP, 1, evacuations(9, ownZone))
	before := len(f.port.target)
	f.deliver(envelope.Envelope{Service: service}, packet(keyOf(1), flow.ACK, 501, "GET / HTTP/1.1\r\n\r\n"))
	require.Len(t, f.port.target, before+1)
	require.Empty(t, f.port.Resets)
}

// TestAnAgentTellsABalancerThatLacksAnEvacuation: all balancers may have restarted while
// the store is away. One that knows as much is told nothing.
func TestAnAgentTellsABalancerThatLacksAnEvacuation(t *testing.T) {
	f := newFixture()
	f.hearsOf(balancerIP, 1, evacuations(9, "b"))
	f.port.Nodes = nil
	f.hearsOf(balancerIP, 2, evacuations(9, "b"))
	require.Empty(t, f.port.OfKind(envelope.Evacuated))
	f.hearsOf(nextIP, 1, flow.Evacuations{})
	told := f.port.OfKind(envelope.Evacuated)
	require.Len(t, told, 1)
	require.Equal(t, nextIP, told[0].To)
	got, err := fleet.DecodeEvacuations(told[0].Raw)
	require.NoError(t, err)
	require.Equal(t, evacuations(9, "b"), got)
}
