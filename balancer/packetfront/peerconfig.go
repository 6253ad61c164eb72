package packetfront

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/platform"
	"github.com/poppywall/poppywall/telemetry"
	"github.com/poppywall/poppywall/transfer"
	"github.com/poppywall/poppywall/worker"
)

// followPeers fetches a configuration that another balancer has and this one
// does not get from the store.
func (f *Front) followPeers(ctx context.Context) error {
	return worker.Every(ctx, tickPeriod, func() {
		if peer, due := f.staleBehind(); due {
			f.fetch(ctx, peer)
		}
	})
}

// staleBehind returns a balancer with a newer configuration once the own watch
// had its time.
func (f *Front) staleBehind() (peer flow.IPv4, due bool) {
	f.locked(func(now time.Time) {
		own := f.core.ConfigVersion()
		ip, version, newer := f.core.view.Newest(own)
		f.transfers.heardOf(max(own, version))
		if !newer {
			f.staleSince = time.Time{}
			return
		}
		if f.staleSince.IsZero() {
			f.staleSince = now
		}
		peer, due = ip, own == 0 || !f.core.Feeds(now) || now.Sub(f.staleSince) >= peerPatience
	})
	return peer, due
}

func (f *Front) fetch(ctx context.Context, peer flow.IPv4) {
	began := time.Now()
	raw, err := fetchConfig(ctx, f.peers, netip.AddrPortFrom(peer.Addr(), f.port))
	f.transfers.fetched(err)
	fields := []zap.Field{
		zap.Stringer(telemetry.FieldPeer, peer), zap.Int64(fieldConfig, f.version()),
		zap.Int(fieldBytes, bytesOf(raw, err)), zap.Int64(fieldTookMS, time.Since(began).Milliseconds()),
	}
	if err != nil {
		f.log.Warn("configuration not fetched", append(fields, zap.Error(err))...)
		return
	}
	f.log.Info("configuration fetched", fields...)
	c, err := platform.DecodeConfig(raw)
	if err != nil {
		f.log.Error("configuration of another balancer refused", zap.Stringer(telemetry.FieldPeer, peer), zap.Error(err))
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

const pathConfig = "/config"

// newPeerClient returns a client that opens a connection for each call: calls are
// rare, and a kept connection may have gone silent since.
func newPeerClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
}

// fetchLimits bound a fetch. Only silence ends one: the link of a small VM takes
// most of a second for a large configuration, and a fetch that is begun anew would
// take as long again.
var fetchLimits = transfer.Limits{Begin: peerTimeout, Silence: peerSilence, Most: maxConfig}

// fetchConfig returns the configuration of another balancer.
func fetchConfig(ctx context.Context, client *http.Client, peer netip.AddrPort) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+peer.String()+pathConfig, nil)
	if err != nil {
		return nil, err
	}
	answer, err := transfer.Do(client, req, fetchLimits)
	if err != nil {
		return nil, err
	}
	if answer.Status != http.StatusOK {
		return nil, errors.Errorf("answered %d", answer.Status)
	}
	return answer.Body, nil
}

func (f *Front) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathConfig, func(w http.ResponseWriter, _ *http.Request) {
		var raw []byte
		f.locked(func(time.Time) { raw = f.raw })
		if raw == nil {
			http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
			return
		}
		// The peer sees a broken answer and asks again.
		_, _ = w.Write(raw)
	})
	return mux
}
