package standin

import (
	"context"
	"net"
	"sync"
	"time"
)

// pieceTime is how long the pieces take that a link lets through at a time.
const pieceTime = 5 * time.Millisecond

// Link is a VM's link of a bounded rate: the connections dialed over it share it
// in the direction towards the dialer. It is safe for concurrent use.
type Link struct {
	// bytesPerSecond is the rate; zero is no bound.
	bytesPerSecond int

	// mu guards free.
	mu sync.Mutex
	// free is when the bytes let through so far have passed.
	free time.Time
}

// NewLink returns a link of a rate in bytes a second.
func NewLink(bytesPerSecond int) *Link { return &Link{bytesPerSecond: bytesPerSecond} }

// DialContext opens a connection whose bytes towards the dialer pass the link.
func (l *Link) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &pacedConn{Conn: conn, link: l}, nil
}

// piece is how many of the wanted bytes may be read at a time.
func (l *Link) piece(wanted int) int {
	if l.bytesPerSecond == 0 {
		return wanted
	}
	return min(wanted, max(1, int(int64(l.bytesPerSecond)*int64(pieceTime)/int64(time.Second))))
}

// pass waits until n bytes have passed the link.
func (l *Link) pass(n int) {
	if l.bytesPerSecond == 0 {
		return
	}
	l.mu.Lock()
	now := time.Now()
	if l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(n) * time.Second / time.Duration(l.bytesPerSecond))
	wait := l.free.Sub(now)
	l.mu.Unlock()
	time.Sleep(wait)
}

type pacedConn struct {
	net.Conn
	link *Link
}

// Read implements net.Conn.
func (c *pacedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b[:c.link.piece(len(b))])
	c.link.pass(n)
	return n, err
}
