package search

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/flow/envelope"
)

func TestOnlyAFlowThatIsCertainlyOverIsReset(t *testing.T) {
	for name, c := range map[string]struct {
		prepare func(f *fixture)
		during  func(f *fixture)
		flags   envelope.Flags
		want    Doubt
	}{
		"all said no":    {want: ""},
		"one was unsure": {flags: envelope.Unsure, want: DoubtTarget},
		"a target ended": {during: func(f *fixture) { f.announce(targetA, fleet.Gone) }, want: ""},
		"alone among its seeds": {
			prepare: func(f *fixture) {
				f.SetSeeds([]flow.IPv4{self, peer})
				f.startedAt = f.now.Add(-FreshTime)
			},
			want: DoubtFresh,
		},
		"alone for long": {
			prepare: func(f *fixture) {
				f.SetSeeds([]flow.IPv4{self, peer})
				f.startedAt = f.now.Add(-SettleTime)
			},
			want: "",
		},
		"a seed was heard a moment ago": {
			prepare: func(f *fixture) {
				f.SetSeeds([]flow.IPv4{self, peer})
				f.startedAt = f.now.Add(-FreshTime)
				f.hears(peer)
				f.now = f.now.Add(FreshTime - 1)
			},
			want: DoubtFresh,
		},
		"a seed was heard before": {
			prepare: func(f *fixture) {
				f.SetSeeds([]flow.IPv4{self, peer})
				f.startedAt = f.now.Add(-FreshTime)
				f.hears(peer)
				f.now = f.now.Add(FreshTime)
			},
			want: "",
		},
		"hundreds of others are heard one after the other": {
			prepare: func(f *fixture) {
				f.SetSeeds([]flow.IPv4{self, peer})
				f.startedAt = f.now.Add(-FreshTime / 2)
				f.hears(peer)
				for i := range flow.IPv4(300) {
					f.now = f.now.Add(FreshTime / 299)
					f.hears(0x0a040000 + i)
				}
			},
			want: "",
		},
		"its own only seed": {
			prepare: func(f *fixture) {
				f.SetSeeds([]flow.IPv4{self})
				f.startedAt = f.now.Add(-FreshTime)
			},
			want: "",
		},
		"just started": {prepare: func(f *fixture) { f.startedAt = f.now }, want: DoubtFresh},
		"an agent was missing for a while": {
			prepare: func(f *fixture) {
				f.Surveyed(f.now, fleet.SurveyAt(f.now, registered(targetA, targetB, other)))
				f.wait(absentTime - time.Millisecond)
			},
			want: DoubtMissing,
		},
		"an agent was missing for long": {
			prepare: func(f *fixture) {
				f.Surveyed(f.now, fleet.SurveyAt(f.now, registered(targetA, targetB, other)))
				f.wait(absentTime)
				f.survey.earliest = f.now
			},
			want: "",
		},
		"an agent is missing still": {
			prepare: func(f *fixture) {
				f.Surveyed(f.now, fleet.SurveyAt(f.now, registered(targetA, targetB, other)))
				f.wait(absentTime)
				f.Surveyed(f.now, fleet.SurveyAt(f.now, registered(targetA, targetB, other)))
			},
			want: "",
		},
		"one that said it is gone is registered, and is silent": {
			prepare: func(f *fixture) {
				f.announce(other, fleet.Gone)
				f.wait(fleet.Quiet + time.Second)
				f.Surveyed(f.now, fleet.SurveyAt(f.now, registered(targetA, targetB, other)))
			},
			want: DoubtMissing,
		},
		"one that said it is gone is registered, and falls silent": {
			prepare: func(f *fixture) {
				f.announce(other, fleet.Gone)
				f.Surveyed(f.now, fleet.SurveyAt(f.now, registered(targetA, targetB, other)))
			},
			during: func(f *fixture) {
				f.wait(fleet.Quiet + 1)
				f.survey.earliest = f.now
			},
			want: DoubtMissing,
		},
		"one that was heard to be registered after the reading": {
			prepare: func(f *fixture) {
				f.Surveyed(f.now, fleet.SurveyAt(f.now, registered(targetA, targetB)))
				f.now = f.now.Add(1)
				f.announceRegistered(other)
			},
			want: "",
		},
		"one that was heard to be registered before the reading": {
			prepare: func(f *fixture) {
				f.announceRegistered(other)
				f.Surveyed(f.now, fleet.SurveyAt(f.now, registered(targetA, targetB)))
			},
			want: DoubtRegistry,
		},
		"registry not read":          {prepare: func(f *fixture) { f.survey.earliest = time.Time{} }, want: DoubtSurvey},
		"registry read before":       {prepare: func(f *fixture) { f.survey.earliest = f.now.Add(-surveyTTL - 1) }, want: DoubtSurvey},
		"an agent is missing":        {prepare: func(f *fixture) { f.Surveyed(f.now, fleet.SurveyAt(f.now, registered(targetA, targetB, other))) }, want: DoubtMissing},
		"an agent is not registered": {prepare: func(f *fixture) { f.Surveyed(f.now, fleet.SurveyAt(f.now, registered(targetA))) }, want: DoubtRegistry},
		"another balancer names one": {
			prepare: func(f *fixture) {
				fleet.Names{Holders: []flow.IPv4{other}}.Append(nil, func(msg []byte) { f.HandleNode(f.now, peer, msg) })
			},
			want: DoubtMissing,
		},
		"an agent is quiet": {
			prepare: func(f *fixture) { f.now = f.now.Add(fleet.Quiet + time.Second); f.announce(targetA, fleet.Ready) },
			want:    DoubtMissing,
		},
		"a quiet one has no target": {
			prepare: func(f *fixture) {
				f.announce(targetB, fleet.Gone)
				f.now = f.now.Add(fleet.Quiet + time.Second)
				f.announce(targetA, fleet.Ready)
				f.Surveyed(f.now, fleet.SurveyAt(f.now, registered(targetA)))
			},
			want: "",
		},
		"a quiet one that had no target is registered": {
			prepare: func(f *fixture) {
				f.announce(targetB, fleet.Gone)
				f.now = f.now.Add(fleet.Quiet + time.Second)
				f.announce(targetA, fleet.Ready)
				f.Surveyed(f.now, fleet.SurveyAt(f.now, registered(targetA, targetB)))
			},
			want: DoubtMissing,
		},
		"a quiet one that had no target is registered, for long": {
			prepare: func(f *fixture) {
				f.announce(targetB, fleet.Gone)
				f.now = f.now.Add(absentTime)
				f.announce(targetA, fleet.Ready)
				f.Surveyed(f.now, fleet.SurveyAt(f.now, registered(targetA, targetB)))
			},
			want: "",
		},
	} {
		f := newFixture()
		if c.prepare != nil {
			c.prepare(f)
		}
		f.client(packet(false, 9))
		if c.during != nil {
			c.during(f)
		}
		for _, s := range f.visiting() {
			f.comeBack(s, c.flags)
		}
		require.Equal(t, c.want, f.doubt, name)
		require.Equal(t, c.want == "", len(f.port.Resets) == 1, name)
	}
}

