package control

import (
	"context"
	"encoding/json"
	"io"
	"log"
	"net"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/jsonrpc2"
	"go.uber.org/zap"

	"github.com/poppywall/poppywall/route"
)

// MaxConns limits the open connections of a server; further ones are closed
// as soon as they are accepted.
const MaxConns = 4096

// Handler serves one method. Its result is encoded as JSON.
type Handler func(ctx context.Context, params json.RawMessage) (any, error)

// Handle adapts a typed function to a Handler by decoding its params.
func Handle[Req, Resp any](f func(context.Context, Req) (Resp, error)) Handler {
	return func(ctx context.Context, params json.RawMessage) (any, error) {
		var req Req
		if err := json.Unmarshal(params, &req); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		return f(ctx, req)
	}
}

// Server serves calls of other processes.
type Server struct {
	listener net.Listener
	secrets  []route.Secret
	handlers map[string]Handler
	traffic  *Traffic
	log      *zap.Logger
	// connSlots is a semaphore of MaxConns.
	connSlots chan struct{}
}

// discardLog keeps jsonrpc2 from writing to the standard log when a peer
// disconnects during a call; the caller gets the error.
var discardLog = jsonrpc2.SetLogger(log.New(io.Discard, "", 0))

// Listen binds address and returns a server; Serve runs it.
func Listen(address string, secrets []route.Secret, traffic *Traffic, logger *zap.Logger) (*Server, error) {
	ln, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for control calls")
	}
	return &Server{
		listener:  ln,
		secrets:   secrets,
		handlers:  map[string]Handler{},
		traffic:   traffic,
		log:       logger,
		connSlots: make(chan struct{}, MaxConns),
	}, nil
}

// Addr returns the bound address.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Register adds a method; it must be called before Serve.
func (s *Server) Register(method string, h Handler) { s.handlers[method] = h }

// Serve accepts connections until ctx ends.
func (s *Server) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.listener.Close() })
	defer stop()
	var wg conc.WaitGroup
	defer wg.Wait()
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return errors.Wrap(err, "accept control connection")
		}
		s.startConn(ctx, &wg, conn)
	}
}

// startConn serves conn in a goroutine of wg, or closes it when the server has
// no free connection slot.
func (s *Server) startConn(ctx context.Context, wg *conc.WaitGroup, conn net.Conn) {
	select {
	case s.connSlots <- struct{}{}:
	default:
		_ = conn.Close()
		return
	}
	wg.Go(func() {
		defer func() { <-s.connSlots }()
		s.serveConn(ctx, conn)
	})
}

// serveConn serves conn until the peer disconnects or ctx ends.
func (s *Server) serveConn(ctx context.Context, conn net.Conn) {
	st, err := newStream(conn, s.secrets, false, s.traffic)
	if err != nil {
		_ = conn.Close()
		s.log.Debug("control handshake failed", zap.Error(err))
		return
	}
	rpc := jsonrpc2.NewConn(ctx, st, jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(s.dispatch)), discardLog)
	select {
	case <-rpc.DisconnectNotify():
	case <-ctx.Done():
	}
	_ = rpc.Close()
}

func (s *Server) dispatch(ctx context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
	h, ok := s.handlers[req.Method]
	if !ok {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: req.Method}
	}
	if req.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "no params"}
	}
	return h(ctx, *req.Params)
}
