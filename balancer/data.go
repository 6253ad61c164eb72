package balancer

import (
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/poppywall/poppywall/forward"
	"github.com/poppywall/poppywall/relay"
	"github.com/poppywall/poppywall/relay/encap"
	"github.com/poppywall/poppywall/telemetry"
)

// internalReaders is the number of goroutines that read the internal socket.
const internalReaders = 2

// socketSet holds the open service sockets by address. mu guards all fields.
type socketSet struct {
	mu     sync.RWMutex
	open   map[netip.AddrPort]*relay.Socket
	closed bool
}

// Close closes all service sockets.
func (s *socketSet) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for a, sock := range s.open {
		_ = sock.Close()
		delete(s.open, a)
	}
	return nil
}

func (s *socketSet) get(a netip.AddrPort) *relay.Socket {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.open[a]
}

// reconcileSockets opens the sockets of new services and closes those of
// removed services. It reports whether every service has its socket.
func (b *Balancer) reconcileSockets(specs []forward.Spec) bool {
	b.sockets.mu.Lock()
	defer b.sockets.mu.Unlock()
	if b.sockets.closed {
		return false
	}
	wanted := make(map[netip.AddrPort]bool, len(specs))
	for _, sp := range specs {
		wanted[sp.Address] = true
		if _, ok := b.sockets.open[sp.Address]; !ok {
			b.openSocket(sp.Address)
		}
	}
	for a, sock := range b.sockets.open {
		if !wanted[a] {
			_ = sock.Close()
			delete(b.sockets.open, a)
		}
	}
	return len(b.sockets.open) == len(wanted)
}

// openSocket opens and serves a service socket. The caller holds sockets.mu.
func (b *Balancer) openSocket(a netip.AddrPort) {
	sock, err := relay.Listen(a, relay.Spray{Members: b.cfg.SprayMembers})
	if err != nil {
		b.metrics.socketErrors.Inc()
		b.log.Error("failed to open service address", zap.Stringer(telemetry.FieldAddress, a), zap.Error(err))
		return
	}
	b.sockets.open[a] = sock
	b.workers.Run(func() { b.serveService(a, sock) })
}

// serveService forwards callers' datagrams for one service until its socket is
// closed.
func (b *Balancer) serveService(address netip.AddrPort, sock *relay.Socket) {
	b.readLoop(sock, func(batch *relay.Batch, in []relay.Datagram) {
		s := b.table.Service(address)
		if s == nil {
			b.metrics.countDrops(forward.UnknownService, len(in))
			return
		}
		now := time.Now()
		for i := range in {
			d := &in[i]
			b.perform(batch, d, b.table.FromCaller(now, s, d.From, d.Payload))
		}
	})
}

// serveInternal handles agents' datagrams until the internal socket is closed.
// While this balancer is stopping, it notifies agents whose datagrams it
// forwards.
func (b *Balancer) serveInternal() {
	b.readLoop(b.internal, func(batch *relay.Batch, in []relay.Datagram) {
		now := time.Now()
		for i := range in {
			d := &in[i]
			a := b.table.FromAgent(now, d.From, d.Payload)
			b.perform(batch, d, a)
			if b.leaving.started() && a.Operation == forward.ToCaller {
				b.notifyLeaving(now, d.From, a.Header)
			}
		}
	})
}

// readLoop passes batches of datagrams to handle until the socket is closed. It
// takes a batch from the pool only once the socket is readable, so that idle
// sockets hold no buffers.
func (b *Balancer) readLoop(sock *relay.Socket, handle func(*relay.Batch, []relay.Datagram)) {
	for sock.Wait() == nil {
		batch := b.pool.Get().(*relay.Batch)
		in, err := sock.Read(batch)
		if err != nil {
			return
		}
		handle(batch, in)
		b.metrics.lost.Add(float64(batch.Flush()))
		b.pool.Put(batch)
	}
}

// perform executes the action that the forwarding table returned for a datagram.
func (b *Balancer) perform(batch *relay.Batch, d *relay.Datagram, a forward.Action) {
	switch a.Operation {
	case forward.ToHost:
		b.sendToHost(batch, d, a)
	case forward.ToCaller:
		sock := b.sockets.get(a.Header.Service)
		if sock == nil {
			b.metrics.countDrops(forward.UnknownService, 1)
			return
		}
		b.metrics.toCaller.Inc()
		b.metrics.lost.Add(float64(batch.Queue(sock, a.Peer, a.Payload)))
	default:
		b.metrics.countDrops(a.Reason, 1)
	}
}

func (b *Balancer) sendToHost(batch *relay.Batch, d *relay.Datagram, a forward.Action) {
	buf := d.WithHeader(a.Payload)
	if err := b.tagger.Encode(buf, a.Header); err != nil {
		b.metrics.countDrops(forward.BadHeader, 1)
		return
	}
	if a.NewFlow {
		b.metrics.newFlows.Inc()
	}
	b.metrics.toHost.Inc()
	b.metrics.lost.Add(float64(batch.Queue(b.internal, a.Peer, buf)))
}

// notifyLeaving notifies an agent that this balancer is stopping, at most once
// per second and agent.
func (b *Balancer) notifyLeaving(now time.Time, agent netip.AddrPort, h encap.Header) {
	if !b.leaving.noticeDue(now, agent) {
		return
	}
	buf := make([]byte, encap.HeaderLen)
	h.Kind = encap.Leaving
	if err := b.tagger.Encode(buf, h); err != nil {
		return
	}
	_ = b.internal.WriteTo(buf, agent)
}
