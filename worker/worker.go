// Package worker runs the long-lived goroutines of a process.
package worker

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
)

// Group is the workers of one process.
type Group struct {
	wg  conc.WaitGroup
	log *zap.Logger
}

// NewGroup returns a group without workers.
func NewGroup(log *zap.Logger) *Group { return &Group{log: log} }

// Go runs a worker; an error before ctx ends is logged.
func (g *Group) Go(ctx context.Context, name string, run func(context.Context) error) {
	g.wg.Go(func() {
		if err := run(ctx); err != nil && ctx.Err() == nil {
			g.log.Error("worker stopped", zap.String("worker", name), zap.Error(err))
		}
	})
}

// Run runs a worker that ends by itself, as when its socket closes.
func (g *Group) Run(f func()) { g.wg.Go(f) }

// Wait waits for all workers.
func (g *Group) Wait() { g.wg.Wait() }

// Start runs f in the background; the returned function ends its context and waits
// for it.
func Start(f func(context.Context) error) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() {
		// Whoever starts f this way hears of its failure by what it does not do.
		_ = f(ctx)
	})
	return func() {
		cancel()
		wg.Wait()
	}
}

// Every calls f once each period until ctx ends.
func Every(ctx context.Context, period time.Duration, f func()) error {
	tick := time.NewTicker(period)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			f()
		}
	}
}

// Jitter returns a duration of 0.9 to 1.1 times d, so that processes that were
// started together do not stay in step.
func Jitter(d time.Duration) time.Duration { return d*9/10 + rand.N(d/5+1) }

// Sleep waits for d or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
