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

// Settings of the QUIC front's site.
const (
	portMetrics    = 21007
	quicSecret     = "706f70707977616c6c2d736f616b2d7465737400000000"
	quicPeriod     = "200ms"
	quicDrainLimit = 2 * time.Second
	targetSlots    = 5
	targetWork     = 5 * time.Millisecond
	labelService   = "service"
)

// targetNode is an agent of the QUIC front with the target beside it.
type targetNode struct {
	node
	// host is the agent's name in the directory, service the index of the
	// target's service.
	host    string
	service int

	// mu guards what follows.
	mu         sync.Mutex
	target     *standin.Target
	stopTarget context.CancelFunc
	targets    int
	// misbehaving tells that the target does something wrong, spoiltAt is when it
	// did so last or ended.
	misbehaving bool
	spoiltAt    time.Time
	// drainedAt is when an operator's drain was accepted; zero when there is none.
	drainedAt time.Time
}

// quicSite is a running deployment of the QUIC front.
type quicSite struct {
	cfg       Config
	store     *standin.Store
	storeHTTP *httptest.Server
	balancers []*node
	agents    []*targetNode
	// addresses are those of the services.
	addresses []string
	roots     *x509.CertPool
	revision  catalog.Revision

	// mu guards everStarted.
	mu          sync.Mutex
	everStarted []*standin.Target
}

// authority is the name that callers of a service ask for.
func authority(service int) string { return services[service] + ".example" }

func newQUICSite(cfg Config) (*quicSite, error) {
	s := &quicSite{cfg: cfg, store: standin.NewStore(time.Now)}
	s.storeHTTP = httptest.NewServer(standin.Gateway(s.store))
	if err := s.configure(); err != nil {
		return nil, err
	}
	for i := range cfg.Balancers {
		n := &node{addr: cfg.address(kindBalancer, i), zone: zones[i%len(zones)]}
		s.balancers = append(s.balancers, n)
		if err := n.connect(s.storeHTTP.Listener.Addr().String()); err != nil {
			return nil, err
		}
		if err := n.prepare(cfg, "poppywall-balancer", fmt.Sprintf("balancer-%d", i), s.balancerSettings(n)); err != nil {
			return nil, err
		}
	}
	ca, err := standin.NewAuthority()
	if err != nil {
		return nil, err
	}
	s.roots = ca.Pool()
	cert, key, err := ca.WritePair(cfg.Dir, authority(0), authority(1))
	if err != nil {
		return nil, err
	}
	for i := range cfg.Agents {
		n := &targetNode{
			node: node{addr: cfg.address(kindAgent, i), zone: zones[i%len(zones)]},
			host: fmt.Sprintf("host-%d", i), service: i % len(services),
		}
		s.agents = append(s.agents, n)
		if err := n.prepare(cfg, "poppywall-agent", fmt.Sprintf("agent-%d", i), s.agentSettings(n, cert, key)); err != nil {
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
		"name": "balancer", "zone": n.zone, "data": at(n.addr, portData), "control": at(n.addr, portControl),
		"metrics": at(n.addr, portMetrics), "platform": "http://" + n.way.Addr(), "seeds": s.controls(),
		"secrets": secrets(), "sprayMembers": s.cfg.Balancers, "gossipEvery": quicPeriod, "pullEvery": quicPeriod,
		"leaveDelay": "500ms",
	}
}

func (s *quicSite) agentSettings(n *targetNode, cert, key string) map[string]any {
	return map[string]any{
		"host": n.host, "zone": n.zone, "data": at(n.addr, portData), "announce": at(n.addr, portApp),
		"metrics": at(n.addr, portMetrics), "balancers": s.controls(), "secrets": secrets(),
		"certificates": []map[string]any{{"cert": cert, "key": key}}, "heartbeat": quicPeriod,
		"drainLimit": quicDrainLimit.String(),
	}
}

func secrets() []map[string]any { return []map[string]any{{"number": 1, "hex": quicSecret}} }

func (s *quicSite) controls() []string {
	var out []string
	for i := range s.cfg.Balancers {
		out = append(out, at(s.cfg.address(kindBalancer, i), portControl))
	}
	return out
}

// applier changes the configuration as an operator does.
func (s *quicSite) applier() *change.Applier {
	return change.NewApplier(s.store, change.Options{Author: "soak", Now: time.Now, NewID: uuid.NewString})
}

// configure puts the services.
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
	return s.accepted(s.applier().Apply(context.Background(), doc))
}

