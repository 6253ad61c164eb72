// Package trial runs a small site in one process on loopback: real balancers and
// agents with stand-ins for the platform and the targets. The kernel distributes the
// datagrams among the balancers at random. poppywall-trial and poppywall-load use it.
package trial

import (
	"context"
	"crypto/x509"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/poppywall/poppywall/agent"
	"github.com/poppywall/poppywall/balancer"
	"github.com/poppywall/poppywall/catalog"
	"github.com/poppywall/poppywall/change"
	"github.com/poppywall/poppywall/settings"
	"github.com/poppywall/poppywall/standin"
)

// LabelService is the target label that the selectors of the site's services match.
const LabelService = "service"

// ServiceSpec describes one service of a site.
type ServiceSpec struct {
	Name string `json:"name" validate:"required,hostname_rfc1123"`
	// Hosts is the number of hosts, Slots the number of slots of each host's target.
	Hosts int `json:"hosts" validate:"gte=1,lte=64"`
	Slots int `json:"slots" validate:"gte=1,lte=64"`
	// SlotRequests limits the concurrent requests per slot; zero is the default.
	SlotRequests int `json:"slotRequests,omitempty" validate:"gte=0"`
	// SlotStreams limits the open streams per slot; zero is the default.
	SlotStreams int `json:"slotStreams,omitempty" validate:"gte=0"`
	// Workspaces are the weights of the workspaces, by authority.
	Workspaces map[string]int `json:"members,omitempty"`
	// WorkMillis is the service time of a short request in milliseconds.
	WorkMillis int `json:"workMillis,omitempty" validate:"gte=0"`
}

// Site describes the site to run.
type Site struct {
	Zones     []string      `json:"zones" validate:"required,min=1,dive,required"`
	Balancers int           `json:"balancers" validate:"gte=1,lte=16"`
	Services  []ServiceSpec `json:"services" validate:"required,min=1,max=16,dive"`
}

// Host is a host of a running site: an agent and its target.
type Host struct {
	Service string
	Name    string
	Agent   *agent.Agent
	Target  *standin.Target
	// StopAgent starts a graceful stop of the agent.
	StopAgent context.CancelFunc
	// Stopped is closed when the agent has stopped.
	Stopped chan struct{}

	slots int
	// outOfService is set by faults that drain or kill the target or stop the agent.
	outOfService atomic.Bool
	// killTarget stops the target at once and closes all its connections.
	killTarget context.CancelFunc
}

// Node is a balancer of a running site.
type Node struct {
	Balancer *balancer.Balancer
	// Stop starts a graceful stop.
	Stop context.CancelFunc
	// Stopped is closed when the balancer has stopped.
	Stopped chan struct{}
}

// Cluster is a running site.
type Cluster struct {
	Site  Site
	Store *standin.Store
	// Platform is the base URL of the platform stand-in.
	Platform string
	// Addresses are the addresses of the services by name.
	Addresses map[string]string
	// Roots and CAPEM hold the certificate of the authority that signed the agents'
	// certificate, CAPEM in PEM form.
	Roots *x509.CertPool
	CAPEM []byte
	Nodes []*Node
	// Hosts grows when hosts are added; the hosts method returns a copy that is safe
	// to read meanwhile.
	Hosts   []*Host
	Secrets []settings.Secret

	// mu guards Hosts after Start.
	mu sync.Mutex

	log *zap.Logger
	// dir is a temporary directory with the agents' certificate and key, at the paths
	// cert and key.
	dir string
	// controlInterval is the balancers' gossip and pull interval.
	controlInterval settings.Duration
	cert            string
	key             string
	gateway         *httptest.Server
	ctx             context.Context
	cancel          context.CancelFunc
	wg              conc.WaitGroup
}

const (
	trialSecret          = "706f70707977616c6c2d747269616c2d7365637265742d3030303030303030"
	trialControlInterval = 200 * time.Millisecond
	trialLeaveDelay      = time.Second
	readyTimeout         = 30 * time.Second
	readyPollInterval    = 20 * time.Millisecond
	loopbackAnyPort      = "127.0.0.1:0"
	targetHeartbeat      = 500 * time.Millisecond
	trialDrainLimit      = 30 * time.Second
)

