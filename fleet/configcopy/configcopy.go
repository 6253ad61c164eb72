// Package configcopy shares the operator's configuration between nodes, in its stored form
// and compressed for the transfer. Balancers decode what they fetch. Agents keep a
// compressed copy for balancers that find neither the store available nor a balancer with
// a configuration.
//
// Cost: 4,200 routes are 0.7 MB stored and some 50 kB compressed; compressing them takes
// 1.6 ms of CPU time, once per version and only when it is requested.
package configcopy

import (
	"bytes"
	"compress/gzip"
	"context"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/poppywall/poppywall/telemetry"
	"github.com/poppywall/poppywall/transfer"
)

const (
	// Path is the path at which nodes serve their copies.
	Path = "/config"

	encodingGzip = "gzip"
	// beginTimeout limits the time until a node's response begins.
	beginTimeout = 500 * time.Millisecond
	// stallTimeout limits the pauses within the response: a lost packet is retransmitted
	// after 200 ms, then after 400 ms more.
	stallTimeout = 900 * time.Millisecond
	// maxSize is the maximum size in bytes of a response.
	maxSize = 4 << 20
)

// fetchLimits are the limits of a fetch. None applies to its total time: the link of a small
// VM takes most of a second for a large configuration, and a second attempt would take as
// long again.
var fetchLimits = transfer.Limits{HeaderTimeout: beginTimeout, StallTimeout: stallTimeout, MaxBody: maxSize}

// Copy is a stored configuration that is served to other nodes. It is safe for concurrent
// use.
type Copy struct {
	// raw are the stored bytes; nil if only the compressed ones are known.
	raw          []byte
	compressOnce sync.Once
	compressed   []byte
}

// NewCopy returns a Copy of the stored bytes of a configuration.
func NewCopy(raw []byte) *Copy { return &Copy{raw: raw} }

// Compressed returns the compressed configuration. It compresses at the first call, as most
// balancers never get a request, and with the fastest level, as a balancer may have a
// twentieth of a core and get requests of several others at once.
func (c *Copy) Compressed() []byte {
	c.compressOnce.Do(func() {
		if c.compressed != nil {
			return
		}
		var b bytes.Buffer
		// NewWriterLevel fails for an invalid level only.
		w, _ := gzip.NewWriterLevel(&b, gzip.BestSpeed)
		// Writes to a bytes.Buffer do not fail.
		_, _ = w.Write(c.raw)
		_ = w.Close()
		c.compressed = b.Bytes()
	})
	return c.compressed
}

// Client fetches copies from other nodes. It opens a connection for each call: calls are
// rare, and a connection from an earlier one may be dead without notice.
type Client struct {
	plain, compressed *http.Client
}

// Dial opens a connection; it has the signature of net.Dialer.DialContext.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// NewClient returns a client that connects with dial, or with the standard dialer if it is
// nil.
func NewClient(dial Dial) *Client {
	return &Client{
		plain:      &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: dial}},
		compressed: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: dial}},
	}
}

// Fetch fetches a node's configuration and returns its stored bytes.
func (c *Client) Fetch(ctx context.Context, node netip.AddrPort) ([]byte, error) {
	return fetch(ctx, c.plain, node, "")
}

// FetchCopy fetches a node's copy without decompressing it. Damage is detected only by the
// node that decompresses it.
func (c *Client) FetchCopy(ctx context.Context, node netip.AddrPort) (*Copy, error) {
	body, err := fetch(ctx, c.compressed, node, encodingGzip)
	if err != nil {
		return nil, err
	}
	return &Copy{compressed: body}, nil
}

func fetch(ctx context.Context, client *http.Client, node netip.AddrPort, encoding string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+node.String()+Path, nil)
	if err != nil {
		return nil, err
	}
	if encoding != "" {
		req.Header.Set("Accept-Encoding", encoding)
	}
	response, err := transfer.Do(client, req, fetchLimits)
	if err != nil {
		return nil, err
	}
	if response.Status != http.StatusOK {
		return nil, errors.Errorf("unexpected response status %d", response.Status)
	}
	if len(response.Body) == 0 {
		return nil, errors.New("empty response")
	}
	return response.Body, nil
}

// Handler serves a node's current copy; current returns nil while there is none.
func Handler(current func() *Copy, log *zap.Logger) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+Path, func(w http.ResponseWriter, r *http.Request) {
		c := current()
		if c == nil {
			http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
			return
		}
		body := c.raw
		switch {
		case strings.Contains(r.Header.Get("Accept-Encoding"), encodingGzip):
			w.Header().Set("Content-Encoding", encodingGzip)
			body = c.Compressed()
		case body == nil:
			http.Error(w, "only compressed", http.StatusNotAcceptable)
			return
		}
		w.Header().Set("Content-Type", "application/octet-stream")
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		// Several nodes may send requests at once, and this VM's link may be slow: with the
		// server's limit on the whole response the last of them would be cut off.
		if err := transfer.Write(w, body, stallTimeout); err != nil {
			log.Info("configuration not sent", zap.String(telemetry.FieldPeer, r.RemoteAddr), zap.Error(err))
		}
	})
	return mux
}
