package packetfront

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/flow/envelope"
)

func TestSYNRetransmissionsGoToTheFirstTarget(t *testing.T) {
	f := newFixture()
	for retransmissions := range byte(3) {
		f.receiveFromClient(packet(true, retransmissions))
	}
	sent := f.port.Delivered()
	require.Len(t, sent, 3)
	require.Equal(t, sent[0].To, sent[1].To)
	require.Equal(t, sent[0].To, sent[2].To)
	require.Equal(t, 1, sent[0].Env.Count, "the other target, in case this one refuses")
	require.Equal(t, alpha, sent[0].Env.Service)
	require.Zero(t, sent[0].Env.Flags)
	require.Equal(t, envelope.Retransmitted, sent[1].Env.Flags)

	lone := newFixture()
	lone.receiveFromClient(packet(true, 2))
	require.Zero(t, lone.port.Delivered()[0].Env.Flags, "this balancer has not handled an earlier SYN")
}

func TestNewFlowsAvoidDrainingAndGoneTargets(t *testing.T) {
	f := newFixture()
	f.announce(targetA, fleet.Draining)
	f.receiveFromClient(packet(true, 0))
	require.Equal(t, targetB, f.port.Delivered()[0].To)
	require.Zero(t, f.port.Delivered()[0].Env.Count)
	f.announce(targetB, fleet.Gone)
	f.receiveFromClient(packet(true, 0))
	require.Len(t, f.port.Resets, 1, "no target of the service")
}

// TestEjectedTargetsGetNoNewFlowsWhileTheOthersCanCarryThem: ejections are ignored if more than
// a third of the ready targets are ejected.
func TestEjectedTargetsGetNoNewFlowsWhileTheOthersCanCarryThem(t *testing.T) {
	for name, c := range map[string]struct {
		ejected []flow.IPv4
		avoided bool
	}{
		"one of four": {[]flow.IPv4{targetA}, true},
		"two of four": {[]flow.IPv4{targetA, targetB}, false},
		"all":         {[]flow.IPv4{targetA, targetB, targetC, targetC + 1}, false},
		"none":        {nil, false},
	} {
		f := newFixture()
		f.announce(targetC, fleet.Ready)
		f.announce(targetC+1, fleet.Ready)
		for _, ip := range c.ejected {
			f.seq++
			a := fleet.Announcement{MessageID: fleet.MessageID{ProcessIncarnation: uint64(ip), Seq: f.seq}, Service: alpha, State: fleet.Ready, Slots: 4, Ejected: true}
			f.HandleNode(f.now, ip, a.Append(nil))
		}
		offered := false
		for range 20 {
			f.receiveFromClient(packet(true, 0))
			sent := f.port.Delivered()
			last := sent[len(sent)-1]
			targets := []flow.IPv4{last.To}
			targets = append(targets, last.Env.Candidates[:last.Env.Count]...)
			offered = offered || slices.Contains(targets, targetA)
		}
		require.Equal(t, !c.avoided, offered, name)
	}
}

func TestOnlyAFirstSYNRefusedInTimeIsReset(t *testing.T) {
	for name, c := range map[string]struct {
		retransmissions byte
		after           time.Duration
		resets          int
	}{
		"first SYN":         {0, 10 * time.Millisecond, 1},
		"retransmission":    {1, 10 * time.Millisecond, 0},
		"returned too late": {0, refuseWithin + time.Millisecond, 0},
	} {
		f := newFixture()
		p := packet(true, c.retransmissions)
		f.receiveFromClient(p)
		f.now = f.now.Add(c.after)
		f.returnPacket(targetB, 0, p)
		require.Len(t, f.port.Resets, c.resets, name)
	}
}

