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

// openLoopLoad offers new flows at a fixed rate to a fixture's target, with a fixed service time,
// and counts the outcomes.
type openLoopLoad struct {
	*fixture
	serviceTime time.Duration
	next        time.Time
	// requestsPerFlow is the number of requests of each flow, one if zero; answered counts the
	// answered requests of each client.
	requestsPerFlow int
	answered        map[int]int
	// hops is how many targets have passed on each flow, candidates are those after this one.
	hops       uint8
	candidates []flow.IPv4
	// sentAt is when each client sent its unanswered request.
	sentAt map[int]time.Time
	// offered, returned and postponed count flows; inTime and late count answers.
	offered, returned, postponed, inTime, late int
}

func newOpenLoopLoad(f *fixture, work time.Duration) *openLoopLoad {
	return &openLoopLoad{fixture: f, serviceTime: work, next: f.now, sentAt: map[int]time.Time{}, answered: map[int]int{}}
}

// run offers the given number of flows a second for the given time.
func (c *openLoopLoad) run(span time.Duration, rate float64) {
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
			c.answerProbe()
		}
	}
}

func (c *openLoopLoad) offer() {
	c.client++
	c.offered++
	before := len(c.port.Nodes)
	env := routeEnvelope(2)
	env.Hops = c.hops
	env.SetCandidates(c.candidates)
	c.openFlow(c.client, env, 0)
	switch {
	case c.flows.get(keyOf(c.client)) != nil:
		c.sentAt[c.client] = c.now
		c.sendRequest(c.client)
	case len(c.port.Nodes) > before:
		c.returned++
	default:
		c.postponed++
	}
}

// serve answers the requests that have been at the target for their service time.
func (c *openLoopLoad) serve() {
	for client, sent := range c.sentAt {
		r := c.flows.get(keyOf(client))
		if r == nil || r.runningAt.IsZero() || c.now.Sub(r.runningAt) < c.serviceTimeOf(r) {
			continue
		}
		delete(c.sentAt, client)
		if c.now.Sub(sent) <= routeEnvelope(2).Objective {
			c.inTime++
		} else {
			c.late++
		}
		c.targetSends(client, flow.ACK, uint32(501+10*c.answered[client]), 10)
		if c.answered[client]++; c.answered[client] < c.requestsPerFlow {
			c.sentAt[client] = c.now
			c.sendRequest(client)
		}
	}
}

// serviceTimeOf returns how long a request stays at the target: requests beyond the number of
// slots share the slots.
func (c *openLoopLoad) serviceTimeOf(r *record) time.Duration {
	shared := max(float64(r.concurrent)/float64(c.target.slots()), 1)
	return time.Duration(shared * float64(c.serviceTime))
}

// TestOverloadedTargetAnswersAdmittedRequestsInTime offers 2.4 times the target's capacity for six
// seconds. After a quarter of the deadline and two windows, admitted requests are answered within
// their objective and the others are passed on at once. After the overload all are admitted again.
func TestOverloadedTargetAnswersAdmittedRequestsInTime(t *testing.T) {
	c := newOpenLoopLoad(newSettledFixture(), 30*time.Millisecond)
	const capacity = 4 / 0.030
	c.run(3*time.Second, 0.5*capacity)
	require.Zero(t, c.returned+c.postponed+c.late)
	c.run(1500*time.Millisecond, 2.4*capacity)
	require.True(t, c.overload.active)
	c.offered, c.returned, c.postponed, c.inTime, c.late = 0, 0, 0, 0, 0
	c.run(4500*time.Millisecond, 2.4*capacity)
	require.Zero(t, c.postponed, "no flow is postponed")
	require.Greater(t, float64(c.inTime), 0.9*4.5*capacity)
	require.Greater(t, float64(c.returned), 0.5*float64(c.offered))
	c.run(500*time.Millisecond, 0.5*capacity)
	require.False(t, c.overload.active)
	c.returned, c.late = 0, 0
	c.run(3*time.Second, 0.5*capacity)
	require.Zero(t, c.returned+c.postponed+c.late)
}

// TestPassedOnFlowsCountTowardsOverload: flows that other targets pass on count as offered load
// like flows that balancers send directly.
func TestPassedOnFlowsCountTowardsOverload(t *testing.T) {
	c := newOpenLoopLoad(newSettledFixture(), 30*time.Millisecond)
	c.hops = 1
	const capacity = 4 / 0.030
	c.run(3*time.Second, 0.5*capacity)
	require.False(t, c.overload.active)
	c.run(1500*time.Millisecond, 2.4*capacity)
	require.True(t, c.overload.active)
	require.InEpsilon(t, 2.4*capacity, c.overload.Load(c.now).Arrived, 0.1)
}

// TestFlowsServedElsewhereDoNotCountTowardsOverload: a target that is offered more flows than it
// can answer is full but not overloaded while other candidates get the rest.
func TestFlowsServedElsewhereDoNotCountTowardsOverload(t *testing.T) {
	c := newOpenLoopLoad(newSettledFixture(), 30*time.Millisecond)
	c.candidates = []flow.IPv4{nextIP}
	const capacity = 4 / 0.030
	c.run(4*time.Second, 2.4*capacity)
	require.NotZero(t, c.returned)
	require.Zero(t, c.counts.overloads)
}

