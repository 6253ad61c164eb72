// Package storetest tests the contract of store.Store, which every client
// implements whatever its protocol.
package storetest

import (
	"context"
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/poppywall/poppywall/store"
	"github.com/poppywall/poppywall/verdict"
)

// FaultInjector injects faults into the service behind the client.
type FaultInjector interface {
	// LoseResponse drops the response to the next write after the write was applied.
	LoseResponse()
	// Down(true) makes every call fail without an effect; Down(false) ends that.
	Down(down bool)
	// LapseLeases expires all leases at once.
	LapseLeases()
}

// Run runs the contract tests on a client of an empty service.
func Run(t *testing.T, s store.Store, faults FaultInjector) {
	t.Helper()
	t.Run("transactions", func(t *testing.T) { checkTransactions(t, s) })
	t.Run("pages", func(t *testing.T) { checkPaging(t, s) })
	t.Run("leases", func(t *testing.T) { checkLeases(t, s, faults) })
	t.Run("verdicts", func(t *testing.T) { checkVerdicts(t, s, faults) })
}

func put(key, value string) store.Put { return store.Put{Key: key, Value: []byte(value)} }

func read(t *testing.T, s store.Store, key string) (store.KV, bool) {
	t.Helper()
	resp, err := s.Range(context.Background(), store.RangeRequest{Key: key})
	require.NoError(t, err)
	if len(resp.KVs) == 0 {
		return store.KV{}, false
	}
	return resp.KVs[0], true
}

func checkTransactions(t *testing.T, s store.Store) {
	ctx := context.Background()
	absent := store.Compare{Key: "txn/a", Field: store.ModRevision, Equal: 0}
	first, err := s.Txn(ctx, store.Txn{Compares: []store.Compare{absent}, Puts: []store.Put{put("txn/a", "1"), put("txn/b", "2")}})
	require.NoError(t, err)
	require.True(t, first.Succeeded)
	second, err := s.Txn(ctx, store.Txn{Compares: []store.Compare{absent}, Puts: []store.Put{put("txn/a", "3")}})
	require.NoError(t, err)
	require.False(t, second.Succeeded, "the key exists")
	kv, ok := read(t, s, "txn/a")
	require.True(t, ok)
	require.Equal(t, "1", string(kv.Value))
	require.Equal(t, first.Revision, kv.ModRevision)
	present := store.Compare{Key: "txn/a", Field: store.ModRevision, Equal: kv.ModRevision}
	third, err := s.Txn(ctx, store.Txn{Compares: []store.Compare{present}, Puts: []store.Put{put("txn/a", "")}})
	require.NoError(t, err)
	require.True(t, third.Succeeded)
	require.Greater(t, third.Revision, first.Revision)
	kv, ok = read(t, s, "txn/a")
	require.True(t, ok, "a key without a value exists")
	require.Empty(t, kv.Value)
	_, ok = read(t, s, "txn/none")
	require.False(t, ok)
	checkRemoves(t, s)
}

// checkRemoves checks that a key is removed only if the condition holds.
func checkRemoves(t *testing.T, s store.Store) {
	ctx := context.Background()
	first, err := s.Txn(ctx, store.Txn{Puts: []store.Put{put("txn/gone", "1")}})
	require.NoError(t, err)
	remove := func(revision int64) bool {
		same := store.Compare{Key: "txn/gone", Field: store.ModRevision, Equal: revision}
		resp, err := s.Txn(ctx, store.Txn{Compares: []store.Compare{same}, Removes: []string{"txn/gone", "txn/none"}})
		require.NoError(t, err)
		return resp.Succeeded
	}
	require.False(t, remove(first.Revision+100))
	require.True(t, remove(first.Revision))
	_, ok := read(t, s, "txn/gone")
	require.False(t, ok)
	resp, err := s.Range(ctx, store.RangeRequest{Key: "txn/b", Stale: true})
	require.NoError(t, err)
	require.Len(t, resp.KVs, 1, "stale reads of this service return the latest revision")
}

