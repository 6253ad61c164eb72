package packetfront

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/flow/envelope"
)

// acknowledgeHandshake delivers the packet with which a client ends the handshake of a flow that
// openFlow opened.
func (f *fixture) acknowledgeHandshake(client int) {
	f.deliver(envelope.Envelope{}, packet(keyOf(client), flow.ACK, 500, ""))
}

// advanceInTicks lets time pass with a tick every second.
func (f *fixture) advanceInTicks(d time.Duration) {
	for ; d > time.Second; d -= time.Second {
		f.advance(time.Second)
	}
	f.advance(d)
}

// TestFlowThatPausesBeforeItsFirstRequestIsServed guards against a record that expires before the
// flow's idle time has passed: the agent would deny a flow that its target holds, and its client
// would be reset.
func TestFlowThatPausesBeforeItsFirstRequestIsServed(t *testing.T) {
	for name, handshake := range map[string]func(f *fixture){
		"the client has acknowledged the handshake": func(f *fixture) { f.acknowledgeHandshake(1) },
		// The target holds the flow half open, and the request ends the handshake.
		"its acknowledgement was lost": func(*fixture) {},
	} {
		for _, pause := range []time.Duration{4 * time.Second, 7 * time.Second, 15 * time.Second, 59 * time.Second} {
			f := newFixture()
			f.openFlow(1, routeEnvelope(2), 0)
			handshake(f)
			f.advanceInTicks(pause)
			f.sendRequest(1)
			require.Equal(t, []int{1}, f.deliveredRequests(), "%s, after %v", name, pause)
			f.sendAnswer(1)
			f.advanceInTicks(pause)
			f.sendRequest(1)
			require.Len(t, f.deliveredRequests(), 2, "%s, between two requests, after %v", name, pause)
		}
	}
}

// TestRecordOutlivesTheFlowAtItsTarget guards against a timer that removes a record while the
// target may hold the flow, in whichever stage.
func TestRecordOutlivesTheFlowAtItsTarget(t *testing.T) {
	stages := map[stage]func(f *fixture){
		halfOpen:     func(*fixture) {},
		acknowledged: func(f *fixture) { f.acknowledgeHandshake(1) },
		open:         func(f *fixture) { f.targetSends(1, flow.ACK, 501, 0) },
	}
	for s, reach := range stages {
		f := newFixture()
		f.openFlow(1, routeEnvelope(2), 0)
		reach(f)
		require.Equal(t, s, f.flows.get(keyOf(1)).stage)
		f.advanceInTicks(f.opts.FlowTTL - time.Second)
		require.NotNil(t, f.flows.get(keyOf(1)), s)
		f.advanceInTicks(3 * time.Second)
		require.Nil(t, f.flows.get(keyOf(1)), "%s: the table does not grow without bound", s)
	}
}

// TestFlowThatPausesIsResetWhenItsTargetEnds guards against a client that learns only from its
// first request, seconds later, that the target of its open flow has ended.
func TestFlowThatPausesIsResetWhenItsTargetEnds(t *testing.T) {
	f := newFixture()
	f.openFlow(1, routeEnvelope(2), 0)
	f.acknowledgeHandshake(1)
	f.openFlow(2, routeEnvelope(2), 0)
	f.advanceInTicks(7 * time.Second)
	f.receiveHeartbeat(false)
	f.TargetProbed(f.now, ProbeRefused)
	require.Equal(t, []flow.Key{keyOf(1)}, f.port.Resets, "the client of the other flow may have chosen another target")
}

