package balancer

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/poppywall/poppywall/catalog"
	"github.com/poppywall/poppywall/control"
	"github.com/poppywall/poppywall/directory"
	"github.com/poppywall/poppywall/telemetry"
	"github.com/poppywall/poppywall/worker"
)

const (
	// repairInterval is the minimum time between two digest comparisons that
	// follow exchanges. Without it, every change that gossip is still spreading
	// would cause a comparison.
	repairInterval = 2 * time.Second
	// maxRepairBranches bounds the digest branches whose leaves are compared in
	// one repair.
	maxRepairBranches = 8
	// maxPushPages bounds the configuration pages pushed to a peer per exchange.
	maxPushPages = 4
	// maxJoinRepairs bounds the repairs a balancer runs while it joins.
	maxJoinRepairs = 200
)

// gossipLoop exchanges with a random balancer each period. The period is
// jittered so that balancers started together do not gossip in lockstep.
func (b *Balancer) gossipLoop(ctx context.Context) error {
	b.join(ctx)
	for ctx.Err() == nil {
		b.exchangeWithRandomPeer(ctx)
		worker.Sleep(ctx, worker.Jitter(b.cfg.GossipInterval.D()))
	}
	return nil
}

// join fetches the directory and configuration from the first configured seed
// that answers. If none answers, this balancer starts as the first one.
func (b *Balancer) join(ctx context.Context) {
	for _, seed := range b.cfg.Seeds {
		if b.joinThrough(ctx, seed) == nil {
			return
		}
	}
}

// joinThrough exchanges with the balancer at the address, then repairs the
// directory from it until nothing changes.
func (b *Balancer) joinThrough(ctx context.Context, address string) error {
	if err := b.exchange(ctx, address); err != nil {
		return err
	}
	for range maxJoinRepairs {
		changed, err := b.repair(ctx, address)
		if err != nil || changed == 0 {
			return err
		}
	}
	return nil
}

// exchangeWithRandomPeer exchanges with one random balancer and marks it suspect
// if that fails.
func (b *Balancer) exchangeWithRandomPeer(ctx context.Context) {
	b.view.mu.Lock()
	peer, ok := b.view.dir.RandomPeer(b.view.rnd)
	b.view.mu.Unlock()
	if !ok {
		return
	}
	if err := b.exchange(ctx, peer.Control.String()); err != nil {
		b.metrics.exchangeErrors.Inc()
		b.log.Debug("exchange failed", zap.String(telemetry.FieldPeer, peer.Name), zap.Error(err))
		b.suspect(peer)
	}
}

func (b *Balancer) suspect(peer directory.Entry) {
	b.view.mu.Lock()
	defer b.view.mu.Unlock()
	b.view.dir.SuspectPeer(time.Now(), peer.Key())
}

// exchangeRequest returns the next gossip message to send.
func (b *Balancer) exchangeRequest() control.ExchangeRequest {
	b.view.mu.Lock()
	defer b.view.mu.Unlock()
	return control.ExchangeRequest{
		GossipUpdates: b.view.dir.PendingUpdates(nil),
		Root:          b.view.dir.Root(),
		Revision:      b.view.catalog.Revision(),
	}
}

// exchange runs one gossip round with the balancer at the address: it swaps
// gossip updates and configuration, and repairs the directory if the digests
// still differ and a repair is due.
func (b *Balancer) exchange(ctx context.Context, address string) error {
	req := b.exchangeRequest()
	var reply control.ExchangeReply
	if err := b.client.Call(ctx, address, control.MethodExchange, req, &reply); err != nil {
		return err
	}
	b.recordFeedback(req.GossipUpdates, reply.AcceptedIndexes)
	_, root := b.merge(reply.GossipUpdates, reply.Update)
	if err := b.pullUpdates(ctx, address, reply); err != nil {
		return err
	}
	if err := b.pushUpdates(ctx, address, reply.Revision); err != nil {
		return err
	}
	if root != reply.Root && b.repairDue() {
		_, err := b.repair(ctx, address)
		return err
	}
	return nil
}

// recordFeedback records which of the sent entries changed the receiver's
// directory, by index.
func (b *Balancer) recordFeedback(sent []directory.Entry, changed []int) {
	b.view.mu.Lock()
	defer b.view.mu.Unlock()
	b.view.dir.AcknowledgeUpdates(sent, changed)
}

