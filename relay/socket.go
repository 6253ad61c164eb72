// Package relay provides UDP sockets with batched reads and writes whose buffers
// reserve headroom for an encapsulation header. It makes no forwarding decisions.
package relay

import (
	"context"
	"net"
	"net/netip"
	"syscall"

	"github.com/go-faster/errors"
	"golang.org/x/net/bpf"
	"golang.org/x/net/ipv4"
	"golang.org/x/sys/unix"

	"github.com/poppywall/poppywall/relay/encap"
)

const (
	// BatchSize is the maximum number of datagrams sent or received by one
	// system call.
	BatchSize = 64
	// payloadBufferLen is the size in bytes of a receive buffer after its
	// headroom.
	payloadBufferLen = 1536
	// socketBufferSize is the kernel buffer size requested for each direction,
	// in bytes.
	socketBufferSize = 4 << 20
)

// Socket is a UDP socket with batch I/O.
type Socket struct {
	conn  *net.UDPConn
	batch *ipv4.PacketConn
	addr  netip.AddrPort
}

// Spray configures how the kernel distributes datagrams among sockets that share
// an address. It stands in for the platform's network fabric. With zero members
// the address is not shared.
type Spray struct {
	// Members is the number of sockets that will share the address.
	Members int
}

// Listen binds a socket to the address.
func Listen(address netip.AddrPort, spray Spray) (*Socket, error) {
	lc := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error { return setReusePort(c, spray) }}
	pc, err := lc.ListenPacket(context.Background(), "udp4", address.String())
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	conn := pc.(*net.UDPConn)
	// The kernel may cap the sizes. A smaller buffer drops more datagrams in
	// bursts but does not affect correctness.
	_ = conn.SetReadBuffer(socketBufferSize)
	_ = conn.SetWriteBuffer(socketBufferSize)
	if err := attachSpray(conn, spray); err != nil {
		_ = conn.Close()
		return nil, errors.Wrapf(err, "attach spray program to socket on %s", address)
	}
	local := conn.LocalAddr().(*net.UDPAddr).AddrPort()
	return &Socket{conn: conn, batch: ipv4.NewPacketConn(conn), addr: local}, nil
}

