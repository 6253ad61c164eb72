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

// Faults are what the platform does wrong; the zero value is health.
type Faults struct {
	// Down refuses every call before it has an effect.
	Down bool `json:"down"`
	// LoseAnswers drops the answer of this many writes after their effect.
	LoseAnswers int `json:"loseAnswers"`
	// LoseRequests drops this many writes before their effect, with the same
	// error as a lost answer: the caller cannot tell.
	LoseRequests int `json:"loseRequests"`
	// StaleBy makes reads of the latest revision answer as if this many
	// revisions had not happened yet.
	StaleBy int64 `json:"staleBy"`
	// DelayMillis holds every answer back, served over HTTP only.
	DelayMillis int `json:"delayMillis"`
}

type version struct {
	revision int64
	value    []byte
	create   int64
	deleted  bool
	lease    store.LeaseID
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
	// compacted is the revision up to which the history is gone for watches.
	compacted int64
	next      store.LeaseID
	faults    Faults
	calls     int
}

var errInjected = errors.New("injected fault")

// NewStore returns an empty store that reads the time from now.
func NewStore(now func() time.Time) *Store {
	return &Store{
		now:      now,
		revision: 1,
		history:  map[string][]version{},
		leases:   map[store.LeaseID]lease{},
	}
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Delay returns how long an answer is to be held back.
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

// LapseLeases ends all leases at once.
func (s *Store) LapseLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		l.till = time.Time{}
		s.leases[id] = l
	}
	s.expire()
}

func (s *Store) begin() error {
	s.calls++
	if s.faults.Down {
		return &verdict.Error{Verdict: verdict.NotRun, Reason: "platform-down", Err: errInjected}
	}
	s.expire()
	return nil
}

func (s *Store) expire() {
	for id, l := range s.leases {
		if s.now().Before(l.till) {
			continue
		}
		delete(s.leases, id)
		s.deleteLeased(id)
	}
}

func (s *Store) deleteLeased(id store.LeaseID) {
	for key, vs := range s.history {
		last := vs[len(vs)-1]
		if last.lease == id && !last.deleted {
			s.revision++
			s.history[key] = append(vs, version{revision: s.revision, deleted: true})
		}
	}
}

// at returns the version of a key at a revision.
func (s *Store) at(key string, revision int64) (version, bool) {
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
	if err := s.begin(); err != nil {
		return store.RangeResponse{}, err
	}
	rev := req.Revision
	if rev == 0 {
		rev = max(s.revision-s.faults.StaleBy, 1)
	}
	resp := store.RangeResponse{Revision: max(s.revision-s.faults.StaleBy, 1)}
	for _, key := range s.keysIn(req.Key, req.End) {
		v, ok := s.at(key, rev)
		if !ok || v.revision < req.MinModRevision {
			continue
		}
		if req.Limit > 0 && int64(len(resp.KVs)) >= req.Limit {
			resp.More = true
			break
		}
		resp.KVs = append(resp.KVs, store.KV{Key: key, Value: v.value, CreateRevision: v.create, ModRevision: v.revision})
	}
	return resp, nil
}

func (s *Store) keysIn(from, end string) []string {
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
	if err := s.begin(); err != nil {
		return store.TxnResponse{}, err
	}
	lost := &verdict.Error{Verdict: verdict.Unknown, Reason: "platform-answer-lost", Err: errInjected}
	if s.faults.LoseRequests > 0 {
		s.faults.LoseRequests--
		return store.TxnResponse{}, lost
	}
	for _, p := range txn.Puts {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			return store.TxnResponse{}, noLease()
		}
	}
	resp := store.TxnResponse{Succeeded: s.holds(txn.Compares)}
	if resp.Succeeded {
		s.put(txn.Puts)
		s.remove(txn.Removes)
	}
	resp.Revision = s.revision
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		return store.TxnResponse{}, lost
	}
	return resp, nil
}

func (s *Store) holds(compares []store.Compare) bool {
	for _, c := range compares {
		v, ok := s.at(c.Key, s.revision)
		got := int64(0)
		if ok && c.Field == store.ModRevision {
			got = v.revision
		}
		if ok && c.Field == store.CreateRevision {
			got = v.create
		}
		if got != c.Equal {
			return false
		}
	}
	return true
}

// put writes all pairs at one new revision.
func (s *Store) put(puts []store.Put) {
	if len(puts) == 0 {
		return
	}
	before := s.revision
	s.revision++
	for _, p := range puts {
		v := version{revision: s.revision, value: p.Value, create: s.revision, lease: p.Lease}
		if old, ok := s.at(p.Key, before); ok {
			v.create = old.create
		}
		s.history[p.Key] = append(s.history[p.Key], v)
	}
}

// remove removes those keys that exist at one new revision.
func (s *Store) remove(keys []string) {
	before := s.revision
	for _, key := range keys {
		if _, ok := s.at(key, before); ok {
			s.revision = before + 1
			s.history[key] = append(s.history[key], version{revision: s.revision, deleted: true})
		}
	}
}

// Grant implements store.Store.
func (s *Store) Grant(_ context.Context, ttl time.Duration) (store.LeaseID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.begin(); err != nil {
		return 0, err
	}
	s.next++
	s.leases[s.next] = lease{ttl: ttl, till: s.now().Add(ttl)}
	return s.next, nil
}

// Faults returns the faults in force.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// LoseAnswer drops the answer of the next write after its effect.
func (s *Store) LoseAnswer() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.LoseAnswers++
}

// Down makes every call fail before it has an effect, or ends that.
func (s *Store) Down(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.Down = down
}

// Operator writes past the faults, which are those of the system's own calls.
func (s *Store) Operator(puts ...store.Put) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(puts)
}

// Has tells whether a key is there, past the faults.
func (s *Store) Has(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.at(key, s.revision)
	return ok
}

// OperatorRemoves removes keys in the same way.
func (s *Store) OperatorRemoves(keys ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(keys)
}
