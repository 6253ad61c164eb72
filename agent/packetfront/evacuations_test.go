package packetfront

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/flow/envelope"
)

// localZone is the zone of the fixture's agent in these tests.
const localZone = "a"

// evacuations returns the evacuations of a revision.
func evacuations(revision int64, zones ...string) flow.Evacuations {
	e, _ := flow.NewEvacuations(revision, zones)
	return e
}

// receiveEvacuations delivers a balancer's beacon with a sequence number and evacuations.
func (f *fixture) receiveEvacuations(balancer flow.IPv4, seq uint32, e flow.Evacuations) {
	m := fleet.Beacon{MessageID: fleet.MessageID{ProcessIncarnation: uint64(balancer), Seq: seq}, Evacuations: e, Period: time.Hour}
	f.HandleNode(f.now, balancer, m.Append(nil))
}

// acceptsNewFlow delivers the SYN of a flow with a further candidate and reports whether the
// target got it. Otherwise the flow must have been passed on to that candidate.
func (f *fixture) acceptsNewFlow(t *testing.T, client int) bool {
	t.Helper()
	before := len(f.port.target)
	e := envelope.Envelope{Service: service}
	e.SetCandidates([]flow.IPv4{nextIP})
	f.deliver(e, packet(keyOf(client), flow.SYN, 0, ""))
	if len(f.port.target) > before {
		return true
	}
	require.Equal(t, nextIP, f.port.Last().To)
	return false
}

// TestAgentInAnEvacuatedZonePassesNewFlowsOn: balancers that do not have the evacuation yet
// still send new flows there. Only a newer revision changes the set.
func TestAgentInAnEvacuatedZonePassesNewFlowsOn(t *testing.T) {
	f := newFixture()
	f.opts.Zone = flow.TagOf(localZone)
	require.True(t, f.acceptsNewFlow(t, 1))
	f.receiveEvacuations(balancerIP, 1, evacuations(9, "b", localZone))
	require.False(t, f.acceptsNewFlow(t, 2))
	f.receiveEvacuations(balancerIP, 2, evacuations(8))
	require.False(t, f.acceptsNewFlow(t, 3), "a balancer with an older revision")
	f.receiveEvacuations(balancerIP, 3, evacuations(10, "b"))
	require.True(t, f.acceptsNewFlow(t, 4), "the evacuation has ended")
	f.receiveEvacuations(balancerIP, 4, evacuations(11, localZone))
	require.False(t, f.acceptsNewFlow(t, 5), "evacuated again")
	f.receiveEvacuations(balancerIP, 4, evacuations(12))
	require.False(t, f.acceptsNewFlow(t, 6), "a stale beacon")
}

// TestAgentInAnEvacuatedZoneReturnsAFlowWithoutCandidates: it is returned to its balancer,
// which refuses it at once.
func TestAgentInAnEvacuatedZoneReturnsAFlowWithoutCandidates(t *testing.T) {
	f := newFixture()
	f.opts.Zone = flow.TagOf(localZone)
	f.receiveEvacuations(balancerIP, 1, evacuations(9, localZone))
	f.syn(1, 0, 0)
	require.Equal(t, envelope.Returned, f.port.Last().Kind)
	require.Equal(t, balancerIP, f.port.Last().To)
	require.Empty(t, f.port.target)
}

// TestPacketsOfOpenFlowsReachATargetInAnEvacuatedZone: an evacuation must not break open
// flows.
func TestPacketsOfOpenFlowsReachATargetInAnEvacuatedZone(t *testing.T) {
	f := newFixture()
	f.opts.Zone = flow.TagOf(localZone)
	f.syn(1, 0, 0)
	f.targetSends(1, flow.SYN|flow.ACK, 500, 0)
	f.receiveEvacuations(balancerIP, 1, evacuations(9, localZone))
	before := len(f.port.target)
	f.deliver(envelope.Envelope{Service: service}, packet(keyOf(1), flow.ACK, 501, "GET / HTTP/1.1\r\n\r\n"))
	require.Len(t, f.port.target, before+1)
	require.Empty(t, f.port.Resets)
}

// TestAgentSendsEvacuationsToABalancerThatLacksThem: all balancers may have restarted while
// the store is unavailable. A balancer with the same revision is sent nothing.
func TestAgentSendsEvacuationsToABalancerThatLacksThem(t *testing.T) {
	f := newFixture()
	f.receiveEvacuations(balancerIP, 1, evacuations(9, "b"))
	f.port.Nodes = nil
	f.receiveEvacuations(balancerIP, 2, evacuations(9, "b"))
	require.Empty(t, f.port.OfKind(envelope.Evacuated))
	f.receiveEvacuations(nextIP, 1, flow.Evacuations{})
	sent := f.port.OfKind(envelope.Evacuated)
	require.Len(t, sent, 1)
	require.Equal(t, nextIP, sent[0].To)
	got, err := fleet.DecodeEvacuations(sent[0].Raw)
	require.NoError(t, err)
	require.Equal(t, evacuations(9, "b"), got)
}
