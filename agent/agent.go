package agent

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/poppywall/poppywall/catalog"
	"github.com/poppywall/poppywall/control"
	"github.com/poppywall/poppywall/directory"
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
	idleConn        = time.Minute
	headerTimeout   = 5 * time.Second
	sweepEvery      = time.Second
	// farewellRounds is how often a leaving agent announces its last state.
	farewellRounds = 2
	// bufferWarning silences the QUIC library about socket buffers: it sees a
	// packet connection of ours, not a socket.
	bufferWarning = "QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING"
)

// Agent is one agent process.
//
// Lock order: replanMu, then state.mu, then gate.mu; mux.mu and endpoint.mu
// are leaf locks. No lock is held during a call to another process.
type Agent struct {
	cfg      Settings
	log      *zap.Logger
	health   *telemetry.Health
	metrics  *metrics
	mux      *mux
	gate     *gate
	handover *handover
	certs    *certificates
	client   *control.Client
	store    store.Store
	traffic  control.Traffic
	http     *telemetry.Endpoint
	announce net.Listener
	// kick asks for a heartbeat round at once.
	kick chan struct{}

	// replanMu serialises replan.
	replanMu sync.Mutex
	state    state
	workers  *worker.Group
	serving  context.Context
}

// state is what the agent knows; mu guards all of it.
type state struct {
	mu        sync.Mutex
	registry  *registry
	catalog   *catalog.State
	entry     directory.Entry
	plan      plan
	endpoints map[route.ServiceID]*endpoint
	leaving   bool
}

// New opens all sockets of an agent; Run serves them.
func New(cfg Settings, log *zap.Logger) (*Agent, error) {
	if err := os.Setenv(bufferWarning, "true"); err != nil {
		return nil, err
	}
	secrets, err := settings.Secrets(cfg.Secrets)
	if err != nil {
		return nil, err
	}
	a := &Agent{
		cfg:      cfg,
		log:      log,
		workers:  worker.NewGroup(log),
		health:   &telemetry.Health{},
		gate:     newGate(time.Now, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		handover: newHandover(),
		kick:     make(chan struct{}, 1),
	}
	if a.certs, err = loadCertificates(cfg.Certificates); err != nil {
		return nil, err
	}
	if cfg.Platform != "" {
		a.store = gateway.NewClient(cfg.Platform, platformTimeout)
	}
	a.client = control.NewClient(secrets, &a.traffic, callTimeout, idleConn)
	if err := a.listen(secrets); err != nil {
		return nil, err
	}
	a.initState()
	return a, nil
}

func (a *Agent) listen(secrets []route.Secret) error {
	codec, err := route.NewCodec(secrets)
	if err != nil {
		return err
	}
	tagger, err := encap.NewTagger(secrets)
	if err != nil {
		return err
	}
	resets, err := newResetter(secrets)
	if err != nil {
		return err
	}
	reg := prometheus.NewRegistry()
	a.metrics = newMetrics(reg, a)
	socket, err := relay.Listen(a.cfg.dataAddr(), relay.Spray{})
	if err != nil {
		return err
	}
	a.mux = newMux(socket, tagger, codec, resets, a.metrics)
	if a.announce, err = a.listenAnnounce(); err != nil {
		return err
	}
	a.http, err = telemetry.Listen(a.cfg.Metrics, reg, a.health)
	return err
}

func (a *Agent) initState() {
	a.state.registry = newRegistry(a.cfg.Host, a.cfg.TargetTTL.D())
	a.state.catalog = catalog.NewState()
	a.state.endpoints = map[route.ServiceID]*endpoint{}
	a.state.entry = directory.Entry{
		Kind:        directory.KindHost,
		Name:        a.cfg.Host,
		Zone:        a.cfg.Zone,
		Data:        a.mux.socket.Addr(),
		Control:     netip.MustParseAddrPort(a.http.Addr()),
		Incarnation: directory.Incarnation(time.Now().Unix()),
		Sequence:    1,
		Status:      directory.Alive,
	}
}

// AnnounceURL returns the base URL for targets.
func (a *Agent) AnnounceURL() string { return "http://" + a.announce.Addr().String() }

// MetricsAddr returns the bound address of /metrics and /healthz.
func (a *Agent) MetricsAddr() string { return a.http.Addr() }

// Run serves until ctx ends, then leaves gracefully: no new work, GOAWAY to
// callers, open work runs on until it ends or DrainLimit passes.
func (a *Agent) Run(ctx context.Context) error {
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	a.serving = serving
	a.startWorkers(serving)
	a.health.Set(true)
	<-ctx.Done()
	a.leave(serving)
	stop()
	a.close()
	a.workers.Wait()
	return nil
}

func (a *Agent) startWorkers(ctx context.Context) {
	a.log.Info("agent started",
		zap.Stringer("data", a.mux.socket.Addr()),
		zap.String("announce", a.AnnounceURL()),
		zap.String("metrics", a.http.Addr()))
	a.workers.Run(a.mux.serve)
	a.workers.Go(ctx, "http", a.http.Serve)
	a.workers.Go(ctx, "announce-api", a.serveAnnounce)
	a.workers.Go(ctx, "announce", a.announceLoop)
	a.workers.Go(ctx, "gate", a.gateLoop)
	a.workers.Go(ctx, "sweep", a.sweepLoop)
}

func (a *Agent) serveAnnounce(ctx context.Context) error {
	srv := &http.Server{Handler: a.announceAPI(), ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	if err := srv.Serve(a.announce); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func (a *Agent) gateLoop(ctx context.Context) error {
	return worker.Every(ctx, gatePeriod, func() {
		if a.gate.tick() {
			a.replan()
		}
	})
}

func (a *Agent) sweepLoop(ctx context.Context) error {
	return worker.Every(ctx, sweepEvery, func() {
		now := time.Now()
		a.mux.sweep(now)
		a.state.mu.Lock()
		expired := a.state.registry.expire(now)
		a.state.mu.Unlock()
		if expired {
			a.replan()
		}
	})
}

func (a *Agent) kickNow() {
	select {
	case a.kick <- struct{}{}:
	default:
	}
}

// leave drains the whole host and waits for open work.
func (a *Agent) leave(ctx context.Context) {
	a.log.Info("agent leaving", zap.Duration("limit", a.cfg.DrainLimit.D()))
	a.health.Set(false)
	a.state.mu.Lock()
	a.state.leaving = true
	a.state.mu.Unlock()
	a.replan()
	limit, cancel := context.WithTimeout(ctx, a.cfg.DrainLimit.D())
	defer cancel()
	a.waitIdle(limit)
	a.state.mu.Lock()
	a.state.entry.Status = directory.Left
	a.state.entry.Sequence++
	a.state.mu.Unlock()
	for range farewellRounds {
		a.kickNow()
		time.Sleep(drainPoll)
	}
}

func (a *Agent) waitIdle(ctx context.Context) {
	for ctx.Err() == nil && a.openConnections() > 0 {
		select {
		case <-ctx.Done():
		case <-time.After(drainPoll):
		}
	}
}

func (a *Agent) openConnections() int64 {
	a.state.mu.Lock()
	defer a.state.mu.Unlock()
	n := int64(0)
	for _, e := range a.state.endpoints {
		n += e.open.Load()
	}
	return n
}

func (a *Agent) close() {
	a.state.mu.Lock()
	endpoints := maps.Clone(a.state.endpoints)
	a.state.mu.Unlock()
	for _, e := range endpoints {
		e.close()
	}
	_ = a.mux.socket.Close()
	_ = a.announce.Close()
	a.client.Close()
}
