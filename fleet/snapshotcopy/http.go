package snapshotcopy

import (
	"context"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/telemetry"
	"github.com/poppywall/poppywall/transfer"
)

const (
	// Path is the path at which balancers serve their snapshots.
	Path = "/registry/agents"
	// headerKnownChecksum is the header with the checksum of the entries that the requester
	// has, in hexadecimal.
	headerKnownChecksum = "Poppywall-Has"
	checksumBase        = 16

	// snapshotWait limits the time for which a balancer waits for its own read before it
	// responds: the store answers each page in milliseconds.
	snapshotWait = 250 * time.Millisecond
	// beginTimeout limits the time until the response begins, stallTimeout the pauses within
	// it.
	beginTimeout = snapshotWait + 150*time.Millisecond
	stallTimeout = 900 * time.Millisecond
)

// Handler serves the snapshots of a reader.
func Handler(r *Reader, log *zap.Logger) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+Path, func(w http.ResponseWriter, req *http.Request) {
		ctx, cancel := context.WithTimeout(req.Context(), snapshotWait)
		defer cancel()
		snapshot, err := r.Get(ctx)
		switch {
		case errors.Is(err, ErrPending):
			w.WriteHeader(http.StatusAccepted)
			return
		case err != nil:
			http.Error(w, "registry not read", http.StatusServiceUnavailable)
			return
		}
		// Without a valid checksum no entries count as known.
		knownChecksum, _ := strconv.ParseUint(req.Header.Get(headerKnownChecksum), checksumBase, 64)
		body := encode(time.Now(), snapshot, knownChecksum)
		w.Header().Set("Content-Type", "application/octet-stream")
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		if err := transfer.Write(w, body, stallTimeout); err != nil {
			log.Info("registry snapshot not sent", zap.String(telemetry.FieldPeer, req.RemoteAddr), zap.Error(err))
		}
	})
	return mux
}

// Client fetches snapshots from other balancers. It is not safe for concurrent use.
type Client struct {
	http *http.Client
	// known are the entries of the last snapshot that was received.
	known []fleet.Entry
}

// NewClient returns a client. It opens a connection for each call: calls are rare, and a
// connection from an earlier one may be dead without notice.
func NewClient() *Client {
	return &Client{http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}}
}

// Fetch requests a balancer's snapshot. It returns ErrPending if that balancer is still
// reading the registry.
func (c *Client) Fetch(ctx context.Context, node netip.AddrPort) (fleet.Snapshot, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+node.String()+Path, nil)
	if err != nil {
		return fleet.Snapshot{}, err
	}
	if len(c.known) > 0 {
		req.Header.Set(headerKnownChecksum, strconv.FormatUint(checksum(c.known), checksumBase))
	}
	requestedAt := time.Now()
	response, err := transfer.Do(c.http, req, transfer.Limits{HeaderTimeout: beginTimeout, StallTimeout: stallTimeout, MaxBody: maxLen})
	switch {
	case err != nil:
		return fleet.Snapshot{}, err
	case response.Status == http.StatusAccepted:
		return fleet.Snapshot{}, ErrPending
	case response.Status != http.StatusOK:
		return fleet.Snapshot{}, errors.Errorf("unexpected response status %d", response.Status)
	}
	snapshot, err := decode(requestedAt, time.Now(), response.Body, c.known)
	if err != nil {
		return fleet.Snapshot{}, err
	}
	c.known = snapshot.Agents
	return snapshot, nil
}
