package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var t0 = time.Unix(1_700_000_000, 0)

// model is the oracle: the state of every ticket, derived from the decisions of the controller.
type model struct {
	state    map[Ticket]string // "waiting", "running", "over"
	offer    map[Ticket]Offer
	since    map[Ticket]time.Time
	target   map[Ticket]string
	ready    map[string]bool
	slots    map[string]int
	requests map[string]int
}

// TestEveryTicketIsDecidedOnce drives a controller by random offers, completions,
// cancellations, drains and time. Every ticket runs at most once and waits no longer than
// MaxWait, and no new request reaches a target that drains. Guards points 4, 6 and 9 of
// docs/GUARANTEES.md.
func TestEveryTicketIsDecidedOnce(t *testing.T) {
	opts := Defaults()
	opts.MaxQueue = 6
	rapid.Check(t, func(t *rapid.T) {
		c := New(opts, rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)))
		now := t0
		m := model{map[Ticket]string{}, map[Ticket]Offer{}, map[Ticket]time.Time{}, map[Ticket]string{}, map[string]bool{}, map[string]int{}, map[string]int{}}
		take := func(ds []Decision) {
			for _, d := range ds {
				state := m.state[d.Ticket]
				require.NotEqual(t, "over", state, "a second decision on ticket %d", d.Ticket)
				require.NotEqual(t, "running", state, "a second decision on ticket %d", d.Ticket)
				switch d.Action {
				case Wait:
					m.state[d.Ticket] = "waiting"
				case Refuse:
					m.state[d.Ticket] = "over"
					require.GreaterOrEqual(t, d.RetryAfter, opts.RetryAfter, "a refusal carries a time to retry after")
				case Run:
					m.state[d.Ticket], m.target[d.Ticket] = "running", d.Target
					require.True(t, m.ready[d.Target], "new request at a target that is not ready")
					if o := m.offer[d.Ticket]; !o.Deadline.IsZero() {
						require.True(t, now.Before(o.Deadline), "ran past its deadline")
					}
					m.requests[d.Target]++
					require.LessOrEqual(t, m.requests[d.Target], 4*max(m.slots[d.Target], 1))
				}
			}
		}
		inState := func(s string) []Ticket {
			var out []Ticket
			for ticket := Ticket(1); ticket <= Ticket(len(m.state)); ticket++ {
				if m.state[ticket] == s {
					out = append(out, ticket)
				}
			}
			return out
		}
		setTarget := func(t *rapid.T, name string) {
			m.ready[name] = rapid.Bool().Draw(t, "ready")
			m.slots[name] = rapid.IntRange(1, 3).Draw(t, "slots")
			if n := m.requests[name]; n > 4*m.slots[name] {
				m.slots[name] = 3 // the limit may fall below the requests in progress
			}
			take(c.SetTarget(now, name, TargetSpec{Slots: m.slots[name], Requests: 4 * m.slots[name], Streams: 2, Ready: m.ready[name]}))
		}
		c.SetService(now, 1, []string{"a", "b"})
		t.Repeat(map[string]func(*rapid.T){
			"target": func(t *rapid.T) { setTarget(t, rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name")) },
			"offer": func(t *rapid.T) {
				o := Offer{Service: 1, Workspace: fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "workspace")), Weight: rapid.IntRange(1, 3).Draw(t, "weight")}
				if rapid.Bool().Draw(t, "impatient") {
					o.Deadline = now.Add(time.Duration(rapid.IntRange(-1, 300).Draw(t, "ms")) * time.Millisecond)
				}
				for range rapid.IntRange(1, 12).Draw(t, "burst") {
					next := Ticket(len(m.state) + 1)
					m.offer[next], m.since[next] = o, now
					m.state[next] = ""
					take(c.Offer(now, o))
				}
			},
			"done": func(t *rapid.T) {
				running := inState("running")
				if len(running) == 0 {
					return
				}
				ticket := rapid.SampledFrom(running).Draw(t, "ticket")
				m.state[ticket] = "over"
				m.requests[m.target[ticket]]--
				take(c.Done(now, ticket, Result{Outcome: Outcome(rapid.IntRange(0, 3).Draw(t, "outcome")), Comparable: true}))
			},
			"cancel": func(t *rapid.T) {
				if waiting := inState("waiting"); len(waiting) > 0 {
					ticket := rapid.SampledFrom(waiting).Draw(t, "ticket")
					c.Cancel(ticket)
					m.state[ticket] = "over"
				}
			},
			"freeze": func(t *rapid.T) {
				// The process is frozen: time passes and Expire is not called.
				now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
				take(c.Expire(now))
				for _, ticket := range inState("waiting") {
					require.Less(t, now.Sub(m.since[ticket]), opts.MaxWait, "waited for MaxWait or longer")
				}
			},
			"": func(t *rapid.T) {
				require.LessOrEqual(t, len(inState("waiting")), opts.MaxQueue)
				if !m.ready["a"] && !m.ready["b"] {
					require.Empty(t, inState("waiting"), "no request waits without a ready target")
				}
			},
		})
	})
}

