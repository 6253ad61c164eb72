package balancer

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/poppywall/poppywall/directory"
)

const (
	// tellEvery is the least time between two notices to one agent.
	tellEvery = time.Second
	// maxTold bounds the agents remembered while leaving.
	maxTold = 1 << 15
	// farewells is the number of peers told directly.
	farewells = 3
)

// leaveState is the state of a graceful stop; mu guards told.
type leaveState struct {
	flag atomic.Bool
	mu   sync.Mutex
	told map[netip.AddrPort]time.Time
}

func (l *leaveState) started() bool { return l.flag.Load() }

func (l *leaveState) start() {
	l.mu.Lock()
	l.told = map[netip.AddrPort]time.Time{}
	l.mu.Unlock()
	l.flag.Store(true)
}

// mayTell tells whether the agent is due for a notice and counts it as told.
func (l *leaveState) mayTell(now time.Time, agent netip.AddrPort) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	at, known := l.told[agent]
	if known && now.Sub(at) < tellEvery {
		return false
	}
	if !known && len(l.told) >= maxTold {
		return false
	}
	l.told[agent] = now
	return true
}

// leave fails the health endpoint, keeps forwarding for LeaveDelay and spreads
// the farewell.
func (b *Balancer) leave(ctx context.Context) {
	b.health.Set(false)
	b.leaving.start()
	b.log.Info("balancer leaving", zap.Duration("delay", b.cfg.LeaveDelay.D()))
	now := time.Now()
	b.view.mu.Lock()
	b.view.dir.UpdateSelf(now, func(e *directory.Entry) { e.Status = directory.Left })
	b.view.mu.Unlock()
	for range farewells {
		b.exchangeOnce(ctx)
	}
	time.Sleep(b.cfg.LeaveDelay.D())
}
