package agent

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/poppywall/poppywall/admission"
	"github.com/poppywall/poppywall/catalog"
	"github.com/poppywall/poppywall/route"
	"github.com/poppywall/poppywall/standin"
	"github.com/poppywall/poppywall/verdict"
)

// responseScript determines how a raw target handles its next requests.
type responseScript struct {
	// closeAt is when the target closes the connection: "request" before it
	// runs the request, "silent" after running it without a response, "answer"
	// in the middle of the response, "after" after all of it, or "" never.
	closeAt string
	// after is the number of bytes of the request or response before the close.
	after int
	// framing is "length", "chunked" or "close".
	framing string
	body    string
}

// rawTarget is an HTTP/1.1 target on a TCP connection, so that it can close the
// connection at any byte. It counts the runs of each request.
type rawTarget struct {
	ln net.Listener

	mu       sync.Mutex
	script   responseScript
	seen     map[string]int
	runsByID map[string]int
}

func newRawTarget(t require.TestingT) *rawTarget {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	rt := &rawTarget{ln: ln, seen: map[string]int{}, runsByID: map[string]int{}}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go rt.serve(conn)
		}
	}()
	return rt
}

func (rt *rawTarget) setScript(s responseScript) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.script = s
}

func (rt *rawTarget) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	for {
		if _, err := r.Peek(1); err != nil {
			return
		}
		rt.mu.Lock()
		s := rt.script
		rt.mu.Unlock()
		if s.closeAt == "request" {
			_, _ = r.Discard(min(s.after, r.Buffered()))
			return
		}
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		rt.mu.Lock()
		rt.runsByID[req.Header.Get("Request-Id")]++
		rt.mu.Unlock()
		if !rt.answer(conn, s) {
			return
		}
	}
}

func (rt *rawTarget) answer(conn net.Conn, s responseScript) bool {
	var b bytes.Buffer
	b.WriteString("HTTP/1.1 200 OK\r\n")
	switch s.framing {
	case "chunked":
		b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		if s.body != "" {
			fmt.Fprintf(&b, "%x\r\n%s\r\n", len(s.body), s.body)
		}
		b.WriteString("0\r\n\r\n")
	case "close":
		b.WriteString("Connection: close\r\n\r\n" + s.body)
	default:
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(s.body), s.body)
	}
	out := b.Bytes()
	if s.closeAt == "silent" {
		return false
	}
	if s.closeAt == "answer" && s.after < len(out) {
		_, _ = conn.Write(out[:s.after])
		return false
	}
	_, _ = conn.Write(out)
	return s.framing != "close" && s.closeAt == ""
}

func (rt *rawTarget) runs(id string) int {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	return rt.runsByID[id]
}

// newTestProxy returns a proxy of a service with one target at the given
// address.
func newTestProxy(address string, now func() time.Time) *proxy {
	svc := &catalog.Service{Name: "tables", ID: 1, Authorities: []string{"tables.example"}}
	g := newGate(now, rand.New(rand.NewPCG(1, 1)))
	spec := admission.TargetSpec{Slots: 64, Requests: 64, Streams: 64, Ready: true}
	g.setTargets(map[string]gateTarget{"a": {address: address, spec: spec}}, map[route.ServiceID][]string{1: {"a"}})
	return &proxy{id: 1, service: func() *catalog.Service { return svc }, gate: g, dispatcher: newDispatcher(), metrics: testMetrics()}
}

// serveRequest serves one request and reports whether the stream was reset.
func serveRequest(p *proxy, req *http.Request) (w *httptest.ResponseRecorder, reset bool) {
	w = httptest.NewRecorder()
	defer func() {
		if v := recover(); v != nil {
			if v != http.ErrAbortHandler {
				panic(v)
			}
			reset = true
		}
	}()
	p.ServeHTTP(w, req)
	return w, false
}

func newRequest(method, id, body string) *http.Request {
	req := httptest.NewRequest(method, "https://tables.example/move", strings.NewReader(body))
	req.Header.Set("Request-Id", id)
	return req
}