// Start starts the site and waits until every balancer is healthy and has all slots of
// every service.
func Start(ctx context.Context, site Site, log *zap.Logger) (*Cluster, error) {
	c, err := newCluster(ctx, site, log, settings.Duration(trialControlInterval))
	if err != nil {
		return nil, err
	}
	if err := c.start(); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// StartBalancers starts only the platform stand-in and the balancers, with the given
// gossip and pull interval. Measurements add simulated hosts.
func StartBalancers(ctx context.Context, site Site, log *zap.Logger, interval settings.Duration) (*Cluster, error) {
	c, err := newCluster(ctx, site, log, interval)
	if err != nil {
		return nil, err
	}
	for range site.Balancers {
		if err := c.AddBalancer(); err != nil {
			c.Close()
			return nil, err
		}
	}
	return c, nil
}

// newCluster returns a site in which only the platform stand-in runs.
func newCluster(ctx context.Context, site Site, log *zap.Logger, interval settings.Duration) (*Cluster, error) {
	dir, err := os.MkdirTemp("", "poppywall-trial-")
	if err != nil {
		return nil, err
	}
	ca, err := standin.NewAuthority()
	if err != nil {
		return nil, err
	}
	c := &Cluster{
		Site:            site,
		Store:           standin.NewStore(time.Now),
		Addresses:       map[string]string{},
		Roots:           ca.Pool(),
		CAPEM:           ca.PEM,
		Secrets:         []settings.Secret{{Number: 1, Hex: trialSecret}},
		log:             log,
		dir:             dir,
		controlInterval: interval,
	}
	c.ctx, c.cancel = context.WithCancel(ctx)
	c.gateway = httptest.NewServer(standin.Gateway(c.Store))
	c.Platform = c.gateway.URL
	c.cert, c.key, err = ca.WriteKeyPair(dir, c.authorities()...)
	return c, err
}

// authorities returns all authorities that callers may use.
func (c *Cluster) authorities() []string {
	names := []string{"poppywall.example"}
	for _, s := range c.Site.Services {
		names = append(names, s.Name+".example")
		for authority := range s.Workspaces {
			names = append(names, authority)
		}
	}
	return names
}

func (c *Cluster) start() error {
	if err := c.configure(); err != nil {
		return err
	}
	for range c.Site.Balancers {
		if err := c.AddBalancer(); err != nil {
			return err
		}
	}
	i := 0
	for _, s := range c.Site.Services {
		for range s.Hosts {
			if err := c.AddHost(s, c.Site.Zones[i%len(c.Site.Zones)]); err != nil {
				return err
			}
			i++
		}
	}
	return c.waitReady()
}

// Applier returns an applier for changes of the site's configuration.
func (c *Cluster) Applier() *change.Applier {
	return change.NewApplier(c.Store, change.Options{Author: "trial", Now: time.Now, NewID: uuid.NewString})
}

// configure assigns an address to each service and stores the configuration.
func (c *Cluster) configure() error {
	var doc change.Document
	for _, s := range c.Site.Services {
		address, err := standin.FreeAddress()
		if err != nil {
			return err
		}
		c.Addresses[s.Name] = address.String()
		svc := c.Service(s)
		doc.Items = append(doc.Items, change.Item{Service: &svc})
	}
	res := c.Applier().Apply(c.ctx, doc)
	if res.Outcome != change.Accepted {
		return errors.Errorf("apply configuration: %s: %s", res.Text, res.Reason)
	}
	return nil
}

// Service returns the configuration of a service of the site.
func (c *Cluster) Service(s ServiceSpec) catalog.Service {
	return catalog.Service{
		Name:         s.Name,
		Address:      c.Addresses[s.Name],
		Selector:     catalog.Labels{LabelService: s.Name},
		Workspaces:   s.Workspaces,
		SlotRequests: s.SlotRequests,
		SlotStreams:  s.SlotStreams,
	}
}

// AddBalancer starts another balancer. Its seeds are the balancers started before it.
func (c *Cluster) AddBalancer() error {
	cfg := balancer.Defaults()
	i := len(c.Nodes)
	cfg.Name = fmt.Sprintf("balancer-%d", i)
	cfg.Zone = c.Site.Zones[i%len(c.Site.Zones)]
	cfg.Data, cfg.Control, cfg.Metrics = loopbackAnyPort, loopbackAnyPort, loopbackAnyPort
	cfg.Platform = c.Platform
	cfg.Seeds = c.controlAddrs()
	cfg.Secrets = c.Secrets
	cfg.SprayMembers = c.Site.Balancers
	cfg.GossipInterval = c.controlInterval
	cfg.PullInterval = c.controlInterval
	cfg.LeaveDelay = settings.Duration(trialLeaveDelay)
	b, err := balancer.New(cfg, c.log.Named(cfg.Name))
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(c.ctx)
	n := &Node{Balancer: b, Stop: stop, Stopped: make(chan struct{})}
	c.Nodes = append(c.Nodes, n)
	c.wg.Go(func() {
		defer close(n.Stopped)
		_ = b.Run(ctx)
	})
	return nil
}

// controlAddrs returns the control addresses of the balancers.
func (c *Cluster) controlAddrs() []string {
	var out []string
	for _, n := range c.Nodes {
		out = append(out, n.Balancer.ControlAddr().String())
	}
	return out
}

// AddHost starts another host of a service: an agent and its target.
func (c *Cluster) AddHost(s ServiceSpec, zone string) error {
	cfg := agent.Defaults()
	cfg.Host = fmt.Sprintf("%s-host-%d", s.Name, len(c.Hosts))
	cfg.Zone = zone
	cfg.Data, cfg.Announce, cfg.Metrics = loopbackAnyPort, loopbackAnyPort, loopbackAnyPort
	cfg.Balancers = c.controlAddrs()
	cfg.Secrets = c.Secrets
	cfg.Certificates = []agent.Certificate{{Cert: c.cert, Key: c.key}}
	cfg.Heartbeat = settings.Duration(trialControlInterval)
	cfg.DrainLimit = settings.Duration(trialDrainLimit)
	a, err := agent.New(cfg, c.log.Named(cfg.Host))
	if err != nil {
		return err
	}
	t, err := standin.NewTarget(standin.TargetOptions{
		Name:        cfg.Host + "-target",
		Slots:       s.Slots,
		Labels:      catalog.Labels{LabelService: s.Name},
		Agent:       a.AnnounceURL(),
		Heartbeat:   targetHeartbeat,
		ServiceTime: time.Duration(s.WorkMillis) * time.Millisecond,
	})
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(c.ctx)
	h := &Host{Service: s.Name, Name: cfg.Host, Agent: a, Target: t, StopAgent: stop, Stopped: make(chan struct{}), slots: s.Slots}
	targetCtx, kill := context.WithCancel(c.ctx)
	h.killTarget = kill
	c.mu.Lock()
	c.Hosts = append(c.Hosts, h)
	c.mu.Unlock()
	c.wg.Go(func() {
		defer close(h.Stopped)
		_ = a.Run(ctx)
	})
	c.wg.Go(func() { _ = t.Serve(targetCtx) })
	return nil
}

// hosts returns a copy of Hosts.
func (c *Cluster) hosts() []*Host {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.Hosts)
}

