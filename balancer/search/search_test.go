package search

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/flow/envelope"
	"github.com/poppywall/poppywall/flow/envelope/envelopetest"
)

// manyTargets is a settled balancer that knows so many targets.
func manyTargets(count int) *fixture {
	f := newFixture()
	for i := range flow.IPv4(count - 2) {
		f.announce(0x0a020000+i, fleet.Ready)
	}
	f.Surveyed(f.now, fleet.SurveyAt(f.now, registered(f.View().Targets()...)))
	f.port.Nodes = nil
	return f
}

// targetsOf returns the targets that messages visit.
func targetsOf(messages ...envelopetest.Sent) []flow.IPv4 {
	var out []flow.IPv4
	for _, s := range messages {
		out = append(out, s.To)
		for _, c := range s.Env.Candidates[:s.Env.Count] {
			out = append(out, c.Target)
		}
	}
	return out
}

// comeBack lets a message return whose packet no target has taken.
func (f *fixture) comeBack(s envelopetest.Sent, flags envelope.Flags) {
	e := s.Env
	e.Kind, e.Count = envelope.Returned, 0
	e.Flags |= envelope.Searched | flags
	f.HandleNode(f.now, s.To, append(e.Append(nil), packet(false, 9)...))
}

// TestAFlowIsResetOnceAllTargetsHaveDeniedIt: however many there are, each visited
// once, and none after more than a few others.
func TestAFlowIsResetOnceAllTargetsHaveDeniedIt(t *testing.T) {
	for _, targets := range []int{2, searchRound, searchRound + 1, 264, 265, 325, 1000} {
		f := manyTargets(targets)
		f.client(packet(false, 9))
		var visited []flow.IPv4
		rounds := 0
		for ; len(f.visiting()) > 0; rounds++ {
			messages := f.visiting()
			for _, s := range messages {
				require.Empty(t, f.port.Resets)
				require.LessOrEqual(t, len(targetsOf(s)), searchRound)
				f.comeBack(s, 0)
			}
			visited = append(visited, targetsOf(messages...)...)
		}
		require.Len(t, f.port.Resets, 1)
		require.ElementsMatch(t, f.View().Targets(), visited)
		want := 2
		if targets <= searchRound {
			want = 1
		}
		require.Equal(t, want, rounds)
	}
}

// TestTheLikeliestTargetsAreVisitedAlone: nearly every flow that lives is at one of them.
func TestTheLikeliestTargetsAreVisitedAlone(t *testing.T) {
	f := manyTargets(200)
	likeliest := f.candidates(f.now, key, f.inUse.Routes[front], denials{})[:2*first]
	f.client(packet(false, 9))
	visits := f.visiting()
	require.Len(t, visits, 1)
	var want []flow.IPv4
	for _, c := range likeliest {
		want = append(want, c.Target)
	}
	require.Equal(t, want, targetsOf(visits...))
}

// TestALostVisitIsRepeatedAlone: those that came back are not sent again, and targets
// that have ended meanwhile are not waited for.
func TestALostVisitIsRepeatedAlone(t *testing.T) {
	f := manyTargets(200)
	f.client(packet(false, 9))
	f.comeBack(f.visiting()[0], 0)
	parts := f.visiting()
	for _, s := range parts[1:] {
		f.comeBack(s, 0)
	}
	lost := targetsOf(parts[0])
	f.announce(lost[2], fleet.Gone)
	f.Surveyed(f.now, fleet.SurveyAt(f.now, registered(slices.DeleteFunc(f.View().Targets(), func(ip flow.IPv4) bool { return ip == lost[2] })...)))
	f.pass(keptPause)
	again := f.visiting()
	backward := slices.Delete(slices.Clone(lost), 2, 3)
	slices.Reverse(backward)
	require.Equal(t, backward, targetsOf(again...), "a VM that is dead is the last one then")
	f.comeBack(parts[0], envelope.Unsure)
	require.Empty(t, f.port.Resets, "it had visited before the repetition")
	f.comeBack(again[0], 0)
	require.Len(t, f.port.Resets, 1)
}

// TestAllAreVisitedWhenTheLikeliestDoNotAnswer: one of them may be dead, and the flow
// at any other target.
func TestAllAreVisitedWhenTheLikeliestDoNotAnswer(t *testing.T) {
	f := manyTargets(200)
	f.client(packet(false, 9))
	f.pass(keptPause)
	require.ElementsMatch(t, f.View().Targets(), targetsOf(f.visiting()...))
}

// TestTargetsThatEndWhileTheyAreAskedAreNotWaitedFor.
func TestTargetsThatEndWhileTheyAreAskedAreNotWaitedFor(t *testing.T) {
	f := newFixture()
	f.client(packet(false, 9))
	f.announce(targetA, fleet.Gone)
	f.announce(targetB, fleet.Gone)
	f.Surveyed(f.now, fleet.SurveyAt(f.now, nil))
	f.pass(keptPause)
	require.Len(t, f.port.Resets, 1)
}

