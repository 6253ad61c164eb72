package envelope

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

func drawEnvelope(t *rapid.T) Envelope {
	e := Envelope{
		Kind:     rapid.SampledFrom([]Kind{Deliver, Returned, Owner}).Draw(t, "kind"),
		Balancer: flow.IPv4(rapid.Uint32().Draw(t, "balancer")),
		Hops:     rapid.Uint8().Draw(t, "hops"),
		Flags:    Flags(rapid.Uint8Range(0, 7).Draw(t, "flags")),
		Service:  drawService(t),
		ProbeID:  rapid.Uint32().Draw(t, "search"),
		Priority: rapid.Uint8().Draw(t, "priority"),
		ColdRate: float64(rapid.Uint16().Draw(t, "cold rate")) / rateScale,
	}
	for range rapid.IntRange(0, MaxCandidates).Draw(t, "count") {
		e.Candidates[e.Count] = flow.IPv4(rapid.Uint32().Draw(t, "target"))
		e.Count++
	}
	return e
}

func drawService(t *rapid.T) (id flow.ServiceID) {
	if rapid.Bool().Draw(t, "opening") {
		id = flow.ServiceIDOf(rapid.String().Draw(t, "service"))
	}
	return id
}

func TestEnvelopeRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := drawEnvelope(t)
		packet := rapid.SliceOfN(rapid.Byte(), 0, 64).Draw(t, "packet")
		wire := append(e.Append(nil), packet...)
		require.LessOrEqual(t, len(wire), MaxLen+len(packet))
		var got Envelope
		rest, err := got.Decode(wire)
		require.NoError(t, err)
		require.Equal(t, e, got)
		require.Equal(t, len(packet), len(rest))
		cut := rapid.IntRange(0, len(wire)-len(packet)-1).Draw(t, "cut")
		_, err = got.Decode(wire[:cut])
		require.ErrorIs(t, err, ErrMalformed)
	})
}

// TestColdRateIsRoundedUp guards against a small rate that is encoded as zero, which means
// no limit, and against a rate that changes each time it is passed on.
func TestColdRateIsRoundedUp(t *testing.T) {
	roundTrip := func(rate float64) float64 {
		e := Envelope{Kind: Deliver, ColdRate: rate}
		var got Envelope
		_, err := got.Decode(e.Append(nil))
		require.NoError(t, err)
		return got.ColdRate
	}
	for tenths := range 1 << 16 {
		rate := float64(tenths) / rateScale
		require.Equal(t, rate, roundTrip(rate))
	}
	for rate, want := range map[float64]float64{0.01: 0.1, 2.55: 2.6, 1e9: 6553.5, -1: 0} {
		require.Equal(t, want, roundTrip(rate))
	}
}

func TestPopTakesCandidatesInOrder(t *testing.T) {
	var e Envelope
	e.SetCandidates([]flow.IPv4{1, 2})
	first, ok := e.Pop()
	require.True(t, ok)
	require.EqualValues(t, 1, first)
	second, _ := e.Pop()
	require.EqualValues(t, 2, second)
	_, ok = e.Pop()
	require.False(t, ok)
}

func TestKeyRoundTrip(t *testing.T) {
	k := flow.Key{ClientIP: 1, FrontIP: 2, ClientPort: 3, FrontPort: 4}
	got, err := DecodeKey(AppendKey(nil, k))
	require.NoError(t, err)
	require.Equal(t, k, got)
	_, err = DecodeKey(AppendKey(nil, k)[1:])
	require.ErrorIs(t, err, ErrMalformed)
}

func FuzzDecode(f *testing.F) {
	e := Envelope{Kind: Deliver, Count: 2}
	f.Add(e.Append(nil))
	f.Add([]byte("nonsense that is long enough to be a header"))
	f.Fuzz(func(t *testing.T, b []byte) {
		var e Envelope
		rest, err := e.Decode(b)
		if err != nil {
			return
		}
		require.LessOrEqual(t, e.Count, MaxCandidates)
		require.Equal(t, b, append(e.Append(nil), rest...))
	})
}

func BenchmarkDecode(b *testing.B) {
	e := Envelope{Kind: Deliver, Count: 8}
	wire := append(e.Append(nil), make([]byte, 1232)...)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := e.Decode(wire); err != nil {
			b.Fatal(err)
		}
	}
}
