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
	"github.com/poppywall/poppywall/platform/platformtest"
)

// passOn passes a probe on from target to target, as agents would: it is lost at one that is down,
// and its flow is found at the holder.
func (f *fixture) passOn(s envelopetest.Sent, down []flow.IPv4, holder flow.IPv4) {
	visited := targetsOf(s)
	for _, ip := range visited {
		switch {
		case slices.Contains(down, ip):
			return
		case ip == holder:
			f.Found(f.now, key, holder)
			return
		}
	}
	s.To = visited[len(visited)-1]
	f.returnProbe(s, 0)
}

// search passes on the probes of the flow's search, and those of the attempts that follow, until
// the holder is found. It returns the number of attempts.
func (f *fixture) search(t require.TestingT, down []flow.IPv4, holder flow.IPv4) int {
	f.client(packet(false, 9))
	for attempt := 1; ; attempt++ {
		// Returned probes may be followed by others.
		for passed := 0; passed < len(f.port.Delivered()); passed++ {
			if s := f.port.Delivered()[passed]; s.Env.Flags&envelope.Search != 0 {
				f.passOn(s, down, holder)
			}
		}
		f.port.Nodes = nil
		if target, found := f.table.Get(f.now, key); found {
			require.Equal(t, holder, target)
			return attempt
		}
		require.Less(t, attempt, 10, "the search does not reach the target")
		f.advance(searchRetryInterval)
	}
}

// TestSearchReachesATargetBetweenUnreachableAgents guards against searches that are repeated in
// vain: a probe is lost at the first agent that is down, in whatever order it visits them, and the
// targets behind it are not asked.
func TestSearchReachesATargetBetweenUnreachableAgents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFixtureWithTargets(rapid.IntRange(3, 120).Draw(t, "targets"))
		targets := f.View().Targets()
		shuffled := rapid.Permutation(targets).Draw(t, "order")
		down := shuffled[1:rapid.IntRange(1, min(len(shuffled), 9)).Draw(t, "down")]
		// One attempt for the likeliest targets, one that includes the others, and one in which
		// each that did not answer is asked by itself.
		require.LessOrEqual(t, f.search(t, down, shuffled[0]), 3)
	})
}

// TestUnreachableAgentsDelayOnlyTheFirstSearch guards against a delay of each search by the same
// agents: one that did not answer is asked by itself until it is heard from.
func TestUnreachableAgentsDelayOnlyTheFirstSearch(t *testing.T) {
	f := newFixtureWithTargets(40)
	targets := f.View().Targets()
	down, holder := []flow.IPv4{targets[3], targets[20], targets[30]}, targets[11]
	require.Greater(t, f.search(t, down, holder), 1)
	f.table.Drop(key, holder)
	require.Equal(t, 1, f.search(t, down, holder))

	f.table.Drop(key, holder)
	for _, ip := range down {
		f.announce(ip, fleet.Ready)
	}
	f.client(packet(false, 9))
	require.Len(t, f.outstandingProbes(), 1, "they were heard from")
}

// TestUntrackedProbeVisitsUnreachableAgentsLast guards against packets that are lost each time
// while the buffer is full: nothing repeats their probes.
func TestUntrackedProbeVisitsUnreachableAgentsLast(t *testing.T) {
	f := newFixtureWithTargets(20)
	likeliest := f.candidates(f.now, key, f.inForce.Routes[front], denials{})[0]
	target, _ := f.View().Target(likeliest)
	target.Unanswered = true
	for i := range maxBufferedFlows {
		f.buffer.addForSearch(f.now, flow.Key{ClientIP: flow.IPv4(i)}, packet(false, 9))
	}
	f.client(packet(false, 9))
	visited := targetsOf(f.port.Delivered()...)
	require.Len(t, visited, 20)
	require.Equal(t, likeliest, visited[19])
}

// TestUncertainReturnByTheRecordedTargetIsNoDenial guards against searches that ask dozens of
// targets before the one that the flow was sent to: its agent has just restarted and does not know
// its target yet.
func TestUncertainReturnByTheRecordedTargetIsNoDenial(t *testing.T) {
	f := newFixtureWithTargets(200)
	ranked := f.candidates(f.now, key, f.inForce.Routes[front], denials{})
	holder := ranked[len(ranked)-1]
	f.table.Put(f.now, key, holder)
	f.client(packet(false, 9))
	f.returnLast(holder, envelope.Uncertain, packet(false, 9))
	probes := f.outstandingProbes()
	require.True(t, slices.ContainsFunc(probes, func(s envelopetest.Sent) bool { return slices.Equal([]flow.IPv4{holder}, targetsOf(s)) }),
		"it is among the first that are probed, by itself")

	// It stays uncertain for a while, as do the others.
	for _, s := range probes {
		f.returnProbe(s, envelope.Uncertain)
	}
	f.port.Nodes = nil
	f.advance(searchRetryInterval)
	require.True(t, slices.ContainsFunc(f.outstandingProbes(), func(s envelopetest.Sent) bool { return slices.Equal([]flow.IPv4{holder}, targetsOf(s)) }))
	require.Empty(t, f.port.Resets)
}

// TestOverdueRecordedTargetIsProbedFirst: the flow was sent there, and its agent may be back.
func TestOverdueRecordedTargetIsProbedFirst(t *testing.T) {
	f := newFixtureWithTargets(100)
	f.table.Put(f.now, key, targetA)
	f.now = f.now.Add(fleet.OverdueAfter + time.Second)
	for _, ip := range f.View().Targets() {
		if ip != targetA {
			f.announce(ip, fleet.Ready)
		}
	}
	f.client(packet(false, 9))
	require.True(t, slices.ContainsFunc(f.outstandingProbes(), func(s envelopetest.Sent) bool { return slices.Equal([]flow.IPv4{targetA}, targetsOf(s)) }))
}

// TestTargetThatJoinsDuringASearchIsProbed guards against waiting for an agent that is down while
// the flow is at a target that joined meanwhile, or whose agent is back.
func TestTargetThatJoinsDuringASearchIsProbed(t *testing.T) {
	f := newFixture()
	f.client(packet(false, 9))
	f.announce(other, fleet.Ready)
	f.advance(searchRetryInterval)
	require.ElementsMatch(t, []flow.IPv4{targetA, targetB, other}, targetsOf(f.outstandingProbes()...))
}

// TestRepeatedProbesLeaveTheLinkToOthers guards against searches that keep a link full: probes that
// are only late are repeated, and a probe for each target makes the others later still.
func TestRepeatedProbesLeaveTheLinkToOthers(t *testing.T) {
	const linkMbps, flows = 2, 100
	f := newFixtureWithTargets(30)
	f.opts.LinkMbps, f.repeats = linkMbps, newRepeatLimit(linkMbps)
	for i := range flows {
		k := key
		k.ClientPort += uint16(i)
		f.client(platformtest.FromClient(k, flow.ACK, 0, 9, make([]byte, 1000)))
	}
	f.port.Nodes = nil
	f.advance(searchRetryInterval)
	f.port.Nodes = nil
	f.advance(time.Second)
	repeated, shared := 0, 0
	for _, s := range f.port.Delivered() {
		if s.Env.Count == 0 {
			repeated += len(s.Raw)
		} else {
			shared++
		}
	}
	require.NotZero(t, shared, "the others are asked all the same")
	require.LessOrEqual(t, float64(repeated), linkMbps*1e6/8*repeatShare*(1+repeatBurst.Seconds()))
	require.NotZero(t, repeated)
}