// TestFlowThatPausesIsServedAcrossChanges guards against conclusions from an absent record: during
// the pause the agent restarts, its target drains, or other flows fill the table.
func TestFlowThatPausesIsServedAcrossChanges(t *testing.T) {
	for name, change := range map[string]func(f *fixture){
		"the agent restarts":                 func(f *fixture) { f.restartAgent() },
		"it restarts and has not probed yet": func(f *fixture) { f.Core = New(f.now, f.opts, f.port, f.codec, f.events) },
		"the target drains":                  func(f *fixture) { f.receiveHeartbeat(true) },
		"the table overflows": func(f *fixture) {
			for i := range maxFlows + 1 {
				f.flows.ensure(f.now, keyOf(100+i))
			}
		},
		"the settings name another service":  func(f *fixture) { f.SetService(f.now, otherService) },
		"another service's report arrives":   func(f *fixture) { f.OtherServiceReported(f.now) },
		"an unknown target's report arrives": func(f *fixture) { f.receiveHeartbeatOf(0, "i-9", 1, true) },
		"a probe goes unanswered":            func(f *fixture) { f.TargetProbed(f.now, ProbeUnanswered) },
		"the zone is evacuated": func(f *fixture) {
			f.opts.Zone = flow.TagOf(localZone)
			f.receiveEvacuations(balancerIP, 1, evacuations(9, localZone))
		},
	} {
		f := newFixture()
		f.openFlow(1, routeEnvelope(2), 0)
		f.acknowledgeHandshake(1)
		f.advanceInTicks(4 * time.Second)
		change(f)
		f.advanceInTicks(4 * time.Second)
		f.port.target = nil
		f.sendRequest(1)
		require.Equal(t, []int{1}, f.deliveredRequests(), name)
	}
}

// TestBouncedAcknowledgementIsPassedOn: a target that does not hold the flow half open any more
// bounces the end of the handshake; its agent must not take the flow for one that was open there.
func TestBouncedAcknowledgementIsPassedOn(t *testing.T) {
	f := newFixture()
	f.openFlow(1, routeEnvelope(2), 0)
	e := envelope.Envelope{Service: service}
	e.SetCandidates([]flow.IPv4{nextIP})
	f.deliver(e, packet(keyOf(1), flow.ACK, 500, ""))
	f.bounce()
	require.Equal(t, nextIP, f.port.Last().To)
	require.Empty(t, f.port.Resets)
	require.Nil(t, f.flows.get(keyOf(1)))
	require.Equal(t, fleet.Ready, f.target.state())
}

// TestRequestAfterAPauseIsNotWithheld guards against a deadline that counts from the handshake for a
// request that its client sent later: packets without data during the pause are not the request.
func TestRequestAfterAPauseIsNotWithheld(t *testing.T) {
	for name, during := range map[string]func(f *fixture){
		"the client repeats its acknowledgement": func(f *fixture) { f.acknowledgeHandshake(1) },
		"the target repeats its SYN+ACK":         func(f *fixture) { f.targetSends(1, flow.SYN|flow.ACK, 500, 0) },
		"the target sends without data":          func(f *fixture) { f.targetSends(1, flow.ACK, 501, 0) },
	} {
		f := newFixture()
		f.openFlow(1, routeEnvelope(2), 0)
		f.acknowledgeHandshake(1)
		for range 14 {
			f.advance(500 * time.Millisecond)
			during(f)
		}
		f.sendRequest(1)
		require.Equal(t, []int{1}, f.deliveredRequests(), name)
		require.Zero(t, f.counts.withheld, name)
	}
}

// TestLateReportsAfterARestartDenyNoFlow guards against a restarted agent that takes the target which
// ran before it for one that it saw start, because late reports of a former one arrive first.
func TestLateReportsAfterARestartDenyNoFlow(t *testing.T) {
	for name, reports := range map[string]func(f *fixture){
		"a heartbeat": func(f *fixture) {
			require.True(t, f.receiveHeartbeatFrom(0, firstIncarnation, 300, true))
		},
		"a heartbeat and the deregistration": func(f *fixture) {
			require.True(t, f.receiveHeartbeatFrom(0, firstIncarnation, 300, true))
			f.Deregister(f.now, firstIncarnation)
		},
	} {
		f := newFixture()
		f.restartAgent()
		reports(f)
		f.TargetProbed(f.now, ProbeAccepted)
		for i := range uint64(3) {
			f.receiveHeartbeatFrom(testHeartbeatPeriod, secondIncarnation, 40+i, false)
		}
		require.Equal(t, secondIncarnation, f.target.incarnation, name)
		f.registered()
		f.port.target = nil
		f.sendRequest(1)
		require.Equal(t, []int{1}, f.deliveredRequests(), name)
	}
}
