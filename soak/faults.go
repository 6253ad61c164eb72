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

// deployment is a running site of either front.
type deployment interface {
	// balancerNodes and agentNodes return the balancers and the agents.
	balancerNodes() []*node
	agentNodes() []*node
	// setStoreFaults replaces the faults that the store injects.
	setStoreFaults(standin.Faults)
}

// nodes returns all balancers and agents.
func nodes(s deployment) []*node { return append(s.balancerNodes(), s.agentNodes()...) }

// nodesWithStoreProxy returns the nodes that connect to the store.
func nodesWithStoreProxy(s deployment) []*node {
	return slices.DeleteFunc(nodes(s), func(n *node) bool { return n.storeProxy == nil })
}

// fault is a fault that can be injected into a site. inject returns a function that
// ends the fault, or nil if it ends by itself or was not injected.
type fault[S deployment] struct {
	name   string
	inject func(s S, rnd *rand.Rand, rec *recorder) (end func())
}

// commonFaults returns the faults of processes and of the store, which both fronts
// have in common.
func commonFaults[S deployment]() []fault[S] {
	return []fault[S]{
		{"balancer killed", signalOne(S.balancerNodes, syscall.SIGKILL)},
		{"balancer stopped", signalOne(S.balancerNodes, syscall.SIGTERM)},
		{"balancer paused", pauseOne(S.balancerNodes)},
		{"agent killed", signalOne(S.agentNodes, syscall.SIGKILL)},
		{"agent stopped", signalOne(S.agentNodes, syscall.SIGTERM)},
		{"agent paused", pauseOne(S.agentNodes)},
		{"settings reloaded", reloadSettings[S]},
		{"store down", storeFault[S](standin.Faults{Down: true})},
		{"store slow", storeFault[S](standin.Faults{DelayMillis: 700})},
		{"store answers lost", storeFault[S](standin.Faults{LoseResponses: 4})},
		{"a way to the store goes silent", storeProxyFault[S](func(p *standin.Proxy) func() { p.Blackhole(); return nil })},
		{"a way to the store is cut in one direction", storeProxyFault[S](func(p *standin.Proxy) func() { p.BlackholeDirection(standin.FromTarget); return nil })},
		{"a way to the store is reset", storeProxyFault[S](func(p *standin.Proxy) func() { p.Reset(); return nil })},
		{"a way to the store is closed", storeProxyFault[S](func(p *standin.Proxy) func() {
			p.RefuseConnections(true)
			p.Reset()
			return func() { p.RefuseConnections(false) }
		})},
		{"a way to the store is slow", storeProxyFault[S](func(p *standin.Proxy) func() {
			p.SetDelay(storeDelay)
			return func() { p.SetDelay(0) }
		})},
		{"a way to the store is narrow", storeProxyFault[S](func(p *standin.Proxy) func() {
			p.LimitRate(storeBytesPerSecond)
			return func() { p.LimitRate(0) }
		})},
		{"all connections to the store go silent", func(s S, _ *rand.Rand, _ *recorder) func() {
			for _, n := range nodesWithStoreProxy(s) {
				n.storeProxy.Blackhole()
			}
			return nil
		}},
	}
}

// packetFaults are the faults for the packet front. Each is equally likely.
var packetFaults = append(commonFaults[*site](),
	fault[*site]{"target crashes", crashPacketTarget},
	fault[*site]{"target drains and is replaced", drainPacketTarget},
	fault[*site]{"target is replaced by one of another service", replacePacketTarget},
	fault[*site]{"store lapses and drops its history", dropStoreState},
	fault[*site]{"configuration changes", reconfigure},
	fault[*site]{"configuration grows", func(s *site, rnd *rand.Rand, rec *recorder) func() {
		s.idleRoutes = min(s.idleRoutes+idleRoutesPerStep, maxIdleRoutes)
		rec.logEvent("%d routes without traffic", s.idleRoutes)
		return reconfigure(s, rnd, rec)
	}},
	fault[*site]{"all processes killed", killAllProcesses},
	fault[*site]{"a zone is emptied", evacuateZone},
)

// reconfigure writes the next version of the configuration.
func reconfigure(s *site, _ *rand.Rand, rec *recorder) func() {
	if err := s.putConfig(); err != nil {
		rec.addViolation("configuration: %v", err)
	}
	return nil
}

// storeBytesPerSecond is the limited rate of a node's connections to the store. At
// this rate (10 Mbit/s) the largest configuration takes a second.
const storeBytesPerSecond = 1_250_000

// idleRoutesPerStep is the number of routes that each growth of the configuration
// adds. maxIdleRoutes bounds their number: the configuration then has 0.9 MB, close
// to the largest value that the store accepts.
const (
	idleRoutesPerStep = 1400
	maxIdleRoutes     = 5600
)

