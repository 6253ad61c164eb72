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

// An agent keeps a copy of the newest configuration that a balancer has, as it came: when
// all balancers have restarted and the store is away, nobody else has one. It is in no
// hurry: a version that it lacks for a few seconds matters only if just then all
// balancers end.

// Times of keeping the configuration.
const (
	// copyDelay and keepSpread are how long after a version was heard of an agent fetches
	// it: the agents of a zone ask one after the other, for the link and the processor
	// of the balancer that is asked may be small.
	copyDelay  = 500 * time.Millisecond
	copySpread = 2 * time.Second
	// copyRetryPause is the pause after a fetch that failed.
	copyRetryPause = 2 * time.Second
	// copyPeriod is how often an agent looks whether it lacks a version.
	copyPeriod = 200 * time.Millisecond
)

// configCopy is the version that the agent has a copy of, and the fetch of the next one.
type configCopy struct {
	version int64
	// newest is the newest version that a balancer has, dueAt when it is fetched.
	newest int64
	dueAt  time.Time
}

// CopySource returns a balancer to fetch a newer configuration from than the agent has, and
// its version, when that is due.
func (c *Core) CopySource(now time.Time) (from flow.IPv4, version int64, due bool) {
	from, version, newer := c.view.PreferredConfigSource(c.configCopy.version, c.opts.Zone)
	if !newer {
		return 0, 0, false
	}
	if version != c.configCopy.newest {
		spread := time.Duration(c.opts.Incarnation % uint64(copySpread))
		c.configCopy.newest, c.configCopy.dueAt = version, now.Add(copyDelay+spread)
	}
	if now.Before(c.configCopy.dueAt) {
		return 0, 0, false
	}
	c.configCopy.dueAt = now.Add(copyRetryPause)
	return from, version, true
}

// CopyStored notes that the agent has a copy of a version, or of a later one, and tells
// whether it replaces the one before.
func (c *Core) CopyStored(version int64) bool {
	if version <= c.configCopy.version {
		return false
	}
	c.configCopy.version = version
	return true
}

// copyConfig fetches copies for as long as the agent runs.
func (f *Front) copyConfig(ctx context.Context) error {
	return worker.Every(ctx, copyPeriod, func() {
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
		f.log.Info("copy of the configuration not fetched", append(fields, zap.Error(err))...)
		return
	}
	f.locked(func(time.Time) {
		if f.core.CopyStored(version) {
			f.configCopy = stored
		}
	})
	f.log.Info("copy of the configuration kept", append(fields, zap.Int(telemetry.FieldBytes, len(stored.Compressed())))...)
}

// currentCopy returns the currentCopy that is kept, nil before the first.
func (f *Front) currentCopy() (stored *configcopy.Copy) {
	f.locked(func(time.Time) { stored = f.configCopy })
	return stored
}
