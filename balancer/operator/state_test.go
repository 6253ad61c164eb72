package operator

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
)

// evacuations returns the evacuations of a revision.
func evacuations(revision int64, zones ...string) flow.Evacuations {
	e, _ := flow.NewEvacuations(revision, zones)
	return e
}

// TestOnlyNewerConfigurationsComeIntoForce also checks that the listener is called once for
// each.
func TestOnlyNewerConfigurationsComeIntoForce(t *testing.T) {
	f := newFixture()
	require.Equal(t, 1, f.changes.configs)
	for _, c := range []struct {
		next, inForce int64
		changes       int
	}{{5, 5, 0}, {4, 5, 0}, {6, 6, 1}, {6, 6, 0}, {5, 6, 0}, {9, 9, 1}} {
		f.changes.configs = 0
		require.Equal(t, c.changes == 1, f.SetConfig(f.now, config(c.next)), c.next)
		require.Equal(t, c.inForce, f.ConfigVersion(), c.next)
		require.Equal(t, c.inForce, f.Config().Version, c.next)
		require.Equal(t, c.changes, f.changes.configs, c.next)
	}
}

func TestNewStateIsEmpty(t *testing.T) {
	f := &fixture{view: fleet.NewView()}
	s := New(f.now, Options{Self: self}, f.view, &f.changes, nil)
	require.Nil(t, s.Config())
	require.Zero(t, s.ConfigVersion())
	require.Equal(t, flow.Evacuations{}, s.Evacuations())
}

// TestOnlyNewerEvacuationsComeIntoForce checks that a later revision with the same zones is
// stored, because it takes precedence over older ones, without a call to the listener.
func TestOnlyNewerEvacuationsComeIntoForce(t *testing.T) {
	f := newFixture()
	for _, c := range []struct {
		name          string
		next, inForce flow.Evacuations
		changed       bool
	}{
		{"the first", evacuations(3, "a"), evacuations(3, "a"), true},
		{"the same again", evacuations(3, "a"), evacuations(3, "a"), false},
		{"others of the same revision", evacuations(3, "b"), evacuations(3, "a"), false},
		{"older ones", evacuations(2), evacuations(3, "a"), false},
		{"the same zones later", evacuations(5, "a"), evacuations(5, "a"), false},
		{"between", evacuations(4, "b"), evacuations(5, "a"), false},
		{"another zone", evacuations(6, "a", "b"), evacuations(6, "a", "b"), true},
		{"none", evacuations(7), evacuations(7), true},
	} {
		previous := f.Evacuations()
		f.changes = changeRecorder{}
		f.SetEvacuations(f.now, c.next, FromStore)
		require.Equal(t, c.inForce, f.Evacuations(), c.name)
		for _, zone := range []string{"a", "b"} {
			require.Equal(t, slices.Contains(c.inForce.Zones(), zone), f.Evacuated(flow.TagOf(zone)), c.name)
		}
		if !c.changed {
			require.Empty(t, f.changes.evacuations, c.name)
			continue
		}
		require.Equal(t, changeRecorder{evacuations: []flow.Evacuations{c.next}, previous: []flow.Evacuations{previous}, from: []Origin{FromStore}}, f.changes, c.name)
	}
}

// TestFeedingOnlyWhileTheStoreAnswers checks that a balancer counts as following the store
// only if it has to watch it and was answered lately.
func TestFeedingOnlyWhileTheStoreAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		watches bool
		after   time.Duration
		want    bool
	}{
		"answered recently":         {true, time.Second, true},
		"no recent answer":          {true, time.Second + 1, false},
		"it does not have to watch": {false, 0, false},
	} {
		f := newFollower()
		if c.watches {
			f.opts.Zone = 9
		}
		require.False(t, f.IsFeeding(f.now), name)
		f.StoreAnswered(f.now)
		require.Equal(t, c.want, f.IsFeeding(f.now.Add(c.after)), name)
	}
}

// TestOriginString checks the names that operators see in logs.
func TestOriginString(t *testing.T) {
	require.Equal(t, "store", FromStore.String())
	require.Equal(t, "10.0.0.2", Origin(peer).String())
}