// storeDelay is the delay added to a node's connections to the store, in each
// direction. It is longer than the programs' timeout for some of the calls.
const storeDelay = 350 * time.Millisecond

// storeProxyFault injects a fault into one node's connections to the store.
func storeProxyFault[S deployment](do func(*standin.Proxy) func()) func(S, *rand.Rand, *recorder) func() {
	return func(s S, rnd *rand.Rand, rec *recorder) func() {
		n := pick(nodesWithStoreProxy(s), rnd)
		rec.logEvent("connections of %s to the store", n.name)
		return do(n.storeProxy)
	}
}

func signalOne[S deployment](list func(S) []*node, sig syscall.Signal) func(S, *rand.Rand, *recorder) func() {
	return func(s S, rnd *rand.Rand, rec *recorder) func() { return restartProcess(pick(list(s), rnd), sig, rec) }
}

func pauseOne[S deployment](list func(S) []*node) func(S, *rand.Rand, *recorder) func() {
	return func(s S, rnd *rand.Rand, rec *recorder) func() { return pauseProcess(pick(list(s), rnd), rec) }
}

func storeFault[S deployment](f standin.Faults) func(S, *rand.Rand, *recorder) func() {
	return func(s S, _ *rand.Rand, _ *recorder) func() {
		s.setStoreFaults(f)
		return func() { s.setStoreFaults(standin.Faults{}) }
	}
}

func pick[T any](list []T, rnd *rand.Rand) T { return list[rnd.IntN(len(list))] }

// injectFaults injects cfg.Faults random faults one after the other, and calls between after each. Some
// overlap.
func injectFaults[S deployment](s S, cfg Config, faults []fault[S], rnd *rand.Rand, rec *recorder, between func()) {
	type activeFault struct {
		stop   func()
		stopAt time.Time
	}
	var active []activeFault
	stopFaults := func(all bool) {
		var remaining []activeFault
		for _, r := range active {
			if all || time.Now().After(r.stopAt) {
				r.stop()
			} else {
				remaining = append(remaining, r)
			}
		}
		active = remaining
	}
	for range cfg.Faults {
		f := faults[rnd.IntN(len(faults))]
		rec.logEvent("%s", f.name)
		if end := f.inject(s, rnd, rec); end != nil {
			active = append(active, activeFault{end, time.Now().Add(time.Duration(100+rnd.IntN(1500)) * time.Millisecond)})
		}
		time.Sleep(time.Duration(50+rnd.IntN(900)) * time.Millisecond)
		stopFaults(false)
		checkProcesses(s, rec)
		between()
	}
	stopFaults(true)
}

// checkProcesses reports processes that ended without being stopped, and restarts
// them.
func checkProcesses(s deployment, rec *recorder) {
	for _, n := range nodes(s) {
		if n.running() || n.stopRequested {
			continue
		}
		rec.addViolation("%s exited unexpectedly", n.name)
		if err := n.start(); err != nil {
			rec.addViolation("restart: %v", err)
		}
	}
}

// restartProcess stops a process and returns a function that starts it again. It does
// nothing if the process is down, stopping or paused.
func restartProcess(n *node, sig syscall.Signal, rec *recorder) func() {
	if !n.acceptsFault() {
		return nil
	}
	rec.logEvent("%s: %v", n.name, sig)
	n.stopRequested = true
	n.markInterrupted()
	n.signal(sig)
	return func() {
		<-n.exited
		rec.logEvent("%s restarts", n.name)
		if err := n.start(); err != nil {
			rec.addViolation("restart: %v", err)
		}
	}
}

func pauseProcess(n *node, rec *recorder) func() {
	if !n.acceptsFault() {
		return nil
	}
	rec.logEvent("%s paused", n.name)
	n.paused = true
	n.signal(syscall.SIGSTOP)
	return func() {
		rec.logEvent("%s resumed", n.name)
		n.signal(syscall.SIGCONT)
		n.paused = false
	}
}

func reloadSettings[S deployment](s S, rnd *rand.Rand, _ *recorder) func() {
	n := pick(nodes(s), rnd)
	if n.acceptsFault() && time.Since(n.startedAt) > minSignalAge {
		n.signal(syscall.SIGHUP)
	}
	return nil
}

// minSignalAge is the minimum age of a process that is sent SIGHUP. The signal would end a
// process that has not yet installed its handler.
const minSignalAge = 200 * time.Millisecond

// restartTarget starts a target beside an agent that has none.
func restartTarget(s *site, n *packetAgent, rec *recorder) {
	if n.currentTarget() != nil {
		return
	}
	rec.logEvent("target beside %s starts", n.name)
	if err := s.startTarget(n); err != nil {
		rec.addViolation("target: %v", err)
	}
}

