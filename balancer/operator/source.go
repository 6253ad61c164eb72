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

// Timing of reads and watches of the store.
const (
	// watchMargin is the time reserved, besides the transfer, after a silent loss of a watch
	// is detected: for a connection, a read, and a watch that starts late.
	watchMargin = 500 * time.Millisecond
	// minWatchWait limits the rate of calls at the store, even if Source.CatchUp cannot be met.
	minWatchWait = 500 * time.Millisecond
	// maxWatchWait bounds the waiting time of a watch: a balancer reports to others that it
	// follows the store only while watches return.
	maxWatchWait = 5 * time.Second
	// StoreTimeout bounds a call at the store, which answers in milliseconds.
	StoreTimeout = 900 * time.Millisecond
	// retryPause is the pause after a failed call; it doubles up to maxRetryPause.
	retryPause    = 50 * time.Millisecond
	maxRetryPause = 800 * time.Millisecond
	// dutyCheckInterval is how often a balancer that does not watch the store checks whether
	// it has to.
	dutyCheckInterval = 100 * time.Millisecond
	// decodePause is the pause between two pieces of a configuration that is decoded, 33 pauses for
	// 4,200 routes: long enough to handle the packets that came meanwhile.
	decodePause = time.Millisecond
)

// Log field names; shared ones are in package telemetry.
const (
	fieldSeenVersion = "heard"
	fieldTookMS      = "took_ms"
)

// watchWait returns how long the store may hold a watch. A watch whose connection went silent
// is detected after that and the store's timeout; then the configuration has to be
// transferred. Each watch is a billed call, so the wait is as long as the bound allows,
// counted from the last answer, since when the connection may have been silent.
func watchWait(catchUp, transfer, sinceAnswer time.Duration) time.Duration {
	return min(max(catchUp-StoreTimeout-watchMargin-transfer-sinceAnswer, minWatchWait), maxWatchWait)
}

// FollowTime returns how long after an answer of the store a balancer counts as following it: a
// watch's waiting time and its timeout.
func FollowTime(catchUp time.Duration) time.Duration { return watchWait(catchUp, 0, 0) + StoreTimeout }

// Source follows what the operator has written, the configuration and the evacuated zones, by
// one watch of the store and from other nodes. The exported fields are set before it runs.
type Source struct {
	State *State
	// Locked calls do with the current time while State may be used.
	Locked func(do func(now time.Time))
	Store  store.Watcher
	// Peers calls other nodes, which serve their copies of the configuration at Port.
	Peers *configcopy.Client
	Port  uint16
	// CatchUp is the maximum time until the configuration is followed again after connections went
	// silent.
	CatchUp   time.Duration
	Transfers *Transfers
	Log       *zap.Logger

	// stored is the configuration in force in its stored encoding, nil before the first; it is
	// used only within Locked.
	stored *configcopy.Copy
	// transfer is how long the last configuration took to come from the store.
	transfer time.Duration
	// evacuated are the zones that the store lists as evacuated, as of its last answer.
	evacuated map[string]bool
	// storeUnavailable reports whether the last call to the store failed.
	storeUnavailable bool
}

// FollowStore reads what the operator has written and watches it until ctx ends.
func (s *Source) FollowStore(ctx context.Context) error {
	revision, pause := int64(0), retryPause
	s.evacuated = map[string]bool{}
	for ctx.Err() == nil {
		duty := s.duty()
		switch duty {
		case DutyNone:
			worker.Sleep(ctx, dutyCheckInterval)
			continue
		case DutyRead:
			s.Log.Info("configuration older than other balancers', reading the store")
			revision = 0
		}
		next, err := s.readOrWatch(ctx, revision)
		switch {
		case ctx.Err() != nil:
			return nil
		case err == nil:
			s.Locked(s.State.StoreAnswered)
			revision = next
			s.logStoreAvailability(nil)
			if duty == DutyWatch {
				pause = retryPause
				continue
			}
			// A read that does not close the gap is not repeated without a pause.
		case revision != 0 && needsFullRead(err):
			s.Log.Info("cannot watch from this revision, reading the store again", zap.Int64(telemetry.FieldRevision, revision), zap.Error(err))
			revision = 0
			continue
		default:
			s.logStoreAvailability(err)
		}
		worker.Sleep(ctx, worker.Jitter(pause))
		pause = min(2*pause, maxRetryPause)
	}
	return nil
}

func (s *Source) duty() (d StoreDuty) {
	s.Locked(func(now time.Time) { d = s.State.StoreDuty(now) })
	return d
}

