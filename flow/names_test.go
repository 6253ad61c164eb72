package flow

import (
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
)

// Names that have the same 32-bit hash, which once stood for them.
const nameA, nameB = "gojo24a", "huzu17b"

// TestNamesOfEqualShortHashAreToldApart guards against two services, or two zones, that count as one
// because a short hash of their names is the same.
func TestNamesOfEqualShortHashAreToldApart(t *testing.T) {
	require.Equal(t, uint32(xxhash.Sum64String(nameA)), uint32(xxhash.Sum64String(nameB)))
	require.NotEqual(t, ServiceIDOf(nameA), ServiceIDOf(nameB))
	require.NotEqual(t, TagOf(nameA), TagOf(nameB))
	e, rejected := NewEvacuations(1, []string{nameA})
	require.Empty(t, rejected)
	require.True(t, e.Has(TagOf(nameA)))
	require.False(t, e.Has(TagOf(nameB)), "only one of the zones is evacuated")
}

func TestEmptyNamesHaveNoID(t *testing.T) {
	require.Zero(t, ServiceIDOf(""))
	require.Zero(t, TagOf(""))
	require.NotZero(t, ServiceIDOf("a"))
	require.NotZero(t, TagOf("a"))
}
