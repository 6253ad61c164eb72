// Package returnpath selects the balancer through which an agent sends datagrams
// to a caller: the one that forwarded the flow's latest datagram while it appears
// to be alive, otherwise any live balancer.
//
// This needs no coordination with the balancers, as every balancer can send from
// every service address. The package is pure: it does no I/O, and takes the time
// and the random source as arguments.
package returnpath

import (
	"math/rand/v2"
	"net/netip"
	"time"
)

// Limits of a table.
const (
	// MaxFlows is the maximum number of callers in the table. While it is full,
	// new callers are not added; Sweep removes idle ones.
	MaxFlows = 1 << 16
	// MaxBalancers is the maximum number of balancers in the table.
	MaxBalancers = 4096
)

// Options are the timeouts and limits of a table.
type Options struct {
	// ReplyTimeout is how long a caller may stay silent. After that, its flow's
	// balancer is suspected if more than MaxUnanswered datagrams were sent to the
	// caller meanwhile.
	ReplyTimeout time.Duration
	// MaxUnanswered is the number of datagrams sent to a caller since the latest
	// one from it up to which the flow's balancer is not suspected of failing to
	// deliver them.
	MaxUnanswered int
	// BalancerTimeout is how long a balancer counts as live after its latest
	// datagram.
	BalancerTimeout time.Duration
	// FlowIdleTimeout is how long a flow is kept after the latest datagram from
	// its caller.
	FlowIdleTimeout time.Duration
}

// Defaults returns the default options.
func Defaults() Options {
	return Options{ReplyTimeout: 200 * time.Millisecond, MaxUnanswered: 3, BalancerTimeout: 2 * time.Second, FlowIdleTimeout: 2 * time.Minute}
}

// flow is the state of the traffic with one caller.
type flow struct {
	balancer   netip.AddrPort
	lastSeen   time.Time
	unanswered int
}

// Table holds the latest balancer of each flow of an agent. It is not safe for
// concurrent use.
type Table struct {
	opts  Options
	flows map[netip.AddrPort]*flow
	// lastSeen is the time of the latest datagram from each balancer.
	lastSeen map[netip.AddrPort]time.Time
	// live lists the balancers in lastSeen, for random selection. Overdue ones
	// remain until the next Sweep.
	live []netip.AddrPort
	// fallback holds the balancers reported by the registrars. They are used only
	// while no balancer is live.
	fallback []netip.AddrPort
}

// New returns an empty table.
func New(opts Options) *Table {
	return &Table{opts: opts, flows: map[netip.AddrPort]*flow{}, lastSeen: map[netip.AddrPort]time.Time{}}
}

// Flows returns the number of callers in the table.
func (t *Table) Flows() int { return len(t.flows) }

// Observe records that a datagram of the caller arrived through the balancer.
func (t *Table) Observe(now time.Time, caller, balancer netip.AddrPort) {
	t.markSeen(now, balancer)
	f, ok := t.flows[caller]
	if !ok {
		if len(t.flows) >= MaxFlows {
			return
		}
		f = &flow{}
		t.flows[caller] = f
	}
	f.balancer, f.lastSeen, f.unanswered = balancer, now, 0
}

// markSeen records a datagram from the balancer.
func (t *Table) markSeen(now time.Time, balancer netip.AddrPort) {
	if _, ok := t.lastSeen[balancer]; !ok {
		if len(t.lastSeen) >= MaxBalancers {
			return
		}
		t.live = append(t.live, balancer)
	}
	t.lastSeen[balancer] = now
}

// RemoveBalancer removes a balancer that announced that it is stopping.
func (t *Table) RemoveBalancer(balancer netip.AddrPort) {
	delete(t.lastSeen, balancer)
	t.filterLive(func(b netip.AddrPort) bool { return b != balancer })
}

// SetFallback sets the balancers to use while none is live.
func (t *Table) SetFallback(balancers []netip.AddrPort) { t.fallback = balancers }

// Choose returns the balancer through which to send a datagram to the caller. It
// returns false if there is none: the flow is unknown, no balancer is live and no
// fallback is set.
func (t *Table) Choose(now time.Time, rng *rand.Rand, caller netip.AddrPort) (netip.AddrPort, bool) {
	f, ok := t.flows[caller]
	if !ok {
		return t.anyBalancer(rng)
	}
	f.unanswered++
	if !t.suspected(now, f) {
		return f.balancer, true
	}
	if b, ok := t.anyBalancer(rng); ok {
		return b, true
	}
	return f.balancer, true
}

// suspected reports whether a flow's balancer may be dead: it left, it is overdue
// or the caller has not answered the flow's latest datagrams.
func (t *Table) suspected(now time.Time, f *flow) bool {
	lastSeen, live := t.lastSeen[f.balancer]
	if !live || now.Sub(lastSeen) > t.opts.BalancerTimeout {
		return true
	}
	return f.unanswered > t.opts.MaxUnanswered && now.Sub(f.lastSeen) > t.opts.ReplyTimeout
}

// anyBalancer returns a random live balancer, or else a random fallback.
func (t *Table) anyBalancer(rng *rand.Rand) (netip.AddrPort, bool) {
	if n := len(t.live); n > 0 {
		return t.live[rng.IntN(n)], true
	}
	if n := len(t.fallback); n > 0 {
		return t.fallback[rng.IntN(n)], true
	}
	return netip.AddrPort{}, false
}

// Sweep removes the balancers and flows from which no datagram came for
// BalancerTimeout and FlowIdleTimeout respectively.
func (t *Table) Sweep(now time.Time) {
	for b, lastSeen := range t.lastSeen {
		if now.Sub(lastSeen) > t.opts.BalancerTimeout {
			delete(t.lastSeen, b)
		}
	}
	t.filterLive(func(b netip.AddrPort) bool { _, ok := t.lastSeen[b]; return ok })
	for c, f := range t.flows {
		if now.Sub(f.lastSeen) > t.opts.FlowIdleTimeout {
			delete(t.flows, c)
		}
	}
}

// filterLive removes the balancers for which keep returns false from live.
func (t *Table) filterLive(keep func(netip.AddrPort) bool) {
	live := t.live[:0]
	for _, b := range t.live {
		if keep(b) {
			live = append(live, b)
		}
	}
	t.live = live
}
