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

func list(t *testing.T, s *standin.Store) []fleet.Entry {
	t.Helper()
	got, err := List(context.Background(), s, fleet.RoleAgent)
	require.NoError(t, err)
	return got.Entries
}

// listed waits until the registry lists the process.
func listed(t *testing.T, s *standin.Store, epoch uint64) {
	t.Helper()
	require.Eventually(t, func() bool {
		got, err := List(context.Background(), s, fleet.RoleAgent)
		return err == nil && len(got.Entries) == 1 && got.Entries[0].IP == self && got.Entries[0].Epoch == epoch
	}, 5*time.Second, 5*time.Millisecond)
}

// run starts a registry; the returned function stops it.
func run(s store.Store, epoch uint64) (r *Registry, stop func()) {
	r = New(s, fleet.RoleAgent, self, epoch, zap.NewNop(), func(fleet.Presence) {})
	r.Want(fleet.PresenceHere)
	return r, worker.Start(r.Run)
}

// TestAnEntryStaysUntilItsNodeLeaves: neither the end of all leases nor a stop of
// the process takes it away; a fresh process makes it its own.
func TestAnEntryStaysUntilItsNodeLeaves(t *testing.T) {
	s := standin.NewStore(time.Now)
	_, stop := run(s, 7)
	listed(t, s, 7)
	s.LapseLeases()
	stop()
	listed(t, s, 7)
	none, err := List(context.Background(), s, fleet.RoleBalancer)
	require.NoError(t, err)
	require.Empty(t, none.Entries)

	r, stop := run(s, 8)
	listed(t, s, 8)
	stop()
	r.Leave()
	require.Empty(t, list(t, s))
}

// TestTheEntryFollowsWhatIsWanted, also what an earlier process has left.
func TestTheEntryFollowsWhatIsWanted(t *testing.T) {
	s := standin.NewStore(time.Now)
	require.NoError(t, New(s, fleet.RoleAgent, self, 6, zap.NewNop(), func(fleet.Presence) {}).enter(context.Background()))
	r, stop := run(s, 7)
	defer stop()
	listed(t, s, 7)
	r.Want(fleet.PresenceEnded)
	require.Eventually(t, func() bool { return len(list(t, s)) == 0 }, 5*time.Second, 5*time.Millisecond)
	r.Want(fleet.PresenceHere)
	listed(t, s, 7)
}

func TestTheEntryIsWrittenOnceTheStoreIsThere(t *testing.T) {
	s := standin.NewStore(time.Now)
	s.Down(true)
	_, stop := run(s, 7)
	defer stop()
	time.Sleep(10 * time.Millisecond)
	s.Down(false)
	listed(t, s, 7)
}

// counting counts the calls of one registry.
type counting struct {
	store.Store
	calls *atomic.Int32
}

func (c counting) Range(ctx context.Context, req store.RangeRequest) (store.RangeResponse, error) {
	c.calls.Add(1)
	return c.Store.Range(ctx, req)
}

func (c counting) Txn(ctx context.Context, txn store.Txn) (store.TxnResponse, error) {
	c.calls.Add(1)
	return c.Store.Txn(ctx, txn)
}

// TestAStartCostsOneCall: whatever is wanted before Run looks.
func TestAStartCostsOneCall(t *testing.T) {
	s := standin.NewStore(time.Now)
	c := counting{s, &atomic.Int32{}}
	_, stop := run(c, 7)
	defer stop()
	listed(t, s, 7)
	time.Sleep(50 * time.Millisecond)
	require.EqualValues(t, 1, c.calls.Load())
}

// TestAnEntryThatWasTakenAwayIsMissed: by its writer, not by one that gets no
// answer.
func TestAnEntryThatWasTakenAwayIsMissed(t *testing.T) {
	ctx := context.Background()
	s := standin.NewStore(time.Now)
	r := New(s, fleet.RoleAgent, self, 7, zap.NewNop(), func(fleet.Presence) {})
	r.Want(fleet.PresenceHere)
	require.NoError(t, r.enter(ctx))
	require.False(t, r.missing(ctx))
	s.Down(true)
	require.False(t, r.missing(ctx), "nobody knows")
	s.Down(false)
	r.Leave()
	require.True(t, r.missing(ctx))
	r.Want(fleet.PresenceEnded)
	require.False(t, r.missing(ctx), "it is not to be there")
}

// TestOnlyTheEntryThatIsMeantIsRemoved: a process that was started since keeps
// its entry.
func TestOnlyTheEntryThatIsMeantIsRemoved(t *testing.T) {
	ctx := context.Background()
	for name, c := range map[string]struct {
		dead    func(found fleet.Entry) fleet.Entry
		removed bool
	}{
		"of the epoch":              {func(e fleet.Entry) fleet.Entry { return fleet.Entry{IP: self, Epoch: 7} }, true},
		"of an earlier epoch":       {func(e fleet.Entry) fleet.Entry { return fleet.Entry{IP: self, Epoch: 6} }, false},
		"of the revision":           {func(e fleet.Entry) fleet.Entry { return fleet.Entry{IP: self, Revision: e.Revision} }, true},
		"of an earlier revision":    {func(e fleet.Entry) fleet.Entry { return fleet.Entry{IP: self, Revision: e.Revision - 1} }, false},
		"of another node":           {func(e fleet.Entry) fleet.Entry { return fleet.Entry{IP: self + 1, Epoch: 7} }, false},
		"nothing is known about it": {func(e fleet.Entry) fleet.Entry { return fleet.Entry{IP: self} }, false},
	} {
		s := standin.NewStore(time.Now)
		require.NoError(t, New(s, fleet.RoleAgent, self, 7, zap.NewNop(), func(fleet.Presence) {}).enter(ctx))
		found := list(t, s)[0]
		require.NoError(t, Remove(ctx, s, fleet.RoleAgent, c.dead(found)), name)
		require.Equal(t, c.removed, len(list(t, s)) == 0, name)
	}
}

