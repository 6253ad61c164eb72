package packetfront

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/poppywall/poppywall/balancer/operator"
	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/fleet/configcopy"
	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/platform"
	"github.com/poppywall/poppywall/platform/platformtest"
	"github.com/poppywall/poppywall/settings"
	"github.com/poppywall/poppywall/standin"
	"github.com/poppywall/poppywall/store"
	"github.com/poppywall/poppywall/telemetry"
	"github.com/poppywall/poppywall/worker"
)

// startFront returns a running front in zone z1; see newFront for the parameters.
func startFront(t *testing.T, node int, store string) *Front {
	f := newFront(t, node, store, "z1")
	t.Cleanup(worker.Start(f.Run))
	return f
}

// newFront returns a front at 127.0.NODE.1 that uses a store and does not run yet.
func newFront(t *testing.T, node int, store, zone string) *Front {
	t.Helper()
	at := func(node, port int) string { return fmt.Sprintf("127.0.%d.1:%d", node, port) }
	cfg := Defaults()
	cfg.Name, cfg.Zone, cfg.Store = "b", zone, store
	cfg.Data, cfg.Internal, cfg.Ready = at(node, 22001), at(node, 22002), at(node, 22003)
	cfg.Seeds = []string{at(71, 22004), at(81, 22004)}
	cfg.LeaveDelay = settings.Duration(0)
	f, err := NewFront(cfg, zap.NewNop())
	require.NoError(t, err)
	return f
}

// version returns the configuration version in force at a front.
func (f *Front) version() (v int64) {
	f.locked(func(time.Time) { v = f.core.ConfigVersion() })
	return v
}

// serveStore serves a store and returns its address.
func serveStore(t *testing.T, s *standin.Store) string {
	server := httptest.NewServer(platformtest.NewStoreHandler(s))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// silentStore returns the address of a store that accepts calls but never answers.
func silentStore(t *testing.T) string {
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	t.Cleanup(func() { close(release); server.Close() })
	return server.Listener.Addr().String()
}

// newProxy returns a proxy in front of an address.
func newProxy(t *testing.T, address string) *standin.Proxy {
	proxy, err := standin.NewProxy(address)
	require.NoError(t, err)
	t.Cleanup(proxy.Close)
	return proxy
}

func putVersion(t *testing.T, s *standin.Store, version int64) {
	t.Helper()
	require.NoError(t, platformtest.PutConfig(s, &flow.Config{Version: version, IdleTimeout: time.Second, Routes: config(1).Routes}))
}

// TestConfigurationComesThroughPeers: a balancer that gets no answer from the store fetches
// the configuration and its changes from another balancer as soon as it has seen that one,
// without waiting for its own calls to time out.
func TestConfigurationComesThroughPeers(t *testing.T) {
	s := standin.NewStore(time.Now)
	putVersion(t, s, 3)
	first := startFront(t, 71, serveStore(t, s))
	require.Eventually(t, func() bool { return first.version() == 3 }, 5*time.Second, 5*time.Millisecond)
	cutOff := startFront(t, 72, silentStore(t))
	began := time.Now()
	require.Eventually(t, func() bool { return cutOff.version() == 3 }, 5*time.Second, 5*time.Millisecond)
	require.Less(t, time.Since(began), operator.StoreTimeout, "before the first call to the store timed out")
	putVersion(t, s, 4)
	require.Eventually(t, func() bool { return first.version() == 4 && cutOff.version() == 4 }, 5*time.Second, 5*time.Millisecond)
}

// TestOnlyFeedersWatchTheStore: not all balancers of a zone watch the store, and each
// change of the configuration is still in force at all of them promptly.
func TestOnlyFeedersWatchTheStore(t *testing.T) {
	s := standin.NewStore(time.Now)
	putVersion(t, s, 1)
	address := serveStore(t, s)
	var fronts []*Front
	for node := 71; node < 76; node++ {
		fronts = append(fronts, startFront(t, node, address))
	}
	feeders := func() (n int) {
		for _, f := range fronts {
			f.locked(func(now time.Time) {
				if f.core.MustFeed(now) {
					n++
				}
			})
		}
		return n
	}
	// A balancer that is not among the first of its zone feeds only until it sees enough feeders.
	require.Eventually(t, func() bool { return feeders() < len(fronts) }, 10*time.Second, 20*time.Millisecond)
	for version := int64(2); version < 5; version++ {
		putVersion(t, s, version)
		require.Eventually(t, func() bool {
			for _, f := range fronts {
				if f.version() != version {
					return false
				}
			}
			return true
		}, 3*time.Second, 5*time.Millisecond, "version %d", version)
	}
}

// TestConfigurationFollowsTheStore: also after an outage of the store and a compaction of its
// history.
func TestConfigurationFollowsTheStore(t *testing.T) {
	s := standin.NewStore(time.Now)
	address := serveStore(t, s)
	f := startFront(t, 73, address)
	time.Sleep(50 * time.Millisecond)
	require.Zero(t, f.version(), "the store holds none yet")
	for version := int64(1); version <= 3; version++ {
		putVersion(t, s, version)
		require.Eventually(t, func() bool { return f.version() == version }, 5*time.Second, 5*time.Millisecond)
		s.Down(true)
		putVersion(t, s, version+10)
		s.Compact()
		s.Down(false)
		require.Eventually(t, func() bool { return f.version() == version+10 }, 5*time.Second, 5*time.Millisecond)
		f.locked(func(now time.Time) { f.core.forgetConfig(now) })
	}
}

// TestReadinessIsServed: 503 before the first configuration, 200 after it.
func TestReadinessIsServed(t *testing.T) {
	s := standin.NewStore(time.Now)
	address := serveStore(t, s)
	f := startFront(t, 74, address)
	status := func() int {
		resp, err := http.Get("http://" + netip.MustParseAddrPort(f.cfg.Ready).String() + "/poppywall/ready")
		if err != nil {
			return 0
		}
		_ = resp.Body.Close()
		return resp.StatusCode
	}
	require.Eventually(t, func() bool { return status() == http.StatusServiceUnavailable }, 5*time.Second, 5*time.Millisecond)
	putVersion(t, s, 1)
	require.Eventually(t, func() bool { return status() == http.StatusOK }, 5*time.Second, 5*time.Millisecond)
}

// TestPeersAreAskedOnFreshConnections: a fetch over an earlier connection would hang if that
// connection had gone silent.
func TestPeersAreAskedOnFreshConnections(t *testing.T) {
	peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("c")) }))
	defer peer.Close()
	proxy, err := standin.NewProxy(peer.Listener.Addr().String())
	require.NoError(t, err)
	defer proxy.Close()
	client := configcopy.NewClient(nil)
	for range 3 {
		_, err = client.Fetch(t.Context(), netip.MustParseAddrPort(proxy.Addr()))
		require.NoError(t, err)
		proxy.Blackhole()
	}
}

