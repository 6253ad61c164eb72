package packetfront

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
)

// follower returns a balancer with configuration 5 that relies on three others for
// its changes.
func follower() *fixture {
	f := newFixture()
	f.hearVersion(5)
	return f
}

// hearVersion lets the three others tell a version.
func (f *fixture) hearVersion(version int64) {
	for i := range flow.IPv4(3) {
		f.seq++
		m := fleet.Beacon{Identity: fleet.Identity{Epoch: 1, Seq: f.seq}, ConfigVersion: version, Feeding: true, Period: time.Hour}
		f.HandleNode(f.now, self-1-i, m.Append(nil))
	}
}

// TestABalancerThatIsBehind: a follower fetches at once, and reads the store too
// when that does not help; one that watches gives its own watch a moment first.
func TestABalancerThatIsBehind(t *testing.T) {
	type want struct {
		fetch bool
		duty  StoreDuty
	}
	for name, c := range map[string]struct {
		prepare func(*fixture)
		after   time.Duration
		want    want
	}{
		"a follower as new as the others":          {func(*fixture) {}, time.Minute, want{false, DutyNone}},
		"a follower that just heard":               {func(f *fixture) { f.hearVersion(7) }, 0, want{true, DutyNone}},
		"a follower just before its patience ends": {func(f *fixture) { f.hearVersion(7) }, storePatience - 1, want{true, DutyNone}},
		"a follower for its patience":              {func(f *fixture) { f.hearVersion(7) }, storePatience, want{true, DutyRead}},
		"a follower that has fetched and decodes": {func(f *fixture) {
			f.hearVersion(7)
			f.FetchFrom(f.now)
			f.now = f.now.Add(storePatience - 1)
			f.Fetched(f.now)
		}, storePatience - 1, want{true, DutyNone}},
		"one that watches and just heard":    {func(f *fixture) { f.opts.Zone = 9; f.hearVersion(7) }, 0, want{false, DutyWatch}},
		"one that watches, after a moment":   {func(f *fixture) { f.opts.Zone = 9; f.hearVersion(7) }, peerPatience, want{true, DutyWatch}},
		"one that watches, for its patience": {func(f *fixture) { f.opts.Zone = 9; f.hearVersion(7) }, storePatience, want{true, DutyRead}},
		"without any configuration":          {func(f *fixture) { f.config = nil; f.hearVersion(7) }, storePatience, want{true, DutyWatch}},
		"what does not decode here":          {func(f *fixture) { f.RefuseConfig(7); f.hearVersion(7) }, time.Minute, want{false, DutyNone}},
		"a newer one than does not decode":   {func(f *fixture) { f.RefuseConfig(7); f.hearVersion(8) }, 0, want{true, DutyNone}},
	} {
		f := follower()
		c.prepare(f)
		f.FetchFrom(f.now)
		f.now = f.now.Add(c.after)
		_, version, due := f.FetchFrom(f.now)
		require.Equal(t, c.want, want{due, f.StoreDuty(f.now)}, name)
		if due {
			require.Greater(t, version, int64(5), name)
		}
	}
}

// TestProgressStartsTheGapAnew: a follower that gets one version after another is
// served, though there always is a newer one.
func TestProgressStartsTheGapAnew(t *testing.T) {
	f := follower()
	for version := int64(6); version < 20; version++ {
		f.hearVersion(version + 1)
		f.FetchFrom(f.now)
		f.now = f.now.Add(storePatience / 2)
		require.Equal(t, DutyNone, f.StoreDuty(f.now))
		f.SetConfig(f.now, config(version))
	}
	f.SetConfig(f.now, config(20))
	_, _, due := f.FetchFrom(f.now)
	require.False(t, due)
}

// TestWhatWasFetchedMakesNoGap where there is none.
func TestWhatWasFetchedMakesNoGap(t *testing.T) {
	f := follower()
	f.Fetched(f.now)
	f.now = f.now.Add(time.Minute)
	require.Equal(t, DutyNone, f.StoreDuty(f.now))
}
