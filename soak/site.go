package soak

import (
	"fmt"
	"net/http/httptest"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/platform/platformtest"
	"github.com/poppywall/poppywall/standin"
)

// Ports are the same on all nodes: each node has its own loopback address.
const (
	portData     = 21001
	portInternal = 21002
	portReady    = 21003
	portOutbound = 21004
	portApp      = 21005
	portControl  = 21006
)

// frontPackets is the argument that selects the packet front.
const frontPackets = "packets"

// zones are the availability zones that nodes are distributed over.
var zones = []string{"z1", "z2", "z3"}

// services are the names of the services, of which a 32-bit hash is the same. Service i has the address
// frontOf(i).
var services = []string{"gojo24a", "huzu17b"}

// frontOf returns the address of service i.
func frontOf(i int) flow.Front { return flow.Front{IP: 0xc6120001 + flow.IPv4(i), Port: 443} }

// packetAgent is an agent with the target beside it.
type packetAgent struct {
	node
	// service is the index of the target's service.
	service int

	// mu guards target.
	mu     sync.Mutex
	target *platformtest.Target
	// crashedAt is when the last target ended.
	crashedAt time.Time
	// targetStarts is the number of targets started beside the agent.
	targetStarts int
}

func (n *packetAgent) currentTarget() *platformtest.Target {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.target
}

// site is a running deployment of the packet front.
type site struct {
	cfg       Config
	store     *standin.Store
	storeHTTP *httptest.Server
	balancers []*node
	agents    []*packetAgent
	routers   *platformtest.Routers
	version   int64
	// idleRoutes is the number of configured routes without traffic.
	idleRoutes int
	// quiet is set while no client sends anything.
	quiet atomic.Bool
}

// address returns the loopback address of a node. Runs with different slots have
// different addresses.
func (c *Config) address(kind, i int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(100 + c.AddressSlot), byte(kind), byte(1 + i)})
}

// Kinds of node in an address.
const (
	addrBalancer = 1 + iota
	addrAgent
	addrClient
)

func newSite(cfg Config) (*site, error) {
	s := &site{cfg: cfg, store: standin.NewStore(time.Now)}
	s.storeHTTP = httptest.NewServer(platformtest.NewStoreHandler(s.store))
	if err := s.putConfig(); err != nil {
		return nil, err
	}
	for i := range cfg.Balancers {
		n := &node{addr: s.cfg.address(addrBalancer, i), zone: zones[i%len(zones)]}
		s.balancers = append(s.balancers, n)
		if err := n.startStoreProxy(s.storeHTTP.Listener.Addr().String()); err != nil {
			return nil, err
		}
		if err := n.startWithSettings(cfg, "poppywall-balancer", fmt.Sprintf("balancer-%d", i), s.balancerSettings(n), frontPackets); err != nil {
			return nil, err
		}
	}
	for i := range cfg.Agents {
		n := &packetAgent{node: node{addr: s.cfg.address(addrAgent, i), zone: zones[i%len(zones)]}, service: i % len(services)}
		s.agents = append(s.agents, n)
		if err := n.startStoreProxy(s.storeHTTP.Listener.Addr().String()); err != nil {
			return nil, err
		}
		if err := n.startWithSettings(cfg, "poppywall-agent", fmt.Sprintf("agent-%d", i), s.agentSettings(n), frontPackets); err != nil {
			return nil, err
		}
		if i%2 == 0 {
			if err := s.startTarget(n); err != nil {
				return nil, err
			}
		}
	}
	time.Sleep(lateTargetDelay)
	for i, n := range s.agents {
		if i%2 == 1 {
			if err := s.startTarget(n); err != nil {
				return nil, err
			}
		}
	}
	var members []platformtest.Balancer
	for _, n := range s.balancers {
		members = append(members, platformtest.Balancer{
			Data: netip.AddrPortFrom(n.addr, portData), Ready: netip.AddrPortFrom(n.addr, portReady),
		})
	}
	var err error
	s.routers, err = platformtest.NewRouters(members, cfg.Seed)
	return s, err
}

// balancerNodes implements deployment.
func (s *site) balancerNodes() []*node { return slices.Clone(s.balancers) }

// agentNodes implements deployment.
func (s *site) agentNodes() []*node {
	var out []*node
	for _, n := range s.agents {
		out = append(out, &n.node)
	}
	return out
}

// setStoreFaults implements deployment.
func (s *site) setStoreFaults(f standin.Faults) { s.store.SetFaults(f) }

func (s *site) seedAddrs() []string {
	var out []string
	for i := range min(3, s.cfg.Balancers) {
		out = append(out, hostPort(s.cfg.address(addrBalancer, i), portControl))
	}
	return out
}

func (s *site) balancerSettings(n *node) map[string]any {
	return map[string]any{
		"name": "balancer", "zone": n.zone, "data": hostPort(n.addr, portData), "internal": hostPort(n.addr, portInternal),
		"ready": hostPort(n.addr, portReady), "seeds": s.seedAddrs(), "store": n.storeProxy.Addr(), "log": map[string]any{"level": "info"},
	}
}

