package packetfront

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/poppywall/poppywall/fleet"
)

// receiveHeartbeatOf delivers a heartbeat without a start time after a pause.
func (f *fixture) receiveHeartbeatOf(after time.Duration, id string, sequence uint64, draining bool) {
	f.receiveHeartbeatFrom(after, fleet.TargetIncarnation{TargetID: id}, sequence, draining)
}

// restartedAgent returns an agent whose target was running before the agent started.
func restartedAgent() *fixture {
	f := newFixture()
	f.Core = New(f.now, f.opts, f.port, f.codec, f.events)
	f.TargetProbed(f.now, ProbeAccepted)
	return f
}

// TestDelayedHeartbeatsOfAFormerTargetAreIgnored: a heartbeat delayed by a network partition
// arrives after its sender has ended and its successor has reported.
func TestDelayedHeartbeatsOfAFormerTargetAreIgnored(t *testing.T) {
	for name, c := range map[string]struct {
		restarted bool
		late      func(f *fixture)
	}{
		"the former target":                                   {late: func(f *fixture) { f.receiveHeartbeatOf(100*time.Millisecond, "i-1", 50, true) }},
		"the former target, with a low sequence":              {late: func(f *fixture) { f.receiveHeartbeatOf(time.Second, "i-1", 4, true) }},
		"the former target, while the present one is overdue": {late: func(f *fixture) { f.receiveHeartbeatOf(1600*time.Millisecond, "i-1", 4, true) }},
		"two targets before": {late: func(f *fixture) {
			f.receiveHeartbeatOf(2*time.Second, "i-3", 1, false)
			f.receiveHeartbeatOf(100*time.Millisecond, "i-1", 50, true)
		}},
		"not known to a restarted agent": {restarted: true, late: func(f *fixture) { f.receiveHeartbeatOf(100*time.Millisecond, "i-0", 50, true) }},
		"its deregistration":             {late: func(f *fixture) { f.Deregister(f.now, fleet.TargetIncarnation{TargetID: "i-1"}) }},
	} {
		f := newFixture()
		if c.restarted {
			f = restartedAgent()
		}
		f.receiveHeartbeatOf(2*time.Second, "i-2", 3, false)
		present := f.target.incarnation.TargetID
		c.late(f)
		if name == "two targets before" {
			present = "i-3"
		}
		require.Equal(t, present, f.target.incarnation.TargetID, name)
		require.Equal(t, fleet.Ready, f.target.state(), name)
	}
}

// TestLateReportDoesNotEndADrain guards against new flows at a draining target because a report of
// one that crashed unheard arrives late: targets that do not report their start have IDs without
// order, and its sequence is that of one that has just started.
func TestLateReportDoesNotEndADrain(t *testing.T) {
	for name, late := range map[string][]uint64{"one report": {1}, "a report and its repetitions": {1, 2, 3}} {
		f := newFixture()
		f.receiveHeartbeatOf(2*time.Second, "i-2", 1, false)
		f.receiveHeartbeatOf(time.Second, "i-2", 2, true)
		for i := range uint64(4) {
			f.receiveHeartbeatOf(500*time.Millisecond, "i-2", 3+2*i, true)
			for _, sequence := range late {
				require.False(t, f.receiveHeartbeatFrom(10*time.Millisecond, fleet.TargetIncarnation{TargetID: "i-0"}, sequence, false), name)
			}
			require.Equal(t, fleet.Draining, f.target.state(), name)
			f.receiveHeartbeatOf(500*time.Millisecond, "i-2", 4+2*i, true)
			require.Equal(t, "i-2", f.target.incarnation.TargetID, name)
		}
	}
}

