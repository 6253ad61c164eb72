// Package store is the interface to the key-value service that holds the
// project's durable data. Its clients are store/gateway, for the etcd version 3
// JSON protocol, and the platform package; one contract test covers both.
package store

import (
	"context"
	"slices"
	"time"
)

// KV is a key-value pair with its revisions.
type KV struct {
	Key            string
	Value          []byte
	CreateRevision int64
	ModRevision    int64
}

// RangeRequest reads keys in [Key, End); an empty End reads one key.
type RangeRequest struct {
	Key, End string
	// Limit is the maximum number of pairs in the response; zero is no limit.
	Limit int64
	// Revision reads at a past revision; zero reads the latest.
	Revision int64
	// MinModRevision omits pairs with a lower ModRevision.
	MinModRevision int64
	// Stale allows a response that is some seconds old, which costs a fraction of
	// a fresh one.
	Stale bool
}

// RangeResponse is the response to a RangeRequest.
type RangeResponse struct {
	// Revision is the store's revision at the time of the response; lower if the
	// response is stale.
	Revision int64
	KVs      []KV
	// More reports whether Limit left out pairs of the range.
	More bool
	// TransferTime is the time from the response header to the end of the body; zero if
	// the client does not measure it.
	TransferTime time.Duration
}

// Compare is a condition of a transaction on one key.
type Compare struct {
	Key string
	// Field selects the revision of the key that is compared.
	Field CompareField
	// Equal is the required revision; zero means that the key does not exist.
	Equal int64
}

// CompareField selects a revision of a key.
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
	// Lease removes the pair when it expires; zero is no lease.
	Lease LeaseID
}

// Txn applies all Puts and Removes if all Compares hold, and nothing otherwise.
type Txn struct {
	Compares []Compare
	Puts     []Put
	// Removes are keys to remove, whether they exist or not.
	Removes []string
}

// TxnResponse is the response to a Txn; Succeeded reports whether all Compares
// held.
type TxnResponse struct {
	Succeeded bool
	Revision  int64
}

// LeaseID identifies a lease.
type LeaseID int64

// Store is the part of a key-value service that the project uses. Errors carry
// a verdict.Verdict; a Txn whose response was lost fails with verdict.Unknown.
type Store interface {
	Range(ctx context.Context, req RangeRequest) (RangeResponse, error)
	Txn(ctx context.Context, txn Txn) (TxnResponse, error)
	// Grant creates a lease that expires after ttl, in whole seconds.
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

// pageSize limits the pairs of one range response, so that responses stay far
// below the platform's limits and a reader holds at most one page of raw data.
const pageSize = 500

// ReadAll calls each for every pair of a range and returns the revision that
// all pages were read at, so that they are consistent with each other.
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

// lastKey returns the last key of a page, or "" if there is none. Pairs whose key
// could not be decoded have an empty key.
func lastKey(page []KV) string {
	for _, kv := range slices.Backward(page) {
		if kv.Key != "" {
			return kv.Key
		}
	}
	return ""
}

// Event is one change of a key that a watch reports.
type Event struct {
	KV
	// Removed reports that the key was removed; then only Key and ModRevision are set.
	Removed bool
}

// WatchResponse is the response to a watch.
type WatchResponse struct {
	// Revision is the value of after for the next watch.
	Revision int64
	Events   []Event
	// TransferTime is the time from the response header to the end of the body; zero if
	// the client does not measure it.
	TransferTime time.Duration
}

// Watcher is a store whose changes can be watched.
type Watcher interface {
	Store
	// Watch returns the changes of keys with the prefix after a revision, as soon
	// as there are any, or none when wait has passed.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (WatchResponse, error)
}

// ReasonNoLease is the verdict.Error reason of a call with a lease that has
// expired.
const ReasonNoLease = "store-no-lease"

// ReasonCompacted is the verdict.Error reason of a watch from a revision that
// the store has compacted.
const ReasonCompacted = "store-compacted"

// ReasonTooLarge is the verdict.Error reason of a response that exceeds the size
// limit. A watcher then has to read the current pairs instead of their changes.
const ReasonTooLarge = "store-answer-too-large"
