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
	// seedInterval is the period at which a feeder publishes its seed key and
	// exchanges with another feeder.
	seedInterval = 30 * time.Second
	// seedTTL is the lifetime of a seed key's lease.
	seedTTL = 120 * time.Second
)

// feedLoop reads the configuration from the platform while this balancer is a
// feeder, or has no configuration in force because no peer provided one.
func (b *Balancer) feedLoop(ctx context.Context) error {
	b.joinByPublishedSeeds(ctx)
	nextSeedRenewal := time.Now()
	return worker.Every(ctx, b.cfg.PullInterval.D(), func() {
		if !b.updateFeeder() {
			return
		}
		if err := b.pullPlatform(ctx); err != nil {
			b.metrics.platformPullErrors.Inc()
			b.log.Warn("failed to read configuration from the platform", zap.Error(err))
			return
		}
		if time.Now().After(nextSeedRenewal) {
			nextSeedRenewal = time.Now().Add(seedInterval)
			b.renewSeed(ctx)
		}
	})
}

// updateFeeder determines whether this balancer is a feeder, and reports whether
// it should read the platform now.
func (b *Balancer) updateFeeder() bool {
	b.view.mu.Lock()
	defer b.view.mu.Unlock()
	self := b.view.dir.Self()
	b.view.feeder = feed.IsFeeder(&self, b.view.dir.Balancers())
	return b.view.feeder || b.view.catalog.InForce() == 0
}

// pullPlatform reads newer configuration records from the platform and applies
// them.
func (b *Balancer) pullPlatform(ctx context.Context) error {
	b.metrics.platformPulls.Inc()
	res, err := feed.Pull(ctx, b.store, b.receivedRevision())
	if err != nil {
		return err
	}
	if res.Malformed > 0 {
		b.metrics.malformedRecords.Add(float64(res.Malformed))
		b.log.Error("skipped malformed configuration records", zap.Int("records", res.Malformed))
	}
	b.merge(nil, &res.Update)
	return nil
}

// joinByPublishedSeeds joins through the first balancer that answers among the
// seeds published on the platform.
func (b *Balancer) joinByPublishedSeeds(ctx context.Context) {
	seeds, err := b.readSeeds(ctx)
	if err != nil {
		b.log.Warn("failed to read seeds from the platform", zap.Error(err))
		return
	}
	for _, s := range seeds {
		if b.joinThrough(ctx, s) == nil {
			return
		}
	}
}

// readSeeds returns the published control addresses of other feeders in random
// order.
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
// one other feeder, so that the membership views of a partitioned fleet merge
// again.
func (b *Balancer) renewSeed(ctx context.Context) {
	if err := b.publishSeed(ctx); err != nil {
		b.log.Warn("failed to publish seed", zap.Error(err))
	}
	seeds, err := b.readSeeds(ctx)
	if err != nil || len(seeds) == 0 {
		return
	}
	if err := b.exchange(ctx, seeds[0]); err != nil {
		b.log.Debug("exchange with seed failed", zap.Error(err))
	}
}

func (b *Balancer) publishSeed(ctx context.Context) error {
	lease, err := b.store.Grant(ctx, seedTTL)
	if err != nil {
		return err
	}
	index := strconv.FormatUint(uint64(b.seedIndex()), 10)
	key := feed.SeedPrefix + b.cfg.Zone + "/" + index
	put := store.Put{Key: key, Value: []byte(b.ControlAddr().String()), Lease: lease}
	_, err = b.store.Txn(ctx, store.Txn{Puts: []store.Put{put}})
	return err
}

// seedIndex returns this balancer's rank among the feeders of its zone, or
// feed.PerZone if it is not one of them. It is part of the seed key, so that the
// number of seed keys stays small.
func (b *Balancer) seedIndex() int {
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
