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
	// callTimeout bounds a control call to a balancer.
	callTimeout = 2 * time.Second
	// platformTimeout bounds a call to the platform's store.
	platformTimeout = 5 * time.Second
	// idleConnTimeout is how long an unused control connection may stay open.
	idleConnTimeout   = time.Minute
	readHeaderTimeout = 5 * time.Second
	// sweepInterval is how often expired targets and return paths are removed.
	sweepInterval = time.Second
	// finalHeartbeatRounds is how many heartbeat rounds a leaving agent sends
	// with status Left.
	finalHeartbeatRounds = 2
	// disableBufferWarningEnv turns off the QUIC library's warning about socket
	// buffer sizes: it reads from a serviceConn, not from a socket.
	disableBufferWarningEnv = "QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING"
)

// Agent is the process that runs beside the targets of a host and serves QUIC
// for them.
//
// Lock order: reconcileMu, then state.mu, then gate.mu; mux.mu and endpoint.mu
// are leaf locks. No lock is held during a call to another process.
type Agent struct {
	cfg              Settings
	log              *zap.Logger
	health           *telemetry.Health
	metrics          *metrics
	mux              *mux
	gate             *gate
	dispatcher       *dispatcher
	certificates     *certificates
	client           *control.Client
	store            store.Store
	traffic          control.Traffic
	httpEndpoint     *telemetry.Endpoint
	announceListener net.Listener
	// heartbeatTrigger starts a heartbeat round without waiting for the period.
	heartbeatTrigger chan struct{}

	// reconcileMu serialises reconcile.
	reconcileMu sync.Mutex
	state       state
	workers     *worker.Group
	servingCtx  context.Context
}

// state is the agent's mutable state; mu guards all fields.
type state struct {
	mu        sync.Mutex
	registry  *targetRegistry
	catalog   *catalog.State
	entry     directory.Entry
	plan      plan
	endpoints map[route.ServiceID]*endpoint
	leaving   bool
}

// New returns an agent with all its sockets open; Run serves them.
func New(cfg Settings, log *zap.Logger) (*Agent, error) {
	if err := os.Setenv(disableBufferWarningEnv, "true"); err != nil {
		return nil, err
	}
	secrets, err := settings.Secrets(cfg.Secrets)
	if err != nil {
		return nil, err
	}
	a := &Agent{
		cfg:              cfg,
		log:              log,
		workers:          worker.NewGroup(log),
		health:           &telemetry.Health{},
		gate:             newGate(time.Now, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		dispatcher:       newDispatcher(),
		heartbeatTrigger: make(chan struct{}, 1),
	}
	if a.certificates, err = loadCertificates(cfg.Certificates); err != nil {
		return nil, err
	}
	if cfg.Platform != "" {
		a.store = gateway.NewClient(cfg.Platform, platformTimeout)
	}
	a.client = control.NewClient(secrets, &a.traffic, callTimeout, idleConnTimeout)
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
	if a.announceListener, err = a.listenAnnounce(); err != nil {
		return err
	}
	a.httpEndpoint, err = telemetry.Listen(a.cfg.Metrics, reg, a.health)
	return err
}

func (a *Agent) initState() {
	a.state.registry = newTargetRegistry(a.cfg.Host, a.cfg.TargetTTL.D())
	a.state.catalog = catalog.NewState()
	a.state.endpoints = map[route.ServiceID]*endpoint{}
	a.state.entry = directory.Entry{
		Kind:        directory.KindHost,
		Name:        a.cfg.Host,
		Zone:        a.cfg.Zone,
		Data:        a.mux.socket.Addr(),
		Control:     netip.MustParseAddrPort(a.httpEndpoint.Addr()),
		Incarnation: directory.Incarnation(time.Now().Unix()),
		Sequence:    1,
		Status:      directory.Alive,
	}
}

// AnnounceURL returns the base URL at which targets announce themselves.
func (a *Agent) AnnounceURL() string { return "http://" + a.announceListener.Addr().String() }

// MetricsAddr returns the bound address of /metrics and /healthz.
func (a *Agent) MetricsAddr() string { return a.httpEndpoint.Addr() }

// Run serves until ctx ends and then shuts down gracefully: it accepts no new
// work, sends GOAWAY to callers, and lets open work continue until it ends or
// DrainLimit has passed.
func (a *Agent) Run(ctx context.Context) error {
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	a.servingCtx = serving
	a.startWorkers(serving)
	a.health.Set(true)
	<-ctx.Done()
	a.drainAndLeave(serving)
	stop()
	a.close()
	a.workers.Wait()
	return nil
}

func (a *Agent) startWorkers(ctx context.Context) {
	a.log.Info("agent started",
		zap.Stringer("data", a.mux.socket.Addr()),
		zap.String("announce", a.AnnounceURL()),
		zap.String("metrics", a.httpEndpoint.Addr()))
	a.workers.Run(a.mux.serve)
	a.workers.Go(ctx, "http", a.httpEndpoint.Serve)
	a.workers.Go(ctx, "announce-api", a.serveAnnounce)
	a.workers.Go(ctx, "announce", a.heartbeatLoop)
	a.workers.Go(ctx, "gate", a.gateLoop)
	a.workers.Go(ctx, "sweep", a.sweepLoop)
}

func (a *Agent) serveAnnounce(ctx context.Context) error {
	srv := &http.Server{Handler: a.announceAPI(), ReadHeaderTimeout: readHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	if err := srv.Serve(a.announceListener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func (a *Agent) gateLoop(ctx context.Context) error {
	return worker.Every(ctx, gateInterval, func() {
		if a.gate.tick() {
			a.reconcile()
		}
	})
}

func (a *Agent) sweepLoop(ctx context.Context) error {
	return worker.Every(ctx, sweepInterval, func() {
		now := time.Now()
		a.mux.sweep(now)
		a.state.mu.Lock()
		expired := a.state.registry.expire(now)
		a.state.mu.Unlock()
		if expired {
			a.reconcile()
		}
	})
}

func (a *Agent) triggerHeartbeat() {
	select {
	case a.heartbeatTrigger <- struct{}{}:
	default:
	}
}

// drainAndLeave drains the whole host, waits for open connections up to
// DrainLimit, and announces the host with status Left.
func (a *Agent) drainAndLeave(ctx context.Context) {
	a.log.Info("agent leaving", zap.Duration("limit", a.cfg.DrainLimit.D()))
	a.health.Set(false)
	a.state.mu.Lock()
	a.state.leaving = true
	a.state.mu.Unlock()
	a.reconcile()
	limit, cancel := context.WithTimeout(ctx, a.cfg.DrainLimit.D())
	defer cancel()
	a.waitIdle(limit)
	a.state.mu.Lock()
	a.state.entry.Status = directory.Left
	a.state.entry.Sequence++
	a.state.mu.Unlock()
	for range finalHeartbeatRounds {
		a.triggerHeartbeat()
		time.Sleep(drainPollInterval)
	}
}

func (a *Agent) waitIdle(ctx context.Context) {
	for ctx.Err() == nil && a.openConnections() > 0 {
		select {
		case <-ctx.Done():
		case <-time.After(drainPollInterval):
		}
	}
}

func (a *Agent) openConnections() int64 {
	a.state.mu.Lock()
	defer a.state.mu.Unlock()
	n := int64(0)
	for _, e := range a.state.endpoints {
		n += e.openConns.Load()
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
	_ = a.announceListener.Close()
	a.client.Close()
}