// TestUnknownRoutesAndMissingConfigurationCauseNoReset: another balancer may have the route.
func TestUnknownRoutesAndMissingConfigurationCauseNoReset(t *testing.T) {
	f := newFixture()
	f.SetConfig(f.now, &flow.Config{Version: 6})
	f.receiveFromClient(packet(true, 0))
	f.receiveFromClient(packet(false, 0))
	fresh := newFixture()
	fresh.forgetConfig(fresh.now)
	fresh.receiveFromClient(packet(true, 0))
	require.Empty(t, append(f.port.Resets, fresh.port.Resets...))
	require.Empty(t, append(f.port.Delivered(), fresh.port.Delivered()...))
}

func TestOlderConfigurationsAreIgnored(t *testing.T) {
	f := newFixture()
	require.False(t, f.SetConfig(f.now, config(5)))
	require.False(t, f.SetConfig(f.now, config(4)))
	require.True(t, f.SetConfig(f.now, config(6)))
	require.EqualValues(t, 6, f.ConfigVersion())
}

func TestANewConfigurationIsAnnouncedAtOnce(t *testing.T) {
	f := newFixture()
	f.HandleNode(f.now, peer, (&fleet.Beacon{MessageID: fleet.MessageID{ProcessIncarnation: 4, Seq: 1}}).Append(nil))
	f.port.Nodes = nil
	f.SetConfig(f.now, config(6))
	m, err := fleet.DecodeBeacon(f.port.Nodes[0].Raw)
	require.NoError(t, err)
	require.EqualValues(t, 6, m.ConfigVersion)
}

func TestAnUnknownFlowIsSearchedForAndThenRemembered(t *testing.T) {
	f := newFixture()
	f.announce(targetC, fleet.Draining)
	f.receiveFromClient(packet(false, 9))
	first := f.port.Delivered()[0]
	require.Equal(t, 2, first.Env.Count, "every target that may hold it, draining ones too")
	require.NotZero(t, first.Env.Flags&envelope.Search)
	owner := envelope.Envelope{Kind: envelope.Owner}
	f.HandleNode(f.now, targetC, envelope.AppendKey(owner.Append(nil), key))
	f.receiveFromClient(packet(false, 9))
	second := f.port.Delivered()[1]
	require.Equal(t, targetC, second.To)
	require.Zero(t, second.Env.Count)
	f.returnPacket(targetC, 0, packet(false, 9))
	require.Len(t, f.port.Delivered(), 3, "the target does not hold the flow: it is searched for again")
	require.Equal(t, 2, f.port.Delivered()[2].Env.Count)
}

// TestFlowsOfAnOverdueTargetAreSearchedFor: the flow's SYN may have been lost on the way to the
// recorded target, and a retransmission through another balancer may have opened the flow at
// another target.
func TestFlowsOfAnOverdueTargetAreSearchedFor(t *testing.T) {
	for name, after := range map[string]time.Duration{
		"seen recently": fleet.OverdueAfter / 2, "overdue": fleet.OverdueAfter + time.Millisecond, "expired": fleet.ExpireAfter + time.Second,
	} {
		f := newFixture()
		f.receiveFromClient(packet(true, 0))
		opened := f.port.Delivered()[0].To
		for end := f.now.Add(after); f.now.Before(end); {
			f.now = f.now.Add(min(time.Second, end.Sub(f.now)))
			f.announce(targetA+targetB-opened, fleet.Ready)
			f.Tick(f.now)
			f.table.Get(f.now, key)
		}
		f.receiveFromClient(packet(false, 9))
		sent := f.port.Delivered()[1]
		if after < fleet.OverdueAfter {
			require.Equal(t, opened, sent.To, name)
			require.Zero(t, sent.Env.Flags&envelope.Search, name)
		} else {
			require.NotEqual(t, opened, sent.To, name)
			require.NotZero(t, sent.Env.Flags&envelope.Search, name)
		}
	}
}