// racing lets a node write its entry again between the look and the removal.
type racing struct {
	store.Store
	between func()
}

func (r racing) Range(ctx context.Context, req store.RangeRequest) (store.RangeResponse, error) {
	resp, err := r.Store.Range(ctx, req)
	r.between()
	return resp, err
}

func TestARemovalLosesAgainstANewEntry(t *testing.T) {
	ctx := context.Background()
	s := standin.NewStore(time.Now)
	require.NoError(t, New(s, fleet.RoleAgent, self, 7, zap.NewNop(), func(fleet.Presence) {}).enter(ctx))
	r := racing{s, func() {
		require.NoError(t, New(s, fleet.RoleAgent, self, 8, zap.NewNop(), func(fleet.Presence) {}).enter(ctx))
	}}
	require.NoError(t, Remove(ctx, r, fleet.RoleAgent, fleet.Entry{IP: self, Epoch: 7}))
	require.Len(t, list(t, s), 1)
}

// TestInvalidEntriesAreIgnoredAndKept: nobody removes them, and the rest of the list is valid.
func TestInvalidEntriesAreIgnoredAndKept(t *testing.T) {
	ctx := context.Background()
	for name, foreign := range map[string]store.Put{
		"a key behind an address":     {Key: keyOf(fleet.RoleAgent, self+1) + "x", Value: encodeEpoch(9)},
		"no address":                  {Key: prefix(fleet.RoleAgent) + "node-7", Value: encodeEpoch(9)},
		"nothing":                     {Key: prefix(fleet.RoleAgent), Value: encodeEpoch(9)},
		"an address of another kind":  {Key: prefix(fleet.RoleAgent) + "::1", Value: encodeEpoch(9)},
		"an address in another form":  {Key: prefix(fleet.RoleAgent) + "::ffff:10.0.0.9", Value: encodeEpoch(9)},
		"no value":                    {Key: keyOf(fleet.RoleAgent, self+1)},
		"words":                       {Key: keyOf(fleet.RoleAgent, self+1), Value: []byte("no epoch")},
		"the epoch of nobody":         {Key: keyOf(fleet.RoleAgent, self+1), Value: []byte("0")},
		"a number below zero":         {Key: keyOf(fleet.RoleAgent, self+1), Value: []byte("-7")},
		"a number that is too large":  {Key: keyOf(fleet.RoleAgent, self+1), Value: []byte("10000000000000000")},
		"bytes that are no text":      {Key: keyOf(fleet.RoleAgent, self+1), Value: []byte{0xff, 0, 0xfe}},
		"a document of another shape": {Key: keyOf(fleet.RoleAgent, self+1), Value: []byte(`{"epoch":"7"}`)},
	} {
		s := standin.NewStore(time.Now)
		require.NoError(t, New(s, fleet.RoleAgent, self, 7, zap.NewNop(), func(fleet.Presence) {}).enter(ctx))
		s.Operator(foreign)
		got, err := List(ctx, s, fleet.RoleAgent)
		require.NoError(t, err, name)
		require.Equal(t, 1, got.Passed, name)
		require.Len(t, got.Entries, 1, name)
		require.Equal(t, self, got.Entries[0].IP, name)

		require.NoError(t, Remove(ctx, s, fleet.RoleAgent, fleet.Entry{IP: self + 1, Epoch: 9}), name)
		require.NoError(t, Remove(ctx, s, fleet.RoleAgent, fleet.Entry{IP: self + 1}), name)
		got, err = List(ctx, s, fleet.RoleAgent)
		require.NoError(t, err, name)
		require.Equal(t, 1, got.Passed, "%s: it stays", name)
	}
}

func TestAKeyElsewhereIsNoEntry(t *testing.T) {
	for key, want := range map[string]bool{keyOf(fleet.RoleAgent, self): true, keyOf(fleet.RoleBalancer, self): false, self.String(): false, "": false} {
		_, ok := decode(fleet.RoleAgent, store.KV{Key: key, Value: encodeEpoch(7)})
		require.Equal(t, want, ok, key)
	}
}

// TestAnEntryThatAnotherHasWrittenOverIsWrittenAgain: the node would be in none.
func TestAnEntryThatAnotherHasWrittenOverIsWrittenAgain(t *testing.T) {
	ctx := context.Background()
	s := standin.NewStore(time.Now)
	r := New(s, fleet.RoleAgent, self, 7, zap.NewNop(), func(fleet.Presence) {})
	r.Want(fleet.PresenceHere)
	require.NoError(t, r.enter(ctx))
	s.Operator(store.Put{Key: keyOf(fleet.RoleAgent, self), Value: []byte("no epoch")})
	require.True(t, r.missing(ctx))
}
