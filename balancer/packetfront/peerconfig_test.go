package packetfront

import (
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
	for encoding, least := range map[string]int{"gzip": size / 10, "identity": size} {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL+pathConfig, nil)
		require.NoError(t, err)
		req.Header.Set("Accept-Encoding", encoding)
		answer, err := http.DefaultClient.Do(req)
		require.NoError(t, err)
		require.NoError(t, answer.Body.Close())
		require.GreaterOrEqual(t, answer.ContentLength, int64(least), encoding)
		require.LessOrEqual(t, answer.ContentLength, int64(size), encoding)
	}
	require.Less(t, len(f.stored.gzipped()), size*2/3)
}
