package packetfront

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/fleet/registry"
	"github.com/poppywall/poppywall/platform/platformtest"
	"github.com/poppywall/poppywall/standin"
	"github.com/poppywall/poppywall/worker"
)

// startFront runs an agent at 127.0.90.1 with a store; the returned function stops it.
func startFront(t *testing.T, store string) (f *Front, stop func()) {
	t.Helper()
	at := func(port int) string { return fmt.Sprintf("127.0.90.1:%d", port) }
	cfg := Defaults()
	cfg.Name, cfg.Zone, cfg.Service, cfg.Store = "a", "z1", "alpha", store
	cfg.Internal, cfg.Outbound, cfg.Target, cfg.Control, cfg.Data = at(22011), at(22012), at(22013), at(22014), at(22015)
	f, err := NewFront(cfg, zap.NewNop())
	require.NoError(t, err)
	return f, worker.Start(f.Run)
}

// TestStoppedAgentStaysRegisteredWhileItsTargetListens: the target may still hold flows. An
// agent without a target removes its entry when it stops, because its VM is going away.
func TestStoppedAgentStaysRegisteredWhileItsTargetListens(t *testing.T) {
	s := standin.NewStore(time.Now)
	server := httptest.NewServer(platformtest.NewStoreHandler(s))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	entries := func() int {
		got, err := registry.List(context.Background(), s, fleet.RoleAgent)
		require.NoError(t, err)
		return len(got.Entries)
	}
	announces := func(f *Front, want fleet.State) func() bool {
		return func() (matches bool) {
			f.locked(func(now time.Time) { matches = f.core.announcement(now).State == want })
			return matches && entries() == 1
		}
	}
	target, err := net.Listen("tcp4", "127.0.90.1:22013")
	require.NoError(t, err)
	f, stop := startFront(t, address)
	require.Eventually(t, announces(f, fleet.Ready), 5*time.Second, 5*time.Millisecond)
	stop()
	require.Equal(t, 1, entries())

	require.NoError(t, target.Close())
	f, stop = startFront(t, address)
	require.Eventually(t, announces(f, fleet.Gone), 5*time.Second, 5*time.Millisecond)
	stop()
	require.Zero(t, entries())
}

// TestAgentStoppedAtItsStartKnowsThatNoTargetRuns guards against resets that are delayed for
// seconds: the agent of a VM that is going away is stopped before it is certain that its target has
// ended, and balancers wait for an agent that will not return.
func TestAgentStoppedAtItsStartKnowsThatNoTargetRuns(t *testing.T) {
	s := standin.NewStore(time.Now)
	server := httptest.NewServer(platformtest.NewStoreHandler(s))
	defer server.Close()
	f, stop := startFront(t, strings.TrimPrefix(server.URL, "http://"))
	started := time.Now()
	stop()
	require.Less(t, time.Since(started), maxStopDelay)
	f.locked(func(now time.Time) {
		require.Equal(t, fleet.Gone, f.core.announcement(now).State)
		require.NotEqual(t, fleet.RegistrationPresent, f.core.announcement(now).Registration)
	})
}

// TestReportOfTheFormerServiceIsNotTakenForTheNewOne guards against a report that was compared with
// the agent's service before the settings changed, and is applied after that.
func TestReportOfTheFormerServiceIsNotTakenForTheNewOne(t *testing.T) {
	s := standin.NewStore(time.Now)
	server := httptest.NewServer(platformtest.NewStoreHandler(s))
	defer server.Close()
	target, err := net.Listen("tcp4", "127.0.90.1:22013")
	require.NoError(t, err)
	defer target.Close()
	f, stop := startFront(t, strings.TrimPrefix(server.URL, "http://"))
	defer stop()
	cfg := f.cfg
	cfg.Service = "beta"
	f.Reload(cfg)
	report := func(service string) bool {
		return f.Heartbeat(fleet.Heartbeat{TargetIncarnation: fleet.TargetIncarnation{TargetID: service}, Service: service, Slots: 4, Sequence: 1})
	}
	require.False(t, report("alpha"))
	require.NotEqual(t, fleet.Ready, f.announced().State)
	require.True(t, report("beta"))
	require.Equal(t, fleet.Ready, f.announced().State)
}

// announced returns what the agent announces.
func (f *Front) announced() (a fleet.Announcement) {
	f.locked(func(now time.Time) { a = f.core.announcement(now) })
	return a
}
