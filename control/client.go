package control

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/poppywall/poppywall/route"
)

// Client calls other processes and keeps one connection to each. It is safe
// for concurrent use.
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
	rpc  *jsonrpc2.Conn
	used time.Time
}

// NewClient returns a client whose calls take at most timeout each. A
// connection without a call for idle is closed.
func NewClient(secrets []route.Secret, traffic *Traffic, timeout, idle time.Duration) *Client {
	return &Client{
		secrets: secrets,
		traffic: traffic,
		timeout: timeout,
		idle:    idle,
		conns:   map[string]*clientConn{},
	}
}

// Call sends one request and decodes the answer into result. A failed
// connection is dropped; the caller decides whether to call again.
func (c *Client) Call(ctx context.Context, address, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	rpc, err := c.conn(ctx, address)
	if err != nil {
		return err
	}
	err = rpc.Call(ctx, method, params, result)
	if err != nil && !isAnswer(err) {
		c.drop(address, rpc)
	}
	return err
}

func isAnswer(err error) bool {
	_, ok := err.(*jsonrpc2.Error)
	return ok
}

func (c *Client) conn(ctx context.Context, address string) (*jsonrpc2.Conn, error) {
	if rpc := c.existing(address); rpc != nil {
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
	rpc := jsonrpc2.NewConn(context.Background(), st, refuse{}, quiet)
	return c.keep(address, rpc), nil
}

func (c *Client) existing(address string) *jsonrpc2.Conn {
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
	cc.used = time.Now()
	return cc.rpc
}

// keep stores a new connection unless another call was faster.
func (c *Client) keep(address string, rpc *jsonrpc2.Conn) *jsonrpc2.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cc, ok := c.conns[address]; ok {
		go func() { _ = rpc.Close() }()
		return cc.rpc
	}
	c.closeIdle()
	c.conns[address] = &clientConn{rpc: rpc, used: time.Now()}
	return rpc
}

// closeIdle runs under mu.
func (c *Client) closeIdle() {
	for address, cc := range c.conns {
		if time.Since(cc.used) > c.idle {
			delete(c.conns, address)
			go func() { _ = cc.rpc.Close() }()
		}
	}
}

func (c *Client) drop(address string, rpc *jsonrpc2.Conn) {
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

// refuse answers calls in the wrong direction.
type refuse struct{}

// Handle implements jsonrpc2.Handler.
func (refuse) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if req.Notif {
		return
	}
	_ = conn.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "calls go to servers"})
}
