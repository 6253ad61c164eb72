package change

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/poppywall/poppywall/catalog"
	"github.com/poppywall/poppywall/feed"
	"github.com/poppywall/poppywall/standin"
	"github.com/poppywall/poppywall/store"
)

var t0 = time.Unix(1_700_000_000, 0)

// racing lets other operators act just before a call reaches the store.
type racing struct {
	*standin.Store
	before func()
}

func (r *racing) Txn(ctx context.Context, txn store.Txn) (store.TxnResponse, error) {
	if f := r.before; f != nil {
		r.before = nil
		f()
	}
	return r.Store.Txn(ctx, txn)
}

// world is a store, operators and the oracle: what was said of each change.
type world struct {
	store    *standin.Store
	now      time.Time
	ids      int
	outcomes map[string]Result
	keys     map[string][]string
	// onSleep happens while an applier waits.
	onSleep func()
}

func newWorld() *world {
	w := &world{now: t0, outcomes: map[string]Result{}, keys: map[string][]string{}}
	w.store = standin.NewStore(func() time.Time { return w.now })
	return w
}

func (w *world) applier(s store.Store) *Applier {
	tries := 0
	return NewApplier(s, Options{
		Author: "tester",
		Now:    func() time.Time { return w.now },
		NewID:  func() string { w.ids++; return fmt.Sprint("change-", w.ids) },
		Sleep: func(context.Context, time.Duration) bool {
			if w.onSleep != nil {
				w.onSleep()
			}
			tries++
			return tries < 20
		},
	})
}

func (w *world) apply(s store.Store, doc Document) Result {
	res := w.applier(s).Apply(context.Background(), doc)
	w.outcomes[res.ID] = res
	return res
}

// stored returns which change wrote each record last.
func (w *world) stored(t require.TestingT) map[string]catalog.Record {
	w.store.SetFaults(standin.Faults{})
	state, err := Current(context.Background(), w.store)
	require.NoError(t, err)
	out := map[string]catalog.Record{}
	for _, r := range state.Records(catalog.Everything) {
		out[r.Key] = r
	}
	return out
}

func targetItem(host int, drain bool) Item {
	return Item{Target: &catalog.Target{Host: fmt.Sprint("h", host), Drain: drain}}
}

func serviceItem(name, address string) Item {
	return Item{Service: &catalog.Service{Name: name, Address: address, Selector: catalog.Labels{"s": name}}}
}

// TestOutcomesAreTrue races operators against a platform that loses answers,
// loses requests, goes down and serves stale reads. What was called accepted
// is stored and never reverts; what was called rejected never shows.
func TestOutcomesAreTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		accepted := map[string]Result{} // latest accepted change of each key
		seen := map[string]catalog.Revision{}
		note := func(key string, res Result) {
			if res.Outcome == Accepted && res.Revision > accepted[key].Revision {
				accepted[key] = res
			}
		}
		change := func(t *rapid.T, s store.Store, label string) {
			host := rapid.IntRange(0, 2).Draw(t, label)
			res := w.apply(s, Document{Items: []Item{targetItem(host, rapid.Bool().Draw(t, "drain"))}})
			note(catalog.TargetKey(fmt.Sprint("h", host), ""), res)
		}
		check := func() {
			faulty := w.store.Faults()
			for key, r := range w.stored(t) {
				require.GreaterOrEqual(t, r.Revision, seen[key], "%s reverted", key)
				seen[key] = r.Revision
				require.NotEqual(t, Rejected, w.outcomes[r.Change].Outcome, "a rejected change is stored")
			}
			for key, res := range accepted {
				require.GreaterOrEqual(t, seen[key], res.Revision, "an accepted change is missing")
			}
			w.store.SetFaults(faulty)
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) { check() },
			"faults": func(t *rapid.T) {
				w.store.SetFaults(standin.Faults{
					Down:         rapid.Bool().Draw(t, "down"),
					LoseAnswers:  rapid.IntRange(0, 3).Draw(t, "answers"),
					LoseRequests: rapid.IntRange(0, 2).Draw(t, "requests"),
					StaleBy:      int64(rapid.IntRange(0, 3).Draw(t, "stale")),
				})
			},
			"heal":  func(*rapid.T) { w.store.SetFaults(standin.Faults{}) },
			"lapse": func(*rapid.T) { w.store.LapseLeases() },
			"change": func(t *rapid.T) {
				change(t, w.store, "host")
			},
			"race": func(t *rapid.T) {
				r := &racing{Store: w.store}
				r.before = func() { change(t, w.store, "other") }
				change(t, r, "host")
			},
		})
	})
}

func TestLostAnswerIsResolved(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults standin.Faults
		want   Outcome
	}{
		{"answer lost after the write", standin.Faults{LoseAnswers: 1}, Accepted},
		{"request lost", standin.Faults{LoseRequests: 1}, Rejected},
		{"down before", standin.Faults{Down: true}, Rejected},
	} {
		w := newWorld()
		w.store.SetFaults(c.faults)
		require.Equal(t, c.want, w.apply(w.store, Document{Items: []Item{targetItem(1, true)}}).Outcome, c.name)
	}
	w := newWorld()
	w.store.SetFaults(standin.Faults{LoseAnswers: 1})
	r := &racing{Store: w.store}
	w.onSleep = func() {}
	down := &downAfterTxn{r}
	require.Equal(t, Unknown, w.apply(down, Document{Items: []Item{targetItem(1, true)}}).Outcome, "never guessed")
}

// downAfterTxn is a platform that goes down as it loses the answer.
type downAfterTxn struct{ *racing }

