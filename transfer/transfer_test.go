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

const silence = 100 * time.Millisecond

// call asks a handler; pace is the pause after each piece of 32 KiB.
func call(t *testing.T, l Limits, handler http.HandlerFunc) (Answer, error) {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.CloseClientConnections)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL, nil)
	require.NoError(t, err)
	return Do(server.Client(), req, l)
}

// pieces writes count pieces with a pause after each.
func pieces(count, size int, pause time.Duration) http.HandlerFunc {
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
	limits := Limits{Begin: silence, Silence: silence, Most: 1 << 20}
	forever := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	for name, c := range map[string]struct {
		handler http.HandlerFunc
		want    error
		began   bool
		body    int
	}{
		"whole":                    {pieces(1, 100, 0), nil, true, 100},
		"empty":                    {pieces(0, 0, 0), nil, true, 0},
		"longer than every bound":  {pieces(20, leastPiece, silence/4), nil, true, 20 * leastPiece},
		"as large as allowed":      {pieces(16, 64<<10, 0), nil, true, 1 << 20},
		"larger":                   {pieces(17, 64<<10, 0), ErrTooLarge, true, 0},
		"no header":                {forever, ErrSilent, false, 0},
		"silent behind the header": {pieces(1, 10, time.Second), ErrSilent, true, 0},
		"silent in the midst":      {pieces(2, 2*leastPiece, time.Second), ErrSilent, true, 0},
		"a trickle":                {pieces(100, 100, silence/10), ErrSilent, true, 0},
		"announced as larger at once": {func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Length", "2000000")
			w.(http.Flusher).Flush()
			forever(w, r)
		}, ErrTooLarge, true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			answer, err := call(t, limits, c.handler)
			if c.want == nil {
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, answer.Status)
				require.True(t, bytes.Equal(make([]byte, c.body), answer.Body))
				return
			}
			require.ErrorIs(t, err, c.want)
			var e *Error
			require.ErrorAs(t, err, &e)
			require.Equal(t, c.began, e.Began)
		})
	}
}

// TestARefusedConnectionIsTold, for a call that never left may be made again.
func TestARefusedConnectionIsTold(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	address := ln.Addr().String()
	require.NoError(t, ln.Close())
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address, nil)
	require.NoError(t, err)
	_, err = Do(http.DefaultClient, req, Limits{Begin: time.Second, Silence: time.Second, Most: 1})
	var op *net.OpError
	require.ErrorAs(t, err, &op)
	require.Equal(t, "dial", op.Op)
}