// TestADoubtfulFlowEndsWithTheDoubt: all have said no, so nobody is asked again.
func TestADoubtfulFlowEndsWithTheDoubt(t *testing.T) {
	f := newFixture()
	f.startedAt = f.now
	f.client(packet(false, 9))
	f.answer(targetB, envelope.Searched, packet(false, 9))
	require.Equal(t, DoubtFresh, f.doubt)
	f.client(packet(false, 9))
	f.pass(FreshTime / 2)
	require.Empty(t, f.port.Resets)
	f.pass(FreshTime + keptPause)
	require.Len(t, f.port.Resets, 1)
	f.pass(time.Second)
	require.Len(t, f.port.Delivered(), 1)
	require.Len(t, f.port.Resets, 1)
}

// TestARegisteredTargetThatIsGoneIsAskedToo: it may have started since, and the
// message that says so may be lost.
func TestARegisteredTargetThatIsGoneIsAskedToo(t *testing.T) {
	for name, c := range map[string]struct {
		agents []fleet.Entry
		asked  bool
	}{
		"registered":     {registered(targetA, targetB, other), true},
		"not registered": {registered(targetA, targetB), false},
	} {
		f := newFixture()
		f.announce(other, fleet.Gone)
		f.Surveyed(f.now, fleet.SurveyAt(f.now, c.agents))
		f.client(packet(false, 9))
		require.Equal(t, c.asked, slices.Contains(targetsOf(f.visiting()...), other), name)
		for _, s := range f.visiting() {
			require.False(t, len(targetsOf(s)) > 1 && slices.Contains(targetsOf(s), other), "its VM may be gone")
			f.comeBack(s, 0)
		}
		require.Len(t, f.port.Resets, 1, name)
	}
}

