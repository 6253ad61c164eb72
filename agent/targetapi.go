package agent

import (
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/poppywall/poppywall/catalog"
	"github.com/poppywall/poppywall/directory"
)

// announceAPI returns the HTTP handler at which local targets announce
// themselves.
func (a *Agent) announceAPI() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/targets/{name}", a.putTarget)
	mux.HandleFunc("DELETE /v1/targets/{name}", a.deleteTarget)
	mux.HandleFunc("GET /v1/targets", a.listTargets)
	return mux
}

func (a *Agent) putTarget(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	if len(name) > directory.MaxNameLen {
		http.Error(w, "target name is too long", http.StatusBadRequest)
		return
	}
	var ann Announcement
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncementLen))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&ann); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	a.state.mu.Lock()
	changed, err := a.state.registry.put(time.Now(), name, ann)
	a.state.mu.Unlock()
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if changed {
		a.reconcile()
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(announceReply{TTLMillis: a.cfg.TargetTTL.D().Milliseconds()})
}

// announceReply is the response to an announcement.
type announceReply struct {
	// TTLMillis is the time in milliseconds after which the target is removed
	// unless it announces itself again.
	TTLMillis int64 `json:"ttlMillis"`
}

func (a *Agent) deleteTarget(w http.ResponseWriter, r *http.Request) {
	a.state.mu.Lock()
	known := a.state.registry.remove(r.PathValue("name"))
	a.state.mu.Unlock()
	if known {
		a.reconcile()
	}
	w.WriteHeader(http.StatusNoContent)
}

// targetStatus is a target in the list that GET /v1/targets returns.
type targetStatus struct {
	Name     string         `json:"name"`
	Labels   catalog.Labels `json:"labels"`
	Draining bool           `json:"draining"`
	Ready    bool           `json:"ready"`
	Requests int            `json:"requests"`
	Streams  int            `json:"streams"`
}

func (a *Agent) listTargets(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(a.targetStatus())
}

func (a *Agent) targetStatus() []targetStatus {
	a.state.mu.Lock()
	defer a.state.mu.Unlock()
	out := []targetStatus{}
	for name, t := range a.state.registry.targets {
		effective := a.state.catalog.Target(a.cfg.Host, name, t.Labels)
		st := targetStatus{Name: name, Labels: effective.Labels, Draining: effective.Drain || t.Draining}
		st.Ready = a.state.plan.targets[name].spec.Ready
		st.Requests, st.Streams = a.gate.inProgress(name)
		out = append(out, st)
	}
	slices.SortFunc(out, func(x, y targetStatus) int {
		if x.Name < y.Name {
			return -1
		}
		return 1
	})
	return out
}

func (a *Agent) listenAnnounce() (net.Listener, error) {
	ap, err := netip.ParseAddrPort(a.cfg.Announce)
	if err != nil || !ap.Addr().IsLoopback() {
		return nil, errors.New("field \"announce\": not a loopback address")
	}
	return net.Listen("tcp4", a.cfg.Announce)
}
