// Package worker runs the background goroutines of a process.
package worker

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
)

// Group is the set of workers of one process.
type Group struct {
	wg  conc.WaitGroup
	log *zap.Logger
}

// NewGroup returns a group without workers.
func NewGroup(log *zap.Logger) *Group { return &Group{log: log} }

// Go starts a worker. An error that it returns before ctx is done is logged.
func (g *Group) Go(ctx context.Context, name string, run func(context.Context) error) {
	g.wg.Go(func() {
		if err := run(ctx); err != nil && ctx.Err() == nil {
			g.log.Error("worker stopped", zap.String("worker", name), zap.Error(err))
		}
	})
}

// Run starts a worker that needs no context to stop, such as one that returns when
// its socket is closed.
func (g *Group) Run(f func()) { g.wg.Go(f) }

// Wait blocks until all workers have returned.
func (g *Group) Wait() { g.wg.Wait() }

// Start runs f in the background. The returned function cancels the context of f
// and waits for f to return.
func Start(f func(context.Context) error) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() {
		// The error is dropped: a failure of f shows only in the work that it
		// leaves undone.
		_ = f(ctx)
	})
	return func() {
		cancel()
		wg.Wait()
	}
}

// Every calls f once per period until ctx is done.
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

// Jitter returns a random duration of 0.9 to 1.1 times d, so that processes that
// were started together do not stay synchronised.
func Jitter(d time.Duration) time.Duration { return d*9/10 + rand.N(d/5+1) }

// Sleep blocks for d or until ctx is done.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
