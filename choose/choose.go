package choose

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"time"
)

// Options are the limits of the policy.
type Options struct {
	// Choices is d, the number of hosts compared.
	Choices int
	// SlowStart is the time over which a new host's share of offers rises
	// from nothing to all.
	SlowStart time.Duration
	// SkipRefused is how long a host that refused a flow gets none.
	SkipRefused time.Duration
	// OtherZonePenalty multiplies the cost of hosts in other zones; 1 ignores
	// zones.
	OtherZonePenalty float64
	// StaleAfter is the age from which a reading loses weight: over the same
	// span again the cost moves to the mean, so that a host whose flows ended
	// unseen is tried again.
	StaleAfter time.Duration
	// Silence is how long a host may stay silent after a send before it is
	// taken for frozen.
	Silence time.Duration
}

// Defaults returns the options measured in docs/DESIGN.md.
func Defaults() Options {
	return Options{
		Choices:          2,
		SlowStart:        10 * time.Second,
		SkipRefused:      2 * time.Second,
		OtherZonePenalty: 1,
		StaleAfter:       10 * time.Second,
		Silence:          1500 * time.Millisecond,
	}
}

// Host is a candidate of one service as the directory describes it.
type Host struct {
	Addr     netip.AddrPort
	Zone     string
	Capacity int
}

// Reading is what a host says of itself, possibly late and misleading.
type Reading struct {
	Open int
	// Busy is the load in thousandths of the host's limit; over BusyFull the
	// host is at its limit.
	Busy int
}

// BusyFull is the Busy value of a host at its limit.
const BusyFull = 1000

type state struct {
	Host
	reading   Reading
	readingAt time.Time
	// own counts flows sent here since the reading.
	own      int
	joinedAt time.Time
	skipTill time.Time
	// unanswered is when the oldest send without any sign of life was made.
	unanswered time.Time
}

// Set is the candidates of one service at one balancer. It is not safe for
// concurrent use; its owner holds a lock.
type Set struct {
	opts  Options
	zone  string
	hosts []*state
	index map[netip.AddrPort]*state
	// since is when the first hosts became known.
	since time.Time
	// scan is scratch space of Pick.
	scan []*state
}

// NewSet returns an empty set for a balancer in the given zone.
func NewSet(opts Options, zone string) *Set {
	return &Set{opts: opts, zone: zone, index: map[netip.AddrPort]*state{}}
}

// Len returns the number of candidates.
func (s *Set) Len() int { return len(s.hosts) }

// Replace sets the candidates. A host that stays keeps what is known of it.
// What a fresh balancer learns within the slow-start period of its first hosts
// counts as long known: its own start is no cold start of the hosts.
func (s *Set) Replace(now time.Time, hosts []Host) {
	if s.since.IsZero() && len(hosts) > 0 {
		s.since = now
	}
	fresh := now.Sub(s.since) < s.opts.SlowStart
	next := make([]*state, 0, len(hosts))
	index := make(map[netip.AddrPort]*state, len(hosts))
	for _, h := range hosts {
		st, ok := s.index[h.Addr]
		if !ok {
			st = &state{joinedAt: now}
			if fresh {
				st.joinedAt = now.Add(-s.opts.SlowStart)
			}
		}
		st.Host = h
		next = append(next, st)
		index[h.Addr] = st
	}
	s.hosts, s.index = next, index
}

// Observe takes a host's reading from the data path; it also is a sign of life.
func (s *Set) Observe(now time.Time, addr netip.AddrPort, r Reading) {
	st, ok := s.index[addr]
	if !ok {
		return
	}
	st.reading, st.readingAt, st.own = r, now, 0
	st.unanswered = time.Time{}
}

// Refuse notes that a host handed a flow back.
func (s *Set) Refuse(now time.Time, addr netip.AddrPort) {
	st, ok := s.index[addr]
	if !ok {
		return
	}
	st.skipTill = now.Add(s.opts.SkipRefused)
	st.unanswered = time.Time{}
	if st.own > 0 {
		st.own--
	}
}

