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
	// noticeInterval is the minimum time between two leaving notices to an agent.
	noticeInterval = time.Second
	// maxNotifiedAgents bounds the agents that are notified, and tracked in
	// notifiedAt, during a graceful stop.
	maxNotifiedAgents = 1 << 15
	// leaveExchanges is the number of exchanges with random peers that announce a
	// graceful stop.
	leaveExchanges = 3
)

// leaveState tracks a graceful stop and the last leaving notice to each agent.
// mu guards notifiedAt.
type leaveState struct {
	stopping   atomic.Bool
	mu         sync.Mutex
	notifiedAt map[netip.AddrPort]time.Time
}

func (l *leaveState) started() bool { return l.stopping.Load() }

func (l *leaveState) start() {
	l.mu.Lock()
	l.notifiedAt = map[netip.AddrPort]time.Time{}
	l.mu.Unlock()
	l.stopping.Store(true)
}

// noticeDue reports whether a leaving notice to the agent is due, and records it
// as sent if so.
func (l *leaveState) noticeDue(now time.Time, agent netip.AddrPort) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	last, known := l.notifiedAt[agent]
	if known && now.Sub(last) < noticeInterval {
		return false
	}
	if !known && len(l.notifiedAt) >= maxNotifiedAgents {
		return false
	}
	l.notifiedAt[agent] = now
	return true
}

// leave fails the health endpoint, announces to peers that this balancer has left
// and keeps forwarding for LeaveDelay.
func (b *Balancer) leave(ctx context.Context) {
	b.health.Set(false)
	b.leaving.start()
	b.log.Info("balancer leaving", zap.Duration("delay", b.cfg.LeaveDelay.D()))
	now := time.Now()
	b.view.mu.Lock()
	b.view.dir.UpdateSelf(now, func(e *directory.Entry) { e.Status = directory.Left })
	b.view.mu.Unlock()
	for range leaveExchanges {
		b.exchangeWithRandomPeer(ctx)
	}
	time.Sleep(b.cfg.LeaveDelay.D())
}
