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

// caller is the client of one flow: it sends a request of one packet, repeats it, and sends
// the next one after the answer.
type caller struct {
	key   flow.Key
	terms envelope.Envelope
	// targetSeq is the target's next sequence number.
	targetSeq uint32
	// opened is when it sent its first opening packet, acceptedAt when the target took its
	// flow, askedAt when it sent the present request.
	opened, acceptedAt, askedAt time.Time
	// accepted tells that the target has its flow, asking that the present request has no
	// answer, left that it ended the flow, over that the target did.
	accepted, asking, left, over bool
	// forgotten is set once the agent did not know the flow for a moment.
	forgotten bool
	// requests and answers are counted; sent and got are packets of requests, given is the
	// last request that the target got.
	requests, answers, sent, got, given int
}

// requestLen is the length of each request.
const requestLen = 8

// request is the packet of its present request.
func (c *caller) request() []byte {
	return platformtest.FromClient(c.key, flow.ACK, uint32(c.requests*requestLen), c.targetSeq, make([]byte, requestLen))
}

// randomLoad drives an agent by events of callers, target and time.
type randomLoad struct {
	*fixture
	callers []*caller
	byKey   map[flow.Key]*caller
	// seen is how many of the target's packets were looked at.
	seen  int
	slots int
	life  int64
	// waitsBesideRoom is set once a request waited beside room for it after a packet of the
	// target.
	waitsBesideRoom bool
}

func newRandomLoad(slots int) *randomLoad {
	l := &randomLoad{fixture: newFixture(), byKey: map[flow.Key]*caller{}, slots: slots, life: 1}
	l.reports()
	return l
}

// reports lets the target say that it is there and how many slots it has.
func (l *randomLoad) reports() {
	l.seq++
	l.Heartbeat(l.now, fleet.Heartbeat{Incarnation: fleet.Incarnation{TargetID: "i-2", StartedMillis: l.life}, Slots: l.slots, Sequence: l.seq})
}

// calls lets a new caller open its flow, which the target answers at once.
func (l *randomLoad) calls(terms envelope.Envelope, copies uint32) *caller {
	id := len(l.callers) + 1
	c := &caller{key: keyOf(id), terms: terms, targetSeq: uint32(id) << 20, opened: l.now.Add(-backlog.RetransmissionAge(copies))}
	l.callers = append(l.callers, c)
	l.byKey[c.key] = c
	before := len(l.port.target)
	l.deliver(terms, packet(c.key, flow.SYN, copies, ""))
	if len(l.port.target) > before {
		c.accepted, c.acceptedAt = true, l.now
		l.sends(c, flow.SYN|flow.ACK, c.targetSeq, 0)
	}
	return c
}

// asks lets a caller send its present request again, or the next one.
func (l *randomLoad) asks(c *caller) {
	if !c.accepted || c.left || c.over {
		return
	}
	if !c.asking {
		c.asking, c.askedAt = true, l.now
		c.requests++
	}
	c.sent++
	l.deliver(envelope.Envelope{}, c.request())
}

// answers lets the target answer a caller's present request if it has it.
func (l *randomLoad) answers(c *caller) {
	if !c.asking || c.given < c.requests || c.over {
		return
	}
	c.asking = false
	c.answers++
	c.targetSeq += requestLen
	l.sends(c, flow.ACK, c.targetSeq-requestLen, requestLen)
}

// leaves lets a caller end its flow.
func (l *randomLoad) leaves(c *caller, flags flow.Flags) {
	if !c.accepted || c.over {
		return
	}
	c.left = true
	l.deliver(envelope.Envelope{}, platformtest.FromClient(c.key, flags, uint32((c.requests+1)*requestLen), c.targetSeq, nil))
}

// dies lets the target end without a word and another one start.
func (l *randomLoad) dies() {
	l.Probed(l.now, ProbeRefused)
	for _, c := range l.callers {
		c.over = c.over || c.accepted
	}
	l.life++
	l.Probed(l.now, ProbeAccepted)
	l.reports()
}

// sends hands a packet of the target to the agent.
func (l *randomLoad) sends(c *caller, flags flow.Flags, seq uint32, length int) {
	k := c.key
	h := flow.Header{Src: k.FrontIP, SrcPort: k.FrontPort, Dst: k.ClientIP, DstPort: k.ClientPort, Flags: flags, Seq: seq, Len: length}
	l.HandleTarget(l.now, &h, make([]byte, platform.HeadLen+length))
	l.waitsBesideRoom = l.waitsBesideRoom || (l.queue.Len() > 0 && l.flows.running < l.targetLimit())
}

