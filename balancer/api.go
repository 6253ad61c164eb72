package balancer

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/poppywall/poppywall/catalog"
	"github.com/poppywall/poppywall/control"
	"github.com/poppywall/poppywall/directory"
)

func (b *Balancer) registerHandlers() {
	b.server.Register(control.MethodHeartbeat, control.Handle(b.handleHeartbeat))
	b.server.Register(control.MethodExchange, control.Handle(b.handleExchange))
	b.server.Register(control.MethodPush, control.Handle(b.handlePush))
	b.server.Register(control.MethodDigest, control.Handle(b.handleDigest))
	b.server.Register(control.MethodEntries, control.Handle(b.handleEntries))
	b.server.Register(control.MethodSync, control.Handle(b.handleSync))
	b.server.Register(control.MethodStatus, control.Handle(b.handleStatus))
}

// handleHeartbeat handles a heartbeat of an agent that uses this balancer as a
// registrar.
func (b *Balancer) handleHeartbeat(_ context.Context, req control.HeartbeatRequest) (control.HeartbeatReply, error) {
	now := time.Now()
	b.view.mu.Lock()
	defer b.view.mu.Unlock()
	if req.Entry != nil {
		b.view.dir.Merge(now, []directory.Entry{*req.Entry})
		b.applyDirectory(now)
	}
	reply := control.HeartbeatReply{
		HeartbeatReply: b.view.dir.Heartbeat(now, directory.Heartbeat{
			Key:         req.Data,
			Incarnation: req.Incarnation,
			Sequence:    req.Sequence,
			Period:      time.Duration(req.PeriodMillis) * time.Millisecond,
		}),
		Update: b.view.catalog.Since(req.Revision, func(r *catalog.Record) bool { return r.ForHost(req.Host) }),
	}
	if req.Final {
		b.view.dir.Deregister(req.Data)
		return reply, nil
	}
	registrars := directory.Registrars(req.Data.String(), req.Zone, b.view.dir.Balancers(), control.RegistrarsPerHost)
	if control.RegistrarHash(registrars) != req.Registrars {
		reply.Registrars = registrars
	}
	return reply, nil
}

func (b *Balancer) handleExchange(_ context.Context, req control.ExchangeRequest) (control.ExchangeReply, error) {
	changed, _ := b.merge(req.GossipUpdates, nil)
	b.view.mu.Lock()
	defer b.view.mu.Unlock()
	// This balancer's own entry is always included, as a requester that joins
	// through a seed may have only its address.
	updates := append(b.view.dir.PendingUpdates(req.GossipUpdates), b.view.dir.Self())
	return control.ExchangeReply{
		GossipUpdates:   updates,
		Root:            b.view.dir.Root(),
		Revision:        b.view.catalog.Revision(),
		AcceptedIndexes: changed,
		Update:          b.view.catalog.Since(req.Revision, catalog.KeepAll),
	}, nil
}

func (b *Balancer) handlePush(_ context.Context, req control.PushRequest) (control.PushReply, error) {
	b.merge(nil, &req.Update)
	return control.PushReply{Revision: b.receivedRevision()}, nil
}

func (b *Balancer) handleDigest(_ context.Context, req control.DigestRequest) (control.DigestReply, error) {
	b.view.mu.Lock()
	defer b.view.mu.Unlock()
	branches := b.view.dir.DiffBranches(req.Branches, maxRepairBranches)
	return control.DigestReply{Branches: branches, Leaves: b.view.dir.Leaves(branches)}, nil
}

func (b *Balancer) handleEntries(_ context.Context, req control.EntriesRequest) (control.EntriesReply, error) {
	if len(req.Entries) > control.MaxEntriesPerCall {
		return control.EntriesReply{}, errors.Errorf("more than %d entries", control.MaxEntriesPerCall)
	}
	b.view.mu.Lock()
	reply := control.EntriesReply{Entries: b.view.dir.EntriesInLeaves(req.Leaves, control.MaxEntriesPerCall)}
	b.view.mu.Unlock()
	b.merge(req.Entries, nil)
	return reply, nil
}

func (b *Balancer) handleSync(_ context.Context, req control.SyncRequest) (control.SyncReply, error) {
	return control.SyncReply{Update: b.updateSince(req.Revision, catalog.KeepAll)}, nil
}

func (b *Balancer) handleStatus(_ context.Context, req control.StatusRequest) (control.StatusReply, error) {
	b.view.mu.Lock()
	defer b.view.mu.Unlock()
	reply := control.StatusReply{
		Self:      b.view.dir.Self(),
		Revision:  b.view.catalog.InForce(),
		Feeder:    b.view.feeder,
		Leaving:   b.leaving.started(),
		Balancers: b.view.dir.Balancers(),
		Services:  b.serviceStatus(),
	}
	if req.Entries {
		reply.Entries = b.view.dir.All()
	}
	return reply, nil
}

// serviceStatus returns the hosts and slots of each service, by name. The caller
// holds view.mu.
func (b *Balancer) serviceStatus() []control.ServiceStatus {
	var out []control.ServiceStatus
	for id, s := range b.view.catalog.Services() {
		st := control.ServiceStatus{Name: s.Name, ID: id, Address: s.Address}
		for _, h := range b.view.dir.Hosts(id) {
			st.Hosts++
			st.Slots += int(h.Slots)
		}
		out = append(out, st)
	}
	slices.SortFunc(out, func(a, c control.ServiceStatus) int { return strings.Compare(a.Name, c.Name) })
	return out
}

// Slots returns the number of ready slots of each service in this balancer's
// directory.
func (b *Balancer) Slots() map[string]int {
	b.view.mu.Lock()
	defer b.view.mu.Unlock()
	out := map[string]int{}
	for _, s := range b.serviceStatus() {
		out[s.Name] = s.Slots
	}
	return out
}
