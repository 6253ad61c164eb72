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

// ChoiceOptions describe one comparison of policies.
type ChoiceOptions struct {
	Hosts, Balancers int
	// FlowsPerHost is the open flows per host in the steady state; flows last
	// MeanLength on average, exponentially distributed.
	FlowsPerHost int
	MeanLength   time.Duration
	// Delay is the age of a reading when it reaches a balancer.
	Delay time.Duration
	// Length is the simulated time, Step its resolution.
	Length, Step time.Duration
	// JoinEmpty adds an empty host at the start.
	JoinEmpty bool
	// Uneven gives every other host half the capacity.
	Uneven bool
	Seed   uint64
}

// DefaultChoice is 35 targets, 2,000 flows a host.
func DefaultChoice() ChoiceOptions {
	return ChoiceOptions{
		Hosts:        35,
		Balancers:    3,
		FlowsPerHost: 2000,
		MeanLength:   100 * time.Second,
		Delay:        2 * time.Second,
		Length:       120 * time.Second,
		Step:         5 * time.Millisecond,
		Seed:         1,
	}
}

// policy is one balancer's way to choose.
type policy interface {
	pick(now time.Time, rnd *rand.Rand) int
	observe(now time.Time, host, open int)
	// join tells that one more host exists.
	join(now time.Time, capacity int)
}

// Policies lists the policies by name, the one in use last.
var Policies = []string{"random", "hash", "least-reading", "least-reading+own", "d2-reading", "poppywall", "central-oracle"}

// ChoiceResult is how one policy spread flows.
type ChoiceResult struct {
	Policy string
	// MaxOverMean and CV are means over the second half of the run, of open
	// flows per unit of capacity; Worst is the largest max/mean in it.
	MaxOverMean, CV, Worst float64
	// JoinerShare is the share of new flows that a joined host got in the
	// first two seconds, relative to an equal share.
	JoinerShare float64
}

// Choice runs one policy.
func Choice(name string, o ChoiceOptions) ChoiceResult {
	s := newChoiceSim(name, o)
	s.run()
	return s.result(name)
}

type choiceSim struct {
	o          ChoiceOptions
	rnd        *rand.Rand
	capacity   []int
	open       []int
	policies   []policy
	pending    []reading
	last       reading
	spreads    []load.Spread
	joinerNew  int
	earlyNew   int
	joinerHost int
}

// reading is one host's open flows on their way to the balancers.
type reading struct {
	at   time.Time
	open []int
}

var choiceStart = time.Unix(1_700_000_000, 0)

func newChoiceSim(name string, o ChoiceOptions) *choiceSim {
	s := &choiceSim{o: o, rnd: rand.New(rand.NewPCG(o.Seed, 7)), joinerHost: -1}
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
	s.last = reading{choiceStart, append([]int(nil), s.open...)}
	s.deliver(choiceStart)
	if o.JoinEmpty {
		s.joinerHost = len(s.open)
		s.capacity = append(s.capacity, 10)
		s.open = append(s.open, 0)
		for _, p := range s.policies {
			p.join(choiceStart, 10)
		}
	}
	return s
}

func (s *choiceSim) run() {
	perStep := float64(s.total()) / s.o.MeanLength.Seconds() * s.o.Step.Seconds()
	steps := int(s.o.Length / s.o.Step)
	for i := range steps {
		now := choiceStart.Add(time.Duration(i) * s.o.Step)
		s.end()
		for range poisson(s.rnd, perStep) {
			s.arrive(now)
		}
		s.read(now)
		if i >= steps/2 && i%20 == 0 {
			s.spreads = append(s.spreads, load.SpreadOf(s.perCapacity()))
		}
	}
}

func (s *choiceSim) total() int {
	sum := 0
	for i, c := range s.capacity {
		if i != s.joinerHost {
			sum += s.o.FlowsPerHost * c / 10
		}
	}
	return sum
}

// end lets flows end, each with the same chance in a step.
func (s *choiceSim) end() {
	p := s.o.Step.Seconds() / s.o.MeanLength.Seconds()
	for i := range s.open {
		s.open[i] -= min(poisson(s.rnd, float64(s.open[i])*p), s.open[i])
	}
}

func (s *choiceSim) arrive(now time.Time) {
	h := s.policies[s.rnd.IntN(len(s.policies))].pick(now, s.rnd)
	s.open[h]++
	if now.Sub(choiceStart) < 2*time.Second {
		s.earlyNew++
		if h == s.joinerHost {
			s.joinerNew++
		}
	}
}

// readEvery is how often hosts' readings are taken.
const readEvery = 100 * time.Millisecond

// read takes readings and delivers the latest one that is old enough. Hosts
// answer all the time; only what they say of their load is old.
func (s *choiceSim) read(now time.Time) {
	if now.Sub(choiceStart)%readEvery != 0 {
		return
	}
	s.pending = append(s.pending, reading{now, append([]int(nil), s.open...)})
	for len(s.pending) > 0 && now.Sub(s.pending[0].at) >= s.o.Delay {
		s.last = s.pending[0]
		s.pending = s.pending[1:]
	}
	s.deliver(now)
}

