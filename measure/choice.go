package measure

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/netip"
	"text/tabwriter"
	"time"

	"github.com/poppywall/poppywall/choose"
	"github.com/poppywall/poppywall/load"
)

// ChoiceOptions are the options of one simulation of a host selection policy.
type ChoiceOptions struct {
	Hosts, Balancers int
	// FlowsPerHost is the number of open flows per host in the steady state. The
	// length of a flow is exponentially distributed with mean MeanLength.
	FlowsPerHost int
	MeanLength   time.Duration
	// ReportAge is the age of a load report when it reaches a balancer.
	ReportAge time.Duration
	// Length is the simulated time and Step its resolution.
	Length, Step time.Duration
	// AddEmptyHost adds a host without flows at the start of the run.
	AddEmptyHost bool
	// Uneven halves the capacity of every other host.
	Uneven bool
	Seed   uint64
}

// DefaultChoice returns the options for 35 hosts with 2,000 flows each.
func DefaultChoice() ChoiceOptions {
	return ChoiceOptions{
		Hosts:        35,
		Balancers:    3,
		FlowsPerHost: 2000,
		MeanLength:   100 * time.Second,
		ReportAge:    2 * time.Second,
		Length:       120 * time.Second,
		Step:         5 * time.Millisecond,
		Seed:         1,
	}
}

// choicePolicy selects the host of each new flow for one balancer.
type choicePolicy interface {
	pick(now time.Time, rnd *rand.Rand) int
	observe(now time.Time, host, open int)
	// addHost adds a host of the given capacity.
	addHost(now time.Time, capacity int)
}

// ChoicePolicies are the names of the compared policies. Balancers use
// "poppywall"; "central-oracle" picks by the true number of open flows.
var ChoicePolicies = []string{"random", "hash", "least-reading", "least-reading+own", "d2-reading", "poppywall", "central-oracle"}

// ChoiceResult is how evenly one policy distributed flows.
type ChoiceResult struct {
	Policy string
	// MaxOverMean (largest value over mean) and CV (coefficient of variation)
	// are of the open flows per unit of capacity, averaged over the second half
	// of the run. Worst is the largest MaxOverMean in that half.
	MaxOverMean, CV, Worst float64
	// AddedHostShare is the share of the new flows of the first two seconds that
	// went to the added host, relative to an equal share.
	AddedHostShare float64
}

// RunChoice simulates one policy.
func RunChoice(name string, o ChoiceOptions) ChoiceResult {
	s := newChoiceSim(name, o)
	s.run()
	return s.result(name)
}

type choiceSim struct {
	opts           ChoiceOptions
	rnd            *rand.Rand
	capacity       []int
	open           []int
	policies       []choicePolicy
	pendingReports []loadReports
	lastReports    loadReports
	spreads        []load.Spread
	// earlyFlows are the new flows of the first two seconds, addedHostFlows those of
	// them that went to the added host.
	addedHostFlows int
	earlyFlows     int
	// addedHost is the index of the added host, or -1 if there is none.
	addedHost int
}

// loadReports are the open flows of all hosts at one time, as reported to the
// balancers.
type loadReports struct {
	at   time.Time
	open []int
}

// simStart is the start of the simulated time in all simulations.
var simStart = time.Unix(1_700_000_000, 0)

func newChoiceSim(name string, o ChoiceOptions) *choiceSim {
	s := &choiceSim{opts: o, rnd: rand.New(rand.NewPCG(o.Seed, 7)), addedHost: -1}
	for i := range o.Hosts {
		capacity := 10
		if o.Uneven && i%2 == 1 {
			capacity = 5
		}
		s.capacity = append(s.capacity, capacity)
		s.open = append(s.open, o.FlowsPerHost*capacity/10)
	}
	for range o.Balancers {
		s.policies = append(s.policies, s.newPolicy(name))
	}
	s.lastReports = loadReports{simStart, append([]int(nil), s.open...)}
	s.deliverReports(simStart)
	if o.AddEmptyHost {
		s.addedHost = len(s.open)
		s.capacity = append(s.capacity, 10)
		s.open = append(s.open, 0)
		for _, p := range s.policies {
			p.addHost(simStart, 10)
		}
	}
	return s
}

func (s *choiceSim) run() {
	newFlowsPerStep := float64(s.steadyFlows()) / s.opts.MeanLength.Seconds() * s.opts.Step.Seconds()
	steps := int(s.opts.Length / s.opts.Step)
	for i := range steps {
		now := simStart.Add(time.Duration(i) * s.opts.Step)
		s.endFlows()
		for range poisson(s.rnd, newFlowsPerStep) {
			s.startFlow(now)
		}
		s.collectReports(now)
		if i >= steps/2 && i%20 == 0 {
			s.spreads = append(s.spreads, load.SpreadOf(s.flowsPerCapacity()))
		}
	}
}

