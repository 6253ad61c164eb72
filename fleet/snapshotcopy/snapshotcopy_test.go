package snapshotcopy

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

var start = time.Unix(1_700_000_000, 0)

func agents(count int) []fleet.Entry {
	var out []fleet.Entry
	for i := range count {
		out = append(out, fleet.Entry{IP: flow.IPv4(0x0a010000 + i), ProcessIncarnation: uint64(7 + i)})
	}
	return out
}

// TestSnapshotAgeIsNeverUnderstated checks that Earliest and Latest bound the time of the
// read, however long request, read and response take or a node is frozen, for a sender that
// responds at any moment between request and response.
func TestSnapshotAgeIsNeverUnderstated(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		span := func(name string) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(10*time.Second)).Draw(t, name))
		}
		requestedAt := start
		answeredAt := requestedAt.Add(span("request and read"))
		receivedAt := answeredAt.Add(span("response"))
		endedAt := answeredAt.Add(-span("since the read"))
		beganAt := endedAt.Add(-span("read"))
		list := agents(rapid.IntRange(0, 5).Draw(t, "agents"))
		body := encode(answeredAt, fleet.Snapshot{Earliest: beganAt, Latest: endedAt, Revision: 9, Agents: list}, 0)
		got, err := decode(requestedAt, receivedAt, body, nil)
		require.NoError(t, err)
		require.False(t, got.Earliest.After(beganAt), "earliest %v, began %v", got.Earliest, beganAt)
		require.False(t, got.Latest.Before(endedAt), "latest %v, ended %v", got.Latest, endedAt)
		require.Equal(t, int64(9), got.Revision)
		require.Len(t, got.Agents, len(list))
	})
}

func TestKnownEntriesAreOmitted(t *testing.T) {
	list := agents(600)
	s := fleet.SnapshotAt(start, list)
	whole := encode(start, s, 0)
	require.Less(t, len(whole), 600*entryLen+headerLen+1)
	same := encode(start, s, checksum(list))
	require.Len(t, same, headerLen)
	got, err := decode(start, start, same, list)
	require.NoError(t, err)
	require.Equal(t, list, got.Agents)
	_, err = decode(start, start, same, list[1:])
	require.ErrorIs(t, err, ErrMalformed, "the receiver has other entries than the sender assumed")
	_, err = decode(start, start, same, nil)
	require.ErrorIs(t, err, ErrMalformed)
}

