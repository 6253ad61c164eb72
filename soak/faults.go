package soak

import (
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"github.com/poppywall/poppywall/platform"
	"github.com/poppywall/poppywall/standin"
	"github.com/poppywall/poppywall/store"
)

// deployment is a site of either front.
type deployment interface {
	// balancerNodes and agentNodes are the processes of the system.
	balancerNodes() []*node
	agentNodes() []*node
	// faultStore sets what the store does wrong.
	faultStore(standin.Faults)
}

// nodes returns all processes of the system.
func nodes(s deployment) []*node { return append(s.balancerNodes(), s.agentNodes()...) }

// withWay returns those that reach the store.
func withWay(s deployment) []*node {
	return slices.DeleteFunc(nodes(s), func(n *node) bool { return n.way == nil })
}

// fault is something that happens to a site; it returns what ends it, nil when
// it ends by itself.
type fault[S deployment] struct {
	name string
	do   func(s S, rnd *rand.Rand, rec *recorder) (end func())
}

// systemFaults are the kinds that meet the processes and the store of either front.
func systemFaults[S deployment]() []fault[S] {
	return []fault[S]{
		{"balancer killed", signalOne(S.balancerNodes, syscall.SIGKILL)},
		{"balancer stopped", signalOne(S.balancerNodes, syscall.SIGTERM)},
		{"balancer paused", pauseOne(S.balancerNodes)},
		{"agent killed", signalOne(S.agentNodes, syscall.SIGKILL)},
		{"agent stopped", signalOne(S.agentNodes, syscall.SIGTERM)},
		{"agent paused", pauseOne(S.agentNodes)},
		{"settings reloaded", reload[S]},
		{"store down", storeFault[S](standin.Faults{Down: true})},
		{"store slow", storeFault[S](standin.Faults{DelayMillis: 700})},
		{"store answers lost", storeFault[S](standin.Faults{LoseAnswers: 4})},
		{"a way to the store goes silent", wayFault[S](func(p *standin.Proxy) func() { p.Silence(); return nil })},
		{"a way to the store is cut in one direction", wayFault[S](func(p *standin.Proxy) func() { p.Cut(standin.FromTarget); return nil })},
		{"a way to the store is reset", wayFault[S](func(p *standin.Proxy) func() { p.Reset(); return nil })},
		{"a way to the store is closed", wayFault[S](func(p *standin.Proxy) func() {
			p.Refuse(true)
			p.Reset()
			return func() { p.Refuse(false) }
		})},
		{"a way to the store is slow", wayFault[S](func(p *standin.Proxy) func() {
			p.Delay(slowWay)
			return func() { p.Delay(0) }
		})},
		{"a way to the store is narrow", wayFault[S](func(p *standin.Proxy) func() {
			p.Narrow(narrowWay)
			return func() { p.Narrow(0) }
		})},
		{"all connections to the store go silent", func(s S, _ *rand.Rand, _ *recorder) func() {
			for _, n := range withWay(s) {
				n.way.Silence()
			}
			return nil
		}},
	}
}

// packetFaults are all kinds for the packet front, each as likely as the others.
var packetFaults = append(systemFaults[*site](),
	fault[*site]{"target crashes", crashPacketTarget},
	fault[*site]{"target drains and is replaced", drainPacketTarget},
	fault[*site]{"target is replaced by one of another service", replacePacketTarget},
	fault[*site]{"store lapses and drops its history", lapse},
	fault[*site]{"configuration changes", reconfigure},
	fault[*site]{"configuration grows", func(s *site, rnd *rand.Rand, rec *recorder) func() {
		s.grown = min(s.grown+growth, mostGrown)
		rec.note("%d more routes", s.grown)
		return reconfigure(s, rnd, rec)
	}},
	fault[*site]{"all processes killed", blackout},
	fault[*site]{"a zone is emptied", emptyZone},
)

// reconfigure writes the next configuration.
func reconfigure(s *site, _ *rand.Rand, rec *recorder) func() {
	if err := s.putConfig(); err != nil {
		rec.violate("configuration: %v", err)
	}
	return nil
}

// narrowWay is the rate of a narrow way to the store, in bytes a second: 10 Mbit/s,
// over which the largest configuration takes a second.
const narrowWay = 1_250_000

