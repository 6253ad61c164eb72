// Package configcopy passes the operator's configuration on between nodes, as it is
// stored and compressed on the way. Balancers decode what they fetch; agents keep a
// copy as it came, for balancers that find the store away and no balancer with one.
//
// Cost: 4,200 routes are 0.7 MB stored and some 50 kB on the way; compressing them takes
// 1.6 ms of a processor, once a version and only where somebody asks.
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
	// Path is where nodes serve their copies.
	Path = "/config"

	encodingGzip = "gzip"
	// peerTimeout bounds the time until a node that is asked begins to answer.
	peerTimeout = 500 * time.Millisecond
	// peerSilence bounds the pauses within its answer: a packet that was lost is sent
	// again after 200 ms, then after 400 ms more.
	peerSilence = 900 * time.Millisecond
	// most bounds a configuration that another node sends, in bytes.
	most = 4 << 20
)

// limits bound a fetch. Only silence ends one: the link of a small VM takes most of a
// second for a large configuration, and a fetch that is begun anew would take as long
// again.
var limits = transfer.Limits{Begin: peerTimeout, Silence: peerSilence, Most: most}

// Copy is a stored configuration as other nodes get it. It is safe for concurrent use.
type Copy struct {
	// raw are the stored bytes, nil where only the compressed ones are known.
	raw    []byte
	pack   sync.Once
	packed []byte
}

// Stored returns a copy of the bytes that the store holds.
func Stored(raw []byte) *Copy { return &Copy{raw: raw} }

// Packed returns the configuration compressed, worked out at the first call: most
// balancers are never asked. The fastest level: a balancer may have a twentieth of a core
// and is asked by several others at once.
func (c *Copy) Packed() []byte {
	c.pack.Do(func() {
		if c.packed != nil {
			return
		}
		var b bytes.Buffer
		// Only a level that does not exist is refused.
		w, _ := gzip.NewWriterLevel(&b, gzip.BestSpeed)
		// Writes to a buffer do not fail.
		_, _ = w.Write(c.raw)
		_ = w.Close()
		c.packed = b.Bytes()
	})
	return c.packed
}

// Client fetches copies of other nodes. It opens a connection for each call: calls are
// rare, and a kept connection may have gone silent since.
type Client struct {
	plain, packed *http.Client
}

// Dial opens a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// NewClient returns a client that connects by dial, the standard one where it is nil.
func NewClient(dial Dial) *Client {
	return &Client{
		plain:  &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: dial}},
		packed: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: dial}},
	}
}

// Fetch returns the stored bytes of a node's configuration.
func (c *Client) Fetch(ctx context.Context, node netip.AddrPort) ([]byte, error) {
	return fetch(ctx, c.plain, node, "")
}

// FetchCopy returns a node's copy without unpacking it: what a damaged one holds is found
// by who unpacks it.
func (c *Client) FetchCopy(ctx context.Context, node netip.AddrPort) (*Copy, error) {
	body, err := fetch(ctx, c.packed, node, encodingGzip)
	if err != nil {
		return nil, err
	}
	return &Copy{packed: body}, nil
}

func fetch(ctx context.Context, client *http.Client, node netip.AddrPort, encoding string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+node.String()+Path, nil)
	if err != nil {
		return nil, err
	}
	if encoding != "" {
		req.Header.Set("Accept-Encoding", encoding)
	}
	answer, err := transfer.Do(client, req, limits)
	if err != nil {
		return nil, err
	}
	if answer.Status != http.StatusOK {
		return nil, errors.Errorf("answered %d", answer.Status)
	}
	if len(answer.Body) == 0 {
		return nil, errors.New("answered nothing")
	}
	return answer.Body, nil
}

// Handler serves a node's present copy, nil while it has none.
func Handler(present func() *Copy, log *zap.Logger) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+Path, func(w http.ResponseWriter, r *http.Request) {
		c := present()
		if c == nil {
			http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
			return
		}
		body := c.raw
		switch {
		case strings.Contains(r.Header.Get("Accept-Encoding"), encodingGzip):
			w.Header().Set("Content-Encoding", encodingGzip)
			body = c.Packed()
		case body == nil:
			http.Error(w, "only compressed", http.StatusNotAcceptable)
			return
		}
		w.Header().Set("Content-Type", "application/octet-stream")
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		// Several may ask at once, and this VM's link may be a small one: the server's bound
		// on the whole answer would cut off the last of them.
		if err := transfer.Write(w, body, peerSilence); err != nil {
			log.Info("configuration not given", zap.String(telemetry.FieldPeer, r.RemoteAddr), zap.Error(err))
		}
	})
	return mux
}
