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

// startFront runs a front of zone z1; newFront tells the rest.
func startFront(t *testing.T, target int, store string) *Front {
	f := newFront(t, target, store, "z1")
	t.Cleanup(worker.Start(f.Run))
	return f
}

// newFront returns a front at 127.0.HOST.1 before a store, not running yet.
func newFront(t *testing.T, target int, store, zone string) *Front {
	t.Helper()
	at := func(target, port int) string { return fmt.Sprintf("127.0.%d.1:%d", target, port) }
	cfg := Defaults()
	cfg.Name, cfg.Zone, cfg.Store = "b", zone, store
	cfg.Data, cfg.Internal, cfg.Ready = at(target, 22001), at(target, 22002), at(target, 22003)
	cfg.Seeds = []string{at(71, 22004), at(81, 22004)}
	cfg.LeaveDelay = settings.Duration(0)
	f, err := NewFront(cfg, zap.NewNop())
	require.NoError(t, err)
	return f
}

// version returns the version in force at a front.
func (f *Front) version() (v int64) {
	f.locked(func(time.Time) { v = f.core.ConfigVersion() })
	return v
}

// serveStore serves a store and returns its address.
func serveStore(t *testing.T, s *standin.Store) string {
	server := httptest.NewServer(platformtest.Store(s))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// silentStore returns the address of a store that takes calls and answers none.
func silentStore(t *testing.T) string {
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	t.Cleanup(func() { close(release); server.Close() })
	return server.Listener.Addr().String()
}

// wayTo returns a proxy before an address.
func wayTo(t *testing.T, address string) *standin.Proxy {
	proxy, err := standin.NewProxy(address)
	require.NoError(t, err)
	t.Cleanup(proxy.Close)
	return proxy
}

func putVersion(t *testing.T, s *standin.Store, version int64) {
	t.Helper()
	require.NoError(t, platformtest.PutConfig(s, &flow.Config{Version: version, IdleTimeout: time.Second, Routes: config(1).Routes}))
}

// TestConfigurationComesThroughPeers: a balancer whose way to the store is cut
// in silence has a configuration as soon as it meets another one, and follows
// its changes; it need not wait for its own calls to time out.
func TestConfigurationComesThroughPeers(t *testing.T) {
	s := standin.NewStore(time.Now)
	putVersion(t, s, 3)
	first := startFront(t, 71, serveStore(t, s))
	require.Eventually(t, func() bool { return first.version() == 3 }, 5*time.Second, 5*time.Millisecond)
	cut := startFront(t, 72, silentStore(t))
	began := time.Now()
	require.Eventually(t, func() bool { return cut.version() == 3 }, 5*time.Second, 5*time.Millisecond)
	require.Less(t, time.Since(began), operator.StoreTimeout, "before the first call to the store was given up")
	putVersion(t, s, 4)
	require.Eventually(t, func() bool { return first.version() == 4 && cut.version() == 4 }, 5*time.Second, 5*time.Millisecond)
}

// TestFedBalancersLeaveTheStoreAlone: of many balancers of one zone two watch the
// store, all have a change at once, and others take over when those two end.
func TestFedBalancersLeaveTheStoreAlone(t *testing.T) {
	s := standin.NewStore(time.Now)
	putVersion(t, s, 1)
	address := serveStore(t, s)
	var fronts []*Front
	for target := 71; target < 76; target++ {
		fronts = append(fronts, startFront(t, target, address))
	}
	feeders := func() (n int) {
		for _, f := range fronts {
			f.locked(func(now time.Time) {
				if f.core.Feeds(now) {
					n++
				}
			})
		}
		return n
	}
	// Below the number that others rely on, all but those relied on feed.
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

// TestConfigurationFollowsTheStore through an outage and a dropped history.
func TestConfigurationFollowsTheStore(t *testing.T) {
	s := standin.NewStore(time.Now)
	address := serveStore(t, s)
	f := startFront(t, 73, address)
	time.Sleep(50 * time.Millisecond)
	require.Zero(t, f.version(), "there is none yet")
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

// TestReadinessIsServed: 503 before a configuration, 200 after.
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

// TestPeersAreAskedOnFreshConnections: an earlier one may have gone silent.
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
		proxy.Silence()
	}
}

// TestConfigurationIsFollowedAfterConnectionsWentSilent: a change that the watch
// missed is in force within the bound.
func TestConfigurationIsFollowedAfterConnectionsWentSilent(t *testing.T) {
	s := standin.NewStore(time.Now)
	putVersion(t, s, 3)
	proxy := wayTo(t, serveStore(t, s))
	f := startFront(t, 77, proxy.Addr())
	require.Eventually(t, func() bool { return f.version() == 3 }, 5*time.Second, 5*time.Millisecond)
	time.Sleep(50 * time.Millisecond)
	proxy.Silence()
	putVersion(t, s, 4)
	require.Eventually(t, func() bool { return f.version() == 4 }, f.cfg.CatchUpWithin.D(), 5*time.Millisecond)
}

// TestAFollowerThatItsPeersDoNotServeReadsTheStore: it hears from them that there
// is a newer configuration, but none of their answers gets through.
func TestAFollowerThatItsPeersDoNotServeReadsTheStore(t *testing.T) {
	s := standin.NewStore(time.Now)
	putVersion(t, s, 1)
	address := serveStore(t, s)
	// Two of the zone and one of another: these watch the store, whatever they hear.
	startFront(t, 81, address)
	startFront(t, 82, address)
	t.Cleanup(worker.Start(newFront(t, 83, address, "z2").Run))
	follower := newFront(t, 84, address, "z1")
	follower.source.Peers = configcopy.NewClient(func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	t.Cleanup(worker.Start(follower.Run))
	feeds := func() (yes bool) {
		follower.locked(func(now time.Time) { yes = follower.core.Feeds(now) })
		return yes
	}
	require.Eventually(t, func() bool { return follower.version() == 1 && !feeds() }, 10*time.Second, 20*time.Millisecond)
	// Its own watch ends without an answer, and it relies on the others from then on.
	time.Sleep(operator.FollowTime(follower.cfg.CatchUpWithin.D()) - operator.StoreTimeout + 200*time.Millisecond)

	for version := int64(2); version < 5; version++ {
		putVersion(t, s, version)
		require.Eventually(t, func() bool { return follower.version() == version }, inForceWithin, 5*time.Millisecond, "version %d", version)
	}
}

// TestAnAgentsCopyServesWhereNobodyElseHasOne: all balancers have restarted, the store
// does not answer, and one of the two agents has a copy that was damaged.
func TestAnAgentsCopyServesWhereNobodyElseHasOne(t *testing.T) {
	s := standin.NewStore(time.Now)
	putVersion(t, s, 7)
	resp, err := s.Range(t.Context(), store.RangeRequest{Key: platform.ConfigKey})
	require.NoError(t, err)
	f := startFront(t, 95, silentStore(t))
	began := time.Now()
	for i, raw := range [][]byte{resp.KVs[0].Value, resp.KVs[0].Value[:20]} {
		address := netip.MustParseAddrPort(fmt.Sprintf("127.0.%d.1:%d", 96+i, f.port))
		kept := configcopy.NewCopy(raw)
		ctx, stop := context.WithCancel(t.Context())
		t.Cleanup(stop)
		go func() {
			_ = telemetry.ServeHTTP(ctx, address.String(), configcopy.Handler(func() *configcopy.Copy { return kept }, zap.NewNop()))
		}()
		a := fleet.Announcement{MessageID: fleet.MessageID{Incarnation: 1, Seq: 1}, Service: alpha, State: fleet.Ready, Slots: 4, ConfigVersion: 7}
		f.locked(func(now time.Time) { f.core.HandleNode(now, flow.FromAddr(address.Addr()), a.Append(nil)) })
	}
	require.Eventually(t, func() bool { return f.version() == 7 }, 3*time.Second, time.Millisecond)
	require.Less(t, time.Since(began), operator.StoreTimeout, "before the first call to the store was given up")
}
