package standin

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/poppywall/poppywall/store"
	"github.com/poppywall/poppywall/verdict"
)

// watchPoll is how often a waiting watch looks for changes.
const watchPoll = 5 * time.Millisecond

type lease struct {
	ttl  time.Duration
	till time.Time
}

// Watch implements store.Watcher.
func (s *Store) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (store.WatchResponse, error) {
	end := time.Now().Add(wait)
	for {
		changes, err := s.changes(prefix, after)
		if err != nil || len(changes.Events) > 0 || !time.Now().Before(end) {
			return changes, err
		}
		select {
		case <-ctx.Done():
			return store.WatchResponse{}, &verdict.Error{Verdict: verdict.Unknown, Reason: "watch-cut", Err: ctx.Err()}
		case <-time.After(watchPoll):
		}
	}
}

// changes returns what happened below prefix after a revision.
func (s *Store) changes(prefix string, after int64) (store.WatchResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.begin(); err != nil {
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
				kv := store.KV{Key: key, Value: v.value, CreateRevision: v.create, ModRevision: v.revision}
				out.Events = append(out.Events, store.Event{KV: kv, Removed: v.deleted})
			}
		}
	}
	slices.SortFunc(out.Events, func(a, b store.Event) int { return int(a.ModRevision - b.ModRevision) })
	return out, nil
}

// Compact drops the history: watches from earlier revisions are refused.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted = s.revision
}

func noLease() error {
	return &verdict.Error{Verdict: verdict.NotRun, Reason: store.ReasonNoLease, Err: errInjected}
}
