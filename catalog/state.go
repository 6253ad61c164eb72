package catalog

import (
	"cmp"
	"maps"
	"slices"

	"github.com/go-faster/errors"

	"github.com/poppywall/poppywall/route"
)

// ErrFull is returned when an update would exceed MaxRecords.
var ErrFull = errors.New("catalog is full")

// Update carries the records whose latest change is in the revision range
// (From, To].
type Update struct {
	From    Revision `json:"from"`
	To      Revision `json:"to"`
	Records []Record `json:"records,omitempty"`
	// Horizon is the highest revision that the sender had received. A record that
	// changed again after To is not in the update, so until the receiver reaches
	// Horizon it may lack a change before To and doesn't advance its revision in
	// force.
	Horizon Revision `json:"horizon"`
}

// More reports whether the sender has changes after To.
func (u *Update) More() bool { return u.To < u.Horizon }

// State is one node's copy of the configuration. It is not safe for concurrent
// use; callers hold a lock.
type State struct {
	revision Revision
	inForce  Revision
	// horizon is the highest Horizon of the updates applied.
	horizon Revision
	records map[string]Record
	// changeLog lists the changes in order of revision. Entries of superseded
	// changes are removed when they outnumber the others.
	changeLog []changeRef
	// maxPageRecords limits the number of records in one update: MaxPage, less in
	// tests.
	maxPageRecords int
}

// changeRef names the record that a change wrote.
type changeRef struct {
	revision Revision
	key      string
}

// NewState returns an empty configuration at revision zero.
func NewState() *State { return &State{records: map[string]Record{}, maxPageRecords: MaxPage} }

// Revision returns the revision up to which this node has applied updates.
func (s *State) Revision() Revision { return s.revision }

// InForce returns the revision up to which every change is in force on this node.
func (s *State) InForce() Revision { return s.inForce }

// Len returns the number of records, tombstones included.
func (s *State) Len() int { return len(s.records) }

// Apply applies an update and reports whether anything changed. An update that is
// older than the state, or starts after a gap, is ignored: skipping a gap would
// lose accepted changes permanently.
func (s *State) Apply(u Update) (bool, error) {
	if u.From > s.revision || u.To < s.revision {
		return false, nil
	}
	fresh := s.newRecords(u)
	if len(s.records)+len(fresh) > MaxRecords {
		return false, ErrFull
	}
	for _, r := range fresh {
		s.records[r.Key] = r
		s.changeLog = append(s.changeLog, changeRef{r.Revision, r.Key})
	}
	before := s.inForce
	s.revision = u.To
	s.horizon = max(s.horizon, u.Horizon, u.To)
	if s.revision == s.horizon {
		s.inForce = s.revision
	}
	s.compactChangeLog()
	return len(fresh) > 0 || s.inForce != before, nil
}

// newRecords returns the update's records after s.revision, oldest first. The
// state already has the changes up to s.revision.
func (s *State) newRecords(u Update) []Record {
	var fresh []Record
	for _, r := range u.Records {
		if r.Revision > s.revision && r.Revision <= u.To {
			fresh = append(fresh, r)
		}
	}
	SortByRevision(fresh)
	return fresh
}

// compactChangeLog removes superseded changes from the log once they outnumber
// the others by more than MaxPage.
func (s *State) compactChangeLog() {
	if len(s.changeLog) <= 2*len(s.records)+MaxPage {
		return
	}
	s.changeLog = slices.DeleteFunc(s.changeLog, func(c changeRef) bool {
		return s.records[c.key].Revision != c.revision
	})
}

// Since returns the next update for a node at revision from, or nil if it is up to
// date. The update holds only the records for which keep returns true.
func (s *State) Since(from Revision, keep func(*Record) bool) *Update {
	if from >= s.revision {
		return nil
	}
	start, _ := slices.BinarySearchFunc(s.changeLog, from+1, func(c changeRef, r Revision) int {
		return cmp.Compare(c.revision, r)
	})
	u := &Update{From: from, To: s.revision, Horizon: s.horizon}
	bytes := 0
	for _, c := range s.changeLog[start:] {
		r := s.records[c.key]
		if r.Revision != c.revision || !keep(&r) {
			continue
		}
		size := r.jsonSize()
		full := len(u.Records) >= s.maxPageRecords || (len(u.Records) > 0 && bytes+size > MaxPageBytes)
		bytes += size
		if full && r.Revision != u.Records[len(u.Records)-1].Revision {
			u.To = u.Records[len(u.Records)-1].Revision
			return u
		}
		u.Records = append(u.Records, r)
	}
	return u
}

// KeepAll is a filter that keeps all records.
func KeepAll(*Record) bool { return true }

// Records returns the records for which keep returns true, oldest change first,
// without tombstones.
func (s *State) Records(keep func(*Record) bool) []Record {
	var out []Record
	for _, r := range s.records {
		if !r.Deleted && keep(&r) {
			out = append(out, r)
		}
	}
	SortByRevision(out)
	return out
}

// Get returns a record and whether it exists; a tombstone does not.
func (s *State) Get(key string) (Record, bool) {
	r, ok := s.records[key]
	return r, ok && !r.Deleted
}

// Services returns the services by ID. The control tool reserves IDs and
// addresses, so no two records should share one; if they do, the earlier change
// wins and the other service is left out.
func (s *State) Services() map[route.ServiceID]*Service {
	out := map[route.ServiceID]*Service{}
	addresses := map[string]bool{}
	for _, r := range s.Records((*Record).IsService) {
		if _, dup := out[r.Service.ID]; dup || addresses[r.Service.Address] {
			continue
		}
		out[r.Service.ID] = r.Service
		addresses[r.Service.Address] = true
	}
	return out
}

// EffectiveTarget is the configuration in force for one target: the labels that it
// announced, overridden by the host's record, overridden by the target's record.
type EffectiveTarget struct {
	Labels Labels
	Drain  bool
}

// Target returns the configuration in force for a target that announced the given
// labels.
func (s *State) Target(host, name string, announced Labels) EffectiveTarget {
	e := EffectiveTarget{Labels: Labels{}}
	maps.Copy(e.Labels, announced)
	for _, key := range []string{TargetKey(host, ""), TargetKey(host, name)} {
		r, ok := s.Get(key)
		if !ok || r.Target == nil {
			continue
		}
		maps.Copy(e.Labels, r.Target.Labels)
		e.Drain = e.Drain || r.Target.Drain
	}
	return e
}
