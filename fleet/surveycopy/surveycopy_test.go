package surveycopy

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
		out = append(out, fleet.Entry{IP: flow.IPv4(0x0a010000 + i), Epoch: uint64(7 + i)})
	}
	return out
}

// TestAReadingNeverLooksNewerThanItIs, however long its way takes and whoever stands still
// meanwhile: the bounds hold the moment at which it began and ended, for a giver that
// answered at any moment between question and answer.
func TestAReadingNeverLooksNewerThanItIs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		span := func(name string) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(10*time.Second)).Draw(t, name))
		}
		asked := start
		answered := asked.Add(span("question and reading"))
		came := answered.Add(span("answer"))
		ended := answered.Add(-span("since the end"))
		began := ended.Add(-span("reading"))
		list := agents(rapid.IntRange(0, 5).Draw(t, "agents"))
		body := encode(answered, fleet.Survey{Earliest: began, Latest: ended, Revision: 9, Agents: list}, 0)
		got, err := decode(asked, came, body, nil)
		require.NoError(t, err)
		require.False(t, got.Earliest.After(began), "earliest %v, began %v", got.Earliest, began)
		require.False(t, got.Latest.Before(ended), "latest %v, ended %v", got.Latest, ended)
		require.Equal(t, int64(9), got.Revision)
		require.Len(t, got.Agents, len(list))
	})
}

// TestEntriesThatAreKnownAreNotSentAgain.
func TestEntriesThatAreKnownAreNotSentAgain(t *testing.T) {
	list := agents(600)
	s := fleet.SurveyAt(start, list)
	whole := encode(start, s, 0)
	require.Less(t, len(whole), 600*entryLen+headLen+1)
	same := encode(start, s, sum(list))
	require.Len(t, same, headLen)
	got, err := decode(start, start, same, list)
	require.NoError(t, err)
	require.Equal(t, list, got.Agents)
	_, err = decode(start, start, same, list[1:])
	require.ErrorIs(t, err, ErrMalformed, "others than the giver thought")
	_, err = decode(start, start, same, nil)
	require.ErrorIs(t, err, ErrMalformed)
}

// TestADamagedReadingIsNone.
func TestADamagedReadingIsNone(t *testing.T) {
	whole := encode(start, fleet.SurveyAt(start, agents(3)), 0)
	for i := range whole {
		if i >= 1 && i < 17 {
			// Ages and revision are not covered by the sum.
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
	f.Add(encode(start, fleet.SurveyAt(start, agents(2)), 0))
	f.Add(encode(start, fleet.SurveyAt(start, agents(2)), sum(agents(2))))
	f.Fuzz(func(t *testing.T, b []byte) {
		s, err := decode(start, start, b, agents(2))
		if err != nil {
			return
		}
		require.False(t, s.Earliest.After(start))
		require.False(t, s.Latest.After(start))
		require.LessOrEqual(t, len(s.Agents), mostAgents)
	})
}

// store is a registry that takes its time, or fails.
type store struct {
	calls   atomic.Int32
	release chan struct{}
	err     error
}

func (s *store) read(context.Context) ([]fleet.Entry, int64, error) {
	s.calls.Add(1)
	if s.release != nil {
		<-s.release
	}
	return agents(3), int64(s.calls.Load()), s.err
}

// TestOneReadingServesAllWhoAskAtOnce: the return of everybody, who all doubt at once.
func TestOneReadingServesAllWhoAskAtOnce(t *testing.T) {
	s := &store{release: make(chan struct{})}
	r := NewReader(s.read)
	var all sync.WaitGroup
	for range 50 {
		all.Go(func() {
			got, err := r.Get(context.Background())
			if err != nil || len(got.Agents) != 3 {
				t.Errorf("got %v, %v", got, err)
			}
		})
	}
	time.Sleep(20 * time.Millisecond)
	close(s.release)
	all.Wait()
	require.Equal(t, int32(1), s.calls.Load())
}

// TestWhoAsksAStoreThatDoesNotAnswerGoesOn: it is told that the reading is under way, and
// gets it later.
func TestWhoAsksAStoreThatDoesNotAnswerGoesOn(t *testing.T) {
	s := &store{release: make(chan struct{})}
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

// TestAFailedReadingIsToldAndNotRepeatedForEachAsker.
func TestAFailedReadingIsToldAndNotRepeatedForEachAsker(t *testing.T) {
	s := &store{err: errors.New("store away")}
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

// TestAReadingIsPassedOn, and not its entries again while they are the same.
func TestAReadingIsPassedOn(t *testing.T) {
	s := &store{}
	giver := serve(t, Handler(NewReader(s.read), zap.NewNop()))
	client := NewClient()
	for range 2 {
		began := time.Now()
		got, err := client.Fetch(t.Context(), giver)
		require.NoError(t, err)
		require.Equal(t, agents(3), got.Agents)
		require.Equal(t, int64(1), got.Revision)
		require.Less(t, began.Sub(got.Earliest), time.Second)
	}
	require.Equal(t, int32(1), s.calls.Load())
}

// TestAGiverThatHasNoReadingIsLeft: who asks has to go on, whatever is wrong with the
// balancer that it asks, and soon.
func TestAGiverThatHasNoReadingIsLeft(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	for name, c := range map[string]struct {
		giver http.HandlerFunc
		want  error
	}{
		"frozen": {giver: func(http.ResponseWriter, *http.Request) { <-release }},
		"an earlier version": {giver: func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusNotFound)
		}},
		"another program":       {giver: func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("hello")) }, want: ErrMalformed},
		"nothing":               {giver: func(http.ResponseWriter, *http.Request) {}, want: ErrMalformed},
		"turned away":           {giver: Handler(NewReader((&store{err: errors.New("refused")}).read), zap.NewNop()).ServeHTTP},
		"its store is too slow": {giver: Handler(NewReader((&store{release: release}).read), zap.NewNop()).ServeHTTP, want: ErrPending},
	} {
		giver := serve(t, c.giver)
		began := time.Now()
		_, err := NewClient().Fetch(t.Context(), giver)
		require.Error(t, err, name)
		if c.want != nil {
			require.ErrorIs(t, err, c.want, name)
		}
		require.Less(t, time.Since(began), 2*beginTimeout, name)
	}
	nobody := netip.MustParseAddrPort("127.0.0.1:1")
	_, err := NewClient().Fetch(t.Context(), nobody)
	require.Error(t, err)
}
