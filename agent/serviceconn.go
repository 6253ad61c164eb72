package agent

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/poppywall/poppywall/relay/encap"
	"github.com/poppywall/poppywall/route"
)

// serviceConn is the net.PacketConn of one service's QUIC stack. It does not
// embed a UDP connection, because the QUIC library would use that directly and
// bypass the methods of serviceConn.
type serviceConn struct {
	mux     *mux
	id      route.ServiceID
	packets chan *packet
	// accepting reports whether new flows are accepted.
	accepting atomic.Bool
	// load returns the load report that is sent with each datagram: open
	// connections, load in thousandths of the limit, and ready slots.
	load func() (open, busy, slots int)

	address   atomic.Pointer[netip.AddrPort]
	closeOnce sync.Once
	closed    chan struct{}
	deadline  deadline
}

var errTimeout = &timeoutError{}

type timeoutError struct{}

// Error implements net.Error.
func (*timeoutError) Error() string { return "read deadline passed" }

// Timeout implements net.Error.
func (*timeoutError) Timeout() bool { return true }

// Temporary implements net.Error.
func (*timeoutError) Temporary() bool { return true }

// deadline is a read deadline that takes effect only if it is set to a time in
// the past, as the QUIC library does to unblock a reader. Any other time clears it.
type deadline struct {
	mu      sync.Mutex
	expired chan struct{}
}

func (d *deadline) init() { d.expired = make(chan struct{}) }

func (d *deadline) set(t time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	past := !t.IsZero() && !t.After(time.Now())
	select {
	case <-d.expired:
		if !past {
			d.expired = make(chan struct{})
		}
	default:
		if past {
			close(d.expired)
		}
	}
}

func (d *deadline) done() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.expired
}

func newServiceConn(m *mux, id route.ServiceID, load func() (open, busy, slots int)) *serviceConn {
	c := &serviceConn{
		mux:     m,
		id:      id,
		packets: make(chan *packet, packetQueueLen),
		load:    load,
		closed:  make(chan struct{}),
	}
	c.deadline.init()
	return c
}

// deliver queues a caller's datagram for the QUIC stack. Its header holds the
// service address from which responses are sent.
func (c *serviceConn) deliver(h encap.Header, payload []byte) {
	if len(payload) > maxPacketLen {
		c.mux.metrics.drop(dropNotQUIC)
		return
	}
	if a := c.address.Load(); a == nil || *a != h.Service {
		c.address.Store(&h.Service)
	}
	p := c.mux.packetPool.Get().(*packet)
	p.caller = net.UDPAddrFromAddrPort(h.Caller)
	p.data = p.buf[:copy(p.buf[:], payload)]
	select {
	case c.packets <- p:
	default:
		c.mux.packetPool.Put(p)
		c.mux.metrics.drop(dropQueueFull)
	}
}

// ReadFrom implements net.PacketConn.
func (c *serviceConn) ReadFrom(b []byte) (int, net.Addr, error) {
	select {
	case p := <-c.packets:
		n := copy(b, p.data)
		addr := p.caller
		c.mux.packetPool.Put(p)
		return n, addr, nil
	case <-c.deadline.done():
		return 0, nil, errTimeout
	case <-c.closed:
		return 0, nil, net.ErrClosed
	}
}

var errNotUDP = errors.New("caller address is not a UDP address")

// WriteTo implements net.PacketConn.
func (c *serviceConn) WriteTo(b []byte, addr net.Addr) (int, error) {
	udp, ok := addr.(*net.UDPAddr)
	if !ok {
		return 0, errNotUDP
	}
	service := c.address.Load()
	if service == nil {
		return len(b), nil
	}
	caller := udp.AddrPort()
	to, ok := c.mux.chooseBalancer(time.Now(), caller)
	if !ok {
		// No balancer is known: drop the datagram, as the network might.
		c.mux.metrics.drop(dropNoBalancer)
		return len(b), nil
	}
	open, busy, slots := c.load()
	c.mux.send(to, encap.Header{
		Caller:    caller,
		Service:   *service,
		Kind:      encap.Return,
		ServiceID: c.id,
		Open:      clamp16(open),
		Busy:      clamp16(busy),
		Capacity:  clamp16(slots),
	}, b)
	return len(b), nil
}

func clamp16(v int) uint16 { return uint16(min(max(v, 0), 1<<16-1)) }

// Close implements net.PacketConn.
func (c *serviceConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return nil
}

// LocalAddr implements net.PacketConn.
func (c *serviceConn) LocalAddr() net.Addr { return net.UDPAddrFromAddrPort(c.mux.socket.Addr()) }

// SetDeadline implements net.PacketConn.
func (c *serviceConn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetReadDeadline implements net.PacketConn.
func (c *serviceConn) SetReadDeadline(t time.Time) error {
	c.deadline.set(t)
	return nil
}

// SetWriteDeadline implements net.PacketConn. It has no effect, because writes do
// not block.
func (c *serviceConn) SetWriteDeadline(time.Time) error { return nil }