// growth is how many routes come with a configuration that grows, mostGrown how many
// there are in the end: 0.9 MB, close to the largest value of the store.
const (
	growth    = 1400
	mostGrown = 5600
)

// slowWay is the delay of a slow way to the store, in each direction: calls at it
// take longer than the programs wait for some of them.
const slowWay = 350 * time.Millisecond

// wayFault does something to one node's way to the store.
func wayFault[S deployment](do func(*standin.Proxy) func()) func(S, *rand.Rand, *recorder) func() {
	return func(s S, rnd *rand.Rand, rec *recorder) func() {
		n := pick(withWay(s), rnd)
		rec.note("%s's way to the store", n.name)
		return do(n.way)
	}
}

func signalOne[S deployment](of func(S) []*node, how syscall.Signal) func(S, *rand.Rand, *recorder) func() {
	return func(s S, rnd *rand.Rand, rec *recorder) func() { return restart(pick(of(s), rnd), how, rec) }
}

func pauseOne[S deployment](of func(S) []*node) func(S, *rand.Rand, *recorder) func() {
	return func(s S, rnd *rand.Rand, rec *recorder) func() { return pause(pick(of(s), rnd), rec) }
}

func storeFault[S deployment](f standin.Faults) func(S, *rand.Rand, *recorder) func() {
	return func(s S, _ *rand.Rand, _ *recorder) func() {
		s.faultStore(f)
		return func() { s.faultStore(standin.Faults{}) }
	}
}

func pick[T any](list []T, rnd *rand.Rand) T { return list[rnd.IntN(len(list))] }

// inject lets the faults come one after the other; some overlap.
func inject[S deployment](s S, cfg Config, faults []fault[S], rnd *rand.Rand, rec *recorder) {
	type running struct {
		end func()
		at  time.Time
	}
	var open []running
	finish := func(all bool) {
		var left []running
		for _, r := range open {
			if all || time.Now().After(r.at) {
				r.end()
			} else {
				left = append(left, r)
			}
		}
		open = left
	}
	for range cfg.Faults {
		f := faults[rnd.IntN(len(faults))]
		rec.note("%s", f.name)
		if end := f.do(s, rnd, rec); end != nil {
			open = append(open, running{end, time.Now().Add(time.Duration(100+rnd.IntN(1500)) * time.Millisecond)})
		}
		time.Sleep(time.Duration(50+rnd.IntN(900)) * time.Millisecond)
		finish(false)
		checkProcesses(s, rec)
	}
	finish(true)
}

// checkProcesses finds processes that ended by themselves.
func checkProcesses(s deployment, rec *recorder) {
	for _, n := range nodes(s) {
		if n.running() || n.asked {
			continue
		}
		rec.violate("%s ended by itself", n.name)
		if err := n.start(); err != nil {
			rec.violate("restart: %v", err)
		}
	}
}

// restart ends a process; it is started again later. A process that is down or
// paused already is left alone.
func restart(n *node, how syscall.Signal, rec *recorder) func() {
	if !n.free() {
		return nil
	}
	rec.note("%s: %v", n.name, how)
	n.asked = true
	n.cut()
	n.signal(how)
	return func() {
		<-n.exited
		rec.note("%s starts again", n.name)
		if err := n.start(); err != nil {
			rec.violate("restart: %v", err)
		}
	}
}

func pause(n *node, rec *recorder) func() {
	if !n.free() {
		return nil
	}
	rec.note("%s paused", n.name)
	n.paused = true
	n.signal(syscall.SIGSTOP)
	return func() {
		rec.note("%s goes on", n.name)
		n.signal(syscall.SIGCONT)
		n.paused = false
	}
}

func reload[S deployment](s S, rnd *rand.Rand, _ *recorder) func() {
	n := pick(nodes(s), rnd)
	if n.free() && time.Since(n.started) > signalAge {
		n.signal(syscall.SIGHUP)
	}
	return nil
}

// signalAge is how old a process has to be to take SIGHUP: before its first
// instruction nothing can keep the signal from ending it.
const signalAge = 200 * time.Millisecond

// startAgain starts a target where none is.
func startAgain(s *site, n *packetNode, rec *recorder) {
	if n.current() != nil {
		return
	}
	rec.note("target beside %s starts", n.name)
	if err := s.startTarget(n); err != nil {
		rec.violate("target: %v", err)
	}
}

