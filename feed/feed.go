// Package feed brings configuration from the platform to the nodes.
//
// A few feeders in each zone, picked by rendezvous hashing among the live
// balancers, read changes from the platform; everybody else gets them from
// peers, so calls at the platform grow with the zones, not with the fleet. A
// balancer that wrongly believes to be a feeder does no harm: it reads, and
// revisions only rise.
package feed

import (
	"context"
	"strings"

	"github.com/poppywall/poppywall/catalog"
	"github.com/poppywall/poppywall/directory"
	"github.com/poppywall/poppywall/store"
)

// Keys of the project at the platform.
const (
	Root          = "poppywall/v1/"
	CatalogPrefix = Root + "catalog/"
	SeedPrefix    = Root + "seeds/"
	ChangePrefix  = Root + "changes/"
	ClaimPrefix   = Root + "claims/"
	CounterKey    = Root + "next-service-id"
)

// PerZone is the number of feeders in each zone.
const PerZone = 2

// IsFeeder tells whether self is a feeder of its zone among live balancers.
func IsFeeder(self *directory.Entry, balancers []directory.Entry) bool {
	for _, e := range Feeders(self.Zone, balancers) {
		if e.Data == self.Data {
			return true
		}
	}
	return false
}

// Feeders returns the feeders of a zone.
func Feeders(zone string, balancers []directory.Entry) []directory.Entry {
	var near []directory.Entry
	for _, e := range balancers {
		if e.Zone == zone {
			near = append(near, e)
		}
	}
	return directory.Rank("feeder/"+zone, near, PerZone)
}

// Result is one pull.
type Result struct {
	Update catalog.Update
	// Malformed counts records that were passed over: one bad record must not
	// hold up the others.
	Malformed int
}

// Pull reads every change after the given revision. Deletions are records too
// (tombstones), so one range with a least revision sees everything, and a
// stale copy of the store at worst shows nothing new.
func Pull(ctx context.Context, kv store.Store, from catalog.Revision) (Result, error) {
	res := Result{Update: catalog.Update{From: from, To: from}}
	req := store.RangeRequest{
		Key:            CatalogPrefix,
		End:            store.PrefixEnd(CatalogPrefix),
		MinModRevision: int64(from) + 1,
	}
	_, err := store.ReadAll(ctx, kv, req, func(pair store.KV) error {
		res.add(pair)
		return nil
	})
	res.Update.Horizon = res.Update.To
	return res, err
}

func (r *Result) add(kv store.KV) {
	rev := catalog.Revision(kv.ModRevision)
	r.Update.To = max(r.Update.To, rev)
	rec, err := catalog.ParseRecord(strings.TrimPrefix(kv.Key, CatalogPrefix), rev, kv.Value)
	if err != nil {
		r.Malformed++
		return
	}
	r.Update.Records = append(r.Update.Records, rec)
}
