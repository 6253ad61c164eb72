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
// embed a UDP connection: the QUIC library would go around it.
type serviceConn struct {
	mux     *mux
	id      route.ServiceID
	packets chan *packet
	// accepting tells whether new flows are taken.
	accepting atomic.Bool
	// reading is the load reading sent with each datagram.
	reading func() (open, busy, slots int)

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

// deadline wakes a reader; the QUIC library sets it to the past to stop one.
type deadline struct {
	mu     sync.Mutex
	passed chan struct{}
}

func (d *deadline) init() { d.passed = make(chan struct{}) }

func (d *deadline) set(t time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	past := !t.IsZero() && !t.After(time.Now())
	select {
	case <-d.passed:
		if !past {
			d.passed = make(chan struct{})
		}
	default:
		if past {
			close(d.passed)
		}
	}
}

func (d *deadline) done() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.passed
}

func newServiceConn(m *mux, id route.ServiceID, reading func() (open, busy, slots int)) *serviceConn {
	c := &serviceConn{
		mux:     m,
		id:      id,
		packets: make(chan *packet, packetQueue),
		reading: reading,
		closed:  make(chan struct{}),
	}
	c.deadline.init()
	return c
}

// deliver queues a caller's datagram; h names the service address to answer
// from.
func (c *serviceConn) deliver(h encap.Header, payload []byte) {
	if len(payload) > packetLen {
		c.mux.metrics.drop(dropPacket)
		return
	}
	if a := c.address.Load(); a == nil || *a != h.Service {
		c.address.Store(&h.Service)
	}
	p := c.mux.packets.Get().(*packet)
	p.caller = net.UDPAddrFromAddrPort(h.Caller)
	p.data = p.room[:copy(p.room[:], payload)]
	select {
	case c.packets <- p:
	default:
		c.mux.packets.Put(p)
		c.mux.metrics.drop(dropQueue)
	}
}

// ReadFrom implements net.PacketConn.
func (c *serviceConn) ReadFrom(b []byte) (int, net.Addr, error) {
	select {
	case p := <-c.packets:
		n := copy(b, p.data)
		addr := p.caller
		c.mux.packets.Put(p)
		return n, addr, nil
	case <-c.deadline.done():
		return 0, nil, errTimeout
	case <-c.closed:
		return 0, nil, net.ErrClosed
	}
}

var errNotUDP = errors.New("caller address is not UDP")

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
	to, ok := c.mux.path(time.Now(), caller)
	if !ok {
		// No balancer is known: as if the network had lost it.
		c.mux.metrics.drop(dropNoBalancer)
		return len(b), nil
	}
	open, busy, slots := c.reading()
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

// SetWriteDeadline implements net.PacketConn; writes never wait.
func (c *serviceConn) SetWriteDeadline(time.Time) error { return nil }