// TestATargetThatComesAfterASearchIsAskedAlone: those that have denied the flow are
// not asked again, and it ends only when the new one has denied it too.
func TestATargetThatComesAfterASearchIsAskedAlone(t *testing.T) {
	for name, during := range map[string]bool{"after the last answer": false, "before it": true} {
		f := newFixture()
		f.startedAt = f.now
		f.client(packet(false, 9))
		if during {
			f.announce(other, fleet.Ready)
		}
		f.answer(targetB, envelope.Searched, packet(false, 9))
		if !during {
			f.announce(other, fleet.Ready)
		}
		f.Surveyed(f.now, fleet.SurveyAt(f.now, registered(targetA, targetB, other)))
		f.pass(ParkPause)
		asked := f.port.Delivered()
		require.Len(t, asked, 2, name)
		require.Equal(t, other, asked[1].To, name)
		require.Zero(t, asked[1].Env.Count, name)
		f.startedAt = f.now.Add(-FreshTime)
		f.pass(keptPause / 2)
		require.Empty(t, f.port.Resets, "%s: no answer yet", name)
		f.answer(other, envelope.Searched, packet(false, 9))
		require.Len(t, f.port.Resets, 1, name)
	}
}

// TestAnAnswerToAnEarlierSearchIsNone: the target that it asked last may have come
// after it.
func TestAnAnswerToAnEarlierSearchIsNone(t *testing.T) {
	f := newFixture()
	f.client(packet(false, 9))
	late := f.port.Delivered()[0]
	f.pass(keptPause + tickPeriod)
	require.Len(t, f.port.Delivered(), 2, "repeated")
	late.Env.Kind, late.Env.Count, late.Env.Flags = envelope.Returned, 0, envelope.Search|envelope.Searched|envelope.Unsure
	f.HandleNode(f.now, targetB, append(late.Env.Append(nil), packet(false, 9)...))
	require.Empty(t, f.port.Resets)
	f.answer(targetB, envelope.Searched, packet(false, 9))
	require.Len(t, f.port.Resets, 1)
}

// TestAFlowIsNotSearchedForOverAndOverInDoubt: with a target missing for long, each
// flow costs one search.
func TestAFlowIsNotSearchedForOverAndOverInDoubt(t *testing.T) {
	f := newFixture()
	f.Surveyed(f.now, fleet.SurveyAt(f.now, registered(targetA, targetB, other)))
	f.client(packet(false, 9))
	f.answer(targetB, envelope.Searched, packet(false, 9))
	require.Equal(t, DoubtMissing, f.doubt)
	f.pass(keptTTL - keptPause)
	require.Len(t, f.port.Delivered(), 1)
	require.Empty(t, f.port.Resets)
}

// TestAnAnswerToAFormerProcessIsNone: it had asked other targets.
func TestAnAnswerToAFormerProcessIsNone(t *testing.T) {
	former, f := newFixture(), newFixture()
	f = startedAt(f.now.Add(-FreshTime), 2)
	f.now = f.now.Add(FreshTime)
	f.SetConfig(f.now, config(5))
	f.announce(targetA, fleet.Ready)
	f.announce(targetB, fleet.Ready)
	f.Surveyed(f.now, fleet.SurveyAt(f.now, registered(targetA, targetB)))
	former.client(packet(false, 9))
	f.client(packet(false, 9))
	late := former.port.Delivered()[0]
	late.Env.Kind, late.Env.Count, late.Env.Flags = envelope.Returned, 0, envelope.Search|envelope.Searched
	f.HandleNode(f.now, targetB, append(late.Env.Append(nil), packet(false, 9)...))
	require.Empty(t, f.port.Resets)
	f.answer(targetB, envelope.Searched, packet(false, 9))
	require.Len(t, f.port.Resets, 1)
}

// TestTheRegistryIsReadLessOftenWhileDoubtLasts: each reading is a priced call.
func TestTheRegistryIsReadLessOftenWhileDoubtLasts(t *testing.T) {
	const surveyPause, mostSurveyPause = 400 * time.Millisecond, 1600 * time.Millisecond
	f := newFixture()
	var readings []time.Duration
	begin := f.now
	for f.now.Sub(begin) < 10*time.Second {
		f.now = f.now.Add(100 * time.Millisecond)
		f.survey.wanted = true
		if f.WantsSurvey(f.now) {
			readings = append(readings, f.now.Sub(begin))
		}
	}
	require.Equal(t, []time.Duration{100 * time.Millisecond, 500 * time.Millisecond, 1300 * time.Millisecond}, readings[:3])
	require.Len(t, readings, 8)
	f.now = f.now.Add(2*mostSurveyPause + 1)
	require.True(t, f.WantsSurvey(f.now))
	f.now = f.now.Add(surveyPause)
	require.True(t, f.WantsSurvey(f.now), "calm again meanwhile")
}
