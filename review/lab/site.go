package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/platform"
	"github.com/poppywall/poppywall/platform/platformtest"
	"github.com/poppywall/poppywall/standin"
	"github.com/poppywall/poppywall/store"
)

// Bounds of the small sites (sites/tafelrond-lb.toml).
const (
	heartbeatEvery = 1200 * time.Millisecond
	drainBound     = 3 * time.Second
	stableBound    = 4 * time.Second
	addressReuse   = 2 * time.Second
	idleTimeout    = 15 * time.Second
)

// Ports are the same on all machines; each machine has a loopback address of its own.
const (
	portData     = 28172
	portReady    = 28167
	portControl  = 28166
	portInternal = 27720
	portOutbound = 28162
	portApp      = 28165
	portMetrics  = 29464
)

// lab is one small deployment.
type lab struct {
	bin, dir string
	rec      *recorder
	trouble  bool
	// net is the second byte of the loopback addresses.
	net byte

	store     *standin.Store
	storeHTTP *httptest.Server
	version   int64
	routes    []route
	edges     []*machine
	sides     []*machine
	router    *router

	stopOnce sync.Once
	// mu guards onStop and stopped.
	mu      sync.Mutex
	onStop  []func()
	stopped bool
}

// route is one route of the configuration.
type route struct {
	name, kind, service string
	front               flow.Front
	timeout             time.Duration
}

// machine is an edge or side machine with the project's process.
type machine struct {
	lab           *lab
	name, zone    string
	program       string
	addr          netip.Addr
	service       string
	settings      map[string]any
	cmd           *exec.Cmd
	exited        chan struct{}
	stopRequested bool
}

// Kinds of machine in an address.
const (
	kindEdge = 1 + iota
	kindSide
	kindClient
)

func (l *lab) address(kind, i int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, l.net, byte(kind), byte(1 + i)})
}

func hostPort(a netip.Addr, port int) string { return netip.AddrPortFrom(a, uint16(port)).String() }

// pickNetwork picks loopback addresses that nothing listens at.
func (l *lab) pickNetwork() error {
	for range 50 {
		l.net = byte(20 + rand.IntN(200))
		conn, err := net.ListenPacket("udp4", hostPort(l.address(kindEdge, 0), portInternal))
		if err != nil {
			continue
		}
		_ = conn.Close()
		ln, err := net.Listen("tcp4", hostPort(l.address(kindEdge, 0), portInternal))
		if err != nil {
			continue
		}
		_ = ln.Close()
		return nil
	}
	return fmt.Errorf("no free loopback addresses")
}

// start starts the store with the first configuration, one edge machine in each zone, one side
// machine for each of the given services, and the routers. It does not start hosts.
func (l *lab) start(zones []string, services []string, routes []route) error {
	if err := l.pickNetwork(); err != nil {
		return err
	}
	l.store = standin.NewStore(time.Now)
	l.storeHTTP = httptest.NewServer(platformtest.NewStoreHandler(l.store))
	l.atStop(func() {
		l.storeHTTP.CloseClientConnections()
		l.storeHTTP.Close()
	})
	l.routes = routes
	l.putConfig()
	var seeds []string
	for i := range min(3, len(zones)) {
		seeds = append(seeds, hostPort(l.address(kindEdge, i), portControl))
	}
	log := map[string]any{"level": "info", "format": "json"}
	storeAddr := l.storeHTTP.Listener.Addr().String()
	for i, zone := range zones {
		a := l.address(kindEdge, i)
		m := &machine{lab: l, name: fmt.Sprintf("edge-%s-1", zone), zone: zone, program: "poppywall-balancer", addr: a}
		m.settings = map[string]any{
			"name": m.name, "zone": zone, "data": hostPort(a, portData), "internal": hostPort(a, portInternal), "ready": hostPort(a, portReady),
			"metrics": hostPort(a, portMetrics), "seeds": seeds, "store": storeAddr, "catchUpWithin": "4000ms", "linkMbps": 1000.0, "log": log,
		}
		l.edges = append(l.edges, m)
	}
	for i, service := range services {
		a, zone := l.address(kindSide, i), zones[i%len(zones)]
		m := &machine{lab: l, name: fmt.Sprintf("side-%s-%d", zone, i+1), zone: zone, program: "poppywall-agent", addr: a, service: service}
		m.settings = map[string]any{
			"name": m.name, "zone": zone, "service": service, "internal": hostPort(a, portInternal), "outbound": hostPort(a, portOutbound),
			"target": hostPort(a, portApp), "control": hostPort(a, portControl), "data": hostPort(a, portData), "metrics": hostPort(a, portMetrics),
			"seeds": seeds, "store": storeAddr, "heartbeatEvery": "1200ms", "flowTTL": "60s", "log": log,
		}
		l.sides = append(l.sides, m)
	}
	for _, m := range append(append([]*machine(nil), l.edges...), l.sides...) {
		l.atStop(m.kill)
		if err := m.startProcess(); err != nil {
			return err
		}
	}
	var err error
	l.router, err = newRouter(l)
	return err
}

