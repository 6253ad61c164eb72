package catalog

import (
	"cmp"
	"maps"
	"slices"

	"github.com/go-faster/errors"

	"github.com/poppywall/poppywall/route"
)

// ErrFull is returned when an update would pass MaxRecords.
var ErrFull = errors.New("catalog is full")

// Update carries changes: every record whose latest change lies in (From, To].
type Update struct {
	From    Revision `json:"from"`
	To      Revision `json:"to"`
	Records []Record `json:"records,omitempty"`
	// Horizon is how far the sender had heard. A record changed again between
	// To and Horizon is not in the update, so that until Horizon is reached the
	// receiver may lack a change before To, and calls nothing in force.
	Horizon Revision `json:"horizon"`
}

// More tells that the sender holds changes after To.
func (u *Update) More() bool { return u.To < u.Horizon }

// State is one node's view of the configuration. It is not safe for concurrent
// use; its owner holds a lock.
type State struct {
	revision Revision
	inForce  Revision
	// horizon is the farthest Horizon of the updates taken.
	horizon Revision
	records map[string]Record
	// order lists changes by revision; entries of superseded changes are
	// removed when they outnumber the others.
	order []change
	// page bounds the records of one update.
	page int
}

type change struct {
	revision Revision
	key      string
}

// NewState returns a view that knows nothing.
func NewState() *State { return &State{records: map[string]Record{}, page: MaxPage} }

// Revision returns how far this node has heard.
func (s *State) Revision() Revision { return s.revision }

// InForce returns the revision up to which every change is in force here.
func (s *State) InForce() Revision { return s.inForce }

// Len returns the number of records held, tombstones included.
func (s *State) Len() int { return len(s.records) }

// Apply takes an update and tells whether anything changed. An update that is
// not newer, or starts after a gap, changes nothing: moving on over a gap would
// lose accepted changes for good.
func (s *State) Apply(u Update) (bool, error) {
	if u.From > s.revision || u.To < s.revision {
		return false, nil
	}
	fresh := s.newer(u)
	if len(s.records)+len(fresh) > MaxRecords {
		return false, ErrFull
	}
	for _, r := range fresh {
		s.records[r.Key] = r
		s.order = append(s.order, change{r.Revision, r.Key})
	}
	before := s.inForce
	s.revision = u.To
	s.horizon = max(s.horizon, u.Horizon, u.To)
	if s.revision == s.horizon {
		s.inForce = s.revision
	}
	s.compact()
	return len(fresh) > 0 || s.inForce != before, nil
}

// newer returns the update's records that are news here, oldest first. All of
// them are after s.revision, for what lies before is held already.
func (s *State) newer(u Update) []Record {
	var fresh []Record
	for _, r := range u.Records {
		if r.Revision > s.revision && r.Revision <= u.To {
			fresh = append(fresh, r)
		}
	}
	SortByRevision(fresh)
	return fresh
}

func (s *State) compact() {
	if len(s.order) <= 2*len(s.records)+MaxPage {
		return
	}
	s.order = slices.DeleteFunc(s.order, func(c change) bool {
		return s.records[c.key].Revision != c.revision
	})
}

// Since returns the next page that a node at revision from needs, nil when it
// needs nothing. keep selects the records that concern it.
func (s *State) Since(from Revision, keep func(*Record) bool) *Update {
	if from >= s.revision {
		return nil
	}
	start, _ := slices.BinarySearchFunc(s.order, from+1, func(c change, r Revision) int {
		return cmp.Compare(c.revision, r)
	})
	u := &Update{From: from, To: s.revision, Horizon: s.horizon}
	bytes := 0
	for _, c := range s.order[start:] {
		r := s.records[c.key]
		if r.Revision != c.revision || !keep(&r) {
			continue
		}
		size := r.size()
		full := len(u.Records) >= s.page || (len(u.Records) > 0 && bytes+size > MaxPageBytes)
		bytes += size
		if full && r.Revision != u.Records[len(u.Records)-1].Revision {
			u.To = u.Records[len(u.Records)-1].Revision
			return u
		}
		u.Records = append(u.Records, r)
	}
	return u
}

// Everything keeps all records.
func Everything(*Record) bool { return true }

// Records returns the live records that match, oldest change first.
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

// Get returns a record; a tombstone counts as absent.
func (s *State) Get(key string) (Record, bool) {
	r, ok := s.records[key]
	return r, ok && !r.Deleted
}

// Services returns the services by ID. The control tool claims addresses and
// IDs, so two records never share one; should they, the earlier change keeps it.
func (s *State) Services() map[route.ServiceID]*Service {
	out := map[route.ServiceID]*Service{}
	taken := map[string]bool{}
	for _, r := range s.Records((*Record).IsService) {
		if _, dup := out[r.Service.ID]; dup || taken[r.Service.Address] {
			continue
		}
		out[r.Service.ID] = r.Service
		taken[r.Service.Address] = true
	}
	return out
}

// Effective is what holds for one target: announced labels overlaid by the
// host's record, overlaid by the target's own record.
type Effective struct {
	Labels Labels
	Drain  bool
}

// Target returns what holds for a target that announced the given labels.
func (s *State) Target(host, name string, announced Labels) Effective {
	e := Effective{Labels: Labels{}}
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