func TestDecodeRejectsDamagedSnapshots(t *testing.T) {
	whole := encode(start, fleet.SnapshotAt(start, agents(3)), 0)
	for i := range whole {
		if i >= 1 && i < 17 {
			// The checksum does not cover ages and revision.
			continue
		}
		damaged := append([]byte(nil), whole...)
		damaged[i] ^= 0x40
		_, err := decode(start, start, damaged, nil)
		require.ErrorIs(t, err, ErrMalformed, "byte %d", i)
	}
	for n := range len(whole) {
		_, err := decode(start, start, whole[:n], nil)
		require.ErrorIs(t, err, ErrMalformed, "%d bytes", n)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(encode(start, fleet.SnapshotAt(start, agents(2)), 0))
	f.Add(encode(start, fleet.SnapshotAt(start, agents(2)), checksum(agents(2))))
	f.Fuzz(func(t *testing.T, b []byte) {
		s, err := decode(start, start, b, agents(2))
		if err != nil {
			return
		}
		require.False(t, s.Earliest.After(start))
		require.False(t, s.Latest.After(start))
		require.LessOrEqual(t, len(s.Agents), maxAgents)
	})
}

// fakeStore is a registry that is slow or fails.
type fakeStore struct {
	calls   atomic.Int32
	release chan struct{}
	err     error
}

func (s *fakeStore) read(context.Context) ([]fleet.Entry, int64, error) {
	s.calls.Add(1)
	if s.release != nil {
		<-s.release
	}
	return agents(3), int64(s.calls.Load()), s.err
}

// TestConcurrentCallersShareOneRegistryRead covers the moment when many nodes return at once
// and all balancers need the registry.
func TestConcurrentCallersShareOneRegistryRead(t *testing.T) {
	s := &fakeStore{release: make(chan struct{})}
	r := NewReader(s.read)
	var callers sync.WaitGroup
	for range 50 {
		callers.Go(func() {
			got, err := r.Get(context.Background())
			if err != nil || len(got.Agents) != 3 {
				t.Errorf("got %v, %v", got, err)
			}
		})
	}
	time.Sleep(20 * time.Millisecond)
	close(s.release)
	callers.Wait()
	require.Equal(t, int32(1), s.calls.Load())
}

// TestGetReturnsErrPendingWhileTheStoreIsSlow checks that a caller is not blocked by a store
// that does not answer, and gets the result of the same read later.
func TestGetReturnsErrPendingWhileTheStoreIsSlow(t *testing.T) {
	s := &fakeStore{release: make(chan struct{})}
	r := NewReader(s.read)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	_, err := r.Get(ctx)
	require.ErrorIs(t, err, ErrPending)
	close(s.release)
	got, err := r.Get(context.Background())
	require.NoError(t, err)
	require.Len(t, got.Agents, 3)
	require.Equal(t, int32(1), s.calls.Load())
}

func TestFailedReadIsReportedAndNotRepeatedPerCaller(t *testing.T) {
	s := &fakeStore{err: errors.New("store unavailable")}
	r := NewReader(s.read)
	for range 10 {
		_, err := r.Get(context.Background())
		require.ErrorIs(t, err, s.err)
	}
	require.Equal(t, int32(1), s.calls.Load())
}

func serve(t *testing.T, h http.Handler) netip.AddrPort {
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

// TestFetchReturnsThePeersSnapshot checks that a second fetch, whose response omits the known
// entries, returns the same ones from the same read.
func TestFetchReturnsThePeersSnapshot(t *testing.T) {
	s := &fakeStore{}
	peer := serve(t, Handler(NewReader(s.read), zap.NewNop()))
	client := NewClient()
	for range 2 {
		began := time.Now()
		got, err := client.Fetch(t.Context(), peer)
		require.NoError(t, err)
		require.Equal(t, agents(3), got.Agents)
		require.Equal(t, int64(1), got.Revision)
		require.Less(t, began.Sub(got.Earliest), time.Second)
	}
	require.Equal(t, int32(1), s.calls.Load())
}

// TestFetchFailsFastWithoutAUsableSnapshot guards against a balancer that is blocked by the
// failure of the peer that it asks, whatever that failure is.
func TestFetchFailsFastWithoutAUsableSnapshot(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	for name, c := range map[string]struct {
		handler http.HandlerFunc
		want    error
	}{
		"frozen": {handler: func(http.ResponseWriter, *http.Request) { <-release }},
		"an earlier version": {handler: func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusNotFound)
		}},
		"another program":       {handler: func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("hello")) }, want: ErrMalformed},
		"empty response":        {handler: func(http.ResponseWriter, *http.Request) {}, want: ErrMalformed},
		"read failed":           {handler: Handler(NewReader((&fakeStore{err: errors.New("refused")}).read), zap.NewNop()).ServeHTTP},
		"its store is too slow": {handler: Handler(NewReader((&fakeStore{release: release}).read), zap.NewNop()).ServeHTTP, want: ErrPending},
	} {
		peer := serve(t, c.handler)
		began := time.Now()
		_, err := NewClient().Fetch(t.Context(), peer)
		require.Error(t, err, name)
		if c.want != nil {
			require.ErrorIs(t, err, c.want, name)
		}
		require.Less(t, time.Since(began), 2*beginTimeout, name)
	}
	unreachable := netip.MustParseAddrPort("127.0.0.1:1")
	_, err := NewClient().Fetch(t.Context(), unreachable)
	require.Error(t, err)
}
