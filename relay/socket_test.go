package relay

import (
	"net"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
)

// Sockets share one address and the kernel delivers each datagram of one caller
// to a random one. Guards against attaching the BPF program before bind, which
// made the bind of the second socket fail.
func TestSprayDistributesDatagramsToAllSockets(t *testing.T) {
	const members, datagrams = 3, 300
	first, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"), Spray{Members: members})
	require.NoError(t, err)
	sockets := []*Socket{first}
	for range members - 1 {
		s, err := Listen(first.Addr(), Spray{Members: members})
		require.NoError(t, err)
		sockets = append(sockets, s)
	}
	from, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(first.Addr()))
	require.NoError(t, err)
	defer func() { _ = from.Close() }()
	for range datagrams {
		_, err := from.Write([]byte("x"))
		require.NoError(t, err)
	}
	total := 0
	for _, s := range sockets {
		got := 0
		for batch := NewBatch(); s.readable(t); {
			in, err := s.Read(batch)
			require.NoError(t, err)
			got += len(in)
		}
		require.Greater(t, got, datagrams/10)
		total += got
		require.NoError(t, s.Close())
	}
	require.Equal(t, datagrams, total)
}

// readable reports without blocking whether a datagram is queued. On loopback a
// datagram is queued once its send has returned.
func (s *Socket) readable(t *testing.T) bool {
	t.Helper()
	raw, err := s.conn.SyscallConn()
	require.NoError(t, err)
	ready := false
	require.NoError(t, raw.Control(func(fd uintptr) { ready = pollReadable(fd) }))
	return ready
}

// Datagrams of more than one batch arrive in order, and each received payload has
// headroom for a header in front of it.
func TestBatchKeepsOrderAndHeaderHeadroom(t *testing.T) {
	a, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"), Spray{})
	require.NoError(t, err)
	b, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"), Spray{})
	require.NoError(t, err)
	defer func() { _ = a.Close(); _ = b.Close() }()
	out, in := NewBatch(), NewBatch()
	for i := range BatchSize + 5 {
		require.Zero(t, out.Queue(a, b.Addr(), []byte{byte(i)}))
	}
	require.Zero(t, out.Flush())
	for want := 0; want < BatchSize+5; {
		require.NoError(t, b.Wait())
		got, err := b.Read(in)
		require.NoError(t, err)
		for i := range got {
			require.Equal(t, []byte{byte(want)}, got[i].Payload)
			require.Equal(t, a.Addr(), got[i].From)
			buf := got[i].WithHeader(got[i].Payload)
			require.Equal(t, byte(want), buf[len(buf)-1])
			want++
		}
	}
}
