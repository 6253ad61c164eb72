package packetfront

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poppywall/poppywall/backlog"
	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/flow/envelope"
)

// crowd offers a fixture's target new flows at a rate, each with one request of a fixed
// work, and counts what became of them.
type crowd struct {
	*fixture
	work time.Duration
	next time.Time
	// each is how many requests a flow has, one if zero; answered counts those of a client.
	each     int
	answered map[int]int
	// hops is how many targets have passed each flow on, others the candidates behind this one.
	hops   uint8
	others []flow.Candidate
	// sentAt is when each client sent its opening packet.
	sentAt map[int]time.Time
	// offered, returned and postponed count flows; inTime and late answers.
	offered, returned, postponed, inTime, late int
}

func newCrowd(f *fixture, work time.Duration) *crowd {
	return &crowd{fixture: f, work: work, next: f.now, sentAt: map[int]time.Time{}, answered: map[int]int{}}
}

// play offers so many flows a second for a span.
func (c *crowd) play(span time.Duration, rate float64) {
	end := c.now.Add(span)
	c.next = c.now
	for ; c.now.Before(end); c.now = c.now.Add(time.Millisecond) {
		for !c.now.Before(c.next) {
			c.next = c.next.Add(time.Duration(float64(time.Second) / rate))
			c.offer()
		}
		c.serve()
		if c.now.UnixMilli()%50 == 0 {
			c.Tick(c.now)
			c.target.awaitingSince = time.Time{}
		}
	}
}

func (c *crowd) offer() {
	c.client++
	c.offered++
	before := len(c.port.Nodes)
	env := load(2)
	env.Hops = c.hops
	env.SetCandidates(c.others)
	c.opens(c.client, env, 0)
	switch {
	case c.flows.get(keyOf(c.client)) != nil:
		c.sentAt[c.client] = c.now
		c.asks(c.client)
	case len(c.port.Nodes) > before:
		c.returned++
	default:
		c.postponed++
	}
}

// serve lets the target answer what it has had for long enough, as many as its slots
// at a time.
func (c *crowd) serve() {
	for client, sent := range c.sentAt {
		r := c.flows.get(keyOf(client))
		if r == nil || r.runningAt.IsZero() || c.now.Sub(r.runningAt) < c.workOf(r) {
			continue
		}
		delete(c.sentAt, client)
		if c.now.Sub(sent) <= load(2).Objective {
			c.inTime++
		} else {
			c.late++
		}
		c.targetSends(client, flow.ACK, uint32(501+10*c.answered[client]), 10)
		if c.answered[client]++; c.answered[client] < c.each {
			c.sentAt[client] = c.now
			c.asks(client)
		}
	}
}

// workOf is how long a request stays at the target: those beyond the slots share them.
func (c *crowd) workOf(r *record) time.Duration {
	shared := max(float64(r.concurrent)/float64(c.target.slots()), 1)
	return time.Duration(shared * float64(c.work))
}

// TestInAnOverloadWhatIsTakenIsInTime: 2.4 times what a target can answer, for six
// seconds. From a deadline's quarter and two windows on what is taken is answered within its
// objective, the rest goes on at once; calm again, all are taken.
func TestInAnOverloadWhatIsTakenIsInTime(t *testing.T) {
	c := newCrowd(longThere(), 30*time.Millisecond)
	const capacity = 4 / 0.030
	c.play(3*time.Second, 0.5*capacity)
	require.Zero(t, c.returned+c.postponed+c.late)
	c.play(1500*time.Millisecond, 2.4*capacity)
	require.True(t, c.overload.active)
	c.offered, c.returned, c.postponed, c.inTime, c.late = 0, 0, 0, 0, 0
	c.play(4500*time.Millisecond, 2.4*capacity)
	require.Zero(t, c.postponed, "nothing is left to its next opening packet")
	require.Greater(t, float64(c.inTime), 0.9*4.5*capacity)
	require.Greater(t, float64(c.returned), 0.5*float64(c.offered))
	c.play(500*time.Millisecond, 0.5*capacity)
	require.False(t, c.overload.active)
	c.returned, c.late = 0, 0
	c.play(3*time.Second, 0.5*capacity)
	require.Zero(t, c.returned+c.postponed+c.late)
}

// TestFlowsThatOthersPassOnMakeAnOverload: a target whose only flows come from full ones has
// as much to do as one that balancers choose.
func TestFlowsThatOthersPassOnMakeAnOverload(t *testing.T) {
	c := newCrowd(longThere(), 30*time.Millisecond)
	c.hops = 1
	const capacity = 4 / 0.030
	c.play(3*time.Second, 0.5*capacity)
	require.False(t, c.overload.active)
	c.play(1500*time.Millisecond, 2.4*capacity)
	require.True(t, c.overload.active)
	require.InEpsilon(t, 2.4*capacity, c.overload.Load(c.now).Arrived, 0.1)
}

// TestFlowsThatOthersTakeMakeNoOverload: a target that is chosen first by more than it can
// answer is full, and others have what it passes on.
func TestFlowsThatOthersTakeMakeNoOverload(t *testing.T) {
	c := newCrowd(longThere(), 30*time.Millisecond)
	c.others = []flow.Candidate{{Target: nextIP, Service: service}}
	const capacity = 4 / 0.030
	c.play(4*time.Second, 2.4*capacity)
	require.NotZero(t, c.returned)
	require.Zero(t, c.tally.overloads)
}

