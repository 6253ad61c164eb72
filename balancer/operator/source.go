package operator

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/poppywall/poppywall/fleet/configcopy"
	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/platform"
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
	// StoreTimeout bounds a call at the store, which answers in milliseconds.
	StoreTimeout = 900 * time.Millisecond
	// retryPause is the pause after a failed call; it doubles up to the most.
	retryPause    = 50 * time.Millisecond
	mostRetryWait = 800 * time.Millisecond
	// idlePause is how often a balancer that others feed looks whether it still
	// is.
	idlePause = 100 * time.Millisecond
	// decodePause is the pause between two pieces of a configuration that is decoded:
	// long enough for the packets that came meanwhile, 33 of them for 4,200 routes.
	decodePause = time.Millisecond
)

// Log field names; shared ones stand in package telemetry.
const (
	fieldHeard  = "heard"
	fieldTookMS = "took_ms"
)

// watchWait is how long the store may hold a watch. One that was lost in silence
// is noticed after that and the store's time-out; then the configuration takes its
// time to come. Each watch is a priced call, so it is as long as the bound allows, counted
// from the last answer, since when the connection may be silent.
func watchWait(catchUp, transfer, sinceAnswer time.Duration) time.Duration {
	return min(max(catchUp-StoreTimeout-watchMargin-transfer-sinceAnswer, leastWatchWait), mostWatchWait)
}

// FeedTime is how long after an answer of the store a balancer counts as fed: a watch's
// waiting time and its time-out.
func FeedTime(catchUp time.Duration) time.Duration { return watchWait(catchUp, 0, 0) + StoreTimeout }

// Source follows what the operator has written: the configuration and the emptied zones,
// by one watch of the store and from other nodes. The exported fields are set before it
// runs.
type Source struct {
	State *State
	// Locked calls do with the time while State may be used.
	Locked func(do func(now time.Time))
	Store  store.Watcher
	// Peers calls other nodes, which serve their copies at Port.
	Peers *configcopy.Client
	Port  uint16
	// CatchUp is how long the source may take after connections went silent.
	CatchUp   time.Duration
	Transfers *Transfers
	Log       *zap.Logger

	// stored is the configuration in force as it is stored, nil before the first; it is
	// used while Locked.
	stored *configcopy.Copy
	// transfer is how long the last configuration took to come from the store.
	transfer time.Duration
	// emptied are the zones that the store empties, as of the last answer.
	emptied map[string]bool
	// lost tells that the store does not answer.
	lost bool
}

