// Package feed pulls configuration from the platform.
//
// A few feeders in each zone, selected by rendezvous hashing among the live
// balancers, read changes from the platform. All other nodes get them from
// peers, so that the calls to the platform grow with the number of zones, not
// with the fleet. A balancer that wrongly takes itself for a feeder does no
// harm: it only reads the configuration, and revisions only increase.
package feed

import (
	"context"
	"strings"

	"github.com/poppywall/poppywall/catalog"
	"github.com/poppywall/poppywall/directory"
	"github.com/poppywall/poppywall/store"
)

// Keys of the project's data in the platform's store.
const (
	Root = "poppywall/v1/"
	// CatalogPrefix starts the keys of the configuration records.
	CatalogPrefix = Root + "catalog/"
	// SeedPrefix starts the keys that hold control addresses of balancers.
	SeedPrefix = Root + "seeds/"
	// ChangePrefix starts the keys of the markers of changes.
	ChangePrefix = Root + "changes/"
	// ClaimPrefix starts the keys that hold, for each front address, the name of
	// the service that reserved it.
	ClaimPrefix = Root + "claims/"
	// CounterKey holds the service ID that was assigned last.
	CounterKey = Root + "next-service-id"
)

// PerZone is the number of feeders in each zone.
const PerZone = 2

// IsFeeder reports whether self is a feeder of its zone among live balancers.
func IsFeeder(self *directory.Entry, balancers []directory.Entry) bool {
	for _, e := range Feeders(self.Zone, balancers) {
		if e.Data == self.Data {
			return true
		}
	}
	return false
}

// Feeders returns the feeders of a zone among live balancers.
func Feeders(zone string, balancers []directory.Entry) []directory.Entry {
	var sameZone []directory.Entry
	for _, e := range balancers {
		if e.Zone == zone {
			sameZone = append(sameZone, e)
		}
	}
	return directory.Rank("feeder/"+zone, sameZone, PerZone)
}

// Result is the result of one pull.
type Result struct {
	Update catalog.Update
	// Malformed counts records that were skipped: one invalid record must not
	// block the others.
	Malformed int
}

// Pull reads every change after the given revision. Deletions are records too
// (tombstones), so one range read with MinModRevision returns all changes, and
// a stale replica of the store at worst returns nothing new.
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

// add parses a pair into a record and raises the revision of the update.
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
