package balancer

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/poppywall/poppywall/catalog"
	"github.com/poppywall/poppywall/choose"
	"github.com/poppywall/poppywall/control"
	"github.com/poppywall/poppywall/directory"
	"github.com/poppywall/poppywall/forward"
	"github.com/poppywall/poppywall/relay"
	"github.com/poppywall/poppywall/relay/encap"
	"github.com/poppywall/poppywall/route"
	"github.com/poppywall/poppywall/settings"
	"github.com/poppywall/poppywall/store"
	"github.com/poppywall/poppywall/store/gateway"
	"github.com/poppywall/poppywall/telemetry"
	"github.com/poppywall/poppywall/worker"
)

const (
	// callTimeout bounds a control call to another balancer.
	callTimeout = 2 * time.Second
	// platformTimeout bounds a call to the platform's store.
	platformTimeout = 5 * time.Second
	// idleConnTimeout is how long an unused control connection may stay open.
	idleConnTimeout = 5 * time.Second
	// tickInterval is the period of tickLoop.
	tickInterval = 500 * time.Millisecond
)

// Balancer is one balancer process.
//
// Lock order: view.mu, then sockets.mu, then the locks inside forward.Table.
// No lock is held during a call to another process.
type Balancer struct {
	cfg     Settings
	log     *zap.Logger
	health  *telemetry.Health
	metrics *metrics

	table    *forward.Table
	tagger   *encap.Tagger
	internal *relay.Socket
	sockets  socketSet
	pool     sync.Pool

	store   store.Store
	client  *control.Client
	server  *control.Server
	traffic control.Traffic
	http    *telemetry.Endpoint

	view view

	leaving leaveState
	workers *worker.Group
}

// view is the balancer's copy of the cluster state: the directory of agents and
// balancers, and the configuration. mu guards all fields.
type view struct {
	mu         sync.Mutex
	dir        *directory.Directory
	catalog    *catalog.State
	rnd        *rand.Rand
	feeder     bool
	lastRepair time.Time
	// ready reports whether a configuration is in force and every service has
	// its socket.
	ready bool
}

// New creates a balancer and opens its internal, control and metrics sockets.
// Service sockets follow from the configuration; Run serves all of them.
func New(cfg Settings, log *zap.Logger) (*Balancer, error) {
	secrets, err := settings.Secrets(cfg.Secrets)
	if err != nil {
		return nil, err
	}
	codec, err := route.NewCodec(secrets)
	if err != nil {
		return nil, err
	}
	tagger, err := encap.NewTagger(secrets)
	if err != nil {
		return nil, err
	}
	b := &Balancer{
		cfg:     cfg,
		log:     log,
		workers: worker.NewGroup(log),
		health:  &telemetry.Health{},
		table:   forward.NewTable(codec, tagger, choose.Defaults(), cfg.Zone),
		tagger:  tagger,
		store:   gateway.NewClient(cfg.Platform, platformTimeout),
		pool:    sync.Pool{New: func() any { return relay.NewBatch() }},
	}
	b.sockets.open = map[netip.AddrPort]*relay.Socket{}
	b.client = control.NewClient(secrets, &b.traffic, callTimeout, idleConnTimeout)
	if err := b.listen(secrets); err != nil {
		b.close()
		return nil, err
	}
	b.initView()
	return b, nil
}

func (b *Balancer) listen(secrets []route.Secret) error {
	var err error
	if b.internal, err = relay.Listen(b.cfg.dataAddr(), relay.Spray{}); err != nil {
		return err
	}
	if b.server, err = control.Listen(b.cfg.Control, secrets, &b.traffic, b.log); err != nil {
		return err
	}
	reg := prometheus.NewRegistry()
	b.metrics = newMetrics(reg, b)
	b.http, err = telemetry.Listen(b.cfg.Metrics, reg, b.health)
	return err
}

func (b *Balancer) initView() {
	now := time.Now()
	self := directory.Entry{
		Kind:        directory.KindBalancer,
		Name:        b.cfg.Name,
		Zone:        b.cfg.Zone,
		Data:        b.internal.Addr(),
		Control:     b.ControlAddr(),
		Incarnation: directory.Incarnation(now.Unix()),
		Sequence:    1,
		Status:      directory.Alive,
	}
	b.view.dir = directory.New(directory.Defaults(), self, now)
	b.view.catalog = catalog.NewState()
	b.view.rnd = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	b.registerHandlers()
}

// ControlAddr returns the bound control address.
func (b *Balancer) ControlAddr() netip.AddrPort {
	return netip.MustParseAddrPort(b.server.Addr().String())
}

// MetricsAddr returns the bound address that serves /metrics and /healthz.
func (b *Balancer) MetricsAddr() string { return b.http.Addr() }

// ControlTraffic returns the bytes of control calls sent and received.
func (b *Balancer) ControlTraffic() (sent, received int64) {
	return b.traffic.Sent.Load(), b.traffic.Received.Load()
}