// TestVerdictsMatchTheTargetsLog lets a target close its connection at any byte of
// the request or response, on new and on kept-alive connections. No request that
// ran may get the verdict NotRun, no request may run twice, and a response must be
// complete or the stream reset. Points 3, 4 and 5 of docs/GUARANTEES.md.
func TestVerdictsMatchTheTargetsLog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rt := newRawTarget(t)
		defer func() { _ = rt.ln.Close() }()
		p := newTestProxy(rt.ln.Addr().String(), time.Now)
		n := 0
		t.Repeat(map[string]func(*rapid.T){
			"request": func(t *rapid.T) {
				n++
				id := strconv.Itoa(n)
				s := responseScript{
					closeAt: rapid.SampledFrom([]string{"", "", "", "request", "answer", "silent", "silent", "after"}).Draw(t, "hang up"),
					after:   rapid.OneOf(rapid.IntRange(0, 10), rapid.IntRange(30, 120)).Draw(t, "after"),
					framing: rapid.SampledFrom([]string{"length", "chunked", "close"}).Draw(t, "framing"),
					body:    strings.Repeat("x", rapid.IntRange(0, 80).Draw(t, "size")),
				}
				rt.setScript(s)
				req := newRequest(http.MethodPost, id, strings.Repeat("m", rapid.SampledFrom([]int{0, 0, 1, 50}).Draw(t, "body")))
				if rapid.Bool().Draw(t, "key") {
					req.Header.Set("Idempotency-Key", id)
				}
				w, reset := serveRequest(p, req)
				ran := rt.runs(id)
				require.LessOrEqual(t, ran, 1, "a request ran twice")
				if reset {
					return
				}
				v := verdict.Parse(w.Header().Get(verdict.HeaderVerdict))
				if v == verdict.NotRun {
					require.Zero(t, ran, "verdict NotRun for a request that ran")
				}
				if w.Code == http.StatusOK {
					require.Equal(t, s.body, w.Body.String(), "a truncated response ended without a reset")
					require.Equal(t, verdict.Ran, v)
				}
			},
		})
	})
}

func TestRefusedConnectionIsNotRun(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	address := ln.Addr().String()
	require.NoError(t, ln.Close())
	w, _ := serveRequest(newTestProxy(address, time.Now), newRequest(http.MethodPost, "1", "m"))
	require.Equal(t, "not-run", w.Header().Get(verdict.HeaderVerdict))
}

func TestInvalidRequestsAreRefusedBeforeDispatch(t *testing.T) {
	rt := newRawTarget(t)
	defer func() { _ = rt.ln.Close() }()
	p := newTestProxy(rt.ln.Addr().String(), time.Now)
	for name, c := range map[string]struct {
		status int
		change func(*http.Request)
	}{
		"other authority": {http.StatusMisdirectedRequest, func(r *http.Request) { r.Host = "intake.example" }},
		"connect":         {http.StatusNotImplemented, func(r *http.Request) { r.Method = http.MethodConnect }},
		"bad timeout":     {http.StatusBadRequest, func(r *http.Request) { r.Header.Set(HeaderTimeout, "soon") }},
	} {
		req := newRequest(http.MethodPost, name, "m")
		c.change(req)
		w, _ := serveRequest(p, req)
		require.Equal(t, c.status, w.Code, name)
		require.Equal(t, "not-run", w.Header().Get(verdict.HeaderVerdict), name)
		require.Zero(t, rt.runs(name))
	}
}

// TestFrozenAgentDoesNotRunLateRequests covers a process that was frozen between
// admission and dispatch: the deadline has passed, but the context's timer has
// not fired yet. The request must not reach the target.
func TestFrozenAgentDoesNotRunLateRequests(t *testing.T) {
	rt := newRawTarget(t)
	defer func() { _ = rt.ln.Close() }()
	p := newTestProxy(rt.ln.Addr().String(), time.Now)
	ctx := frozenContext{context.Background(), time.Now().Add(-time.Second)}
	g, err := p.gate.admit(context.Background(), admission.Offer{Service: 1})
	require.NoError(t, err)
	w := httptest.NewRecorder()
	status, v := p.run(ctx, w, newRequest(http.MethodPost, "late", "m"), g)
	require.Equal(t, http.StatusGatewayTimeout, status)
	require.Equal(t, verdict.NotRun, v)
	require.Zero(t, rt.runs("late"))
	requests, _ := p.gate.inProgress("a")
	require.Zero(t, requests, "the slot was not released")
}

