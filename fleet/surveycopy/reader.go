package surveycopy

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/poppywall/poppywall/fleet"
)

// ErrPending tells that a reading takes longer than its asker waits.
var ErrPending = errors.New("registry is being read")

// errNotRead is what a reader knows before its first reading.
var errNotRead = errors.New("registry not read yet")

// Read reads the agents' registry.
type Read func(ctx context.Context) (agents []fleet.Entry, revision int64, err error)

// Reader reads the registry for this process and for others. It is safe for concurrent
// use.
type Reader struct {
	read Read

	// mu guards the fields below; nothing else is locked under it.
	mu   sync.Mutex
	pace fleet.SurveyPace
	last fleet.Survey
	err  error
	// running is closed when the reading under way has ended, nil when there is none.
	running chan struct{}
}

// NewReader returns a reader that has read nothing yet.
func NewReader(read Read) *Reader { return &Reader{read: read, err: errNotRead} }

// Get returns the last reading, a new one if it is time for that. It waits until ctx
// ends, with ErrPending then; the reading goes on.
func (r *Reader) Get(ctx context.Context) (fleet.Survey, error) {
	if running := r.begin(time.Now()); running != nil {
		select {
		case <-running:
		case <-ctx.Done():
			return fleet.Survey{}, ErrPending
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.last, r.err
}

// begin returns the reading under way, begun now if one is due.
func (r *Reader) begin(now time.Time) chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running == nil && r.pace.Begin(now) {
		r.running = make(chan struct{})
		go r.run(now, r.running)
	}
	return r.running
}

// run reads for all who wait. The store's client bounds it, not who asked first.
func (r *Reader) run(began time.Time, done chan struct{}) {
	agents, revision, err := r.read(context.Background())
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last, r.err = fleet.Survey{Earliest: began, Latest: time.Now(), Revision: revision, Agents: agents}, err
	r.running = nil
	close(done)
}
