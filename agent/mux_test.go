package agent

import (
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/poppywall/poppywall/relay"
	"github.com/poppywall/poppywall/relay/encap"
	"github.com/poppywall/poppywall/route"
)

var (
	t0        = time.Unix(1_700_000_000, 0)
	secrets   = []route.Secret{{Number: 1, Bytes: []byte("first secret of the tests")}}
	foreign   = []route.Secret{{Number: 1, Bytes: []byte("a secret of another cluster")}}
	hostAddr  = netip.MustParseAddrPort("10.0.0.1:4000")
	otherHost = netip.MustParseAddrPort("10.0.0.2:4000")
	balancer  = netip.MustParseAddrPort("10.0.1.1:5000")
	caller    = netip.MustParseAddrPort("192.0.2.1:6000")
)

// fakeSocket records the datagrams that were sent.
type fakeSocket struct{ sent [][]byte }

func (*fakeSocket) Addr() netip.AddrPort                        { return hostAddr }
func (*fakeSocket) Read(*relay.Batch) ([]relay.Datagram, error) { return nil, net.ErrClosed }
func (*fakeSocket) Close() error                                { return nil }
func (s *fakeSocket) WriteTo(buf []byte, _ netip.AddrPort) error {
	s.sent = append(s.sent, buf)
	return nil
}

func testMetrics() *metrics { return newMetrics(prometheus.NewRegistry(), &Agent{}) }

func newTestMux(t require.TestingT, socket *fakeSocket) *mux {
	codec, err := route.NewCodec(secrets)
	require.NoError(t, err)
	tagger, err := encap.NewTagger(secrets)
	require.NoError(t, err)
	resets, err := newResetter(secrets)
	require.NoError(t, err)
	return newMux(socket, tagger, codec, resets, testMetrics())
}

func idle() (int, int, int) { return 0, 0, 0 }

func routeID(t require.TestingT, list []route.Secret, r route.Route) []byte {
	codec, err := route.NewCodec(list)
	require.NoError(t, err)
	var id [route.Len]byte
	require.NoError(t, codec.Encode(r, &id))
	return id[:]
}

func datagram(t require.TestingT, list []route.Secret, h encap.Header, payload []byte) []byte {
	tagger, err := encap.NewTagger(list)
	require.NoError(t, err)
	buf := append(make([]byte, encap.HeaderLen), payload...)
	require.NoError(t, tagger.Encode(buf, h))
	return buf
}

func serviceAddr(id int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("198.51.100.%d:443", id))
}

