package packetfront

import (
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/poppywall/poppywall/platform"
	"github.com/poppywall/poppywall/standin"
	"github.com/poppywall/poppywall/store"
)

// TestConfigurationsTravelCompressed, and plain to one that does not ask for it.
func TestConfigurationsTravelCompressed(t *testing.T) {
	s := standin.NewStore(time.Now)
	size := putGrown(t, s, 1, grownRoutes)
	resp, err := s.Range(t.Context(), store.RangeRequest{Key: platform.ConfigKey})
	require.NoError(t, err)
	raw := resp.KVs[0].Value
	f := &Front{log: zap.NewNop(), stored: &storedConfig{raw: raw}}
	server := httptest.NewServer(f.peerHandler())
	defer server.Close()

	got, err := fetchConfig(t.Context(), newPeerClient(), netip.MustParseAddrPort(server.Listener.Addr().String()))
	require.NoError(t, err)
	require.Equal(t, raw, got)
	for encoding, want := range map[string]struct{ least, most int }{"gzip": {size / 10, size * 2 / 3}, "identity": {size, size}} {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL+pathConfig, nil)
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
	f := &Front{log: zap.NewNop(), stored: &storedConfig{raw: raw}}
	server := httptest.NewServer(f.peerHandler())
	defer server.Close()
	client := newPeerClient()
	client.Transport.(*http.Transport).DialContext = standin.NewLink(narrowLink).DialContext

	began := time.Now()
	got, err := fetchConfig(t.Context(), client, netip.MustParseAddrPort(server.Listener.Addr().String()))
	require.NoError(t, err)
	require.Equal(t, raw, got)
	require.Greater(t, time.Since(began), peerTimeout, "the link was slow enough")
}
