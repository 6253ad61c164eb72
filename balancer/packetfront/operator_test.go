package packetfront

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/platform"
	"github.com/poppywall/poppywall/platform/platformtest"
	"github.com/poppywall/poppywall/standin"
	"github.com/poppywall/poppywall/store"
)

// evacuateZone writes the key that evacuates a zone; its value does not matter.
func evacuateZone(s *standin.Store, zone string) {
	s.PutAsOperator(store.Put{Key: platform.EvacuateKey(zone), Value: []byte("{}")})
}

// endEvacuation removes the key that evacuates a zone.
func endEvacuation(s *standin.Store, zone string) { s.DeleteAsOperator(platform.EvacuateKey(zone)) }

// evacuatedZones returns the zones that are evacuated in the view of a front.
func (f *Front) evacuatedZones() (zones []string) {
	f.locked(func(time.Time) { zones = f.core.Evacuations().Zones() })
	return zones
}

// waitForEvacuated waits until exactly these zones are evacuated in the view of a front.
func waitForEvacuated(t *testing.T, f *Front, zones ...string) {
	t.Helper()
	require.Eventually(t, func() bool { return strings.Join(f.evacuatedZones(), " ") == strings.Join(zones, " ") }, 3*time.Second, time.Millisecond, "%v", zones)
}

// TestEvacuationsFollowTheStore: each change comes into force within milliseconds, through the
// watch that also follows the configuration. A change or removal that happens while the store is
// unavailable, or whose history was compacted, comes into force as soon as the store answers.
func TestEvacuationsFollowTheStore(t *testing.T) {
	s := standin.NewStore(time.Now)
	evacuateZone(s, "z3")
	putVersion(t, s, 1)
	f := startFront(t, 91, serveStore(t, s))
	waitForEvacuated(t, f, "z3")
	require.Eventually(t, func() bool { return f.version() == 1 }, 3*time.Second, time.Millisecond)

	evacuateZone(s, "z1")
	waitForEvacuated(t, f, "z1", "z3")
	endEvacuation(s, "z3")
	waitForEvacuated(t, f, "z1")
	endEvacuation(s, "z1")
	evacuateZone(s, "z1")
	putVersion(t, s, 2)
	waitForEvacuated(t, f, "z1")
	require.Eventually(t, func() bool { return f.version() == 2 }, 3*time.Second, time.Millisecond)

	s.Down(true)
	endEvacuation(s, "z1")
	evacuateZone(s, "z2")
	s.Compact()
	s.Down(false)
	waitForEvacuated(t, f, "z2")
	s.Down(true)
	endEvacuation(s, "z2")
	s.Compact()
	s.Down(false)
	waitForEvacuated(t, f)
	require.EqualValues(t, 2, f.version())
}

// TestEvacuationsUseTheConfigurationWatch: a change of an evacuation ends the pending watch, which is
// then renewed, like a change of the configuration; it costs no further calls.
func TestEvacuationsUseTheConfigurationWatch(t *testing.T) {
	s := standin.NewStore(time.Now)
	putVersion(t, s, 1)
	var watches atomic.Int64
	serve := platformtest.NewStoreHandler(s)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.Contains(r.URL.Path, "watch") {
			watches.Add(1)
		}
		serve.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	f := startFront(t, 92, server.Listener.Addr().String())
	require.Eventually(t, func() bool { return f.version() == 1 && watches.Load() > 0 }, 3*time.Second, time.Millisecond)
	countWatches := func(do func()) int64 {
		before := watches.Load()
		do()
		return watches.Load() - before
	}
	const changes = 10
	configWatches := countWatches(func() {
		for i := range int64(changes) {
			putVersion(t, s, 2+i)
			require.Eventually(t, func() bool { return f.version() == 2+i }, 3*time.Second, time.Millisecond)
		}
	})
	evacuationWatches := countWatches(func() {
		for range changes / 2 {
			evacuateZone(s, "z1")
			waitForEvacuated(t, f, "z1")
			endEvacuation(s, "z1")
			waitForEvacuated(t, f)
		}
	})
	// One watch per change, and those that end meanwhile without a change. When the change is in
	// force, the next watch may not have arrived yet.
	require.LessOrEqual(t, evacuationWatches, configWatches+2)
	require.LessOrEqual(t, configWatches, int64(changes+2))
}

// TestUnknownOperatorKeysChangeNothing: invalid zone names, other keys, arbitrary values, and so
// many keys that they fill several pages.
func TestUnknownOperatorKeysChangeNothing(t *testing.T) {
	s := standin.NewStore(time.Now)
	putVersion(t, s, 1)
	long := strings.Repeat("z", flow.MaxZoneName+1)
	for _, key := range []string{"op/", "op/evacuate", "op/evacuate/", "op/evacuate/" + long, "op/config/old", "op/configs", "op/zone/z1", "opposite"} {
		s.PutAsOperator(store.Put{Key: key, Value: []byte("\xff\x00")})
	}
	for i := range 1200 {
		s.PutAsOperator(store.Put{Key: fmt.Sprintf("op/drain/%04d", i)})
	}
	s.PutAsOperator(store.Put{Key: platform.EvacuateKey("z9"), Value: []byte("no JSON")})
	s.PutAsOperator(store.Put{Key: "op/zzz"})
	f := startFront(t, 93, serveStore(t, s))
	waitForEvacuated(t, f, "z9")
	require.Eventually(t, func() bool { return f.version() == 1 }, 3*time.Second, time.Millisecond)
	s.PutAsOperator(store.Put{Key: "op/evacuate/" + long})
	s.DeleteAsOperator("op/evacuate/", "op/evacuate", "op/drain/0001")
	evacuateZone(s, "z1")
	waitForEvacuated(t, f, "z1", "z9")
}

// TestEvacuationsArriveThroughPeers: a balancer whose connections to the store get no answer receives
// evacuations and their changes from the first balancer that it joins. It does not bring back an
// evacuation that has ended.
func TestEvacuationsArriveThroughPeers(t *testing.T) {
	s := standin.NewStore(time.Now)
	putVersion(t, s, 1)
	evacuateZone(s, "z1")
	connected := startFront(t, 71, serveStore(t, s))
	waitForEvacuated(t, connected, "z1")
	isolated := startFront(t, 94, silentStore(t))
	waitForEvacuated(t, isolated, "z1")
	endEvacuation(s, "z1")
	waitForEvacuated(t, connected)
	waitForEvacuated(t, isolated)
	evacuateZone(s, "z2")
	waitForEvacuated(t, isolated, "z2")
}
