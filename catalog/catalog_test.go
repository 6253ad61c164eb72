package catalog

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func record(key int, rev Revision) Record {
	host := fmt.Sprint("h", key)
	return Record{Key: TargetKey(host, ""), Revision: rev, Target: &Target{Host: host, Labels: Labels{"rev": fmt.Sprint(rev)}}}
}

// TestNodesNeverRevert exchanges updates between nodes, late, repeated, in any
// order and from nodes that lag. No record may go back to an older revision, and
// every change up to a node's revision in force must be on the node. The store's
// history is the reference.
func TestNodesNeverRevert(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		written := map[Revision]string{} // the key of every change
		store := NewState()
		nodes := []*State{NewState(), NewState(), NewState()}
		for _, n := range append(nodes, store) {
			n.maxPageRecords = 3
		}
		var delayed []Update
		rev := Revision(0)
		pick := func(t *rapid.T) *State { return rapid.SampledFrom(nodes).Draw(t, "node") }
		check := func(n *State, before Revision, previous map[string]Record) {
			require.GreaterOrEqual(t, n.InForce(), before)
			for key, r := range previous {
				require.GreaterOrEqual(t, n.records[key].Revision, r.Revision)
			}
			for r, key := range written {
				if r <= n.InForce() {
					require.GreaterOrEqual(t, n.records[key].Revision, r, "the revision in force covers a change of %s that is missing", key)
				}
			}
		}
		apply := func(n *State, u Update) {
			before, previous := n.InForce(), map[string]Record{}
			for k, r := range n.records {
				previous[k] = r
			}
			_, err := n.Apply(u)
			require.NoError(t, err)
			check(n, before, previous)
		}
		t.Repeat(map[string]func(*rapid.T){
			"change": func(t *rapid.T) {
				from := rev
				rev += Revision(rapid.IntRange(1, 3).Draw(t, "step"))
				r := record(rapid.IntRange(0, 6).Draw(t, "key"), rev)
				r.Deleted = rapid.Bool().Draw(t, "deleted")
				written[rev] = r.Key
				_, err := store.Apply(Update{From: from, To: rev, Records: []Record{r}})
				require.NoError(t, err)
			},
			"sync": func(t *rapid.T) {
				from := rapid.SampledFrom(append(nodes, store)).Draw(t, "from")
				to := pick(t)
				if u := from.Since(to.Revision(), KeepAll); u != nil {
					delayed = append(delayed, *u)
					if rapid.Bool().Draw(t, "arrives") {
						apply(to, *u)
					}
				}
			},
			"late": func(t *rapid.T) {
				if len(delayed) > 0 {
					apply(pick(t), rapid.SampledFrom(delayed).Draw(t, "update"))
				}
			},
			"restart": func(t *rapid.T) {
				i := rapid.IntRange(0, len(nodes)-1).Draw(t, "node")
				nodes[i] = NewState()
				nodes[i].maxPageRecords = 3
			},
		})
		for _, n := range nodes {
			for u := store.Since(n.Revision(), KeepAll); u != nil; u = store.Since(n.Revision(), KeepAll) {
				apply(n, *u)
			}
			require.Equal(t, store.InForce(), n.InForce())
			require.Equal(t, store.records, n.records)
		}
	})
}

// TestLatePageIsNotInForce: a page leaves out a record that changed again after it.
// An older update with a lower horizon that arrives next must not raise the
// revision in force to that of the page.
func TestLatePageIsNotInForce(t *testing.T) {
	n := NewState()
	apply := func(u Update) {
		_, err := n.Apply(u)
		require.NoError(t, err)
	}
	apply(Update{From: 0, To: 4, Horizon: 5, Records: []Record{record(1, 2), record(2, 3), record(3, 4)}}) // h0 changed at 1 and 5
	apply(Update{From: 3, To: 4, Horizon: 4, Records: []Record{record(3, 4)}})
	require.Zero(t, n.InForce())
	apply(Update{From: 4, To: 5, Horizon: 5, Records: []Record{record(0, 5)}})
	require.Equal(t, Revision(5), n.InForce())
}

func TestSelectorMatchesEveryPair(t *testing.T) {
	require.False(t, Labels{}.Matches(Labels{"a": "1"}), "an empty selector matches nothing")
	require.True(t, Labels{"a": "1"}.Matches(Labels{"a": "1", "b": "2"}))
	require.False(t, Labels{"a": "1", "c": ""}.Matches(Labels{"a": "1"}))
}

