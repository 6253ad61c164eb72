package packetfront

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/store"
	"github.com/poppywall/poppywall/telemetry"
	"github.com/poppywall/poppywall/verdict"
	"github.com/poppywall/poppywall/worker"
)

// Times of the configuration's watch.
const (
	// watchMargin is what a balancer has left after it has noticed that a watch was
	// lost in silence, besides the transfer: for a connection, a read, and a watch
	// that starts late.
	watchMargin = 500 * time.Millisecond
	// leastWatchWait keeps a balancer from asking without a pause, whatever the
	// bound is.
	leastWatchWait = 500 * time.Millisecond
	// mostWatchWait bounds the waiting time of a watch: the configuration's
	// freshness is told to others by what it returns.
	mostWatchWait = 5 * time.Second
	// storeTimeout bounds a call at the store, which answers in milliseconds.
	storeTimeout = 900 * time.Millisecond
	// retryPause is the pause after a failed call; it doubles up to the most.
	retryPause    = 50 * time.Millisecond
	mostRetryWait = 800 * time.Millisecond
	// idlePause is how often a balancer that others feed looks whether it still
	// is.
	idlePause = 100 * time.Millisecond
)

// watchWait is how long the store may hold a watch. One that was lost in silence
// is noticed after that and the store's time-out; then the configuration takes its
// time to come. Each watch is a priced call, so it is as long as the bound allows.
func watchWait(catchUp, transfer time.Duration) time.Duration {
	return min(max(catchUp-storeTimeout-watchMargin-transfer, leastWatchWait), mostWatchWait)
}

// decodeConfig turns the stored bytes into a configuration.
type decodeConfig func([]byte) (*flow.Config, error)

// configSource follows the operator's configuration in the store.
type configSource struct {
	store  store.Watcher
	key    string
	decode decodeConfig
	// catchUp is how long the source may take after connections went silent.
	catchUp time.Duration
	// transfer is how long the last configuration took to come.
	transfer time.Duration
	// apply takes a configuration and its stored bytes.
	apply func(c *flow.Config, raw []byte, from string)
	log   *zap.Logger
	// duty tells what this balancer has to do at the store. answered hears of each
	// answer.
	duty     func() StoreDuty
	answered func()
	// lost tells that the store does not answer.
	lost bool
}

// run reads the configuration and watches it until ctx ends.
func (s *configSource) run(ctx context.Context) error {
	revision, pause := int64(0), retryPause
	for ctx.Err() == nil {
		duty := s.duty()
		switch duty {
		case DutyNone:
			worker.Sleep(ctx, idlePause)
			continue
		case DutyRead:
			s.log.Info("behind other balancers, the store is read")
			revision = 0
		}
		next, err := s.step(ctx, revision)
		switch {
		case ctx.Err() != nil:
			return nil
		case err == nil:
			s.answered()
			revision = next
			s.noteStore(nil)
			if duty == DutyWatch {
				pause = retryPause
				continue
			}
			// A read that does not close the gap is not repeated without a pause.
		case revision != 0 && wantsRead(err):
			s.log.Info("changes cannot be watched from here, read anew", zap.Int64(telemetry.FieldRevision, revision), zap.Error(err))
			revision = 0
			continue
		default:
			s.noteStore(err)
		}
		worker.Sleep(ctx, worker.Jitter(pause))
		pause = min(2*pause, mostRetryWait)
	}
	return nil
}

// step reads the configuration, or waits for its next change when a revision is
// known, and returns the revision to continue from.
func (s *configSource) step(ctx context.Context, revision int64) (int64, error) {
	if revision == 0 {
		return s.read(ctx)
	}
	changes, err := s.store.Watch(ctx, s.key, revision, watchWait(s.catchUp, s.transfer))
	if err != nil {
		return 0, err
	}
	for _, e := range changes.Events {
		if e.Key == s.key && !e.Removed {
			s.transfer = changes.Took
			s.take(e.Value)
		}
	}
	return max(changes.Revision, revision), nil
}

// errNoRevision is returned for an answer that no watch can continue from.
var errNoRevision = errors.New("answer without a revision")

func (s *configSource) read(ctx context.Context) (int64, error) {
	resp, err := s.store.Range(ctx, store.RangeRequest{Key: s.key})
	if err != nil {
		return 0, err
	}
	for _, kv := range resp.KVs {
		s.transfer = resp.Took
		s.take(kv.Value)
	}
	if resp.Revision == 0 {
		return 0, errNoRevision
	}
	return resp.Revision, nil
}

func (s *configSource) take(raw []byte) {
	c, err := s.decode(raw)
	if err != nil {
		s.log.Error("configuration refused", zap.Error(err))
		return
	}
	s.apply(c, raw, "store")
}

// noteStore logs when the store is lost and regained.
func (s *configSource) noteStore(err error) {
	if lost := err != nil; lost != s.lost {
		s.lost = lost
		if lost {
			s.log.Warn("store lost", zap.Error(err))
			return
		}
		s.log.Info("store regained")
	}
}

// wantsRead tells whether a watch from the same revision would fail again, be the
// store as well as it may.
func wantsRead(err error) bool {
	var v *verdict.Error
	return errors.As(err, &v) && (v.Reason == store.ReasonCompacted || v.Reason == store.ReasonTooLarge)
}
