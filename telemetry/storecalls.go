package telemetry

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/poppywall/poppywall/store"
)

// Purpose is what calls at the store are for.
type Purpose string

// The purposes.
const (
	// PurposeOperator is what the operator has written.
	PurposeOperator Purpose = "operator"
	// PurposeEntry is the process's own entry in the registry.
	PurposeEntry Purpose = "entry"
	// PurposeRegistry is who else may be there.
	PurposeRegistry Purpose = "registry"
)

// StoreCalls counts a process's calls at the store, each of which is priced.
type StoreCalls struct{ calls *prometheus.CounterVec }

// NewStoreCalls returns a counter of calls.
func NewStoreCalls(c Counters) *StoreCalls {
	return &StoreCalls{c.Vector("store_calls_total", "Calls at the store, by what they are for and how.", "call")}
}

// For returns a store whose calls are counted for a purpose.
func (c *StoreCalls) For(p Purpose, s store.Watcher) store.Watcher {
	count := func(how string) prometheus.Counter { return c.calls.WithLabelValues(string(p) + "-" + how) }
	return &countedStore{store: s, reads: count("read"), stale: count("stale-read"), writes: count("write"), watches: count("watch")}
}

// countedStore implements store.Watcher.
type countedStore struct {
	store                         store.Watcher
	reads, stale, writes, watches prometheus.Counter
}

func (s *countedStore) Range(ctx context.Context, req store.RangeRequest) (store.RangeResponse, error) {
	if req.Stale {
		s.stale.Inc()
	} else {
		s.reads.Inc()
	}
	return s.store.Range(ctx, req)
}

func (s *countedStore) Txn(ctx context.Context, txn store.Txn) (store.TxnResponse, error) {
	s.writes.Inc()
	return s.store.Txn(ctx, txn)
}

func (s *countedStore) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	s.writes.Inc()
	return s.store.Grant(ctx, ttl)
}

func (s *countedStore) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (store.Changes, error) {
	s.watches.Inc()
	return s.store.Watch(ctx, prefix, after, wait)
}
