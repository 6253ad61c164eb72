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
	dialTimeout       = time.Second
	maxIdlePerTarget  = 64
	idleTargetTimeout = 30 * time.Second
)

// handover gives requests to local targets over HTTP/1.1 and tells for every
// failure whether the request may have run.
//
// The standard transport repeats requests on its own in two cases: when no
// byte was written, which is harmless, and when it takes a request for
// idempotent. The second is kept to safe methods: see noReplay.
type handover struct{ transport *http.Transport }

func newHandover() *handover {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &handover{transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &trackedConn{Conn: conn}, nil
		},
		MaxIdleConnsPerHost: maxIdlePerTarget,
		IdleConnTimeout:     idleTargetTimeout,
		DisableCompression:  true,
	}}
}

// attempt watches which connections a request was written to. The hooks run in
// goroutines of the transport; mu guards the fields.
type attempt struct {
	mu     sync.Mutex
	conn   *trackedConn
	before int64
	mayRun bool
}

func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	tracked, ok := info.Conn.(*trackedConn)
	a.mu.Lock()
	defer a.mu.Unlock()
	if !ok {
		a.mayRun = true
		return
	}
	if a.conn != nil && a.conn.seal() > a.before {
		a.mayRun = true
	}
	a.conn, a.before = tracked, tracked.mark()
}

// verdict seals the connection and tells whether any byte went out.
func (a *attempt) verdict() verdict.Verdict {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn != nil && a.conn.seal() > a.before {
		a.mayRun = true
	}
	if a.mayRun {
		return verdict.Unknown
	}
	return verdict.NotRun
}

// do runs one request at a target. A returned error carries its verdict.
func (h *handover) do(req *http.Request) (*http.Response, error) {
	a := &attempt{}
	trace := &httptrace.ClientTrace{GotConn: a.gotConn}
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	noReplay(req)
	resp, err := h.transport.RoundTrip(req)
	if err != nil {
		// What silenced this connection may have silenced the kept ones too.
		h.transport.CloseIdleConnections()
		return nil, h.failure(req, a.verdict(), err)
	}
	if !framed(resp) {
		_ = resp.Body.Close()
		return nil, &verdict.Error{Verdict: verdict.Ran, Status: http.StatusBadGateway, Reason: "unframed-answer"}
	}
	return resp, nil
}

func (h *handover) failure(req *http.Request, v verdict.Verdict, err error) error {
	e := &verdict.Error{Verdict: v, Status: http.StatusBadGateway, Reason: "target-unreachable", Err: err}
	if v == verdict.Unknown {
		e.Reason = "target-lost"
	}
	if errors.Is(req.Context().Err(), context.DeadlineExceeded) {
		e.Status, e.Reason = http.StatusGatewayTimeout, "deadline"
	}
	return e
}

// replayKeys make the standard transport take any request for idempotent.
var replayKeys = []string{"Idempotency-Key", "X-Idempotency-Key"}

// noReplay keeps the transport from sending a request twice: it looks the keys
// up in canonical form only, while on the wire names are case-insensitive.
func noReplay(req *http.Request) {
	req.GetBody = nil
	for _, key := range replayKeys {
		if v, ok := req.Header[key]; ok {
			delete(req.Header, key)
			req.Header[strings.ToLower(key)] = v
		}
	}
}

// framed tells whether a cut answer can be told from a whole one: one that
// ends with its connection cannot (RFC 9112 section 6.3).
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

// hopByHop are the headers that end at a proxy (RFC 9110 section 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// copyEndToEnd copies all headers but those that end here.
func copyEndToEnd(dst, src http.Header) {
	drop := map[string]bool{}
	for _, name := range hopByHop {
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

// onceBody hides everything but reading, so that the transport cannot rewind.
type onceBody struct{ io.ReadCloser }