// frozenContext has a deadline in the past, but is not done.
type frozenContext struct {
	context.Context
	deadline time.Time
}

func (c frozenContext) Deadline() (time.Time, bool) { return c.deadline, true }

func TestDeadlineAndCancellationReachTheTarget(t *testing.T) {
	started, cancelled := make(chan string, 1), make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		started <- r.Header.Get(HeaderTimeout)
		<-r.Context().Done()
		close(cancelled)
	}))
	defer srv.Close()
	p := newTestProxy(srv.Listener.Addr().String(), time.Now)
	ctx, cancel := context.WithCancel(t.Context())
	req := newRequest(http.MethodPost, "1", "m").WithContext(ctx)
	req.Header.Set(HeaderTimeout, "60000")
	done := make(chan struct{})
	go func() { defer close(done); serveRequest(p, req) }()
	left, err := strconv.Atoi(<-started)
	require.NoError(t, err)
	require.LessOrEqual(t, left, 60000)
	require.Positive(t, left)
	cancel()
	<-cancelled
	<-done
}

func TestCancelledQueuedRequestIsNotRun(t *testing.T) {
	p := newTestProxy("127.0.0.1:1", time.Now)
	p.gate.setTargets(map[string]gateTarget{"a": {address: "127.0.0.1:1", spec: admission.TargetSpec{Slots: 1, Requests: 1, Ready: true}}},
		map[route.ServiceID][]string{1: {"a"}})
	first, err := p.gate.admit(t.Context(), admission.Offer{Service: 1})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = p.gate.admit(ctx, admission.Offer{Service: 1})
	require.Equal(t, verdict.NotRun, verdict.FromError(err))
	first.done(admission.Result{})
	second, err := p.gate.admit(t.Context(), admission.Offer{Service: 1})
	require.NoError(t, err, "the cancelled request still holds a slot")
	second.done(admission.Result{})
}

func TestHopByHopHeadersAreRemoved(t *testing.T) {
	dst := http.Header{}
	copyEndToEndHeaders(dst, http.Header{"Connection": {"X-Private, close"}, "X-Private": {"1"}, "Upgrade": {"x"}, "Accept": {"a"}})
	require.Equal(t, http.Header{"Accept": {"a"}}, dst)
}

// TestPooledConnectionsAreClosedAfterAFailure stops all traffic on the open
// connections to a target. One request fails; the next must not use another
// connection of the pool, which would fail too, and is served on a new one.
func TestPooledConnectionsAreClosedAfterAFailure(t *testing.T) {
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(20 * time.Millisecond)
		_, _ = w.Write([]byte("done"))
	}))
	defer target.Close()
	proxy, err := standin.NewProxy(target.Listener.Addr().String())
	require.NoError(t, err)
	defer proxy.Close()
	h := newDispatcher()
	request := func() error {
		ctx, cancel := context.WithTimeout(t.Context(), 400*time.Millisecond)
		defer cancel()
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+proxy.Addr()+"/", nil)
		require.NoError(t, err)
		resp, err := h.roundTrip(req)
		if err != nil {
			return err
		}
		defer func() { _ = resp.Body.Close() }()
		_, err = io.ReadAll(resp.Body)
		return err
	}
	var concurrent sync.WaitGroup
	for range 3 {
		concurrent.Add(1)
		go func() { defer concurrent.Done(); assert.NoError(t, request()) }()
	}
	concurrent.Wait()
	proxy.Blackhole()
	err = request()
	require.Equal(t, verdict.Unknown, verdict.FromError(err), "the request may have run")
	require.NoError(t, request())
}
