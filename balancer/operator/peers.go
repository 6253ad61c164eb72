package operator

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

// peerCheckInterval is how often a balancer checks whether others have a newer configuration.
const peerCheckInterval = 100 * time.Millisecond

// FollowPeers fetches newer configurations from other nodes until ctx ends.
func (s *Source) FollowPeers(ctx context.Context) error {
	return worker.Every(ctx, peerCheckInterval, func() {
		var peer flow.IPv4
		var version int64
		due := false
		s.Locked(func(now time.Time) {
			peer, version, due = s.State.FetchFrom(now)
			s.Transfers.setHighestSeen(max(version, s.State.ConfigVersion()))
		})
		if due {
			s.fetch(ctx, peer, version)
		}
	})
}

// fetch fetches and applies the configuration of another node, which has announced version.
func (s *Source) fetch(ctx context.Context, peer flow.IPv4, version int64) {
	began := time.Now()
	raw, err := s.Peers.Fetch(ctx, netip.AddrPortFrom(peer.Addr(), s.Port))
	s.Transfers.countFetch(err)
	fields := []zap.Field{
		zap.Stringer(telemetry.FieldPeer, peer), zap.Int64(telemetry.FieldConfig, s.version()), zap.Int64(fieldSeenVersion, version),
		zap.Int(telemetry.FieldBytes, bytesOf(raw, err)), zap.Int64(fieldTookMS, time.Since(began).Milliseconds()),
	}
	if err != nil {
		s.Log.Warn("fetching the configuration failed", append(fields, zap.Error(err))...)
		s.Locked(func(now time.Time) { s.State.FetchFailed(now, peer) })
		return
	}
	s.Log.Info("configuration fetched", fields...)
	s.Locked(s.State.FetchSucceeded)
	c, err := decode(raw)
	if err != nil {
		s.Log.Error("fetched configuration does not decode", zap.Stringer(telemetry.FieldPeer, peer), zap.Int64(fieldSeenVersion, version), zap.Error(err))
		s.Locked(func(now time.Time) { s.State.RejectVersion(now, peer, version) })
		return
	}
	s.apply(c, raw, Origin(peer))
}

// bytesOf returns how many bytes of a response were received, complete or not.
func bytesOf(whole []byte, err error) int {
	var part *transfer.Error
	if errors.As(err, &part) {
		return part.BodyBytes
	}
	return len(whole)
}