func (d *downAfterTxn) Txn(ctx context.Context, txn store.Txn) (store.TxnResponse, error) {
	resp, err := d.racing.Txn(ctx, txn)
	d.SetFaults(standin.Faults{Down: true})
	return resp, err
}

func TestServiceIDsAndAddressesAreNeverShared(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		names, addresses := []string{"a", "b", "c"}, []string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"}
		t.Repeat(map[string]func(*rapid.T){
			"set": func(t *rapid.T) {
				w.store.SetFaults(standin.Faults{LoseAnswers: rapid.IntRange(0, 1).Draw(t, "lose")})
				w.apply(w.store, Document{Items: []Item{serviceItem(
					rapid.SampledFrom(names).Draw(t, "name"), rapid.SampledFrom(addresses).Draw(t, "address"))}})
			},
			"delete": func(t *rapid.T) {
				it := serviceItem(rapid.SampledFrom(names).Draw(t, "name"), addresses[0])
				it.Delete = true
				w.apply(w.store, Document{Items: []Item{it}})
			},
			"": func(t *rapid.T) {
				ids, taken := map[string]string{}, map[string]string{}
				for key, r := range w.stored(t) {
					id := fmt.Sprint(r.Service.ID)
					require.NotZero(t, r.Service.ID)
					require.Empty(t, ids[id], "ID %s is shared", id)
					require.Empty(t, taken[r.Service.Address], "address is shared")
					ids[id], taken[r.Service.Address] = key, key
				}
			},
		})
	})
}

func TestRecreatedServiceGetsANewID(t *testing.T) {
	w := newWorld()
	item := serviceItem("a", "127.0.0.1:1")
	require.Equal(t, Accepted, w.apply(w.store, Document{Items: []Item{item}}).Outcome)
	first := w.stored(t)[catalog.ServiceKey("a")].Service.ID
	del := item
	del.Delete = true
	require.Equal(t, Accepted, w.apply(w.store, Document{Items: []Item{del}}).Outcome)
	require.Equal(t, Accepted, w.apply(w.store, Document{Items: []Item{item}}).Outcome)
	require.NotEqual(t, first, w.stored(t)[catalog.ServiceKey("a")].Service.ID)
}

func TestConflictingPictureIsRejected(t *testing.T) {
	w := newWorld()
	res := w.apply(w.store, Document{Items: []Item{targetItem(1, true)}})
	stale := targetItem(1, false)
	before := catalog.Revision(0)
	stale.Revision = &before
	require.Equal(t, Rejected, w.apply(w.store, Document{Items: []Item{stale}}).Outcome)
	stale.Revision = &res.Revision
	require.Equal(t, Accepted, w.apply(w.store, Document{Items: []Item{stale}}).Outcome)
}

func TestEditKeepsBothOperatorsLabels(t *testing.T) {
	w := newWorld()
	set := func(s store.Store, key string) Result {
		return w.applier(s).Edit(context.Background(), EditTarget(s, "h", "t", func(target *catalog.Target) {
			labels := catalog.Labels{key: "1"}
			for k, v := range target.Labels {
				labels[k] = v
			}
			target.Labels = labels
		}))
	}
	r := &racing{Store: w.store}
	r.before = func() { require.Equal(t, Accepted, set(w.store, "y").Outcome) }
	res := set(r, "x")
	require.Equal(t, Accepted, res.Outcome, res.Reason)
	require.Equal(t, catalog.Labels{"x": "1", "y": "1"}, w.stored(t)[catalog.TargetKey("h", "t")].Target.Labels)
	history, err := History(context.Background(), w.store)
	require.NoError(t, err)
	require.Len(t, history, 2)
}

func TestDocumentsAreValidated(t *testing.T) {
	bad := serviceItem("a", "nowhere")
	for name, doc := range map[string]Document{
		"empty":  {},
		"both":   {Items: []Item{{Service: bad.Service, Target: &catalog.Target{Host: "h"}}}},
		"double": {Items: []Item{targetItem(1, true), targetItem(1, false)}},
		"field":  {Items: []Item{bad}},
		"many":   {Items: make([]Item, MaxRecords+1)},
	} {
		require.Error(t, doc.Validate(), name)
	}
}

// TestOneBadRecordDoesNotHoldUpTheOthers feeds a record that no tool wrote.
func TestOneBadRecordDoesNotHoldUpTheOthers(t *testing.T) {
	w := newWorld()
	_, err := w.store.Txn(context.Background(), store.Txn{Puts: []store.Put{
		{Key: feed.CatalogPrefix + "services/x", Value: []byte("{")},
	}})
	require.NoError(t, err)
	w.apply(w.store, Document{Items: []Item{targetItem(1, true)}})
	res, err := feed.Pull(context.Background(), w.store, 0)
	require.NoError(t, err)
	require.Equal(t, 1, res.Malformed)
	require.Len(t, res.Update.Records, 1)
}

// TestAChangeThatNoMessageHoldsIsRefused: it would be accepted and never in force.
func TestAChangeThatNoMessageHoldsIsRefused(t *testing.T) {
	service := func(authorities int) Document {
		s := &catalog.Service{Name: "large", Address: "10.0.0.1:443", Selector: catalog.Labels{"app": "a"}}
		for n := range authorities {
			s.Authorities = append(s.Authorities, fmt.Sprintf("%0255d.example", n))
		}
		return Document{Items: []Item{{Service: s}}}
	}
	fits, tooLarge := service(3900), service(4096)
	require.NoError(t, fits.Validate())
	require.ErrorContains(t, tooLarge.Validate(), "field \"items\": ")
}
