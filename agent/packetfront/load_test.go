package packetfront

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/poppywall/poppywall/backlog"
	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/flow/envelope"
	"github.com/poppywall/poppywall/platform"
	"github.com/poppywall/poppywall/platform/platformtest"
)

// caller is the client of one flow. It sends a request of one packet, retransmits it, and sends
// the next one after the answer.
type caller struct {
	key   flow.Key
	route envelope.Envelope
	// targetSeq is the target's next sequence number.
	targetSeq uint32
	// opened is when it sent its first SYN, acceptedAt when the target accepted its flow,
	// requestedAt when it first sent the current request.
	opened, acceptedAt, requestedAt time.Time
	// accepted is set once the target has accepted the flow, awaitsAnswer while the current
	// request has no answer, left once the caller has ended the flow, ended once the target has.
	accepted, awaitsAnswer, left, ended bool
	// forgotten is set once the agent had no record of the flow.
	forgotten bool
	// requests and answers count those of the flow; packetsSent and packetsDelivered count the
	// packets of requests, retransmissions included; lastDelivered is the number of the last
	// request that was delivered to the target.
	requests, answers, packetsSent, packetsDelivered, lastDelivered int
}

// requestLen is the length of each request.
const requestLen = 8

// request returns the packet of the current request.
func (c *caller) request() []byte {
	return platformtest.FromClient(c.key, flow.ACK, uint32(c.requests*requestLen), c.targetSeq, make([]byte, requestLen))
}

// randomLoad drives an agent with events of callers, of the target and of time.
type randomLoad struct {
	*fixture
	callers []*caller
	byKey   map[flow.Key]*caller
	// checked is how many of the packets delivered to the target were checked.
	checked       int
	slots         int
	startedMillis int64
	// queuedBelowLimit is set once a request was still queued although the target was
	// below its limit, after a packet of the target.
	queuedBelowLimit bool
}

func newRandomLoad(slots int) *randomLoad {
	l := &randomLoad{fixture: newFixture(), byKey: map[flow.Key]*caller{}, slots: slots, startedMillis: 1}
	l.reportHeartbeat()
	return l
}

// reportHeartbeat sends a heartbeat of the target.
func (l *randomLoad) reportHeartbeat() {
	l.seq++
	l.Heartbeat(l.now, fleet.Heartbeat{TargetIncarnation: fleet.TargetIncarnation{TargetID: "i-2", StartedMillis: l.startedMillis}, Slots: l.slots, Sequence: l.seq})
}

// newCaller lets a new caller open its flow; if admitted, the target answers the SYN at once.
func (l *randomLoad) newCaller(route envelope.Envelope, retransmissions uint32) *caller {
	id := len(l.callers) + 1
	c := &caller{key: keyOf(id), route: route, targetSeq: uint32(id) << 20, opened: l.now.Add(-backlog.RetransmissionAge(retransmissions))}
	l.callers = append(l.callers, c)
	l.byKey[c.key] = c
	before := len(l.port.target)
	l.deliver(route, packet(c.key, flow.SYN, retransmissions, ""))
	if len(l.port.target) > before {
		c.accepted, c.acceptedAt = true, l.now
		l.sendFromTarget(c, flow.SYN|flow.ACK, c.targetSeq, 0)
	}
	return c
}

// request lets a caller retransmit its unanswered request, or send the next one.
func (l *randomLoad) request(c *caller) {
	if !c.accepted || c.left || c.ended {
		return
	}
	if !c.awaitsAnswer {
		c.awaitsAnswer, c.requestedAt = true, l.now
		c.requests++
	}
	c.packetsSent++
	l.deliver(envelope.Envelope{}, c.request())
}

// answerCaller lets the target answer a caller's current request if it was delivered.
func (l *randomLoad) answerCaller(c *caller) {
	if !c.awaitsAnswer || c.lastDelivered < c.requests || c.ended {
		return
	}
	c.awaitsAnswer = false
	c.answers++
	c.targetSeq += requestLen
	l.sendFromTarget(c, flow.ACK, c.targetSeq-requestLen, requestLen)
}

// endCallerFlow lets a caller end its flow with the given flags.
func (l *randomLoad) endCallerFlow(c *caller, flags flow.Flags) {
	if !c.accepted || c.ended {
		return
	}
	c.left = true
	l.deliver(envelope.Envelope{}, platformtest.FromClient(c.key, flags, uint32((c.requests+1)*requestLen), c.targetSeq, nil))
}

// crashTarget lets the target crash and another one start.
func (l *randomLoad) crashTarget() {
	l.TargetProbed(l.now, ProbeRefused)
	for _, c := range l.callers {
		c.ended = c.ended || c.accepted
	}
	l.startedMillis++
	l.TargetProbed(l.now, ProbeAccepted)
	l.reportHeartbeat()
}

