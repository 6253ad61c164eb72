package packetfront

import (
	"context"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/poppywall/poppywall/fleet/configcopy"
	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/telemetry"
	"github.com/poppywall/poppywall/worker"
)

// An agent stores a copy of the newest configuration of any balancer, in the form in which it was
// fetched: when all balancers have restarted and the store is unavailable, no other node has
// one. Fetching is not urgent: a version that is missing for a few seconds matters only if all
// balancers end in that time.

// Timing of the configuration copies.
const (
	// An agent fetches a version copyDelay after it learns of it, plus a part of copySpread
	// of its own: fetches by the agents of a zone are spread out, because the link and the
	// processor of the balancer may be small.
	copyDelay  = 500 * time.Millisecond
	copySpread = 2 * time.Second
	// copyRetryPause is the pause after a fetch that failed.
	copyRetryPause = 2 * time.Second
	// copyCheckPeriod is the interval between checks for a newer version.
	copyCheckPeriod = 200 * time.Millisecond
)

// copyState holds the version of the agent's copy and the state of the next fetch.
type copyState struct {
	version int64
	// newest is the newest version of any balancer, dueAt the earliest time to fetch it.
	newest int64
	dueAt  time.Time
}

// CopySource returns the balancer to fetch a newer configuration from, and its version, if a
// fetch is due.
func (c *Core) CopySource(now time.Time) (from flow.IPv4, version int64, due bool) {
	from, version, newer := c.view.PreferredConfigSource(c.copyState.version, c.opts.Zone)
	if !newer {
		return 0, 0, false
	}
	if version != c.copyState.newest {
		spread := time.Duration(c.opts.Incarnation % uint64(copySpread))
		c.copyState.newest, c.copyState.dueAt = version, now.Add(copyDelay+spread)
	}
	if now.Before(c.copyState.dueAt) {
		return 0, 0, false
	}
	c.copyState.dueAt = now.Add(copyRetryPause)
	return from, version, true
}

// CopyStored records that a copy of a version, or of a later one, was fetched, and reports
// whether it replaces the agent's copy.
func (c *Core) CopyStored(version int64) bool {
	if version <= c.copyState.version {
		return false
	}
	c.copyState.version = version
	return true
}

// copyConfig fetches newer configuration copies until ctx ends.
func (f *Front) copyConfig(ctx context.Context) error {
	return worker.Every(ctx, copyCheckPeriod, func() {
		var from flow.IPv4
		var version int64
		due := false
		f.locked(func(now time.Time) { from, version, due = f.core.CopySource(now) })
		if due {
			f.fetchCopy(ctx, from, version)
		}
	})
}

func (f *Front) fetchCopy(ctx context.Context, from flow.IPv4, version int64) {
	fields := []zap.Field{zap.Stringer(telemetry.FieldPeer, from), zap.Int64(telemetry.FieldConfig, version)}
	stored, err := f.peers.FetchCopy(ctx, netip.AddrPortFrom(from.Addr(), f.port))
	if err != nil {
		f.log.Info("fetching the configuration copy failed", append(fields, zap.Error(err))...)
		return
	}
	f.locked(func(time.Time) {
		if f.core.CopyStored(version) {
			f.configCopy = stored
		}
	})
	f.log.Info("configuration copy fetched", append(fields, zap.Int(telemetry.FieldBytes, len(stored.Compressed())))...)
}

// currentCopy returns the agent's copy of the configuration, nil before the first fetch.
func (f *Front) currentCopy() (stored *configcopy.Copy) {
	f.locked(func(time.Time) { stored = f.configCopy })
	return stored
}
