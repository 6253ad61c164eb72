package packetfront

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/poppywall/poppywall/fleet"
)

// beatOf lets a target report after a pause.
func (f *fixture) beatOf(after time.Duration, id string, sequence uint64, draining bool) {
	f.report(after, fleet.Incarnation{TargetID: id}, sequence, draining)
}

// freshAgent is one that started beside a target that was there before it.
func freshAgent() *fixture {
	f := newFixture()
	f.Core = New(f.now, f.opts, f.port, f.codec, f.events)
	f.Probed(f.now, ProbeAccepted)
	return f
}

// TestDelayedHeartbeatsOfAnEarlierTargetChangeNothing: a report that a cut has
// delayed arrives after its sender has ended and its successor has reported.
func TestDelayedHeartbeatsOfAnEarlierTargetChangeNothing(t *testing.T) {
	for name, c := range map[string]struct {
		fresh bool
		late  func(f *fixture)
	}{
		"the target before":                      {late: func(f *fixture) { f.beatOf(100*time.Millisecond, "i-1", 50, true) }},
		"the target before, that made few calls": {late: func(f *fixture) { f.beatOf(time.Second, "i-1", 4, true) }},
		"two targets before": {late: func(f *fixture) {
			f.beatOf(time.Second, "i-3", 1, false)
			f.beatOf(100*time.Millisecond, "i-1", 50, true)
		}},
		"not known to a fresh agent": {fresh: true, late: func(f *fixture) { f.beatOf(100*time.Millisecond, "i-0", 50, true) }},
		"its last word":              {late: func(f *fixture) { f.Leave(f.now, fleet.Incarnation{TargetID: "i-1"}) }},
	} {
		f := newFixture()
		if c.fresh {
			f = freshAgent()
		}
		f.beatOf(time.Second, "i-2", 3, false)
		present := f.target.incarnation.TargetID
		c.late(f)
		if name == "two targets before" {
			present = "i-3"
		}
		require.Equal(t, present, f.target.incarnation.TargetID, name)
		require.Equal(t, fleet.Ready, f.target.state(), name)
	}
}

// TestATargetThatWasTakenForAnEarlierOneIsBelievedAgain: the present target is told
// by its going on, whatever a late report has made of it.
func TestATargetThatWasTakenForAnEarlierOneIsBelievedAgain(t *testing.T) {
	f := freshAgent()
	f.beatOf(0, "i-2", 30, false)
	// So low that its sender may have started since.
	f.beatOf(900*time.Millisecond, "i-1", 2, false)
	require.Equal(t, "i-1", f.target.incarnation.TargetID)
	f.beatOf(100*time.Millisecond, "i-2", 31, true)
	f.beatOf(time.Second, "i-2", 32, true)
	require.Equal(t, "i-2", f.target.incarnation.TargetID)
	require.Equal(t, fleet.Draining, f.target.state())
	require.False(t, f.target.sawStart, "flows from before may live at it")
}

// TestATargetIsSeenToStartOnlyAfterTheEndOfTheOneBefore: without that the target is
// asked for unknown flows, for two IDs prove no order.
func TestATargetIsSeenToStartOnlyAfterTheEndOfTheOneBefore(t *testing.T) {
	for name, c := range map[string]struct {
		end  func(f *fixture)
		seen bool
	}{
		"no sign of its end": {end: func(*fixture) {}, seen: false},
		"it left":            {end: func(f *fixture) { f.Leave(f.now, fleet.Incarnation{TargetID: "i-1"}) }, seen: true},
		"refused, then there": {end: func(f *fixture) {
			f.Probed(f.now, ProbeRefused)
			f.Probed(f.now, ProbeAccepted)
		}, seen: true},
	} {
		f := newFixture()
		c.end(f)
		f.beatOf(time.Second, "i-2", 1, false)
		require.Equal(t, "i-2", f.target.incarnation.TargetID, name)
		require.Equal(t, c.seen, f.target.sawStart, name)
	}
}

// TestThePresentTargetIsKnownWithinThreeHeartbeats lets targets succeed each other
// while reports of earlier ones arrive late at any moment, and asks after three
// undisturbed heartbeats who is there.
func TestThePresentTargetIsKnownWithinThreeHeartbeats(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture()
		type life struct {
			id       string
			sequence uint64
		}
		lives := []life{{"i-1", f.seq}}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			last := &lives[len(lives)-1]
			switch rapid.SampledFrom([]string{"beat", "late", "replaced"}).Draw(t, "step") {
			case "beat":
				last.sequence++
				f.beatOf(time.Second, last.id, last.sequence, false)
			case "late":
				old := &lives[rapid.IntRange(0, len(lives)-1).Draw(t, "life")]
				if old != last {
					old.sequence++
					f.beatOf(10*time.Millisecond, old.id, old.sequence, true)
				}
			case "replaced":
				lives = append(lives, life{"i-" + string(rune('1'+len(lives))), 1})
				f.beatOf(time.Second, lives[len(lives)-1].id, 1, false)
			}
		}
		last := &lives[len(lives)-1]
		for range 3 {
			last.sequence++
			f.beatOf(time.Second, last.id, last.sequence, false)
		}
		require.Equal(t, last.id, f.target.incarnation.TargetID)
		require.Equal(t, fleet.Ready, f.target.state())
	})
}