// TestFlowIsReturnedAfterTwoFullTargets: an overloaded target passes on a flow from a balancer, but
// returns one that another target has passed on.
func TestFlowIsReturnedAfterTwoFullTargets(t *testing.T) {
	c := newOpenLoopLoad(newSettledFixture(), 30*time.Millisecond)
	const capacity = 4 / 0.030
	c.run(3*time.Second, 0.5*capacity)
	c.run(1500*time.Millisecond, 2.4*capacity)
	require.True(t, c.overload.active)
	for hops, to := range []flow.IPv4{nextIP, balancerIP} {
		env := routeEnvelope(2)
		env.Balancer, env.Hops = balancerIP, uint8(hops)
		env.SetCandidates([]flow.IPv4{nextIP})
		for c.deliver(env, packet(keyOf(c.client), flow.SYN, 0, "")); c.flows.get(keyOf(c.client)) != nil; c.deliver(env, packet(keyOf(c.client), flow.SYN, 0, "")) {
			c.client++
		}
		require.Equal(t, to, c.port.Last().To, "hops %d", hops)
	}
}

// TestOverloadIsAnnouncedAtOnce: balancers of both zones learn of the start of an overload at once,
// and of its end within one deadline, when all earlier requests were answered or have expired.
func TestOverloadIsAnnouncedAtOnce(t *testing.T) {
	f := newSettledFixture()
	f.receiveBeacon(balancerIP, f.opts.Zone, 0)
	f.receiveBeacon(nextIP, f.opts.Zone+1, 0)
	c := newOpenLoopLoad(f, 30*time.Millisecond)
	const capacity = 4 / 0.030
	c.run(3*time.Second, 0.5*capacity)
	require.Equal(t, map[flow.IPv4]bool{balancerIP: false, nextIP: false}, f.announcedOverload())
	c.run(1500*time.Millisecond, 2.4*capacity)
	require.Equal(t, map[flow.IPv4]bool{balancerIP: true, nextIP: true}, f.announcedOverload())
	c.run(routeEnvelope(2).Deadline, 0.5*capacity)
	require.Equal(t, map[flow.IPv4]bool{balancerIP: false, nextIP: false}, f.announcedOverload())
}

// announcedOverload returns the overload state last announced to each balancer.
func (f *fixture) announcedOverload() map[flow.IPv4]bool {
	out := map[flow.IPv4]bool{}
	for _, s := range f.port.OfKind(envelope.Announce) {
		if a, err := fleet.DecodeAnnouncement(s.Raw); err == nil {
			out[s.To] = a.Overloaded
		}
	}
	return out
}

// TestSlowUploadsAreNoOverload: the target has more slow uploads than slots but works on few of
// them, so balancers must not refuse requests. The first 5 seconds are left out, because the
// agent has seen no answer yet.
func TestSlowUploadsAreNoOverload(t *testing.T) {
	const period, gap, work, packets = 107 * time.Millisecond, 30 * time.Millisecond, 5 * time.Millisecond, 67
	f := newSettledFixture()
	f.runUploads(5*time.Second, period, gap, work, packets)
	f.counts.overloads = 0
	f.runUploads(20*time.Second, period, gap, work, packets)
	require.Greater(t, f.peak, 2*f.target.slots())
	require.Zero(t, f.counts.overloads)
	require.Less(t, f.overload.Load(f.now).FullShare, 0.1)
}

// TestLastCandidateRedirectsFlowToTheShortestWait: if the last candidate admits no flow itself,
// because it is overloaded or draining, another target may still serve it.
func TestLastCandidateRedirectsFlowToTheShortestWait(t *testing.T) {
	for name, prepare := range map[string]func(f *fixture){
		"overloaded": func(f *fixture) { f.fillTarget(); f.overload.active = true },
		"draining":   func(f *fixture) { f.receiveHeartbeat(true) },
	} {
		f := newFixture()
		prepare(f)
		e := routeEnvelope(2)
		e.Objective = time.Millisecond
		e.ShortestWaitTarget, e.ShortestWaitTime = nextIP, 10*time.Millisecond
		f.openFlow(100, e, 0)
		sent := f.port.Last()
		require.Equal(t, nextIP, sent.To, name)
		require.Equal(t, envelope.Deliver, sent.Kind, name)
		require.NotZero(t, sent.Env.Flags&envelope.ShortestWait, name)
		e.Flags = envelope.ShortestWait
		f.openFlow(101, e, 0)
		require.Equal(t, envelope.Returned, f.port.Last().Kind, "%s: it was redirected before", name)
	}
}

// TestOverloadByLaterRequestsIsDetected: later requests of open flows count as arrivals and
// answers like the first requests of new flows.
func TestOverloadByLaterRequestsIsDetected(t *testing.T) {
	const requestsPerFlow, capacity = 5, 4 / 0.030
	c := newOpenLoopLoad(newSettledFixture(), 30*time.Millisecond)
	c.requestsPerFlow = requestsPerFlow
	c.run(3*time.Second, 0.5*capacity/requestsPerFlow)
	require.Zero(t, c.counts.overloads)
	c.run(2*routeEnvelope(2).Deadline+2*backlog.OverloadWindow, 2.4*capacity/requestsPerFlow)
	require.Equal(t, 1, c.counts.overloads, "as soon as its backlog has lasted for two deadlines")
}

// TestExpectedWaitExcludesLateRequestsInAnOverload: queued requests that can no longer meet their
// objective are served after a new one, so its expected wait does not include them.
func TestExpectedWaitExcludesLateRequestsInAnOverload(t *testing.T) {
	f := newFixture()
	f.fillTarget()
	alone := f.expectedWait(f.now)
	for client := 100; client < 110; client++ {
		f.openFlow(client, routeEnvelope(2), 2)
		f.sendRequest(client)
	}
	f.advance(routeEnvelope(2).Objective)
	require.Equal(t, 10, f.queue.Len())
	require.Greater(t, f.expectedWait(f.now), 2*alone)
	f.overload.active = true
	require.Equal(t, alone, f.expectedWait(f.now))
}
