package packetfront

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/flow/envelope"
)

func TestAChangeOfStateIsAnnouncedAtOnce(t *testing.T) {
	f := newFixture()
	f.HandleNode(f.now, balancerIP, (&fleet.Beacon{MessageID: fleet.MessageID{ProcessIncarnation: 4, Seq: 1}}).Append(nil))
	f.receiveHeartbeat(true)
	a, err := fleet.DecodeAnnouncement(f.port.Last().Raw)
	require.NoError(t, err)
	require.Equal(t, fleet.Draining, a.State)
}

// TestLoadChangeIsAnnouncedEarlyInTheLocalZone: other zones get only the
// periodic announcement, which is sent each second here.
func TestLoadChangeIsAnnouncedEarlyInTheLocalZone(t *testing.T) {
	f := newFixture()
	for ip, zone := range map[flow.IPv4]flow.Tag{balancerIP: f.opts.Zone, nextIP: f.opts.Zone + 1} {
		f.receiveBeacon(ip, zone, 0)
		f.receiveBeacon(ip, zone, f.Core.seq)
	}
	f.advance(fleet.SameZonePeriod)
	f.port.Nodes = nil
	for i := range loadChangeStep {
		f.syn(i, 0, 0)
	}
	f.advance(minAnnouncePause)
	require.Len(t, f.port.Nodes, 1)
	require.Equal(t, balancerIP, f.port.Last().To)
	f.advance(fleet.SameZonePeriod)
	require.Len(t, f.port.Nodes, 3)
}

// TestTargetEndedOnlyIfItsEndIsCertain: otherwise an agent that stops is expected to restart
// soon, and its target's flows must not be taken for ended meanwhile.
func TestTargetEndedOnlyIfItsEndIsCertain(t *testing.T) {
	for name, c := range map[string]struct {
		prepare func(f *fixture)
		ended   bool
	}{
		"a target that reports":                 {func(*fixture) {}, false},
		"a target that does not answer a probe": {func(f *fixture) { f.TargetProbed(f.now, ProbeUnanswered) }, false},
		"a target that drains":                  {func(f *fixture) { f.receiveHeartbeat(true) }, false},
		"a target that has left":                {func(f *fixture) { f.Deregister(f.now, fleet.TargetIncarnation{TargetID: "i-1"}) }, true},
		"no process listens":                    {func(f *fixture) { f.TargetProbed(f.now, ProbeRefused) }, true},
		"another target started after that":     {func(f *fixture) { f.TargetProbed(f.now, ProbeRefused); f.TargetProbed(f.now, ProbeAccepted) }, false},
	} {
		f := newFixture()
		c.prepare(f)
		require.Equal(t, c.ended, f.TargetEnded(), name)
	}
}

// TestAnnouncementsToOtherZonesAreLessFrequent: each announcement carries the period of its
// receiver's zone, and a change of state is sent to all zones at once.
func TestAnnouncementsToOtherZonesAreLessFrequent(t *testing.T) {
	f := newFixture()
	const farBalancers = 8
	for i := range flow.IPv4(farBalancers) {
		f.receiveBeacon(nextIP+i, f.opts.Zone+1, 0)
		f.receiveBeacon(nextIP+i, f.opts.Zone+1, f.Core.seq)
	}
	f.receiveBeacon(balancerIP, f.opts.Zone, 0)
	f.receiveBeacon(balancerIP, f.opts.Zone, f.Core.seq)
	f.advance(10 * time.Second)
	f.port.Nodes = nil
	for range 200 {
		f.advance(tickPeriod)
	}
	counts := map[flow.IPv4]int{}
	for _, s := range f.port.Nodes {
		a, err := fleet.DecodeAnnouncement(s.Raw)
		require.NoError(t, err)
		counts[s.To]++
		want := fleet.CrossZonePeriod(farBalancers)
		if s.To == balancerIP {
			want = fleet.SameZonePeriod
		}
		require.Equal(t, want, a.Period)
	}
	require.Equal(t, 10, counts[balancerIP])
	require.Equal(t, 5, counts[nextIP])
	f.port.Nodes = nil
	f.receiveHeartbeat(true)
	require.Len(t, f.port.Nodes, farBalancers+1, "a change is announced to all at once")
}

