package telemetry

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/poppywall/poppywall/store"
)

// Purpose is the purpose of calls to the store.
type Purpose string

// The purposes of calls.
const (
	// PurposeOperator is reading the operators' keys, such as the configuration.
	PurposeOperator Purpose = "operator"
	// PurposeEntry is maintaining the process's own entry in the registry.
	PurposeEntry Purpose = "entry"
	// PurposeRegistry is reading the registry entries of other nodes.
	PurposeRegistry Purpose = "registry"
)

// StoreCalls counts a process's calls to the store, by purpose and kind; the
// platform charges for each call.
type StoreCalls struct{ calls *prometheus.CounterVec }

// NewStoreCalls registers the counter of calls.
func NewStoreCalls(c Metrics) *StoreCalls {
	return &StoreCalls{c.CounterVector("store_calls_total", "Calls at the store, by what they are for and how.", "call")}
}

// For returns a store that counts the calls to s under a purpose.
func (c *StoreCalls) For(p Purpose, s store.Watcher) store.Watcher {
	count := func(kind string) prometheus.Counter { return c.calls.WithLabelValues(string(p) + "-" + kind) }
	return &countedStore{store: s, reads: count("read"), stale: count("stale-read"), writes: count("write"), watches: count("watch")}
}

// countedStore is a store.Watcher that counts the calls to another.
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

func (s *countedStore) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (store.WatchResponse, error) {
	s.watches.Inc()
	return s.store.Watch(ctx, prefix, after, wait)
}
