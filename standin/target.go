package standin

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// Headers of the target's little application.
const (
	// HeaderRequestID names a request; the target logs which it ran.
	HeaderRequestID = "Request-Id"
	// HeaderTarget names the target that answered.
	HeaderTarget = "Target-Name"
)

// TargetOptions describe a target stand-in.
type TargetOptions struct {
	Name   string
	Slots  int
	Labels map[string]string
	// Agent is the base URL of the agent's announcement endpoint.
	Agent string
	// Heartbeat is the period of announcements.
	Heartbeat time.Duration
	// Work is how long a move, hold or catalogue answer takes.
	Work time.Duration
}

// Announcement is the document that a target puts to its agent.
type Announcement struct {
	Address  string            `json:"address"`
	Slots    int               `json:"slots"`
	Labels   map[string]string `json:"labels,omitempty"`
	Draining bool              `json:"draining,omitempty"`
}

// Behaviour is how the target misbehaves.
type Behaviour struct {
	// FailAll answers every request with 500.
	FailAll atomic.Bool
	// DieMidAnswer cuts the connection in the middle of an answer.
	DieMidAnswer atomic.Bool
	// Frozen holds every request and announcement back until it is lifted.
	Frozen atomic.Bool
	// Silent stops announcements without a farewell.
	Silent atomic.Bool
}

// Target is a small HTTP/1.1 application: board streams, moves, holds, uploads
// and a catalogue, with a log of what ran.
type Target struct {
	Behaviour
	opts     TargetOptions
	listener net.Listener
	server   *http.Server
	client   *http.Client
	draining atomic.Bool

	// mu guards runs.
	mu   sync.Mutex
	runs map[string]int
	// streams and open count what is in progress, requests what arrived.
	streams  atomic.Int64
	open     atomic.Int64
	requests atomic.Int64
}

const idlePoll = 50 * time.Millisecond

// NewTarget opens the target's listener on a loopback port.
func NewTarget(opts TargetOptions) (*Target, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	t := &Target{opts: opts, listener: ln, runs: map[string]int{}, client: &http.Client{Timeout: 2 * time.Second}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /board", t.board)
	mux.HandleFunc("POST /upload", t.upload)
	mux.HandleFunc("GET /catalogue", t.catalogue)
	mux.HandleFunc("POST /", t.act)
	t.server = &http.Server{Handler: t.observe(mux), ReadHeaderTimeout: 5 * time.Second}
	return t, nil
}

// Address returns the listener's address.
func (t *Target) Address() string { return t.listener.Addr().String() }

// Runs returns how often the request ran.
func (t *Target) Runs(id string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.runs[id]
}

// Requests returns the number of requests that arrived.
func (t *Target) Requests() int64 { return t.requests.Load() }

// Streams returns the number of open board streams.
func (t *Target) Streams() int64 { return t.streams.Load() }

// Serve serves and announces until ctx ends, then says farewell.
func (t *Target) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = t.server.Close() })
	defer stop()
	go t.announceLoop(ctx)
	if err := t.server.Serve(t.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Drain announces that the target is leaving.
func (t *Target) Drain() {
	t.draining.Store(true)
	_ = t.announce(context.Background())
}

func (t *Target) announceLoop(ctx context.Context) {
	tick := time.NewTicker(t.opts.Heartbeat)
	defer tick.Stop()
	for {
		if !t.Silent.Load() && !t.Frozen.Load() {
			_ = t.announce(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (t *Target) announce(ctx context.Context) error {
	body, err := json.Marshal(Announcement{
		Address:  t.Address(),
		Slots:    t.opts.Slots,
		Labels:   t.opts.Labels,
		Draining: t.draining.Load(),
	})
	if err != nil {
		return err
	}
	url := t.opts.Agent + "/v1/targets/" + t.opts.Name
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := t.client.Do(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

func (t *Target) observe(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		t.requests.Add(1)
		t.open.Add(1)
		defer t.open.Add(-1)
		w.Header().Set(HeaderTarget, t.opts.Name)
		if id := r.Header.Get(HeaderRequestID); id != "" {
			t.mu.Lock()
			t.runs[id]++
			t.mu.Unlock()
		}
		t.waitThawed(r.Context())
		if t.FailAll.Load() {
			http.Error(w, "broken", http.StatusInternalServerError)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (t *Target) waitThawed(ctx context.Context) {
	for t.Frozen.Load() && ctx.Err() == nil {
		time.Sleep(idlePoll)
	}
}

// board streams server-sent events: one every interval until the count or the
// caller ends it.
func (t *Target) board(w http.ResponseWriter, r *http.Request) {
	t.streams.Add(1)
	defer t.streams.Add(-1)
	interval := time.Duration(intParam(r, "intervalMillis", 100)) * time.Millisecond
	count := intParam(r, "count", 1<<30)
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for i := range count {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: {\"move\":%d}\n\n", i, i); err != nil {
			return
		}
		if flusher.Flush() != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-tick.C:
		}
	}
}

func (t *Target) upload(w http.ResponseWriter, r *http.Request) {
	h := sha256.New()
	n, err := io.Copy(h, r.Body)
	if err != nil {
		http.Error(w, "upload cut short", http.StatusBadRequest)
		return
	}
	fmt.Fprintf(w, "%d %s\n", n, hex.EncodeToString(h.Sum(nil)))
}

// act runs a move or a hold and echoes its body.
func (t *Target) act(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	t.work(r)
	if t.DieMidAnswer.Load() {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)+1000))
		_, _ = w.Write(body)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}

func (t *Target) catalogue(w http.ResponseWriter, r *http.Request) {
	t.work(r)
	size := intParam(r, "size", 1000)
	_, _ = w.Write(bytes.Repeat([]byte("x"), size))
}

func (t *Target) work(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-time.After(t.opts.Work):
	}
}

func intParam(r *http.Request, name string, fallback int) int {
	v, err := strconv.Atoi(r.URL.Query().Get(name))
	if err != nil || v < 0 {
		return fallback
	}
	return v
}

// WaitIdle waits until nothing is in progress, at most for limit.
func (t *Target) WaitIdle(limit time.Duration) {
	deadline := time.Now().Add(limit)
	for t.open.Load() > 0 && time.Now().Before(deadline) {
		time.Sleep(idlePoll)
	}
}