// steadyFlows returns the number of open flows in the steady state.
func (s *choiceSim) steadyFlows() int {
	sum := 0
	for i, c := range s.capacity {
		if i != s.addedHost {
			sum += s.opts.FlowsPerHost * c / 10
		}
	}
	return sum
}

// endFlows ends flows, each with the same probability per step.
func (s *choiceSim) endFlows() {
	p := s.opts.Step.Seconds() / s.opts.MeanLength.Seconds()
	for i := range s.open {
		s.open[i] -= min(poisson(s.rnd, float64(s.open[i])*p), s.open[i])
	}
}

// startFlow starts a flow at a random balancer.
func (s *choiceSim) startFlow(now time.Time) {
	host := s.policies[s.rnd.IntN(len(s.policies))].pick(now, s.rnd)
	s.open[host]++
	if now.Sub(simStart) < 2*time.Second {
		s.earlyFlows++
		if host == s.addedHost {
			s.addedHostFlows++
		}
	}
}

// reportInterval is the interval between load reports of a host.
const reportInterval = 100 * time.Millisecond

// collectReports collects load reports and delivers the latest ones that are
// ReportAge old. Hosts always answer; only their load reports are delayed.
func (s *choiceSim) collectReports(now time.Time) {
	if now.Sub(simStart)%reportInterval != 0 {
		return
	}
	s.pendingReports = append(s.pendingReports, loadReports{now, append([]int(nil), s.open...)})
	for len(s.pendingReports) > 0 && now.Sub(s.pendingReports[0].at) >= s.opts.ReportAge {
		s.lastReports = s.pendingReports[0]
		s.pendingReports = s.pendingReports[1:]
	}
	s.deliverReports(now)
}

func (s *choiceSim) deliverReports(now time.Time) {
	for _, p := range s.policies {
		for h, open := range s.lastReports.open {
			p.observe(now, h, open)
		}
	}
}

func (s *choiceSim) flowsPerCapacity() map[string]float64 {
	out := make(map[string]float64, len(s.open))
	for i, n := range s.open {
		out[fmt.Sprint(i)] = float64(n) / float64(s.capacity[i])
	}
	return out
}

func (s *choiceSim) result(name string) ChoiceResult {
	r := ChoiceResult{Policy: name}
	for _, sp := range s.spreads {
		r.MaxOverMean += sp.MaxOverMean / float64(len(s.spreads))
		r.CV += sp.CV / float64(len(s.spreads))
		r.Worst = max(r.Worst, sp.MaxOverMean)
	}
	if s.addedHost >= 0 && s.earlyFlows > 0 {
		r.AddedHostShare = float64(s.addedHostFlows) / float64(s.earlyFlows) * float64(len(s.open))
	}
	return r
}

// poisson draws from a Poisson distribution, with Knuth's algorithm for a small
// mean and the normal approximation otherwise.
func poisson(rnd *rand.Rand, mean float64) int {
	if mean > 30 {
		return max(0, int(math.Round(mean+math.Sqrt(mean)*rnd.NormFloat64())))
	}
	limit, k, p := math.Exp(-mean), 0, rnd.Float64()
	for p > limit {
		k++
		p *= rnd.Float64()
	}
	return k
}

func (s *choiceSim) newPolicy(name string) choicePolicy {
	base := &baseline{sim: s, open: make([]int, len(s.capacity)), unreported: make([]int, len(s.capacity))}
	switch name {
	case "random":
		base.selectHost = base.random
	case "hash":
		base.selectHost = base.hash
	case "least-reading":
		base.selectHost = base.leastLoaded
	case "least-reading+own":
		base.countSent, base.selectHost = true, base.leastLoaded
	case "d2-reading":
		base.selectHost = base.lesserOfTwo
	case "central-oracle":
		base.selectHost = base.trueLeastLoaded
	default:
		return newChooseSetPolicy(s.capacity)
	}
	return base
}

// chooseSetPolicy uses choose.Set as a balancer does.
type chooseSetPolicy struct {
	set   *choose.Set
	hosts []choose.Host
	index map[netip.AddrPort]int
}

