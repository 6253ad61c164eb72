package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestARegisteredTargetWithoutFlowsMayHaveStarted: the message that says so may be
// lost, so it is asked while its agent is heard, again when its agent is another
// one or was silent.
func TestARegisteredTargetWithoutFlowsMayHaveStarted(t *testing.T) {
	listed := []Entry{{IP: ip1, Epoch: 1}}
	gone := func(epoch uint64, seq uint32) Announcement { return announcement(epoch, seq, alpha, Gone) }
	silent := start.Add(Quiet + time.Second)
	for name, c := range map[string]struct {
		do      func(v *View) (now time.Time)
		mayHold bool
		begins  bool
	}{
		"not registered":        {func(*View) time.Time { return start }, false, false},
		"registered":            {func(v *View) time.Time { v.List(start, start, listed); return start }, true, true},
		"registered and silent": {func(v *View) time.Time { v.List(start, start, listed); return silent }, false, true},
		"no longer registered": {func(v *View) time.Time {
			v.List(start, start, listed)
			v.List(start, start, nil)
			return start
		}, false, true},
		"of another process": {func(v *View) time.Time {
			v.List(start, start, listed)
			g := v.Generation()
			v.Announce(start, ip1, gone(2, 1))
			require.NotEqual(t, g, v.Generation())
			return start
		}, true, true},
		"heard again": {func(v *View) time.Time {
			v.List(start, start, listed)
			g := v.Generation()
			v.Announce(silent, ip1, gone(1, 2))
			require.NotEqual(t, g, v.Generation())
			return silent
		}, true, true},
		"heard": {func(v *View) time.Time {
			v.List(start, start, listed)
			g := v.Generation()
			v.Announce(start, ip1, gone(1, 2))
			require.Equal(t, g, v.Generation())
			return start
		}, true, true},
		"forgotten and back": {func(v *View) time.Time {
			v.List(start, start, listed)
			v.Expire(start.Add(Forget + 1))
			v.Announce(silent, ip1, gone(1, 2))
			return silent
		}, true, true},
	} {
		v := NewView()
		v.Announce(start, ip1, gone(1, 1))
		g := v.Generation()
		now := c.do(v)
		h, _ := v.Target(ip1)
		require.Equal(t, c.mayHold, h.MayHold(now), name)
		require.Equal(t, c.begins, v.Generation() != g, name)
	}
}

// TestSinceWhenAnAgentIsHeardToBeRegistered: each process registers anew.
func TestSinceWhenAnAgentIsHeardToBeRegistered(t *testing.T) {
	v := NewView()
	second := func(n int) time.Time { return start.Add(time.Duration(n) * time.Second) }
	for i, c := range []struct {
		epoch   uint64
		listing Listing
		// since is the second from which on it is heard to be there, none below zero.
		since int
	}{
		{1, ListingUnknown, -1}, {1, ListingThere, 1}, {1, ListingThere, 1}, {1, ListingUnknown, -1}, {1, ListingThere, 4}, {2, ListingThere, 5},
		{2, ListingTakenAway, -1},
	} {
		a := announcement(c.epoch, uint32(i+1), alpha, Ready)
		a.Listing = c.listing
		v.Announce(second(i), ip1, a)
		h, _ := v.Target(ip1)
		require.Equal(t, c.since >= 0, h.RegisteredSince(second(c.since-1)), i)
		require.False(t, h.RegisteredSince(second(max(c.since, i))), i)
	}
}

// TestAnEntryThatWasTakenAwayIsNotBelieved: the reading that lists it is older.
func TestAnEntryThatWasTakenAwayIsNotBelieved(t *testing.T) {
	listed := []Entry{{IP: ip1, Epoch: 1}}
	for name, c := range map[string]struct {
		heard, began time.Duration
		listing      Listing
		mayHold      bool
	}{
		"heard after the reading began":  {1, 0, ListingTakenAway, false},
		"heard in the moment":            {1, 1, ListingTakenAway, false},
		"heard before the reading began": {0, 1, ListingTakenAway, true},
		"not known":                      {1, 0, ListingUnknown, true},
		"left behind":                    {1, 0, ListingLeft, false},
	} {
		for _, readFirst := range []bool{true, false} {
			v := NewView()
			a := announcement(1, 1, alpha, Gone)
			a.Listing = c.listing
			if readFirst {
				v.List(start.Add(c.began), start.Add(c.began), listed)
			}
			v.Announce(start.Add(c.heard), ip1, a)
			v.List(start.Add(2), start.Add(c.began), listed)
			h, _ := v.Target(ip1)
			require.Equal(t, c.mayHold, h.MayHold(start.Add(2)), name)
		}
	}
}

// TestATargetWhoseAgentHasStoppedForGood: its entry is no sign of another process if it
// is that one's own.
func TestATargetWhoseAgentHasStoppedForGood(t *testing.T) {
	for name, c := range map[string]struct {
		listed  []Entry
		mayLive bool
		entry   Entry
	}{
		"its own entry":           {[]Entry{{IP: ip1, Epoch: 7}}, false, Entry{IP: ip1, Epoch: 7}},
		"that of another process": {[]Entry{{IP: ip1, Epoch: 6}}, true, Entry{IP: ip1, Epoch: 6}},
		"none":                    {nil, false, Entry{IP: ip1, Epoch: 7}},
		"another VM's":            {[]Entry{{IP: ip2, Epoch: 7}}, false, Entry{IP: ip1, Epoch: 7}},
	} {
		v := NewView()
		a := announcement(7, 1, alpha, Gone)
		a.Listing = ListingLeft
		v.Announce(start, ip1, a)
		v.List(start, start, c.listed)
		h, _ := v.Target(ip1)
		require.False(t, h.MayHold(start), name)
		require.Equal(t, c.mayLive, v.MayLive(h), name)
		require.Equal(t, c.entry, v.EntryOf(h), name)
	}
}