// sendFromTarget passes a packet of the target to the agent.
func (l *randomLoad) sendFromTarget(c *caller, flags flow.Flags, seq uint32, length int) {
	k := c.key
	h := flow.Header{Src: k.FrontIP, SrcPort: k.FrontPort, Dst: k.ClientIP, DstPort: k.ClientPort, Flags: flags, Seq: seq, Len: length}
	l.HandleTarget(l.now, &h, make([]byte, platform.HeaderLen+length))
	l.queuedBelowLimit = l.queuedBelowLimit || (l.queue.Len() > 0 && l.flows.running < l.targetLimit())
}

// check checks the packets delivered to the target since the last check, and the agent's counts.
func (l *randomLoad) check(t *rapid.T) {
	for ; l.checked < len(l.port.target); l.checked++ {
		h, err := platform.DecodePacket(l.port.target[l.checked])
		require.NoError(t, err)
		if h.Len > 0 {
			l.checkDelivered(t, l.byKey[h.KeyFromClient()], int(h.Seq)/requestLen)
		}
	}
	l.checkCounts(t)
	require.False(t, l.queuedBelowLimit, "a request is queued after an answer although the target is below its limit")
	for _, key := range l.port.Resets {
		require.True(t, l.byKey[key].ended, "a live flow is reset")
	}
}

// checkDelivered checks a request packet that was delivered to the target.
func (l *randomLoad) checkDelivered(t *rapid.T, c *caller, number int) {
	c.packetsDelivered++
	require.LessOrEqual(t, c.packetsDelivered, c.packetsSent, "delivered more often than its client sent it")
	if number == c.lastDelivered {
		return
	}
	require.Equal(t, c.lastDelivered+1, number, "delivered in the order of its client")
	c.lastDelivered = number
	require.False(t, c.left, "its client has left")
	require.False(t, !c.forgotten && l.deadlinePassed(c), "its deadline has passed")
}

// deadlinePassed reports whether the deadline of a caller's current request has passed. The age of
// a first request counts from the SYN, unless it comes later than firstRequestWindow after the
// handshake: then the flow was opened ahead of it, and its age counts from its own packet.
func (l *randomLoad) deadlinePassed(c *caller) bool {
	began := c.requestedAt
	if c.requests == 1 && c.requestedAt.Sub(c.acceptedAt) <= firstRequestWindow {
		began = c.opened
	}
	return c.route.Deadline > 0 && l.now.After(began.Add(c.route.Deadline))
}

// checkServed checks that every request whose caller still waits was delivered to the target.
func (l *randomLoad) checkServed(t *rapid.T) {
	for _, c := range l.callers {
		waits := c.awaitsAnswer && c.lastDelivered < c.requests && !c.left && !c.ended && !c.forgotten && !l.deadlinePassed(c)
		require.False(t, waits, "its client still waits, but it was not delivered")
	}
}

// checkCounts compares the agent's counts with its records.
func (l *randomLoad) checkCounts(t *rapid.T) {
	busy, running, queued, opened := 0, 0, 0, 0
	for _, r := range l.flows.byKey {
		if !r.busySince.IsZero() {
			busy++
		}
		if !r.runningAt.IsZero() {
			running++
			require.False(t, r.busySince.IsZero(), "a running request counts as load")
			require.Nil(t, r.queued, "a running request is not queued")
		}
		if r.queued != nil {
			queued++
			require.False(t, r.busySince.IsZero(), "a queued request counts as load")
		}
		if r.stage == acknowledged || r.stage == open {
			opened++
		}
	}
	require.Equal(t, busy, l.flows.busy)
	require.Equal(t, running, l.flows.running)
	require.Equal(t, opened, l.flows.open)
	require.Equal(t, queued, l.queue.Len(), "each queued request is in the queue once")
	require.GreaterOrEqual(t, busy, running)
	require.LessOrEqual(t, queued, maxQueued)
	for _, c := range l.callers {
		c.forgotten = c.forgotten || l.flows.get(c.key) == nil
	}
}

// tick calls the agent's Tick and checks that no request is queued while the target is
// below its limit.
func (l *randomLoad) tick(t *rapid.T) {
	l.target.identity.renew(l.now, l.now)
	l.Tick(l.now)
	l.check(t)
	if l.flows.running < l.targetLimit() {
		require.Zero(t, l.queue.Len(), "a request is queued although the target is below its limit")
	}
}

// retransmitAnswers lets the target retransmit the last answer of each flow.
func (l *randomLoad) retransmitAnswers() {
	for _, c := range l.callers {
		if c.answers > 0 && !c.ended {
			l.sendFromTarget(c, flow.ACK, c.targetSeq-requestLen, requestLen)
		}
	}
}

// burst plays a second with the given number of new callers and of answers per tick. Every second
// caller sends a second request after its first answer.
func (l *randomLoad) burst(t *rapid.T, route envelope.Envelope, newCallers, answers int) {
	for range int(time.Second / tickPeriod) {
		l.now = l.now.Add(tickPeriod)
		for range newCallers {
			l.request(l.newCaller(route, 0))
			l.check(t)
		}
		l.answerSome(answers)
		l.sendSecondRequests()
		l.tick(t)
	}
}

