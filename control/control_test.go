package control

import (
	"context"
	"encoding/binary"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/poppywall/poppywall/route"
	"github.com/poppywall/poppywall/standin"
)

var (
	oldSecret     = route.Secret{Number: 1, Bytes: []byte("first secret of the tests")}
	newSecret     = route.Secret{Number: 2, Bytes: []byte("second secret of the tests")}
	foreignSecret = route.Secret{Number: 1, Bytes: []byte("a secret of another cluster")}
)

type echo struct{ Text string }

func startServer(t *testing.T, secrets ...route.Secret) string {
	t.Helper()
	s, err := Listen("127.0.0.1:0", secrets, &Traffic{}, zap.NewNop())
	require.NoError(t, err)
	s.Register("echo", Handle(func(_ context.Context, e echo) (echo, error) { return e, nil }))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = s.Serve(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return s.Addr().String()
}

func call(t *testing.T, address string, secrets ...route.Secret) (string, error) {
	t.Helper()
	c := NewClient(secrets, &Traffic{}, 10*time.Second, time.Minute)
	defer c.Close()
	var out echo
	err := c.Call(t.Context(), address, "echo", echo{"hello"}, &out)
	return out.Text, err
}

func TestCallsNeedTheSecret(t *testing.T) {
	address := startServer(t, oldSecret, newSecret)
	for _, secrets := range [][]route.Secret{{oldSecret}, {newSecret, oldSecret}, {oldSecret, newSecret}} {
		got, err := call(t, address, secrets...)
		require.NoError(t, err)
		require.Equal(t, "hello", got)
	}
	_, err := call(t, address, foreignSecret)
	require.Error(t, err)
}

func TestServerRejectsUnknownMethodAndBadParams(t *testing.T) {
	address := startServer(t, oldSecret)
	c := NewClient([]route.Secret{oldSecret}, &Traffic{}, 10*time.Second, time.Minute)
	defer c.Close()
	require.Error(t, c.Call(t.Context(), address, "nothing", echo{}, nil))
	require.Error(t, c.Call(t.Context(), address, "echo", "not an object", nil))
	var out echo
	require.NoError(t, c.Call(t.Context(), address, "echo", echo{"still here"}, &out))
}

// TestConnectionsAreBounded occupies the only connection slot of a server: the
// call of a second client fails, and succeeds once the slot is free again.
func TestConnectionsAreBounded(t *testing.T) {
	s, err := Listen("127.0.0.1:0", []route.Secret{oldSecret}, &Traffic{}, zap.NewNop())
	require.NoError(t, err)
	s.connSlots = make(chan struct{}, 1)
	s.Register("echo", Handle(func(_ context.Context, e echo) (echo, error) { return e, nil }))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = s.Serve(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	first := NewClient([]route.Secret{oldSecret}, &Traffic{}, 10*time.Second, time.Minute)
	var out echo
	require.NoError(t, first.Call(t.Context(), s.Addr().String(), "echo", echo{"a"}, &out))
	_, err = call(t, s.Addr().String(), oldSecret)
	require.Error(t, err)
	first.Close()
	require.Eventually(t, func() bool {
		_, err := call(t, s.Addr().String(), oldSecret)
		return err == nil
	}, 30*time.Second, 10*time.Millisecond)
}

// newStreamPair returns both ends of a connection after the handshake.
func newStreamPair(t *testing.T) (client, server *stream) {
	t.Helper()
	a, b := net.Pipe()
	done := make(chan error, 1)
	go func() {
		var err error
		server, err = newStream(bufferedConn{b}, []route.Secret{oldSecret}, false, &Traffic{})
		done <- err
	}()
	client, err := newStream(bufferedConn{a}, []route.Secret{oldSecret}, true, &Traffic{})
	require.NoError(t, err)
	require.NoError(t, <-done)
	return client, server
}

// bufferedConn makes Write return before the peer reads, as with TCP, so that
// both ends can start the handshake by writing.
type bufferedConn struct{ net.Conn }

func (c bufferedConn) Write(b []byte) (int, error) {
	own := append([]byte(nil), b...)
	go func() { _, _ = c.Conn.Write(own) }()
	return len(b), nil
}

func TestReplayedFrameIsRejected(t *testing.T) {
	client, server := newStreamPair(t)
	body := []byte(`{"Text":"x"}`)
	frame := make([]byte, frameHeaderLen)
	binary.BigEndian.PutUint32(frame, uint32(len(body)))
	copy(frame[4:], tag(client.sendKey, 0, body))
	frame = append(frame, body...)
	var got echo
	_, err := client.conn.Write(frame)
	require.NoError(t, err)
	require.NoError(t, server.ReadObject(&got))
	_, err = client.conn.Write(frame)
	require.NoError(t, err)
	require.ErrorIs(t, server.ReadObject(&got), ErrFrameTag, "a replayed frame")
}

func TestFramesAreBounded(t *testing.T) {
	client, server := newStreamPair(t)
	require.ErrorIs(t, client.WriteObject(make([]byte, MaxFrame)), ErrFrameTooLarge)
	frame := make([]byte, frameHeaderLen)
	binary.BigEndian.PutUint32(frame, MaxFrame+1)
	_, err := client.conn.Write(frame)
	require.NoError(t, err)
	require.ErrorIs(t, server.ReadObject(&echo{}), ErrFrameTooLarge)
}

// TestClientReplacesStalledConnection: after the cached connection stalls without
// a reset, one call fails and the next one succeeds over a new connection.
func TestClientReplacesStalledConnection(t *testing.T) {
	proxy, err := standin.NewProxy(startServer(t, oldSecret))
	require.NoError(t, err)
	defer proxy.Close()
	c := NewClient([]route.Secret{oldSecret}, &Traffic{}, 300*time.Millisecond, time.Minute)
	defer c.Close()
	callEcho := func() error { return c.Call(t.Context(), proxy.Addr(), "echo", echo{"hello"}, &echo{}) }
	require.NoError(t, callEcho())
	proxy.Blackhole()
	require.Error(t, callEcho())
	require.NoError(t, callEcho())
}
