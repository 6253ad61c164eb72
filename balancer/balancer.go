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
	callTimeout     = 2 * time.Second
	platformTimeout = 5 * time.Second
	idleConn        = 5 * time.Second
	tickEvery       = 500 * time.Millisecond
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

// view is what the balancer knows; mu guards all of it.
type view struct {
	mu       sync.Mutex
	dir      *directory.Directory
	catalog  *catalog.State
	rnd      *rand.Rand
	feeder   bool
	repairAt time.Time
	// complete tells that the configuration is known and every service has
	// its socket.
	complete bool
}

// New opens all sockets of a balancer; Run serves them.
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
	b.client = control.NewClient(secrets, &b.traffic, callTimeout, idleConn)
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

// MetricsAddr returns the bound address of /metrics and /healthz.
func (b *Balancer) MetricsAddr() string { return b.http.Addr() }

// ControlTraffic returns the bytes of control calls sent and received.
func (b *Balancer) ControlTraffic() (sent, received int64) {
	return b.traffic.Sent.Load(), b.traffic.Received.Load()
}

// Revision returns the revision in force here.
func (b *Balancer) Revision() catalog.Revision {
	b.view.mu.Lock()
	defer b.view.mu.Unlock()
	return b.view.catalog.InForce()
}

// Run serves until ctx ends, then leaves gracefully: the health endpoint
// fails, forwarding goes on for LeaveDelay while the fabric takes the balancer
// out, agents are told, peers are told.
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

// tickLoop runs the directory's clock and passes its changes to the table.
func (b *Balancer) tickLoop(ctx context.Context) error {
	return worker.Every(ctx, tickEvery, func() {
		now := time.Now()
		b.view.mu.Lock()
		defer b.view.mu.Unlock()
		b.view.dir.Tick(now)
		b.audit(now)
		b.applyDirectory(now)
		if b.view.catalog.InForce() > 0 && !b.view.complete {
			b.openServices()
		}
	})
}

// auditShare is the part of the directory audited in one tick.
const auditShare = 1000

// audit runs under view.mu.
func (b *Balancer) audit(now time.Time) {
	balancers := b.view.dir.Balancers()
	self := b.view.dir.Self()
	n := 1 + b.view.dir.Len()/auditShare
	b.view.dir.Audit(now, n, func(e *directory.Entry) bool {
		for _, r := range directory.Registrars(e.Data.String(), e.Zone, balancers, control.RegistrarsPerHost) {
			if r.Data == self.Data {
				return true
			}
		}
		return false
	})
}

// applyDirectory gives changed host lists to the table; it runs under view.mu.
func (b *Balancer) applyDirectory(now time.Time) {
	for _, id := range b.view.dir.Dirty() {
		b.table.SetHosts(now, id, b.candidates(id))
	}
}

func (b *Balancer) candidates(id route.ServiceID) []choose.Host {
	hosts := b.view.dir.Hosts(id)
	out := make([]choose.Host, 0, len(hosts))
	for _, h := range hosts {
		out = append(out, choose.Host{Addr: h.Addr, Zone: h.Zone, Capacity: int(h.Slots)})
	}
	return out
}

// applyCatalog takes an update and puts it in force here; it runs under
// view.mu.
func (b *Balancer) applyCatalog(u catalog.Update) {
	changed, err := b.view.catalog.Apply(u)
	if err != nil {
		b.log.Error("configuration not applied", zap.Error(err))
		return
	}
	if !changed {
		return
	}
	b.openServices()
	b.log.Info("configuration in force", zap.Int64(telemetry.FieldRevision, int64(b.view.catalog.InForce())))
}

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
	// A balancer that misses a service's address must not be given its packets.
	b.view.complete = b.reconcileSockets(specs)
	b.health.Set(b.view.complete && !b.leaving.started())
}
