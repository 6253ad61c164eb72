package packetfront

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poppywall/poppywall/fleet/configcopy"
	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/platform"
	"github.com/poppywall/poppywall/platform/platformtest"
	"github.com/poppywall/poppywall/standin"
	"github.com/poppywall/poppywall/store"
	"github.com/poppywall/poppywall/worker"
)

const (
	// narrowLink is the bandwidth of a small balancer VM, 10 Mbit/s, in bytes per second.
	narrowLink = 1_250_000
	// largeConfigRoutes is the number of routes of a configuration of 0.7 MB, maxConfigRoutes
	// of one close to the largest value that the store accepts, 1 MiB.
	largeConfigRoutes = 4300
	maxConfigRoutes   = 6350
	// maxConfigDelay is the maximum time until a new configuration is in force.
	maxConfigDelay = 3 * time.Second
)

// putLargeConfig stores a configuration of many routes, whose names hardly compress, and
// returns its size in bytes.
func putLargeConfig(t *testing.T, s *standin.Store, version int64, routes int) int {
	t.Helper()
	rnd := rand.New(rand.NewPCG(uint64(version), 1))
	c := &flow.Config{Version: version, IdleTimeout: time.Second, Routes: config(1).Routes}
	for i := range routes {
		name := fmt.Sprintf("r-%016x%016x%016x%016x%016x", rnd.Uint64(), rnd.Uint64(), rnd.Uint64(), rnd.Uint64(), rnd.Uint64())
		c.Routes[flow.Front{IP: 0xc6120000 + flow.IPv4(i), Port: 443}] = &flow.Route{Name: name, Services: config(1).Routes[front].Services}
	}
	require.NoError(t, platformtest.PutConfig(s, c))
	resp, err := s.Range(t.Context(), store.RangeRequest{Key: platform.ConfigKey})
	require.NoError(t, err)
	size := len(resp.KVs[0].Value)
	require.LessOrEqual(t, size, 1<<20, "the store accepts no larger value")
	return size
}

// TestAGrownConfigurationReachesEveryBalancer guards against a timeout for the whole transfer
// of a configuration. After a confirmed change, half of the balancers kept the former
// configuration for good: new flows followed dropped routes, and SYNs to new routes got no
// answer. The other balancers had the change within a second. The configuration had grown in
// three steps to 4,200 routes, and the affected balancers fetch it from others over links of
// 10 Mbit/s. A fetch had 500 ms for the whole answer, which takes 600 ms over such a link; it
// was discarded and started again elsewhere every half second, with 0.50 to 0.59 MB read. The
// configuration of the step before, 0.47 MB, had arrived in 0.42 s.
func TestAGrownConfigurationReachesEveryBalancer(t *testing.T) {
	s := standin.NewStore(time.Now)
	putVersion(t, s, 1)
	feeder := startFront(t, 71, serveStore(t, s))
	follower := newFront(t, 72, silentStore(t), "z1")
	follower.source.Peers = configcopy.NewClient(standin.NewLink(narrowLink).DialContext)
	t.Cleanup(worker.Start(follower.Run))
	require.Eventually(t, func() bool { return feeder.version() == 1 && follower.version() == 1 }, 5*time.Second, 5*time.Millisecond)

	size := putLargeConfig(t, s, 2, largeConfigRoutes)
	require.Greater(t, size, 700_000)
	require.Eventually(t, func() bool { return feeder.version() == 2 }, maxConfigDelay, 5*time.Millisecond)
	require.Eventually(t, func() bool { return follower.version() == 2 }, maxConfigDelay, 5*time.Millisecond)
}

// TestTheLargestConfigurationIsReadOverANarrowLink: a balancer that starts alone reads the
// configuration from the store. A timeout for the whole read would expire each time before the
// answer is complete.
func TestTheLargestConfigurationIsReadOverANarrowLink(t *testing.T) {
	s := standin.NewStore(time.Now)
	size := putLargeConfig(t, s, 1, maxConfigRoutes)
	require.Greater(t, size, 1_000_000)
	proxy := newProxy(t, serveStore(t, s))
	proxy.LimitRate(narrowLink)

	f := startFront(t, 73, proxy.Addr())
	require.Eventually(t, func() bool { return f.version() == 1 }, maxConfigDelay, 5*time.Millisecond)
}

// TestLargeConfigurationsThatWereMissedAreCaughtUp: a watch returns every change since its
// revision, and several large ones together exceed the maximum size of an answer.
func TestLargeConfigurationsThatWereMissedAreCaughtUp(t *testing.T) {
	s := standin.NewStore(time.Now)
	putVersion(t, s, 1)
	proxy := newProxy(t, serveStore(t, s))
	f := startFront(t, 74, proxy.Addr())
	require.Eventually(t, func() bool { return f.version() == 1 }, 5*time.Second, 5*time.Millisecond)

	proxy.RefuseConnections(true)
	proxy.Reset()
	const last = 6
	for version := int64(2); version <= last; version++ {
		putLargeConfig(t, s, version, maxConfigRoutes)
	}
	proxy.RefuseConnections(false)
	require.Eventually(t, func() bool { return f.version() == last }, f.cfg.CatchUpWithin.D(), 5*time.Millisecond)
}

// TestAGrownConfigurationIsFollowedAfterConnectionsWentSilent: CatchUpWithin counts from when
// the connections went silent, and includes the transfer.
func TestAGrownConfigurationIsFollowedAfterConnectionsWentSilent(t *testing.T) {
	s := standin.NewStore(time.Now)
	putLargeConfig(t, s, 1, maxConfigRoutes)
	proxy := newProxy(t, serveStore(t, s))
	proxy.LimitRate(narrowLink)
	f := startFront(t, 75, proxy.Addr())
	require.Eventually(t, func() bool { return f.version() == 1 }, maxConfigDelay, 5*time.Millisecond)
	time.Sleep(50 * time.Millisecond)

	proxy.Blackhole()
	putLargeConfig(t, s, 2, maxConfigRoutes)
	require.Eventually(t, func() bool { return f.version() == 2 }, f.cfg.CatchUpWithin.D(), 5*time.Millisecond)
}