// readOrWatch reads everything if revision is zero, or else waits for the next changes after
// it. It applies what it received and returns the revision to continue from.
func (s *Source) readOrWatch(ctx context.Context, revision int64) (int64, error) {
	if revision == 0 {
		return s.read(ctx)
	}
	var sinceAnswer time.Duration
	s.Locked(func(now time.Time) { sinceAnswer = s.State.SinceStoreAnswer(now) })
	changes, err := s.Store.Watch(ctx, platform.OperatorPrefix, revision, watchWait(s.CatchUp, s.transfer, sinceAnswer))
	if err != nil {
		return 0, err
	}
	s.applyEvacuationEvents(changes)
	for _, e := range changes.Events {
		if e.Key == platform.ConfigKey && !e.Removed {
			s.transfer = changes.TransferTime
			s.decodeAndApply(e.Value)
		}
	}
	return max(changes.Revision, revision), nil
}

// errNoRevision is returned for a read without a revision from which a watch could continue.
var errNoRevision = errors.New("store response has no revision")

// read reads all pages and returns the revision of the first one: a watch from there returns all
// later changes, including those that a later page already contains.
func (s *Source) read(ctx context.Context) (int64, error) {
	began := time.Now()
	var config []byte
	evacuated := map[string]bool{}
	all := store.RangeRequest{Key: platform.OperatorPrefix, End: store.PrefixEnd(platform.OperatorPrefix)}
	revision, err := store.ReadAll(ctx, s.Store, all, func(kv store.KV) error {
		if kv.Key == platform.ConfigKey {
			config = kv.Value
		}
		if zone, ok := platform.EvacuatedZone(kv.Key); ok {
			evacuated[zone] = true
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
	s.evacuated = evacuated
	s.setEvacuations(revision)
	if config != nil {
		s.decodeAndApply(config)
	}
	return revision, nil
}

// applyEvacuationEvents applies the changes that evacuate or restore zones. It runs before a
// configuration of the same answer is applied, because decoding that takes time.
func (s *Source) applyEvacuationEvents(changes store.WatchResponse) {
	revision := int64(0)
	for _, e := range changes.Events {
		zone, ok := platform.EvacuatedZone(e.Key)
		if !ok {
			continue
		}
		revision = max(revision, e.ModRevision)
		if e.Removed {
			delete(s.evacuated, zone)
		} else {
			s.evacuated[zone] = true
		}
	}
	if revision > 0 {
		s.setEvacuations(revision)
	}
}

// setEvacuations puts in force the zones that the store lists as evacuated at a revision.
func (s *Source) setEvacuations(revision int64) {
	evacuations, rejected := flow.NewEvacuations(revision, slices.Collect(maps.Keys(s.evacuated)))
	if len(rejected) > 0 {
		s.Log.Error("zones cannot be evacuated", zap.Strings("zones", rejected), zap.Int64(telemetry.FieldRevision, revision))
	}
	s.Locked(func(now time.Time) { s.State.SetEvacuations(now, evacuations, FromStore) })
}

// decodeAndApply applies a configuration read from the store.
func (s *Source) decodeAndApply(raw []byte) {
	c, err := decode(raw)
	if err != nil {
		s.Log.Error("stored configuration does not decode", zap.Error(err))
		return
	}
	s.apply(c, raw, FromStore)
}

// decode decodes a configuration. It sleeps between the pieces, so that the goroutines that handle
// packets can run meanwhile.
func decode(raw []byte) (*flow.Config, error) {
	return platform.DecodeConfig(raw, func() { time.Sleep(decodePause) })
}

// apply puts a configuration in force if it is newer.
func (s *Source) apply(c *flow.Config, raw []byte, from Origin) {
	s.Locked(func(now time.Time) {
		previous := s.State.ConfigVersion()
		if !s.State.SetConfig(now, c) {
			return
		}
		s.stored = configcopy.NewCopy(raw)
		s.Transfers.setInForce(c.Version, len(raw))
		s.Log.Info("configuration in force", zap.Int64(telemetry.FieldConfig, c.Version), zap.Int64("former", previous),
			zap.Int("routes", len(c.Routes)), zap.Int(telemetry.FieldBytes, len(raw)), zap.Stringer("from", from))
	})
}

// Copy returns the configuration in force for other nodes, nil while there is none.
func (s *Source) Copy() (stored *configcopy.Copy) {
	s.Locked(func(time.Time) { stored = s.stored })
	return stored
}

// version returns the version of the configuration in force.
func (s *Source) version() (v int64) {
	s.Locked(func(time.Time) { v = s.State.ConfigVersion() })
	return v
}

// logStoreAvailability logs when the store becomes unavailable and available again.
func (s *Source) logStoreAvailability(err error) {
	if unavailable := err != nil; unavailable != s.storeUnavailable {
		s.storeUnavailable = unavailable
		if unavailable {
			s.Log.Warn("store unavailable", zap.Error(err))
			return
		}
		s.Log.Info("store available again")
	}
}

// needsFullRead reports whether a watch from the same revision would fail again even if the
// store is healthy.
func needsFullRead(err error) bool {
	var v *verdict.Error
	return errors.As(err, &v) && (v.Reason == store.ReasonCompacted || v.Reason == store.ReasonTooLarge)
}