// merge merges directory entries and a configuration update received from a peer
// or the platform. It returns the indexes of the entries that changed the
// directory, and the root of its digest afterwards. Entries need no validation,
// as decoding checks them.
func (b *Balancer) merge(entries []directory.Entry, update *catalog.Update) (changed []int, root uint64) {
	now := time.Now()
	b.view.mu.Lock()
	defer b.view.mu.Unlock()
	changed = b.view.dir.Merge(now, entries)
	b.applyDirectory(now)
	if update != nil {
		b.applyCatalog(*update)
	}
	return changed, b.view.dir.Root()
}

// repairDue reports whether repairInterval has passed since the last repair that
// followed an exchange, and starts a new interval if so.
func (b *Balancer) repairDue() bool {
	b.view.mu.Lock()
	defer b.view.mu.Unlock()
	now := time.Now()
	if now.Sub(b.view.lastRepair) < repairInterval {
		return false
	}
	b.view.lastRepair = now
	return true
}

// immediateRepairThreshold is the number of entries a repair must change for the
// next exchange to repair again without waiting for repairInterval. Gossip updates
// are too slow when many entries change at once; ordinary changes in transit stay
// below the threshold.
const immediateRepairThreshold = 24

// makeRepairDue lets the next exchange compare digests regardless of
// repairInterval.
func (b *Balancer) makeRepairDue() {
	b.view.mu.Lock()
	defer b.view.mu.Unlock()
	b.view.lastRepair = time.Time{}
}

// pullUpdates fetches the remaining configuration pages of a peer after an
// exchange.
func (b *Balancer) pullUpdates(ctx context.Context, address string, reply control.ExchangeReply) error {
	update := reply.Update
	for update != nil && update.More() {
		var page control.SyncReply
		err := b.client.Call(ctx, address, control.MethodSync, control.SyncRequest{Revision: b.receivedRevision()}, &page)
		if err != nil {
			return err
		}
		update = page.Update
		b.merge(nil, update)
	}
	return nil
}

// receivedRevision returns the configuration revision received so far, which may
// be ahead of the one in force.
func (b *Balancer) receivedRevision() catalog.Revision {
	b.view.mu.Lock()
	defer b.view.mu.Unlock()
	return b.view.catalog.Revision()
}

// pushUpdates sends the configuration pages that the peer lacks.
func (b *Balancer) pushUpdates(ctx context.Context, address string, peerRevision catalog.Revision) error {
	for range maxPushPages {
		update := b.updateSince(peerRevision, catalog.KeepAll)
		if update == nil {
			return nil
		}
		var reply control.PushReply
		if err := b.client.Call(ctx, address, control.MethodPush, control.PushRequest{Update: *update}, &reply); err != nil {
			return err
		}
		if reply.Revision <= peerRevision {
			return nil
		}
		peerRevision = reply.Revision
	}
	return nil
}

// updateSince returns the next configuration page for a node at revision from,
// or nil if it needs nothing.
func (b *Balancer) updateSince(from catalog.Revision, keep func(*catalog.Record) bool) *catalog.Update {
	b.view.mu.Lock()
	defer b.view.mu.Unlock()
	return b.view.catalog.Since(from, keep)
}

// repair compares directory digests with a peer and exchanges the entries of the
// leaves that differ. It returns the number of local entries that changed.
func (b *Balancer) repair(ctx context.Context, address string) (int, error) {
	b.metrics.repairs.Inc()
	b.view.mu.Lock()
	digestReq := control.DigestRequest{Branches: b.view.dir.Branches()}
	b.view.mu.Unlock()
	var digest control.DigestReply
	if err := b.client.Call(ctx, address, control.MethodDigest, digestReq, &digest); err != nil {
		return 0, err
	}
	b.view.mu.Lock()
	leaves := b.view.dir.DiffLeaves(digest.Branches, digest.Leaves)
	localEntries := b.view.dir.EntriesInLeaves(leaves, control.MaxEntriesPerCall)
	b.view.mu.Unlock()
	if len(leaves) == 0 {
		return 0, nil
	}
	var reply control.EntriesReply
	entriesReq := control.EntriesRequest{Leaves: leaves, Entries: localEntries}
	if err := b.client.Call(ctx, address, control.MethodEntries, entriesReq, &reply); err != nil {
		return 0, err
	}
	changed, _ := b.merge(reply.Entries, nil)
	if len(changed) >= immediateRepairThreshold {
		b.makeRepairDue()
	}
	return len(changed), nil
}
