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
	registered := []Entry{{IP: ip1, Epoch: 1}}
	gone := func(incarnation uint64, seq uint32) Announcement { return announcement(incarnation, seq, alpha, Gone) }
	overdueAt := start.Add(Quiet + time.Second)
	for name, c := range map[string]struct {
		do      func(v *View) (now time.Time)
		mayHold bool
		begins  bool
	}{
		"not registered":         {func(*View) time.Time { return start }, false, false},
		"registered":             {func(v *View) time.Time { v.List(start, start, registered); return start }, true, true},
		"registered and overdue": {func(v *View) time.Time { v.List(start, start, registered); return overdueAt }, false, true},
		"no longer registered": {func(v *View) time.Time {
			v.List(start, start, registered)
			v.List(start, start, nil)
			return start
		}, false, true},
		"replaced process": {func(v *View) time.Time {
			v.List(start, start, registered)
			g := v.Generation()
			v.Announce(start, ip1, gone(2, 1))
			require.NotEqual(t, g, v.Generation())
			return start
		}, true, true},
		"seen again after being overdue": {func(v *View) time.Time {
			v.List(start, start, registered)
			g := v.Generation()
			v.Announce(overdueAt, ip1, gone(1, 2))
			require.NotEqual(t, g, v.Generation())
			return overdueAt
		}, true, true},
		"seen": {func(v *View) time.Time {
			v.List(start, start, registered)
			g := v.Generation()
			v.Announce(start, ip1, gone(1, 2))
			require.Equal(t, g, v.Generation())
			return start
		}, true, true},
		"expired and back": {func(v *View) time.Time {
			v.List(start, start, registered)
			v.Expire(start.Add(Forget + 1))
			v.Announce(overdueAt, ip1, gone(1, 2))
			return overdueAt
		}, true, true},
	} {
		v := NewView()
		v.Announce(start, ip1, gone(1, 1))
		g := v.Generation()
		now := c.do(v)
		target, _ := v.Target(ip1)
		require.Equal(t, c.mayHold, target.MayHold(now), name)
		require.Equal(t, c.begins, v.Generation() != g, name)
	}
}

// TestRegistrationTimeRestartsWithEachProcess: each process incarnation registers again.
func TestRegistrationTimeRestartsWithEachProcess(t *testing.T) {
	v := NewView()
	second := func(n int) time.Time { return start.Add(time.Duration(n) * time.Second) }
	for i, c := range []struct {
		incarnation uint64
		listing     Listing
		// since is the second at which it first announced that it is registered; negative if
		// it is not.
		since int
	}{
		{1, ListingUnknown, -1}, {1, ListingThere, 1}, {1, ListingThere, 1}, {1, ListingUnknown, -1}, {1, ListingThere, 4}, {2, ListingThere, 5},
		{2, ListingTakenAway, -1},
	} {
		a := announcement(c.incarnation, uint32(i+1), alpha, Ready)
		a.Listing = c.listing
		v.Announce(second(i), ip1, a)
		target, _ := v.Target(ip1)
		require.Equal(t, c.since >= 0, target.RegisteredSince(second(c.since-1)), i)
		require.False(t, target.RegisteredSince(second(max(c.since, i))), i)
	}
}

// TestOlderSnapshotDoesNotRestoreARemovedEntry: a snapshot whose read began before the agent
// reported the removal of its entry may still contain the entry.
func TestOlderSnapshotDoesNotRestoreARemovedEntry(t *testing.T) {
	registered := []Entry{{IP: ip1, Epoch: 1}}
	for name, c := range map[string]struct {
		announced, began time.Duration
		listing          Listing
		mayHold          bool
	}{
		"removal announced after the read began":  {1, 0, ListingTakenAway, false},
		"removal announced at the same time":      {1, 1, ListingTakenAway, false},
		"removal announced before the read began": {0, 1, ListingTakenAway, true},
		"registration unknown":                    {1, 0, ListingUnknown, true},
		"entry left behind":                       {1, 0, ListingLeft, false},
	} {
		for _, readFirst := range []bool{true, false} {
			v := NewView()
			a := announcement(1, 1, alpha, Gone)
			a.Listing = c.listing
			if readFirst {
				v.List(start.Add(c.began), start.Add(c.began), registered)
			}
			v.Announce(start.Add(c.announced), ip1, a)
			v.List(start.Add(2), start.Add(c.began), registered)
			target, _ := v.Target(ip1)
			require.Equal(t, c.mayHold, target.MayHold(start.Add(2)), name)
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
		"its own entry":            {[]Entry{{IP: ip1, Epoch: 7}}, false, Entry{IP: ip1, Epoch: 7}},
		"entry of another process": {[]Entry{{IP: ip1, Epoch: 6}}, true, Entry{IP: ip1, Epoch: 6}},
		"no entry":                 {nil, false, Entry{IP: ip1, Epoch: 7}},
		"entry of another VM":      {[]Entry{{IP: ip2, Epoch: 7}}, false, Entry{IP: ip1, Epoch: 7}},
	} {
		v := NewView()
		a := announcement(7, 1, alpha, Gone)
		a.Listing = ListingLeft
		v.Announce(start, ip1, a)
		v.List(start, start, c.listed)
		target, _ := v.Target(ip1)
		require.False(t, target.MayHold(start), name)
		require.Equal(t, c.mayLive, v.MayLive(target), name)
		require.Equal(t, c.entry, v.EntryOf(target), name)
	}
}
