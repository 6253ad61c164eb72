package change

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"

	"github.com/poppywall/poppywall/catalog"
	"github.com/poppywall/poppywall/feed"
	"github.com/poppywall/poppywall/store"
)

// Entry is an accepted or fenced change in the history.
type Entry struct {
	Marker
	Revision catalog.Revision `json:"revision"`
}

// History returns the changes of the last day, oldest first; markers expire after
// that (markerTTL).
func History(ctx context.Context, kv store.Store) ([]Entry, error) {
	var out []Entry
	req := store.RangeRequest{Key: feed.ChangePrefix, End: store.PrefixEnd(feed.ChangePrefix)}
	_, err := store.ReadAll(ctx, kv, req, func(pair store.KV) error {
		e := Entry{Revision: catalog.Revision(pair.ModRevision)}
		if err := json.Unmarshal(pair.Value, &e.Marker); err != nil {
			return err
		}
		out = append(out, e)
		return nil
	})
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Compare(a.Revision, b.Revision) })
	return out, err
}

// Current returns the stored configuration.
func Current(ctx context.Context, kv store.Store) (*catalog.State, error) {
	res, err := feed.Pull(ctx, kv, 0)
	if err != nil {
		return nil, err
	}
	state := catalog.NewState()
	_, err = state.Apply(res.Update)
	return state, err
}

// EditTarget returns a build function for Applier.Edit that changes one target's
// record. If there is none, edit gets an empty one.
func EditTarget(kv store.Store, host, name string, edit func(*catalog.Target)) func(context.Context) (Document, error) {
	return func(ctx context.Context) (Document, error) {
		key := catalog.TargetKey(host, name)
		resp, err := kv.Range(ctx, store.RangeRequest{Key: feed.CatalogPrefix + key})
		if err != nil {
			return Document{}, err
		}
		t := catalog.Target{Host: host, Name: name}
		rev := catalog.Revision(0)
		if len(resp.KVs) > 0 {
			rev = catalog.Revision(resp.KVs[0].ModRevision)
			rec, err := catalog.ParseRecord(key, rev, resp.KVs[0].Value)
			if err != nil {
				return Document{}, err
			}
			if rec.Target != nil && !rec.Deleted {
				t = *rec.Target
			}
		}
		edit(&t)
		return Document{Items: []Item{{Target: &t, Revision: &rev}}}, nil
	}
}