// Revision returns the configuration revision in force on this balancer.
func (b *Balancer) Revision() catalog.Revision {
	b.view.mu.Lock()
	defer b.view.mu.Unlock()
	return b.view.catalog.InForce()
}

// Run serves until ctx ends, then stops gracefully: the health endpoint fails,
// agents and peers are notified, and forwarding continues for LeaveDelay while
// the network fabric stops routing to the balancer.
func (b *Balancer) Run(ctx context.Context) error {
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	b.startWorkers(serving)
	<-ctx.Done()
	b.leave(serving)
	stop()
	b.close()
	b.workers.Wait()
	return nil
}

func (b *Balancer) startWorkers(ctx context.Context) {
	b.log.Info("balancer started",
		zap.Stringer("data", b.internal.Addr()),
		zap.Stringer("control", b.ControlAddr()),
		zap.String("metrics", b.http.Addr()))
	b.workers.Go(ctx, "http", b.http.Serve)
	b.workers.Go(ctx, "control", b.server.Serve)
	for range internalReaders {
		b.workers.Run(b.serveInternal)
	}
	b.workers.Go(ctx, "gossip", b.gossipLoop)
	b.workers.Go(ctx, "feed", b.feedLoop)
	b.workers.Go(ctx, "tick", b.tickLoop)
}

func (b *Balancer) close() {
	if b.internal != nil {
		_ = b.internal.Close()
	}
	_ = b.sockets.Close()
	b.client.Close()
}

// tickLoop runs the directory's timeouts and passes its changes to the
// forwarding table. It also retries service sockets that failed to open.
func (b *Balancer) tickLoop(ctx context.Context) error {
	return worker.Every(ctx, tickInterval, func() {
		now := time.Now()
		b.view.mu.Lock()
		defer b.view.mu.Unlock()
		b.view.dir.Tick(now)
		b.auditRegistrars(now)
		b.applyDirectory(now)
		if b.view.catalog.InForce() > 0 && !b.view.ready {
			b.openServices()
		}
	})
}

// auditDivisor sets the hosts audited per tick: one, plus one for each
// auditDivisor directory entries.
const auditDivisor = 1000

// auditRegistrars checks the next hosts of the directory in turn and suspects
// those that should use this balancer as a registrar but have sent it no
// heartbeats. The caller holds view.mu.
func (b *Balancer) auditRegistrars(now time.Time) {
	balancers := b.view.dir.Balancers()
	self := b.view.dir.Self()
	n := 1 + b.view.dir.Len()/auditDivisor
	b.view.dir.Audit(now, n, func(e *directory.Entry) bool {
		for _, r := range directory.Registrars(e.Data.String(), e.Zone, balancers, control.RegistrarsPerHost) {
			if r.Data == self.Data {
				return true
			}
		}
		return false
	})
}

// applyDirectory passes changed host lists to the forwarding table. The caller
// holds view.mu.
func (b *Balancer) applyDirectory(now time.Time) {
	for _, id := range b.view.dir.TakeDirtyServices() {
		b.table.SetHosts(now, id, b.candidates(id))
	}
}

// candidates returns the usable hosts of a service for host selection.
func (b *Balancer) candidates(id route.ServiceID) []choose.Host {
	hosts := b.view.dir.Hosts(id)
	out := make([]choose.Host, 0, len(hosts))
	for _, h := range hosts {
		out = append(out, choose.Host{Addr: h.Addr, Zone: h.Zone, Capacity: int(h.Slots)})
	}
	return out
}

// applyCatalog applies a configuration update to this balancer. The caller holds
// view.mu.
func (b *Balancer) applyCatalog(u catalog.Update) {
	changed, err := b.view.catalog.Apply(u)
	if err != nil {
		b.log.Error("failed to apply configuration update", zap.Error(err))
		return
	}
	if !changed {
		return
	}
	b.openServices()
	b.log.Info("configuration in force", zap.Int64(telemetry.FieldRevision, int64(b.view.catalog.InForce())))
}

// openServices passes the configured services and their hosts to the forwarding
// table, opens and closes service sockets to match, and updates the health
// status. The caller holds view.mu.
func (b *Balancer) openServices() {
	services := b.view.catalog.Services()
	specs := make([]forward.Spec, 0, len(services))
	for id, s := range services {
		specs = append(specs, forward.Spec{ID: id, Address: s.AddrPort()})
	}
	b.table.SetServices(specs, b.view.rnd.Uint64(), b.cfg.NewFlowsPerSecond)
	now := time.Now()
	for _, sp := range specs {
		b.table.SetHosts(now, sp.ID, b.candidates(sp.ID))
	}
	// A balancer that could not open a service's address reports itself unhealthy,
	// so that the network fabric does not route that service's packets to it.
	b.view.ready = b.reconcileSockets(specs)
	b.health.Set(b.view.ready && !b.leaving.started())
}
