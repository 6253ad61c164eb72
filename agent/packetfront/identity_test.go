package packetfront

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/flow/envelope"
)

// quietHour lets time pass in which the agent ticks and probes as its shell does; the target accepts
// connections while listens is set.
func (f *fixture) quietHour(d time.Duration, listens bool) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(tickPeriod)
		f.Tick(f.now)
		if !f.WantsProbe(f.now) {
			continue
		}
		if listens {
			f.TargetProbed(f.now, ProbeAccepted)
		} else {
			f.TargetProbed(f.now, ProbeRefused)
		}
	}
}

// settled returns an agent whose target has reported for some time, and no client has sent anything.
func settled() *fixture {
	f := newFixture()
	for range 5 {
		f.quietHour(f.opts.HeartbeatPeriod, true)
		f.receiveHeartbeat(false)
	}
	return f
}

// TestAddressReusedAtAQuietHourGetsNoFlowOfTheFormerService guards against requests that run at a
// target of another service, which has started at the address of one that crashed while no client sent
// anything and no report was overdue.
func TestAddressReusedAtAQuietHourGetsNoFlowOfTheFormerService(t *testing.T) {
	for name, replace := range map[string]func(f *fixture){
		"the agent probes the closed port": func(f *fixture) { f.quietHour(defaultAddressReuse, false) },
		"the agent stands still": func(f *fixture) {
			f.now = f.now.Add(defaultAddressReuse)
		},
		"the port does not answer": func(f *fixture) {
			f.now = f.now.Add(defaultAddressReuse - 400*time.Millisecond)
			f.Tick(f.now)
			f.TargetProbed(f.now, ProbeUnanswered)
			f.now = f.now.Add(400 * time.Millisecond)
		},
	} {
		f := settled()
		replace(f)
		require.False(t, f.offerFlow(service), name)
		f.quietHour(time.Second, true)
		require.False(t, f.offerFlow(service), "%s: it listens", name)
		require.Equal(t, fleet.Absent, f.announcement(f.now).State, name)
		f.OtherServiceReported(f.now)
		require.False(t, f.offerFlow(service), "%s: it reports", name)
	}
}

// TestQuietHourDelaysNoFlow: the first flow after a long time without traffic is delivered at once, while
// the target reports as usual and while its reports do not arrive.
func TestQuietHourDelaysNoFlow(t *testing.T) {
	for name, reports := range map[string]bool{"it reports": true, "its reports are lost": false} {
		f := settled()
		for range 30 {
			f.quietHour(f.opts.HeartbeatPeriod, true)
			if reports {
				f.receiveHeartbeat(false)
			}
			require.True(t, f.offerFlow(service), name)
			f.target.awaitingSince = time.Time{}
		}
	}
}

// TestReportingTargetIsNotProbed guards against a connection to each target every second or two.
func TestReportingTargetIsNotProbed(t *testing.T) {
	f := newFixture()
	f.opts.HeartbeatPeriod = testHeartbeatPeriod
	for range 20 {
		f.receiveHeartbeat(false)
		for late := time.Duration(0); late < testHeartbeatPeriod+200*time.Millisecond; late += tickPeriod {
			f.now = f.now.Add(tickPeriod)
			require.False(t, f.WantsProbe(f.now))
		}
	}
}

// TestLateReportProvesNoIdentity guards against a report that a partition held up until its sender had
// crashed and another service's target had its address.
func TestLateReportProvesNoIdentity(t *testing.T) {
	for name, crash := range map[string]func(f *fixture){
		"its end was seen":     func(f *fixture) { f.quietHour(2200*time.Millisecond, false) },
		"its end was not seen": func(f *fixture) { f.now = f.now.Add(2200 * time.Millisecond) },
	} {
		f := settled()
		crash(f)
		f.OtherServiceReported(f.now)
		for range 3 {
			f.now = f.now.Add(100 * time.Millisecond)
			f.receiveHeartbeat(false)
			require.False(t, f.offerFlow(service), name)
		}
		f.now = f.now.Add(time.Second)
		f.OtherServiceReported(f.now)
		f.receiveHeartbeat(false)
		require.False(t, f.offerFlow(service), "%s: another service has reported since", name)
		f.SetService(f.now, otherService)
		f.receiveHeartbeatOf(100*time.Millisecond, "i-7", 2, false)
		f.endProbation()
		require.True(t, f.offerFlow(otherService), "%s: the new target is known by its first report", name)
	}
}

