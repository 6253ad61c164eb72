package gateway_test

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poppywall/poppywall/standin"
	"github.com/poppywall/poppywall/store/gateway"
	"github.com/poppywall/poppywall/store/storetest"
)

// TestContract runs the contract tests of package store over the etcd version 3 JSON
// protocol.
func TestContract(t *testing.T) {
	s := standin.NewStore(time.Now)
	server := httptest.NewServer(standin.Gateway(s))
	defer server.Close()
	storetest.Run(t, gateway.NewClient(server.URL, time.Second), s)
}

// TestClientReplacesStalledConnections checks that one failed call replaces all stalled
// connections. Responses are delayed by 20 ms so that concurrent calls open a connection
// each.
func TestClientReplacesStalledConnections(t *testing.T) {
	s := standin.NewStore(time.Now)
	s.SetFaults(standin.Faults{DelayMillis: 20})
	server := httptest.NewServer(standin.Gateway(s))
	defer server.Close()
	proxy, err := standin.NewProxy(strings.TrimPrefix(server.URL, "http://"))
	require.NoError(t, err)
	defer proxy.Close()
	storetest.CheckStalledConnections(t, gateway.NewClient("http://"+proxy.Addr(), 400*time.Millisecond), proxy.Blackhole)
}

// TestResponseOverSlowLink checks that a response that arrives slowly, but without a
// stall, is read to its end.
func TestResponseOverSlowLink(t *testing.T) {
	server := httptest.NewServer(standin.Gateway(standin.NewStore(time.Now)))
	defer server.Close()
	proxy, err := standin.NewProxy(strings.TrimPrefix(server.URL, "http://"))
	require.NoError(t, err)
	defer proxy.Close()
	storetest.CheckSlowLink(t, gateway.NewClient("http://"+proxy.Addr(), storetest.SlowLinkTimeout), proxy.LimitRate)
}
