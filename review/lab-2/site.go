package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/poppywall/poppywall/platform/platformtest"
	"github.com/poppywall/poppywall/standin"
	"github.com/poppywall/poppywall/store"
)

// Ports of the nodes, as in the examples of DEPLOY.md; each node has a loopback address of its own.
const (
	portInternal = 7720
	portOutbound = 8162
	portApp      = 8165
	portControl  = 8166
	portReady    = 8167
	portData     = 8172
	portMetrics  = 9464
)

// Bounds of the deployment, as in the small site files.
const (
	heartbeatMS  = 1200
	addrReuse    = 2 * time.Second
	stable       = 4 * time.Second
	synPatience  = 1400 * time.Millisecond
	idleTimeout  = 15 * time.Second
	grace        = 6 * time.Second
	flowMS       = 2000 * time.Millisecond
	flowTTL      = 60 * time.Second
	readyPeriod  = 500 * time.Millisecond
	reportWithin = time.Second
)

// record writes record.txt.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	if err != nil {
		unable("record: %v", err)
	}
	return &record{file: f, start: time.Now()}
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitUnable = 2
)

// unable ends a case that cannot run.
func unable(format string, args ...any) {
	fmt.Printf("the case cannot run: "+format+"\n", args...)
	for _, n := range started {
		n.kill()
	}
	os.Exit(exitUnable)
}

// started are all processes that the case has started.
var started []*node

// node is a process of the system.
type node struct {
	name, role string
	ip         netip.Addr
	settings   map[string]any
	path, log  string
	cmd        *exec.Cmd
	exited     chan struct{}
}

func (n *node) addr(port int) netip.AddrPort { return netip.AddrPortFrom(n.ip, uint16(port)) }

// writeSettings renders the settings file, as the platform does at a start and when they change.
func (n *node) writeSettings() {
	data, err := json.MarshalIndent(n.settings, "", "  ")
	if err != nil {
		unable("settings: %v", err)
	}
	if err := os.WriteFile(n.path+".new", data, 0o644); err != nil {
		unable("settings: %v", err)
	}
	if err := os.Rename(n.path+".new", n.path); err != nil {
		unable("settings: %v", err)
	}
}

func (n *node) begin(target string) {
	n.writeSettings()
	out, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		unable("log: %v", err)
	}
	n.cmd = exec.Command(filepath.Join(target, "poppywall-"+n.role), "packets", "--settings", n.path)
	n.cmd.Stdout, n.cmd.Stderr = out, out
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := n.cmd.Start(); err != nil {
		unable("start of %s: %v", n.name, err)
	}
	exited := make(chan struct{})
	n.exited = exited
	go func(cmd *exec.Cmd) {
		_ = cmd.Wait()
		_ = out.Close()
		close(exited)
	}(n.cmd)
}

func (n *node) signal(s syscall.Signal) { _ = n.cmd.Process.Signal(s) }

// restart stops the process as planned work does, with SIGTERM, and starts it again once it has ended.
func (n *node) restart(target string) {
	n.signal(syscall.SIGTERM)
	select {
	case <-n.exited:
	case <-time.After(grace):
		n.kill()
	}
	n.begin(target)
}

func (n *node) kill() {
	if n.cmd == nil || n.cmd.Process == nil {
		return
	}
	n.signal(syscall.SIGKILL)
	<-n.exited
}

// site is a small deployment in one zone.
type site struct {
	dir, target string
	net         [2]byte
	rec         *record
	store       *standin.Store
	storeHTTP   *httptest.Server
	balancers   []*node
	agents      []*node
	version     int64
	router      *router
}

// newSite chooses a free block of loopback addresses and starts the platform's store.
func newSite(rec *record) *site {
	dir, err := os.MkdirTemp("", "poppywall-review-")
	if err != nil {
		unable("temporary folder: %v", err)
	}
	target, err := filepath.Abs(os.Getenv("TARGET"))
	if err != nil || os.Getenv("TARGET") == "" {
		unable("TARGET names no folder with the programs")
	}
	s := &site{dir: dir, target: target, rec: rec, store: standin.NewStore(time.Now)}
	for range 50 {
		s.net = [2]byte{byte(100 + rand.N(120)), byte(1 + rand.N(250))}
		if s.free() {
			break
		}
	}
	s.storeHTTP = httptest.NewServer(platformtest.NewStoreHandler(s.store))
	return s
}

// free reports whether nobody uses the block of addresses.
func (s *site) free() bool {
	for _, port := range []int{portInternal, portReady, portControl, portMetrics, portData} {
		l, err := net.Listen("tcp4", netip.AddrPortFrom(s.ip(1, 1), uint16(port)).String())
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// ip returns the i-th address of a kind of machine: 1 balancers, 2 agents, 3 clients.
func (s *site) ip(kind, i int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, s.net[0], s.net[1], byte(kind*50 + i)})
}

func (s *site) seeds() []string {
	out := []string{}
	for i := range min(3, len(s.balancers)) {
		out = append(out, s.balancers[i].addr(portControl).String())
	}
	return out
}

const zoneName = "hall-a"

// addBalancers adds balancers that are not started yet.
func (s *site) addBalancers(count int) {
	for i := range count {
		n := &node{name: fmt.Sprintf("edge-%d", i+1), role: "balancer", ip: s.ip(1, i)}
		s.place(n)
		s.balancers = append(s.balancers, n)
	}
	for _, n := range s.balancers {
		n.settings = map[string]any{
			"name": n.name, "zone": zoneName, "data": n.addr(portData).String(), "internal": n.addr(portInternal).String(),
			"ready": n.addr(portReady).String(), "metrics": n.addr(portMetrics).String(), "seeds": s.seeds(),
			"store": s.storeHTTP.Listener.Addr().String(), "catchUpWithin": "4000ms", "linkMbps": 1000.0,
			"log": map[string]any{"level": "info", "format": "json"},
		}
	}
}

