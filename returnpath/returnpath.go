// Package returnpath picks the balancer through which an agent answers a
// caller: the one that the flow's latest datagram came through while it seems
// alive, any live one otherwise.
//
// The agent needs no agreement with balancers for that: every balancer can
// send from every service address. The package is pure.
package returnpath

import (
	"math/rand/v2"
	"net/netip"
	"time"
)

// Limits of a table.
const (
	// MaxFlows bounds the callers remembered; past it the oldest sweep wins.
	MaxFlows = 1 << 16
	// MaxBalancers bounds the balancers remembered.
	MaxBalancers = 4096
)

// Options are the periods of a table.
type Options struct {
	// Silence is how long a flow may stay silent, with datagrams sent to it,
	// before its balancer is doubted.
	Silence time.Duration
	// Unanswered is how many datagrams may go out without one coming in.
	Unanswered int
	// LiveFor is how long a balancer counts as live after a datagram.
	LiveFor time.Duration
	// FlowIdle is how long a silent flow is remembered.
	FlowIdle time.Duration
}

// Defaults returns the options in use.
func Defaults() Options {
	return Options{Silence: 200 * time.Millisecond, Unanswered: 3, LiveFor: 2 * time.Second, FlowIdle: 2 * time.Minute}
}

type flow struct {
	balancer netip.AddrPort
	heardAt  time.Time
	sent     int
}

// Table is one agent's memory of paths. It is not safe for concurrent use.
type Table struct {
	opts  Options
	flows map[netip.AddrPort]*flow
	// heard is when each balancer was last heard of.
	heard map[netip.AddrPort]time.Time
	// live is the list of balancers to fall back to, rebuilt by Sweep.
	live []netip.AddrPort
	// known are balancers named by the registrars, the last resort.
	known []netip.AddrPort
}

// New returns an empty table.
func New(opts Options) *Table {
	return &Table{opts: opts, flows: map[netip.AddrPort]*flow{}, heard: map[netip.AddrPort]time.Time{}}
}

// Flows returns the number of callers remembered.
func (t *Table) Flows() int { return len(t.flows) }

// Observe notes that the caller's datagram came through the balancer.
func (t *Table) Observe(now time.Time, caller, balancer netip.AddrPort) {
	t.hear(now, balancer)
	f, ok := t.flows[caller]
	if !ok {
		if len(t.flows) >= MaxFlows {
			return
		}
		f = &flow{}
		t.flows[caller] = f
	}
	f.balancer, f.heardAt, f.sent = balancer, now, 0
}

func (t *Table) hear(now time.Time, balancer netip.AddrPort) {
	if _, ok := t.heard[balancer]; !ok {
		if len(t.heard) >= MaxBalancers {
			return
		}
		t.live = append(t.live, balancer)
	}
	t.heard[balancer] = now
}

// Leave forgets a balancer that is stopping.
func (t *Table) Leave(balancer netip.AddrPort) {
	delete(t.heard, balancer)
	t.rebuild(func(b netip.AddrPort) bool { return b != balancer })
}

// SetKnown sets the balancers named by the registrars.
func (t *Table) SetKnown(balancers []netip.AddrPort) { t.known = balancers }

// Choose returns the balancer for a datagram to the caller; ok is false when
// no balancer is known at all.
func (t *Table) Choose(now time.Time, rnd *rand.Rand, caller netip.AddrPort) (netip.AddrPort, bool) {
	f, ok := t.flows[caller]
	if !ok {
		return t.any(rnd)
	}
	f.sent++
	if !t.doubted(now, f) {
		return f.balancer, true
	}
	if b, ok := t.any(rnd); ok {
		return b, true
	}
	return f.balancer, true
}

// doubted tells whether a flow's balancer may be dead: it left or was long
// silent, or the flow does not answer.
func (t *Table) doubted(now time.Time, f *flow) bool {
	heard, live := t.heard[f.balancer]
	if !live || now.Sub(heard) > t.opts.LiveFor {
		return true
	}
	return f.sent > t.opts.Unanswered && now.Sub(f.heardAt) > t.opts.Silence
}

func (t *Table) any(rnd *rand.Rand) (netip.AddrPort, bool) {
	if n := len(t.live); n > 0 {
		return t.live[rnd.IntN(n)], true
	}
	if n := len(t.known); n > 0 {
		return t.known[rnd.IntN(n)], true
	}
	return netip.AddrPort{}, false
}

// Sweep forgets balancers and flows that were silent for too long.
func (t *Table) Sweep(now time.Time) {
	for b, at := range t.heard {
		if now.Sub(at) > t.opts.LiveFor {
			delete(t.heard, b)
		}
	}
	t.rebuild(func(b netip.AddrPort) bool { _, ok := t.heard[b]; return ok })
	for c, f := range t.flows {
		if now.Sub(f.heardAt) > t.opts.FlowIdle {
			delete(t.flows, c)
		}
	}
}

func (t *Table) rebuild(keep func(netip.AddrPort) bool) {
	live := t.live[:0]
	for _, b := range t.live {
		if keep(b) {
			live = append(live, b)
		}
	}
	t.live = live
}
