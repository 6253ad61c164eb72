// Package relay is the thin shell around datagram sockets: batch reads and
// writes with room for a header in front, nothing decided here.
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
	// BatchSize is the number of datagrams moved by one system call.
	BatchSize = 64
	// bufferLen is the room for one datagram after its headroom.
	bufferLen = 1536
	// socketBuffer is asked of the kernel for each direction, in bytes.
	socketBuffer = 4 << 20
)

// Socket is a UDP socket with batch I/O.
type Socket struct {
	conn  *net.UDPConn
	batch *ipv4.PacketConn
	addr  netip.AddrPort
}

// Spray selects how the kernel hands datagrams to sockets that share an
// address: the stand-in for the platform's fabric. Zero members is no sharing.
type Spray struct {
	// Members is the number of sockets that will share the address.
	Members int
}

// Listen opens a socket on the address.
func Listen(address netip.AddrPort, spray Spray) (*Socket, error) {
	lc := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error { return share(c, spray) }}
	pc, err := lc.ListenPacket(context.Background(), "udp4", address.String())
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	conn := pc.(*net.UDPConn)
	// The kernel caps the sizes; a smaller buffer costs drops under bursts,
	// not correctness.
	_ = conn.SetReadBuffer(socketBuffer)
	_ = conn.SetWriteBuffer(socketBuffer)
	if err := attachSpray(conn, spray); err != nil {
		_ = conn.Close()
		return nil, errors.Wrapf(err, "spray on %s", address)
	}
	local := conn.LocalAddr().(*net.UDPAddr).AddrPort()
	return &Socket{conn: conn, batch: ipv4.NewPacketConn(conn), addr: local}, nil
}

// share lets several sockets bind the address.
func share(c syscall.RawConn, spray Spray) error {
	if spray.Members <= 0 {
		return nil
	}
	return control(c, func(fd int) error {
		return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
}

func control(c syscall.RawConn, f func(fd int) error) error {
	var opErr error
	if err := c.Control(func(fd uintptr) { opErr = f(int(fd)) }); err != nil {
		return err
	}
	return opErr
}

// attachSpray makes the kernel pick a random socket of the group for every
// datagram: rand() modulo members. A number past the group, as after a death,
// falls back to the kernel's own choice. The socket must be bound already: one
// that has a program before it is bound counts as a group of its own, and the
// kernel refuses it the address.
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
	return control(c, func(fd int) error {
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_REUSEPORT_CBPF, &prog)
	})
}

// Addr returns the bound address.
func (s *Socket) Addr() netip.AddrPort { return s.addr }

// Close closes the socket; a Read in progress returns an error.
func (s *Socket) Close() error { return s.conn.Close() }

// Datagram is one received datagram.
type Datagram struct {
	From netip.AddrPort
	// Payload is valid until the next Read into the same Batch.
	Payload []byte
	// room is the buffer that Payload lies in, with the headroom before it.
	room []byte
}

// WithHeader returns the buffer of a payload that ends this datagram,
// preceded by encap.HeaderLen free bytes.
func (d *Datagram) WithHeader(payload []byte) []byte {
	end := len(d.room)
	return d.room[end-len(payload)-encap.HeaderLen : end]
}

// Batch is the memory of one batch in and one batch out. Sockets share batches
// through a pool, so that memory grows with the workers, not with the sockets.
type Batch struct {
	in      []ipv4.Message
	buffers [][]byte
	read    []Datagram

	out    []ipv4.Message
	addrs  []net.UDPAddr
	ips    [][4]byte
	queued int
	// via is the socket that the queued datagrams leave through.
	via *Socket
}

// NewBatch allocates a batch.
func NewBatch() *Batch {
	b := &Batch{
		in:      make([]ipv4.Message, BatchSize),
		buffers: make([][]byte, BatchSize),
		out:     make([]ipv4.Message, BatchSize),
		addrs:   make([]net.UDPAddr, BatchSize),
		ips:     make([][4]byte, BatchSize),
	}
	for i := range b.in {
		b.buffers[i] = make([]byte, encap.HeaderLen+bufferLen)
		b.in[i].Buffers = [][]byte{b.buffers[i][encap.HeaderLen:]}
		b.out[i].Buffers = make([][]byte, 1)
		b.out[i].Addr = &b.addrs[i]
	}
	return b
}

// Wait blocks until the socket is readable or closed.
func (s *Socket) Wait() error {
	raw, err := s.conn.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Read(pollIn)
}

// pollIn looks, without waiting, whether there is something to read.
func pollIn(fd uintptr) bool {
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
	n, err := unix.Poll(fds, 0)
	return err != nil || n > 0
}

// Read receives one batch, valid until the next Read into the same Batch.
func (s *Socket) Read(b *Batch) ([]Datagram, error) {
	n, err := s.batch.ReadBatch(b.in, 0)
	if err != nil {
		return nil, err
	}
	b.read = b.read[:0]
	for i := range n {
		m := &b.in[i]
		from, ok := m.Addr.(*net.UDPAddr)
		if !ok {
			continue
		}
		whole := b.buffers[i][:encap.HeaderLen+m.N]
		ap := netip.AddrPortFrom(from.AddrPort().Addr().Unmap(), from.AddrPort().Port())
		b.read = append(b.read, Datagram{From: ap, Payload: whole[encap.HeaderLen:], room: whole})
	}
	return b.read, nil
}

// Queue adds a datagram to leave through via; buf must stay untouched until
// Flush. It returns how many datagrams were lost by a flush that it forced.
func (b *Batch) Queue(via *Socket, to netip.AddrPort, buf []byte) int {
	lost := 0
	if b.queued == BatchSize || (b.queued > 0 && b.via != via) {
		lost = b.Flush()
	}
	i := b.queued
	b.via = via
	b.ips[i] = to.Addr().As4()
	b.addrs[i].IP = b.ips[i][:]
	b.addrs[i].Port = int(to.Port())
	b.out[i].Buffers[0] = buf
	b.queued++
	return lost
}

// Flush sends what is queued and returns how many datagrams were lost. One
// that the kernel refuses is skipped: QUIC repairs losses.
func (b *Batch) Flush() int {
	lost := 0
	for off := 0; off < b.queued; {
		n, err := b.via.batch.WriteBatch(b.out[off:b.queued], 0)
		if err != nil || n == 0 {
			lost++
			n = 1
		}
		off += n
	}
	b.queued = 0
	return lost
}

// WriteTo sends one datagram; it is safe for concurrent use.
func (s *Socket) WriteTo(buf []byte, to netip.AddrPort) error {
	_, err := s.conn.WriteToUDPAddrPort(buf, to)
	return err
}
