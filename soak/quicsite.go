package soak

import (
	"context"
	"crypto/x509"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/poppywall/poppywall/catalog"
	"github.com/poppywall/poppywall/change"
	"github.com/poppywall/poppywall/standin"
)

// Settings of a site of the QUIC front.
const (
	portMetrics    = 21007
	quicSecret     = "706f70707977616c6c2d736f616b2d7465737400000000"
	quicPeriod     = "200ms"
	quicDrainLimit = 2 * time.Second
	targetSlots    = 5
	targetWork     = 5 * time.Millisecond
	labelService   = "service"
)

// quicAgent is an agent of the QUIC front with the target beside it.
type quicAgent struct {
	node
	// host is the agent's name in the directory, service the index of the
	// target's service.
	host    string
	service int

	// mu guards the fields below.
	mu           sync.Mutex
	target       *standin.Target
	stopTarget   context.CancelFunc
	targetStarts int
	// misbehaving is set while a fault makes the target misbehave.
	// misbehavingChangedAt is when it was last set or cleared, or the target crashed.
	misbehaving          bool
	misbehavingChangedAt time.Time
	// drainAcceptedAt is when the host's drain was accepted, or zero if it has none.
	drainAcceptedAt time.Time
}

// quicSite is a running deployment of the QUIC front.
type quicSite struct {
	cfg       Config
	store     *standin.Store
	storeHTTP *httptest.Server
	balancers []*node
	agents    []*quicAgent
	// addresses are the addresses of the services.
	addresses []string
	roots     *x509.CertPool
	revision  catalog.Revision

	// mu guards startedTargets.
	mu             sync.Mutex
	startedTargets []*standin.Target
}

// authority returns the server name of a service.
func authority(service int) string { return services[service] + ".example" }

func newQUICSite(cfg Config) (*quicSite, error) {
	s := &quicSite{cfg: cfg, store: standin.NewStore(time.Now)}
	s.storeHTTP = httptest.NewServer(standin.Gateway(s.store))
	if err := s.configure(); err != nil {
		return nil, err
	}
	for i := range cfg.Balancers {
		n := &node{addr: cfg.address(addrBalancer, i), zone: zones[i%len(zones)]}
		s.balancers = append(s.balancers, n)
		if err := n.startStoreProxy(s.storeHTTP.Listener.Addr().String()); err != nil {
			return nil, err
		}
		if err := n.startWithSettings(cfg, "poppywall-balancer", fmt.Sprintf("balancer-%d", i), s.balancerSettings(n)); err != nil {
			return nil, err
		}
	}
	ca, err := standin.NewAuthority()
	if err != nil {
		return nil, err
	}
	s.roots = ca.Pool()
	cert, key, err := ca.WriteKeyPair(cfg.Dir, authority(0), authority(1))
	if err != nil {
		return nil, err
	}
	for i := range cfg.Agents {
		n := &quicAgent{
			node: node{addr: cfg.address(addrAgent, i), zone: zones[i%len(zones)]},
			host: fmt.Sprintf("host-%d", i), service: i % len(services),
		}
		s.agents = append(s.agents, n)
		if err := n.startWithSettings(cfg, "poppywall-agent", fmt.Sprintf("agent-%d", i), s.agentSettings(n, cert, key)); err != nil {
			return nil, err
		}
		if err := s.startTarget(n); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func (s *quicSite) balancerSettings(n *node) map[string]any {
	return map[string]any{
		"name": "balancer", "zone": n.zone, "data": hostPort(n.addr, portData), "control": hostPort(n.addr, portControl),
		"metrics": hostPort(n.addr, portMetrics), "platform": "http://" + n.storeProxy.Addr(), "seeds": s.controlAddrs(),
		"secrets": secrets(), "sprayMembers": s.cfg.Balancers, "gossipEvery": quicPeriod, "pullEvery": quicPeriod,
		"leaveDelay": "500ms",
	}
}

func (s *quicSite) agentSettings(n *quicAgent, cert, key string) map[string]any {
	return map[string]any{
		"host": n.host, "zone": n.zone, "data": hostPort(n.addr, portData), "announce": hostPort(n.addr, portApp),
		"metrics": hostPort(n.addr, portMetrics), "balancers": s.controlAddrs(), "secrets": secrets(),
		"certificates": []map[string]any{{"cert": cert, "key": key}}, "heartbeat": quicPeriod,
		"drainLimit": quicDrainLimit.String(),
	}
}

func secrets() []map[string]any { return []map[string]any{{"number": 1, "hex": quicSecret}} }

func (s *quicSite) controlAddrs() []string {
	var out []string
	for i := range s.cfg.Balancers {
		out = append(out, hostPort(s.cfg.address(addrBalancer, i), portControl))
	}
	return out
}

// applier returns an applier that changes the configuration as an operator does.
func (s *quicSite) applier() *change.Applier {
	return change.NewApplier(s.store, change.Options{Author: "soak", Now: time.Now, NewID: uuid.NewString})
}

// configure adds the services to the configuration.
func (s *quicSite) configure() error {
	var doc change.Document
	for _, name := range services {
		address, err := standin.FreeAddress()
		if err != nil {
			return err
		}
		s.addresses = append(s.addresses, address.String())
		doc.Items = append(doc.Items, change.Item{Service: &catalog.Service{
			Name: name, Address: address.String(), Selector: catalog.Labels{labelService: name},
		}})
	}
	return s.checkAccepted(s.applier().Apply(context.Background(), doc))
}

// checkAccepted records the revision of an accepted change, and returns an error for
// any other.
func (s *quicSite) checkAccepted(r change.Result) error {
	if r.Outcome != change.Accepted {
		return errors.Errorf("%s: %s", r.Text, r.Reason)
	}
	s.revision = max(s.revision, r.Revision)
	return nil
}

// startTarget starts a new target beside an agent.
func (s *quicSite) startTarget(n *quicAgent) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.targetStarts++
	t, err := standin.NewTarget(standin.TargetOptions{
		Name: fmt.Sprintf("%s %s %d", services[n.service], n.host, n.targetStarts), Slots: targetSlots,
		Labels: catalog.Labels{labelService: services[n.service]},
		Agent:  "http://" + hostPort(n.addr, portApp), Heartbeat: shortHeartbeatPeriod, ServiceTime: targetWork,
	})
	if err != nil {
		return errors.Wrapf(err, "target beside %s", n.name)
	}
	ctx, stop := context.WithCancel(context.Background())
	n.target, n.stopTarget = t, stop
	go func() {
		// Serve returns when stop is called; NewTarget has already opened the listener.
		_ = t.Serve(ctx)
	}()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.startedTargets = append(s.startedTargets, t)
	return nil
}

// countExecutions returns how often a request ran, over all targets ever started.
func (s *quicSite) countExecutions(id string) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.startedTargets {
		n += t.Executions(id)
	}
	return n
}

