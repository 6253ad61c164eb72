// Package telemetry provides the logger and the metrics of a process, and the
// HTTP endpoint that serves /metrics and /healthz.
package telemetry

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/poppywall/poppywall/settings"
)

// Log field names shared by all binaries.
const (
	FieldService  = "service"
	FieldPeer     = "peer"
	FieldRevision = "revision"
	FieldAddress  = "address"
	// FieldConfig is the version of a configuration; FieldBytes is its size.
	FieldConfig = "config"
	FieldBytes  = "bytes"
	// FieldEvacuations is the store's revision of the set of evacuated zones.
	FieldEvacuations = "evacuations"
)

// Version is the version of the build; the linker sets it.
var Version = "dev"

// NewLogger returns a logger that writes to standard output without blocking
// the caller, and its level, which may be changed while the process runs. cfg has
// been validated.
func NewLogger(cfg settings.Log) (*zap.Logger, zap.AtomicLevel, error) {
	level, err := ParseLevel(cfg)
	if err != nil {
		return nil, zap.AtomicLevel{}, err
	}
	atomic := zap.NewAtomicLevelAt(level)
	encoder := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig())
	if cfg.Format == "console" {
		encoder = zapcore.NewConsoleEncoder(zap.NewDevelopmentEncoderConfig())
	}
	return zap.New(zapcore.NewCore(encoder, NewAsyncWriter(os.Stdout), atomic)), atomic, nil
}

// ParseLevel returns the log level of cfg; info when it has none.
func ParseLevel(cfg settings.Log) (zapcore.Level, error) {
	if cfg.Level == "" {
		return zapcore.InfoLevel, nil
	}
	return zapcore.ParseLevel(cfg.Level)
}

// Health is a process's readiness; it starts unhealthy.
type Health struct{ ready atomic.Bool }

// Set sets the readiness.
func (h *Health) Set(ready bool) { h.ready.Store(ready) }

// Ready reports whether the process is ready.
func (h *Health) Ready() bool { return h.ready.Load() }

// ServeHTTP responds with 200 when ready and 503 otherwise, for the network
// fabric's health check.
func (h *Health) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	if !h.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}

// Endpoint serves /metrics and /healthz.
type Endpoint struct {
	server   *http.Server
	listener net.Listener
}

// timeouts limit how long a connection may be idle or stalled, since a peer may
// disappear without a reset.
type timeouts struct {
	// header limits reading a request's header, write limits writing the
	// response, and idle limits the pause between two requests.
	header, write, idle time.Duration
}

// Clients of these servers send a request about every second, and responses are
// at most some megabytes between VMs of one region.
var serverTimeouts = timeouts{header: 5 * time.Second, write: 10 * time.Second, idle: 15 * time.Second}

func (t timeouts) newServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: t.header, WriteTimeout: t.write, IdleTimeout: t.idle}
}

// Listen binds address and returns the endpoint; Serve runs it.
func Listen(address string, reg *prometheus.Registry, health *Health) (*Endpoint, error) {
	ln, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for metrics")
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(reg, promhttp.HandlerOpts{}))
	mux.Handle("GET /healthz", health)
	return &Endpoint{server: serverTimeouts.newServer(mux), listener: ln}, nil
}

// Addr returns the bound address.
func (e *Endpoint) Addr() string { return e.listener.Addr().String() }

// Serve serves requests until ctx ends.
func (e *Endpoint) Serve(ctx context.Context) error { return serve(ctx, e.listener, e.server) }

// ServeHTTP serves a handler on an address until ctx ends.
func ServeHTTP(ctx context.Context, address string, handler http.Handler) error {
	ln, err := net.Listen("tcp4", address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", address)
	}
	return serve(ctx, ln, serverTimeouts.newServer(handler))
}

// ServeMetrics serves /metrics and /healthz of a process that is healthy as long
// as it runs.
func ServeMetrics(ctx context.Context, address string, reg *prometheus.Registry) error {
	health := &Health{}
	health.Set(true)
	endpoint, err := Listen(address, reg, health)
	if err != nil {
		return err
	}
	return endpoint.Serve(ctx)
}

func serve(ctx context.Context, ln net.Listener, server *http.Server) error {
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := server.Serve(ln)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
