package flow

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestNewEvacuationsDropsInvalidAndExcessZones(t *testing.T) {
	many := make([]string, 0, MaxEvacuated+2)
	for i := range MaxEvacuated + 2 {
		many = append(many, fmt.Sprintf("z%02d", i))
	}
	long := strings.Repeat("z", MaxZoneName+1)
	for name, c := range map[string]struct{ zones, accepted, rejected []string }{
		"none":           {nil, nil, nil},
		"in order, once": {[]string{"b", "a", "b"}, []string{"a", "b"}, nil},
		"no name":        {[]string{"", "a"}, []string{"a"}, []string{""}},
		"a long name":    {[]string{long, "a", long[1:]}, []string{"a", long[1:]}, []string{long}},
		"too many":       {many, many[:MaxEvacuated], many[MaxEvacuated:]},
	} {
		e, rejected := NewEvacuations(7, c.zones)
		require.Equal(t, c.accepted, e.Zones(), name)
		require.Equal(t, c.rejected, rejected, name)
		for _, zone := range c.accepted {
			require.True(t, e.Has(TagOf(zone)), name)
		}
		require.False(t, e.Has(TagOf("another")), name)
		require.False(t, e.Has(0), name)
	}
}

// TestNewerComparesRevisions covers an empty set too: the end of the last evacuation has to
// replace the evacuations before it.
func TestNewerComparesRevisions(t *testing.T) {
	evacuated, _ := NewEvacuations(5, []string{"a"})
	restored, _ := NewEvacuations(6, nil)
	require.True(t, restored.Newer(evacuated))
	require.False(t, evacuated.Newer(restored))
	require.False(t, evacuated.Newer(evacuated))
	require.True(t, evacuated.Newer(Evacuations{}))
	require.False(t, evacuated.SameZones(restored))
	require.True(t, restored.SameZones(Evacuations{}), "a node that has received no evacuations acts on the same zones")
}

// TestReplaceIfNewerIgnoresOlderOrEqualRevisions also checks that a newer revision with the same
// zones replaces the older one, so that older revisions are rejected from then on.
func TestReplaceIfNewerIgnoresOlderOrEqualRevisions(t *testing.T) {
	evacuations := func(revision int64, zones ...string) Evacuations {
		e, _ := NewEvacuations(revision, zones)
		return e
	}
	for name, c := range map[string]struct {
		now, next      Evacuations
		newer, changed bool
	}{
		"the first":                    {Evacuations{}, evacuations(3, "a"), true, true},
		"the first, no zone evacuated": {Evacuations{}, evacuations(3), true, false},
		"others of the same revision":  {evacuations(3, "a"), evacuations(3, "b"), false, false},
		"older ones":                   {evacuations(3, "a"), evacuations(2), false, false},
		"the same zones later":         {evacuations(3, "a"), evacuations(4, "a"), true, false},
		"one zone more":                {evacuations(3, "a"), evacuations(4, "b", "a"), true, true},
		"restored":                     {evacuations(3, "a"), evacuations(4), true, true},
	} {
		got := c.now
		newer, changed := got.ReplaceIfNewer(c.next)
		require.Equal(t, []bool{c.newer, c.changed}, []bool{newer, changed}, name)
		if c.newer {
			require.Equal(t, c.next, got, name)
		} else {
			require.Equal(t, c.now, got, name)
		}
	}
}