// TestConfigurationIsFollowedAfterConnectionsWentSilent: a change that the watch missed
// because its connection went silent is in force within CatchUpWithin.
func TestConfigurationIsFollowedAfterConnectionsWentSilent(t *testing.T) {
	s := standin.NewStore(time.Now)
	putVersion(t, s, 3)
	proxy := newProxy(t, serveStore(t, s))
	f := startFront(t, 77, proxy.Addr())
	require.Eventually(t, func() bool { return f.version() == 3 }, 5*time.Second, 5*time.Millisecond)
	time.Sleep(50 * time.Millisecond)
	proxy.Blackhole()
	putVersion(t, s, 4)
	require.Eventually(t, func() bool { return f.version() == 4 }, f.cfg.CatchUpWithin.D(), 5*time.Millisecond)
}

// TestAFollowerThatItsPeersDoNotServeReadsTheStore: a balancer that does not watch the store
// learns of a newer configuration from beacons, but all its fetches from peers fail.
func TestAFollowerThatItsPeersDoNotServeReadsTheStore(t *testing.T) {
	s := standin.NewStore(time.Now)
	putVersion(t, s, 1)
	address := serveStore(t, s)
	// Two feeders of the zone and one of another zone: with these the follower does not feed.
	startFront(t, 81, address)
	startFront(t, 82, address)
	t.Cleanup(worker.Start(newFront(t, 83, address, "z2").Run))
	follower := newFront(t, 84, address, "z1")
	follower.source.Peers = configcopy.NewClient(func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	t.Cleanup(worker.Start(follower.Run))
	feeds := func() (feeding bool) {
		follower.locked(func(now time.Time) { feeding = follower.core.MustFeed(now) })
		return feeding
	}
	require.Eventually(t, func() bool { return follower.version() == 1 && !feeds() }, 10*time.Second, 20*time.Millisecond)
	// Wait until its own watch has ended without an answer; from then on it relies on the others.
	time.Sleep(operator.FollowTime(follower.cfg.CatchUpWithin.D()) - operator.StoreTimeout + 200*time.Millisecond)

	for version := int64(2); version < 5; version++ {
		putVersion(t, s, version)
		require.Eventually(t, func() bool { return follower.version() == version }, maxConfigDelay, 5*time.Millisecond, "version %d", version)
	}
}

// TestConfigurationIsFetchedFromAnAgentWhenNoBalancerHasOne: all balancers have restarted, the
// store does not answer, and one of the two agents has a damaged copy.
func TestConfigurationIsFetchedFromAnAgentWhenNoBalancerHasOne(t *testing.T) {
	s := standin.NewStore(time.Now)
	putVersion(t, s, 7)
	resp, err := s.Range(t.Context(), store.RangeRequest{Key: platform.ConfigKey})
	require.NoError(t, err)
	f := startFront(t, 95, silentStore(t))
	began := time.Now()
	for i, raw := range [][]byte{resp.KVs[0].Value, resp.KVs[0].Value[:20]} {
		address := netip.MustParseAddrPort(fmt.Sprintf("127.0.%d.1:%d", 96+i, f.port))
		configCopy := configcopy.NewCopy(raw)
		ctx, stop := context.WithCancel(t.Context())
		t.Cleanup(stop)
		go func() {
			_ = telemetry.ServeHTTP(ctx, address.String(), configcopy.Handler(func() *configcopy.Copy { return configCopy }, zap.NewNop()))
		}()
		a := fleet.Announcement{MessageID: fleet.MessageID{ProcessIncarnation: 1, Seq: 1}, Service: alpha, State: fleet.Ready, Slots: 4, ConfigVersion: 7}
		f.locked(func(now time.Time) { f.core.HandleNode(now, flow.FromAddr(address.Addr()), a.Append(nil)) })
	}
	require.Eventually(t, func() bool { return f.version() == 7 }, 3*time.Second, time.Millisecond)
	require.Less(t, time.Since(began), operator.StoreTimeout, "before the first call to the store timed out")
}
