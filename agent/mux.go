package agent

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/poppywall/poppywall/relay"
	"github.com/poppywall/poppywall/relay/encap"
	"github.com/poppywall/poppywall/returnpath"
	"github.com/poppywall/poppywall/route"
)

// packetQueueLen is the maximum number of datagrams queued for one service's
// QUIC stack. Further ones are dropped, as by a full socket buffer.
const packetQueueLen = 1024

// maxPacketLen is the maximum length of a datagram in bytes.
const maxPacketLen = 1536

// packetSocket is the part of *relay.Socket that mux uses.
type packetSocket interface {
	Addr() netip.AddrPort
	Read(*relay.Batch) ([]relay.Datagram, error)
	WriteTo(buf []byte, to netip.AddrPort) error
	Close() error
}

// mux demultiplexes the host's data socket: it passes each datagram to the
// QUIC stack of its service.
//
// Lock order: mu is a leaf lock.
type mux struct {
	socket      packetSocket
	tagger      *encap.Tagger
	codec       *route.Codec
	incarnation route.Incarnation
	metrics     *metrics
	resetter    *resetter
	packetPool  sync.Pool

	conns atomic.Pointer[map[route.ServiceID]*serviceConn]

	// mu guards paths and rnd. paths holds the balancers through which each caller
	// can be reached.
	mu    sync.Mutex
	paths *returnpath.Table
	rnd   *rand.Rand
}

// packet is a caller's datagram that is queued for the QUIC stack.
type packet struct {
	caller *net.UDPAddr
	data   []byte
	buf    [maxPacketLen]byte
}

func newMux(socket packetSocket, tagger *encap.Tagger, codec *route.Codec, resets *resetter, met *metrics) *mux {
	m := &mux{
		socket:      socket,
		tagger:      tagger,
		codec:       codec,
		resetter:    resets,
		metrics:     met,
		incarnation: route.Incarnation(rand.Uint32()),
		packetPool:  sync.Pool{New: func() any { return &packet{} }},
		paths:       returnpath.New(returnpath.Defaults()),
		rnd:         rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	m.conns.Store(&map[route.ServiceID]*serviceConn{})
	return m
}

// setConns replaces the connections of the services on this host.
func (m *mux) setConns(conns map[route.ServiceID]*serviceConn) { m.conns.Store(&conns) }

// serve reads the data socket until it closes.
func (m *mux) serve() {
	batch := relay.NewBatch()
	for {
		in, err := m.socket.Read(batch)
		if err != nil {
			return
		}
		now := time.Now()
		for i := range in {
			m.handle(now, in[i].From, in[i].Payload)
		}
	}
}

// handle processes a datagram from a balancer.
func (m *mux) handle(now time.Time, from netip.AddrPort, datagram []byte) {
	h, payload, err := m.tagger.Decode(datagram)
	if err != nil {
		m.metrics.drop(dropBadHeader)
		return
	}
	switch h.Kind {
	case encap.Forward:
		m.observePath(now, h.Caller, from)
		m.dispatch(from, h, payload)
	case encap.Leaving:
		m.mu.Lock()
		m.paths.RemoveBalancer(from)
		m.mu.Unlock()
	default:
		m.metrics.drop(dropBadKind)
	}
}

func (m *mux) observePath(now time.Time, caller, balancer netip.AddrPort) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.paths.Observe(now, caller, balancer)
}

// dispatch passes a datagram to the QUIC stack of its service. A datagram of a
// flow that is not open on this host is reset, and one of a new flow that the
// service does not accept is returned to the balancer.
func (m *mux) dispatch(from netip.AddrPort, h encap.Header, payload []byte) {
	p, ok := encap.ParsePacket(payload, route.Len)
	if !ok {
		m.metrics.drop(dropNotQUIC)
		return
	}
	conn := (*m.conns.Load())[h.ServiceID]
	r, err := m.codec.Decode(p.ID)
	if err != nil {
		m.handleNewFlow(conn, from, h, payload)
		return
	}
	if r.Service != h.ServiceID {
		m.metrics.drop(dropWrongService)
		return
	}
	if r.Host != m.socket.Addr() || r.Incarnation != m.incarnation || conn == nil {
		m.sendReset(from, h, p, payload)
		return
	}
	conn.deliver(h, payload)
}

// handleNewFlow delivers a datagram without a route, which starts a new flow,
// or returns it to the balancer if the service accepts no new flows.
func (m *mux) handleNewFlow(conn *serviceConn, from netip.AddrPort, h encap.Header, payload []byte) {
	if conn != nil && conn.accepting.Load() {
		conn.deliver(h, payload)
		return
	}
	m.metrics.refusedFlows.Inc()
	h.Kind = encap.Refused
	h.Hops++
	m.send(from, h, payload)
}

// sendReset answers a datagram of a flow that is not open on this host, such as
// one of a former incarnation, with a stateless reset, so that the caller detects
// the loss at once. It drops packets with a long header.
func (m *mux) sendReset(from netip.AddrPort, h encap.Header, p encap.Packet, payload []byte) {
	m.metrics.drop(dropFormerIncarnation)
	if p.Long {
		return
	}
	packet, ok := m.resetter.resetPacket(p.ID, len(payload))
	if !ok {
		return
	}
	m.metrics.resets.Inc()
	h.Kind = encap.Return
	m.send(from, h, packet)
}

func (m *mux) send(to netip.AddrPort, h encap.Header, payload []byte) {
	buf := make([]byte, encap.HeaderLen+len(payload))
	copy(buf[encap.HeaderLen:], payload)
	if m.tagger.Encode(buf, h) == nil {
		_ = m.socket.WriteTo(buf, to)
	}
}

// chooseBalancer returns the balancer through which to send a datagram to the
// caller, or false if none is known.
func (m *mux) chooseBalancer(now time.Time, caller netip.AddrPort) (netip.AddrPort, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.paths.Choose(now, m.rnd, caller)
}

// setFallbackBalancers sets the balancers to send through while none is live.
func (m *mux) setFallbackBalancers(balancers []netip.AddrPort) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.paths.SetFallback(balancers)
}

// sweep removes the balancers and callers from which nothing arrived for too long.
func (m *mux) sweep(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.paths.Sweep(now)
}
