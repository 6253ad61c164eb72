// Package store is the narrow interface to the key-value service that keeps
// what must last. Its clients are store/gateway, for the etcd version 3 JSON
// protocol, and the platform package; one contract test covers both.
package store

import (
	"context"
	"slices"
	"time"
)

// KV is one stored pair.
type KV struct {
	Key            string
	Value          []byte
	CreateRevision int64
	ModRevision    int64
}

// RangeRequest reads keys in [Key, End); an empty End reads one key.
type RangeRequest struct {
	Key, End string
	// Limit bounds the pairs of one answer; zero is no limit.
	Limit int64
	// Revision reads at a past revision; zero reads the latest.
	Revision int64
	// MinModRevision leaves out pairs changed before it.
	MinModRevision int64
	// Stale allows an answer that is some seconds old, at a fraction of the price.
	Stale bool
}

// RangeResponse is one answer.
type RangeResponse struct {
	// Revision is the store's revision when it answered. A stale copy shows a
	// lower one.
	Revision int64
	KVs      []KV
	More     bool
	// Took is how long the answer took to come once it had begun; zero where the
	// client does not measure it.
	Took time.Duration
}

// Compare is a condition of a transaction on one key.
type Compare struct {
	Key string
	// Field tells which revision of the key is compared.
	Field CompareField
	// Equal is the wanted value; zero means that the key does not exist.
	Equal int64
}

// CompareField is a revision of a key.
type CompareField uint8

// The fields that can be compared.
const (
	ModRevision CompareField = iota
	CreateRevision
)

// Put writes one pair.
type Put struct {
	Key   string
	Value []byte
	// Lease removes the pair when it lapses; zero keeps it.
	Lease LeaseID
}

// Txn does all Puts and Removes when all Compares hold, and nothing otherwise.
type Txn struct {
	Compares []Compare
	Puts     []Put
	// Removes are keys to remove, whether they exist or not.
	Removes []string
}

// TxnResponse tells the outcome.
type TxnResponse struct {
	Succeeded bool
	Revision  int64
}

// LeaseID names a lease.
type LeaseID int64

// Store is what the project uses of the platform. Errors carry a
// verdict.Verdict: a Txn whose answer was lost is verdict.Unknown.
type Store interface {
	Range(ctx context.Context, req RangeRequest) (RangeResponse, error)
	Txn(ctx context.Context, txn Txn) (TxnResponse, error)
	// Grant makes a lease that lapses after ttl, whole seconds.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
}

// PrefixEnd returns the End that makes a range cover all keys with the prefix.
func PrefixEnd(prefix string) string {
	b := []byte(prefix)
	for i := len(b) - 1; i >= 0; i-- {
		if b[i] < 0xff {
			b[i]++
			return string(b[:i+1])
		}
	}
	return "\x00"
}

// pageSize bounds one range answer, so that no answer nears the platform's
// limits and no reader holds more than a page of raw data.
const pageSize = 500

// ReadAll reads all pages of a range at one revision and returns that
// revision. The pages are consistent with each other.
func ReadAll(ctx context.Context, s Store, req RangeRequest, each func(KV) error) (int64, error) {
	req.Limit = pageSize
	for {
		resp, err := s.Range(ctx, req)
		if err != nil {
			return 0, err
		}
		for _, kv := range resp.KVs {
			if err := each(kv); err != nil {
				return 0, err
			}
		}
		if req.Revision == 0 {
			req.Revision = resp.Revision
		}
		last := lastKey(resp.KVs)
		if !resp.More || last == "" {
			return req.Revision, nil
		}
		req.Key = last + "\x00"
	}
}

// lastKey returns the last key of a page, empty without one. Pairs whose key could not
// be read have none.
func lastKey(page []KV) string {
	for _, kv := range slices.Backward(page) {
		if kv.Key != "" {
			return kv.Key
		}
	}
	return ""
}

// Event is one change that a watch saw.
type Event struct {
	KV
	// Removed tells that the key is gone; only Key and ModRevision are set.
	Removed bool
}

// Changes is one answer of a watch.
type Changes struct {
	// Revision is where the next watch continues.
	Revision int64
	Events   []Event
	// Took is how long the answer took to come once it had begun; zero where the
	// client does not measure it.
	Took time.Duration
}

// Watcher is a store that tells of changes by itself.
type Watcher interface {
	Store
	// Watch returns the changes below prefix after a revision, or none after
	// wait.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (Changes, error)
}

// ReasonNoLease is the verdict.Error reason of a call for a lease that has
// ended.
const ReasonNoLease = "store-no-lease"

// ReasonCompacted is the verdict.Error reason of a watch whose history is gone.
const ReasonCompacted = "store-compacted"

// ReasonTooLarge is the verdict.Error reason of a watch that has more to tell than
// one answer may hold: the watcher reads anew what is in force.
const ReasonTooLarge = "store-answer-too-large"
