package standin

import (
	"io"
	"net"
	"sync"
	"time"
)

// Proxy carries TCP connections to one address and injects the faults of the
// way there. New connections are carried whatever happened to earlier ones.
type Proxy struct {
	listener net.Listener
	target   string

	// mu guards the rest.
	mu      sync.Mutex
	links   map[*link]bool
	refuses bool
	delay   time.Duration
	// link carries what the target sends.
	link *Link
}

// Way is a direction of a connection.
type Way uint8

// The directions.
const (
	ToTarget Way = iota
	FromTarget
)

// link is one connection.
type link struct {
	client, server net.Conn
	// mu guards cut.
	mu  sync.Mutex
	cut [2]bool
}

func (l *link) isCut(w Way) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut[w]
}

// reset closes both ends so that each sees a reset.
func (l *link) reset() {
	for _, conn := range []net.Conn{l.client, l.server} {
		if conn == nil {
			continue
		}
		if tcp, ok := conn.(*net.TCPConn); ok {
			// Zero linger turns the close into a reset; a failure leaves a plain close.
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

// NewProxy starts a proxy on a loopback port. Close ends it.
func NewProxy(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, target: target, links: map[*link]bool{}, link: NewLink(0)}
	go p.accept()
	return p, nil
}

// Addr is the address to connect to.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// Silence lets the open connections go silent for good, without a reset.
func (p *Proxy) Silence() {
	p.Cut(ToTarget)
	p.Cut(FromTarget)
}

// Cut drops the bytes of the open connections in one direction for good.
func (p *Proxy) Cut(w Way) {
	for _, l := range p.open() {
		l.mu.Lock()
		l.cut[w] = true
		l.mu.Unlock()
	}
}

// Reset resets the open connections.
func (p *Proxy) Reset() {
	for _, l := range p.open() {
		l.reset()
	}
}

// Refuse makes new connections be closed at once, or ends that.
func (p *Proxy) Refuse(refuses bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refuses = refuses
}

// Delay holds all bytes back for a while, in each direction.
func (p *Proxy) Delay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// Narrow bounds the rate of what the target sends, of all connections together,
// in bytes a second.
func (p *Proxy) Narrow(bytesPerSecond int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.link = NewLink(bytesPerSecond)
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.Reset()
}

func (p *Proxy) open() []*link {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]*link, 0, len(p.links))
	for l := range p.links {
		out = append(out, l)
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
		refuses := p.refuses
		p.mu.Unlock()
		if refuses {
			(&link{client: client}).reset()
			continue
		}
		go p.carry(client)
	}
}

func (p *Proxy) carry(client net.Conn) {
	server, err := net.Dial("tcp4", p.target)
	if err != nil {
		_ = client.Close()
		return
	}
	l := &link{client: client, server: server}
	p.mu.Lock()
	p.links[l] = true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Add(2)
	go func() { defer both.Done(); p.pump(l, ToTarget, client, server) }()
	go func() { defer both.Done(); p.pump(l, FromTarget, server, client) }()
	both.Wait()
	p.mu.Lock()
	delete(p.links, l)
	p.mu.Unlock()
}

// wide is a link that bounds nothing.
var wide = NewLink(0)

func (p *Proxy) linkOf(w Way) *Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w == FromTarget {
		return p.link
	}
	return wide
}

// pump copies one direction. A cut direction swallows everything, its end too.
func (p *Proxy) pump(l *link, w Way, from, to net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		narrow := p.linkOf(w)
		n, err := from.Read(buf[:narrow.piece(len(buf))])
		narrow.pass(n)
		if l.isCut(w) {
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
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err == io.EOF {
			_ = to.Close()
		}
		if err != nil {
			return
		}
	}
}
