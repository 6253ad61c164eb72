package agent

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/poppywall/poppywall/verdict"
)

const (
	dialTimeout           = time.Second
	maxIdleConnsPerTarget = 64
	targetIdleConnTimeout = 30 * time.Second
)

// dispatcher sends requests to local targets over HTTP/1.1. Each error carries
// a verdict on whether the request may have run.
//
// The standard transport retries a request in two cases: when no byte of it was
// written, which is harmless, and when it considers the request idempotent.
// preventReplay restricts the second case to safe methods.
type dispatcher struct{ transport *http.Transport }

func newDispatcher() *dispatcher {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &dispatcher{transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &trackedConn{Conn: conn}, nil
		},
		MaxIdleConnsPerHost: maxIdleConnsPerTarget,
		IdleConnTimeout:     targetIdleConnTimeout,
		DisableCompression:  true,
	}}
}

// attempt tracks the connections to which a request was written. Its hooks run
// in goroutines of the transport; mu guards the fields.
type attempt struct {
	mu            sync.Mutex
	conn          *trackedConn
	writtenBefore int64
	mayHaveRun    bool
}

func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	tracked, ok := info.Conn.(*trackedConn)
	a.mu.Lock()
	defer a.mu.Unlock()
	if !ok {
		a.mayHaveRun = true
		return
	}
	if a.conn != nil && a.conn.seal() > a.writtenBefore {
		a.mayHaveRun = true
	}
	a.conn, a.writtenBefore = tracked, tracked.bytesWritten()
}

// verdict seals the connection and returns NotRun if no byte of the request
// was written, otherwise Unknown.
func (a *attempt) verdict() verdict.Verdict {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn != nil && a.conn.seal() > a.writtenBefore {
		a.mayHaveRun = true
	}
	if a.mayHaveRun {
		return verdict.Unknown
	}
	return verdict.NotRun
}

// roundTrip sends a request to a target and returns the response. Its errors
// are of type *verdict.Error.
func (d *dispatcher) roundTrip(req *http.Request) (*http.Response, error) {
	a := &attempt{}
	trace := &httptrace.ClientTrace{GotConn: a.gotConn}
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	preventReplay(req)
	resp, err := d.transport.RoundTrip(req)
	if err != nil {
		// The cause of this failure may also affect the pooled connections.
		d.transport.CloseIdleConnections()
		return nil, d.failure(req, a.verdict(), err)
	}
	if !framed(resp) {
		_ = resp.Body.Close()
		return nil, &verdict.Error{Verdict: verdict.Ran, Status: http.StatusBadGateway, Reason: "unframed-answer"}
	}
	return resp, nil
}

func (d *dispatcher) failure(req *http.Request, v verdict.Verdict, err error) error {
	e := &verdict.Error{Verdict: v, Status: http.StatusBadGateway, Reason: "target-unreachable", Err: err}
	if v == verdict.Unknown {
		e.Reason = "target-lost"
	}
	if errors.Is(req.Context().Err(), context.DeadlineExceeded) {
		e.Status, e.Reason = http.StatusGatewayTimeout, "deadline"
	}
	return e
}

// idempotencyHeaders make the standard transport treat any request as
// idempotent.
var idempotencyHeaders = []string{"Idempotency-Key", "X-Idempotency-Key"}

// preventReplay stops the transport from sending a request twice. It changes
// the idempotency headers to lower case: the transport looks them up in
// canonical form only, while header names are case-insensitive on the wire.
func preventReplay(req *http.Request) {
	req.GetBody = nil
	for _, key := range idempotencyHeaders {
		if v, ok := req.Header[key]; ok {
			delete(req.Header, key)
			req.Header[strings.ToLower(key)] = v
		}
	}
}

// framed reports whether a truncated response can be distinguished from a
// complete one. One that ends when its connection closes cannot (RFC 9112
// section 6.3).
func framed(resp *http.Response) bool {
	if resp.ContentLength >= 0 || resp.Request.Method == http.MethodHead {
		return true
	}
	for _, te := range resp.TransferEncoding {
		if te == "chunked" {
			return true
		}
	}
	return resp.Body == http.NoBody
}

// hopByHopHeaders are the headers that a proxy does not forward (RFC 9110
// section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// copyEndToEndHeaders copies all headers except the hop-by-hop ones, including
// those named in Connection.
func copyEndToEndHeaders(dst, src http.Header) {
	drop := map[string]bool{}
	for _, name := range hopByHopHeaders {
		drop[name] = true
	}
	for _, list := range src["Connection"] {
		for _, name := range strings.Split(list, ",") {
			drop[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for name, values := range src {
		if !drop[name] {
			dst[name] = append([]string(nil), values...)
		}
	}
}

// readOnlyBody exposes only Read and Close, so that the transport cannot rewind
// the body.
type readOnlyBody struct{ io.ReadCloser }