func (s *site) agentSettings(n *packetAgent) map[string]any {
	return map[string]any{
		"name": "agent", "zone": n.zone, "service": services[n.service], "data": hostPort(n.addr, portData),
		"internal": hostPort(n.addr, portInternal), "outbound": hostPort(n.addr, portOutbound), "target": hostPort(n.addr, portApp),
		"control": hostPort(n.addr, portControl), "seeds": s.seedAddrs(), "store": n.storeProxy.Addr(),
		"heartbeatEvery": s.cfg.heartbeatPeriod().String(), "log": map[string]any{"level": "info"},
	}
}

// Intervals between heartbeats of a target. The long one is the platform's: addresses are used again
// before two of them are missed.
const (
	shortHeartbeatPeriod = 600 * time.Millisecond
	longHeartbeatPeriod  = 1200 * time.Millisecond
)

// heartbeatPeriod returns the interval between heartbeats of a target.
func (c *Config) heartbeatPeriod() time.Duration {
	if c.Reuses > 0 {
		return longHeartbeatPeriod
	}
	return shortHeartbeatPeriod
}

// drainGrace is how long after the acknowledgement a new flow may still reach a
// draining target. A restarted agent receives the drain with the next heartbeat.
const drainGrace = 3 * time.Second

// incarnationsPerID is how many successive targets beside an agent start under the
// same ID if they serve the same service.
const incarnationsPerID = 3

// lateTargetDelay is how long after the agents every second target starts. Its agent has then seen
// it start; the others usually find theirs running.
const lateTargetDelay = 500 * time.Millisecond

// startTarget starts a new target beside an agent.
func (s *site) startTarget(n *packetAgent) error { return s.startTargetThatReports(n, 0) }

// startTargetThatReports starts a new target beside an agent, which reports for the first time after the
// given time.
func (s *site) startTargetThatReports(n *packetAgent, after time.Duration) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	id := fmt.Sprintf("%s-%s-%d", n.name, services[n.service], n.targetStarts/incarnationsPerID)
	n.targetStarts++
	target, err := platformtest.StartTarget(id, platformtest.TargetConfig{
		Service: services[n.service], ListenAddr: netip.AddrPortFrom(n.addr, portApp),
		AgentAddr: netip.AddrPortFrom(n.addr, portOutbound), AgentControlAddr: hostPort(n.addr, portControl),
		Slots: 5, HeartbeatEvery: s.cfg.heartbeatPeriod(), FirstHeartbeat: after, Grace: drainGrace,
	})
	if err != nil {
		return errors.Wrapf(err, "target beside %s", n.name)
	}
	n.target = target
	return nil
}

// crashTarget crashes the target beside an agent.
func (n *packetAgent) crashTarget() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.target != nil {
		n.target.Crash()
		n.target, n.crashedAt = nil, time.Now()
	}
}

// shutDownTarget stops the target beside an agent as a planned stop does. It counts as running
// until it has exited.
func (n *packetAgent) shutDownTarget(closing time.Duration) {
	if target := n.currentTarget(); target != nil {
		target.Shutdown(closing)
		n.crashTarget()
	}
}

// versionFront returns the address of the route that only one version of the
// configuration has.
func versionFront(version int64) flow.Front {
	return flow.Front{IP: 0xc6130000 + flow.IPv4(version), Port: 443}
}

// idleRouteFront returns the address of a route without traffic.
func idleRouteFront(i int) flow.Front { return flow.Front{IP: 0xc6140000 + flow.IPv4(i), Port: 443} }

// flowIdleTimeout is the idle timeout of the configuration, up to which clients pause.
const flowIdleTimeout = 15 * time.Second

// putConfig writes the next version of the configuration: the routes of the services,
// one route of this version and the routes without traffic.
func (s *site) putConfig() error {
	s.version++
	c := &flow.Config{Version: s.version, IdleTimeout: flowIdleTimeout, Routes: map[flow.Front]*flow.Route{
		versionFront(s.version): {Name: "extra", Services: []flow.WeightedService{{Name: services[0]}}},
	}}
	for i, service := range services {
		c.Routes[frontOf(i)] = &flow.Route{Name: service, Services: []flow.WeightedService{{Name: service}}}
	}
	for i := range s.idleRoutes {
		c.Routes[idleRouteFront(i)] = &flow.Route{Name: fmt.Sprintf("idle-%064d", i), Services: []flow.WeightedService{{Name: services[0]}}}
	}
	return platformtest.PutConfig(s.store, c)
}

// stop stops all processes, targets, routers and the store.
func (s *site) stop() {
	for _, n := range nodes(s) {
		n.kill()
		n.storeProxy.Close()
	}
	for _, n := range s.agents {
		n.crashTarget()
	}
	s.routers.Close()
	s.storeHTTP.CloseClientConnections()
	s.storeHTTP.Close()
}