// TestNothingIsAnnouncedBeforeTheTargetIsKnown: an agent that is removed just after its start
// must not leave an unknown state behind at the balancers.
func TestNothingIsAnnouncedBeforeTheTargetIsKnown(t *testing.T) {
	for name, c := range map[string]struct {
		learn func(f *fixture)
		want  fleet.State
	}{
		"nothing listens": {func(f *fixture) {
			f.TargetProbed(f.now, ProbeRefused)
			f.advance(unseenTimeout - 1)
			require.Empty(t, f.port.Nodes, "a target may be about to exit")
			f.advance(1)
		}, fleet.Gone},
		"no answer":  {func(f *fixture) { f.TargetProbed(f.now, ProbeUnanswered) }, fleet.Absent},
		"it listens": {func(f *fixture) { f.TargetProbed(f.now, ProbeAccepted) }, fleet.Ready},
		"it reports": {func(f *fixture) { f.receiveHeartbeat(true) }, fleet.Draining},
		"it sends":   {func(f *fixture) { f.targetSends(1, flow.ACK, 500, 10) }, fleet.Ready},
	} {
		f := newFixture()
		f.opts.Seeds = []flow.IPv4{nextIP}
		f.Core = New(f.now, f.opts, f.port, f.codec, f.events)
		f.HandleNode(f.now, balancerIP, (&fleet.Beacon{MessageID: fleet.MessageID{ProcessIncarnation: 4, Seq: 1}}).Append(nil))
		f.advance(fleet.SameZonePeriod)
		require.Empty(t, f.port.Nodes, name)
		c.learn(f)
		if f.target.up {
			require.Empty(t, f.port.Nodes, "%s: not in the registry yet", name)
			f.registered()
		}
		a, err := fleet.DecodeAnnouncement(f.port.Last().Raw)
		require.NoError(t, err, name)
		require.Equal(t, c.want, a.State, name)
	}
}

// TestAnnouncementIsSentAfterTheRegistrationTimeout: the store may be unavailable.
func TestAnnouncementIsSentAfterTheRegistrationTimeout(t *testing.T) {
	f := newFixture()
	f.opts.Seeds = []flow.IPv4{nextIP}
	f.Core = New(f.now, f.opts, f.port, f.codec, f.events)
	f.TargetProbed(f.now, ProbeAccepted)
	f.advance(registrationTimeout - 1)
	require.Empty(t, f.port.Nodes)
	f.advance(1)
	require.NotEmpty(t, f.port.Nodes)
}

// TestRegistryEntryFollowsTheTargetsState: the entry is added when the target is up and removed
// as soon as it is certain that the target has ended.
func TestRegistryEntryFollowsTheTargetsState(t *testing.T) {
	f := newFixture()
	f.Core = New(f.now, f.opts, f.port, f.codec, f.events)
	require.Equal(t, fleet.EntryUnchanged, f.WantedEntryState(f.now))
	f.TargetProbed(f.now, ProbeRefused)
	require.Equal(t, fleet.EntryUnchanged, f.WantedEntryState(f.now), "it may be about to start")
	f.now = f.now.Add(entryHoldTime + 1)
	f.TargetProbed(f.now, ProbeRefused)
	require.Equal(t, fleet.EntryAbsent, f.WantedEntryState(f.now))
	f.TargetProbed(f.now, ProbeAccepted)
	require.Equal(t, fleet.EntryPresent, f.WantedEntryState(f.now))
	f.TargetProbed(f.now, ProbeUnanswered)
	require.Equal(t, fleet.EntryPresent, f.WantedEntryState(f.now), "a target probe without an answer changes nothing")
	f.receiveHeartbeat(false)
	f.Deregister(f.now, fleet.TargetIncarnation{TargetID: "i-1"})
	require.Equal(t, fleet.EntryUnchanged, f.WantedEntryState(f.now), "it may send its last packets")
	require.True(t, f.WantsProbe(f.now))
	f.TargetProbed(f.now, ProbeRefused)
	require.Equal(t, fleet.EntryAbsent, f.WantedEntryState(f.now), "its exit was seen")
	require.False(t, f.WantsProbe(f.now))
}

