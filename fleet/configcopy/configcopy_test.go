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
	// narrowLink is the link of a small balancer VM, 10 Mbit/s, in bytes a second.
	narrowLink = 1_250_000
	// grownRoutes make a configuration of 0.7 MB.
	grownRoutes = 4300
)

// grown is a configuration of many routes with names that hardly compress.
func grown() []byte {
	rnd := rand.New(rand.NewPCG(1, 1))
	var b bytes.Buffer
	for range grownRoutes {
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

// TestConfigurationsTravelCompressed, and plain to one that does not ask for it.
func TestConfigurationsTravelCompressed(t *testing.T) {
	raw := grown()
	size := len(raw)
	server, address := serve(t, Stored(raw))
	got, err := NewClient(nil).Fetch(t.Context(), address)
	require.NoError(t, err)
	require.Equal(t, raw, got)
	for encoding, want := range map[string]struct{ least, most int }{"gzip": {size / 10, size * 2 / 3}, "identity": {size, size}} {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL+Path, nil)
		require.NoError(t, err)
		req.Header.Set("Accept-Encoding", encoding)
		answer, err := http.DefaultClient.Do(req)
		require.NoError(t, err)
		require.NoError(t, answer.Body.Close())
		require.GreaterOrEqual(t, answer.ContentLength, int64(want.least), encoding)
		require.LessOrEqual(t, answer.ContentLength, int64(want.most), encoding)
	}
}

// TestPeersAreAskedOverSlowLinks: what hardly compresses takes longer than a
// balancer may take to begin its answer.
func TestPeersAreAskedOverSlowLinks(t *testing.T) {
	raw := make([]byte, 1<<20)
	for i := range raw {
		raw[i] = byte(rand.Uint32())
	}
	_, address := serve(t, Stored(raw))
	client := NewClient(standin.NewLink(narrowLink).DialContext)

	began := time.Now()
	got, err := client.Fetch(t.Context(), address)
	require.NoError(t, err)
	require.Equal(t, raw, got)
	require.Greater(t, time.Since(began), peerTimeout, "the link was slow enough")
}

// TestCopiesArePassedOnAsTheyCame: an agent's copy, unpacked nowhere on the way, serves
// the same configuration; one that was damaged is found by who unpacks it.
func TestCopiesArePassedOnAsTheyCame(t *testing.T) {
	raw := grown()
	_, origin := serve(t, Stored(raw))
	client := NewClient(nil)
	kept, err := client.FetchCopy(t.Context(), origin)
	require.NoError(t, err)
	require.Less(t, len(kept.Packed()), len(raw)*2/3)
	server, agent := serve(t, kept)
	got, err := client.Fetch(t.Context(), agent)
	require.NoError(t, err)
	require.Equal(t, raw, got)

	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL+Path, nil)
	require.NoError(t, err)
	req.Header.Set("Accept-Encoding", "identity")
	answer, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	require.NoError(t, answer.Body.Close())
	require.Equal(t, http.StatusNotAcceptable, answer.StatusCode)

	for name, damage := range map[string]func([]byte) []byte{
		"half":    func(b []byte) []byte { return b[:len(b)/2] },
		"a byte":  func(b []byte) []byte { b[len(b)/2] ^= 1; return b },
		"nothing": func([]byte) []byte { return []byte{} },
		"foreign": func([]byte) []byte { return []byte("no gzip") },
	} {
		_, poisoned := serve(t, &Copy{packed: damage(bytes.Clone(kept.Packed()))})
		_, err := client.Fetch(t.Context(), poisoned)
		require.Error(t, err, name)
	}
	_, none := serve(t, nil)
	_, err = client.FetchCopy(t.Context(), none)
	require.Error(t, err)
}
