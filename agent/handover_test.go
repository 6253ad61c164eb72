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

// script tells what a raw target does with its next request.
type script struct {
	// hangUp closes the connection: before reading, after some bytes, after
	// the whole request, after it ran ("silent"), or after some bytes of the
	// answer.
	hangUp string
	after  int
	// framing is "length", "chunked" or "close".
	framing string
	body    string
}

// rawTarget is an HTTP/1.1 target on a bare connection, so that it can fail at
// any byte. It keeps a log of every request of which it saw a byte.
type rawTarget struct {
	ln net.Listener

	mu   sync.Mutex
	next script
	seen map[string]int
	byID map[string]int
}

func newRawTarget(t require.TestingT) *rawTarget {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	rt := &rawTarget{ln: ln, seen: map[string]int{}, byID: map[string]int{}}
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

func (rt *rawTarget) set(s script) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.next = s
}

func (rt *rawTarget) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	for {
		if _, err := r.Peek(1); err != nil {
			return
		}
		rt.mu.Lock()
		s := rt.next
		rt.mu.Unlock()
		if s.hangUp == "request" {
			_, _ = r.Discard(min(s.after, r.Buffered()))
			return
		}
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		rt.mu.Lock()
		rt.byID[req.Header.Get("Request-Id")]++
		rt.mu.Unlock()
		if !rt.answer(conn, s) {
			return
		}
	}
}

func (rt *rawTarget) answer(conn net.Conn, s script) bool {
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
	if s.hangUp == "silent" {
		return false
	}
	if s.hangUp == "answer" && s.after < len(out) {
		_, _ = conn.Write(out[:s.after])
		return false
	}
	_, _ = conn.Write(out)
	return s.framing != "close" && s.hangUp == ""
}

func (rt *rawTarget) ran(id string) int {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	return rt.byID[id]
}

// newTestProxy serves one service at the given target address.
func newTestProxy(address string, now func() time.Time) *proxy {
	svc := &catalog.Service{Name: "tables", ID: 1, Authorities: []string{"tables.example"}}
	g := newGate(now, rand.New(rand.NewPCG(1, 1)))
	spec := admission.TargetSpec{Slots: 64, Requests: 64, Streams: 64, Ready: true}
	g.setTargets(map[string]gateTarget{"a": {address: address, spec: spec}}, map[route.ServiceID][]string{1: {"a"}})
	return &proxy{id: 1, service: func() *catalog.Service { return svc }, gate: g, handover: newHandover(), metrics: testMetrics()}
}

