package registry

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/standin"
	"github.com/poppywall/poppywall/store"
	"github.com/poppywall/poppywall/worker"
)

const self = flow.IPv4(0x0a000001)

func listEntries(t *testing.T, s *standin.Store) []fleet.Entry {
	t.Helper()
	got, err := List(context.Background(), s, fleet.RoleAgent)
	require.NoError(t, err)
	return got.Entries
}

// waitForEntry waits until the registry contains exactly the entry of the process.
func waitForEntry(t *testing.T, s *standin.Store, incarnation uint64) {
	t.Helper()
	require.Eventually(t, func() bool {
		got, err := List(context.Background(), s, fleet.RoleAgent)
		return err == nil && len(got.Entries) == 1 && got.Entries[0].IP == self && got.Entries[0].ProcessIncarnation == incarnation
	}, 5*time.Second, 5*time.Millisecond)
}

// startRegistry starts a registry; the returned function stops it.
func startRegistry(s store.Store, incarnation uint64) (r *Registrar, stop func()) {
	r = New(s, fleet.RoleAgent, self, incarnation, zap.NewNop(), func(fleet.EntryState) {})
	r.SetEntryState(fleet.EntryPresent)
	return r, worker.Start(r.Run)
}

// TestAnEntryStaysUntilItsNodeLeaves checks that neither the expiry of all leases nor a stop
// of the process removes the entry, and that a new process takes it over.
func TestAnEntryStaysUntilItsNodeLeaves(t *testing.T) {
	s := standin.NewStore(time.Now)
	_, stop := startRegistry(s, 7)
	waitForEntry(t, s, 7)
	s.LapseLeases()
	stop()
	waitForEntry(t, s, 7)
	none, err := List(context.Background(), s, fleet.RoleBalancer)
	require.NoError(t, err)
	require.Empty(t, none.Entries)

	r, stop := startRegistry(s, 8)
	waitForEntry(t, s, 8)
	stop()
	r.Deregister()
	require.Empty(t, listEntries(t, s))
}

// TestEntryFollowsDesiredState also covers an entry that an earlier process has left.
func TestEntryFollowsDesiredState(t *testing.T) {
	s := standin.NewStore(time.Now)
	require.NoError(t, New(s, fleet.RoleAgent, self, 6, zap.NewNop(), func(fleet.EntryState) {}).writeEntry(context.Background()))
	r, stop := startRegistry(s, 7)
	defer stop()
	waitForEntry(t, s, 7)
	r.SetEntryState(fleet.EntryAbsent)
	require.Eventually(t, func() bool { return len(listEntries(t, s)) == 0 }, 5*time.Second, 5*time.Millisecond)
	r.SetEntryState(fleet.EntryPresent)
	waitForEntry(t, s, 7)
}

func TestEntryIsWrittenWhenStoreRecovers(t *testing.T) {
	s := standin.NewStore(time.Now)
	s.Down(true)
	_, stop := startRegistry(s, 7)
	defer stop()
	time.Sleep(10 * time.Millisecond)
	s.Down(false)
	waitForEntry(t, s, 7)
}

// countingStore counts the store calls of one registry.
type countingStore struct {
	store.Store
	calls *atomic.Int32
}

func (c countingStore) Range(ctx context.Context, req store.RangeRequest) (store.RangeResponse, error) {
	c.calls.Add(1)
	return c.Store.Range(ctx, req)
}

func (c countingStore) Txn(ctx context.Context, txn store.Txn) (store.TxnResponse, error) {
	c.calls.Add(1)
	return c.Store.Txn(ctx, txn)
}

// TestAStartCostsOneCall checks that a presence that is set before Run starts is applied by
// a single store call.
func TestAStartCostsOneCall(t *testing.T) {
	s := standin.NewStore(time.Now)
	counted := countingStore{s, &atomic.Int32{}}
	_, stop := startRegistry(counted, 7)
	defer stop()
	waitForEntry(t, s, 7)
	time.Sleep(50 * time.Millisecond)
	require.EqualValues(t, 1, counted.calls.Load())
}

