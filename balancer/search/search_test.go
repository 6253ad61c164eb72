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

// newFixtureWithTargets returns a settled balancer that knows count targets.
func newFixtureWithTargets(count int) *fixture {
	f := newFixture()
	for i := range flow.IPv4(count - 2) {
		f.announce(0x0a020000+i, fleet.Ready)
	}
	f.Surveyed(f.now, fleet.SnapshotAt(f.now, registered(f.View().Targets()...)))
	f.port.Nodes = nil
	return f
}

// targetsOf returns the targets that probes visit.
func targetsOf(messages ...envelopetest.Sent) []flow.IPv4 {
	var out []flow.IPv4
	for _, s := range messages {
		out = append(out, s.To)
		out = append(out, s.Env.Candidates[:s.Env.Count]...)
	}
	return out
}

// returnProbe returns a probe whose packet no target has taken.
func (f *fixture) returnProbe(s envelopetest.Sent, flags envelope.Flags) {
	e := s.Env
	e.Kind, e.Count = envelope.Returned, 0
	e.Flags |= envelope.SearchExhausted | flags
	f.HandleNode(f.now, s.To, append(e.Append(nil), packet(false, 9)...))
}

// TestAFlowIsResetOnceAllTargetsHaveDeniedIt checks for any number of targets that each is
// visited once, and that no probe visits more than it can hold.
func TestAFlowIsResetOnceAllTargetsHaveDeniedIt(t *testing.T) {
	for _, targets := range []int{2, maxTargetsPerProbe, maxTargetsPerProbe + 1, 264, 265, 325, 1000} {
		f := newFixtureWithTargets(targets)
		f.client(packet(false, 9))
		var probed []flow.IPv4
		rounds := 0
		for ; len(f.outstandingProbes()) > 0; rounds++ {
			messages := f.outstandingProbes()
			for _, s := range messages {
				require.Empty(t, f.port.Resets)
				require.LessOrEqual(t, len(targetsOf(s)), maxTargetsPerProbe)
				f.returnProbe(s, 0)
			}
			probed = append(probed, targetsOf(messages...)...)
		}
		require.Len(t, f.port.Resets, 1)
		require.ElementsMatch(t, f.View().Targets(), probed)
		want := 2
		if targets <= maxTargetsPerProbe {
			want = 1
		}
		require.Equal(t, want, rounds)
	}
}

// TestLikeliestTargetsAreProbedFirst checks that they get a probe of their own: nearly every
// live flow is at one of them.
func TestLikeliestTargetsAreProbedFirst(t *testing.T) {
	f := newFixtureWithTargets(200)
	likeliest := f.candidates(f.now, key, f.inForce.Routes[front], denials{})[:2*first]
	f.client(packet(false, 9))
	probes := f.outstandingProbes()
	require.Len(t, probes, 1)
	require.Equal(t, likeliest, targetsOf(probes...))
}

// TestOnlyLostProbesAreRepeated checks that probes that returned are not sent again, and that
// targets that have ended meanwhile are not waited for.
func TestOnlyLostProbesAreRepeated(t *testing.T) {
	f := newFixtureWithTargets(200)
	f.client(packet(false, 9))
	f.returnProbe(f.outstandingProbes()[0], 0)
	probes := f.outstandingProbes()
	for _, s := range probes[1:] {
		f.returnProbe(s, 0)
	}
	lost := targetsOf(probes[0])
	f.announce(lost[2], fleet.Gone)
	f.Surveyed(f.now, fleet.SnapshotAt(f.now, registered(slices.DeleteFunc(f.View().Targets(), func(ip flow.IPv4) bool { return ip == lost[2] })...)))
	f.advance(searchRetryInterval)
	repeated := f.outstandingProbes()
	require.Equal(t, slices.Delete(slices.Clone(lost), 2, 3), targetsOf(repeated...))
	f.returnProbe(probes[0], envelope.Uncertain)
	require.Empty(t, f.port.Resets, "a probe from before the repetition does not count")
	for _, s := range repeated {
		require.Empty(t, f.port.Resets)
		require.Len(t, targetsOf(s), 1, "a dead VM must not keep the others from being visited")
		f.returnProbe(s, 0)
	}
	require.Len(t, f.port.Resets, 1)
}

// TestAllTargetsAreProbedWhenTheLikeliestDoNotAnswer guards against waiting for a dead target
// while the flow is at another one.
func TestAllTargetsAreProbedWhenTheLikeliestDoNotAnswer(t *testing.T) {
	f := newFixtureWithTargets(200)
	f.client(packet(false, 9))
	f.advance(searchRetryInterval)
	require.ElementsMatch(t, f.View().Targets(), targetsOf(f.outstandingProbes()...))
}

