package operator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
)

// newFollower returns a balancer with configuration 5 that does not watch the store and relies
// on three others.
func newFollower() *fixture {
	f := newFixture()
	f.peersAnnounce(5)
	return f
}

// peersAnnounce delivers beacons of the three others with a configuration version.
func (f *fixture) peersAnnounce(version int64) {
	for i := range flow.IPv4(3) {
		f.seq++
		m := fleet.Beacon{MessageID: fleet.MessageID{ProcessIncarnation: 1, Seq: f.seq}, ConfigVersion: version, Feeder: true, Period: time.Hour}
		f.view.ApplyBeacon(f.now, self-1-i, m)
	}
}

// TestFetchAndStoreDutyWhileConfigLags checks when a balancer fetches and reads the store: a
// follower fetches at once, and reads the store too if that does not help; one that watches
// gives its own watch a moment first.
func TestFetchAndStoreDutyWhileConfigLags(t *testing.T) {
	type want struct {
		fetch bool
		duty  StoreDuty
	}
	for name, c := range map[string]struct {
		prepare func(*fixture)
		after   time.Duration
		want    want
	}{
		"a follower as new as the others":                  {func(*fixture) {}, time.Minute, want{false, DutyNone}},
		"a follower that just saw a newer version":         {func(f *fixture) { f.peersAnnounce(7) }, 0, want{true, DutyNone}},
		"a follower just before the store read delay ends": {func(f *fixture) { f.peersAnnounce(7) }, storeReadDelay - 1, want{true, DutyNone}},
		"a follower after the store read delay":            {func(f *fixture) { f.peersAnnounce(7) }, storeReadDelay, want{true, DutyRead}},
		"a follower that has fetched and decodes": {func(f *fixture) {
			f.peersAnnounce(7)
			f.FetchFrom(f.now)
			f.now = f.now.Add(storeReadDelay - 1)
			f.FetchSucceeded(f.now)
		}, storeReadDelay - 1, want{true, DutyNone}},
		"one that watches and just saw a newer version":     {func(f *fixture) { f.opts.Zone = 9; f.peersAnnounce(7) }, 0, want{false, DutyWatch}},
		"one that watches, after a moment":                  {func(f *fixture) { f.opts.Zone = 9; f.peersAnnounce(7) }, peerFetchDelay, want{true, DutyWatch}},
		"one that watches, after the store read delay":      {func(f *fixture) { f.opts.Zone = 9; f.peersAnnounce(7) }, storeReadDelay, want{true, DutyRead}},
		"without any configuration":                         {func(f *fixture) { f.config = nil; f.peersAnnounce(7) }, storeReadDelay, want{true, DutyWatch}},
		"a version that does not decode here":               {func(f *fixture) { f.RejectVersion(f.now, peer, 7); f.peersAnnounce(7) }, time.Minute, want{false, DutyNone}},
		"a newer version than the one that does not decode": {func(f *fixture) { f.RejectVersion(f.now, peer, 7); f.peersAnnounce(8) }, 0, want{true, DutyNone}},
	} {
		f := newFollower()
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

// TestProgressRestartsTheGapTimer guards against needless reads of the store: a follower that
// gets one version after another is not stuck, though there always is a newer one.
func TestProgressRestartsTheGapTimer(t *testing.T) {
	f := newFollower()
	for version := int64(6); version < 20; version++ {
		f.peersAnnounce(version + 1)
		f.FetchFrom(f.now)
		f.now = f.now.Add(storeReadDelay / 2)
		require.Equal(t, DutyNone, f.StoreDuty(f.now))
		f.SetConfig(f.now, config(version))
	}
	f.SetConfig(f.now, config(20))
	_, _, due := f.FetchFrom(f.now)
	require.False(t, due)
}

// TestFetchDoesNotOpenAGap guards against a read of the store after a fetch while no balancer
// has a newer version.
func TestFetchDoesNotOpenAGap(t *testing.T) {
	f := newFollower()
	f.FetchSucceeded(f.now)
	f.now = f.now.Add(time.Minute)
	require.Equal(t, DutyNone, f.StoreDuty(f.now))
}

// announceCopy delivers the announcement of an agent that holds a copy of a version.
func (f *fixture) announceCopy(ip flow.IPv4, version int64) {
	f.seq++
	a := fleet.Announcement{MessageID: fleet.MessageID{ProcessIncarnation: uint64(ip), Seq: f.seq}, Service: alpha, State: fleet.Ready, Slots: 4, ConfigVersion: version}
	f.view.ApplyAnnouncement(f.now, ip, a)
}

// newFixtureWithoutConfig returns a balancer of the given age without a configuration, and two
// agents that hold copies.
func newFixtureWithoutConfig(age time.Duration) *fixture {
	f := newFixture()
	f.config, f.startedAt = nil, f.now.Add(-age)
	f.announceCopy(targetA, 6)
	f.announceCopy(targetB, 7)
	return f
}

// TestBalancerWithoutConfigFetchesAnAgentsCopy checks that it fetches the newest copy, once
// the store has had time to answer and while no balancer has a configuration.
func TestBalancerWithoutConfigFetchesAnAgentsCopy(t *testing.T) {
	type want struct {
		from    flow.IPv4
		version int64
	}
	const age = copyFetchDelay
	for name, c := range map[string]struct {
		age     time.Duration
		prepare func(*fixture)
		want    want
	}{
		"the newest copy":             {age, func(*fixture) {}, want{targetB, 7}},
		"the store may still answer":  {age - 1, func(*fixture) {}, want{}},
		"it has a configuration":      {age, func(f *fixture) { f.SetConfig(f.now, config(1)) }, want{}},
		"a balancer has an older one": {age, func(f *fixture) { f.peersAnnounce(5) }, want{self - 1, 5}},
		"its agent is overdue":        {age, func(f *fixture) { f.now = f.now.Add(5 * time.Second); f.announceCopy(targetA, 6) }, want{targetA, 6}},
		"it does not decode":          {age, func(f *fixture) { f.RejectVersion(f.now, targetB, 7) }, want{targetA, 6}},
		"it does not come":            {age, func(f *fixture) { f.FetchFailed(f.now, targetB) }, want{targetA, 6}},
		"asked a moment ago":          {age, func(f *fixture) { f.FetchFrom(f.now) }, want{}},
		"asked again":                 {age, func(f *fixture) { f.FetchFrom(f.now); f.now = f.now.Add(copyFetchInterval) }, want{targetB, 7}},
		"failed ones, after the backoff": {age, func(f *fixture) {
			f.FetchFailed(f.now, targetB)
			f.now = f.now.Add(failedFetchBackoff)
			f.announceCopy(targetA, 6)
			f.announceCopy(targetB, 7)
		}, want{targetB, 7}},
	} {
		f := newFixtureWithoutConfig(c.age)
		c.prepare(f)
		from, version, due := f.FetchFrom(f.now)
		require.Equal(t, c.want.version != 0, due, name)
		if due && c.want.version > 5 {
			require.Equal(t, c.want, want{from, version}, name)
		}
	}
}

// TestAgentCopyIsReplacedByTheStoredConfig checks that the stored configuration replaces an
// agent's copy, and that no copy replaces it again.
func TestAgentCopyIsReplacedByTheStoredConfig(t *testing.T) {
	f := newFixtureWithoutConfig(copyFetchDelay)
	require.True(t, f.SetConfig(f.now, config(7)), "the copy")
	require.Equal(t, DutyWatch, f.StoreDuty(f.now))
	require.True(t, f.SetConfig(f.now, config(9)), "what the store has")
	require.False(t, f.SetConfig(f.now, config(7)))
	f.announceCopy(targetA, 8)
	f.now = f.now.Add(time.Minute)
	_, _, due := f.FetchFrom(f.now)
	require.False(t, due)
}
