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
	// repairEvery is the least time between two comparisons of digests, so
	// that changes still on their way do not cost a comparison each.
	repairEvery = 2 * time.Second
	// repairBranches bounds the branches repaired at once.
	repairBranches = 8
	// maxPushPages bounds the configuration pages given to a peer at once.
	maxPushPages = 4
	// joinRounds bounds the repairs of a joining balancer.
	joinRounds = 200
)

// gossipLoop exchanges with a random balancer each period, jittered so that
// balancers started together do not stay in step.
func (b *Balancer) gossipLoop(ctx context.Context) error {
	b.join(ctx)
	for ctx.Err() == nil {
		b.exchangeOnce(ctx)
		worker.Sleep(ctx, worker.Jitter(b.cfg.GossipEvery.D()))
	}
	return nil
}

// join learns the directory and configuration from the first seed that
// answers; without one this balancer is the first.
func (b *Balancer) join(ctx context.Context) {
	for _, seed := range b.cfg.Seeds {
		if b.joinBy(ctx, seed) == nil {
			return
		}
	}
}

func (b *Balancer) joinBy(ctx context.Context, address string) error {
	if err := b.exchange(ctx, address); err != nil {
		return err
	}
	for range joinRounds {
		n, err := b.repair(ctx, address)
		if err != nil || n == 0 {
			return err
		}
	}
	return nil
}

// exchangeOnce trades changes with one random balancer.
func (b *Balancer) exchangeOnce(ctx context.Context) {
	b.view.mu.Lock()
	peer, ok := b.view.dir.Peer(b.view.rnd)
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

// exchangeRequest builds the next gossip message.
func (b *Balancer) exchangeRequest() control.ExchangeRequest {
	b.view.mu.Lock()
	defer b.view.mu.Unlock()
	return control.ExchangeRequest{
		Rumours:  b.view.dir.Rumours(nil),
		Root:     b.view.dir.Root(),
		Revision: b.view.catalog.Revision(),
	}
}

// exchange runs one gossip round with the balancer at the address.
func (b *Balancer) exchange(ctx context.Context, address string) error {
	req := b.exchangeRequest()
	var reply control.ExchangeReply
	if err := b.client.Call(ctx, address, control.MethodExchange, req, &reply); err != nil {
		return err
	}
	b.feedback(req.Rumours, reply.News)
	_, root := b.take(reply.Rumours, reply.Update)
	if err := b.pull(ctx, address, reply); err != nil {
		return err
	}
	if err := b.push(ctx, address, reply.Revision); err != nil {
		return err
	}
	if root != reply.Root && b.repairDue() {
		_, err := b.repair(ctx, address)
		return err
	}
	return nil
}

func (b *Balancer) feedback(passed []directory.Entry, news []int) {
	b.view.mu.Lock()
	defer b.view.mu.Unlock()
	b.view.dir.Feedback(passed, news)
}

// take merges what a peer sent. It returns which entries were news, by index,
// and the directory's root afterwards. Entries are valid: decoding checks them.
func (b *Balancer) take(entries []directory.Entry, update *catalog.Update) (news []int, root uint64) {
	now := time.Now()
	b.view.mu.Lock()
	defer b.view.mu.Unlock()
	news = b.view.dir.Merge(now, entries)
	b.applyDirectory(now)
	if update != nil {
		b.applyCatalog(*update)
	}
	return news, b.view.dir.Root()
}

func (b *Balancer) repairDue() bool {
	b.view.mu.Lock()
	defer b.view.mu.Unlock()
	now := time.Now()
	if now.Sub(b.view.repairAt) < repairEvery {
		return false
	}
	b.view.repairAt = now
	return true
}

// manyNews is how many entries a repair must bring for the next one to follow
// at once: after a mass event rumours are too slow. Ordinary changes on their
// way bring fewer.
const manyNews = 24

// hurry makes the next exchange compare digests again.
func (b *Balancer) hurry() {
	b.view.mu.Lock()
	defer b.view.mu.Unlock()
	b.view.repairAt = time.Time{}
}

// pull fetches further pages while the peer has more.
func (b *Balancer) pull(ctx context.Context, address string, reply control.ExchangeReply) error {
	update := reply.Update
	for update != nil && update.More() {
		var page control.SyncReply
		err := b.client.Call(ctx, address, control.MethodSync, control.SyncRequest{Revision: b.heard()}, &page)
		if err != nil {
			return err
		}
		update = page.Update
		b.take(nil, update)
	}
	return nil
}

func (b *Balancer) heard() catalog.Revision {
	b.view.mu.Lock()
	defer b.view.mu.Unlock()
	return b.view.catalog.Revision()
}

// push gives the peer what it lacks.
func (b *Balancer) push(ctx context.Context, address string, theirs catalog.Revision) error {
	for range maxPushPages {
		update := b.since(theirs, catalog.Everything)
		if update == nil {
			return nil
		}
		var reply control.PushReply
		if err := b.client.Call(ctx, address, control.MethodPush, control.PushRequest{Update: *update}, &reply); err != nil {
			return err
		}
		if reply.Revision <= theirs {
			return nil
		}
		theirs = reply.Revision
	}
	return nil
}

func (b *Balancer) since(from catalog.Revision, keep func(*catalog.Record) bool) *catalog.Update {
	b.view.mu.Lock()
	defer b.view.mu.Unlock()
	return b.view.catalog.Since(from, keep)
}

// repair compares digests with a peer and trades the entries that differ. It
// returns how many entries were news.
func (b *Balancer) repair(ctx context.Context, address string) (int, error) {
	b.metrics.repairs.Inc()
	b.view.mu.Lock()
	req := control.DigestRequest{Branches: b.view.dir.Branches()}
	b.view.mu.Unlock()
	var diff control.DigestReply
	if err := b.client.Call(ctx, address, control.MethodDigest, req, &diff); err != nil {
		return 0, err
	}
	b.view.mu.Lock()
	leaves := b.view.dir.DiffLeaves(diff.Of, diff.Leaves)
	mine := b.view.dir.EntriesOf(leaves, control.MaxEntriesPerCall)
	b.view.mu.Unlock()
	if len(leaves) == 0 {
		return 0, nil
	}
	var theirs control.EntriesReply
	trade := control.EntriesRequest{Leaves: leaves, Entries: mine}
	if err := b.client.Call(ctx, address, control.MethodEntries, trade, &theirs); err != nil {
		return 0, err
	}
	news, _ := b.take(theirs.Entries, nil)
	if len(news) >= manyNews {
		b.hurry()
	}
	return len(news), nil
}
