package relay

import (
	"context"
	"net"
	"net/netip"
	"sync"

	"github.com/go-faster/errors"
)

// Datagrams is a UDP socket that moves one datagram a call, for the rates of a
// node with a small share of a core. It is safe for concurrent use.
type Datagrams struct {
	conn *net.UDPConn

	// mu guards out, the scratch space in which head and packet are joined.
	mu  sync.Mutex
	out []byte
}

// maxDatagram bounds what is read: an envelope, a packet and some room.
const maxDatagram = 4096

// OpenDatagrams opens a socket on the address.
func OpenDatagrams(address netip.AddrPort) (*Datagrams, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	// The kernel caps the sizes; a smaller buffer costs drops under bursts, not
	// correctness.
	_ = conn.SetReadBuffer(socketBuffer)
	_ = conn.SetWriteBuffer(socketBuffer)
	return &Datagrams{conn: conn, out: make([]byte, 0, maxDatagram)}, nil
}

// Addr returns the bound address.
func (d *Datagrams) Addr() netip.AddrPort { return d.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// Send sends head and packet as one datagram. A datagram that the kernel does
// not take is lost like any other; the error is for counting.
func (d *Datagrams) Send(to netip.AddrPort, head, packet []byte) error {
	if len(head) == 0 {
		_, err := d.conn.WriteToUDPAddrPort(packet, to)
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.out = append(append(d.out[:0], head...), packet...)
	_, err := d.conn.WriteToUDPAddrPort(d.out, to)
	return err
}

// Serve hands each datagram to handle until ctx ends; the slice is reused.
func (d *Datagrams) Serve(ctx context.Context, handle func(from netip.AddrPort, datagram []byte)) error {
	stop := context.AfterFunc(ctx, func() { _ = d.conn.Close() })
	defer stop()
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := d.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// A refusal of an earlier datagram is reported here; the socket goes on.
			continue
		}
		handle(from, buf[:n])
	}
}
