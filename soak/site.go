package soak

import (
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
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

// zones are the availability zones that nodes are spread over.
var zones = []string{"z1", "z2", "z3"}

// services are what hosts serve; service i is called at front i.
var services = []string{"alpha", "beta"}

// front returns the address of a service's entrance.
func front(service int) flow.Front { return flow.Front{IP: 0xc6120001 + flow.IPv4(service), Port: 443} }

// Process is one process of the system that may be ended and started again.
type process struct {
	name string
	args []string
	log  string
	cmd  *exec.Cmd
	// exited is closed when the process has ended.
	exited chan struct{}
	paused bool
	// asked is set before the process is told to end.
	asked   bool
	started time.Time
}

func (p *process) start() error {
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	p.asked, p.started = false, time.Now()
	p.cmd = exec.Command(p.args[0], p.args[1:]...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	// A group of its own: a group that is orphaned while a member is paused gets
	// SIGHUP from the kernel, which would end the soak.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := p.cmd.Start(); err != nil {
		return errors.Wrapf(err, "start %s", p.name)
	}
	exited := make(chan struct{})
	p.exited = exited
	go func(cmd *exec.Cmd) {
		// How it ended was asked for; what it said stands in its log.
		_ = cmd.Wait()
		_ = out.Close()
		close(exited)
	}(p.cmd)
	return nil
}

func (p *process) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// free tells whether nothing happens to the process at the moment: one that is
// ending must not be paused, for whoever waits for its end would wait for ever.
func (p *process) free() bool { return p.running() && !p.paused && !p.asked }

// signal sends a signal; a process that is gone by now needs none.
func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill ends the process and waits for its end.
func (p *process) kill() {
	p.asked = true
	p.signal(syscall.SIGKILL)
	<-p.exited
	p.paused = false
}

// node is a process with its address; an agent has a host beside it.
type node struct {
	process
	addr netip.Addr
	zone string
	// service is the index of the service of an agent's host.
	service int
	// way is the node's way to the store.
	way *standin.Proxy

	// mu guards host.
	mu   sync.Mutex
	host *platformtest.Host
	// hosts counts the hosts started here.
	hosts int
}

func (n *node) current() *platformtest.Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.host
}

// site is a running deployment.
type site struct {
	cfg       Config
	store     *standin.Store
	storeHTTP *httptest.Server
	balancers []*node
	agents    []*node
	routers   *platformtest.Routers
	version   int64
}

// address gives each node an address of its own; base keeps runs apart.
func (s *site) address(kind, i int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(100 + s.cfg.Slot), byte(kind), byte(1 + i)})
}

// Kinds of addresses.
const (
	kindBalancer = 1 + iota
	kindAgent
	kindClient
)

func newSite(cfg Config) (*site, error) {
	s := &site{cfg: cfg, store: standin.NewStore(time.Now)}
	s.storeHTTP = httptest.NewServer(platformtest.Store(s.store))
	if err := s.putConfig(); err != nil {
		return nil, err
	}
	for i := range cfg.Balancers {
		n := &node{addr: s.address(kindBalancer, i), zone: zones[i%len(zones)]}
		s.balancers = append(s.balancers, n)
		if err := s.connect(n); err != nil {
			return nil, err
		}
		if err := s.prepare(n, "poppywall-balancer", fmt.Sprintf("balancer-%d", i), s.balancerSettings(n)); err != nil {
			return nil, err
		}
	}
	for i := range cfg.Agents {
		n := &node{addr: s.address(kindAgent, i), zone: zones[i%len(zones)], service: i % len(services)}
		s.agents = append(s.agents, n)
		if err := s.connect(n); err != nil {
			return nil, err
		}
		if err := s.prepare(n, "poppywall-agent", fmt.Sprintf("agent-%d", i), s.agentSettings(n)); err != nil {
			return nil, err
		}
		if err := s.startHost(n); err != nil {
			return nil, err
		}
	}
	var members []platformtest.Member
	for _, n := range s.balancers {
		members = append(members, platformtest.Member{
			Data: netip.AddrPortFrom(n.addr, portData), Ready: netip.AddrPortFrom(n.addr, portReady),
		})
	}
	var err error
	s.routers, err = platformtest.NewRouters(members, cfg.Seed)
	return s, err
}