// TestSearchesProbeTheCandidatesOfTheSYNFirst: a flow that was opened in another zone is found in
// the first search round, even if there are many targets in the local zone.
func TestSearchesProbeTheCandidatesOfTheSYNFirst(t *testing.T) {
	f := newFixture()
	for i := range flow.IPv4(40) {
		f.announce(0x0a020000+i, fleet.Ready)
	}
	for i := range flow.IPv4(10) {
		f.seq++
		a := fleet.Announcement{MessageID: fleet.MessageID{ProcessIncarnation: 1, Seq: f.seq}, Service: alpha, Zone: 9, State: fleet.Ready, Slots: 4}
		f.HandleNode(f.now, 0x0a030000+i, a.Append(nil))
	}
	f.receiveFromClient(packet(true, 0))
	chosen := f.port.Delivered()[0]
	candidates := map[flow.IPv4]bool{chosen.To: true}
	for _, c := range chosen.Env.Candidates[:chosen.Env.Count] {
		candidates[c] = true
	}
	f.table.Drop(key, chosen.To)
	f.receiveFromClient(packet(false, 9))
	sent := f.port.Delivered()[1]
	probed := []flow.IPv4{sent.To}
	probed = append(probed, sent.Env.Candidates[:2*searchFirstTargets-1]...)
	for ip := range candidates {
		require.Contains(t, probed, ip)
	}
}

// TestIdleAgentsAreContactedAndCauseNoUncertainty: balancers name agents without a running target
// to each other, so that all know an agent before its target starts. But a balancer does not wait
// for one that it has not seen: its VM may have been removed.
func TestIdleAgentsAreContactedAndCauseNoUncertainty(t *testing.T) {
	nodeListOf := func(f *fixture) (n fleet.NodeList) {
		f.port.Nodes = nil
		f.seq++
		request := fleet.Beacon{MessageID: fleet.MessageID{ProcessIncarnation: 4, Seq: f.seq}, WantPeers: true}
		f.HandleNode(f.now, peer, request.Append(nil))
		for _, s := range f.port.Nodes {
			if s.Kind == envelope.Peers {
				var err error
				n, err = fleet.DecodeNodeList(s.Raw)
				require.NoError(t, err)
			}
		}
		return n
	}
	f := newFixture()
	require.Empty(t, nodeListOf(f).IdleAgents)
	digest := f.View().Digest(f.now, self)
	f.announce(targetC, fleet.Gone)
	require.Equal(t, []flow.IPv4{targetC}, nodeListOf(f).IdleAgents)
	require.ElementsMatch(t, []flow.IPv4{targetA, targetB}, nodeListOf(f).ActiveAgents)
	require.NotEqual(t, digest, f.View().Digest(f.now, self), "balancers that do not know the agent must notice")
	f.wait(fleet.OverdueAfter + time.Second)
	require.Empty(t, nodeListOf(f).IdleAgents)
	f.View().Expire(f.now)

	fresh := newFixture()
	fleet.NodeList{IdleAgents: []flow.IPv4{targetC}}.Append(nil, func(msg []byte) { fresh.HandleNode(fresh.now, peer, msg) })
	require.Equal(t, targetC, fresh.port.Nodes[0].To, "contacted")
	fresh.receiveFromClient(packet(false, 9))
	fresh.returnPacket(targetB, envelope.SearchExhausted, packet(false, 9))
	require.Len(t, fresh.port.Resets, 1)
}

func TestReadiness(t *testing.T) {
	f := newFixture()
	require.True(t, f.Ready(f.now))
	f.Leave(f.now)
	require.False(t, f.Ready(f.now))
	f = newFixture()
	f.forgetConfig(f.now)
	require.False(t, f.Ready(f.now), "no configuration")
}

// FuzzHandleNode: arbitrary datagrams between nodes cause no panic, and no reset unless they
// decode as an envelope.
func FuzzHandleNode(f *testing.F) {
	f.Add([]byte("nonsense"))
	e := envelope.Envelope{Kind: envelope.Returned, Flags: envelope.SearchExhausted}
	f.Add(append(e.Append(nil), packet(false, 9)...))
	f.Fuzz(func(t *testing.T, b []byte) {
		x := newFixture()
		x.HandleNode(x.now, 77, b)
		var env envelope.Envelope
		if _, err := env.Decode(b); err != nil {
			require.Empty(t, x.port.Resets)
		}
	})
}
