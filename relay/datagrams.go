package relay

import (
	"context"
	"net"
	"net/netip"
	"sync"

	"github.com/go-faster/errors"
)

// DatagramSocket is a UDP socket that sends or receives one datagram per system call,
// for nodes whose packet rate takes a small share of a core. It is safe for
// concurrent use.
type DatagramSocket struct {
	conn *net.UDPConn

	// mu guards sendBuffer, in which Send joins header and packet.
	mu         sync.Mutex
	sendBuffer []byte
}

// datagramBufferSize is the size in bytes of the receive buffer and the initial
// size of the send buffer. It exceeds the largest datagram, an envelope with a
// packet.
const datagramBufferSize = 4096

// OpenDatagramSocket binds a socket to the address.
func OpenDatagramSocket(address netip.AddrPort) (*DatagramSocket, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	// The kernel may cap the sizes. A smaller buffer drops more datagrams in
	// bursts but does not affect correctness.
	_ = conn.SetReadBuffer(socketBufferSize)
	_ = conn.SetWriteBuffer(socketBufferSize)
	return &DatagramSocket{conn: conn, sendBuffer: make([]byte, 0, datagramBufferSize)}, nil
}

// Addr returns the bound address.
func (d *DatagramSocket) Addr() netip.AddrPort { return d.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// Send sends header and packet as one datagram. The caller may ignore the error
// or count it: a datagram that the kernel rejects is lost like one dropped by the
// network.
func (d *DatagramSocket) Send(to netip.AddrPort, header, packet []byte) error {
	if len(header) == 0 {
		_, err := d.conn.WriteToUDPAddrPort(packet, to)
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sendBuffer = append(append(d.sendBuffer[:0], header...), packet...)
	_, err := d.conn.WriteToUDPAddrPort(d.sendBuffer, to)
	return err
}

// Serve calls handle for each received datagram until ctx is done. The slice is
// valid only during the call.
func (d *DatagramSocket) Serve(ctx context.Context, handle func(from netip.AddrPort, datagram []byte)) error {
	stop := context.AfterFunc(ctx, func() { _ = d.conn.Close() })
	defer stop()
	buf := make([]byte, datagramBufferSize)
	for {
		n, from, err := d.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// The kernel may report here that an earlier datagram was refused; the
			// socket remains usable.
			continue
		}
		handle(from, buf[:n])
	}
}