// TestTargetsThatEndWhileProbedAreNotWaitedFor guards against a flow that is never reset
// because its last probes cannot return.
func TestTargetsThatEndWhileProbedAreNotWaitedFor(t *testing.T) {
	f := newFixture()
	f.client(packet(false, 9))
	f.announce(targetA, fleet.Gone)
	f.announce(targetB, fleet.Gone)
	f.Surveyed(f.now, fleet.SnapshotAt(f.now, nil))
	f.advance(searchRetryInterval)
	require.Len(t, f.port.Resets, 1)
}

// TestUnsureTargetKeepsTheFlowUncertain checks that one unsure answer suffices, whichever
// probe carries it.
func TestUnsureTargetKeepsTheFlowUncertain(t *testing.T) {
	f := newFixtureWithTargets(200)
	f.client(packet(false, 9))
	f.returnProbe(f.outstandingProbes()[0], 0)
	for i, s := range f.outstandingProbes() {
		flags := envelope.Flags(0)
		if i == 3 {
			flags = envelope.Uncertain
		}
		f.returnProbe(s, flags)
	}
	require.Equal(t, UncertainTarget, f.uncertainty)
	require.Empty(t, f.port.Resets)
}

// TestOnlyFlowsDeniedByEveryTargetAreReset checks random runs in which targets become overdue,
// are seen again, end, start and join while probes return in any order, late, or never.
func TestOnlyFlowsDeniedByEveryTargetAreReset(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFixtureWithTargets(rapid.IntRange(3, 3*maxTargetsPerProbe).Draw(t, "targets"))
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
				f.advance(time.Duration(rapid.IntRange(1, 200).Draw(t, "ms")) * time.Millisecond)
			default:
				f.returnSomeProbes(t, denied)
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

// returnSomeProbes returns some of the probes, late ones among them.
func (f *fixture) returnSomeProbes(t *rapid.T, denied map[flow.IPv4]bool) {
	all := rapid.Bool().Draw(t, "all")
	waiting := f.outstandingProbes()
	for _, s := range f.port.Delivered() {
		if !all && rapid.IntRange(0, 3).Draw(t, "comes back") == 0 {
			continue
		}
		if slices.ContainsFunc(waiting, func(w envelopetest.Sent) bool { return w.Env.ProbeID == s.Env.ProbeID }) {
			for _, ip := range targetsOf(s) {
				denied[ip] = true
			}
		}
		f.returnProbe(s, 0)
	}
}

// TestSearchOrder checks that the targets that the flow was chosen among come first, then the
// others that may hold it.
func TestSearchOrder(t *testing.T) {
	f := newFixture()
	add := func(ip flow.IPv4, zone flow.Tag, service flow.ServiceID) {
		f.seq++
		a := fleet.Announcement{MessageID: fleet.MessageID{ProcessIncarnation: 1, Seq: f.seq}, Service: service, Zone: zone, State: fleet.Ready, Slots: 4}
		f.HandleNode(f.now, ip, a.Append(nil))
	}
	f.now = f.now.Add(fleet.OverdueAfter + 1)
	for i := range flow.IPv4(20) {
		add(0x0a020000+i, 9, alpha)
		add(0x0a030000+i, 0, flow.ServiceIDOf("beta"))
		add(0x0a040000+i, 0, alpha)
	}
	kinds := ""
	for _, c := range f.candidates(f.now, key, f.inForce.Routes[front], denials{}) {
		switch c >> 16 {
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

// TestProbeToManyTargetsStaysInOneZone bounds cross-zone traffic: hundreds of targets in six
// zones are probed for a flow that none holds.
func TestProbeToManyTargetsStaysInOneZone(t *testing.T) {
	const zones, targets = 6, 678
	f := newFixture()
	for i := range flow.IPv4(targets) {
		f.seq++
		a := fleet.Announcement{MessageID: fleet.MessageID{ProcessIncarnation: 1, Seq: f.seq}, Service: alpha, Zone: flow.Tag(1 + i%zones), State: fleet.Ready, Slots: 4}
		f.HandleNode(f.now, 0x0a020000+i, a.Append(nil))
	}
	f.client(packet(false, 9))
	f.returnProbe(f.outstandingProbes()[0], 0)
	messages := f.outstandingProbes()
	require.LessOrEqual(t, len(messages), targets/maxTargetsPerProbe+zones+1)
	probed := 0
	for _, s := range messages {
		in := map[flow.Tag]bool{}
		for _, ip := range targetsOf(s) {
			h, _ := f.View().Target(ip)
			in[h.Zone] = true
			probed++
		}
		require.Len(t, in, 1)
	}
	require.Equal(t, targets+2-2*first, probed)
}
