package standin

import (
	"io"
	"net"
	"sync"
	"time"
)

// Proxy forwards TCP connections to one address and injects network faults. Faults
// of open connections (Blackhole, BlackholeDirection, Reset) do not affect later ones.
type Proxy struct {
	listener net.Listener
	target   string

	// mu guards the rest.
	mu     sync.Mutex
	conns  map[*proxyConn]bool
	refuse bool
	delay  time.Duration
	// fromTarget limits the rate of the bytes that the target sends.
	fromTarget *Link
}

// Direction is a direction of a connection.
type Direction uint8

// The directions of a connection.
const (
	ToTarget Direction = iota
	FromTarget
)

// proxyConn is a client connection and its connection to the target.
type proxyConn struct {
	client, server net.Conn
	// mu guards blackholed.
	mu sync.Mutex
	// blackholed marks the directions whose bytes are dropped.
	blackholed [2]bool
}

func (c *proxyConn) isBlackholed(dir Direction) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.blackholed[dir]
}

// reset closes both connections so that each peer sees a TCP reset.
func (c *proxyConn) reset() {
	for _, conn := range []net.Conn{c.client, c.server} {
		if conn == nil {
			continue
		}
		if tcp, ok := conn.(*net.TCPConn); ok {
			// With a linger time of zero, Close sends a reset. If setting it fails, Close
			// ends the connection normally.
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

// NewProxy starts a proxy to target on a loopback port. The caller must Close it.
func NewProxy(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, target: target, conns: map[*proxyConn]bool{}, fromTarget: NewLink(0)}
	go p.accept()
	return p, nil
}

// Addr returns the address of the proxy's listener.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// Blackhole drops all further bytes of the open connections in both directions,
// without a reset.
func (p *Proxy) Blackhole() {
	p.BlackholeDirection(ToTarget)
	p.BlackholeDirection(FromTarget)
}

// BlackholeDirection drops all further bytes of the open connections in one direction,
// without a reset.
func (p *Proxy) BlackholeDirection(dir Direction) {
	for _, conn := range p.openConns() {
		conn.mu.Lock()
		conn.blackholed[dir] = true
		conn.mu.Unlock()
	}
}

// Reset resets the open connections.
func (p *Proxy) Reset() {
	for _, conn := range p.openConns() {
		conn.reset()
	}
}

// RefuseConnections sets whether new connections are reset at once.
func (p *Proxy) RefuseConnections(refuse bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refuse = refuse
}

// SetDelay delays each forwarded chunk of bytes by d, in both directions.
func (p *Proxy) SetDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// LimitRate limits the rate at which the target's bytes are forwarded on all connections
// together, in bytes per second; zero is unlimited.
func (p *Proxy) LimitRate(bytesPerSecond int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fromTarget = NewLink(bytesPerSecond)
}

// Close closes the listener and resets the open connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.Reset()
}

// openConns returns the open connections.
func (p *Proxy) openConns() []*proxyConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]*proxyConn, 0, len(p.conns))
	for conn := range p.conns {
		out = append(out, conn)
	}
	return out
}

func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		refuse := p.refuse
		p.mu.Unlock()
		if refuse {
			(&proxyConn{client: client}).reset()
			continue
		}
		go p.serve(client)
	}
}

// serve forwards a client's connection until both directions have ended.
func (p *Proxy) serve(client net.Conn) {
	server, err := net.Dial("tcp4", p.target)
	if err != nil {
		_ = client.Close()
		return
	}
	conn := &proxyConn{client: client, server: server}
	p.mu.Lock()
	p.conns[conn] = true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Add(2)
	go func() { defer both.Done(); p.copyDirection(conn, ToTarget, client, server) }()
	go func() { defer both.Done(); p.copyDirection(conn, FromTarget, server, client) }()
	both.Wait()
	p.mu.Lock()
	delete(p.conns, conn)
	p.mu.Unlock()
}

// unlimited is a link without a rate limit.
var unlimited = NewLink(0)

// linkFor returns the link that limits the rate of a direction.
func (p *Proxy) linkFor(dir Direction) *Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	if dir == FromTarget {
		return p.fromTarget
	}
	return unlimited
}

// copyDirection copies one direction. In a blackholed direction it discards everything,
// the end of the stream included.
func (p *Proxy) copyDirection(conn *proxyConn, dir Direction, src, dst net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		link := p.linkFor(dir)
		n, err := src.Read(buf[:link.chunkSize(len(buf))])
		link.transmit(n)
		if conn.isBlackholed(dir) {
			if err != nil {
				return
			}
			continue
		}
		p.mu.Lock()
		delay := p.delay
		p.mu.Unlock()
		time.Sleep(delay)
		if n > 0 {
			if _, writeErr := dst.Write(buf[:n]); writeErr != nil {
				return
			}
		}
		if err == io.EOF {
			_ = dst.Close()
		}
		if err != nil {
			return
		}
	}
}
