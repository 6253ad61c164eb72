package configcopy

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/poppywall/poppywall/standin"
	"github.com/poppywall/poppywall/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

const (
	// slowLinkRate is the link rate of a small balancer VM, 10 Mbit/s, in bytes per second.
	slowLinkRate = 1_250_000
	// largeRouteCount is the number of routes of a configuration of 0.7 MB.
	largeRouteCount = 4300
)

// largeConfiguration returns a configuration of many routes with names that hardly compress.
func largeConfiguration() []byte {
	rnd := rand.New(rand.NewPCG(1, 1))
	var b bytes.Buffer
	for range largeRouteCount {
		fmt.Fprintf(&b, `{"name":"r-%016x%016x%016x%016x%016x","host":"198.18.0.1","prefix":"/443/","service":"alpha"},`,
			rnd.Uint64(), rnd.Uint64(), rnd.Uint64(), rnd.Uint64(), rnd.Uint64())
	}
	return b.Bytes()
}

// serve serves a copy and returns the server and its address.
func serve(t *testing.T, c *Copy) (*httptest.Server, netip.AddrPort) {
	t.Helper()
	server := httptest.NewServer(Handler(func() *Copy { return c }, zap.NewNop()))
	t.Cleanup(server.Close)
	return server, netip.MustParseAddrPort(server.Listener.Addr().String())
}

// TestHandlerCompressesOnRequest checks that a configuration is sent compressed if the client
// accepts it, and as it is stored otherwise.
func TestHandlerCompressesOnRequest(t *testing.T) {
	raw := largeConfiguration()
	size := len(raw)
	server, address := serve(t, NewCopy(raw))
	got, err := NewClient(nil).Fetch(t.Context(), address)
	require.NoError(t, err)
	require.Equal(t, raw, got)
	for encoding, want := range map[string]struct{ least, most int }{"gzip": {size / 10, size * 2 / 3}, "identity": {size, size}} {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL+Path, nil)
		require.NoError(t, err)
		req.Header.Set("Accept-Encoding", encoding)
		response, err := http.DefaultClient.Do(req)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.GreaterOrEqual(t, response.ContentLength, int64(want.least), encoding)
		require.LessOrEqual(t, response.ContentLength, int64(want.most), encoding)
	}
}

// TestFetchOverASlowLink guards against a fetch that is aborted although data arrives: on a
// slow link an incompressible configuration takes longer than beginTimeout.
func TestFetchOverASlowLink(t *testing.T) {
	raw := make([]byte, 1<<20)
	for i := range raw {
		raw[i] = byte(rand.Uint32())
	}
	_, address := serve(t, NewCopy(raw))
	client := NewClient(standin.NewLink(slowLinkRate).DialContext)

	began := time.Now()
	got, err := client.Fetch(t.Context(), address)
	require.NoError(t, err)
	require.Equal(t, raw, got)
	require.Greater(t, time.Since(began), beginTimeout, "the link is slow enough for this test")
}

// TestCopiesArePassedOnAsTheyCame checks that a copy which an agent keeps compressed serves
// the same configuration, and that the node that decompresses a damaged one gets an error.
func TestCopiesArePassedOnAsTheyCame(t *testing.T) {
	raw := largeConfiguration()
	_, origin := serve(t, NewCopy(raw))
	client := NewClient(nil)
	fetched, err := client.FetchCopy(t.Context(), origin)
	require.NoError(t, err)
	require.Less(t, len(fetched.Compressed()), len(raw)*2/3)
	server, agent := serve(t, fetched)
	got, err := client.Fetch(t.Context(), agent)
	require.NoError(t, err)
	require.Equal(t, raw, got)

	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL+Path, nil)
	require.NoError(t, err)
	req.Header.Set("Accept-Encoding", "identity")
	response, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusNotAcceptable, response.StatusCode)

	for name, damage := range map[string]func([]byte) []byte{
		"half":    func(b []byte) []byte { return b[:len(b)/2] },
		"a byte":  func(b []byte) []byte { b[len(b)/2] ^= 1; return b },
		"nothing": func([]byte) []byte { return []byte{} },
		"foreign": func([]byte) []byte { return []byte("no gzip") },
	} {
		_, damaged := serve(t, &Copy{compressed: damage(bytes.Clone(fetched.Compressed()))})
		_, err := client.Fetch(t.Context(), damaged)
		require.Error(t, err, name)
	}
	_, empty := serve(t, nil)
	_, err = client.FetchCopy(t.Context(), empty)
	require.Error(t, err)
}