// TestATargetThatIsUnsureKeepsTheFlowInDoubt: whichever of the messages visited it.
func TestATargetThatIsUnsureKeepsTheFlowInDoubt(t *testing.T) {
	f := manyTargets(200)
	f.client(packet(false, 9))
	f.comeBack(f.visiting()[0], 0)
	for i, s := range f.visiting() {
		flags := envelope.Flags(0)
		if i == 3 {
			flags = envelope.Unsure
		}
		f.comeBack(s, flags)
	}
	require.Equal(t, DoubtTarget, f.doubt)
	require.Empty(t, f.port.Resets)
}

// TestOnlyWhatEveryTargetHasDeniedIsReset: targets fall silent, are heard again, end,
// start and join while messages come back in any order, late, or never.
func TestOnlyWhatEveryTargetHasDeniedIsReset(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := manyTargets(rapid.IntRange(3, 3*searchRound).Draw(t, "targets"))
		targets := f.View().Targets()
		denied, ended := map[flow.IPv4]bool{}, map[flow.IPv4]bool{}
		f.client(packet(false, 9))
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			ip := rapid.SampledFrom(targets).Draw(t, "target")
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				f.announce(ip, fleet.Gone)
				ended[ip] = true
			case 1:
				f.announce(ip, fleet.Ready)
				if ended[ip] {
					ended[ip], denied[ip] = false, false
				}
			case 2:
				next := 0x0a030000 + flow.IPv4(len(targets))
				f.announce(next, fleet.Ready)
				targets = append(targets, next)
			case 3:
				f.pass(time.Duration(rapid.IntRange(1, 200).Draw(t, "ms")) * time.Millisecond)
			default:
				f.someComeBack(t, denied)
			}
			if len(f.port.Resets) == 0 {
				continue
			}
			for _, ip := range targets {
				require.True(t, denied[ip] || ended[ip], "target %v has not denied the flow", ip)
			}
			return
		}
	})
}

// someComeBack lets some of the messages return, late ones among them.
func (f *fixture) someComeBack(t *rapid.T, denied map[flow.IPv4]bool) {
	all := rapid.Bool().Draw(t, "all")
	waiting := f.visiting()
	for _, s := range f.port.Delivered() {
		if !all && rapid.IntRange(0, 3).Draw(t, "comes back") == 0 {
			continue
		}
		if slices.ContainsFunc(waiting, func(w envelopetest.Sent) bool { return w.Env.SearchID == s.Env.SearchID }) {
			for _, ip := range targetsOf(s) {
				denied[ip] = true
			}
		}
		f.comeBack(s, 0)
	}
}

// TestTheOrderOfASearch: whom the flow was chosen among, then whom it may be at.
func TestTheOrderOfASearch(t *testing.T) {
	f := newFixture()
	add := func(ip flow.IPv4, zone, service flow.Tag) {
		f.seq++
		a := fleet.Announcement{Identity: fleet.Identity{Epoch: 1, Seq: f.seq}, Service: service, Zone: zone, State: fleet.Ready, Slots: 4}
		f.HandleNode(f.now, ip, a.Append(nil))
	}
	f.now = f.now.Add(fleet.Quiet + 1)
	for i := range flow.IPv4(20) {
		add(0x0a020000+i, 9, alpha)
		add(0x0a030000+i, 0, alpha+1)
		add(0x0a040000+i, 0, alpha)
	}
	kinds := ""
	for _, c := range f.candidates(f.now, key, f.inUse.Routes[front], denials{}) {
		switch c.Target >> 16 {
		case 0x0a01:
			kinds += "q"
		case 0x0a02:
			kinds += "f"
		case 0x0a03:
			kinds += "o"
		default:
			kinds += "n"
		}
	}
	repeat := func(s string, n int) string { return string(slices.Repeat([]byte(s), n)) }
	require.Equal(t, repeat("n", 8)+repeat("f", 8)+repeat("n", 12)+repeat("f", 12)+repeat("o", 20)+"qq", kinds)
}

// TestAMessageToManyTargetsStaysInAZone: hundreds of targets in six zones, each of which is
// asked about a flow that none holds.
func TestAMessageToManyTargetsStaysInAZone(t *testing.T) {
	const zones, targets = 6, 678
	f := newFixture()
	for i := range flow.IPv4(targets) {
		f.seq++
		a := fleet.Announcement{Identity: fleet.Identity{Epoch: 1, Seq: f.seq}, Service: alpha, Zone: flow.Tag(1 + i%zones), State: fleet.Ready, Slots: 4}
		f.HandleNode(f.now, 0x0a020000+i, a.Append(nil))
	}
	f.client(packet(false, 9))
	f.comeBack(f.visiting()[0], 0)
	messages := f.visiting()
	require.LessOrEqual(t, len(messages), targets/searchRound+zones+1)
	visited := 0
	for _, s := range messages {
		in := map[flow.Tag]bool{}
		for _, ip := range targetsOf(s) {
			h, _ := f.View().Target(ip)
			in[h.Zone] = true
			visited++
		}
		require.Len(t, in, 1)
	}
	require.Equal(t, targets+2-2*first, visited)
}
