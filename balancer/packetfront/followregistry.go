package packetfront

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/poppywall/poppywall/balancer/search"
	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/fleet/registry"
	"github.com/poppywall/poppywall/fleet/surveycopy"
	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/telemetry"
	"github.com/poppywall/poppywall/worker"
)

// followRegistry reads the registry when the core wants to know the agents, and
// when the balancer is alone. It has a loop of its own, for a store that does
// not answer holds it up.
func (f *Front) followRegistry(ctx context.Context) error {
	worker.Sleep(ctx, search.BufferRetryInterval)
	f.findTargets(ctx)
	return worker.Every(ctx, tickPeriod, func() {
		f.register()
		if f.isolated() {
			f.findBalancers(ctx)
		}
		f.refreshSnapshot(ctx)
		f.cleanRegistry(ctx)
	})
}

// register has the balancer named in the registry where that is needed.
func (f *Front) register() {
	wanted := false
	f.locked(func(now time.Time) { wanted = f.core.MustRegister(now) })
	if wanted {
		f.entry.SetPresence(fleet.EntryPresent)
	}
}

// isolated tells that no other node has been known for a while.
func (f *Front) isolated() (due bool) {
	f.locked(func(now time.Time) {
		due = f.isolation.Due(now, f.core.view.BalancerCount()+f.core.view.TargetCount() == 0)
	})
	return due
}

func (f *Front) findBalancers(ctx context.Context) {
	balancers, err := f.list(ctx, fleet.RoleBalancer)
	if err != nil {
		return
	}
	f.locked(func(now time.Time) { f.core.Contact(now, fleet.Addresses(balancers.Entries), nil) })
}

// findTargets reads the first targets of a balancer that has started: all where one call
// names them, otherwise those that come first and those around its own address, whose
// VMs are likely those of its zone.
func (f *Front) findTargets(ctx context.Context) {
	wanted, began := false, time.Time{}
	f.locked(func(now time.Time) { wanted, began = f.core.NeedsTargets(now), now })
	if !wanted {
		return
	}
	page, err := f.page(ctx, 0)
	if err != nil {
		return
	}
	if !page.More {
		f.locked(func(now time.Time) { f.core.TakeSnapshot(now, snapshotOf(began, now, page)) })
		return
	}
	f.locked(func(now time.Time) { f.core.Contact(now, nil, fleet.Addresses(page.Entries)) })
	if page, err = f.page(ctx, f.self); err == nil {
		f.locked(func(now time.Time) { f.core.Contact(now, nil, fleet.Addresses(page.Entries)) })
	}
}

// page reads the agents of one call, those behind an address.
func (f *Front) page(ctx context.Context, behind flow.IPv4) (registry.EntryList, error) {
	page, err := registry.Page(ctx, f.registry, fleet.RoleAgent, behind)
	f.logListing(fleet.RoleAgent, page, err)
	return page, err
}

func snapshotOf(began, ended time.Time, l registry.EntryList) fleet.Snapshot {
	return fleet.Snapshot{Earliest: began, Latest: ended, Revision: l.Revision, Agents: l.Entries}
}

// refreshSnapshot reads which agents are registered when the core wants to know, or has
// another balancer do it.
func (f *Front) refreshSnapshot(ctx context.Context) {
	var ask []flow.IPv4
	wanted := false
	f.locked(func(now time.Time) { ask, wanted = f.core.SnapshotSources(now) })
	if !wanted {
		return
	}
	for _, ip := range ask {
		survey, err := f.snapshotClient.Fetch(ctx, netip.AddrPortFrom(ip.Addr(), f.port))
		switch {
		case err == nil:
			f.recordSnapshot(survey, ip.String())
			return
		case errors.Is(err, surveycopy.ErrPending):
			// It will have read when the core wants to know again.
			f.log.Debug("registry is being read", zap.Stringer(telemetry.FieldPeer, ip))
			f.locked(func(time.Time) { f.core.SnapshotPending() })
			return
		}
		f.log.Info("no reading of the registry from a balancer", zap.Stringer(telemetry.FieldPeer, ip), zap.Error(err))
		f.locked(func(now time.Time) { f.core.SnapshotFailed(now, ip) })
	}
	if survey, err := f.snapshotReader.Get(ctx); err == nil {
		f.recordSnapshot(survey, "store")
	}
}

func (f *Front) recordSnapshot(s fleet.Snapshot, from string) {
	f.locked(func(now time.Time) {
		f.log.Debug("registry read", zap.Int("agents", len(s.Agents)), zap.Int64(telemetry.FieldRevision, s.Revision),
			zap.Duration("age", now.Sub(s.Earliest)), zap.String("from", from))
		f.core.TakeSnapshot(now, s)
	})
}

// readAgents implements surveycopy.Read.
func (f *Front) readAgents(ctx context.Context) ([]fleet.Entry, int64, error) {
	listed, err := f.list(ctx, fleet.RoleAgent)
	return listed.Entries, listed.Revision, err
}

// list reads the entries of a role.
func (f *Front) list(ctx context.Context, role fleet.Role) (registry.EntryList, error) {
	listed, err := registry.List(ctx, f.registry, role)
	f.logListing(role, listed, err)
	return listed, err
}

// logListing logs what is wrong with a reading.
func (f *Front) logListing(role fleet.Role, listed registry.EntryList, err error) {
	if err != nil {
		f.log.Warn("registry not read", zap.String("role", string(role)), zap.Error(err))
	}
	if listed.Skipped > 0 {
		f.invalidEntries.Add(float64(listed.Skipped))
		f.log.Warn("invalid registry entries", zap.String("role", string(role)), zap.Int("entries", listed.Skipped))
	}
}

// removeDeadNodes takes dead nodes out of the registry; what is left when the store fails
// waits for it.
func (f *Front) removeDeadNodes(ctx context.Context, departed []DeadNode) {
	for i, d := range departed {
		err := registry.Remove(ctx, f.registry, d.Role, d.Entry)
		f.log.Info("dead node taken out of the registry", zap.String("role", string(d.Role)),
			zap.Stringer(telemetry.FieldPeer, d.IP), zap.Error(err))
		if err != nil {
			f.locked(func(now time.Time) { f.core.RemovalFailed(now, departed[i:]) })
			return
		}
	}
}

// cleanRegistry takes dead nodes out of the registry where that is this
// balancer's duty.
func (f *Front) cleanRegistry(ctx context.Context) {
	var departed []DeadNode
	wanted, began := false, time.Time{}
	f.locked(func(now time.Time) {
		departed = f.core.DeadNodes(now)
		wanted, began = f.core.AuditDue(now), now
	})
	f.removeDeadNodes(ctx, departed)
	if !wanted {
		return
	}
	balancers, err := f.list(ctx, fleet.RoleBalancer)
	agents, err2 := f.list(ctx, fleet.RoleAgent)
	if err == nil && err2 == nil {
		f.locked(func(now time.Time) { f.core.Audited(now, began, balancers.Entries, snapshotOf(began, now, agents)) })
	}
}
