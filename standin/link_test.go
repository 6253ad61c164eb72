package standin

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// serveBytes listens on loopback and sends size bytes on each connection.
func serveBytes(t *testing.T, size int) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				_, _ = conn.Write(make([]byte, size))
			}()
		}
	}()
	return ln
}

// TestLinkAndProxyLimitTheRateOfAllConnectionsTogether checks that connections share the rate
// of a link and of a rate-limited proxy, and do not get the whole rate each.
func TestLinkAndProxyLimitTheRateOfAllConnectionsTogether(t *testing.T) {
	const size, rate = 50_000, 500_000
	ln := serveBytes(t, size)
	link := NewLink(rate)
	proxy, err := NewProxy(ln.Addr().String())
	require.NoError(t, err)
	defer proxy.Close()
	proxy.LimitRate(rate)
	overLink := func() (net.Conn, error) { return link.DialContext(t.Context(), "tcp4", ln.Addr().String()) }
	overProxy := func() (net.Conn, error) { return net.Dial("tcp4", proxy.Addr()) }
	for name, dial := range map[string]func() (net.Conn, error){"link": overLink, "proxy": overProxy} {
		start := time.Now()
		received := make(chan int64)
		for range 2 {
			conn, err := dial()
			require.NoError(t, err)
			go func() {
				defer func() { _ = conn.Close() }()
				n, _ := io.Copy(io.Discard, conn)
				received <- n
			}()
		}
		require.EqualValues(t, 2*size, <-received+<-received, name)
		require.GreaterOrEqual(t, time.Since(start), 2*size*time.Second/rate, name)
	}
}
