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

// transaction reads the records that the change depends on and builds its
// transaction.
func (a *Applier) transaction(ctx context.Context, id string, doc Document) (store.Txn, error) {
	b := &builder{ctx: ctx, store: a.store, id: id}
	marker := Marker{ID: id, Author: a.opts.Author, At: a.opts.Now()}
	for i := range doc.Items {
		key, err := b.addItem(&doc.Items[i])
		if err != nil {
			return store.Txn{}, err
		}
		marker.Keys = append(marker.Keys, key)
	}
	if err := b.finishTxn(); err != nil {
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

// builder builds the compares and puts of one transaction.
type builder struct {
	ctx   context.Context
	store store.Store
	id    string
	txn   store.Txn
	// counterKV is the stored service ID counter, nil until it is read.
	// lastServiceID is its value, counting IDs assigned in this transaction.
	counterKV     *store.KV
	lastServiceID int
}

func (b *builder) read(key string) (store.KV, bool, error) {
	resp, err := b.store.Range(b.ctx, store.RangeRequest{Key: key})
	if err != nil || len(resp.KVs) == 0 {
		return store.KV{}, false, err
	}
	return resp.KVs[0], true, nil
}

// compareAndPut adds a write of key that requires its current modification revision.
func (b *builder) compareAndPut(key string, modRevision int64, value []byte) {
	b.txn.Compares = append(b.txn.Compares, store.Compare{Key: key, Field: store.ModRevision, Equal: modRevision})
	b.txn.Puts = append(b.txn.Puts, store.Put{Key: key, Value: value})
}

// addItem adds an item to the transaction and returns the key of its record.
func (b *builder) addItem(it *Item) (string, error) {
	key, err := it.Key()
	if err != nil {
		return "", err
	}
	storeKey := feed.CatalogPrefix + key
	kv, found, err := b.read(storeKey)
	if err != nil {
		return "", err
	}
	if it.Revision != nil && catalog.Revision(kv.ModRevision) != *it.Revision {
		return "", &conflictError{key + " is at revision " + strconv.FormatInt(kv.ModRevision, 10)}
	}
	var old catalog.Record
	if found {
		if old, err = catalog.ParseRecord(key, catalog.Revision(kv.ModRevision), kv.Value); err != nil {
			return "", err
		}
	}
	rec := catalog.Record{Key: key, Change: b.id, Deleted: it.Delete, Service: it.Service, Target: it.Target}
	if err := b.completeService(&rec, &old); err != nil {
		return "", err
	}
	value, err := json.Marshal(rec)
	if err != nil {
		return "", err
	}
	b.compareAndPut(storeKey, kv.ModRevision, value)
	return key, nil
}

// completeService sets what the operator does not provide for a service: its ID and
// the claim of its address. A service created again under the name of a deleted one
// gets a new ID, so that it never gets flows of the former service.
func (b *builder) completeService(rec, old *catalog.Record) error {
	if !rec.IsService() {
		return nil
	}
	if rec.Deleted {
		rec.Service = nil
		if old.Service != nil {
			return b.releaseAddress(old.Service)
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
		if err := b.releaseAddress(old.Service); err != nil {
			return err
		}
	}
	return b.claimAddress(&svc)
}

// assignID assigns the next service ID. IDs are never reused.
func (b *builder) assignID(s *catalog.Service) error {
	if b.counterKV == nil {
		kv, _, err := b.read(feed.CounterKey)
		if err != nil {
			return err
		}
		b.counterKV = &kv
		b.lastServiceID, _ = strconv.Atoi(string(kv.Value))
	}
	b.lastServiceID++
	if b.lastServiceID > maxServiceID {
		return &conflictError{"all service IDs are used up"}
	}
	s.ID = route.ServiceID(b.lastServiceID)
	return nil
}

func claimKey(address string) string { return feed.ClaimPrefix + address }

// claimAddress reserves the address for the service. It fails if the address belongs
// to another service.
func (b *builder) claimAddress(s *catalog.Service) error {
	kv, _, err := b.read(claimKey(s.Address))
	if err != nil {
		return err
	}
	if owner := string(kv.Value); owner != "" && owner != s.Name {
		return &conflictError{"field \"address\": " + s.Address + " belongs to service " + owner}
	}
	b.compareAndPut(claimKey(s.Address), kv.ModRevision, []byte(s.Name))
	return nil
}

// releaseAddress clears the claim of the service's address, if the service holds it.
func (b *builder) releaseAddress(s *catalog.Service) error {
	kv, found, err := b.read(claimKey(s.Address))
	if err != nil || !found || string(kv.Value) != s.Name {
		return err
	}
	b.compareAndPut(claimKey(s.Address), kv.ModRevision, nil)
	return nil
}

// finishTxn adds the update of the service ID counter and checks the transaction.
func (b *builder) finishTxn() error {
	if b.counterKV != nil {
		b.compareAndPut(feed.CounterKey, b.counterKV.ModRevision, []byte(strconv.Itoa(b.lastServiceID)))
	}
	return b.rejectDuplicateKeys()
}

// rejectDuplicateKeys rejects a change that writes a key twice, for example when two
// services swap addresses in one change: the platform would reject the transaction.
func (b *builder) rejectDuplicateKeys() error {
	seen := map[string]bool{}
	for _, p := range b.txn.Puts {
		if seen[p.Key] {
			return &conflictError{"the change uses " + p.Key + " twice; make it in two changes"}
		}
		seen[p.Key] = true
	}
	return nil
}
