package encap

import (
	"bytes"
	"net"
	"net/netip"
	"testing"

	"github.com/pires/go-proxyproto"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/poppywall/poppywall/route"
)

var (
	testSecret  = route.Secret{Number: 1, Bytes: []byte("a secret of the tests")}
	otherSecret = route.Secret{Number: 2, Bytes: []byte("another secret of the tests")}
)

func newTagger(t require.TestingT, secrets ...route.Secret) *Tagger {
	tagger, err := NewTagger(secrets)
	require.NoError(t, err)
	return tagger
}

func drawAddr(t *rapid.T, label string) netip.AddrPort {
	ip := rapid.SliceOfN(rapid.Byte(), 4, 4).Draw(t, label+" ip")
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(ip)), rapid.Uint16().Draw(t, label+" port"))
}

func drawHeader(t *rapid.T) Header {
	return Header{
		Caller:    drawAddr(t, "caller"),
		Service:   drawAddr(t, "service"),
		Kind:      Kind(rapid.Byte().Draw(t, "kind")),
		Hops:      rapid.Byte().Draw(t, "hops"),
		ServiceID: route.ServiceID(rapid.Uint16().Draw(t, "id")),
		Open:      rapid.Uint16().Draw(t, "open"),
		Busy:      rapid.Uint16().Draw(t, "busy"),
		Capacity:  rapid.Uint16().Draw(t, "capacity"),
	}
}

// A decoded datagram equals the encoded one, also under a secret that is not the
// first. A tag made with another secret and a flipped bit in the header or in the
// covered part of the payload are rejected.
func TestHeaderRoundTripAndForgeryDetection(t *testing.T) {
	tagger, otherTagger := newTagger(t, testSecret), newTagger(t, otherSecret)
	both := newTagger(t, otherSecret, testSecret)
	rapid.Check(t, func(t *rapid.T) {
		h := drawHeader(t)
		payload := rapid.SliceOfN(rapid.Byte(), 0, 100).Draw(t, "payload")
		buf := append(make([]byte, HeaderLen), payload...)
		require.NoError(t, tagger.Encode(buf, h))
		for _, accepting := range []*Tagger{tagger, both} {
			got, rest, err := accepting.Decode(buf)
			require.NoError(t, err)
			require.Equal(t, h, got)
			require.True(t, bytes.Equal(payload, rest))
		}
		_, _, err := otherTagger.Decode(buf)
		require.Error(t, err)
		covered := min(len(buf), HeaderLen+taggedPayloadLen)
		bit := rapid.IntRange(0, covered*8-1).Draw(t, "bit")
		buf[bit/8] ^= 1 << (bit % 8)
		_, _, err = tagger.Decode(buf)
		require.Error(t, err)
	})
}

// TestHeaderIsPROXYv2 parses the fixed layout with a general PROXY library.
func TestHeaderIsPROXYv2(t *testing.T) {
	tagger := newTagger(t, testSecret)
	rapid.Check(t, func(t *rapid.T) {
		h := drawHeader(t)
		buf := make([]byte, HeaderLen)
		require.NoError(t, tagger.Encode(buf, h))
		parsed, err := proxyproto.Read(newBufReader(buf))
		require.NoError(t, err)
		src, ok := parsed.SourceAddr.(*net.UDPAddr)
		require.True(t, ok)
		require.Equal(t, h.Caller.String(), src.AddrPort().String())
		require.Equal(t, h.Service.String(), parsed.DestinationAddr.(*net.UDPAddr).AddrPort().String())
		tlvs, err := parsed.TLVs()
		require.NoError(t, err)
		require.Len(t, tlvs, 1)
		require.EqualValues(t, tlvType, tlvs[0].Type)
	})
}

func FuzzDecode(f *testing.F) {
	tagger := newTagger(f, testSecret)
	valid := make([]byte, HeaderLen+20)
	h := Header{Caller: netip.MustParseAddrPort("10.0.0.1:1"), Service: netip.MustParseAddrPort("10.0.0.2:2"), Kind: Forward}
	require.NoError(f, tagger.Encode(valid, h))
	f.Add(valid)
	f.Add(valid[:HeaderLen-1])
	f.Fuzz(func(t *testing.T, b []byte) {
		got, payload, err := tagger.Decode(b)
		if err != nil {
			return
		}
		reencoded := append(make([]byte, HeaderLen), payload...)
		require.NoError(t, tagger.Encode(reencoded, got))
		require.Equal(t, reencoded, b)
	})
}

func FuzzParsePacket(f *testing.F) {
	f.Add([]byte{0x40}, 20)
	f.Add(append([]byte{0xc0, 0, 0, 0, 1, 8, 1, 2, 3, 4, 5, 6, 7, 8}, make([]byte, 1200)...), 20)
	f.Fuzz(func(t *testing.T, b []byte, n int) {
		if n < 0 || n > 20 {
			return
		}
		p, ok := ParsePacket(b, n)
		if ok {
			require.LessOrEqual(t, len(p.ID), len(b))
		}
	})
}

func BenchmarkDecode(b *testing.B) {
	tagger := newTagger(b, testSecret)
	buf := make([]byte, HeaderLen+1200)
	h := Header{Caller: netip.MustParseAddrPort("10.0.0.1:1"), Service: netip.MustParseAddrPort("10.0.0.2:2"), Kind: Forward}
	require.NoError(b, tagger.Encode(buf, h))
	b.Run("fixed", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, _, err := tagger.Decode(buf); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("general", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, err := proxyproto.Read(newBufReader(buf)); err != nil {
				b.Fatal(err)
			}
		}
	})
}

func BenchmarkEncode(b *testing.B) {
	tagger := newTagger(b, testSecret)
	buf := make([]byte, HeaderLen+1200)
	h := Header{Caller: netip.MustParseAddrPort("10.0.0.1:1"), Service: netip.MustParseAddrPort("10.0.0.2:2"), Kind: Forward}
	b.Run("fixed", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if err := tagger.Encode(buf, h); err != nil {
				b.Fatal(err)
			}
		}
	})
	general := proxyproto.HeaderProxyFromAddrs(2, net.UDPAddrFromAddrPort(h.Caller), net.UDPAddrFromAddrPort(h.Service))
	b.Run("general", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, err := general.Format(); err != nil {
				b.Fatal(err)
			}
		}
	})
}
