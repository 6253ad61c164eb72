package agent

import (
	"net"
	"sync"

	"github.com/go-faster/errors"
)

var errSealed = errors.New("connection is sealed")

// trackedConn counts the bytes written to a target and can be sealed: after
// seal returns nothing more is written, so the count then tells for sure
// whether a request may have reached the target.
type trackedConn struct {
	net.Conn

	// mu orders writes with seal. A write in progress holds it, so seal first
	// closes the connection, which ends the write.
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

// mark returns the bytes written so far.
func (c *trackedConn) mark() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// seal stops all writing and returns the bytes written in all.
func (c *trackedConn) seal() int64 {
	_ = c.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.written
}
