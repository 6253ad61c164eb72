package agent

import (
	"context"
	"crypto/tls"
	"net"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/stretchr/testify/require"

	"github.com/poppywall/poppywall/standin"
)

// TestQUICLibraryAcceptsStatelessResets opens a connection under the reset key,
// closes the server's socket, and answers from a new socket at the same address
// with stateless resets. It guards against reset tokens that differ from those of
// the QUIC library, which would leave the caller waiting for its idle timeout.
func TestQUICLibraryAcceptsStatelessResets(t *testing.T) {
	resets, err := newResetter(secrets)
	require.NoError(t, err)
	ca, err := standin.NewAuthority()
	require.NoError(t, err)
	certPath, keyPath, err := ca.WriteKeyPair(t.TempDir(), "tables.example")
	require.NoError(t, err)
	pair, err := tls.LoadX509KeyPair(certPath, keyPath)
	require.NoError(t, err)

	server, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	defer func() { _ = server.Close() }()
	// IDs start with the number of the secret, as routes do.
	tr := &quic.Transport{Conn: server, StatelessResetKey: resets.currentKey(), ConnectionIDGenerator: secretPrefixedIDs{secrets[0].Number}}
	ln, err := tr.Listen(&tls.Config{Certificates: []tls.Certificate{pair}, NextProtos: []string{"t"}}, nil)
	require.NoError(t, err)
	accepted := make(chan struct{})
	go func() {
		if _, err := ln.Accept(t.Context()); err == nil {
			close(accepted)
		}
	}()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	conf := &tls.Config{RootCAs: ca.Pool(), ServerName: "tables.example", NextProtos: []string{"t"}}
	conn, err := quic.DialAddr(ctx, server.LocalAddr().String(), conf, &quic.Config{KeepAlivePeriod: 50 * time.Millisecond})
	require.NoError(t, err)
	<-accepted

	// Stands for a restarted process at the same address, without the connection.
	address := server.LocalAddr().(*net.UDPAddr)
	require.NoError(t, server.Close())
	restarted, err := net.ListenUDP("udp4", address)
	require.NoError(t, err)
	defer func() { _ = restarted.Close() }()
	go func() {
		buf := make([]byte, 1500)
		for {
			n, from, err := restarted.ReadFromUDP(buf)
			if err != nil {
				return
			}
			if n < 1+testIDLen || buf[0]&0x80 != 0 {
				continue
			}
			if p, ok := resets.resetPacket(buf[1:1+testIDLen], n); ok {
				_, _ = restarted.WriteToUDP(p, from)
			}
		}
	}()
	select {
	case <-conn.Context().Done():
		var reset *quic.StatelessResetError
		require.ErrorAs(t, context.Cause(conn.Context()), &reset)
	case <-ctx.Done():
		t.Fatal("the client did not detect that its connection was reset")
	}
}

const testIDLen = 20

// secretPrefixedIDs generates connection IDs that start with the number of a
// secret.
type secretPrefixedIDs struct{ secretNumber byte }

func (g secretPrefixedIDs) GenerateConnectionID() (quic.ConnectionID, error) {
	id := make([]byte, testIDLen)
	id[0] = g.secretNumber
	copy(id[1:], time.Now().Format("150405.000000000"))
	return quic.ConnectionIDFromBytes(id), nil
}

func (secretPrefixedIDs) ConnectionIDLen() int { return testIDLen }

// TestResetsCannotLoop answers resets with resets. Each must be shorter than the
// last, so that two endpoints without state do not answer each other forever.
func TestResetsCannotLoop(t *testing.T) {
	resets, err := newResetter(secrets)
	require.NoError(t, err)
	id := make([]byte, testIDLen)
	id[0] = secrets[0].Number
	size := 1200
	for hops := 0; ; hops++ {
		p, ok := resets.resetPacket(id, size)
		if !ok {
			return
		}
		require.Less(t, len(p), size)
		require.Less(t, hops, 100)
		size = len(p)
	}
}