// check looks at what the target got since the last look, and at the agent's counts.
func (l *randomLoad) check(t *rapid.T) {
	for ; l.seen < len(l.port.target); l.seen++ {
		h, err := platform.DecodePacket(l.port.target[l.seen])
		require.NoError(t, err)
		if h.Len > 0 {
			l.checkGiven(t, l.byKey[h.KeyFromClient()], int(h.Seq)/requestLen)
		}
	}
	l.checkCounts(t)
	require.False(t, l.waitsBesideRoom, "an answer lets in what waits")
	for _, key := range l.port.Resets {
		require.True(t, l.byKey[key].over, "a flow that lives is reset")
	}
}

// checkGiven checks a request that the target got.
func (l *randomLoad) checkGiven(t *rapid.T, c *caller, number int) {
	c.got++
	require.LessOrEqual(t, c.got, c.sent, "given more often than its client sent it")
	if number == c.given {
		return
	}
	require.Equal(t, c.given+1, number, "in the order of its client")
	c.given = number
	require.False(t, c.left, "its client has left")
	require.False(t, !c.forgotten && l.late(c), "its deadline has passed")
}

// late tells whether the deadline of a caller's present request has passed. A first one that
// comes later than promptTime after the handshake is of a client that opened the flow ahead of
// it, and is as old as its own packet.
func (l *randomLoad) late(c *caller) bool {
	began := c.askedAt
	if c.requests == 1 && c.askedAt.Sub(c.acceptedAt) <= firstRequestWindow {
		began = c.opened
	}
	return c.terms.Deadline > 0 && l.now.After(began.Add(c.terms.Deadline))
}

// checkServed checks that the target got every request that somebody waits for.
func (l *randomLoad) checkServed(t *rapid.T) {
	for _, c := range l.callers {
		waits := c.asking && c.given < c.requests && !c.left && !c.over && !c.forgotten && !l.late(c)
		require.False(t, waits, "its client waits for nothing")
	}
}

// checkCounts compares the agent's counts with its records.
func (l *randomLoad) checkCounts(t *rapid.T) {
	busy, running, held, opened := 0, 0, 0, 0
	for _, r := range l.flows.byKey {
		if !r.pendingAt.IsZero() {
			busy++
		}
		if !r.runningAt.IsZero() {
			running++
			require.False(t, r.pendingAt.IsZero(), "what runs is load")
			require.Nil(t, r.queued, "what runs does not wait")
		}
		if r.queued != nil {
			held++
			require.False(t, r.pendingAt.IsZero(), "what waits is load")
		}
		if r.stage == open {
			opened++
		}
	}
	require.Equal(t, busy, l.flows.busy)
	require.Equal(t, running, l.flows.running)
	require.Equal(t, opened, l.flows.open)
	require.Equal(t, held, l.queue.Len(), "each request that waits is queued once")
	require.GreaterOrEqual(t, busy, running)
	require.LessOrEqual(t, held, maxQueued)
	for _, c := range l.callers {
		c.forgotten = c.forgotten || l.flows.get(c.key) == nil
	}
}

// tick lets the agent do what is due, after which nothing waits while there is room.
func (l *randomLoad) tick(t *rapid.T) {
	l.Tick(l.now)
	l.check(t)
	if l.flows.running < l.targetLimit() {
		require.Zero(t, l.queue.Len(), "it waits although there is room")
	}
}

// repeatsAnswers lets the target send the last packet of each former answer once more.
func (l *randomLoad) repeatsAnswers() {
	for _, c := range l.callers {
		if c.answers > 0 && !c.over {
			l.sends(c, flow.ACK, c.targetSeq-requestLen, requestLen)
		}
	}
}

// rush is a second in which so many callers come each tick, and the target answers so
// many of them; each second one that has its answer asks once more.
func (l *randomLoad) rush(t *rapid.T, terms envelope.Envelope, come, answered int) {
	for range int(time.Second / tickPeriod) {
		l.now = l.now.Add(tickPeriod)
		for range come {
			l.asks(l.calls(terms, 0))
			l.check(t)
		}
		l.answersFirst(answered)
		l.askMore()
		l.tick(t)
	}
}