// setReusePort allows several sockets to bind to the same address if spray has
// members.
func setReusePort(c syscall.RawConn, spray Spray) error {
	if spray.Members <= 0 {
		return nil
	}
	return withFD(c, func(fd int) error {
		return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
}

// withFD calls f with the file descriptor of the connection.
func withFD(c syscall.RawConn, f func(fd int) error) error {
	var opErr error
	if err := c.Control(func(fd uintptr) { opErr = f(int(fd)) }); err != nil {
		return err
	}
	return opErr
}

// attachSpray attaches a BPF program that selects a random socket of the reuseport
// group for each datagram: rand() modulo members. An index past the end of the
// group, as after a member has terminated, makes the kernel select a socket
// itself. The socket must already be bound: one that has a program attached before
// bind forms a group of its own, and the kernel rejects its bind to a shared
// address.
func attachSpray(conn *net.UDPConn, spray Spray) error {
	if spray.Members <= 0 {
		return nil
	}
	raw, err := bpf.Assemble([]bpf.Instruction{
		bpf.LoadExtension{Num: bpf.ExtRand},
		bpf.ALUOpConstant{Op: bpf.ALUOpMod, Val: uint32(spray.Members)},
		bpf.RetA{},
	})
	if err != nil {
		return err
	}
	filters := make([]unix.SockFilter, len(raw))
	for i, r := range raw {
		filters[i] = unix.SockFilter{Code: r.Op, Jt: r.Jt, Jf: r.Jf, K: r.K}
	}
	c, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	prog := unix.SockFprog{Len: uint16(len(filters)), Filter: &filters[0]}
	return withFD(c, func(fd int) error {
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_REUSEPORT_CBPF, &prog)
	})
}

// Addr returns the bound address.
func (s *Socket) Addr() netip.AddrPort { return s.addr }

// Close closes the socket. A Read in progress returns an error.
func (s *Socket) Close() error { return s.conn.Close() }

// Datagram is one received datagram.
type Datagram struct {
	From netip.AddrPort
	// Payload is valid until the next Read into the same Batch.
	Payload []byte
	// buffer contains the headroom followed by Payload.
	buffer []byte
}

// WithHeader returns a slice of the receive buffer that contains payload preceded
// by encap.HeaderLen bytes for a header. The payload must be a suffix of the
// datagram.
func (d *Datagram) WithHeader(payload []byte) []byte {
	end := len(d.buffer)
	return d.buffer[end-len(payload)-encap.HeaderLen : end]
}

// Batch holds the buffers of one receive batch and one send batch. Sockets share
// batches through a pool, so that memory grows with the number of workers and not
// with the number of sockets.
type Batch struct {
	inMessages []ipv4.Message
	inBuffers  [][]byte
	received   []Datagram

	outMessages []ipv4.Message
	outAddrs    []net.UDPAddr
	outIPs      [][4]byte
	queued      int
	// outSocket is the socket that sends the queued datagrams.
	outSocket *Socket
}

// NewBatch allocates a batch.
func NewBatch() *Batch {
	b := &Batch{
		inMessages:  make([]ipv4.Message, BatchSize),
		inBuffers:   make([][]byte, BatchSize),
		outMessages: make([]ipv4.Message, BatchSize),
		outAddrs:    make([]net.UDPAddr, BatchSize),
		outIPs:      make([][4]byte, BatchSize),
	}
	for i := range b.inMessages {
		b.inBuffers[i] = make([]byte, encap.HeaderLen+payloadBufferLen)
		b.inMessages[i].Buffers = [][]byte{b.inBuffers[i][encap.HeaderLen:]}
		b.outMessages[i].Buffers = make([][]byte, 1)
		b.outMessages[i].Addr = &b.outAddrs[i]
	}
	return b
}

// Wait blocks until the socket is readable or closed.
func (s *Socket) Wait() error {
	raw, err := s.conn.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Read(pollReadable)
}

// pollReadable reports, without blocking, whether fd is readable or polling it
// fails.
func pollReadable(fd uintptr) bool {
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
	n, err := unix.Poll(fds, 0)
	return err != nil || n > 0
}

// Read receives one batch, valid until the next Read into the same Batch.
func (s *Socket) Read(b *Batch) ([]Datagram, error) {
	n, err := s.batch.ReadBatch(b.inMessages, 0)
	if err != nil {
		return nil, err
	}
	b.received = b.received[:0]
	for i := range n {
		m := &b.inMessages[i]
		from, ok := m.Addr.(*net.UDPAddr)
		if !ok {
			continue
		}
		buffer := b.inBuffers[i][:encap.HeaderLen+m.N]
		ap := netip.AddrPortFrom(from.AddrPort().Addr().Unmap(), from.AddrPort().Port())
		b.received = append(b.received, Datagram{From: ap, Payload: buffer[encap.HeaderLen:], buffer: buffer})
	}
	return b.received, nil
}

// Queue adds a datagram to be sent through socket. buf must not be modified until
// Flush. A full batch, or one of another socket, is flushed first; Queue returns
// the number of datagrams lost in that flush.
func (b *Batch) Queue(socket *Socket, to netip.AddrPort, buf []byte) int {
	lost := 0
	if b.queued == BatchSize || (b.queued > 0 && b.outSocket != socket) {
		lost = b.Flush()
	}
	i := b.queued
	b.outSocket = socket
	b.outIPs[i] = to.Addr().As4()
	b.outAddrs[i].IP = b.outIPs[i][:]
	b.outAddrs[i].Port = int(to.Port())
	b.outMessages[i].Buffers[0] = buf
	b.queued++
	return lost
}

// Flush sends the queued datagrams and returns the number of those lost. A
// datagram that the kernel rejects is skipped, as QUIC recovers from loss.
func (b *Batch) Flush() int {
	lost := 0
	for off := 0; off < b.queued; {
		n, err := b.outSocket.batch.WriteBatch(b.outMessages[off:b.queued], 0)
		if err != nil || n == 0 {
			lost++
			n = 1
		}
		off += n
	}
	b.queued = 0
	return lost
}

// WriteTo sends one datagram. It is safe for concurrent use.
func (s *Socket) WriteTo(buf []byte, to netip.AddrPort) error {
	_, err := s.conn.WriteToUDPAddrPort(buf, to)
	return err
}
