package control

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/poppywall/poppywall/route"
)

// Client sends calls to other processes over one cached connection per
// address. It is safe for concurrent use.
type Client struct {
	secrets []route.Secret
	traffic *Traffic
	timeout time.Duration
	idle    time.Duration

	// mu guards conns.
	mu    sync.Mutex
	conns map[string]*clientConn
}

type clientConn struct {
	rpc      *jsonrpc2.Conn
	lastUsed time.Time
}

// NewClient returns a client whose calls each fail after timeout. Connections
// without a call for longer than idle are closed when a new one is added.
func NewClient(secrets []route.Secret, traffic *Traffic, timeout, idle time.Duration) *Client {
	return &Client{
		secrets: secrets,
		traffic: traffic,
		timeout: timeout,
		idle:    idle,
		conns:   map[string]*clientConn{},
	}
}

// Call sends one request and decodes the response into result. A connection
// that failed or timed out is closed and removed; Call does not retry.
func (c *Client) Call(ctx context.Context, address, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	rpc, err := c.connect(ctx, address)
	if err != nil {
		return err
	}
	err = rpc.Call(ctx, method, params, result)
	if err != nil && !isRPCError(err) {
		c.removeConn(address, rpc)
	}
	return err
}

// isRPCError reports whether err is an error response of the server, which
// leaves the connection usable.
func isRPCError(err error) bool {
	_, ok := err.(*jsonrpc2.Error)
	return ok
}

// connect returns the cached connection to address, or opens one.
func (c *Client) connect(ctx context.Context, address string) (*jsonrpc2.Conn, error) {
	if rpc := c.cachedConn(address); rpc != nil {
		return rpc, nil
	}
	dialer := net.Dialer{}
	conn, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	st, err := newStream(conn, c.secrets, true, c.traffic)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	rpc := jsonrpc2.NewConn(context.Background(), st, rejectCalls{}, discardLog)
	return c.addConn(address, rpc), nil
}

// cachedConn returns the open connection to address, or nil.
func (c *Client) cachedConn(address string) *jsonrpc2.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	cc, ok := c.conns[address]
	if !ok {
		return nil
	}
	select {
	case <-cc.rpc.DisconnectNotify():
		delete(c.conns, address)
		return nil
	default:
	}
	cc.lastUsed = time.Now()
	return cc.rpc
}

// addConn caches rpc and returns it. If a concurrent call has cached a
// connection to the address already, rpc is closed and that one returned.
func (c *Client) addConn(address string, rpc *jsonrpc2.Conn) *jsonrpc2.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cc, ok := c.conns[address]; ok {
		go func() { _ = rpc.Close() }()
		return cc.rpc
	}
	c.closeIdle()
	c.conns[address] = &clientConn{rpc: rpc, lastUsed: time.Now()}
	return rpc
}

// closeIdle closes connections that have been idle for too long. The caller
// holds mu.
func (c *Client) closeIdle() {
	for address, cc := range c.conns {
		if time.Since(cc.lastUsed) > c.idle {
			delete(c.conns, address)
			go func() { _ = cc.rpc.Close() }()
		}
	}
}

// removeConn closes rpc and removes it from the cache.
func (c *Client) removeConn(address string, rpc *jsonrpc2.Conn) {
	c.mu.Lock()
	if cc, ok := c.conns[address]; ok && cc.rpc == rpc {
		delete(c.conns, address)
	}
	c.mu.Unlock()
	_ = rpc.Close()
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, cc := range c.conns {
		delete(c.conns, address)
		_ = cc.rpc.Close()
	}
}

// rejectCalls rejects requests that a server sends to a client.
type rejectCalls struct{}

// Handle implements jsonrpc2.Handler.
func (rejectCalls) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if req.Notif {
		return
	}
	_ = conn.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "calls go to servers"})
}
