package agent

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"go.uber.org/zap"

	"github.com/poppywall/poppywall/catalog"
	"github.com/poppywall/poppywall/route"
	"github.com/poppywall/poppywall/telemetry"
)

const (
	// idleTimeout closes a connection on which nothing was received.
	idleTimeout = 30 * time.Second
	// keepAlivePeriod keeps the connections of idle streams open.
	keepAlivePeriod = 10 * time.Second
	// maxStreamsPerConn limits the concurrent requests on one connection.
	maxStreamsPerConn = 256
	maxHeaderBytes    = 64 << 10
	// drainPollInterval is how often a draining agent or endpoint checks for
	// open connections.
	drainPollInterval = 100 * time.Millisecond
)

// routeIDGenerator supplies routes as connection IDs to the QUIC library.
type routeIDGenerator struct{ generator *route.IDGenerator }

// GenerateConnectionID implements quic.ConnectionIDGenerator.
func (g routeIDGenerator) GenerateConnectionID() (quic.ConnectionID, error) {
	id := g.generator.Next()
	return quic.ConnectionIDFromBytes(id[:]), nil
}

// ConnectionIDLen implements quic.ConnectionIDGenerator.
func (g routeIDGenerator) ConnectionIDLen() int { return route.Len }

// endpoint terminates QUIC for one service on this host.
//
// It is either serving or draining. A draining endpoint sends GOAWAY on every
// connection, refuses new connections and requests, and lets open requests
// finish. If it is resumed, only new connections are served again.
type endpoint struct {
	id        route.ServiceID
	log       *zap.Logger
	conn      *serviceConn
	transport *quic.Transport
	listener  *quic.Listener
	handler   http.Handler
	maxConns  int

	openConns atomic.Int64
	service   atomic.Pointer[catalog.Service]

	// mu guards the fields below.
	mu      sync.Mutex
	server  *http3.Server
	serving bool
	conns   map[*quic.Conn]struct{}
	// cancelRetirement ends the wait for the last connection. It is nil unless
	// the endpoint is retiring, which means that no local target serves the
	// service any more.
	cancelRetirement context.CancelFunc
}

func newEndpoint(m *mux, s *catalog.Service, tlsConf *tls.Config, maxConns int, load func(route.ServiceID) serviceLoad, log *zap.Logger) (*endpoint, error) {
	base := route.Route{Host: m.socket.Addr(), Incarnation: m.incarnation, Service: s.ID}
	generator, err := route.NewIDGenerator(m.codec, base, rand.Uint32())
	if err != nil {
		return nil, err
	}
	e := &endpoint{
		id:       s.ID,
		log:      log.With(zap.String(telemetry.FieldService, s.Name)),
		maxConns: maxConns,
		conns:    map[*quic.Conn]struct{}{},
	}
	e.service.Store(s)
	e.conn = newServiceConn(m, s.ID, func() (int, int, int) {
		l := load(s.ID)
		return int(e.openConns.Load()), l.busy, l.slots
	})
	e.transport = &quic.Transport{
		Conn:                  e.conn,
		ConnectionIDGenerator: routeIDGenerator{generator},
		StatelessResetKey:     m.resetter.currentKey(),
		// Every new flow is answered with a Retry, whose connection ID is a
		// route. A token from an earlier connection would skip the Retry, so
		// tokens expire as soon as they are issued.
		VerifySourceAddress: func(_ net.Addr) bool { return true },
		MaxTokenAge:         time.Nanosecond,
	}
	e.listener, err = e.transport.Listen(http3.ConfigureTLSConfig(tlsConf), quicConfig())
	if err != nil {
		return nil, err
	}
	return e, nil
}

func quicConfig() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout:        idleTimeout,
		KeepAlivePeriod:       keepAlivePeriod,
		MaxIncomingStreams:    maxStreamsPerConn,
		MaxIncomingUniStreams: 8,
		// 0-RTT data can be replayed. Without it, a request exists only on the
		// connection that completed its handshake, so it runs at most once.
		Allow0RTT: false,
	}
}

// resume makes the endpoint accept new connections.
func (e *endpoint) resume() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.serving {
		return
	}
	e.serving = true
	e.server = &http3.Server{Handler: e.handler, MaxHeaderBytes: maxHeaderBytes}
	e.conn.accepting.Store(true)
	e.log.Info("endpoint serving")
}

// drain stops the endpoint from accepting new work and sends GOAWAY to callers.
func (e *endpoint) drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.serving {
		return
	}
	e.serving = false
	e.conn.accepting.Store(false)
	server := e.server
	e.log.Info("endpoint draining", zap.Int64("connections", e.openConns.Load()))
	// Shutdown sends GOAWAY immediately and then waits for the connections. It
	// never closes those passed to ServeQUICConn.
	go func() { _ = server.Shutdown(context.Background()) }()
}

// acceptLoop serves connections until the listener closes.
func (e *endpoint) acceptLoop(ctx context.Context) {
	for {
		conn, err := e.listener.Accept(ctx)
		if err != nil {
			return
		}
		go e.serveConn(conn)
	}
}

func (e *endpoint) serveConn(conn *quic.Conn) {
	if e.openConns.Add(1) > int64(e.maxConns) {
		e.openConns.Add(-1)
		e.refuse(conn)
		return
	}
	defer e.openConns.Add(-1)
	server, serving := e.addConn(conn)
	defer e.removeConn(conn)
	if !serving {
		e.refuse(conn)
		return
	}
	_ = server.ServeQUICConn(conn)
}

func (e *endpoint) addConn(conn *quic.Conn) (*http3.Server, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.conns[conn] = struct{}{}
	return e.server, e.serving
}

func (e *endpoint) removeConn(conn *quic.Conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.conns, conn)
}

// refuse closes a connection before any request is read from it.
func (e *endpoint) refuse(conn *quic.Conn) {
	_ = conn.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeRequestRejected), "not serving")
}

// beginRetirement returns the context for waiting up to limit for the last
// connection, or false if the endpoint is already retiring.
func (e *endpoint) beginRetirement(parent context.Context, limit time.Duration) (context.Context, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cancelRetirement != nil {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(parent, limit)
	e.cancelRetirement = cancel
	return ctx, true
}

// abortRetirement ends the wait that beginRetirement started, if any.
func (e *endpoint) abortRetirement() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cancelRetirement != nil {
		e.cancelRetirement()
		e.cancelRetirement = nil
	}
}

func (e *endpoint) isRetiring() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cancelRetirement != nil
}

// waitIdle waits for the last connection. It returns true once no connection
// is open or the limit has passed, and false if ctx is cancelled before, as by
// abortRetirement.
func (e *endpoint) waitIdle(ctx context.Context) bool {
	tick := time.NewTicker(drainPollInterval)
	defer tick.Stop()
	for e.openConns.Load() > 0 {
		select {
		case <-ctx.Done():
			return !errors.Is(ctx.Err(), context.Canceled)
		case <-tick.C:
		}
	}
	return true
}

// close closes the open connections, notifying the callers, and the listener.
func (e *endpoint) close() {
	e.mu.Lock()
	for conn := range e.conns {
		_ = conn.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), "leaving")
	}
	e.mu.Unlock()
	_ = e.listener.Close()
	_ = e.transport.Close()
	_ = e.conn.Close()
}
