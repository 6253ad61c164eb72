package choose

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"time"
)

// Options are the parameters of the policy.
type Options struct {
	// Choices is d, the number of hosts compared.
	Choices int
	// SlowStart is the time over which a new host's share of draws rises from none to all.
	SlowStart time.Duration
	// SkipRefused is how long a host that refused a flow gets no new ones.
	SkipRefused time.Duration
	// CrossZonePenalty multiplies the cost of hosts in other zones; 1 ignores zones.
	CrossZonePenalty float64
	// StaleAfter is the age from which a load report loses weight: over the same time again the
	// cost moves to the mean, so that a host whose flows ended unseen is tried again.
	StaleAfter time.Duration
	// AnswerTimeout is how long a host may send nothing after a flow was sent to it before it
	// counts as frozen.
	AnswerTimeout time.Duration
}

// Defaults returns the options in use; docs/DESIGN.md has the measurements.
func Defaults() Options {
	return Options{
		Choices:          2,
		SlowStart:        10 * time.Second,
		SkipRefused:      2 * time.Second,
		CrossZonePenalty: 1,
		StaleAfter:       10 * time.Second,
		AnswerTimeout:    1500 * time.Millisecond,
	}
}

// Host is a candidate of one service as the directory describes it.
type Host struct {
	Addr netip.AddrPort
	Zone string
	// Capacity is the number of the service's ready slots; a host without any gets no new flows.
	Capacity int
}

// HostLoad is the load that a host reports for a service, for the choice among hosts (Set). It
// may be out of date.
type HostLoad struct {
	// Open is the number of the service's open flows at the host.
	Open int
	// Busy is the load in thousandths of the host's limit, not a number of requests as in Offer;
	// over BusyFull the host is beyond its limit.
	Busy int
}

// BusyFull is the Busy value of a host at its limit.
const BusyFull = 1000

type hostState struct {
	Host
	report   HostLoad
	reportAt time.Time
	// sentSince counts the flows sent to the host since the report.
	sentSince int
	joinedAt  time.Time
	skipUntil time.Time
	// unansweredSince is when the oldest flow without any later packet from the host was sent.
	unansweredSince time.Time
}

// Set holds the candidates of one service at one balancer. It is not safe for concurrent use;
// its owner holds a lock.
type Set struct {
	opts  Options
	zone  string
	hosts []*hostState
	index map[netip.AddrPort]*hostState
	// firstHostsAt is when the first hosts became known.
	firstHostsAt time.Time
	// scan is scratch space of Pick.
	scan []*hostState
}

// NewSet returns an empty set for a balancer in the given zone.
func NewSet(opts Options, zone string) *Set {
	return &Set{opts: opts, zone: zone, index: map[netip.AddrPort]*hostState{}}
}

// Len returns the number of candidates.
func (s *Set) Len() int { return len(s.hosts) }

// Replace sets the candidates. A host that stays keeps its state. Hosts that a new balancer
// learns of within the slow-start period of its first hosts skip the slow start: the balancer
// is new, the hosts are not.
func (s *Set) Replace(now time.Time, hosts []Host) {
	if s.firstHostsAt.IsZero() && len(hosts) > 0 {
		s.firstHostsAt = now
	}
	startingUp := now.Sub(s.firstHostsAt) < s.opts.SlowStart
	next := make([]*hostState, 0, len(hosts))
	index := make(map[netip.AddrPort]*hostState, len(hosts))
	for _, h := range hosts {
		st, ok := s.index[h.Addr]
		if !ok {
			st = &hostState{joinedAt: now}
			if startingUp {
				st.joinedAt = now.Add(-s.opts.SlowStart)
			}
		}
		st.Host = h
		next = append(next, st)
		index[h.Addr] = st
	}
	s.hosts, s.index = next, index
}

// Observe records a load report of a host from the data path; it also shows that the host is
// alive.
func (s *Set) Observe(now time.Time, addr netip.AddrPort, r HostLoad) {
	st, ok := s.index[addr]
	if !ok {
		return
	}
	st.report, st.reportAt, st.sentSince = r, now, 0
	st.unansweredSince = time.Time{}
}