// waitReady waits until every balancer is healthy and has all slots of every service.
func (c *Cluster) waitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		if c.ready() {
			return nil
		}
		time.Sleep(readyPollInterval)
	}
	return errors.New("the site did not become ready in time")
}

func (c *Cluster) ready() bool {
	for _, n := range c.Nodes {
		if !healthy(n.Balancer.MetricsAddr()) {
			return false
		}
		slots := n.Balancer.Slots()
		for _, s := range c.Site.Services {
			if slots[s.Name] < s.Hosts*s.Slots {
				return false
			}
		}
	}
	return true
}

// healthy reports whether the health check at a metrics address succeeds.
func healthy(address string) bool {
	resp, err := http.Get("http://" + address + "/healthz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Close stops the site, waits for its parts to end and removes its files.
func (c *Cluster) Close() {
	c.cancel()
	c.wg.Wait()
	c.gateway.Close()
	_ = os.RemoveAll(c.dir)
}

// Drain sets whether a host drains, as an operator does.
func (c *Cluster) Drain(host string, drain bool) change.Result {
	build := change.EditTarget(c.Store, host, "", func(t *catalog.Target) { t.Drain = drain })
	return c.Applier().Edit(c.ctx, build)
}

// Label sets a label of a host as an operator does.
func (c *Cluster) Label(host, key, value string) change.Result {
	build := change.EditTarget(c.Store, host, "", func(t *catalog.Target) { t.Labels = catalog.Labels{key: value} })
	return c.Applier().Edit(c.ctx, build)
}