// crashPacketTarget ends a target without deregistration. A delayed heartbeat and a
// delayed deregistration of it arrive after its successor's first heartbeat.
func crashPacketTarget(s *site, rnd *rand.Rand, rec *recorder) func() {
	n := pick(s.agents, rnd)
	former := n.currentTarget()
	if former == nil || lastOfService(s, n) {
		return nil
	}
	rec.logEvent("target beside %s crashes", n.name)
	n.crashTarget()
	return func() {
		restartTarget(s, n, rec)
		rec.logEvent("a heartbeat of %s arrives late", former.ID)
		former.SendDelayedHeartbeat()
		former.SendDeregistration()
	}
}

// maxClosingTime bounds the time for which a target that stops has closed its listener and still
// holds its flows.
const maxClosingTime = 800 * time.Millisecond

// drainPacketTarget drains a target, later stops it and starts a new one.
func drainPacketTarget(s *site, rnd *rand.Rand, rec *recorder) func() {
	n := pick(s.agents, rnd)
	target := n.currentTarget()
	if target == nil || lastOfService(s, n) {
		return nil
	}
	rec.logEvent("target %s drains", target.ID)
	target.Drain()
	closing := time.Duration(rnd.Int64N(int64(maxClosingTime)))
	return func() {
		if target.LateSYNs() > 0 {
			rec.addViolation("%d new flows at target %s after its drain was acknowledged", target.LateSYNs(), target.ID)
		}
		if n.currentTarget() == target {
			rec.logEvent("target %s exits, its listener closed %v before", target.ID, closing)
			n.shutDownTarget(closing)
		}
		restartTarget(s, n, rec)
	}
}

// replacePacketTarget crashes a target and kills its agent. Both start again later, at
// the same address, with another service.
func replacePacketTarget(s *site, rnd *rand.Rand, rec *recorder) func() {
	n := pick(s.agents, rnd)
	if !n.acceptsFault() || n.currentTarget() == nil || lastOfService(s, n) {
		return nil
	}
	rec.logEvent("target beside %s is replaced", n.name)
	n.crashTarget()
	n.kill()
	n.service = (n.service + 1) % len(services)
	return func() {
		if err := n.startWithSettings(s.cfg, "poppywall-agent", n.name, s.agentSettings(n), frontPackets); err != nil {
			rec.addViolation("restart: %v", err)
		}
		restartTarget(s, n, rec)
	}
}

// evacuateZone evacuates a zone, for a while or until the end of the run. Other faults
// may delay a node's receipt of the evacuation, so whether the zone still gets new
// flows is checked only after all faults, against what the store then holds.
func evacuateZone(s *site, rnd *rand.Rand, rec *recorder) func() {
	zone := zones[rnd.IntN(len(zones))]
	rec.logEvent("zone %s evacuated", zone)
	s.store.PutAsOperator(store.Put{Key: platform.EvacuateKey(zone), Value: []byte("{}")})
	if rnd.IntN(2) == 0 {
		return func() {
			rec.logEvent("zone %s no longer evacuated", zone)
			s.store.DeleteAsOperator(platform.EvacuateKey(zone))
		}
	}
	return nil
}

// checkEvacuated checks that no target in a zone that is still evacuated has received
// a new flow after since, and ends all evacuations.
func checkEvacuated(s *site, since time.Time, rec *recorder) {
	for _, zone := range zones {
		if !s.store.Has(platform.EvacuateKey(zone)) {
			continue
		}
		for _, n := range s.agents {
			if target := n.currentTarget(); target != nil && n.zone == zone && target.LastSYNAt().After(since) {
				rec.addViolation("new flow at target %s of zone %s, which is evacuated", target.ID, zone)
			}
		}
		rec.logEvent("zone %s no longer evacuated", zone)
		s.store.DeleteAsOperator(platform.EvacuateKey(zone))
	}
}

// lastOfService reports whether the service of n would have no other target.
func lastOfService(s *site, n *packetAgent) bool {
	for _, other := range s.agents {
		if other != n && other.service == n.service && other.currentTarget() != nil {
			return false
		}
	}
	return true
}

// dropStoreState expires all leases of the store and compacts its history.
func dropStoreState(s *site, _ *rand.Rand, _ *recorder) func() {
	s.store.LapseLeases()
	s.store.Compact()
	return nil
}

// killAllProcesses kills all balancers and agents at once. The targets keep running.
func killAllProcesses(s *site, rnd *rand.Rand, rec *recorder) func() {
	var ends []func()
	for _, n := range nodes(s) {
		if end := restartProcess(n, syscall.SIGKILL, rec); end != nil {
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