// TestRemovedEntryIsReportedMissing checks that a node misses its entry after a removal, but
// not while the store does not answer or the entry is to be absent.
func TestRemovedEntryIsReportedMissing(t *testing.T) {
	ctx := context.Background()
	s := standin.NewStore(time.Now)
	r := New(s, fleet.RoleAgent, self, 7, zap.NewNop(), func(fleet.EntryState) {})
	r.SetEntryState(fleet.EntryPresent)
	require.NoError(t, r.writeEntry(ctx))
	require.False(t, r.entryMissing(ctx))
	s.Down(true)
	require.False(t, r.entryMissing(ctx), "the store does not answer")
	s.Down(false)
	r.Deregister()
	require.True(t, r.entryMissing(ctx))
	r.SetEntryState(fleet.EntryAbsent)
	require.False(t, r.entryMissing(ctx), "the desired presence is absent")
}

// TestRemoveDeletesOnlyTheMatchingEntry guards against the removal of the entry of a process
// that was started after the dead one.
func TestRemoveDeletesOnlyTheMatchingEntry(t *testing.T) {
	ctx := context.Background()
	for name, c := range map[string]struct {
		dead    func(found fleet.Entry) fleet.Entry
		removed bool
	}{
		"same incarnation":                 {func(e fleet.Entry) fleet.Entry { return fleet.Entry{IP: self, ProcessIncarnation: 7} }, true},
		"earlier incarnation":              {func(e fleet.Entry) fleet.Entry { return fleet.Entry{IP: self, ProcessIncarnation: 6} }, false},
		"same revision":                    {func(e fleet.Entry) fleet.Entry { return fleet.Entry{IP: self, Revision: e.Revision} }, true},
		"earlier revision":                 {func(e fleet.Entry) fleet.Entry { return fleet.Entry{IP: self, Revision: e.Revision - 1} }, false},
		"another node":                     {func(e fleet.Entry) fleet.Entry { return fleet.Entry{IP: self + 1, ProcessIncarnation: 7} }, false},
		"incarnation and revision unknown": {func(e fleet.Entry) fleet.Entry { return fleet.Entry{IP: self} }, false},
	} {
		s := standin.NewStore(time.Now)
		require.NoError(t, New(s, fleet.RoleAgent, self, 7, zap.NewNop(), func(fleet.EntryState) {}).writeEntry(ctx))
		found := listEntries(t, s)[0]
		require.NoError(t, Remove(ctx, s, fleet.RoleAgent, c.dead(found)), name)
		require.Equal(t, c.removed, len(listEntries(t, s)) == 0, name)
	}
}

// racingStore lets a node write its entry again between the read and the removal.
type racingStore struct {
	store.Store
	between func()
}

func (r racingStore) Range(ctx context.Context, req store.RangeRequest) (store.RangeResponse, error) {
	resp, err := r.Store.Range(ctx, req)
	r.between()
	return resp, err
}

// TestARemovalLosesAgainstANewEntry guards against the removal of an entry that its node has
// written again after it was read.
func TestARemovalLosesAgainstANewEntry(t *testing.T) {
	ctx := context.Background()
	s := standin.NewStore(time.Now)
	require.NoError(t, New(s, fleet.RoleAgent, self, 7, zap.NewNop(), func(fleet.EntryState) {}).writeEntry(ctx))
	r := racingStore{s, func() {
		require.NoError(t, New(s, fleet.RoleAgent, self, 8, zap.NewNop(), func(fleet.EntryState) {}).writeEntry(ctx))
	}}
	require.NoError(t, Remove(ctx, r, fleet.RoleAgent, fleet.Entry{IP: self, ProcessIncarnation: 7}))
	require.Len(t, listEntries(t, s), 1)
}