// accepted notes the revision of a change.
func (s *quicSite) accepted(r change.Result) error {
	if r.Outcome != change.Accepted {
		return errors.Errorf("%s: %s", r.Text, r.Reason)
	}
	s.revision = max(s.revision, r.Revision)
	return nil
}

// startTarget starts a fresh target beside an agent.
func (s *quicSite) startTarget(n *targetNode) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.targets++
	t, err := standin.NewTarget(standin.TargetOptions{
		Name: fmt.Sprintf("%s %s %d", services[n.service], n.host, n.targets), Slots: targetSlots,
		Labels: catalog.Labels{labelService: services[n.service]},
		Agent:  "http://" + at(n.addr, portApp), Heartbeat: heartbeatEvery, Work: targetWork,
	})
	if err != nil {
		return errors.Wrapf(err, "target beside %s", n.name)
	}
	ctx, stop := context.WithCancel(context.Background())
	n.target, n.stopTarget = t, stop
	go func() {
		// It ends when it is stopped; its listener is its own.
		_ = t.Serve(ctx)
	}()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.everStarted = append(s.everStarted, t)
	return nil
}

// runs tells how often a request ran, at whichever target.
func (s *quicSite) runs(id string) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.everStarted {
		n += t.Runs(id)
	}
	return n
}

// current returns the target beside the agent, nil when there is none.
func (n *targetNode) current() *standin.Target {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.target
}

// crashTarget ends the target beside an agent.
func (n *targetNode) crashTarget() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.target != nil {
		n.stopTarget()
		n.target, n.spoiltAt = nil, time.Now()
	}
}

// spoil notes that the target misbehaves, or does no more.
func (n *targetNode) spoil(on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.misbehaving, n.spoiltAt = on, time.Now()
}

// spoiltSince tells whether the target may have failed moves since a time.
func (n *targetNode) spoiltSince(t time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.misbehaving || n.spoiltAt.After(t)
}

// drain changes the operator's drain of the host; it tells whether the change was
// accepted.
func (s *quicSite) drain(n *targetNode, drain bool) bool {
	edit := change.EditTarget(s.store, n.host, "", func(t *catalog.Target) { t.Drain = drain })
	if s.accepted(s.applier().Edit(context.Background(), edit)) != nil {
		// The store is away, or it is not known whether the change was written.
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.drainedAt = time.Time{}
	if drain {
		n.drainedAt = time.Now()
	}
	return true
}

// drained returns since when the host drains; zero when it does not.
func (n *targetNode) drained() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.drainedAt
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

// faultStore implements deployment.
func (s *quicSite) faultStore(f standin.Faults) { s.store.SetFaults(f) }

// waitHealthy waits until all balancers say that they are healthy.
func (s *quicSite) waitHealthy() error {
	for end := time.Now().Add(startTime); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if !slices.ContainsFunc(s.balancers, func(n *node) bool { return !healthy(n) }) {
			return nil
		}
	}
	return errors.New("the balancers did not become healthy")
}

func healthy(n *node) bool {
	resp, err := http.Get("http://" + at(n.addr, portMetrics) + "/healthz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// stop ends everything.
func (s *quicSite) stop() {
	for _, n := range nodes(s) {
		n.kill()
	}
	for _, n := range s.balancers {
		n.way.Close()
	}
	for _, n := range s.agents {
		n.crashTarget()
	}
	s.storeHTTP.CloseClientConnections()
	s.storeHTTP.Close()
}
