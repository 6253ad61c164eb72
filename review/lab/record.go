package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run, with the time since the start of the case.
type recorder struct {
	start time.Time

	// mu guards the file and the maps.
	mu   sync.Mutex
	file *os.File
	runs []runEvent
}

// runEvent is one request that a host began to work on.
type runEvent struct {
	at            time.Duration
	request, host string
	service       string
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{start: time.Now(), file: file}, nil
}

func (r *recorder) close() { _ = r.file.Close() }

// now returns the time since the start of the case.
func (r *recorder) now() time.Duration { return time.Since(r.start) }

func (r *recorder) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", r.now().Seconds(), fmt.Sprintf(format, args...))
}

// ran records that a host began to work on a request.
func (r *recorder) ran(request, host, service string) {
	r.logf("host %s (%s) runs %s", host, service, request)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, runEvent{r.now(), request, host, service})
}

// allRuns returns the requests that hosts began to work on so far.
func (r *recorder) allRuns() []runEvent {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]runEvent(nil), r.runs...)
}
