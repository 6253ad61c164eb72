package packetfront

import (
	"bytes"
	"compress/gzip"
	"context"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
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
	raw, err := fetchConfig(ctx, f.peers, netip.AddrPortFrom(peer.Addr(), f.port))
	f.transfers.fetched(err)
	fields := []zap.Field{
		zap.Stringer(telemetry.FieldPeer, peer), zap.Int64(fieldConfig, f.version()), zap.Int64(fieldHeard, version),
		zap.Int(fieldBytes, bytesOf(raw, err)), zap.Int64(fieldTookMS, time.Since(began).Milliseconds()),
	}
	if err != nil {
		f.log.Warn("configuration not fetched", append(fields, zap.Error(err))...)
		return
	}
	f.log.Info("configuration fetched", fields...)
	f.locked(f.core.Fetched)
	c, err := decode(raw)
	if err != nil {
		f.log.Error("configuration of another balancer refused", zap.Stringer(telemetry.FieldPeer, peer), zap.Int64(fieldHeard, version), zap.Error(err))
		f.locked(func(time.Time) { f.core.RefuseConfig(version) })
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

// storedConfig is a configuration as it is stored and as other balancers get it.
type storedConfig struct {
	raw []byte

	pack   sync.Once
	packed []byte
}

// gzipped returns the configuration compressed, worked out at the first call: most
// balancers are never asked. The fastest level: a balancer may have a twentieth of a
// core and is asked by several others at once.
func (s *storedConfig) gzipped() []byte {
	s.pack.Do(func() {
		var b bytes.Buffer
		// Only a level that does not exist is refused.
		w, _ := gzip.NewWriterLevel(&b, gzip.BestSpeed)
		// Writes to a buffer do not fail.
		_, _ = w.Write(s.raw)
		_ = w.Close()
		s.packed = b.Bytes()
	})
	return s.packed
}

const encodingGzip = "gzip"

func (f *Front) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathConfig, func(w http.ResponseWriter, r *http.Request) {
		var stored *storedConfig
		f.locked(func(time.Time) { stored = f.stored })
		if stored == nil {
			http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
			return
		}
		body := stored.raw
		if strings.Contains(r.Header.Get("Accept-Encoding"), encodingGzip) {
			w.Header().Set("Content-Encoding", encodingGzip)
			body = stored.gzipped()
		}
		w.Header().Set("Content-Type", "application/octet-stream")
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		// Several may ask at once, and this VM's link may be a small one: the server's bound
		// on the whole answer would cut off the last of them.
		if err := transfer.Write(w, body, peerSilence); err != nil {
			f.log.Info("configuration not given", zap.String(telemetry.FieldPeer, r.RemoteAddr), zap.Error(err))
		}
	})
	return mux
}
