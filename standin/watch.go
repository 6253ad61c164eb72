package standin

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/poppywall/poppywall/store"
	"github.com/poppywall/poppywall/verdict"
)

// watchPollInterval is how often a waiting watch checks for changes.
const watchPollInterval = 5 * time.Millisecond

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// Watch implements store.Watcher.
func (s *Store) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (store.WatchResponse, error) {
	deadline := time.Now().Add(wait)
	for {
		changes, err := s.changesAfter(prefix, after)
		if err != nil || len(changes.Events) > 0 || !time.Now().Before(deadline) {
			return changes, err
		}
		select {
		case <-ctx.Done():
			return store.WatchResponse{}, &verdict.Error{Verdict: verdict.Unknown, Reason: "watch-cut", Err: ctx.Err()}
		case <-time.After(watchPollInterval):
		}
	}
}

// changesAfter returns the changes of keys with prefix after a revision, in the order of
// their revisions.
func (s *Store) changesAfter(prefix string, after int64) (store.WatchResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.beginCall(); err != nil {
		return store.WatchResponse{}, err
	}
	if after < s.compacted {
		return store.WatchResponse{}, &verdict.Error{Verdict: verdict.NotRun, Reason: store.ReasonCompacted, Err: errInjected}
	}
	out := store.WatchResponse{Revision: s.revision}
	for key, versions := range s.history {
		if !strings.HasPrefix(key, prefix) {
			continue
		}
		for _, v := range versions {
			if v.revision > after {
				kv := store.KV{Key: key, Value: v.value, CreateRevision: v.createRevision, ModRevision: v.revision}
				out.Events = append(out.Events, store.Event{KV: kv, Removed: v.deleted})
			}
		}
	}
	slices.SortFunc(out.Events, func(a, b store.Event) int { return int(a.ModRevision - b.ModRevision) })
	return out, nil
}

// Compact makes watches from before the current revision fail, as after a compaction.
// Reads at earlier revisions still work.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted = s.revision
}

func noLease() error {
	return &verdict.Error{Verdict: verdict.NotRun, Reason: store.ReasonNoLease, Err: errInjected}
}
