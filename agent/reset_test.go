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

// TestResetsAreTakenByTheQUICLibrary makes a connection under the reset key and
// lets a second process at the same address, which does not know it, reset it.
func TestResetsAreTakenByTheQUICLibrary(t *testing.T) {
	resets, err := newResetter(secrets)
	require.NoError(t, err)
	ca, err := standin.NewAuthority()
	require.NoError(t, err)
	certPath, keyPath, err := ca.WritePair(t.TempDir(), "tables.example")
	require.NoError(t, err)
	pair, err := tls.LoadX509KeyPair(certPath, keyPath)
	require.NoError(t, err)

	server, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	defer func() { _ = server.Close() }()
	// IDs start with the number of the secret, as routes do.
	tr := &quic.Transport{Conn: server, StatelessResetKey: resets.currentKey(), ConnectionIDGenerator: firstByte{secrets[0].Number}}
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

	// The old process is gone; a bare socket at its address answers.
	address := server.LocalAddr().(*net.UDPAddr)
	require.NoError(t, server.Close())
	fresh, err := net.ListenUDP("udp4", address)
	require.NoError(t, err)
	defer func() { _ = fresh.Close() }()
	go func() {
		buf := make([]byte, 1500)
		for {
			n, from, err := fresh.ReadFromUDP(buf)
			if err != nil {
				return
			}
			if n < 1+idLen || buf[0]&0x80 != 0 {
				continue
			}
			if p, ok := resets.packet(buf[1:1+idLen], n); ok {
				_, _ = fresh.WriteToUDP(p, from)
			}
		}
	}()
	select {
	case <-conn.Context().Done():
		var reset *quic.StatelessResetError
		require.ErrorAs(t, context.Cause(conn.Context()), &reset)
	case <-ctx.Done():
		t.Fatal("the caller did not learn that its flow is gone")
	}
}

const idLen = 20

type firstByte struct{ number byte }

func (g firstByte) GenerateConnectionID() (quic.ConnectionID, error) {
	id := make([]byte, idLen)
	id[0] = g.number
	copy(id[1:], time.Now().Format("150405.000000000"))
	return quic.ConnectionIDFromBytes(id), nil
}

func (firstByte) ConnectionIDLen() int { return idLen }

func TestResetsCannotLoop(t *testing.T) {
	resets, err := newResetter(secrets)
	require.NoError(t, err)
	id := make([]byte, idLen)
	id[0] = secrets[0].Number
	size := 1200
	for hops := 0; ; hops++ {
		p, ok := resets.packet(id, size)
		if !ok {
			return
		}
		require.Less(t, len(p), size)
		require.Less(t, hops, 100)
		size = len(p)
	}
}