// askMore lets each second caller that has its first answer send a second request.
func (l *randomLoad) askMore() {
	for i, c := range l.callers {
		if i%2 == 0 && c.answers == 1 && c.requests == 1 {
			l.asks(c)
		}
	}
}

// answersFirst lets the target answer some of the requests that it has.
func (l *randomLoad) answersFirst(most int) {
	for _, c := range l.callers {
		if c.asking && c.given == c.requests && !c.over && most > 0 {
			most--
			l.answers(c)
		}
	}
}

// runsDry lets nobody come any more while the target answers what it has.
func (l *randomLoad) runsDry(t *rapid.T, shortest time.Duration) {
	const step = 10 * time.Millisecond
	for range 2 * shortest / step {
		l.now = l.now.Add(step)
		for held := l.queue.Len(); held >= 0; held-- {
			// Each answer lets a request in that waited.
			l.check(t)
			l.answersFirst(len(l.callers))
		}
		l.tick(t)
	}
	require.False(t, l.overload.active, "an overload outlives its load")
	require.Zero(t, l.queue.Len())
	require.Zero(t, l.flows.running, "a request that was answered, or whose client left, runs")
	require.Zero(t, l.Busy())
	l.checkServed(t)
}

// TestAnAgentUnderRandomLoad: whatever callers, target and time do, no request is given to
// the target twice or for nobody, none waits beside a free slot, the counts hold and no flow
// that lives is reset. Once nobody comes any more an overload ends within two deadlines.
func TestAnAgentUnderRandomLoad(t *testing.T) {
	const shortest = 500 * time.Millisecond
	overloads := 0
	rapid.Check(t, func(t *rapid.T) {
		l := newRandomLoad(rapid.SampledFrom([]int{1, 2, 3, 4, 7, 16}).Draw(t, "slots"))
		terms := func(t *rapid.T) envelope.Envelope {
			return envelope.Envelope{
				Service: service, Priority: uint8(rapid.IntRange(0, 2).Draw(t, "priority")),
				Objective: rapid.SampledFrom([]time.Duration{0, 100 * time.Millisecond, 400 * time.Millisecond}).Draw(t, "objective"),
				Deadline:  rapid.SampledFrom([]time.Duration{0, shortest, 1200 * time.Millisecond, 15 * time.Second}).Draw(t, "deadline"),
			}
		}
		calls := func(t *rapid.T) { l.asks(l.calls(terms(t), uint32(rapid.IntRange(0, 2).Draw(t, "copies")))) }
		// one lets something happen to one of the latest callers.
		one := func(do func(c *caller)) func(*rapid.T) {
			return func(t *rapid.T) {
				if len(l.callers) == 0 {
					t.Skip("nobody has called")
				}
				first := max(len(l.callers)-30, 0)
				do(l.callers[rapid.IntRange(first, len(l.callers)-1).Draw(t, "caller")])
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"opens only":  func(t *rapid.T) { l.calls(terms(t), 0) },
			"calls":       calls,
			"calls again": calls,
			"asks":        one(l.asks),
			"answers":     one(l.answers),
			"answers some": func(t *rapid.T) {
				l.answersFirst(rapid.IntRange(1, 8).Draw(t, "some"))
			},
			"its end repeats a request after it has left": one(func(c *caller) {
				if c.left && c.asking && !c.over {
					c.sent++
					l.deliver(envelope.Envelope{}, c.request())
				}
			}),
			"the target repeats its answers": func(*rapid.T) { l.repeatsAnswers() },
			"ends the flow":                  one(func(c *caller) { l.leaves(c, flow.ACK|flow.FIN) }),
			"resets the flow":                one(func(c *caller) { l.leaves(c, flow.RST) }),
			"the target resets": one(func(c *caller) {
				if c.accepted && !c.over {
					c.over = true
					l.sends(c, flow.RST, c.targetSeq, 0)
				}
			}),
			"the target dies":    func(*rapid.T) { l.dies() },
			"the target reports": func(*rapid.T) { l.reports() },
			"a rush": func(t *rapid.T) {
				l.rush(t, terms(t), rapid.IntRange(0, 8).Draw(t, "come"), rapid.IntRange(0, 8).Draw(t, "answered"))
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
		overloads += l.tally.overloads
		l.runsDry(t, shortest)
	})
	require.Positive(t, overloads, "some of the loads are overloads")
}
