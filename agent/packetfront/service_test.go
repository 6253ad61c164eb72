package packetfront

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/flow/envelope"
)

// offerFlow delivers the SYN of a new flow of a service and reports whether the target got it.
func (f *fixture) offerFlow(s flow.ServiceID) bool {
	f.client++
	before := len(f.port.target)
	e := envelope.Envelope{Service: s}
	e.SetCandidates([]flow.IPv4{nextIP})
	f.deliver(e, packet(keyOf(1000+f.client), flow.SYN, 0, ""))
	return len(f.port.target) > before
}

// TestTargetThatHasNotReportedGetsNoFlowsOfTheFormerService guards against requests of a service that
// run at a target of another one, which has started at the address of a target that is gone.
func TestTargetThatHasNotReportedGetsNoFlowsOfTheFormerService(t *testing.T) {
	crash := func(f *fixture) {
		f.TargetProbed(f.now, ProbeRefused)
		f.advance(2500 * time.Millisecond)
	}
	for name, replace := range map[string]func(f *fixture){
		"it only listens": func(f *fixture) { crash(f); f.TargetProbed(f.now, ProbeAccepted) },
		"its report was refused": func(f *fixture) {
			crash(f)
			f.OtherServiceReported(f.now)
			f.TargetProbed(f.now, ProbeAccepted)
		},
		"its start was not seen": func(f *fixture) { f.advance(2 * time.Second); f.OtherServiceReported(f.now) },
		"the settings name the new service": func(f *fixture) {
			crash(f)
			f.SetService(f.now, otherService)
			f.TargetProbed(f.now, ProbeAccepted)
		},
		"the settings name the new service before the former target ends": func(f *fixture) { f.SetService(f.now, otherService) },
	} {
		f := newFixture()
		require.True(t, f.offerFlow(service), name)
		f.target.sawStart = false
		replace(f)
		f.endProbation()
		for _, s := range []flow.ServiceID{service, otherService} {
			require.False(t, f.offerFlow(s), "%s, service %d", name, s)
		}
		require.Equal(t, fleet.Absent, f.announcement(f.now).State, name)
		if !f.target.sawStart {
			f.sendRequest(1)
			require.Equal(t, []int{1}, f.deliveredRequests(), "%s: the process may hold open flows", name)
		}
		f.now = f.now.Add(2 * time.Second)
		f.receiveHeartbeatOf(0, "i-9", 1, false)
		require.True(t, f.offerFlow(f.opts.Service), "%s: it has reported", name)
		require.Equal(t, f.opts.Service, f.announcement(f.now).Service, name)
	}
}

// TestLateReportOfAnotherServiceDoesNotKeepNewFlowsAway: the current target continues to report.
func TestLateReportOfAnotherServiceDoesNotKeepNewFlowsAway(t *testing.T) {
	f := newFixture()
	f.OtherServiceReported(f.now)
	require.True(t, f.offerFlow(service))
	f.now = f.now.Add(2 * f.opts.HeartbeatPeriod)
	f.OtherServiceReported(f.now)
	require.False(t, f.offerFlow(service), "the current target is overdue")
	f.receiveHeartbeat(false)
	require.False(t, f.offerFlow(service), "its report may be a late one")
	f.now = f.now.Add(f.opts.HeartbeatPeriod)
	f.receiveHeartbeat(false)
	require.True(t, f.offerFlow(service))
}

// TestChangeOfServiceIsAnnouncedAtOnce: balancers must not send the former service's flows until the
// next periodic announcement.
func TestChangeOfServiceIsAnnouncedAtOnce(t *testing.T) {
	f := newFixture()
	f.receiveBeacon(balancerIP, 0, 0)
	f.TargetProbed(f.now, ProbeRefused)
	f.port.Nodes = nil
	f.SetService(f.now, otherService)
	a, err := fleet.DecodeAnnouncement(f.port.OfKind(envelope.Announce)[0].Raw)
	require.NoError(t, err)
	require.Equal(t, otherService, a.Service)
}

// TestServiceOfEqualShortHashIsRefused guards against requests of a service that run at another one's
// target because a short hash of the two names is the same.
func TestServiceOfEqualShortHashIsRefused(t *testing.T) {
	f := newFixture()
	own, other := flow.ServiceIDOf("gojo24a"), flow.ServiceIDOf("huzu17b")
	f.SetService(f.now, own)
	f.receiveHeartbeatOf(2*time.Second, "i-2", 1, false)
	require.True(t, f.offerFlow(own))
	require.False(t, f.offerFlow(other))
	f.SetService(f.now, other)
	require.False(t, f.offerFlow(own), "a change of the settings between them counts")
}
