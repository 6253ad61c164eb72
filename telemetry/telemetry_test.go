package telemetry

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestServerClosesStalledConnections checks that a peer that disappears without a reset does
// not hold a file descriptor forever, whether between requests, within a request header or
// while it reads nothing of the response.
func TestServerClosesStalledConnections(t *testing.T) {
	body := make([]byte, 16<<20)
	short := timeouts{header: 100 * time.Millisecond, write: 100 * time.Millisecond, idle: 100 * time.Millisecond}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	closed := make(chan struct{}, 16)
	server := short.newServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/large" {
			_, _ = w.Write(body)
		}
	}))
	server.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateClosed {
			closed <- struct{}{}
		}
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go func() { _ = serve(ctx, ln, server) }()
	for name, sent := range map[string]string{
		"between requests":  "GET / HTTP/1.1\r\nHost: a\r\n\r\n",
		"within a header":   "GET / HT",
		"within a response": "GET /large HTTP/1.1\r\nHost: a\r\n\r\n",
	} {
		conn, err := net.Dial("tcp4", ln.Addr().String())
		require.NoError(t, err)
		_, err = conn.Write([]byte(sent))
		require.NoError(t, err)
		if name == "between requests" {
			_, err = http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
		}
		select {
		case <-closed:
		case <-time.After(5 * time.Second):
			require.Fail(t, "connection is still open", name)
		}
		_ = conn.Close()
	}
}