// FollowStore reads what the operator has written and watches it until ctx ends.
func (s *Source) FollowStore(ctx context.Context) error {
	revision, pause := int64(0), retryPause
	s.emptied = map[string]bool{}
	for ctx.Err() == nil {
		duty := s.duty()
		switch duty {
		case DutyNone:
			worker.Sleep(ctx, idlePause)
			continue
		case DutyRead:
			s.Log.Info("behind other balancers, the store is read")
			revision = 0
		}
		next, err := s.step(ctx, revision)
		switch {
		case ctx.Err() != nil:
			return nil
		case err == nil:
			s.Locked(s.State.Fed)
			revision = next
			s.noteStore(nil)
			if duty == DutyWatch {
				pause = retryPause
				continue
			}
			// A read that does not close the gap is not repeated without a pause.
		case revision != 0 && wantsRead(err):
			s.Log.Info("changes cannot be watched from here, read anew", zap.Int64(telemetry.FieldRevision, revision), zap.Error(err))
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

func (s *Source) duty() (d StoreDuty) {
	s.Locked(func(now time.Time) { d = s.State.StoreDuty(now) })
	return d
}

// step reads all, or waits for the next change when a revision is known, and returns the revision to continue from.
func (s *Source) step(ctx context.Context, revision int64) (int64, error) {
	if revision == 0 {
		return s.read(ctx)
	}
	var sinceAnswer time.Duration
	s.Locked(func(now time.Time) { sinceAnswer = s.State.SinceFed(now) })
	changes, err := s.Store.Watch(ctx, platform.OperatorPrefix, revision, watchWait(s.CatchUp, s.transfer, sinceAnswer))
	if err != nil {
		return 0, err
	}
	s.takeEvacuations(changes)
	for _, e := range changes.Events {
		if e.Key == platform.ConfigKey && !e.Removed {
			s.transfer = changes.Took
			s.take(e.Value)
		}
	}
	return max(changes.Revision, revision), nil
}

// errNoRevision is returned for an answer that no watch can continue from.
var errNoRevision = errors.New("answer without a revision")

// read reads all pages and returns the revision of the first one: what has changed
// since, seen on a later page or not, the watch from there tells.
func (s *Source) read(ctx context.Context) (int64, error) {
	began := time.Now()
	var config []byte
	emptied := map[string]bool{}
	all := store.RangeRequest{Key: platform.OperatorPrefix, End: store.PrefixEnd(platform.OperatorPrefix)}
	revision, err := store.ReadAll(ctx, s.Store, all, func(kv store.KV) error {
		if kv.Key == platform.ConfigKey {
			config = kv.Value
		}
		if zone, ok := platform.EvacuatedZone(kv.Key); ok {
			emptied[zone] = true
		}
		return nil
	})
	switch {
	case err != nil:
		return 0, err
	case revision == 0:
		return 0, errNoRevision
	}
	s.transfer = time.Since(began)
	s.emptied = emptied
	s.tellEvacuations(revision)
	if config != nil {
		s.take(config)
	}
	return revision, nil
}

// takeEvacuations follows the zones that changes empty or take back. They come before
// a configuration of the same answer, whose decoding takes its time.
func (s *Source) takeEvacuations(changes store.Changes) {
	revision := int64(0)
	for _, e := range changes.Events {
		zone, ok := platform.EvacuatedZone(e.Key)
		if !ok {
			continue
		}
		revision = max(revision, e.ModRevision)
		if e.Removed {
			delete(s.emptied, zone)
		} else {
			s.emptied[zone] = true
		}
	}
	if revision > 0 {
		s.tellEvacuations(revision)
	}
}

// tellEvacuations passes on which zones the store empties since a revision.
func (s *Source) tellEvacuations(revision int64) {
	zones, out := flow.NewEvacuations(revision, slices.Collect(maps.Keys(s.emptied)))
	if len(out) > 0 {
		s.Log.Error("zones cannot be emptied", zap.Strings("zones", out), zap.Int64(telemetry.FieldRevision, revision))
	}
	s.Locked(func(now time.Time) { s.State.SetEvacuations(now, zones, FromStore) })
}

func (s *Source) take(raw []byte) {
	c, err := decode(raw)
	if err != nil {
		s.Log.Error("configuration refused", zap.Error(err))
		return
	}
	s.apply(c, raw, FromStore)
}

// decode decodes a configuration beside the packets' way: the sleep lets the
// goroutines run that wait for packets.
func decode(raw []byte) (*flow.Config, error) {
	return platform.DecodeConfig(raw, func() { time.Sleep(decodePause) })
}

// apply puts a configuration in force if it is newer.
func (s *Source) apply(c *flow.Config, raw []byte, from Origin) {
	s.Locked(func(now time.Time) {
		former := s.State.ConfigVersion()
		if !s.State.SetConfig(now, c) {
			return
		}
		s.stored = configcopy.Stored(raw)
		s.Transfers.applied(c.Version, len(raw))
		s.Log.Info("configuration in force", zap.Int64(telemetry.FieldConfig, c.Version), zap.Int64("former", former),
			zap.Int("routes", len(c.Routes)), zap.Int(telemetry.FieldBytes, len(raw)), zap.Stringer("from", from))
	})
}

// Copy returns the configuration in force for other nodes, nil while there is none.
func (s *Source) Copy() (stored *configcopy.Copy) {
	s.Locked(func(time.Time) { stored = s.stored })
	return stored
}

// version returns the configuration's version in force.
func (s *Source) version() (v int64) {
	s.Locked(func(time.Time) { v = s.State.ConfigVersion() })
	return v
}

// noteStore logs when the store is lost and regained.
func (s *Source) noteStore(err error) {
	if lost := err != nil; lost != s.lost {
		s.lost = lost
		if lost {
			s.Log.Warn("store lost", zap.Error(err))
			return
		}
		s.Log.Info("store regained")
	}
}

// wantsRead tells whether a watch from the same revision would fail again, be the
// store as well as it may.
func wantsRead(err error) bool {
	var v *verdict.Error
	return errors.As(err, &v) && (v.Reason == store.ReasonCompacted || v.Reason == store.ReasonTooLarge)
}
