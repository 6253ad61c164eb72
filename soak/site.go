package soak

import (
	"fmt"
	"net/http/httptest"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/platform/platformtest"
	"github.com/poppywall/poppywall/standin"
)

// Ports are the same on all nodes, each of which has an address of its own in
// the loopback range.
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

// zones are the availability zones that nodes are spread over.
var zones = []string{"z1", "z2", "z3"}

// services are what targets serve; service i is called at front i.
var services = []string{"alpha", "beta"}

// front returns the address of a service's entrance.
func front(service int) flow.Front { return flow.Front{IP: 0xc6120001 + flow.IPv4(service), Port: 443} }

// packetNode is an agent with the target beside it.
type packetNode struct {
	node
	// service is the index of the target's service.
	service int

	// mu guards target.
	mu     sync.Mutex
	target *platformtest.Target
	// targets counts the targets started here.
	targets int
}

func (n *packetNode) current() *platformtest.Target {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.target
}

// site is a running deployment.
type site struct {
	cfg       Config
	store     *standin.Store
	storeHTTP *httptest.Server
	balancers []*node
	agents    []*packetNode
	routers   *platformtest.Routers
	version   int64
	// grown is how many routes a configuration has that see no traffic.
	grown int
}

// address gives each node an address of its own; the slot keeps runs apart.
func (c *Config) address(kind, i int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(100 + c.Slot), byte(kind), byte(1 + i)})
}

// Kinds of addresses.
const (
	kindBalancer = 1 + iota
	kindAgent
	kindClient
)

func newSite(cfg Config) (*site, error) {
	s := &site{cfg: cfg, store: standin.NewStore(time.Now)}
	s.storeHTTP = httptest.NewServer(platformtest.NewStoreHandler(s.store))
	if err := s.putConfig(); err != nil {
		return nil, err
	}
	for i := range cfg.Balancers {
		n := &node{addr: s.cfg.address(kindBalancer, i), zone: zones[i%len(zones)]}
		s.balancers = append(s.balancers, n)
		if err := n.connect(s.storeHTTP.Listener.Addr().String()); err != nil {
			return nil, err
		}
		if err := n.prepare(cfg, "poppywall-balancer", fmt.Sprintf("balancer-%d", i), s.balancerSettings(n), frontPackets); err != nil {
			return nil, err
		}
	}
	for i := range cfg.Agents {
		n := &packetNode{node: node{addr: s.cfg.address(kindAgent, i), zone: zones[i%len(zones)]}, service: i % len(services)}
		s.agents = append(s.agents, n)
		if err := n.connect(s.storeHTTP.Listener.Addr().String()); err != nil {
			return nil, err
		}
		if err := n.prepare(cfg, "poppywall-agent", fmt.Sprintf("agent-%d", i), s.agentSettings(n), frontPackets); err != nil {
			return nil, err
		}
		if err := s.startTarget(n); err != nil {
			return nil, err
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

// faultStore implements deployment.
func (s *site) faultStore(f standin.Faults) { s.store.SetFaults(f) }

func (s *site) seeds() []string {
	var out []string
	for i := range min(3, s.cfg.Balancers) {
		out = append(out, at(s.cfg.address(kindBalancer, i), portControl))
	}
	return out
}

func (s *site) balancerSettings(n *node) map[string]any {
	return map[string]any{
		"name": "balancer", "zone": n.zone, "data": at(n.addr, portData), "internal": at(n.addr, portInternal),
		"ready": at(n.addr, portReady), "seeds": s.seeds(), "store": n.way.Addr(), "log": map[string]any{"level": "info"},
	}
}

func (s *site) agentSettings(n *packetNode) map[string]any {
	return map[string]any{
		"name": "agent", "zone": n.zone, "service": services[n.service], "data": at(n.addr, portData),
		"internal": at(n.addr, portInternal), "outbound": at(n.addr, portOutbound), "target": at(n.addr, portApp),
		"control": at(n.addr, portControl), "seeds": s.seeds(), "store": n.way.Addr(),
		"heartbeatEvery": heartbeatEvery.String(), "log": map[string]any{"level": "info"},
	}
}

// heartbeatEvery is how often targets report.
const heartbeatEvery = 600 * time.Millisecond

// drainGrace is how long after the acknowledgement a new flow may still reach a
// draining target: an agent that was restarted knows after the next heartbeat.
const drainGrace = 3 * time.Second

// livesOfAnID is how many targets in a row that serve the same start under one ID.
const livesOfAnID = 3

// startTarget starts a fresh target beside an agent.
func (s *site) startTarget(n *packetNode) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	id := fmt.Sprintf("%s-%s-%d", n.name, services[n.service], n.targets/livesOfAnID)
	n.targets++
	h, err := platformtest.StartTarget(id, platformtest.TargetConfig{
		Service: services[n.service], ListenAddr: netip.AddrPortFrom(n.addr, portApp),
		AgentAddr: netip.AddrPortFrom(n.addr, portOutbound), AgentControlAddr: at(n.addr, portControl),
		Slots: 5, HeartbeatEvery: heartbeatEvery, Grace: drainGrace,
	})
	if err != nil {
		return errors.Wrapf(err, "target beside %s", n.name)
	}
	n.target = h
	return nil
}

// crashTarget ends the target beside an agent.
func (n *packetNode) crashTarget() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.target != nil {
		n.target.Crash()
		n.target = nil
	}
}

// extraFront is the entrance of a route that comes with a configuration's
// version.
func extraFront(version int64) flow.Front {
	return flow.Front{IP: 0xc6130000 + flow.IPv4(version), Port: 443}
}

// idleFront is the entrance of a route that sees no traffic.
func idleFront(i int) flow.Front { return flow.Front{IP: 0xc6140000 + flow.IPv4(i), Port: 443} }

// putConfig writes the next configuration: the services' routes, one of its own and
// those that see no traffic.
func (s *site) putConfig() error {
	s.version++
	c := &flow.Config{Version: s.version, IdleTimeout: 15 * time.Second, Routes: map[flow.Front]*flow.Route{
		extraFront(s.version): {Name: "extra", Backends: []flow.Backend{{Name: services[0]}}},
	}}
	for i, service := range services {
		c.Routes[front(i)] = &flow.Route{Name: service, Backends: []flow.Backend{{Name: service}}}
	}
	for i := range s.grown {
		c.Routes[idleFront(i)] = &flow.Route{Name: fmt.Sprintf("idle-%064d", i), Backends: []flow.Backend{{Name: services[0]}}}
	}
	return platformtest.PutConfig(s.store, c)
}

// stop ends everything.
func (s *site) stop() {
	for _, n := range nodes(s) {
		n.kill()
		n.way.Close()
	}
	for _, n := range s.agents {
		n.crashTarget()
	}
	s.routers.Close()
	s.storeHTTP.CloseClientConnections()
	s.storeHTTP.Close()
}