// connect makes a node's own way to the store.
func (s *site) connect(n *node) (err error) {
	n.way, err = standin.NewProxy(s.storeHTTP.Listener.Addr().String())
	return err
}

// nodes returns all nodes.
func (s *site) nodes() []*node { return append(append([]*node{}, s.balancers...), s.agents...) }

// prepare writes a node's settings and starts it.
func (s *site) prepare(n *node, binary, name string, settings map[string]any) error {
	path := filepath.Join(s.cfg.Dir, name+".json")
	data, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	if err := os.WriteFile(path, data, 0o644); err != nil {
		return err
	}
	n.process = process{
		name: name, log: filepath.Join(s.cfg.Dir, name+".log"),
		args: []string{filepath.Join(s.cfg.Bin, binary), "packets", "--settings", path},
	}
	return n.start()
}

func at(a netip.Addr, port int) string { return netip.AddrPortFrom(a, uint16(port)).String() }

func (s *site) seeds() []string {
	var out []string
	for i := range min(3, s.cfg.Balancers) {
		out = append(out, at(s.address(kindBalancer, i), portControl))
	}
	return out
}

func (s *site) balancerSettings(n *node) map[string]any {
	return map[string]any{
		"name": "balancer", "zone": n.zone, "data": at(n.addr, portData), "internal": at(n.addr, portInternal),
		"ready": at(n.addr, portReady), "seeds": s.seeds(), "store": n.way.Addr(), "log": map[string]any{"level": "info"},
	}
}

func (s *site) agentSettings(n *node) map[string]any {
	return map[string]any{
		"name": "agent", "zone": n.zone, "service": services[n.service], "data": at(n.addr, portData),
		"internal": at(n.addr, portInternal), "outbound": at(n.addr, portOutbound), "host": at(n.addr, portApp),
		"control": at(n.addr, portControl), "seeds": s.seeds(), "store": n.way.Addr(),
		"heartbeatEvery": heartbeatEvery.String(), "log": map[string]any{"level": "info"},
	}
}

// heartbeatEvery is how often hosts report.
const heartbeatEvery = 600 * time.Millisecond

// drainGrace is how long after the acknowledgement a new flow may still reach a
// draining host: an agent that was restarted knows after the next heartbeat.
const drainGrace = 3 * time.Second

// startHost starts a fresh host beside an agent.
func (s *site) startHost(n *node) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts++
	h, err := platformtest.StartHost(fmt.Sprintf("%s-%d", n.name, n.hosts), platformtest.HostConfig{
		Service: services[n.service], App: netip.AddrPortFrom(n.addr, portApp),
		Outbound: netip.AddrPortFrom(n.addr, portOutbound), Control: at(n.addr, portControl),
		Slots: 5, HeartbeatEvery: heartbeatEvery, Grace: drainGrace,
	})
	if err != nil {
		return errors.Wrapf(err, "host beside %s", n.name)
	}
	n.host = h
	return nil
}

// crashHost ends the host beside an agent.
func (n *node) crashHost() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.host != nil {
		n.host.Crash()
		n.host = nil
	}
}

// extraFront is the entrance of a route that comes with a configuration's
// version.
func extraFront(version int64) flow.Front {
	return flow.Front{IP: 0xc6130000 + flow.IPv4(version), Port: 443}
}

// putConfig writes the next configuration: the services' routes and one of its
// own.
func (s *site) putConfig() error {
	s.version++
	c := &flow.Config{Version: s.version, IdleTimeout: 15 * time.Second, Routes: map[flow.Front]*flow.Route{
		extraFront(s.version): {Name: "extra", Backends: []flow.Backend{{Name: services[0]}}},
	}}
	for i, service := range services {
		c.Routes[front(i)] = &flow.Route{Name: service, Backends: []flow.Backend{{Name: service}}}
	}
	return platformtest.PutConfig(s.store, c)
}

// stop ends everything.
func (s *site) stop() {
	for _, n := range s.nodes() {
		n.kill()
		n.crashHost()
		n.way.Close()
	}
	s.routers.Close()
	s.storeHTTP.CloseClientConnections()
	s.storeHTTP.Close()
}