// TestReportFoundAfterAStandstillIsDatedWhenItMayHaveArrived guards against a proof that lasts longer
// because the agent stood still between the arrival of a report and its handling.
func TestReportFoundAfterAStandstillIsDatedWhenItMayHaveArrived(t *testing.T) {
	for handledLater, delivered := range map[time.Duration]bool{0: true, 500 * time.Millisecond: false} {
		f := settled()
		arrived := f.now.Add(f.opts.HeartbeatPeriod)
		f.now = arrived.Add(handledLater)
		f.seq++
		f.Core.Heartbeat(arrived, f.now, fleet.Heartbeat{TargetIncarnation: fleet.TargetIncarnation{TargetID: "i-1"}, Slots: 4, Sequence: f.seq})
		f.now = f.now.Add(1350 * time.Millisecond)
		require.Equal(t, delivered, f.offerFlow(service), handledLater)
	}
}

// TestPortThatOpensAfterTheAgentStartedWaitsForAReport guards against an agent that has restarted
// between the end of a target and the start of another service's at the address.
func TestPortThatOpensAfterTheAgentStartedWaitsForAReport(t *testing.T) {
	for name, c := range map[string]struct {
		first     Probe
		delivered bool
	}{"listened at the agent's start": {ProbeAccepted, true}, "opened later": {ProbeRefused, false}} {
		f := newFixture()
		f.Core = New(f.now, f.opts, f.port, f.codec, f.events)
		f.TargetProbed(f.now, c.first)
		f.now = f.now.Add(300 * time.Millisecond)
		f.TargetProbed(f.now, ProbeAccepted)
		f.registered()
		require.Equal(t, c.delivered, f.offerFlow(service), name)
		f.receiveHeartbeatOf(0, "i-3", 1, false)
		require.True(t, f.offerFlow(service), name)
	}
}

// TestUnprovenTargetKeepsItsOpenFlows guards against flows that are cut because the proof of the
// target's identity expired.
func TestUnprovenTargetKeepsItsOpenFlows(t *testing.T) {
	f := settled()
	f.openFlow(1, routeEnvelope(2), 0)
	f.sendRequest(1)
	f.sendAnswer(1)
	f.now = f.now.Add(3 * time.Second)
	require.False(t, f.offerFlow(service))
	f.deliver(envelope.Envelope{}, packet(keyOf(1), flow.ACK, 511, "another"))
	require.Len(t, f.deliveredRequests(), 2)
	f.quietHour(time.Second, true)
	f.receiveHeartbeat(false)
	f.quietHour(f.opts.HeartbeatPeriod, true)
	f.receiveHeartbeat(false)
	require.True(t, f.offerFlow(service), "two reports prove that it is the former target")
}

// TestMessagesFromBeforeAStandstillAreDatedBeforeIt covers a process that stood still.
func TestMessagesFromBeforeAStandstillAreDatedBeforeIt(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var s standstill
	require.Equal(t, at(0), s.earliest(at(0)), "no tick yet")
	for ms := 0; ms <= 1000; ms += 50 {
		s.tick(at(ms))
		require.Equal(t, at(ms+40), s.earliest(at(ms+40)))
	}
	require.Equal(t, at(1000), s.earliest(at(2500)), "before the first tick after it")
	s.tick(at(2500))
	s.tick(at(2550))
	require.Equal(t, at(1000), s.earliest(at(2600)))
	for ms := 2600; ms <= 3000; ms += 50 {
		s.tick(at(ms))
	}
	require.Equal(t, at(3001), s.earliest(at(3001)), "what came meanwhile has been handled")
}