func (s *choiceSim) deliver(now time.Time) {
	for _, p := range s.policies {
		for h, open := range s.last.open {
			p.observe(now, h, open)
		}
	}
}

func (s *choiceSim) perCapacity() map[string]float64 {
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
	if s.joinerHost >= 0 && s.earlyNew > 0 {
		r.JoinerShare = float64(s.joinerNew) / float64(s.earlyNew) * float64(len(s.open))
	}
	return r
}

// poisson draws a count with the given mean: Knuth's method when it is small,
// the normal approximation otherwise.
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

func (s *choiceSim) newPolicy(name string) policy {
	base := &baseline{sim: s, open: make([]int, len(s.capacity)), own: make([]int, len(s.capacity))}
	switch name {
	case "random":
		base.choose = base.random
	case "hash":
		base.choose = base.hash
	case "least-reading":
		base.choose = base.least
	case "least-reading+own":
		base.countOwn, base.choose = true, base.least
	case "d2-reading":
		base.choose = base.two
	case "central-oracle":
		base.choose = base.central
	default:
		return newOurs(s.capacity)
	}
	return base
}

// ours drives choose.Set as a balancer does.
type ours struct {
	set   *choose.Set
	hosts []choose.Host
	index map[netip.AddrPort]int
}

func newOurs(capacity []int) *ours {
	o := &ours{set: choose.NewSet(choose.Defaults(), "a"), index: map[netip.AddrPort]int{}}
	for _, c := range capacity {
		o.add(c)
	}
	// The hosts are long known when the run starts.
	o.set.Replace(choiceStart.Add(-time.Minute), o.hosts)
	return o
}

func (o *ours) add(capacity int) {
	i := len(o.hosts)
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 1)
	o.hosts = append(o.hosts, choose.Host{Addr: addr, Zone: "a", Capacity: capacity})
	o.index[addr] = i
}

func (o *ours) join(now time.Time, capacity int) {
	o.add(capacity)
	o.set.Replace(now, o.hosts)
}

func (o *ours) pick(now time.Time, rnd *rand.Rand) int {
	a, _ := o.set.Pick(now, rnd)
	return o.index[a]
}

func (o *ours) observe(now time.Time, host, open int) {
	o.set.Observe(now, o.hosts[host].Addr, choose.LoadReport{Open: open})
}

// baseline is a simple policy to compare with.
type baseline struct {
	sim      *choiceSim
	open     []int
	own      []int
	countOwn bool
	choose   func(*rand.Rand) int
}

func (b *baseline) pick(_ time.Time, rnd *rand.Rand) int {
	h := b.choose(rnd)
	if b.countOwn {
		b.own[h]++
	}
	return h
}

func (b *baseline) observe(_ time.Time, host, open int) { b.open[host], b.own[host] = open, 0 }

func (b *baseline) join(time.Time, int) {
	b.open, b.own = append(b.open, 0), append(b.own, 0)
}

func (b *baseline) cost(h int) float64 {
	return float64(b.open[h]+b.own[h]) / float64(b.sim.capacity[h])
}

func (b *baseline) random(rnd *rand.Rand) int { return rnd.IntN(len(b.open)) }

// hash spreads by a hash of the flow, here a random number, over capacity
// units: what a consistent hash table of equal weights gives.
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

func (b *baseline) least(rnd *rand.Rand) int {
	best := rnd.IntN(len(b.open))
	for h := range b.open {
		if b.cost(h) < b.cost(best) {
			best = h
		}
	}
	return best
}

func (b *baseline) two(rnd *rand.Rand) int {
	x, y := rnd.IntN(len(b.open)), rnd.IntN(len(b.open))
	if b.cost(y) < b.cost(x) {
		return y
	}
	return x
}

// central sees every host's true open flows.
func (b *baseline) central(*rand.Rand) int {
	best := 0
	share := func(h int) float64 { return float64(b.sim.open[h]) / float64(b.sim.capacity[h]) }
	for h := range b.sim.open {
		if share(h) < share(best) {
			best = h
		}
	}
	return best
}

// PrintChoice compares all policies over delays and situations.
func PrintChoice(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(tw, "SITUATION\tDELAY\tPOLICY\tMAX/MEAN\tCV\tWORST\tJOINER SHARE")
	situations := []struct {
		name string
		set  func(*ChoiceOptions)
	}{
		{"equal hosts", func(*ChoiceOptions) {}},
		{"uneven hosts", func(o *ChoiceOptions) { o.Uneven = true }},
		{"a host joins empty", func(o *ChoiceOptions) { o.JoinEmpty = true }},
	}
	for _, sit := range situations {
		for _, delay := range []time.Duration{0, 500 * time.Millisecond, 2 * time.Second, 5 * time.Second} {
			for _, name := range Policies {
				o := DefaultChoice()
				o.Delay = delay
				sit.set(&o)
				r := Choice(name, o)
				fmt.Fprintf(tw, "%s\t%v\t%s\t%.3f\t%.4f\t%.3f\t%.2f\n", sit.name, delay, name, r.MaxOverMean, r.CV, r.Worst, r.JoinerShare)
			}
		}
	}
	return tw.Flush()
}