// Pick returns the host for a new flow and counts it as sent. It prefers hosts
// without a mark against them and falls back to any: a guess that a host is
// frozen must not refuse a caller when it is the only one.
func (s *Set) Pick(now time.Time, rnd *rand.Rand) (netip.AddrPort, bool) {
	if len(s.hosts) == 0 {
		return netip.AddrPort{}, false
	}
	best := s.sample(now, rnd, s.hosts)
	if best == nil {
		best = s.fallback(now, rnd)
	}
	s.sent(now, best)
	return best.Addr, true
}

// sample compares d random hosts and returns the cheapest usable one.
func (s *Set) sample(now time.Time, rnd *rand.Rand, from []*state) *state {
	mean := s.meanCost(now, rnd)
	var best *state
	bestCost := math.Inf(1)
	for range s.opts.Choices {
		st := from[rnd.IntN(len(from))]
		if !s.usable(now, st) || rnd.Float64() < s.youth(now, st) {
			continue
		}
		cost := s.cost(now, st, mean)
		if cost < bestCost {
			best, bestCost = st, cost
		}
	}
	return best
}

// fallback is the slow path: scan for usable hosts, then take any.
func (s *Set) fallback(now time.Time, rnd *rand.Rand) *state {
	s.scan = s.scan[:0]
	for _, st := range s.hosts {
		if s.usable(now, st) {
			s.scan = append(s.scan, st)
		}
	}
	if len(s.scan) == 0 {
		return s.hosts[rnd.IntN(len(s.hosts))]
	}
	if st := s.sample(now, rnd, s.scan); st != nil {
		return st
	}
	return s.scan[rnd.IntN(len(s.scan))]
}

func (s *Set) usable(now time.Time, st *state) bool {
	if now.Before(st.skipTill) || st.Capacity <= 0 {
		return false
	}
	return st.unanswered.IsZero() || now.Sub(st.unanswered) < s.opts.Silence
}

func (s *Set) sent(now time.Time, st *state) {
	st.own++
	if st.unanswered.IsZero() {
		st.unanswered = now
		return
	}
	// A silent host is tried again once per silence period, so that one that
	// recovers gets work again without a probe of its own.
	if now.Sub(st.unanswered) >= s.opts.Silence {
		st.unanswered = now
	}
}

// cost is the expected flows per slot; lower is better.
func (s *Set) cost(now time.Time, st *state, mean float64) float64 {
	cost := st.perSlot()
	if st.reading.Busy > BusyFull {
		cost *= float64(st.reading.Busy) / BusyFull
	}
	cost = blend(cost, mean, s.doubt(now, st))
	if st.Zone != s.zone {
		cost *= s.opts.OtherZonePenalty
	}
	return cost
}

// perSlot is the flows per ready slot that this balancer knows of.
func (st *state) perSlot() float64 {
	return float64(st.reading.Open+st.own+1) / float64(max(st.Capacity, 1))
}

// doubt is the weight, 0 to 1, of the mean against a reading of this age.
func (s *Set) doubt(now time.Time, st *state) float64 {
	if st.readingAt.IsZero() {
		return 0
	}
	over := now.Sub(st.readingAt) - s.opts.StaleAfter
	return min(max(float64(over)/float64(s.opts.StaleAfter), 0), 1)
}

func blend(own, mean, weight float64) float64 { return own*(1-weight) + mean*weight }

// youth is the share, 0 to 1, of offers that a host passes up because it joined
// a short time ago.
func (s *Set) youth(now time.Time, st *state) float64 {
	age := now.Sub(st.joinedAt)
	return max(1-float64(age)/float64(s.opts.SlowStart), 0)
}

// meanSample is how many hosts estimate the mean cost.
const meanSample = 4

// meanCost estimates the mean cost from a few random hosts.
func (s *Set) meanCost(now time.Time, rnd *rand.Rand) float64 {
	sum := 0.0
	for range meanSample {
		st := s.hosts[rnd.IntN(len(s.hosts))]
		sum += st.perSlot()
	}
	return sum / meanSample
}
