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
	"github.com/poppywall/poppywall/fleet/snapshotcopy"
	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/telemetry"
	"github.com/poppywall/poppywall/worker"
)

// followRegistry reads the registry when the core needs the agents, and when the balancer
// knows no other node. It runs in a loop of its own because a store that does not answer
// blocks it.
func (f *Front) followRegistry(ctx context.Context) error {
	worker.Sleep(ctx, search.BufferRetryInterval)
	f.findTargets(ctx)
	return worker.Every(ctx, tickPeriod, func() {
		f.register()
		if f.registryReadDue() {
			f.findBalancers(ctx)
		}
		f.refreshSnapshot(ctx)
		f.cleanRegistry(ctx)
	})
}

// register requests a registry entry for the balancer if it needs one.
func (f *Front) register() {
	wanted := false
	f.locked(func(now time.Time) { wanted = f.core.MustRegister(now) })
	if wanted {
		f.entry.SetEntryState(fleet.EntryPresent)
	}
}

// registryReadDue reports whether to read the balancers from the registry, because no other node
// has been known for some time.
func (f *Front) registryReadDue() (due bool) {
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

// findTargets reads the first targets after the start from the registry: all if they fit in
// one page, otherwise the first page and the page after the balancer's own address, whose VMs
// are likely in the same zone.
func (f *Front) findTargets(ctx context.Context) {
	needed, start := false, time.Time{}
	f.locked(func(now time.Time) { needed, start = f.core.NeedsTargets(now), now })
	if !needed {
		return
	}
	page, err := f.page(ctx, 0)
	if err != nil {
		return
	}
	if !page.More {
		f.locked(func(now time.Time) { f.core.TakeSnapshot(now, snapshotOf(start, now, page)) })
		return
	}
	f.locked(func(now time.Time) { f.core.Contact(now, nil, fleet.Addresses(page.Entries)) })
	if page, err = f.page(ctx, f.self); err == nil {
		f.locked(func(now time.Time) { f.core.Contact(now, nil, fleet.Addresses(page.Entries)) })
	}
}

// page reads one page of the agents' registry, which starts after the given address.
func (f *Front) page(ctx context.Context, after flow.IPv4) (registry.EntryList, error) {
	page, err := registry.Page(ctx, f.registry, fleet.RoleAgent, after)
	f.logRegistryRead(fleet.RoleAgent, page, err)
	return page, err
}

func snapshotOf(start, end time.Time, l registry.EntryList) fleet.Snapshot {
	return fleet.Snapshot{Earliest: start, Latest: end, Revision: l.Revision, Agents: l.Entries}
}

// refreshSnapshot gets a snapshot of the agents' registry if one is due, from another balancer
// or else from the store.
func (f *Front) refreshSnapshot(ctx context.Context) {
	var sources []flow.IPv4
	due := false
	f.locked(func(now time.Time) { sources, due = f.core.SnapshotSources(now) })
	if !due {
		return
	}
	for _, ip := range sources {
		snapshot, err := f.snapshotClient.Fetch(ctx, netip.AddrPortFrom(ip.Addr(), f.port))
		switch {
		case err == nil:
			f.recordSnapshot(snapshot, ip.String())
			return
		case errors.Is(err, snapshotcopy.ErrPending):
			// That read will have ended when the next snapshot is due.
			f.log.Debug("balancer is still reading the registry", zap.Stringer(telemetry.FieldPeer, ip))
			f.locked(func(time.Time) { f.core.SnapshotPending() })
			return
		}
		f.log.Info("fetching the registry snapshot from a balancer failed", zap.Stringer(telemetry.FieldPeer, ip), zap.Error(err))
		f.locked(func(now time.Time) { f.core.SnapshotFailed(now, ip) })
	}
	if snapshot, err := f.snapshotReader.Get(ctx); err == nil {
		f.recordSnapshot(snapshot, "store")
	}
}

func (f *Front) recordSnapshot(s fleet.Snapshot, from string) {
	f.locked(func(now time.Time) {
		f.log.Debug("registry snapshot received", zap.Int("agents", len(s.Agents)), zap.Int64(telemetry.FieldRevision, s.Revision),
			zap.Duration("age", now.Sub(s.Earliest)), zap.String("from", from))
		f.core.TakeSnapshot(now, s)
	})
}

// readAgents implements snapshotcopy.Read.
func (f *Front) readAgents(ctx context.Context) ([]fleet.Entry, int64, error) {
	agents, err := f.list(ctx, fleet.RoleAgent)
	return agents.Entries, agents.Revision, err
}

// list reads all entries of a role.
func (f *Front) list(ctx context.Context, role fleet.Role) (registry.EntryList, error) {
	entries, err := registry.List(ctx, f.registry, role)
	f.logRegistryRead(role, entries, err)
	return entries, err
}

// logRegistryRead logs the error and the invalid entries of a read, if any.
func (f *Front) logRegistryRead(role fleet.Role, entries registry.EntryList, err error) {
	if err != nil {
		f.log.Warn("reading the registry failed", zap.String("role", string(role)), zap.Error(err))
	}
	if entries.Skipped > 0 {
		f.invalidEntries.Add(float64(entries.Skipped))
		f.log.Warn("invalid registry entries", zap.String("role", string(role)), zap.Int("entries", entries.Skipped))
	}
}

// removeDeadNodes removes dead nodes from the registry. If the store fails, the remaining ones
// are queued for another try.
func (f *Front) removeDeadNodes(ctx context.Context, deadNodes []DeadNode) {
	for i, d := range deadNodes {
		err := registry.Remove(ctx, f.registry, d.Role, d.Entry)
		f.log.Info("removing a dead node from the registry", zap.String("role", string(d.Role)),
			zap.Stringer(telemetry.FieldPeer, d.IP), zap.Error(err))
		if err != nil {
			f.locked(func(now time.Time) { f.core.RemovalFailed(now, deadNodes[i:]) })
			return
		}
	}
}

// cleanRegistry removes dead nodes from the registry and audits it, if this balancer is the
// registry reaper.
func (f *Front) cleanRegistry(ctx context.Context) {
	var deadNodes []DeadNode
	auditDue, start := false, time.Time{}
	f.locked(func(now time.Time) {
		deadNodes = f.core.DeadNodes(now)
		auditDue, start = f.core.AuditDue(now), now
	})
	f.removeDeadNodes(ctx, deadNodes)
	if !auditDue {
		return
	}
	balancers, err := f.list(ctx, fleet.RoleBalancer)
	agents, err2 := f.list(ctx, fleet.RoleAgent)
	if err == nil && err2 == nil {
		f.locked(func(now time.Time) { f.core.ApplyAudit(now, start, balancers.Entries, snapshotOf(start, now, agents)) })
	}
}