// addAgent adds an agent beside a host of a service.
func (s *site) addAgent(service string) *node {
	i := len(s.agents)
	n := &node{name: fmt.Sprintf("side-%d", i+1), role: "agent", ip: s.ip(2, i)}
	s.place(n)
	n.settings = map[string]any{
		"name": n.name, "zone": zoneName, "service": service, "internal": n.addr(portInternal).String(),
		"outbound": n.addr(portOutbound).String(), "target": n.addr(portApp).String(), "control": n.addr(portControl).String(),
		"data": n.addr(portData).String(), "metrics": n.addr(portMetrics).String(), "seeds": s.seeds(),
		"store": s.storeHTTP.Listener.Addr().String(), "heartbeatEvery": fmt.Sprintf("%dms", heartbeatMS), "flowTTL": "60s",
		"log": map[string]any{"level": "info", "format": "json"},
	}
	s.agents = append(s.agents, n)
	return n
}

func (s *site) place(n *node) {
	n.path, n.log = filepath.Join(s.dir, n.name+".json"), filepath.Join(s.dir, n.name+".log")
	started = append(started, n)
}

// route is a route of the configuration.
type route struct {
	name    string
	front   netip.AddrPort
	service string
	// timeout is the route's timeout-ms; zero stands for 2.5 s.
	timeout time.Duration
}

// putConfig writes the next version of the configuration.
func (s *site) putConfig(routes ...route) {
	s.version += 3
	list, services, seen := []map[string]any{}, []map[string]any{}, map[string]bool{}
	for _, r := range routes {
		if r.timeout == 0 {
			r.timeout = 2500 * time.Millisecond
		}
		list = append(list, map[string]any{
			"name": r.name, "host": r.front.Addr().String(), "prefix": fmt.Sprintf("/%d/", r.front.Port()), "type": "unsafe",
			"timeout-ms": r.timeout.Milliseconds(), "target-latency-ms": r.timeout.Milliseconds() / 10, "priority": 1, "service": r.service, "max-attempts": 2,
		})
		if !seen[r.service] {
			seen[r.service] = true
			services = append(services, map[string]any{"name": r.service, "health-path": "/health", "max-conns": 2000, "protocol": "h1", "tls": false})
		}
	}
	raw, err := json.Marshal(map[string]any{
		"version": s.version, "routes": list, "services": services,
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": idleTimeout.Milliseconds()},
	})
	if err != nil {
		unable("configuration: %v", err)
	}
	s.store.PutAsOperator(store.Put{Key: "op/config", Value: raw})
	s.rec.add("operator  configuration %d confirmed: %d routes", s.version, len(routes))
}

// stop ends everything that the case started.
func (s *site) stop(keepLogs bool) {
	for _, n := range started {
		n.kill()
	}
	s.storeHTTP.CloseClientConnections()
	s.storeHTTP.Close()
	if !keepLogs && os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	}
}

// router is the platform's router in front of the balancers: it asks each twice a second whether it
// is ready, and selects one by a hash of the four addresses and ports over those in rotation.
type router struct {
	site   *site
	conn   *net.UDPConn
	mu     sync.Mutex
	missed []int
}

func (s *site) startRouter() {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(s.ip(3, 40), 0)))
	if err != nil {
		unable("router: %v", err)
	}
	s.router = &router{site: s, conn: conn, missed: make([]int, len(s.balancers))}
	for i := range s.balancers {
		s.router.missed[i] = 2
		go s.router.check(i)
	}
}

func (r *router) check(i int) {
	client := http.Client{Timeout: readyPeriod}
	for ; ; time.Sleep(readyPeriod) {
		resp, err := client.Get("http://" + r.site.balancers[i].addr(portReady).String() + "/poppywall/ready")
		ok := err == nil && resp.StatusCode == http.StatusOK
		if err == nil {
			_ = resp.Body.Close()
		}
		r.mu.Lock()
		if r.missed[i]++; ok {
			r.missed[i] = 0
		}
		r.mu.Unlock()
	}
}

// inRotation returns the balancers that are in rotation, or all if none is.
func (r *router) inRotation() []*node {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []*node
	for i, n := range r.site.balancers {
		if r.missed[i] < 2 {
			out = append(out, n)
		}
	}
	return out
}

// forward sends a client's packet to a balancer.
func (r *router) forward(b []byte) *node {
	list := r.inRotation()
	if 2*len(list) < len(r.site.balancers) {
		list = r.site.balancers
	}
	h := fnv.New64a()
	_, _ = h.Write(b[12:24])
	n := list[h.Sum64()%uint64(len(list))]
	_, _ = r.conn.WriteToUDPAddrPort(b, n.addr(portData))
	return n
}

// awaitReady waits until all balancers are in rotation.
func (s *site) awaitReady() {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if len(s.router.inRotation()) == len(s.balancers) {
			return
		}
	}
	unable("the balancers do not become ready")
}

// post sends a call of a host and reports whether it was acknowledged.
func post(url string, body any) (int, bool) {
	data, _ := json.Marshal(body)
	client := http.Client{Timeout: reportWithin}
	defer client.CloseIdleConnections()
	resp, err := client.Post(url, "application/json", bytes.NewReader(data))
	if err != nil {
		return 0, false
	}
	_ = resp.Body.Close()
	return resp.StatusCode, resp.StatusCode/100 == 2
}
