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

// racingStore calls before once, just before the next transaction reaches the store,
// to simulate a concurrent change by another operator.
type racingStore struct {
	*standin.Store
	before func()
}

func (r *racingStore) Txn(ctx context.Context, txn store.Txn) (store.TxnResponse, error) {
	if f := r.before; f != nil {
		r.before = nil
		f()
	}
	return r.Store.Txn(ctx, txn)
}

// testEnv is a store with appliers, and the outcome reported for each change.
type testEnv struct {
	store    *standin.Store
	now      time.Time
	lastID   int
	outcomes map[string]Result
	keys     map[string][]string
	// onSleep is called while an applier waits between attempts.
	onSleep func()
}

func newTestEnv() *testEnv {
	env := &testEnv{now: t0, outcomes: map[string]Result{}, keys: map[string][]string{}}
	env.store = standin.NewStore(func() time.Time { return env.now })
	return env
}

func (env *testEnv) applier(s store.Store) *Applier {
	tries := 0
	return NewApplier(s, Options{
		Author: "tester",
		Now:    func() time.Time { return env.now },
		NewID:  func() string { env.lastID++; return fmt.Sprint("change-", env.lastID) },
		Sleep: func(context.Context, time.Duration) bool {
			if env.onSleep != nil {
				env.onSleep()
			}
			tries++
			return tries < 20
		},
	})
}

func (env *testEnv) apply(s store.Store, doc Document) Result {
	res := env.applier(s).Apply(context.Background(), doc)
	env.outcomes[res.ID] = res
	return res
}

// stored clears the faults of the store and returns its records by key.
func (env *testEnv) stored(t require.TestingT) map[string]catalog.Record {
	env.store.SetFaults(standin.Faults{})
	state, err := Current(context.Background(), env.store)
	require.NoError(t, err)
	out := map[string]catalog.Record{}
	for _, r := range state.Records(catalog.KeepAll) {
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

// TestOutcomesMatchStore applies concurrent changes to a platform that loses
// responses, loses requests, goes down and serves stale reads. A change reported as
// accepted must be stored and never revert; one reported as rejected must never be
// stored.
func TestOutcomesMatchStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		env := newTestEnv()
		accepted := map[string]Result{} // latest accepted change of each key
		seen := map[string]catalog.Revision{}
		recordAccepted := func(key string, res Result) {
			if res.Outcome == Accepted && res.Revision > accepted[key].Revision {
				accepted[key] = res
			}
		}
		change := func(t *rapid.T, s store.Store, label string) {
			host := rapid.IntRange(0, 2).Draw(t, label)
			res := env.apply(s, Document{Items: []Item{targetItem(host, rapid.Bool().Draw(t, "drain"))}})
			recordAccepted(catalog.TargetKey(fmt.Sprint("h", host), ""), res)
		}
		check := func() {
			faults := env.store.Faults()
			for key, r := range env.stored(t) {
				require.GreaterOrEqual(t, r.Revision, seen[key], "%s reverted", key)
				seen[key] = r.Revision
				require.NotEqual(t, Rejected, env.outcomes[r.Change].Outcome, "a rejected change is stored")
			}
			for key, res := range accepted {
				require.GreaterOrEqual(t, seen[key], res.Revision, "an accepted change is missing")
			}
			env.store.SetFaults(faults)
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) { check() },
			"faults": func(t *rapid.T) {
				env.store.SetFaults(standin.Faults{
					Down:          rapid.Bool().Draw(t, "down"),
					LoseResponses: rapid.IntRange(0, 3).Draw(t, "answers"),
					LoseRequests:  rapid.IntRange(0, 2).Draw(t, "requests"),
					StaleBy:       int64(rapid.IntRange(0, 3).Draw(t, "stale")),
				})
			},
			"heal":  func(*rapid.T) { env.store.SetFaults(standin.Faults{}) },
			"lapse": func(*rapid.T) { env.store.LapseLeases() },
			"change": func(t *rapid.T) {
				change(t, env.store, "host")
			},
			"race": func(t *rapid.T) {
				r := &racingStore{Store: env.store}
				r.before = func() { change(t, env.store, "other") }
				change(t, r, "host")
			},
		})
	})
}

func TestLostResponseIsResolved(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults standin.Faults
		want   Outcome
	}{
		{"answer lost after the write", standin.Faults{LoseResponses: 1}, Accepted},
		{"request lost", standin.Faults{LoseRequests: 1}, Rejected},
		{"down before", standin.Faults{Down: true}, Rejected},
	} {
		env := newTestEnv()
		env.store.SetFaults(c.faults)
		require.Equal(t, c.want, env.apply(env.store, Document{Items: []Item{targetItem(1, true)}}).Outcome, c.name)
	}
	env := newTestEnv()
	env.store.SetFaults(standin.Faults{LoseResponses: 1})
	r := &racingStore{Store: env.store}
	env.onSleep = func() {}
	down := &outageAfterTxn{r}
	require.Equal(t, Unknown, env.apply(down, Document{Items: []Item{targetItem(1, true)}}).Outcome, "the outcome cannot be known")
}