// sendSecondRequests lets every second caller send a second request if it has its first answer.
func (l *randomLoad) sendSecondRequests() {
	for i, c := range l.callers {
		if i%2 == 0 && c.answers == 1 && c.requests == 1 {
			l.request(c)
		}
	}
}

// answerSome lets the target answer some of its requests, at most the given number.
func (l *randomLoad) answerSome(limit int) {
	for _, c := range l.callers {
		if c.awaitsAnswer && c.lastDelivered == c.requests && !c.ended && limit > 0 {
			limit--
			l.answerCaller(c)
		}
	}
}

// drain lets the target answer all its requests, without new callers, and checks that the agent is
// idle afterwards.
func (l *randomLoad) drain(t *rapid.T, shortestDeadline time.Duration) {
	const step = 10 * time.Millisecond
	for range 2 * shortestDeadline / step {
		l.now = l.now.Add(step)
		for queued := l.queue.Len(); queued >= 0; queued-- {
			// Each answer lets the agent dispatch a queued request.
			l.check(t)
			l.answerSome(len(l.callers))
		}
		l.tick(t)
	}
	require.False(t, l.overload.active, "an overload is active without load")
	require.Zero(t, l.queue.Len())
	require.Zero(t, l.flows.running, "a request still runs that was answered or whose client left")
	require.Zero(t, l.Busy())
	l.checkServed(t)
}

// TestAnAgentUnderRandomLoad: under random events of callers, target and time, no request is
// delivered more often than it was sent or after its caller has left, none is queued while the
// target is below its limit, the agent's counts match its records, and no live flow is reset. After the
// last caller an overload ends within two deadlines.
func TestAnAgentUnderRandomLoad(t *testing.T) {
	const shortestDeadline = 500 * time.Millisecond
	overloads := 0
	rapid.Check(t, func(t *rapid.T) {
		l := newRandomLoad(rapid.SampledFrom([]int{1, 2, 3, 4, 7, 16}).Draw(t, "slots"))
		route := func(t *rapid.T) envelope.Envelope {
			return envelope.Envelope{
				Service: service, Priority: uint8(rapid.IntRange(0, 2).Draw(t, "priority")),
				Objective: rapid.SampledFrom([]time.Duration{0, 100 * time.Millisecond, 400 * time.Millisecond}).Draw(t, "objective"),
				Deadline:  rapid.SampledFrom([]time.Duration{0, shortestDeadline, 1200 * time.Millisecond, 15 * time.Second}).Draw(t, "deadline"),
			}
		}
		call := func(t *rapid.T) { l.request(l.newCaller(route(t), uint32(rapid.IntRange(0, 2).Draw(t, "copies")))) }
		// one returns an action on a random one of the latest 30 callers.
		one := func(do func(c *caller)) func(*rapid.T) {
			return func(t *rapid.T) {
				if len(l.callers) == 0 {
					t.Skip("no caller yet")
				}
				first := max(len(l.callers)-30, 0)
				do(l.callers[rapid.IntRange(first, len(l.callers)-1).Draw(t, "caller")])
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"opens only":  func(t *rapid.T) { l.newCaller(route(t), 0) },
			"calls":       call,
			"calls again": call,
			"asks":        one(l.request),
			"answers":     one(l.answerCaller),
			"answers some": func(t *rapid.T) {
				l.answerSome(rapid.IntRange(1, 8).Draw(t, "some"))
			},
			"its end repeats a request after it has left": one(func(c *caller) {
				if c.left && c.awaitsAnswer && !c.ended {
					c.packetsSent++
					l.deliver(envelope.Envelope{}, c.request())
				}
			}),
			"the target repeats its answers": func(*rapid.T) { l.retransmitAnswers() },
			"ends the flow":                  one(func(c *caller) { l.endCallerFlow(c, flow.ACK|flow.FIN) }),
			"resets the flow":                one(func(c *caller) { l.endCallerFlow(c, flow.RST) }),
			"the target resets": one(func(c *caller) {
				if c.accepted && !c.ended {
					c.ended = true
					l.sendFromTarget(c, flow.RST, c.targetSeq, 0)
				}
			}),
			"the target dies":    func(*rapid.T) { l.crashTarget() },
			"the target reports": func(*rapid.T) { l.reportHeartbeat() },
			"a rush": func(t *rapid.T) {
				l.burst(t, route(t), rapid.IntRange(0, 8).Draw(t, "come"), rapid.IntRange(0, 8).Draw(t, "answered"))
			},
			"a moment": func(t *rapid.T) {
				l.now = l.now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "ms")) * time.Millisecond)
			},
			"the agent is frozen": func(t *rapid.T) {
				l.now = l.now.Add(time.Duration(rapid.IntRange(100, 4000).Draw(t, "ms")) * time.Millisecond)
			},
			"tick": l.tick,
			"":     l.check,
		})
		overloads += l.counts.overloads
		l.drain(t, shortestDeadline)
	})
	require.Positive(t, overloads, "some of the loads are overloads")
}