// TestNothingReachesAnotherService handles random datagrams: with genuine and
// forged tags, with routes of this host, another incarnation, another host or
// another service, and without a route, for services that are serving, draining
// or unknown. A datagram may be delivered only to the service that it names and
// that its route belongs to. Points 2 and 6 of docs/GUARANTEES.md.
func TestNothingReachesAnotherService(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		socket := &fakeSocket{}
		m := newTestMux(t, socket)
		conns := map[route.ServiceID]*serviceConn{}
		for id := route.ServiceID(1); id <= 2; id++ {
			conns[id] = newServiceConn(m, id, idle)
			conns[id].accepting.Store(rapid.Bool().Draw(t, "accepting"))
		}
		m.setConns(conns)

		list := rapid.SampledFrom([][]route.Secret{secrets, secrets, secrets, foreign}).Draw(t, "tag")
		h := encap.Header{
			Caller:    caller,
			Service:   serviceAddr(1),
			Kind:      rapid.SampledFrom([]encap.Kind{0, 1, 1, 1, 1, 2, 3, 4, 5}).Draw(t, "kind"),
			ServiceID: route.ServiceID(rapid.IntRange(1, 3).Draw(t, "service")),
		}
		r := route.Route{
			Host:        rapid.SampledFrom([]netip.AddrPort{hostAddr, hostAddr, hostAddr, otherHost}).Draw(t, "host"),
			Incarnation: m.incarnation + rapid.SampledFrom([]route.Incarnation{0, 0, 0, 1}).Draw(t, "incarnation"),
			Service:     route.ServiceID(rapid.IntRange(1, 3).Draw(t, "route service")),
		}
		routeKey := rapid.SampledFrom([][]route.Secret{secrets, foreign}).Draw(t, "route key")
		id := routeID(t, routeKey, r)
		long := rapid.Bool().Draw(t, "long")
		payload := append([]byte{0x41}, append(id, make([]byte, 60)...)...)
		if long {
			payload = append([]byte{0xc3, 0, 0, 0, 1, route.Len}, append(id, make([]byte, 1200)...)...)
		}
		m.handle(t0, balancer, datagram(t, list, h, payload))

		genuine := &list[0].Bytes[0] == &secrets[0].Bytes[0]
		routed := &routeKey[0].Bytes[0] == &secrets[0].Bytes[0]
		forward := genuine && h.Kind == encap.Forward
		conn := conns[h.ServiceID]
		want := false
		switch {
		case !forward:
		case routed:
			want = r.Host == hostAddr && r.Incarnation == m.incarnation && r.Service == h.ServiceID && conn != nil
		default:
			want = conn != nil && conn.accepting.Load()
		}
		for sid, c := range conns {
			got := len(c.packets) > 0
			require.Equal(t, want && sid == h.ServiceID, got, "service %d", sid)
		}
		if !forward {
			require.Empty(t, socket.sent, "a datagram that is forged or of another kind is not answered")
		}
		if forward && !routed && !want {
			require.Len(t, socket.sent, 1, "a refused new flow is returned to the balancer")
			back, rest, err := m.tagger.Decode(socket.sent[0])
			require.NoError(t, err)
			require.Equal(t, encap.Refused, back.Kind)
			require.Equal(t, uint8(1), back.Hops)
			require.Equal(t, payload, rest)
		}
		if forward && routed && !long && r.Service == h.ServiceID && !want {
			require.Len(t, socket.sent, 1, "a flow that is not open on this host is reset")
			_, rest, err := m.tagger.Decode(socket.sent[0])
			require.NoError(t, err)
			require.Less(t, len(rest), len(payload))
			require.Equal(t, m.resetter.token(id), rest[len(rest)-statelessResetTokenLen:])
		}
	})
}

func TestQueueOfAServiceIsBounded(t *testing.T) {
	m := newTestMux(t, &fakeSocket{})
	c := newServiceConn(m, 1, idle)
	for range packetQueueLen + 5 {
		c.deliver(encap.Header{Caller: caller, Service: serviceAddr(1)}, []byte("x"))
	}
	require.Len(t, c.packets, packetQueueLen)
	require.EqualValues(t, 5, testutil.ToFloat64(m.metrics.drops[dropQueueFull]))
	c.deliver(encap.Header{}, make([]byte, maxPacketLen+1))
	require.Len(t, c.packets, packetQueueLen)
}

func TestServiceConnDeadline(t *testing.T) {
	c := newServiceConn(newTestMux(t, &fakeSocket{}), 1, idle)
	require.NoError(t, c.SetReadDeadline(time.Unix(1, 0)))
	_, _, err := c.ReadFrom(make([]byte, 10))
	require.ErrorIs(t, err, errTimeout)
	require.NoError(t, c.SetReadDeadline(time.Time{}))
	require.NoError(t, c.Close())
	_, _, err = c.ReadFrom(make([]byte, 10))
	require.ErrorIs(t, err, net.ErrClosed)
}

func FuzzHandle(f *testing.F) {
	socket := &fakeSocket{}
	m := newTestMux(f, socket)
	f.Add([]byte("x"))
	f.Fuzz(func(t *testing.T, b []byte) {
		m.handle(t0, balancer, b)
		require.Empty(t, socket.sent)
	})
}
