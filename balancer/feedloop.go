package balancer

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/poppywall/poppywall/feed"
	"github.com/poppywall/poppywall/store"
	"github.com/poppywall/poppywall/worker"
)

const (
	// seedEvery is the period at which a feeder renews its seed key and tries
	// the seeds of other zones.
	seedEvery = 30 * time.Second
	// seedTTL is the lease of a seed key.
	seedTTL = 120 * time.Second
)

// feedLoop reads the platform while this balancer is a feeder, or while it
// knows no configuration and no peer gave it any.
func (b *Balancer) feedLoop(ctx context.Context) error {
	b.joinByPlatform(ctx)
	next := time.Now()
	return worker.Every(ctx, b.cfg.PullEvery.D(), func() {
		if !b.decideFeeder() {
			return
		}
		if err := b.pullPlatform(ctx); err != nil {
			b.metrics.pullErrors.Inc()
			b.log.Warn("platform not read", zap.Error(err))
			return
		}
		if time.Now().After(next) {
			next = time.Now().Add(seedEvery)
			b.renewSeed(ctx)
		}
	})
}

// decideFeeder tells whether to read the platform now.
func (b *Balancer) decideFeeder() bool {
	b.view.mu.Lock()
	defer b.view.mu.Unlock()
	self := b.view.dir.Self()
	b.view.feeder = feed.IsFeeder(&self, b.view.dir.Balancers())
	return b.view.feeder || b.view.catalog.InForce() == 0
}

func (b *Balancer) pullPlatform(ctx context.Context) error {
	b.metrics.pulls.Inc()
	res, err := feed.Pull(ctx, b.store, b.heard())
	if err != nil {
		return err
	}
	if res.Malformed > 0 {
		b.metrics.malformed.Add(float64(res.Malformed))
		b.log.Error("malformed configuration records passed over", zap.Int("records", res.Malformed))
	}
	b.take(nil, &res.Update)
	return nil
}

// joinByPlatform meets the others through the seed keys.
func (b *Balancer) joinByPlatform(ctx context.Context) {
	seeds, err := b.readSeeds(ctx)
	if err != nil {
		b.log.Warn("seeds not read from the platform", zap.Error(err))
		return
	}
	for _, s := range seeds {
		if b.joinBy(ctx, s) == nil {
			return
		}
	}
}

// readSeeds returns the other feeders' addresses in random order.
func (b *Balancer) readSeeds(ctx context.Context) ([]string, error) {
	var seeds []string
	req := store.RangeRequest{Key: feed.SeedPrefix, End: store.PrefixEnd(feed.SeedPrefix)}
	own := b.ControlAddr().String()
	_, err := store.ReadAll(ctx, b.store, req, func(kv store.KV) error {
		if string(kv.Value) != own {
			seeds = append(seeds, string(kv.Value))
		}
		return nil
	})
	rand.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	return seeds, err
}

// renewSeed publishes this feeder's address under a lease and exchanges with
// one other feeder, so that parts of the fleet that lost each other meet.
func (b *Balancer) renewSeed(ctx context.Context) {
	if err := b.publishSeed(ctx); err != nil {
		b.log.Warn("seed not published", zap.Error(err))
	}
	seeds, err := b.readSeeds(ctx)
	if err != nil || len(seeds) == 0 {
		return
	}
	if err := b.exchange(ctx, seeds[0]); err != nil {
		b.log.Debug("seed did not answer", zap.Error(err))
	}
}

func (b *Balancer) publishSeed(ctx context.Context) error {
	lease, err := b.store.Grant(ctx, seedTTL)
	if err != nil {
		return err
	}
	slot := strconv.FormatUint(uint64(b.seedSlot()), 10)
	key := feed.SeedPrefix + b.cfg.Zone + "/" + slot
	put := store.Put{Key: key, Value: []byte(b.ControlAddr().String()), Lease: lease}
	_, err = b.store.Txn(ctx, store.Txn{Puts: []store.Put{put}})
	return err
}

// seedSlot is this feeder's rank in its zone, so that seed keys stay few.
func (b *Balancer) seedSlot() int {
	b.view.mu.Lock()
	defer b.view.mu.Unlock()
	self := b.view.dir.Self()
	for i, e := range feed.Feeders(b.cfg.Zone, b.view.dir.Balancers()) {
		if e.Data == self.Data {
			return i
		}
	}
	return feed.PerZone
}
