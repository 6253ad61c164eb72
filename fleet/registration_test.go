package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestARegisteredTargetWithoutFlowsMayHaveStarted: the announcement of its start may be lost,
// so a search probes the target while its agent is not overdue, and again after its agent
// was replaced or was overdue.
func TestARegisteredTargetWithoutFlowsMayHaveStarted(t *testing.T) {
	registered := []Entry{{IP: ip1, ProcessIncarnation: 1}}
	gone := func(incarnation uint64, seq uint32) Announcement { return announcement(incarnation, seq, alpha, Gone) }
	overdueAt := start.Add(OverdueAfter + time.Second)
	for name, c := range map[string]struct {
		do      func(v *View) (now time.Time)
		mayHold bool
		begins  bool
	}{
		"not registered":         {func(*View) time.Time { return start }, false, false},
		"registered":             {func(v *View) time.Time { v.ApplySnapshot(start, start, registered); return start }, true, true},
		"registered and overdue": {func(v *View) time.Time { v.ApplySnapshot(start, start, registered); return overdueAt }, false, true},
		"no longer registered": {func(v *View) time.Time {
			v.ApplySnapshot(start, start, registered)
			v.ApplySnapshot(start, start, nil)
			return start
		}, false, true},
		"replaced process": {func(v *View) time.Time {
			v.ApplySnapshot(start, start, registered)
			g := v.Generation()
			v.ApplyAnnouncement(start, ip1, gone(2, 1))
			require.NotEqual(t, g, v.Generation())
			return start
		}, true, true},
		"seen again after being overdue": {func(v *View) time.Time {
			v.ApplySnapshot(start, start, registered)
			g := v.Generation()
			v.ApplyAnnouncement(overdueAt, ip1, gone(1, 2))
			require.NotEqual(t, g, v.Generation())
			return overdueAt
		}, true, true},
		"seen": {func(v *View) time.Time {
			v.ApplySnapshot(start, start, registered)
			g := v.Generation()
			v.ApplyAnnouncement(start, ip1, gone(1, 2))
			require.Equal(t, g, v.Generation())
			return start
		}, true, true},
		"expired and back": {func(v *View) time.Time {
			v.ApplySnapshot(start, start, registered)
			v.Expire(start.Add(ExpireAfter + 1))
			v.ApplyAnnouncement(overdueAt, ip1, gone(1, 2))
			return overdueAt
		}, true, true},
	} {
		v := NewView()
		v.ApplyAnnouncement(start, ip1, gone(1, 1))
		g := v.Generation()
		now := c.do(v)
		target, _ := v.Target(ip1)
		require.Equal(t, c.mayHold, target.MayHoldFlows(now), name)
		require.Equal(t, c.begins, v.Generation() != g, name)
	}
}

// TestRegistrationTimeRestartsWithEachProcess: each process incarnation registers again.
func TestRegistrationTimeRestartsWithEachProcess(t *testing.T) {
	v := NewView()
	second := func(n int) time.Time { return start.Add(time.Duration(n) * time.Second) }
	for i, c := range []struct {
		incarnation uint64
		listing     Registration
		// since is the second at which it first announced that it is registered; negative if
		// it is not.
		since int
	}{
		{1, RegistrationUnknown, -1}, {1, RegistrationPresent, 1}, {1, RegistrationPresent, 1}, {1, RegistrationUnknown, -1}, {1, RegistrationPresent, 4}, {2, RegistrationPresent, 5},
		{2, RegistrationRemoved, -1},
	} {
		a := announcement(c.incarnation, uint32(i+1), alpha, Ready)
		a.Registration = c.listing
		v.ApplyAnnouncement(second(i), ip1, a)
		target, _ := v.Target(ip1)
		require.Equal(t, c.since >= 0, target.RegisteredAfter(second(c.since-1)), i)
		require.False(t, target.RegisteredAfter(second(max(c.since, i))), i)
	}
}

// TestOlderSnapshotDoesNotRestoreARemovedEntry: a snapshot whose read ended before the agent
// announced the removal of its entry may still contain the entry.
func TestOlderSnapshotDoesNotRestoreARemovedEntry(t *testing.T) {
	registered := []Entry{{IP: ip1, ProcessIncarnation: 1}}
	for name, c := range map[string]struct {
		announced, latest time.Duration
		listing           Registration
		mayHold           bool
	}{
		"removal announced after the read ended":  {1, 0, RegistrationRemoved, false},
		"removal announced at the same time":      {1, 1, RegistrationRemoved, false},
		"removal announced before the read ended": {0, 1, RegistrationRemoved, true},
		"registration unknown":                    {1, 0, RegistrationUnknown, true},
		"entry left behind":                       {1, 0, RegistrationAbandoned, false},
	} {
		for _, readFirst := range []bool{true, false} {
			v := NewView()
			a := announcement(1, 1, alpha, Gone)
			a.Registration = c.listing
			if readFirst {
				v.ApplySnapshot(start.Add(c.latest), start.Add(c.latest), registered)
			}
			v.ApplyAnnouncement(start.Add(c.announced), ip1, a)
			v.ApplySnapshot(start.Add(2), start.Add(c.latest), registered)
			target, _ := v.Target(ip1)
			require.Equal(t, c.mayHold, target.MayHoldFlows(start.Add(2)), name)
		}
	}
}

// TestEntryOfAStoppedAgentIsNoNewProcess: an entry that the stopped agent itself left behind
// does not indicate a new process at its address.
func TestEntryOfAStoppedAgentIsNoNewProcess(t *testing.T) {
	for name, c := range map[string]struct {
		listed  []Entry
		mayLive bool
		entry   Entry
	}{
		"its own entry":            {[]Entry{{IP: ip1, ProcessIncarnation: 7}}, false, Entry{IP: ip1, ProcessIncarnation: 7}},
		"entry of another process": {[]Entry{{IP: ip1, ProcessIncarnation: 6}}, true, Entry{IP: ip1, ProcessIncarnation: 6}},
		"no entry":                 {nil, false, Entry{IP: ip1, ProcessIncarnation: 7}},
		"entry of another VM":      {[]Entry{{IP: ip2, ProcessIncarnation: 7}}, false, Entry{IP: ip1, ProcessIncarnation: 7}},
	} {
		v := NewView()
		a := announcement(7, 1, alpha, Gone)
		a.Registration = RegistrationAbandoned
		v.ApplyAnnouncement(start, ip1, a)
		v.ApplySnapshot(start, start, c.listed)
		target, _ := v.Target(ip1)
		require.False(t, target.MayHoldFlows(start), name)
		require.Equal(t, c.mayLive, v.MayHaveRestarted(target), name)
		require.Equal(t, c.entry, v.AbandonedEntry(target), name)
	}
}
