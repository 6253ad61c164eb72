package standin

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/poppywall/poppywall/store"
	"github.com/poppywall/poppywall/verdict"
)

// Faults are the faults that the store injects; the zero value injects none.
type Faults struct {
	// Down fails every call before it has an effect.
	Down bool `json:"down"`
	// LoseResponses is the number of coming writes whose response is lost after they
	// were applied.
	LoseResponses int `json:"loseAnswers"`
	// LoseRequests is the number of coming writes that are lost before they are
	// applied. The error is the same as for a lost response, so the caller cannot
	// distinguish the two.
	LoseRequests int `json:"loseRequests"`
	// StaleBy is how many revisions reads of the latest revision lag behind.
	StaleBy int64 `json:"staleBy"`
	// DelayMillis delays every request over HTTP; direct calls are not delayed.
	DelayMillis int `json:"delayMillis"`
}

// version is the state of a key from a revision on.
type version struct {
	revision       int64
	value          []byte
	createRevision int64
	deleted        bool
	lease          store.LeaseID
}

// Store is an in-memory key-value service with the platform's semantics:
// revisions, transactions, leases, reads at past revisions. It implements
// store.Store and is safe for concurrent use.
type Store struct {
	// mu guards all fields.
	mu       sync.Mutex
	now      func() time.Time
	revision int64
	history  map[string][]version
	leases   map[store.LeaseID]lease
	// compacted is the revision before which watches cannot start.
	compacted int64
	lastLease store.LeaseID
	faults    Faults
	calls     int
}

var errInjected = errors.New("injected fault")

// NewStore returns an empty store that uses now as its clock.
func NewStore(now func() time.Time) *Store {
	return &Store{
		now:      now,
		revision: 1,
		history:  map[string][]version{},
		leases:   map[store.LeaseID]lease{},
	}
}

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Delay returns the injected delay of a request over HTTP.
func (s *Store) Delay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.faults.DelayMillis) * time.Millisecond
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// LapseLeases expires all leases at once and removes their keys.
func (s *Store) LapseLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		l.expires = time.Time{}
		s.leases[id] = l
	}
	s.expire()
}

// beginCall counts a call, fails it if the store is down and expires leases. The
// caller holds mu.
func (s *Store) beginCall() error {
	s.calls++
	if s.faults.Down {
		return &verdict.Error{Verdict: verdict.NotRun, Reason: "platform-down", Err: errInjected}
	}
	s.expire()
	return nil
}

// expire removes the leases that have expired, with their keys.
func (s *Store) expire() {
	for id, l := range s.leases {
		if s.now().Before(l.expires) {
			continue
		}
		delete(s.leases, id)
		s.deleteLeased(id)
	}
}

// deleteLeased deletes the keys of a lease, each at a revision of its own.
func (s *Store) deleteLeased(id store.LeaseID) {
	for key, vs := range s.history {
		last := vs[len(vs)-1]
		if last.lease == id && !last.deleted {
			s.revision++
			s.history[key] = append(vs, version{revision: s.revision, deleted: true})
		}
	}
}

// versionAt returns the version of a key at a revision and reports whether the key
// existed then.
func (s *Store) versionAt(key string, revision int64) (version, bool) {
	vs := s.history[key]
	for i := len(vs) - 1; i >= 0; i-- {
		if vs[i].revision <= revision {
			return vs[i], !vs[i].deleted
		}
	}
	return version{}, false
}

// Range implements store.Store.
func (s *Store) Range(_ context.Context, req store.RangeRequest) (store.RangeResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.beginCall(); err != nil {
		return store.RangeResponse{}, err
	}
	rev := req.Revision
	if rev == 0 {
		rev = max(s.revision-s.faults.StaleBy, 1)
	}
	resp := store.RangeResponse{Revision: max(s.revision-s.faults.StaleBy, 1)}
	for _, key := range s.keysInRange(req.Key, req.End) {
		v, ok := s.versionAt(key, rev)
		if !ok || v.revision < req.MinModRevision {
			continue
		}
		if req.Limit > 0 && int64(len(resp.KVs)) >= req.Limit {
			resp.More = true
			break
		}
		resp.KVs = append(resp.KVs, store.KV{Key: key, Value: v.value, CreateRevision: v.createRevision, ModRevision: v.revision})
	}
	return resp, nil
}

