package packetfront

import (
	"context"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/telemetry"
	"github.com/poppywall/poppywall/transfer"
	"github.com/poppywall/poppywall/worker"
)

// followPeers fetches a configuration that another balancer has and this one
// does not get from the store.
func (f *Front) followPeers(ctx context.Context) error {
	return worker.Every(ctx, tickPeriod, func() {
		var peer flow.IPv4
		var version int64
		due := false
		f.locked(func(now time.Time) {
			peer, version, due = f.core.FetchFrom(now)
			f.transfers.heardOf(max(version, f.core.ConfigVersion()))
		})
		if due {
			f.fetch(ctx, peer, version)
		}
	})
}

// fetch takes over the configuration of another balancer, which has told of a
// version.
func (f *Front) fetch(ctx context.Context, peer flow.IPv4, version int64) {
	began := time.Now()
	raw, err := f.peers.Fetch(ctx, netip.AddrPortFrom(peer.Addr(), f.port))
	f.transfers.fetched(err)
	fields := []zap.Field{
		zap.Stringer(telemetry.FieldPeer, peer), zap.Int64(fieldConfig, f.version()), zap.Int64(fieldHeard, version),
		zap.Int(fieldBytes, bytesOf(raw, err)), zap.Int64(fieldTookMS, time.Since(began).Milliseconds()),
	}
	if err != nil {
		f.log.Warn("configuration not fetched", append(fields, zap.Error(err))...)
		f.locked(func(now time.Time) { f.core.NotFetched(now, peer) })
		return
	}
	f.log.Info("configuration fetched", fields...)
	f.locked(f.core.Fetched)
	c, err := decode(raw)
	if err != nil {
		f.log.Error("configuration of another balancer refused", zap.Stringer(telemetry.FieldPeer, peer), zap.Int64(fieldHeard, version), zap.Error(err))
		f.locked(func(now time.Time) { f.core.RefuseConfig(now, peer, version) })
		return
	}
	f.apply(c, raw, peer.String())
}

// bytesOf is how much of an answer has come, whole or not.
func bytesOf(whole []byte, err error) int {
	var part *transfer.Error
	if errors.As(err, &part) {
		return part.Got
	}
	return len(whole)
}
