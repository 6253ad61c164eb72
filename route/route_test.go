package route

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var testSecrets = []Secret{
	{Number: 7, Bytes: []byte("secret seven, long enough")},
	{Number: 3, Bytes: []byte("secret three, long enough")},
}

func newCodec(t require.TestingT, secrets ...Secret) *Codec {
	c, err := NewCodec(secrets)
	require.NoError(t, err)
	return c
}

func drawRoute(t *rapid.T) Route {
	return Route{
		Host: netip.AddrPortFrom(
			netip.AddrFrom4([4]byte(rapid.SliceOfN(rapid.Byte(), 4, 4).Draw(t, "ip"))),
			rapid.Uint16().Draw(t, "port")),
		Incarnation: Incarnation(rapid.Uint32().Draw(t, "incarnation")),
		Service:     ServiceID(rapid.Uint16().Draw(t, "service")),
		Nonce:       rapid.Uint32Range(0, 1<<24-1).Draw(t, "nonce"),
	}
}

// A decoded route equals the encoded one. A truncated ID, an ID with any bit
// flipped and an ID made with another cluster's secret are rejected.
func TestRoundTripAndBitFlipDetection(t *testing.T) {
	codec := newCodec(t, testSecrets...)
	otherCluster := newCodec(t, Secret{Number: 7, Bytes: []byte("another cluster's secret")})
	rapid.Check(t, func(t *rapid.T) {
		want := drawRoute(t)
		var id [Len]byte
		require.NoError(t, codec.Encode(want, &id))
		got, err := codec.Decode(id[:])
		require.NoError(t, err)
		require.Equal(t, want, got)

		_, err = otherCluster.Decode(id[:])
		require.Error(t, err)
		_, err = codec.Decode(id[:rapid.IntRange(0, Len-1).Draw(t, "cut")])
		require.ErrorIs(t, err, ErrLength)
		bit := rapid.IntRange(0, Len*8-1).Draw(t, "bit")
		id[bit/8] ^= 1 << (bit % 8)
		_, err = codec.Decode(id[:])
		require.Error(t, err)
	})
}

// Guards against a rotation of secrets after which a node cannot decode routes
// made by a node that is one stage ahead of it or behind it.
func TestRotationBreaksNoRoute(t *testing.T) {
	old, next := testSecrets[0], testSecrets[1]
	stages := []*Codec{newCodec(t, old), newCodec(t, old, next), newCodec(t, next, old), newCodec(t, next)}
	rapid.Check(t, func(t *rapid.T) {
		// During a rotation, nodes of two adjacent stages coexist.
		stage := rapid.IntRange(0, 2).Draw(t, "stage")
		pair := stages[stage : stage+2]
		if stage == 2 {
			pair = pair[:1] // the old secret is removed only after the last route made with it has ended
		}
		var id [Len]byte
		want := drawRoute(t)
		require.NoError(t, rapid.SampledFrom(pair).Draw(t, "from").Encode(want, &id))
		got, err := rapid.SampledFrom(pair).Draw(t, "to").Decode(id[:])
		require.NoError(t, err)
		require.Equal(t, want, got)
	})
}

func TestNewCodecRejectsInvalidSecrets(t *testing.T) {
	for name, secrets := range map[string][]Secret{
		"none":   nil,
		"short":  {{Bytes: []byte("short")}},
		"double": {testSecrets[0], testSecrets[0]},
	} {
		_, err := NewCodec(secrets)
		require.Error(t, err, name)
	}
	_, err := NewIDGenerator(newCodec(t, testSecrets...), Route{Host: netip.MustParseAddrPort("[::1]:1")}, 0)
	require.Error(t, err)
}

// IDs stay distinct while the nonce wraps around, here after 50 of them.
func TestNextReturnsDistinctIDs(t *testing.T) {
	generator, err := NewIDGenerator(newCodec(t, testSecrets...), Route{Host: netip.MustParseAddrPort("10.0.0.1:1")}, 1<<24-50)
	require.NoError(t, err)
	seen := map[[Len]byte]bool{}
	for range 10000 {
		id := generator.Next()
		require.False(t, seen[id])
		seen[id] = true
	}
}

func FuzzDecode(f *testing.F) {
	codec := newCodec(f, testSecrets...)
	var id [Len]byte
	require.NoError(f, codec.Encode(Route{Host: netip.MustParseAddrPort("10.1.2.3:4433"), Service: 9}, &id))
	f.Add(id[:])
	f.Add([]byte{})
	f.Add(make([]byte, Len))
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := codec.Decode(b)
		if err != nil || b[0] != codec.current {
			return
		}
		var reencoded [Len]byte
		require.NoError(t, codec.Encode(r, &reencoded))
		require.Equal(t, reencoded[:], b)
	})
}

func BenchmarkDecode(b *testing.B) {
	codec := newCodec(b, testSecrets...)
	var id [Len]byte
	require.NoError(b, codec.Encode(Route{Host: netip.MustParseAddrPort("10.1.2.3:4433")}, &id))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := codec.Decode(id[:]); err != nil {
			b.Fatal(err)
		}
	}
}

func TestDecodeAllocatesNothing(t *testing.T) {
	codec := newCodec(t, testSecrets...)
	var id [Len]byte
	require.NoError(t, codec.Encode(Route{Host: netip.MustParseAddrPort("10.1.2.3:4433")}, &id))
	require.Zero(t, testing.AllocsPerRun(100, func() { _, _ = codec.Decode(id[:]) }))
}