// outageAfterTxn is a platform that goes down when it loses the response.
type outageAfterTxn struct{ *racingStore }

func (o *outageAfterTxn) Txn(ctx context.Context, txn store.Txn) (store.TxnResponse, error) {
	resp, err := o.racingStore.Txn(ctx, txn)
	o.SetFaults(standin.Faults{Down: true})
	return resp, err
}

func TestServiceIDsAndAddressesAreNeverShared(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		env := newTestEnv()
		names, addresses := []string{"a", "b", "c"}, []string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"}
		t.Repeat(map[string]func(*rapid.T){
			"set": func(t *rapid.T) {
				env.store.SetFaults(standin.Faults{LoseResponses: rapid.IntRange(0, 1).Draw(t, "lose")})
				env.apply(env.store, Document{Items: []Item{serviceItem(
					rapid.SampledFrom(names).Draw(t, "name"), rapid.SampledFrom(addresses).Draw(t, "address"))}})
			},
			"delete": func(t *rapid.T) {
				it := serviceItem(rapid.SampledFrom(names).Draw(t, "name"), addresses[0])
				it.Delete = true
				env.apply(env.store, Document{Items: []Item{it}})
			},
			"": func(t *rapid.T) {
				ids, taken := map[string]string{}, map[string]string{}
				for key, r := range env.stored(t) {
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
	env := newTestEnv()
	item := serviceItem("a", "127.0.0.1:1")
	require.Equal(t, Accepted, env.apply(env.store, Document{Items: []Item{item}}).Outcome)
	first := env.stored(t)[catalog.ServiceKey("a")].Service.ID
	del := item
	del.Delete = true
	require.Equal(t, Accepted, env.apply(env.store, Document{Items: []Item{del}}).Outcome)
	require.Equal(t, Accepted, env.apply(env.store, Document{Items: []Item{item}}).Outcome)
	require.NotEqual(t, first, env.stored(t)[catalog.ServiceKey("a")].Service.ID)
}

func TestStaleItemRevisionIsRejected(t *testing.T) {
	env := newTestEnv()
	res := env.apply(env.store, Document{Items: []Item{targetItem(1, true)}})
	stale := targetItem(1, false)
	outdated := catalog.Revision(0)
	stale.Revision = &outdated
	require.Equal(t, Rejected, env.apply(env.store, Document{Items: []Item{stale}}).Outcome)
	stale.Revision = &res.Revision
	require.Equal(t, Accepted, env.apply(env.store, Document{Items: []Item{stale}}).Outcome)
}

func TestEditKeepsBothOperatorsLabels(t *testing.T) {
	env := newTestEnv()
	set := func(s store.Store, key string) Result {
		return env.applier(s).Edit(context.Background(), EditTarget(s, "h", "t", func(target *catalog.Target) {
			labels := catalog.Labels{key: "1"}
			for k, v := range target.Labels {
				labels[k] = v
			}
			target.Labels = labels
		}))
	}
	r := &racingStore{Store: env.store}
	r.before = func() { require.Equal(t, Accepted, set(env.store, "y").Outcome) }
	res := set(r, "x")
	require.Equal(t, Accepted, res.Outcome, res.Reason)
	require.Equal(t, catalog.Labels{"x": "1", "y": "1"}, env.stored(t)[catalog.TargetKey("h", "t")].Target.Labels)
	history, err := History(context.Background(), env.store)
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

// TestMalformedRecordIsSkipped reads a store with a record that is not valid JSON. The
// other records must still be read.
func TestMalformedRecordIsSkipped(t *testing.T) {
	env := newTestEnv()
	_, err := env.store.Txn(context.Background(), store.Txn{Puts: []store.Put{
		{Key: feed.CatalogPrefix + "services/x", Value: []byte("{")},
	}})
	require.NoError(t, err)
	env.apply(env.store, Document{Items: []Item{targetItem(1, true)}})
	res, err := feed.Pull(context.Background(), env.store, 0)
	require.NoError(t, err)
	require.Equal(t, 1, res.Malformed)
	require.Len(t, res.Update.Records, 1)
}

// TestOversizedChangeIsRejected: a change that is too large for one message between
// nodes would be accepted but never come into force.
func TestOversizedChangeIsRejected(t *testing.T) {
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