// putConfig writes the routes as the next version of the configuration.
func (l *lab) putConfig() {
	l.version += 3
	var routes, services []map[string]any
	known := map[string]bool{}
	for _, r := range l.routes {
		routes = append(routes, map[string]any{
			"name": r.name, "host": r.front.IP.String(), "prefix": fmt.Sprintf("/%d/", r.front.Port), "type": r.kind,
			"timeout-ms": r.timeout.Milliseconds(), "target-latency-ms": 250, "priority": 1, "service": r.service, "max-attempts": 2,
		})
		if !known[r.service] {
			known[r.service] = true
			services = append(services, map[string]any{"name": r.service, "health-path": "/health", "max-conns": 2000, "protocol": "h1", "tls": false})
		}
	}
	raw, _ := json.Marshal(map[string]any{
		"version": l.version, "routes": routes, "services": services,
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": idleTimeout.Milliseconds()},
	})
	l.store.PutAsOperator(store.Put{Key: platform.ConfigKey, Value: raw})
	l.rec.logf("operator: configuration %d confirmed", l.version)
}

// atStop registers what ends a part of the deployment; the last part is ended first.
func (l *lab) atStop(f func()) {
	l.mu.Lock()
	if !l.stopped {
		l.onStop = append(l.onStop, f)
		l.mu.Unlock()
		return
	}
	l.mu.Unlock()
	f()
}

func (l *lab) stop() {
	l.stopOnce.Do(func() {
		l.mu.Lock()
		l.stopped = true
		list := l.onStop
		l.mu.Unlock()
		for i := len(list) - 1; i >= 0; i-- {
			list[i]()
		}
	})
}

// awaitReady waits until all edge machines are ready, and for the time after which all machines
// are in touch.
func (l *lab) awaitReady() error {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if l.router.readyCount() == len(l.edges) {
			time.Sleep(stableBound + time.Second)
			l.rec.logf("all machines have been in touch for a second")
			return nil
		}
	}
	return fmt.Errorf("the edge machines did not become ready")
}

// ownEnds returns the processes that ended by themselves.
func (l *lab) ownEnds() (names []string) {
	for _, m := range append(append([]*machine(nil), l.edges...), l.sides...) {
		select {
		case <-m.exited:
			if !m.stopRequested {
				names = append(names, m.name)
			}
		default:
		}
	}
	return names
}

func (m *machine) settingsPath() string { return filepath.Join(m.lab.dir, m.name+".json") }

// writeSettings writes the settings file, whole at once.
func (m *machine) writeSettings() error {
	data, err := json.MarshalIndent(m.settings, "", "  ")
	if err != nil {
		return err
	}
	part := m.settingsPath() + ".part"
	if err := os.WriteFile(part, data, 0o644); err != nil {
		return err
	}
	return os.Rename(part, m.settingsPath())
}

// startProcess starts the process with the command of the deploy file.
func (m *machine) startProcess() error {
	if err := m.writeSettings(); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.lab.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	m.cmd = exec.Command(filepath.Join(m.lab.bin, m.program), "packets", "--settings", m.settingsPath())
	m.cmd.Stdout, m.cmd.Stderr = log, log
	m.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := m.cmd.Start(); err != nil {
		return err
	}
	m.stopRequested = false
	exited := make(chan struct{})
	m.exited = exited
	go func(cmd *exec.Cmd) {
		_ = cmd.Wait()
		_ = log.Close()
		close(exited)
	}(m.cmd)
	m.lab.rec.logf("machine %s: process started", m.name)
	return nil
}

// signal sends a signal to the process.
func (m *machine) signal(s syscall.Signal) {
	m.lab.rec.logf("machine %s: %v", m.name, s)
	_ = m.cmd.Process.Signal(s)
}

// kill kills the process and waits for its end.
func (m *machine) kill() {
	if m.cmd == nil || m.cmd.Process == nil {
		return
	}
	m.stopRequested = true
	_ = m.cmd.Process.Kill()
	<-m.exited
}
