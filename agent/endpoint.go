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
	// maxIdle ends a connection whose caller is silent.
	maxIdle = 30 * time.Second
	// keepAlive keeps board streams open through silence.
	keepAlive = 10 * time.Second
	// maxStreamsPerConn bounds the requests in progress on one connection.
	maxStreamsPerConn = 256
	maxHeaderBytes    = 64 << 10
	// drainPoll is how often a closing endpoint looks for its last connection.
	drainPoll = 100 * time.Millisecond
)

// connIDs makes the QUIC library use routes as connection IDs.
type connIDs struct{ minter *route.IDGenerator }

// GenerateConnectionID implements quic.ConnectionIDGenerator.
func (g connIDs) GenerateConnectionID() (quic.ConnectionID, error) {
	id := g.minter.Next()
	return quic.ConnectionIDFromBytes(id[:]), nil
}

// ConnectionIDLen implements quic.ConnectionIDGenerator.
func (g connIDs) ConnectionIDLen() int { return route.Len }

// endpoint ends QUIC for one service at this host.
//
// It is serving or draining. While draining it sends GOAWAY on every
// connection, refuses what is new and lets what is open run on; it can be
// resumed, then only new connections are served again.
type endpoint struct {
	id        route.ServiceID
	log       *zap.Logger
	conn      *serviceConn
	transport *quic.Transport
	listener  *quic.Listener
	handler   http.Handler
	maxConns  int

	open    atomic.Int64
	service atomic.Pointer[catalog.Service]

	// mu guards what follows.
	mu      sync.Mutex
	server  *http3.Server
	serving bool
	conns   map[*quic.Conn]struct{}
	// stopRetiring is set while no target here serves the service.
	stopRetiring context.CancelFunc
}

func newEndpoint(m *mux, s *catalog.Service, tlsConf *tls.Config, maxConns int, load func(route.ServiceID) serviceLoad, log *zap.Logger) (*endpoint, error) {
	base := route.Route{Host: m.socket.Addr(), Incarnation: m.inc, Service: s.ID}
	minter, err := route.NewIDGenerator(m.codec, base, rand.Uint32())
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
		return int(e.open.Load()), l.busy, l.slots
	})
	e.transport = &quic.Transport{
		Conn:                  e.conn,
		ConnectionIDGenerator: connIDs{minter},
		StatelessResetKey:     m.resets.currentKey(),
		// Every new flow gets a Retry, whose connection ID is a route. Tokens
		// of former connections would skip it, so they are born expired.
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
		MaxIdleTimeout:        maxIdle,
		KeepAlivePeriod:       keepAlive,
		MaxIncomingStreams:    maxStreamsPerConn,
		MaxIncomingUniStreams: 8,
		// A request exists only on the connection that finished its
		// handshake: at most once needs 0-RTT off.
		Allow0RTT: false,
	}
}

// resume makes the endpoint take new work.
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

// drain makes the endpoint take no new work and tells callers.
func (e *endpoint) drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.serving {
		return
	}
	e.serving = false
	e.conn.accepting.Store(false)
	server := e.server
	e.log.Info("endpoint draining", zap.Int64("connections", e.open.Load()))
	// Shutdown sends GOAWAY at once and then waits for the connections; those
	// given to ServeQUICConn are never closed by it.
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
	if e.open.Add(1) > int64(e.maxConns) {
		e.open.Add(-1)
		e.refuse(conn)
		return
	}
	defer e.open.Add(-1)
	server, serving := e.enter(conn)
	defer e.exit(conn)
	if !serving {
		e.refuse(conn)
		return
	}
	_ = server.ServeQUICConn(conn)
}

func (e *endpoint) enter(conn *quic.Conn) (*http3.Server, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.conns[conn] = struct{}{}
	return e.server, e.serving
}

func (e *endpoint) exit(conn *quic.Conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.conns, conn)
}

// refuse closes a connection on which no request was read.
func (e *endpoint) refuse(conn *quic.Conn) {
	_ = conn.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeRequestRejected), "not serving")
}

// beginRetiring starts the wait for the last connection, at most for limit; it
// tells whether none was running.
func (e *endpoint) beginRetiring(parent context.Context, limit time.Duration) (context.Context, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopRetiring != nil {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(parent, limit)
	e.stopRetiring = cancel
	return ctx, true
}

// keep ends a wait that was started: the service is served here again.
func (e *endpoint) keep() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopRetiring != nil {
		e.stopRetiring()
		e.stopRetiring = nil
	}
}

func (e *endpoint) isRetiring() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stopRetiring != nil
}

// waitIdle waits for the last connection. It is false when the wait was ended
// by keep, true when it is over or the limit has passed.
func (e *endpoint) waitIdle(ctx context.Context) bool {
	tick := time.NewTicker(drainPoll)
	defer tick.Stop()
	for e.open.Load() > 0 {
		select {
		case <-ctx.Done():
			return !errors.Is(ctx.Err(), context.Canceled)
		case <-tick.C:
		}
	}
	return true
}

// close ends what is still open and tells the callers.
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
