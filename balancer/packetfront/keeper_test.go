package packetfront

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
)

func (f *fixture) beacon(ip flow.IPv4) {
	f.seq++
	m := fleet.Beacon{MessageID: fleet.MessageID{Incarnation: uint64(ip), Seq: f.seq}, ConfigVersion: 5}
	f.HandleNode(f.now, ip, m.Append(nil))
}

// live lets time go by while the named nodes are heard.
func (f *fixture) live(d time.Duration, agents, balancers []flow.IPv4) {
	for end := f.now.Add(d); f.now.Before(end); f.Tick(f.now) {
		f.now = f.now.Add(time.Second)
		for _, ip := range agents {
			f.announce(ip, fleet.Ready)
		}
		for _, ip := range balancers {
			f.beacon(ip)
		}
	}
}

const (
	lower  = flow.IPv4(0x09000001)
	higher = peer
)

// TestTheKeeperStrikesDeadNodes: the first living balancer by address does, and
// only nodes that were unheard for as long as nodes are remembered.
func TestTheKeeperStrikesDeadNodes(t *testing.T) {
	agent := func(ip flow.IPv4) DeadNode {
		return DeadNode{fleet.RoleAgent, fleet.Entry{IP: ip, Incarnation: uint64(ip)}}
	}
	surveyed := func(ip flow.IPv4) DeadNode { return DeadNode{fleet.RoleAgent, registered(ip)[0]} }
	for name, c := range map[string]struct {
		prepare   func(f *fixture)
		after     time.Duration
		agents    []flow.IPv4
		balancers []flow.IPv4
		want      []DeadNode
	}{
		"all live":               {agents: []flow.IPv4{targetA, targetB}, balancers: []flow.IPv4{higher}},
		"an agent died":          {agents: []flow.IPv4{targetA}, balancers: []flow.IPv4{higher}, want: []DeadNode{agent(targetB)}},
		"an agent died just now": {agents: []flow.IPv4{targetA}, balancers: []flow.IPv4{higher}, after: fleet.ExpireAfter / 2},
		"another one keeps it":   {agents: []flow.IPv4{targetA}, balancers: []flow.IPv4{lower, higher}},
		"the other keeper died": {
			prepare: func(f *fixture) { f.beacon(lower) },
			agents:  []flow.IPv4{targetA}, balancers: []flow.IPv4{higher},
			want: []DeadNode{agent(targetB), {fleet.RoleBalancer, fleet.Entry{IP: lower, Incarnation: uint64(lower)}}},
		},
		"a registered agent was never heard": {
			prepare: func(f *fixture) { f.TakeSnapshot(f.now, fleet.SnapshotAt(f.now, registered(targetA, targetB, other))) },
			agents:  []flow.IPv4{targetA, targetB}, balancers: []flow.IPv4{higher},
			want: []DeadNode{surveyed(other)},
		},
		"a registered balancer was never heard": {
			prepare: func(f *fixture) {
				f.Audited(f.now, f.now, registered(self, higher, lower), fleet.SnapshotAt(f.now, registered(targetA, targetB)))
			},
			agents: []flow.IPv4{targetA, targetB}, balancers: []flow.IPv4{higher},
			want: []DeadNode{{fleet.RoleBalancer, registered(lower)[0]}},
		},
		"this balancer is cut off": {},
	} {
		f := newFixture()
		if c.prepare != nil {
			c.prepare(f)
		}
		if c.after == 0 {
			c.after = fleet.ExpireAfter + 3*time.Second
		}
		f.live(c.after, c.agents, c.balancers)
		require.ElementsMatch(t, c.want, f.DeadNodes(f.now), name)
		require.Empty(t, f.DeadNodes(f.now), "%s: each once", name)
	}
}

// TestTheRosterIsReadRarely, by the keeper, once it knows who lives.
func TestTheRosterIsReadRarely(t *testing.T) {
	f := newFixture()
	require.False(t, f.AuditDue(f.startedAt.Add(fleet.ExpireAfter-1)))
	now := f.startedAt.Add(fleet.ExpireAfter)
	require.True(t, f.AuditDue(now))
	require.False(t, f.AuditDue(now.Add(auditPeriod-1)))
	require.True(t, f.AuditDue(now.Add(auditPeriod)))
	f.now = now.Add(2 * auditPeriod)
	f.beacon(lower)
	require.False(t, f.AuditDue(f.now), "another one keeps it")
}