// checkPaging checks that ReadAll returns more keys than one page holds, in order, and
// none outside the prefix.
func checkPaging(t *testing.T, s store.Store) {
	const keys = 1203
	ctx := context.Background()
	for from := 0; from < keys; from += 30 {
		var puts []store.Put
		for i := from; i < min(from+30, keys); i++ {
			puts = append(puts, put(fmt.Sprintf("pages/%05d", i), "x"))
		}
		_, err := s.Txn(ctx, store.Txn{Puts: puts})
		require.NoError(t, err)
	}
	_, err := s.Txn(ctx, store.Txn{Puts: []store.Put{put("pagesX", "not below the prefix")}})
	require.NoError(t, err)
	var got []string
	req := store.RangeRequest{Key: "pages/", End: store.PrefixEnd("pages/")}
	_, err = store.ReadAll(ctx, s, req, func(kv store.KV) error {
		got = append(got, kv.Key)
		return nil
	})
	require.NoError(t, err)
	require.Len(t, got, keys)
	require.IsIncreasing(t, got)
}

func checkLeases(t *testing.T, s store.Store, faults FaultInjector) {
	ctx := context.Background()
	id, err := s.Grant(ctx, time.Minute)
	require.NoError(t, err)
	_, err = s.Txn(ctx, store.Txn{Puts: []store.Put{{Key: "lease/a", Value: []byte("x"), Lease: id}}})
	require.NoError(t, err)
	_, ok := read(t, s, "lease/a")
	require.True(t, ok)
	faults.LapseLeases()
	_, ok = read(t, s, "lease/a")
	require.False(t, ok, "its lease has expired")
	_, err = s.Txn(ctx, store.Txn{Puts: []store.Put{{Key: "lease/a", Lease: id}}})
	require.Error(t, err)
}

func checkVerdicts(t *testing.T, s store.Store, faults FaultInjector) {
	ctx := context.Background()
	faults.LoseResponse()
	_, err := s.Txn(ctx, store.Txn{Puts: []store.Put{put("verdict/a", "1")}})
	require.Error(t, err)
	require.Equal(t, verdict.Unknown, verdict.FromError(err), "the response was lost")
	_, ok := read(t, s, "verdict/a")
	require.True(t, ok, "the write was applied nevertheless")
	faults.Down(true)
	_, err = s.Txn(ctx, store.Txn{Puts: []store.Put{put("verdict/b", "1")}})
	require.Error(t, err)
	faults.Down(false)
	_, ok = read(t, s, "verdict/b")
	require.False(t, ok)
}

// CheckStalledConnections checks that after all open connections of a client have stalled
// without a reset, one failed call is enough for the client to replace all of them.
// blackhole makes the open connections stall.
func CheckStalledConnections(t *testing.T, s store.Store, blackhole func()) {
	t.Helper()
	ctx := context.Background()
	call := func() error {
		_, err := s.Range(ctx, store.RangeRequest{Key: "silenced/a"})
		return err
	}
	var calls conc.WaitGroup
	for range 4 {
		calls.Go(func() { assert.NoError(t, call()) })
	}
	calls.Wait()
	blackhole()
	require.Error(t, call(), "the connection is stalled")
	require.NoError(t, call(), "a new connection works")
}

// The slow link carries 0.5 MB, twice as much as passes within the
// client's timeout.
const (
	slowLinkPairs     = 5
	slowLinkValueSize = 100_000 // bytes
	slowLinkRate      = 640_000 // bytes per second
)

// SlowLinkTimeout is the timeout of the client that CheckSlowLink checks.
const SlowLinkTimeout = 400 * time.Millisecond

// CheckSlowLink checks that a client reads a response whose transfer takes longer than the
// client's timeout, as long as it does not stall. limitRate limits the link's rate.
func CheckSlowLink(t *testing.T, s store.Store, limitRate func(bytesPerSecond int)) {
	t.Helper()
	ctx := context.Background()
	for i := range slowLinkPairs {
		_, err := s.Txn(ctx, store.Txn{Puts: []store.Put{{Key: "n/" + strconv.Itoa(i), Value: make([]byte, slowLinkValueSize)}}})
		require.NoError(t, err)
	}
	limitRate(slowLinkRate)
	began := time.Now()
	resp, err := s.Range(ctx, store.RangeRequest{Key: "n/", End: store.PrefixEnd("n/")})
	require.NoError(t, err)
	require.Len(t, resp.KVs, slowLinkPairs)
	require.Greater(t, time.Since(began), SlowLinkTimeout, "the transfer has to take longer than the timeout")
}