// TestUnknownReportMakesTheTargetSuspectedCold guards against a full load for a target that has
// restarted unseen and whose first report is taken for a late one.
func TestUnknownReportMakesTheTargetSuspectedCold(t *testing.T) {
	f := newSettledFixture()
	require.False(t, f.isCold(f.now))
	f.receiveHeartbeatOf(100*time.Millisecond, "i-2", 1, false)
	require.Equal(t, "i-1", f.target.incarnation.TargetID)
	require.True(t, f.isCold(f.now))
	f.now = f.now.Add(time.Second)
	f.receiveHeartbeat(false)
	require.False(t, f.isCold(f.now), "the current target continues to report")
}

// TestCurrentTargetIsAcceptedAgainAfterALateReportDisplacedIt: a late heartbeat of a former
// target may displace the current one, which is accepted again because it continues to
// report.
func TestCurrentTargetIsAcceptedAgainAfterALateReportDisplacedIt(t *testing.T) {
	f := restartedAgent()
	f.receiveHeartbeatOf(0, "i-2", 30, false)
	// The current target is overdue, and the sequence so low that the sender may have started since.
	f.receiveHeartbeatOf(1600*time.Millisecond, "i-1", 2, false)
	require.Equal(t, "i-1", f.target.incarnation.TargetID)
	f.receiveHeartbeatOf(100*time.Millisecond, "i-2", 31, true)
	f.receiveHeartbeatOf(time.Second, "i-2", 32, true)
	require.Equal(t, "i-2", f.target.incarnation.TargetID)
	require.Equal(t, fleet.Draining, f.target.state())
	require.False(t, f.target.sawStart, "the target may hold flows from before")
}

// TestSawStartRequiresTheEndOfTheFormerTarget: the order of two IDs is unknown, so that
// unless the end of the former target was seen, packets of unknown flows go to the target.
func TestSawStartRequiresTheEndOfTheFormerTarget(t *testing.T) {
	for name, c := range map[string]struct {
		end      func(f *fixture)
		sawStart bool
	}{
		"its end was not seen": {end: func(*fixture) {}, sawStart: false},
		"it left":              {end: func(f *fixture) { f.Deregister(f.now, fleet.TargetIncarnation{TargetID: "i-1"}) }, sawStart: true},
		"refused, then accepted": {end: func(f *fixture) {
			f.TargetProbed(f.now, ProbeRefused)
			f.TargetProbed(f.now, ProbeAccepted)
		}, sawStart: true},
	} {
		f := newFixture()
		c.end(f)
		f.receiveHeartbeatOf(2*time.Second, "i-2", 1, false)
		require.Equal(t, "i-2", f.target.incarnation.TargetID, name)
		require.Equal(t, c.sawStart, f.target.sawStart, name)
	}
}

// TestCurrentTargetIsKnownWithinThreeHeartbeats replaces targets while heartbeats of former
// ones arrive late at any time; after three undisturbed heartbeats the current target must
// be the known one.
func TestCurrentTargetIsKnownWithinThreeHeartbeats(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture()
		type sender struct {
			id       string
			sequence uint64
		}
		senders := []sender{{"i-1", f.seq}}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			last := &senders[len(senders)-1]
			switch rapid.SampledFrom([]string{"beat", "late", "replaced"}).Draw(t, "step") {
			case "beat":
				last.sequence++
				f.receiveHeartbeatOf(time.Second, last.id, last.sequence, false)
			case "late":
				old := &senders[rapid.IntRange(0, len(senders)-1).Draw(t, "target")]
				if old != last {
					old.sequence++
					f.receiveHeartbeatOf(10*time.Millisecond, old.id, old.sequence, true)
				}
			case "replaced":
				senders = append(senders, sender{"i-" + string(rune('1'+len(senders))), 1})
				f.receiveHeartbeatOf(time.Second, senders[len(senders)-1].id, 1, false)
			}
		}
		last := &senders[len(senders)-1]
		for range 3 {
			last.sequence++
			f.receiveHeartbeatOf(time.Second, last.id, last.sequence, false)
		}
		require.Equal(t, last.id, f.target.incarnation.TargetID)
		require.Equal(t, fleet.Ready, f.target.state())
	})
}
