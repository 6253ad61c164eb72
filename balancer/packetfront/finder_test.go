package packetfront

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poppywall/poppywall/balancer/search"
	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/flow/envelope"
	"github.com/poppywall/poppywall/flow/envelope/envelopetest"
	"github.com/poppywall/poppywall/platform"
)

// searchPause is the pause between searches for a flow.
const searchPause = 150 * time.Millisecond

// newStarted returns a balancer that knows nothing yet.
func newStarted() *fixture {
	f := &fixture{port: &envelopetest.Recorder{}, now: time.Unix(1_700_000_000, 0)}
	f.Core = New(f.now, Options{Self: self, Incarnation: 1}, f.port, platform.Codec{}, quiet{&f.doubt, &f.kept}, rand.New(rand.NewPCG(1, 1)))
	return f
}

// pass lets time go by, tick by tick.
func (f *fixture) pass(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.Tick(f.now) {
		f.now = f.now.Add(f.TickPeriod(f.now))
	}
}

// TestPacketsBeforeTheBalancerKnowsTheirWayAreKept: their clients would repeat
// them up to 1.6 s later.
func TestPacketsBeforeTheBalancerKnowsTheirWayAreKept(t *testing.T) {
	for name, p := range map[string][]byte{"a new flow": packet(true, 0), "an open flow": packet(false, 9)} {
		f := newStarted()
		f.client(p)
		f.pass(2 * search.BufferRetryInterval)
		require.Empty(t, f.port.Delivered(), name)
		f.SetConfig(f.now, config(5))
		f.pass(2 * search.BufferRetryInterval)
		require.Empty(t, f.port.Delivered(), "%s: no target yet", name)
		f.announce(targetA, fleet.Ready)
		f.pass(search.BufferRetryInterval)
		require.Len(t, f.port.Delivered(), 1, name)
		f.pass(searchPause / 2)
		require.Len(t, f.port.Delivered(), 1, "%s: the target was asked", name)
	}
}

// TestWhatTheFrontHearsDecidesOnAnUnknownFlow: messages of other nodes, readings of the
// registry and reloaded settings reach the search.
func TestWhatTheFrontHearsDecidesOnAnUnknownFlow(t *testing.T) {
	for name, c := range map[string]struct {
		prepare func(f *fixture)
		flags   envelope.Flags
		want    Uncertainty
	}{
		"all said no":                {want: ""},
		"one was unsure":             {flags: envelope.Uncertain, want: search.UncertainTarget},
		"an agent is missing":        {prepare: func(f *fixture) { f.TakeSnapshot(f.now, fleet.SnapshotAt(f.now, registered(targetA, targetB, other))) }, want: search.UncertainMissing},
		"an agent is not registered": {prepare: func(f *fixture) { f.TakeSnapshot(f.now, fleet.SnapshotAt(f.now, registered(targetA))) }, want: search.UncertainRegistry},
		"the registry was not read":  {prepare: func(f *fixture) { f.started(f.now.Add(-time.Minute)) }, want: search.UncertainSnapshot},
		"another balancer names an agent": {
			prepare: func(f *fixture) {
				fleet.NodeList{ActiveAgents: []flow.IPv4{other}}.Append(nil, func(msg []byte) { f.HandleNode(f.now, peer, msg) })
			},
			want: search.UncertainMissing,
		},
		"alone among its seeds": {
			prepare: func(f *fixture) {
				f.started(f.now.Add(-search.FreshTime))
				f.SetSeeds([]flow.IPv4{self, peer})
			},
			want: search.UncertainFresh,
		},
		"a seed was heard a moment ago": {
			prepare: func(f *fixture) {
				f.started(f.now.Add(-search.FreshTime))
				f.SetSeeds([]flow.IPv4{self, peer})
				f.hears(peer)
				f.now = f.now.Add(search.FreshTime - 1)
			},
			want: search.UncertainFresh,
		},
		"a seed was heard before": {
			prepare: func(f *fixture) {
				f.started(f.now.Add(-search.FreshTime))
				f.SetSeeds([]flow.IPv4{self, peer})
				f.hears(peer)
				f.now = f.now.Add(search.FreshTime)
				f.TakeSnapshot(f.now, fleet.SnapshotAt(f.now, registered(targetA, targetB)))
			},
			want: "",
		},
	} {
		f := newFixture()
		if c.prepare != nil {
			c.prepare(f)
		}
		f.client(packet(false, 9))
		f.answer(targetB, envelope.SearchExhausted|c.flags, packet(false, 9))
		require.Equal(t, c.want, f.doubt, name)
		require.Equal(t, c.want == "", len(f.port.Resets) == 1, name)
	}
}

// TestTicksRepeatASearch whose message was lost; packets that came meanwhile follow once the
// target is known.
func TestTicksRepeatASearch(t *testing.T) {
	f := newFixture()
	f.client(packet(false, 9))
	f.client(packet(false, 10))
	require.Len(t, f.port.Delivered(), 1)
	f.pass(searchPause + tickPeriod)
	require.Len(t, f.port.Delivered(), 2, "searched for again")
	owner := envelope.Envelope{Kind: envelope.Owner, Balancer: self}
	f.HandleNode(f.now, targetB, envelope.AppendKey(owner.Append(nil), key))
	sent := f.port.Delivered()
	require.Len(t, sent, 3)
	require.Equal(t, targetB, sent[2].To)
}
