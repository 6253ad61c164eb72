package snapshotcopy

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/poppywall/poppywall/fleet"
)

// ErrPending is returned when a read takes longer than its caller waits.
var ErrPending = errors.New("registry is being read")

// errNotRead is the error of a reader before its first read.
var errNotRead = errors.New("registry not read yet")

// Read reads the agents' registry. It returns the entries and the store's revision.
type Read func(ctx context.Context) (agents []fleet.Entry, revision int64, err error)

// Reader reads the registry for this process and for other balancers. It is safe for
// concurrent use.
type Reader struct {
	read Read

	// mu guards the fields below; no other lock is taken while it is held.
	mu    sync.Mutex
	pacer fleet.SnapshotPacer
	last  fleet.Snapshot
	err   error
	// inFlight is closed when the current read has ended; it is nil if there is none.
	inFlight chan struct{}
}

// NewReader returns a reader that has no snapshot yet.
func NewReader(read Read) *Reader { return &Reader{read: read, err: errNotRead} }

// Get returns the last snapshot, or a new one if a read is due or in progress. If ctx ends
// before that read it returns ErrPending; the read continues.
func (r *Reader) Get(ctx context.Context) (fleet.Snapshot, error) {
	if inFlight := r.startIfDue(time.Now()); inFlight != nil {
		select {
		case <-inFlight:
		case <-ctx.Done():
			return fleet.Snapshot{}, ErrPending
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.last, r.err
}

// startIfDue starts a read if one is due, and returns the channel of the current read, nil
// if there is none.
func (r *Reader) startIfDue(now time.Time) chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.inFlight == nil && r.pacer.TryBegin(now) {
		r.inFlight = make(chan struct{})
		go r.readOnce(now, r.inFlight)
	}
	return r.inFlight
}

// readOnce reads the registry for all waiting callers. Its time limit is that of the store's
// client, not of the context of the first caller.
func (r *Reader) readOnce(began time.Time, done chan struct{}) {
	agents, revision, err := r.read(context.Background())
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last, r.err = fleet.Snapshot{Earliest: began, Latest: time.Now(), Revision: revision, Agents: agents}, err
	r.inFlight = nil
	close(done)
}
