package surveycopy

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
	// Path is where balancers pass their readings on.
	Path = "/registry/agents"
	// headerHas is the sum of the entries that the asker has, in hexadecimal.
	headerHas = "Poppywall-Has"
	sumBase   = 16

	// readWait is how long a balancer that is asked waits for its own reading: the store
	// answers each page in milliseconds.
	readWait = 250 * time.Millisecond
	// beginTimeout bounds the time until it begins to answer, silence the pauses within its
	// answer.
	beginTimeout = readWait + 150*time.Millisecond
	silence      = 900 * time.Millisecond
)

// Handler passes on what a reader reads.
func Handler(r *Reader, log *zap.Logger) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+Path, func(w http.ResponseWriter, req *http.Request) {
		ctx, cancel := context.WithTimeout(req.Context(), readWait)
		defer cancel()
		survey, err := r.Get(ctx)
		switch {
		case errors.Is(err, ErrPending):
			w.WriteHeader(http.StatusAccepted)
			return
		case err != nil:
			http.Error(w, "registry not read", http.StatusServiceUnavailable)
			return
		}
		// One that names no sum has no entries.
		has, _ := strconv.ParseUint(req.Header.Get(headerHas), sumBase, 64)
		body := encode(time.Now(), survey, has)
		w.Header().Set("Content-Type", "application/octet-stream")
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		if err := transfer.Write(w, body, silence); err != nil {
			log.Info("reading of the registry not given", zap.String(telemetry.FieldPeer, req.RemoteAddr), zap.Error(err))
		}
	})
	return mux
}

// Client fetches readings from other balancers. It is not safe for concurrent use.
type Client struct {
	http *http.Client
	// known are the entries that came last.
	known []fleet.Entry
}

// NewClient returns a client. It opens a connection for each call: calls are rare, and a
// kept connection may have gone silent since.
func NewClient() *Client {
	return &Client{http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}}
}

// Fetch asks a balancer for its reading. The error is ErrPending where it is reading.
func (c *Client) Fetch(ctx context.Context, node netip.AddrPort) (fleet.Survey, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+node.String()+Path, nil)
	if err != nil {
		return fleet.Survey{}, err
	}
	if len(c.known) > 0 {
		req.Header.Set(headerHas, strconv.FormatUint(sum(c.known), sumBase))
	}
	asked := time.Now()
	answer, err := transfer.Do(c.http, req, transfer.Limits{Begin: beginTimeout, Silence: silence, Most: most})
	switch {
	case err != nil:
		return fleet.Survey{}, err
	case answer.Status == http.StatusAccepted:
		return fleet.Survey{}, ErrPending
	case answer.Status != http.StatusOK:
		return fleet.Survey{}, errors.Errorf("answered %d", answer.Status)
	}
	survey, err := decode(asked, time.Now(), answer.Body, c.known)
	if err != nil {
		return fleet.Survey{}, err
	}
	c.known = survey.Agents
	return survey, nil
}