// currentTarget returns the target beside the agent, or nil if there is none.
func (n *quicAgent) currentTarget() *standin.Target {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.target
}

// crashTarget ends the target beside an agent.
func (n *quicAgent) crashTarget() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.target != nil {
		n.stopTarget()
		n.target, n.misbehavingChangedAt = nil, time.Now()
	}
}

// setMisbehaving records that the target starts or stops misbehaving.
func (n *quicAgent) setMisbehaving(on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.misbehaving, n.misbehavingChangedAt = on, time.Now()
}

// misbehavedSince reports whether the target may have failed moves since t.
func (n *quicAgent) misbehavedSince(t time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.misbehaving || n.misbehavingChangedAt.After(t)
}

// drain starts or ends the drain of a host. It reports whether the change was
// accepted.
func (s *quicSite) drain(n *quicAgent, drain bool) bool {
	edit := change.EditTarget(s.store, n.host, "", func(t *catalog.Target) { t.Drain = drain })
	if s.checkAccepted(s.applier().Edit(context.Background(), edit)) != nil {
		// The store is unavailable, or the outcome of the change is unknown.
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.drainAcceptedAt = time.Time{}
	if drain {
		n.drainAcceptedAt = time.Now()
	}
	return true
}

// drainingSince returns when the host's drain was accepted, or zero if it does not
// drain.
func (n *quicAgent) drainingSince() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.drainAcceptedAt
}

// balancerNodes implements deployment.
func (s *quicSite) balancerNodes() []*node { return slices.Clone(s.balancers) }

// agentNodes implements deployment.
func (s *quicSite) agentNodes() []*node {
	var out []*node
	for _, n := range s.agents {
		out = append(out, &n.node)
	}
	return out
}

// setStoreFaults implements deployment.
func (s *quicSite) setStoreFaults(f standin.Faults) { s.store.SetFaults(f) }

// waitHealthy waits until all balancers pass their health check.
func (s *quicSite) waitHealthy() error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if !slices.ContainsFunc(s.balancers, func(n *node) bool { return !healthy(n) }) {
			return nil
		}
	}
	return errors.New("the balancers did not become healthy")
}

func healthy(n *node) bool {
	resp, err := http.Get("http://" + hostPort(n.addr, portMetrics) + "/healthz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// stop stops all processes, targets and the store.
func (s *quicSite) stop() {
	for _, n := range nodes(s) {
		n.kill()
	}
	for _, n := range s.balancers {
		n.storeProxy.Close()
	}
	for _, n := range s.agents {
		n.crashTarget()
	}
	s.storeHTTP.CloseClientConnections()
	s.storeHTTP.Close()
}
