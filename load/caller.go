// Package load generates HTTP/3 load on services and measures it from the
// client side: broken flows, imbalance, verdicts and latencies.
package load

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

// Caller is an HTTP/3 client with its own connection.
type Caller struct {
	transport *http3.Transport
	udp       *net.UDPConn
	quic      *quic.Transport
	service   net.Addr
	authority string
	// ahead is the connection that Connect opened and no request has used yet.
	ahead *quic.Conn
}

const (
	callerIdleTimeout      = 30 * time.Second
	callerKeepAlivePeriod  = 5 * time.Second
	callerHandshakeTimeout = 10 * time.Second
)

// NewCaller returns a client that sends requests for the authority to the service
// address and trusts the certificate authorities in roots.
func NewCaller(address, authority string, roots *x509.CertPool) (*Caller, error) {
	udp, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	service, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		_ = udp.Close()
		return nil, err
	}
	c := &Caller{udp: udp, quic: &quic.Transport{Conn: udp}, service: service, authority: authority}
	c.transport = &http3.Transport{
		TLSClientConfig: &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS13},
		QUICConfig: &quic.Config{
			MaxIdleTimeout:       callerIdleTimeout,
			KeepAlivePeriod:      callerKeepAlivePeriod,
			HandshakeIdleTimeout: callerHandshakeTimeout,
		},
		Dial: func(ctx context.Context, _ string, tlsConf *tls.Config, conf *quic.Config) (*quic.Conn, error) {
			if conn := c.ahead; conn != nil {
				c.ahead = nil
				return conn, nil
			}
			return c.quic.DialEarly(ctx, service, tlsConf, conf)
		},
	}
	return c, nil
}

// Connect opens the connection ahead of the first request and returns once its handshake is
// complete. It must be called before Do.
func (c *Caller) Connect(ctx context.Context) error {
	tlsConf := http3.ConfigureTLSConfig(c.transport.TLSClientConfig)
	tlsConf.ServerName = c.authority
	conn, err := c.quic.Dial(ctx, c.service, tlsConf, c.transport.QUICConfig)
	if err != nil {
		return err
	}
	c.ahead = conn
	return nil
}

// Do sends one request for the path and returns the response.
func (c *Caller) Do(ctx context.Context, method, path string, body io.Reader, header http.Header) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "https://"+c.authority+path, body)
	if err != nil {
		return nil, err
	}
	for k, v := range header {
		req.Header[k] = v
	}
	return c.transport.RoundTrip(req)
}

// Close closes the connection and its socket.
func (c *Caller) Close() {
	_ = c.transport.Close()
	_ = c.quic.Close()
	_ = c.udp.Close()
}