// TestTwoFullTargetsEndAFlowsWay: an overloaded target passes a flow on, but not one that
// another has passed on to it.
func TestTwoFullTargetsEndAFlowsWay(t *testing.T) {
	c := newCrowd(longThere(), 30*time.Millisecond)
	const capacity = 4 / 0.030
	c.play(3*time.Second, 0.5*capacity)
	c.play(1500*time.Millisecond, 2.4*capacity)
	require.True(t, c.overload.active)
	for hops, to := range []flow.IPv4{nextIP, balancerIP} {
		env := load(2)
		env.Balancer, env.Hops = balancerIP, uint8(hops)
		env.SetCandidates([]flow.Candidate{{Target: nextIP, Service: service}})
		for c.deliver(env, packet(keyOf(c.client), flow.SYN, 0, "")); c.flows.get(keyOf(c.client)) != nil; c.deliver(env, packet(keyOf(c.client), flow.SYN, 0, "")) {
			c.client++
		}
		require.Equal(t, to, c.port.Last().To, "hops %d", hops)
	}
}

// TestBalancersHearOfAnOverloadAtOnce, of both zones, and of its end: one deadline later
// whoever came before it was told has been answered or has gone.
func TestBalancersHearOfAnOverloadAtOnce(t *testing.T) {
	f := longThere()
	f.beacon(balancerIP, f.opts.Zone, 0)
	f.beacon(nextIP, f.opts.Zone+1, 0)
	c := newCrowd(f, 30*time.Millisecond)
	const capacity = 4 / 0.030
	c.play(3*time.Second, 0.5*capacity)
	require.Equal(t, map[flow.IPv4]bool{balancerIP: false, nextIP: false}, f.heardOverloaded())
	c.play(1500*time.Millisecond, 2.4*capacity)
	require.Equal(t, map[flow.IPv4]bool{balancerIP: true, nextIP: true}, f.heardOverloaded())
	c.play(load(2).Deadline, 0.5*capacity)
	require.Equal(t, map[flow.IPv4]bool{balancerIP: false, nextIP: false}, f.heardOverloaded())
}

// heardOverloaded returns what each balancer heard last of the target's load.
func (f *fixture) heardOverloaded() map[flow.IPv4]bool {
	out := map[flow.IPv4]bool{}
	for _, s := range f.port.OfKind(envelope.Announce) {
		if a, err := fleet.DecodeAnnouncement(s.Raw); err == nil {
			out[s.To] = a.Overloaded
		}
	}
	return out
}

// TestSlowUploadsAreNoOverload: their bodies keep more of them at the target than it has
// slots, while it works on few. Balancers would refuse what an idle target can answer. The
// first seconds, in which the agent has seen no answer yet, are left out.
func TestSlowUploadsAreNoOverload(t *testing.T) {
	const period, gap, work, packets = 107 * time.Millisecond, 30 * time.Millisecond, 5 * time.Millisecond, 67
	f := longThere()
	f.uploads(5*time.Second, period, gap, work, packets)
	f.tally.overloads = 0
	f.uploads(20*time.Second, period, gap, work, packets)
	require.Greater(t, f.peak, 2*f.target.slots())
	require.Zero(t, f.tally.overloads)
	require.Less(t, f.overload.Load(f.now).FullShare, 0.1)
}

// TestALastCandidateSendsAFlowToOneThatCanTakeIt: that it takes none itself, as it is
// overloaded or leaving, is no reason to refuse what another one would have served.
func TestALastCandidateSendsAFlowToOneThatCanTakeIt(t *testing.T) {
	for name, prepare := range map[string]func(f *fixture){
		"overloaded": func(f *fixture) { f.fill(); f.overload.active = true },
		"draining":   func(f *fixture) { f.beat(true) },
	} {
		f := newFixture()
		prepare(f)
		e := load(2)
		e.Objective = time.Millisecond
		e.ShortestWaitTarget, e.ShortestWaitTime = nextIP, 10*time.Millisecond
		f.opens(100, e, 0)
		sent := f.port.Last()
		require.Equal(t, nextIP, sent.To, name)
		require.Equal(t, envelope.Deliver, sent.Kind, name)
		require.NotZero(t, sent.Env.Flags&envelope.ShortestWait, name)
		e.Flags = envelope.ShortestWait
		f.opens(101, e, 0)
		require.Equal(t, envelope.Returned, f.port.Last().Kind, "%s: it was sent on once", name)
	}
}

// TestAnOverloadByLongFlowsIsTold as one by flows of one request each: what their later
// requests bring is answered, and arrives, too.
func TestAnOverloadByLongFlowsIsTold(t *testing.T) {
	const each, capacity = 5, 4 / 0.030
	c := newCrowd(longThere(), 30*time.Millisecond)
	c.each = each
	c.play(3*time.Second, 0.5*capacity/each)
	require.Zero(t, c.tally.overloads)
	c.play(2*load(2).Deadline+2*backlog.OverloadWindow, 2.4*capacity/each)
	require.Equal(t, 1, c.tally.overloads, "as soon as its backlog has lasted for two deadlines")
}

// TestLateRequestsAreNotAheadInAnOverload: those that cannot meet their objective any more
// let a new one go first, and its wait leaves them out.
func TestLateRequestsAreNotAheadInAnOverload(t *testing.T) {
	f := newFixture()
	f.fill()
	alone := f.expectedWait(f.now)
	for client := 100; client < 110; client++ {
		f.opens(client, load(2), 2)
		f.asks(client)
	}
	f.pass(load(2).Objective)
	require.Equal(t, 10, f.queue.Len())
	require.Greater(t, f.expectedWait(f.now), 2*alone)
	f.overload.active = true
	require.Equal(t, alone, f.expectedWait(f.now))
}
