package transfer

import (
	"bytes"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const testStallTimeout = 300 * time.Millisecond

// call sends a request to a server with the handler.
func call(t *testing.T, l Limits, handler http.HandlerFunc) (Response, error) {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.CloseClientConnections)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL, nil)
	require.NoError(t, err)
	return Do(server.Client(), req, l)
}

// writeChunks writes count chunks of size bytes with a pause after each.
func writeChunks(count, size int, pause time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		for range count {
			if _, err := w.Write(make([]byte, size)); err != nil {
				return
			}
			w.(http.Flusher).Flush()
			time.Sleep(pause)
		}
	}
}

func TestDo(t *testing.T) {
	limits := Limits{HeaderTimeout: testStallTimeout, StallTimeout: testStallTimeout, MaxBody: 1 << 20}
	forever := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	for name, c := range map[string]struct {
		handler        http.HandlerFunc
		want           error
		headerReceived bool
		body           int
	}{
		"complete":                 {writeChunks(1, 100, 0), nil, true, 100},
		"empty":                    {writeChunks(0, 0, 0), nil, true, 0},
		"longer than the timeouts": {writeChunks(20, minProgress, testStallTimeout/4), nil, true, 20 * minProgress},
		"at the size limit":        {writeChunks(16, 64<<10, 0), nil, true, 1 << 20},
		"above the size limit":     {writeChunks(17, 64<<10, 0), ErrTooLarge, true, 0},
		"no header":                {forever, ErrStalled, false, 0},
		"stall after the header":   {writeChunks(1, 10, time.Second), ErrStalled, true, 0},
		"stall within the body":    {writeChunks(2, 2*minProgress, time.Second), ErrStalled, true, 0},
		"trickle":                  {writeChunks(100, 100, testStallTimeout/10), ErrStalled, true, 0},
		"Content-Length above the limit": {func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Length", "2000000")
			w.(http.Flusher).Flush()
			forever(w, r)
		}, ErrTooLarge, true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			response, err := call(t, limits, c.handler)
			if c.want == nil {
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, response.Status)
				require.True(t, bytes.Equal(make([]byte, c.body), response.Body))
				return
			}
			require.ErrorIs(t, err, c.want)
			var e *Error
			require.ErrorAs(t, err, &e)
			require.Equal(t, c.headerReceived, e.HeaderReceived)
		})
	}
}

// TestDoReportsRefusedConnection checks that the error reveals that dialing failed, so that
// a request that was never sent may be retried.
func TestDoReportsRefusedConnection(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	address := ln.Addr().String()
	require.NoError(t, ln.Close())
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address, nil)
	require.NoError(t, err)
	_, err = Do(http.DefaultClient, req, Limits{HeaderTimeout: time.Second, StallTimeout: time.Second, MaxBody: 1})
	var op *net.OpError
	require.ErrorAs(t, err, &op)
	require.Equal(t, "dial", op.Op)
}

// readSlowly reads size bytes in chunks, with a pause after each, until it fails.
func readSlowly(conn net.Conn, size int, pause time.Duration) (got int) {
	buf := make([]byte, minProgress)
	for got < size {
		n, err := conn.Read(buf)
		got += n
		if err != nil {
			return got
		}
		time.Sleep(pause)
	}
	return got
}

// TestWriteContinuesWhileClientReads checks that a response to a slow client is written
// completely, beyond the server's WriteTimeout, and that writing fails once the client stops
// reading.
func TestWriteContinuesWhileClientReads(t *testing.T) {
	// The kernel sometimes reopens a closed TCP window only after 200 ms.
	const size, stallTimeout = 16 << 20, time.Second
	for name, c := range map[string]struct {
		pause time.Duration
		whole bool
	}{"slow": {2 * time.Millisecond, true}, "stopped": {20 * stallTimeout, false}} {
		written := make(chan error, 1)
		server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			written <- Write(w, make([]byte, size), stallTimeout)
		}))
		server.Config.WriteTimeout = stallTimeout
		server.Start()
		conn, err := net.Dial("tcp4", server.Listener.Addr().String())
		require.NoError(t, err)
		// With a small receive window, each read lets the writer continue at once.
		require.NoError(t, conn.(*net.TCPConn).SetReadBuffer(4*minProgress))
		_, err = conn.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
		require.NoError(t, err)
		start := time.Now()
		got := make(chan int, 1)
		go func() { got <- readSlowly(conn, size, c.pause) }()
		err = <-written
		if c.whole {
			require.NoError(t, err, name)
			require.GreaterOrEqual(t, <-got, size, name)
			require.Greater(t, time.Since(start), stallTimeout, "longer than the server's WriteTimeout")
		} else {
			require.Error(t, err, name)
		}
		_ = conn.Close()
		server.Close()
	}
}