func newChooseSetPolicy(capacity []int) *chooseSetPolicy {
	p := &chooseSetPolicy{set: choose.NewSet(choose.Defaults(), "a"), index: map[netip.AddrPort]int{}}
	for _, c := range capacity {
		p.appendHost(c)
	}
	// The hosts were added a minute before the run, so they are past slow start.
	p.set.Replace(simStart.Add(-time.Minute), p.hosts)
	return p
}

func (p *chooseSetPolicy) appendHost(capacity int) {
	i := len(p.hosts)
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 1)
	p.hosts = append(p.hosts, choose.Host{Addr: addr, Zone: "a", Capacity: capacity})
	p.index[addr] = i
}

func (p *chooseSetPolicy) addHost(now time.Time, capacity int) {
	p.appendHost(capacity)
	p.set.Replace(now, p.hosts)
}

func (p *chooseSetPolicy) pick(now time.Time, rnd *rand.Rand) int {
	a, _ := p.set.Pick(now, rnd)
	return p.index[a]
}

func (p *chooseSetPolicy) observe(now time.Time, host, open int) {
	p.set.Observe(now, p.hosts[host].Addr, choose.HostLoad{Open: open})
}

// baseline is a simple policy for comparison.
type baseline struct {
	sim  *choiceSim
	open []int
	// unreported is the number of flows sent to each host since its last load
	// report. It is counted if countSent is set.
	unreported []int
	countSent  bool
	selectHost func(*rand.Rand) int
}

func (b *baseline) pick(_ time.Time, rnd *rand.Rand) int {
	host := b.selectHost(rnd)
	if b.countSent {
		b.unreported[host]++
	}
	return host
}

func (b *baseline) observe(_ time.Time, host, open int) { b.open[host], b.unreported[host] = open, 0 }

func (b *baseline) addHost(time.Time, int) {
	b.open, b.unreported = append(b.open, 0), append(b.unreported, 0)
}

func (b *baseline) cost(h int) float64 {
	return float64(b.open[h]+b.unreported[h]) / float64(b.sim.capacity[h])
}

func (b *baseline) random(rnd *rand.Rand) int { return rnd.IntN(len(b.open)) }

// hash picks a host in proportion to its capacity by a hash of the flow, here a
// random number. It models a consistent hash table with a slot for each unit of
// capacity.
func (b *baseline) hash(rnd *rand.Rand) int {
	sum := 0
	for _, c := range b.sim.capacity {
		sum += c
	}
	at := int(rnd.Uint64() % uint64(sum))
	for h, c := range b.sim.capacity {
		if at < c {
			return h
		}
		at -= c
	}
	return 0
}

func (b *baseline) leastLoaded(rnd *rand.Rand) int {
	best := rnd.IntN(len(b.open))
	for host := range b.open {
		if b.cost(host) < b.cost(best) {
			best = host
		}
	}
	return best
}

func (b *baseline) lesserOfTwo(rnd *rand.Rand) int {
	x, y := rnd.IntN(len(b.open)), rnd.IntN(len(b.open))
	if b.cost(y) < b.cost(x) {
		return y
	}
	return x
}

// trueLeastLoaded picks by the true number of open flows of every host.
func (b *baseline) trueLeastLoaded(*rand.Rand) int {
	best := 0
	share := func(h int) float64 { return float64(b.sim.open[h]) / float64(b.sim.capacity[h]) }
	for host := range b.sim.open {
		if share(host) < share(best) {
			best = host
		}
	}
	return best
}

// PrintChoice compares all policies by the age of load reports, in all situations.
func PrintChoice(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(tw, "SITUATION\tDELAY\tPOLICY\tMAX/MEAN\tCV\tWORST\tJOINER SHARE")
	situations := []struct {
		name string
		set  func(*ChoiceOptions)
	}{
		{"equal hosts", func(*ChoiceOptions) {}},
		{"uneven hosts", func(o *ChoiceOptions) { o.Uneven = true }},
		{"a host joins empty", func(o *ChoiceOptions) { o.AddEmptyHost = true }},
	}
	for _, sit := range situations {
		for _, delay := range []time.Duration{0, 500 * time.Millisecond, 2 * time.Second, 5 * time.Second} {
			for _, name := range ChoicePolicies {
				o := DefaultChoice()
				o.ReportAge = delay
				sit.set(&o)
				r := RunChoice(name, o)
				fmt.Fprintf(tw, "%s\t%v\t%s\t%.3f\t%.4f\t%.3f\t%.2f\n", sit.name, delay, name, r.MaxOverMean, r.CV, r.Worst, r.AddedHostShare)
			}
		}
	}
	return tw.Flush()
}