// crashPacketTarget ends a target without a word; a heartbeat and a farewell of it arrive after
// its successor's first heartbeat.
func crashPacketTarget(s *site, rnd *rand.Rand, rec *recorder) func() {
	n := pick(s.agents, rnd)
	former := n.current()
	if former == nil || lastOfService(s, n) {
		return nil
	}
	rec.note("target beside %s crashes", n.name)
	n.crashTarget()
	return func() {
		startAgain(s, n, rec)
		rec.note("a heartbeat of %s arrives late", former.ID)
		former.SendDelayedHeartbeat()
		former.SendDelayedDeregistration()
	}
}

// drainPacketTarget lets a target drain, crash late and come back.
func drainPacketTarget(s *site, rnd *rand.Rand, rec *recorder) func() {
	n := pick(s.agents, rnd)
	h := n.current()
	if h == nil || lastOfService(s, n) {
		return nil
	}
	rec.note("target %s drains", h.ID)
	h.Drain()
	return func() {
		if h.LateSYNs() > 0 {
			rec.violate("%d new flows at target %s after its drain was acknowledged", h.LateSYNs(), h.ID)
		}
		if n.current() == h {
			n.crashTarget()
		}
		startAgain(s, n, rec)
	}
}

// replacePacketTarget ends a target with its agent; its address serves another service
// from then on.
func replacePacketTarget(s *site, rnd *rand.Rand, rec *recorder) func() {
	n := pick(s.agents, rnd)
	if !n.free() || n.current() == nil || lastOfService(s, n) {
		return nil
	}
	rec.note("target beside %s is replaced", n.name)
	n.crashTarget()
	n.kill()
	n.service = (n.service + 1) % len(services)
	return func() {
		if err := n.prepare(s.cfg, "poppywall-agent", n.name, s.agentSettings(n), frontPackets); err != nil {
			rec.violate("restart: %v", err)
		}
		startAgain(s, n, rec)
	}
}

// emptyZone empties a zone for a while, whatever else goes on. What may keep a node
// from hearing of it is over within that time, so that it is judged only whether the
// zone still gets new flows after all faults: the last word of the store holds.
func emptyZone(s *site, rnd *rand.Rand, rec *recorder) func() {
	zone := zones[rnd.IntN(len(zones))]
	rec.note("zone %s emptied", zone)
	s.store.Operator(store.Put{Key: platform.EvacuateKey(zone), Value: []byte("{}")})
	if rnd.IntN(2) == 0 {
		return func() {
			rec.note("zone %s taken back", zone)
			s.store.OperatorRemoves(platform.EvacuateKey(zone))
		}
	}
	return nil
}

// checkEmptied checks that no target of a zone that stays emptied has got a new flow
// lately, and takes all zones back.
func checkEmptied(s *site, since time.Time, rec *recorder) {
	for _, zone := range zones {
		if !s.store.Has(platform.EvacuateKey(zone)) {
			continue
		}
		for _, n := range s.agents {
			if h := n.current(); h != nil && n.zone == zone && h.LastSYNAt().After(since) {
				rec.violate("a new flow at target %s of zone %s, which is emptied", h.ID, zone)
			}
		}
		rec.note("zone %s taken back", zone)
		s.store.OperatorRemoves(platform.EvacuateKey(zone))
	}
}

// lastOfService tells whether a service would be left without a target.
func lastOfService(s *site, n *packetNode) bool {
	for _, other := range s.agents {
		if other != n && other.service == n.service && other.current() != nil {
			return false
		}
	}
	return true
}

func lapse(s *site, _ *rand.Rand, _ *recorder) func() {
	s.store.LapseLeases()
	s.store.Compact()
	return nil
}

// blackout ends all processes of the system at once; the targets live on.
func blackout(s *site, rnd *rand.Rand, rec *recorder) func() {
	var ends []func()
	for _, n := range nodes(s) {
		if end := restart(n, syscall.SIGKILL, rec); end != nil {
			ends = append(ends, end)
		}
	}
	rnd.Shuffle(len(ends), func(i, j int) { ends[i], ends[j] = ends[j], ends[i] })
	return func() {
		for _, end := range ends {
			end()
		}
	}
}
