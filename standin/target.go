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

// Headers of the target's HTTP application.
const (
	// HeaderRequestID identifies a request; the target counts its executions by it.
	HeaderRequestID = "Request-Id"
	// HeaderTarget is the name of the target that responded.
	HeaderTarget = "Target-Name"
)

// TargetOptions configure a Target.
type TargetOptions struct {
	Name string
	// Slots is the number of slots that the target announces.
	Slots  int
	Labels map[string]string
	// Agent is the base URL of the agent's announcement endpoint.
	Agent string
	// Heartbeat is the period of announcements.
	Heartbeat time.Duration
	// ServiceTime is the service time of a move, hold or catalogue request.
	ServiceTime time.Duration
}

// Announcement is the JSON body with which a target announces itself to its agent.
type Announcement struct {
	Address  string            `json:"address"`
	Slots    int               `json:"slots"`
	Labels   map[string]string `json:"labels,omitempty"`
	Draining bool              `json:"draining,omitempty"`
}

// TargetFaults are the faults that a target injects.
type TargetFaults struct {
	// FailAll responds to every request with status 500.
	FailAll atomic.Bool
	// AbortMidResponse closes the connection in the middle of a response to a move or hold.
	AbortMidResponse atomic.Bool
	// Frozen suspends announcements and the execution of requests until it is unset.
	Frozen atomic.Bool
	// StopAnnouncing stops announcements without announcing a drain first.
	StopAnnouncing atomic.Bool
}

// Target is a small HTTP/1.1 server with board streams, moves, holds, uploads and a
// catalogue. It counts how often each request was executed.
type Target struct {
	TargetFaults
	opts     TargetOptions
	listener net.Listener
	server   *http.Server
	client   *http.Client
	draining atomic.Bool

	// mu guards executions, the number of executions by request ID.
	mu         sync.Mutex
	executions map[string]int
	// streams counts the open board streams, inFlight the requests in progress, requests
	// the requests received so far.
	streams  atomic.Int64
	inFlight atomic.Int64
	requests atomic.Int64
}

// pollInterval is how often a waiting call checks its condition.
const pollInterval = 50 * time.Millisecond

// NewTarget opens the target's listener on a loopback port.
func NewTarget(opts TargetOptions) (*Target, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	t := &Target{opts: opts, listener: ln, executions: map[string]int{}, client: &http.Client{Timeout: 2 * time.Second}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /board", t.board)
	mux.HandleFunc("POST /upload", t.upload)
	mux.HandleFunc("GET /catalogue", t.catalogue)
	mux.HandleFunc("POST /", t.echo)
	t.server = &http.Server{Handler: t.countRequests(mux), ReadHeaderTimeout: 5 * time.Second}
	return t, nil
}

// Address returns the listener's address.
func (t *Target) Address() string { return t.listener.Addr().String() }

// Executions returns how often the request with this ID was executed. An execution counts
// from its start, before injected faults apply.
func (t *Target) Executions(id string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.executions[id]
}

// Requests returns the number of requests received.
func (t *Target) Requests() int64 { return t.requests.Load() }

// Streams returns the number of open board streams.
func (t *Target) Streams() int64 { return t.streams.Load() }

// Serve serves requests and announces the target until ctx ends. It then closes all
// connections without announcing a drain.
func (t *Target) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = t.server.Close() })
	defer stop()
	go t.announceLoop(ctx)
	if err := t.server.Serve(t.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Drain announces that the target is draining. It goes on serving requests.
func (t *Target) Drain() {
	t.draining.Store(true)
	_ = t.announce(context.Background())
}

// announceLoop announces the target once in each heartbeat period until ctx ends.
func (t *Target) announceLoop(ctx context.Context) {
	tick := time.NewTicker(t.opts.Heartbeat)
	defer tick.Stop()
	for {
		if !t.StopAnnouncing.Load() && !t.Frozen.Load() {
			_ = t.announce(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// announce sends one announcement to the agent.
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

// countRequests wraps next: it counts requests and executions and injects the faults
// Frozen and FailAll.
func (t *Target) countRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		t.requests.Add(1)
		t.inFlight.Add(1)
		defer t.inFlight.Add(-1)
		w.Header().Set(HeaderTarget, t.opts.Name)
		if id := r.Header.Get(HeaderRequestID); id != "" {
			t.mu.Lock()
			t.executions[id]++
			t.mu.Unlock()
		}
		t.waitUnfrozen(r.Context())
		if t.FailAll.Load() {
			http.Error(w, "broken", http.StatusInternalServerError)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (t *Target) waitUnfrozen(ctx context.Context) {
	for t.Frozen.Load() && ctx.Err() == nil {
		time.Sleep(pollInterval)
	}
}

// board streams server-sent events, one per interval, until it has sent count events
// or the caller closes the stream.
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

// upload responds with the size and the SHA-256 of the request body.
func (t *Target) upload(w http.ResponseWriter, r *http.Request) {
	h := sha256.New()
	n, err := io.Copy(h, r.Body)
	if err != nil {
		http.Error(w, "upload cut short", http.StatusBadRequest)
		return
	}
	fmt.Fprintf(w, "%d %s\n", n, hex.EncodeToString(h.Sum(nil)))
}

// echo handles a move or a hold: it responds with the request body after the service
// time.
func (t *Target) echo(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	t.simulateWork(r)
	if t.AbortMidResponse.Load() {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)+1000))
		_, _ = w.Write(body)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}

func (t *Target) catalogue(w http.ResponseWriter, r *http.Request) {
	t.simulateWork(r)
	size := intParam(r, "size", 1000)
	_, _ = w.Write(bytes.Repeat([]byte("x"), size))
}

// simulateWork waits for the service time or until the caller has gone.
func (t *Target) simulateWork(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-time.After(t.opts.ServiceTime):
	}
}

func intParam(r *http.Request, name string, fallback int) int {
	v, err := strconv.Atoi(r.URL.Query().Get(name))
	if err != nil || v < 0 {
		return fallback
	}
	return v
}

// WaitIdle waits until no request is in progress, at most for limit.
func (t *Target) WaitIdle(limit time.Duration) {
	deadline := time.Now().Add(limit)
	for t.inFlight.Load() > 0 && time.Now().Before(deadline) {
		time.Sleep(pollInterval)
	}
}