// TestSilentDeregisteredTargetLeavesTheRegistry: probes of a target whose exit was
// not seen may get no answer at all.
func TestSilentDeregisteredTargetLeavesTheRegistry(t *testing.T) {
	f := newFixture()
	f.Deregister(f.now, fleet.TargetIncarnation{TargetID: "i-1"})
	f.now = f.now.Add(silenceTimeout - 1)
	f.TargetProbed(f.now, ProbeUnanswered)
	f.advance(0)
	require.Equal(t, fleet.EntryUnchanged, f.WantedEntryState(f.now))
	f.now = f.now.Add(1)
	f.TargetProbed(f.now, ProbeUnanswered)
	f.advance(0)
	require.Equal(t, fleet.EntryAbsent, f.WantedEntryState(f.now))
}

// TestFlappingTargetIsNotWrittenToTheRegistryEachTime: the entry of a target that was up only
// briefly is kept for a while. That of a target that was up for long is removed at once.
func TestFlappingTargetIsNotWrittenToTheRegistryEachTime(t *testing.T) {
	for name, c := range map[string]struct {
		up   time.Duration
		want fleet.EntryState
	}{
		"up for long": {entryHoldTime + 1, fleet.EntryAbsent},
		"up briefly":  {entryHoldTime, fleet.EntryUnchanged},
	} {
		f := newFixture()
		f.now = f.now.Add(c.up)
		f.receiveHeartbeat(false)
		f.TargetProbed(f.now, ProbeRefused)
		require.Equal(t, c.want, f.WantedEntryState(f.now), name)
		require.Equal(t, fleet.EntryAbsent, f.WantedEntryState(f.now.Add(entryHoldTime+1)), name)
	}
}

func TestOwnerMessageIsSentAfterASearch(t *testing.T) {
	f := newFixture()
	f.syn(1, 0, 0)
	f.targetSends(1, flow.SYN|flow.ACK, 500, 0)
	f.targetSends(1, flow.ACK, 500, 10)
	f.deliver(envelope.Envelope{Service: service, Flags: envelope.Search}, packet(keyOf(1), flow.ACK, 510, "x"))
	require.Equal(t, envelope.Owner, f.port.Last().Kind)
	require.Len(t, f.port.target, 2)
}

// TestRestartedAgentSendsTheOwnerMessageOnceItsTargetAnswers: only the answer shows the agent
// that its target holds the flow.
func TestRestartedAgentSendsTheOwnerMessageOnceItsTargetAnswers(t *testing.T) {
	f := restartedAgent()
	f.deliver(envelope.Envelope{Flags: envelope.Search}, packet(keyOf(1), flow.ACK, 500, ""))
	require.Len(t, f.port.target, 1)
	require.Empty(t, f.owners())
	f.targetSends(1, flow.ACK, 500, 10)
	require.Equal(t, []flow.IPv4{balancerIP}, f.owners())
	f.targetSends(1, flow.ACK, 510, 10)
	require.Len(t, f.owners(), 1, "sent once")
}

// TestDatagramOfAnotherVersionIsReported guards against a node of another version whose messages are
// misread or dropped without a trace.
func TestDatagramOfAnotherVersionIsReported(t *testing.T) {
	events := &versionEvents{}
	f := newFixture()
	f.Core = New(f.now, f.opts, f.port, platformCodec, events)
	e := envelope.Envelope{Kind: envelope.Deliver, Service: service}
	other := append(e.Append(nil), packet(keyOf(1), flow.SYN, 0, "")...)
	other[2]--
	f.HandleNode(f.now, balancerIP, other)
	require.Equal(t, []flow.IPv4{balancerIP}, events.from)
	require.Empty(t, f.port.target)
	require.Empty(t, f.port.Nodes)
}

// versionEvents records the nodes that use another version.
type versionEvents struct {
	discardEvents
	from []flow.IPv4
}

func (e *versionEvents) OtherVersion(from flow.IPv4, _ uint8) { e.from = append(e.from, from) }
