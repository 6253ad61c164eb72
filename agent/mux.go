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

// packetQueue bounds the datagrams that wait for one service's QUIC stack; one
// more is dropped, as a full socket buffer would.
const packetQueue = 1024

// packetLen is the room for one datagram.
const packetLen = 1536

// packetSocket is what the mux needs of the host's data socket.
type packetSocket interface {
	Addr() netip.AddrPort
	Read(*relay.Batch) ([]relay.Datagram, error)
	WriteTo(buf []byte, to netip.AddrPort) error
	Close() error
}

// mux shares the host's data socket between the services.
//
// Lock order: mu is a leaf lock.
type mux struct {
	socket  packetSocket
	tagger  *encap.Tagger
	codec   *route.Codec
	inc     route.Incarnation
	metrics *metrics
	resets  *resetter
	packets sync.Pool

	conns atomic.Pointer[map[route.ServiceID]*serviceConn]

	// mu guards paths and rnd.
	mu    sync.Mutex
	paths *returnpath.Table
	rnd   *rand.Rand
}

// packet is one caller's datagram on its way to the QUIC stack.
type packet struct {
	caller *net.UDPAddr
	data   []byte
	room   [packetLen]byte
}

func newMux(socket packetSocket, tagger *encap.Tagger, codec *route.Codec, resets *resetter, met *metrics) *mux {
	m := &mux{
		socket:  socket,
		tagger:  tagger,
		codec:   codec,
		resets:  resets,
		metrics: met,
		inc:     route.Incarnation(rand.Uint32()),
		packets: sync.Pool{New: func() any { return &packet{} }},
		paths:   returnpath.New(returnpath.Defaults()),
		rnd:     rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	m.conns.Store(&map[route.ServiceID]*serviceConn{})
	return m
}

// setConns replaces the services that are served here.
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

// handle decides on one datagram of a balancer.
func (m *mux) handle(now time.Time, from netip.AddrPort, datagram []byte) {
	h, payload, err := m.tagger.Decode(datagram)
	if err != nil {
		m.metrics.drop(dropHeader)
		return
	}
	switch h.Kind {
	case encap.Forward:
		m.observe(now, h.Caller, from)
		m.forward(from, h, payload)
	case encap.Leaving:
		m.mu.Lock()
		m.paths.RemoveBalancer(from)
		m.mu.Unlock()
	default:
		m.metrics.drop(dropKind)
	}
}

func (m *mux) observe(now time.Time, caller, balancer netip.AddrPort) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.paths.Observe(now, caller, balancer)
}

// forward gives a datagram to its service, or back when nobody here takes it.
func (m *mux) forward(from netip.AddrPort, h encap.Header, payload []byte) {
	p, ok := encap.ParsePacket(payload, route.Len)
	if !ok {
		m.metrics.drop(dropPacket)
		return
	}
	conn := (*m.conns.Load())[h.ServiceID]
	r, err := m.codec.Decode(p.ID)
	if err != nil {
		m.newFlow(conn, from, h, payload)
		return
	}
	if r.Service != h.ServiceID {
		m.metrics.drop(dropService)
		return
	}
	if r.Host != m.socket.Addr() || r.Incarnation != m.inc || conn == nil {
		m.reset(from, h, p, payload)
		return
	}
	conn.deliver(h, payload)
}

// newFlow takes an Initial that no route pins, unless the service takes none.
func (m *mux) newFlow(conn *serviceConn, from netip.AddrPort, h encap.Header, payload []byte) {
	if conn != nil && conn.accepting.Load() {
		conn.deliver(h, payload)
		return
	}
	m.metrics.refusedFlows.Inc()
	h.Kind = encap.Refused
	h.Hops++
	m.send(from, h, payload)
}

// reset answers a datagram of a former incarnation with a stateless reset, so
// that the caller knows at once.
func (m *mux) reset(from netip.AddrPort, h encap.Header, p encap.Packet, payload []byte) {
	m.metrics.drop(dropIncarnation)
	if p.Long {
		return
	}
	packet, ok := m.resets.packet(p.ID, len(payload))
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

// path returns the balancer for a datagram to the caller.
func (m *mux) path(now time.Time, caller netip.AddrPort) (netip.AddrPort, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.paths.Choose(now, m.rnd, caller)
}

// setKnown names balancers to answer through when none was heard.
func (m *mux) setKnown(balancers []netip.AddrPort) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.paths.SetFallback(balancers)
}

func (m *mux) sweep(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.paths.Sweep(now)
}