// call runs one request and tells whether the stream was reset.
func call(p *proxy, req *http.Request) (w *httptest.ResponseRecorder, reset bool) {
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

// TestVerdictsAgainstTheTargetsOwnLog lets a target close its connection at
// any byte of request or answer, on fresh and kept-alive connections. "Not
// run" is never said of a request that ran, no move runs twice, and an answer
// is whole or the stream is reset. Points 3, 4 and 5.
func TestVerdictsAgainstTheTargetsOwnLog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rt := newRawTarget(t)
		defer func() { _ = rt.ln.Close() }()
		p := newTestProxy(rt.ln.Addr().String(), time.Now)
		n := 0
		t.Repeat(map[string]func(*rapid.T){
			"request": func(t *rapid.T) {
				n++
				id := strconv.Itoa(n)
				s := script{
					hangUp:  rapid.SampledFrom([]string{"", "", "", "request", "answer", "silent", "silent", "after"}).Draw(t, "hang up"),
					after:   rapid.OneOf(rapid.IntRange(0, 10), rapid.IntRange(30, 120)).Draw(t, "after"),
					framing: rapid.SampledFrom([]string{"length", "chunked", "close"}).Draw(t, "framing"),
					body:    strings.Repeat("x", rapid.IntRange(0, 80).Draw(t, "size")),
				}
				rt.set(s)
				req := newRequest(http.MethodPost, id, strings.Repeat("m", rapid.SampledFrom([]int{0, 0, 1, 50}).Draw(t, "body")))
				if rapid.Bool().Draw(t, "key") {
					req.Header.Set("Idempotency-Key", id)
				}
				w, reset := call(p, req)
				ran := rt.ran(id)
				require.LessOrEqual(t, ran, 1, "a move ran twice")
				if reset {
					return
				}
				v := verdict.Parse(w.Header().Get(verdict.HeaderVerdict))
				if v == verdict.NotRun {
					require.Zero(t, ran, "said not run, but it ran")
				}
				if w.Code == http.StatusOK {
					require.Equal(t, s.body, w.Body.String(), "a cut answer with a clean end")
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
	w, _ := call(newTestProxy(address, time.Now), newRequest(http.MethodPost, "1", "m"))
	require.Equal(t, "not-run", w.Header().Get(verdict.HeaderVerdict))
}

func TestRequestsThatNeverLeave(t *testing.T) {
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
		w, _ := call(p, req)
		require.Equal(t, c.status, w.Code, name)
		require.Equal(t, "not-run", w.Header().Get(verdict.HeaderVerdict), name)
		require.Zero(t, rt.ran(name))
	}
}

// TestFrozenAgentDoesNotRunLateRequests freezes the process between admission
// and hand-over: the deadline has passed by the clock, but no timer has fired.
func TestFrozenAgentDoesNotRunLateRequests(t *testing.T) {
	rt := newRawTarget(t)
	defer func() { _ = rt.ln.Close() }()
	p := newTestProxy(rt.ln.Addr().String(), time.Now)
	ctx := frozenContext{context.Background(), time.Now().Add(-time.Second)}
	g, err := p.gate.enter(context.Background(), admission.Offer{Service: 1})
	require.NoError(t, err)
	w := httptest.NewRecorder()
	status, v := p.run(ctx, w, newRequest(http.MethodPost, "late", "m"), g)
	require.Equal(t, http.StatusGatewayTimeout, status)
	require.Equal(t, verdict.NotRun, v)
	require.Zero(t, rt.ran("late"))
	requests, _ := p.gate.inProgress("a")
	require.Zero(t, requests, "the slot is given back")
}

// frozenContext has a deadline in the past and has not noticed.
type frozenContext struct {
	context.Context
	deadline time.Time
}

func (c frozenContext) Deadline() (time.Time, bool) { return c.deadline, true }

func TestDeadlineAndCancellationArePassedOn(t *testing.T) {
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
	go func() { defer close(done); call(p, req) }()
	left, err := strconv.Atoi(<-started)
	require.NoError(t, err)
	require.LessOrEqual(t, left, 60000)
	require.Positive(t, left)
	cancel()
	<-cancelled
	<-done
}

func TestWaitingRequestThatGivesUpIsNotRun(t *testing.T) {
	p := newTestProxy("127.0.0.1:1", time.Now)
	p.gate.setTargets(map[string]gateTarget{"a": {address: "127.0.0.1:1", spec: admission.TargetSpec{Slots: 1, Requests: 1, Ready: true}}},
		map[route.ServiceID][]string{1: {"a"}})
	held, err := p.gate.enter(t.Context(), admission.Offer{Service: 1})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = p.gate.enter(ctx, admission.Offer{Service: 1})
	require.Equal(t, verdict.NotRun, verdict.FromError(err))
	held.done(admission.Result{})
	again, err := p.gate.enter(t.Context(), admission.Offer{Service: 1})
	require.NoError(t, err, "the one that gave up holds nothing")
	again.done(admission.Result{})
}

func TestHopByHopHeadersEndHere(t *testing.T) {
	dst := http.Header{}
	copyEndToEnd(dst, http.Header{"Connection": {"X-Private, close"}, "X-Private": {"1"}, "Upgrade": {"x"}, "Accept": {"a"}})
	require.Equal(t, http.Header{"Accept": {"a"}}, dst)
}

// TestSilentConnectionsToTargetsAreLeft: one request finds that the connections
// to its target have gone silent, the next one is served.
func TestSilentConnectionsToTargetsAreLeft(t *testing.T) {
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(20 * time.Millisecond)
		_, _ = w.Write([]byte("done"))
	}))
	defer target.Close()
	proxy, err := standin.NewProxy(target.Listener.Addr().String())
	require.NoError(t, err)
	defer proxy.Close()
	h := newHandover()
	ask := func() error {
		ctx, cancel := context.WithTimeout(t.Context(), 400*time.Millisecond)
		defer cancel()
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+proxy.Addr()+"/", nil)
		require.NoError(t, err)
		resp, err := h.do(req)
		if err != nil {
			return err
		}
		defer func() { _ = resp.Body.Close() }()
		_, err = io.ReadAll(resp.Body)
		return err
	}
	var both sync.WaitGroup
	for range 3 {
		both.Add(1)
		go func() { defer both.Done(); assert.NoError(t, ask()) }()
	}
	both.Wait()
	proxy.Silence()
	err = ask()
	require.Equal(t, verdict.Unknown, verdict.FromError(err), "it may have run")
	require.NoError(t, ask())
}
