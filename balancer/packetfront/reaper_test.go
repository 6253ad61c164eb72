package packetfront

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
)

// receiveBeacon handles a beacon of another balancer.
func (f *fixture) receiveBeacon(ip flow.IPv4) {
	f.seq++
	m := fleet.Beacon{MessageID: fleet.MessageID{ProcessIncarnation: uint64(ip), Seq: f.seq}, ConfigVersion: 5}
	f.HandleNode(f.now, ip, m.Append(nil))
}

// advance lets time pass while messages of the given nodes arrive.
func (f *fixture) advance(d time.Duration, agents, balancers []flow.IPv4) {
	for end := f.now.Add(d); f.now.Before(end); f.Tick(f.now) {
		f.now = f.now.Add(time.Second)
		for _, ip := range agents {
			f.announce(ip, fleet.Ready)
		}
		for _, ip := range balancers {
			f.receiveBeacon(ip)
		}
	}
}

const (
	lowerPeer  = flow.IPv4(0x09000001)
	higherPeer = peer
)

// TestTheReaperRemovesDeadNodes: only the live balancer with the lowest address queues dead
// nodes for removal from the registry, and only nodes not seen for fleet.ExpireAfter.
func TestTheReaperRemovesDeadNodes(t *testing.T) {
	agent := func(ip flow.IPv4) DeadNode {
		return DeadNode{fleet.RoleAgent, fleet.Entry{IP: ip, ProcessIncarnation: uint64(ip)}}
	}
	registeredAgent := func(ip flow.IPv4) DeadNode { return DeadNode{fleet.RoleAgent, registered(ip)[0]} }
	for name, c := range map[string]struct {
		prepare   func(f *fixture)
		after     time.Duration
		agents    []flow.IPv4
		balancers []flow.IPv4
		want      []DeadNode
	}{
		"all nodes are alive":    {agents: []flow.IPv4{targetA, targetB}, balancers: []flow.IPv4{higherPeer}},
		"an agent died":          {agents: []flow.IPv4{targetA}, balancers: []flow.IPv4{higherPeer}, want: []DeadNode{agent(targetB)}},
		"an agent died just now": {agents: []flow.IPv4{targetA}, balancers: []flow.IPv4{higherPeer}, after: fleet.ExpireAfter / 2},
		"another is the reaper":  {agents: []flow.IPv4{targetA}, balancers: []flow.IPv4{lowerPeer, higherPeer}},
		"the other reaper died": {
			prepare: func(f *fixture) { f.receiveBeacon(lowerPeer) },
			agents:  []flow.IPv4{targetA}, balancers: []flow.IPv4{higherPeer},
			want: []DeadNode{agent(targetB), {fleet.RoleBalancer, fleet.Entry{IP: lowerPeer, ProcessIncarnation: uint64(lowerPeer)}}},
		},
		"a registered agent was never seen": {
			prepare: func(f *fixture) {
				f.TakeSnapshot(f.now, fleet.SnapshotAt(f.now, registered(targetA, targetB, targetC)))
			},
			agents: []flow.IPv4{targetA, targetB}, balancers: []flow.IPv4{higherPeer},
			want: []DeadNode{registeredAgent(targetC)},
		},
		"a registered balancer was never seen": {
			prepare: func(f *fixture) {
				f.ApplyAudit(f.now, f.now, registered(self, higherPeer, lowerPeer), fleet.SnapshotAt(f.now, registered(targetA, targetB)))
			},
			agents: []flow.IPv4{targetA, targetB}, balancers: []flow.IPv4{higherPeer},
			want: []DeadNode{{fleet.RoleBalancer, registered(lowerPeer)[0]}},
		},
		"this balancer is partitioned": {},
	} {
		f := newFixture()
		if c.prepare != nil {
			c.prepare(f)
		}
		if c.after == 0 {
			c.after = fleet.ExpireAfter + 3*time.Second
		}
		f.advance(c.after, c.agents, c.balancers)
		require.ElementsMatch(t, c.want, f.DeadNodes(f.now), name)
		require.Empty(t, f.DeadNodes(f.now), "%s: each only once", name)
	}
}

// TestRegistryAuditsArePeriodic: only the registry reaper audits, and not before it has had
// time to see which nodes are alive.
func TestRegistryAuditsArePeriodic(t *testing.T) {
	f := newFixture()
	require.False(t, f.AuditDue(f.startedAt.Add(fleet.ExpireAfter-1)))
	now := f.startedAt.Add(fleet.ExpireAfter)
	require.True(t, f.AuditDue(now))
	require.False(t, f.AuditDue(now.Add(auditPeriod-1)))
	require.True(t, f.AuditDue(now.Add(auditPeriod)))
	f.now = now.Add(2 * auditPeriod)
	f.receiveBeacon(lowerPeer)
	require.False(t, f.AuditDue(f.now), "another balancer is the reaper")
}