// TestInvalidEntriesAreIgnoredAndKept checks that invalid entries are skipped and counted,
// that the other entries are returned, and that Remove does not delete the invalid ones.
func TestInvalidEntriesAreIgnoredAndKept(t *testing.T) {
	ctx := context.Background()
	for name, foreign := range map[string]store.Put{
		"text after the address":      {Key: entryKey(fleet.RoleAgent, self+1) + "x", Value: encodeIncarnation(9)},
		"no address":                  {Key: keyPrefix(fleet.RoleAgent) + "node-7", Value: encodeIncarnation(9)},
		"empty address":               {Key: keyPrefix(fleet.RoleAgent), Value: encodeIncarnation(9)},
		"an address of another kind":  {Key: keyPrefix(fleet.RoleAgent) + "::1", Value: encodeIncarnation(9)},
		"an address in another form":  {Key: keyPrefix(fleet.RoleAgent) + "::ffff:10.0.0.9", Value: encodeIncarnation(9)},
		"no value":                    {Key: entryKey(fleet.RoleAgent, self+1)},
		"words":                       {Key: entryKey(fleet.RoleAgent, self+1), Value: []byte("no epoch")},
		"incarnation zero":            {Key: entryKey(fleet.RoleAgent, self+1), Value: []byte("0")},
		"a number below zero":         {Key: entryKey(fleet.RoleAgent, self+1), Value: []byte("-7")},
		"a number that is too large":  {Key: entryKey(fleet.RoleAgent, self+1), Value: []byte("10000000000000000")},
		"bytes that are no text":      {Key: entryKey(fleet.RoleAgent, self+1), Value: []byte{0xff, 0, 0xfe}},
		"a document of another shape": {Key: entryKey(fleet.RoleAgent, self+1), Value: []byte(`{"epoch":"7"}`)},
	} {
		s := standin.NewStore(time.Now)
		require.NoError(t, New(s, fleet.RoleAgent, self, 7, zap.NewNop(), func(fleet.EntryState) {}).writeEntry(ctx))
		s.PutAsOperator(foreign)
		got, err := List(ctx, s, fleet.RoleAgent)
		require.NoError(t, err, name)
		require.Equal(t, 1, got.Skipped, name)
		require.Len(t, got.Entries, 1, name)
		require.Equal(t, self, got.Entries[0].IP, name)

		require.NoError(t, Remove(ctx, s, fleet.RoleAgent, fleet.Entry{IP: self + 1, ProcessIncarnation: 9}), name)
		require.NoError(t, Remove(ctx, s, fleet.RoleAgent, fleet.Entry{IP: self + 1}), name)
		got, err = List(ctx, s, fleet.RoleAgent)
		require.NoError(t, err, name)
		require.Equal(t, 1, got.Skipped, "%s: not removed", name)
	}
}

func TestDecodeRejectsForeignKeys(t *testing.T) {
	for key, want := range map[string]bool{entryKey(fleet.RoleAgent, self): true, entryKey(fleet.RoleBalancer, self): false, self.String(): false, "": false} {
		_, ok := decode(fleet.RoleAgent, store.KV{Key: key, Value: encodeIncarnation(7)})
		require.Equal(t, want, ok, key)
	}
}

// TestAnEntryThatAnotherHasWrittenOverIsWrittenAgain checks that an invalid value in the
// node's own entry counts as missing; otherwise the node would stay unregistered.
func TestAnEntryThatAnotherHasWrittenOverIsWrittenAgain(t *testing.T) {
	ctx := context.Background()
	s := standin.NewStore(time.Now)
	r := New(s, fleet.RoleAgent, self, 7, zap.NewNop(), func(fleet.EntryState) {})
	r.SetEntryState(fleet.EntryPresent)
	require.NoError(t, r.writeEntry(ctx))
	s.PutAsOperator(store.Put{Key: entryKey(fleet.RoleAgent, self), Value: []byte("no epoch")})
	require.True(t, r.entryMissing(ctx))
}