func TestEffectiveTargetMergesLabels(t *testing.T) {
	s := NewState()
	_, err := s.Apply(Update{To: 3, Records: []Record{
		{Key: TargetKey("h", ""), Revision: 1, Target: &Target{Host: "h", Labels: Labels{"x": "host", "y": "host"}, Drain: true}},
		{Key: TargetKey("h", "t"), Revision: 2, Target: &Target{Host: "h", Name: "t", Labels: Labels{"y": "target"}}},
	}})
	require.NoError(t, err)
	got := s.Target("h", "t", Labels{"x": "own", "z": "own"})
	require.Equal(t, EffectiveTarget{Labels: Labels{"x": "host", "y": "target", "z": "own"}, Drain: true}, got)
}

func TestRecordsAreValidated(t *testing.T) {
	for name, c := range map[string]struct{ key, value string }{
		"json":     {ServiceKey("a"), `{`},
		"neither":  {ServiceKey("a"), `{}`},
		"key":      {ServiceKey("b"), `{"service":{"name":"a","address":"127.0.0.1:1","selector":{"x":"y"}}}`},
		"selector": {ServiceKey("a"), `{"service":{"name":"a","address":"127.0.0.1:1","selector":{}}}`},
		"address":  {ServiceKey("a"), `{"service":{"name":"a","address":"nowhere","selector":{"x":"y"}}}`},
		"weight":   {ServiceKey("a"), `{"service":{"name":"a","address":"127.0.0.1:1","selector":{"x":"y"},"members":{"m":0}}}`},
	} {
		_, err := ParseRecord(c.key, 1, []byte(c.value))
		require.Error(t, err, name)
	}
}

func TestCatalogIsBounded(t *testing.T) {
	s := NewState()
	for i := range MaxRecords {
		s.records[fmt.Sprint(i)] = Record{}
	}
	_, err := s.Apply(Update{To: 1, Records: []Record{record(1, 1)}})
	require.ErrorIs(t, err, ErrFull)
	require.Zero(t, s.Revision())
}

func TestSupersededChangesAreCompacted(t *testing.T) {
	s := NewState()
	for i := range 5 * MaxPage {
		rev := Revision(i + 1)
		_, err := s.Apply(Update{From: rev - 1, To: rev, Records: []Record{record(0, rev)}})
		require.NoError(t, err)
	}
	require.LessOrEqual(t, len(s.changeLog), MaxPage+3)
}

// TestPagesAreBoundedInBytes checks that no page of valid records is much larger
// than MaxPageBytes, unless a single change is.
func TestPagesAreBoundedInBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := NewState()
		changes := rapid.IntRange(1, 40).Draw(t, "changes")
		largest := 0
		for rev := Revision(1); rev <= Revision(changes); rev++ {
			var records []Record
			changeBytes := 0
			for i := range rapid.IntRange(1, 3).Draw(t, "records") {
				labels := Labels{}
				for l := range rapid.IntRange(0, MaxLabels).Draw(t, "labels") {
					labels[fmt.Sprintf("label-%057d", l)] = strings.Repeat("v", rapid.IntRange(0, 63).Draw(t, "value"))
				}
				host := fmt.Sprintf("h%d-%d", rev, i)
				r := Record{Key: TargetKey(host, ""), Revision: rev, Target: &Target{Host: host, Labels: labels}}
				raw, err := json.Marshal(r)
				require.NoError(t, err)
				require.InDelta(t, len(raw), r.jsonSize(), recordOverhead+0.1*float64(len(raw)))
				records, changeBytes = append(records, r), changeBytes+len(raw)
			}
			largest = max(largest, changeBytes)
			_, err := state.Apply(Update{From: rev - 1, To: rev, Horizon: rev, Records: records})
			require.NoError(t, err)
		}
		for from := Revision(0); from < state.Revision(); {
			u := state.Since(from, KeepAll)
			raw, err := json.Marshal(u)
			require.NoError(t, err)
			require.LessOrEqual(t, len(raw), MaxPageBytes+largest+recordOverhead)
			require.Greater(t, u.To, from)
			from = u.To
		}
	})
}