// keysInRange returns the keys in [from, end) that ever existed, sorted. An empty end
// is the key from alone, "\x00" is no upper bound.
func (s *Store) keysInRange(from, end string) []string {
	var keys []string
	for key := range s.history {
		if key == from || (end != "" && key >= from && (end == "\x00" || key < end)) {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, strings.Compare)
	return keys
}

// Txn implements store.Store.
func (s *Store) Txn(_ context.Context, txn store.Txn) (store.TxnResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.beginCall(); err != nil {
		return store.TxnResponse{}, err
	}
	responseLost := &verdict.Error{Verdict: verdict.Unknown, Reason: "platform-answer-lost", Err: errInjected}
	if s.faults.LoseRequests > 0 {
		s.faults.LoseRequests--
		return store.TxnResponse{}, responseLost
	}
	for _, p := range txn.Puts {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			return store.TxnResponse{}, noLease()
		}
	}
	resp := store.TxnResponse{Succeeded: s.compareAll(txn.Compares)}
	if resp.Succeeded {
		s.put(txn.Puts)
		s.remove(txn.Removes)
	}
	resp.Revision = s.revision
	if s.faults.LoseResponses > 0 {
		s.faults.LoseResponses--
		return store.TxnResponse{}, responseLost
	}
	return resp, nil
}

// compareAll reports whether all conditions of a transaction are met.
func (s *Store) compareAll(compares []store.Compare) bool {
	for _, c := range compares {
		v, ok := s.versionAt(c.Key, s.revision)
		got := int64(0)
		if ok && c.Field == store.ModRevision {
			got = v.revision
		}
		if ok && c.Field == store.CreateRevision {
			got = v.createRevision
		}
		if got != c.Equal {
			return false
		}
	}
	return true
}

// put writes all pairs at one new revision, the next one.
func (s *Store) put(puts []store.Put) {
	if len(puts) == 0 {
		return
	}
	before := s.revision
	s.revision++
	for _, p := range puts {
		v := version{revision: s.revision, value: p.Value, createRevision: s.revision, lease: p.Lease}
		if old, ok := s.versionAt(p.Key, before); ok {
			v.createRevision = old.createRevision
		}
		s.history[p.Key] = append(s.history[p.Key], v)
	}
}

// remove deletes the keys that exist, all at one new revision.
func (s *Store) remove(keys []string) {
	before := s.revision
	for _, key := range keys {
		if _, ok := s.versionAt(key, before); ok {
			s.revision = before + 1
			s.history[key] = append(s.history[key], version{revision: s.revision, deleted: true})
		}
	}
}

// Grant implements store.Store.
func (s *Store) Grant(_ context.Context, ttl time.Duration) (store.LeaseID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.beginCall(); err != nil {
		return 0, err
	}
	s.lastLease++
	s.leases[s.lastLease] = lease{ttl: ttl, expires: s.now().Add(ttl)}
	return s.lastLease, nil
}

// Faults returns the injected faults; its counts are what remains of them.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// LoseResponse drops the response to one more coming write after it was applied.
func (s *Store) LoseResponse() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.LoseResponses++
}

// Down sets whether every call fails without an effect.
func (s *Store) Down(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.Down = down
}

// PutAsOperator writes pairs as an operator does. Injected faults do not apply: they are
// faults of the calls of the system under test.
func (s *Store) PutAsOperator(puts ...store.Put) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(puts)
}

// Has reports whether a key exists, regardless of injected faults.
func (s *Store) Has(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.versionAt(key, s.revision)
	return ok
}

// DeleteAsOperator deletes keys as an operator does, regardless of injected faults.
func (s *Store) DeleteAsOperator(keys ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(keys)
}