func newTestController(slots, requests, streams int) *Controller {
	c := New(Defaults(), rand.New(rand.NewPCG(1, 1)))
	c.SetService(t0, 1, []string{"a"})
	c.SetTarget(t0, "a", TargetSpec{Slots: slots, Requests: requests, Streams: streams, Ready: true})
	return c
}

func TestStreamsHaveTheirOwnLimitAndSurviveDrains(t *testing.T) {
	c := newTestController(1, 1, 2)
	var tickets []Ticket
	for i := range 3 {
		d := c.Offer(t0, Offer{Service: 1, Class: Stream})[0]
		require.Equal(t, i < 2, d.Action == Run)
		tickets = append(tickets, d.Ticket)
	}
	c.SetTarget(t0, "a", TargetSpec{Slots: 1, Requests: 1, Streams: 2, Ready: false})
	_, streams := c.InProgress("a")
	require.Equal(t, 2, streams, "a drain ends no stream")
	require.Equal(t, NoTarget, c.Offer(t0, Offer{Service: 1, Class: Stream})[0].Reason)
	c.RemoveTarget(t0, "a")
	c.Done(t0, tickets[0], Result{})
	c.Done(t0, tickets[1], Result{})
	require.Empty(t, c.targets)
}

func TestPromotedStreamFreesItsSlot(t *testing.T) {
	c := newTestController(1, 1, 2)
	first := c.Offer(t0, Offer{Service: 1})[0]
	require.Equal(t, Run, first.Action)
	second := c.Offer(t0, Offer{Service: 1})[0]
	require.Equal(t, Wait, second.Action)
	granted := c.Promote(t0, first.Ticket)
	require.Len(t, granted, 1)
	require.Equal(t, second.Ticket, granted[0].Ticket)
}

func TestWorkspacesAreBounded(t *testing.T) {
	opts := Defaults()
	opts.MaxWorkspaces = 8
	c := New(opts, rand.New(rand.NewPCG(1, 1)))
	c.SetService(t0, 1, []string{"a"})
	c.SetTarget(t0, "a", TargetSpec{Slots: 1, Requests: 1, Ready: true})
	for i := range 200 {
		c.Offer(t0, Offer{Service: 1, Workspace: fmt.Sprint(i)})
	}
	require.LessOrEqual(t, len(c.services[1].workspaces), opts.MaxWorkspaces+1)
}

func TestLimitFollowsShedRequestsAndLatency(t *testing.T) {
	l := newLimit(DefaultLimit())
	l.setBounds(2, 20)
	require.Equal(t, 2, l.allowed())
	now := t0
	run := func(windows int, latency time.Duration) {
		for range windows * 20 {
			now = now.Add(10 * time.Millisecond)
			l.observe(now, Result{Outcome: Succeeded, Comparable: true}, latency)
		}
	}
	run(40, 10*time.Millisecond)
	require.Equal(t, 20, l.allowed())
	run(20, 50*time.Millisecond)
	require.Equal(t, 2, l.allowed(), "never below the slots")
	run(40, 10*time.Millisecond)
	require.Equal(t, 20, l.allowed())
	l.observe(now, Result{Outcome: Shed}, 0)
	l.observe(now, Result{Outcome: Shed}, 0)
	require.Equal(t, 16, l.allowed(), "refusals of one moment count once")
}
