package agent

import (
	"net"
	"sync"

	"github.com/go-faster/errors"
)

var errSealed = errors.New("connection is closed for writing")

// trackedConn counts the bytes written to a target. After seal returns, no more
// bytes are written, so the count is final and shows whether a request may have
// reached the target.
type trackedConn struct {
	net.Conn

	// mu serialises Write and seal. A write in progress holds it, so seal first
	// closes the connection to unblock the write.
	mu      sync.Mutex
	written int64
	sealed  bool
}

// Write implements net.Conn.
func (c *trackedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return 0, errSealed
	}
	n, err := c.Conn.Write(b)
	c.written += int64(n)
	return n, err
}

// bytesWritten returns the number of bytes written so far.
func (c *trackedConn) bytesWritten() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// seal closes the connection, prevents further writes, and returns the total
// number of bytes written.
func (c *trackedConn) seal() int64 {
	_ = c.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.written
}
