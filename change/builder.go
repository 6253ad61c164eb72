package change

import (
	"context"
	"encoding/json"
	"strconv"

	"github.com/poppywall/poppywall/catalog"
	"github.com/poppywall/poppywall/feed"
	"github.com/poppywall/poppywall/route"
	"github.com/poppywall/poppywall/store"
)

// transaction reads what the change depends on and builds the swap.
func (a *Applier) transaction(ctx context.Context, id string, doc Document) (store.Txn, error) {
	b := &builder{ctx: ctx, store: a.store, id: id}
	marker := Marker{ID: id, Author: a.opts.Author, At: a.opts.Now()}
	for i := range doc.Items {
		key, err := b.item(&doc.Items[i])
		if err != nil {
			return store.Txn{}, err
		}
		marker.Keys = append(marker.Keys, key)
	}
	if err := b.finish(); err != nil {
		return store.Txn{}, err
	}
	value, err := json.Marshal(marker)
	if err != nil {
		return store.Txn{}, err
	}
	lease, err := a.store.Grant(ctx, markerTTL)
	if err != nil {
		return store.Txn{}, err
	}
	key := feed.ChangePrefix + id
	b.txn.Compares = append(b.txn.Compares, store.Compare{Key: key, Field: store.CreateRevision})
	b.txn.Puts = append(b.txn.Puts, store.Put{Key: key, Value: value, Lease: lease})
	return b.txn, nil
}

// builder collects the compares and puts of one transaction.
type builder struct {
	ctx   context.Context
	store store.Store
	id    string
	txn   store.Txn
	// counter is the service ID counter once it was read; next is its value.
	counter *store.KV
	next    int
}

func (b *builder) read(key string) (store.KV, bool, error) {
	resp, err := b.store.Range(b.ctx, store.RangeRequest{Key: key})
	if err != nil || len(resp.KVs) == 0 {
		return store.KV{}, false, err
	}
	return resp.KVs[0], true, nil
}

func (b *builder) swap(key string, modRevision int64, value []byte) {
	b.txn.Compares = append(b.txn.Compares, store.Compare{Key: key, Field: store.ModRevision, Equal: modRevision})
	b.txn.Puts = append(b.txn.Puts, store.Put{Key: key, Value: value})
}

func (b *builder) item(it *Item) (string, error) {
	key, err := it.Key()
	if err != nil {
		return "", err
	}
	stored := feed.CatalogPrefix + key
	kv, found, err := b.read(stored)
	if err != nil {
		return "", err
	}
	if it.Revision != nil && catalog.Revision(kv.ModRevision) != *it.Revision {
		return "", &conflict{key + " is at revision " + strconv.FormatInt(kv.ModRevision, 10)}
	}
	var old catalog.Record
	if found {
		if old, err = catalog.ParseRecord(key, catalog.Revision(kv.ModRevision), kv.Value); err != nil {
			return "", err
		}
	}
	rec := catalog.Record{Key: key, Change: b.id, Deleted: it.Delete, Service: it.Service, Target: it.Target}
	if err := b.complete(&rec, &old); err != nil {
		return "", err
	}
	value, err := json.Marshal(rec)
	if err != nil {
		return "", err
	}
	b.swap(stored, kv.ModRevision, value)
	return key, nil
}

// complete fills in what the tool decides: a service's ID and its claim of the
// address. A tombstone keeps the ID, so that a service made again under the
// same name never takes flows of the former one: it gets a new ID.
func (b *builder) complete(rec, old *catalog.Record) error {
	if !rec.IsService() {
		return nil
	}
	if rec.Deleted {
		rec.Service = nil
		if old.Service != nil {
			return b.release(old.Service)
		}
		return nil
	}
	svc := *rec.Service
	rec.Service = &svc
	if old.Service != nil && !old.Deleted {
		svc.ID = old.Service.ID
	} else if err := b.assignID(&svc); err != nil {
		return err
	}
	if old.Service != nil && !old.Deleted && old.Service.Address != svc.Address {
		if err := b.release(old.Service); err != nil {
			return err
		}
	}
	return b.claim(&svc)
}

// assignID takes the next service ID; IDs are never reused.
func (b *builder) assignID(s *catalog.Service) error {
	if b.counter == nil {
		kv, _, err := b.read(feed.CounterKey)
		if err != nil {
			return err
		}
		b.counter = &kv
		b.next, _ = strconv.Atoi(string(kv.Value))
	}
	b.next++
	if b.next > maxServices {
		return &conflict{"all service IDs are used up"}
	}
	s.ID = route.ServiceID(b.next)
	return nil
}

func claimKey(address string) string { return feed.ClaimPrefix + address }

// claim makes the address the service's own.
func (b *builder) claim(s *catalog.Service) error {
	kv, _, err := b.read(claimKey(s.Address))
	if err != nil {
		return err
	}
	if owner := string(kv.Value); owner != "" && owner != s.Name {
		return &conflict{"field \"address\": " + s.Address + " belongs to service " + owner}
	}
	b.swap(claimKey(s.Address), kv.ModRevision, []byte(s.Name))
	return nil
}

func (b *builder) release(s *catalog.Service) error {
	kv, found, err := b.read(claimKey(s.Address))
	if err != nil || !found || string(kv.Value) != s.Name {
		return err
	}
	b.swap(claimKey(s.Address), kv.ModRevision, nil)
	return nil
}

func (b *builder) finish() error {
	if b.counter != nil {
		b.swap(feed.CounterKey, b.counter.ModRevision, []byte(strconv.Itoa(b.next)))
	}
	return b.noDoubles()
}

// noDoubles refuses a change that writes one key twice, as when two services of
// one change trade addresses: the platform would refuse the transaction.
func (b *builder) noDoubles() error {
	seen := map[string]bool{}
	for _, p := range b.txn.Puts {
		if seen[p.Key] {
			return &conflict{"the change uses " + p.Key + " twice; make it in two changes"}
		}
		seen[p.Key] = true
	}
	return nil
}