// Refuse records that a host refused a flow.
func (s *Set) Refuse(now time.Time, addr netip.AddrPort) {
	st, ok := s.index[addr]
	if !ok {
		return
	}
	st.skipUntil = now.Add(s.opts.SkipRefused)
	st.unansweredSince = time.Time{}
	if st.sentSince > 0 {
		st.sentSince--
	}
}

// Pick returns the host for a new flow and counts the flow as sent. It prefers hosts that are
// usable and falls back to any: a host that only seems frozen must not be skipped when it is
// the only one.
func (s *Set) Pick(now time.Time, rnd *rand.Rand) (netip.AddrPort, bool) {
	if len(s.hosts) == 0 {
		return netip.AddrPort{}, false
	}
	best := s.sample(now, rnd, s.hosts)
	if best == nil {
		best = s.fallback(now, rnd)
	}
	s.recordSent(now, best)
	return best.Addr, true
}

// sample compares d random hosts and returns the cheapest usable one.
func (s *Set) sample(now time.Time, rnd *rand.Rand, from []*hostState) *hostState {
	mean := s.meanCost(now, rnd)
	var best *hostState
	bestCost := math.Inf(1)
	for range s.opts.Choices {
		st := from[rnd.IntN(len(from))]
		if !s.usable(now, st) || rnd.Float64() < s.slowStartSkip(now, st) {
			continue
		}
		cost := s.cost(now, st, mean)
		if cost < bestCost {
			best, bestCost = st, cost
		}
	}
	return best
}

// fallback is the slow path: it samples the usable hosts, or picks any host if there is none.
func (s *Set) fallback(now time.Time, rnd *rand.Rand) *hostState {
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

// usable reports whether a host may get new flows: it has capacity, has not refused one recently
// and is not frozen.
func (s *Set) usable(now time.Time, st *hostState) bool {
	if now.Before(st.skipUntil) || st.Capacity <= 0 {
		return false
	}
	return st.unansweredSince.IsZero() || now.Sub(st.unansweredSince) < s.opts.AnswerTimeout
}

// recordSent counts a flow as sent to a host.
func (s *Set) recordSent(now time.Time, st *hostState) {
	st.sentSince++
	if st.unansweredSince.IsZero() {
		st.unansweredSince = now
		return
	}
	// A host that does not answer is tried again once per AnswerTimeout, so that it gets
	// flows again after it recovers, without separate probes.
	if now.Sub(st.unansweredSince) >= s.opts.AnswerTimeout {
		st.unansweredSince = now
	}
}

// cost returns the expected flows per slot; lower is better.
func (s *Set) cost(now time.Time, st *hostState, mean float64) float64 {
	cost := st.flowsPerSlot()
	if st.report.Busy > BusyFull {
		cost *= float64(st.report.Busy) / BusyFull
	}
	cost = blend(cost, mean, s.staleness(now, st))
	if st.Zone != s.zone {
		cost *= s.opts.CrossZonePenalty
	}
	return cost
}

// flowsPerSlot returns the flows per ready slot, from the last load report and the flows that
// this balancer has sent since, with one more flow.
func (st *hostState) flowsPerSlot() float64 {
	return float64(st.report.Open+st.sentSince+1) / float64(max(st.Capacity, 1))
}

// staleness returns the weight, 0 to 1, of the mean cost against a load report of this age.
func (s *Set) staleness(now time.Time, st *hostState) float64 {
	if st.reportAt.IsZero() {
		return 0
	}
	over := now.Sub(st.reportAt) - s.opts.StaleAfter
	return min(max(float64(over)/float64(s.opts.StaleAfter), 0), 1)
}

func blend(own, mean, weight float64) float64 { return own*(1-weight) + mean*weight }

// slowStartSkip returns the probability with which a draw skips a host because it joined a
// short time ago.
func (s *Set) slowStartSkip(now time.Time, st *hostState) float64 {
	age := now.Sub(st.joinedAt)
	return max(1-float64(age)/float64(s.opts.SlowStart), 0)
}

// meanSample is the number of random hosts from which the mean cost is estimated.
const meanSample = 4

// meanCost estimates the mean cost from a few random hosts.
func (s *Set) meanCost(now time.Time, rnd *rand.Rand) float64 {
	sum := 0.0
	for range meanSample {
		st := s.hosts[rnd.IntN(len(s.hosts))]
		sum += st.flowsPerSlot()
	}
	return sum / meanSample
}
