package telemetry

import (
	"context"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"

	"github.com/poppywall/poppywall/store"
)

// emptyStore returns an empty response to every call.
type emptyStore struct{}

func (emptyStore) Range(context.Context, store.RangeRequest) (store.RangeResponse, error) {
	return store.RangeResponse{}, nil
}
func (emptyStore) Txn(context.Context, store.Txn) (store.TxnResponse, error) {
	return store.TxnResponse{}, nil
}
func (emptyStore) Grant(context.Context, time.Duration) (store.LeaseID, error) { return 1, nil }
func (emptyStore) Watch(context.Context, string, int64, time.Duration) (store.WatchResponse, error) {
	return store.WatchResponse{}, nil
}

func TestStoreCallsAreCountedByPurpose(t *testing.T) {
	calls := NewStoreCalls(Metrics{Registry: prometheus.NewRegistry(), Subsystem: "test"})
	s, other := calls.For(PurposeEntry, emptyStore{}), calls.For(PurposeRegistry, emptyStore{})
	_, err := s.Range(t.Context(), store.RangeRequest{Stale: true})
	require.NoError(t, err)
	for range 2 {
		_, err = s.Txn(t.Context(), store.Txn{})
		require.NoError(t, err)
		_, err = other.Range(t.Context(), store.RangeRequest{})
		require.NoError(t, err)
	}
	_, err = s.Watch(t.Context(), "", 0, 0)
	require.NoError(t, err)
	for call, want := range map[string]float64{"entry-stale-read": 1, "entry-write": 2, "entry-read": 0, "entry-watch": 1, "registry-read": 2} {
		require.Equal(t, want, testutil.ToFloat64(calls.calls.WithLabelValues(call)), call)
	}
}
