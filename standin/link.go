package standin

import (
	"context"
	"net"
	"sync"
	"time"
)

// chunkTime is the transmission time of the largest chunk that one read takes off a
// rate-limited link.
const chunkTime = 5 * time.Millisecond

// Link simulates a VM's network link of limited rate. All connections dialed over it
// share the rate in the direction towards the dialer; the other direction is not
// limited. It is safe for concurrent use.
type Link struct {
	// bytesPerSecond is the rate; zero is unlimited.
	bytesPerSecond int

	// mu guards busyUntil.
	mu sync.Mutex
	// busyUntil is when the transmission of all bytes accepted so far ends.
	busyUntil time.Time
}

// NewLink returns a link with a rate in bytes per second; zero is unlimited.
func NewLink(bytesPerSecond int) *Link { return &Link{bytesPerSecond: bytesPerSecond} }

// DialContext opens a connection whose inbound bytes share the link's rate.
func (l *Link) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &linkConn{Conn: conn, link: l}, nil
}

// chunkSize returns how many of the wanted bytes one read may take.
func (l *Link) chunkSize(wanted int) int {
	if l.bytesPerSecond == 0 {
		return wanted
	}
	return min(wanted, max(1, int(int64(l.bytesPerSecond)*int64(chunkTime)/int64(time.Second))))
}

// transmit queues n bytes on the link and waits until they are transmitted.
func (l *Link) transmit(n int) {
	if l.bytesPerSecond == 0 {
		return
	}
	l.mu.Lock()
	now := time.Now()
	if l.busyUntil.Before(now) {
		l.busyUntil = now
	}
	l.busyUntil = l.busyUntil.Add(time.Duration(n) * time.Second / time.Duration(l.bytesPerSecond))
	wait := l.busyUntil.Sub(now)
	l.mu.Unlock()
	time.Sleep(wait)
}

// linkConn is a connection whose reads are limited to the rate of a link.
type linkConn struct {
	net.Conn
	link *Link
}

// Read implements net.Conn.
func (c *linkConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b[:c.link.chunkSize(len(b))])
	c.link.transmit(n)
	return n, err
}
