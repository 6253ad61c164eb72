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
	worker.Sleep(ctx, search.ParkPause)
	f.findTargets(ctx)
	return worker.Every(ctx, tickPeriod, func() {
		f.register()
		if f.lone() {
			f.findBalancers(ctx)
		}
		f.surveyAgents(ctx)
		f.keepRegistry(ctx)
	})
}

// register has the balancer named in the registry where that is needed.
func (f *Front) register() {
	wanted := false
	f.locked(func(now time.Time) { wanted = f.core.Registers(now) })
	if wanted {
		f.entry.Want(fleet.PresenceHere)
	}
}

// lone tells that no other node has been known for a while.
func (f *Front) lone() (due bool) {
	f.locked(func(now time.Time) {
		due = f.alone.Due(now, f.core.view.BalancerCount()+f.core.view.TargetCount() == 0)
	})
	return due
}

func (f *Front) findBalancers(ctx context.Context) {
	balancers, err := f.list(ctx, fleet.RoleBalancer)
	if err != nil {
		return
	}
	f.locked(func(now time.Time) { f.core.Greet(now, fleet.Addresses(balancers.Entries), nil) })
}

// findTargets reads the first targets of a balancer that has started: all where one call
// names them, otherwise those that come first and those around its own address, whose
// VMs are likely those of its zone.
func (f *Front) findTargets(ctx context.Context) {
	wanted, began := false, time.Time{}
	f.locked(func(now time.Time) { wanted, began = f.core.WantsTargets(now), now })
	if !wanted {
		return
	}
	page, err := f.page(ctx, 0)
	if err != nil {
		return
	}
	if !page.More {
		f.locked(func(now time.Time) { f.core.Surveyed(now, surveyOf(began, now, page)) })
		return
	}
	f.locked(func(now time.Time) { f.core.Greet(now, nil, fleet.Addresses(page.Entries)) })
	if page, err = f.page(ctx, f.self); err == nil {
		f.locked(func(now time.Time) { f.core.Greet(now, nil, fleet.Addresses(page.Entries)) })
	}
}

// page reads the agents of one call, those behind an address.
func (f *Front) page(ctx context.Context, behind flow.IPv4) (registry.Listed, error) {
	page, err := registry.Page(ctx, f.registry, fleet.RoleAgent, behind)
	f.noteListed(fleet.RoleAgent, page, err)
	return page, err
}

func surveyOf(began, ended time.Time, l registry.Listed) fleet.Survey {
	return fleet.Survey{Earliest: began, Latest: ended, Revision: l.Revision, Agents: l.Entries}
}

// surveyAgents reads which agents are registered when the core wants to know, or has
// another balancer do it.
func (f *Front) surveyAgents(ctx context.Context) {
	var ask []flow.IPv4
	wanted := false
	f.locked(func(now time.Time) { ask, wanted = f.core.SurveyFrom(now) })
	if !wanted {
		return
	}
	for _, ip := range ask {
		survey, err := f.surveyClient.Fetch(ctx, netip.AddrPortFrom(ip.Addr(), f.port))
		switch {
		case err == nil:
			f.surveyed(survey, ip.String())
			return
		case errors.Is(err, surveycopy.ErrPending):
			// It will have read when the core wants to know again.
			f.log.Debug("registry is being read", zap.Stringer(telemetry.FieldPeer, ip))
			f.locked(func(time.Time) { f.core.SurveyPending() })
			return
		}
		f.log.Info("no reading of the registry from a balancer", zap.Stringer(telemetry.FieldPeer, ip), zap.Error(err))
		f.locked(func(now time.Time) { f.core.NotSurveyed(now, ip) })
	}
	if survey, err := f.surveyReader.Get(ctx); err == nil {
		f.surveyed(survey, "store")
	}
}

func (f *Front) surveyed(s fleet.Survey, from string) {
	f.locked(func(now time.Time) {
		f.log.Debug("registry read", zap.Int("agents", len(s.Agents)), zap.Int64(telemetry.FieldRevision, s.Revision),
			zap.Duration("age", now.Sub(s.Earliest)), zap.String("from", from))
		f.core.Surveyed(now, s)
	})
}

// readAgents implements surveycopy.Read.
func (f *Front) readAgents(ctx context.Context) ([]fleet.Entry, int64, error) {
	listed, err := f.list(ctx, fleet.RoleAgent)
	return listed.Entries, listed.Revision, err
}

// list reads the entries of a role.
func (f *Front) list(ctx context.Context, role fleet.Role) (registry.Listed, error) {
	listed, err := registry.List(ctx, f.registry, role)
	f.noteListed(role, listed, err)
	return listed, err
}

// noteListed logs what is wrong with a reading.
func (f *Front) noteListed(role fleet.Role, listed registry.Listed, err error) {
	if err != nil {
		f.log.Warn("registry not read", zap.String("role", string(role)), zap.Error(err))
	}
	if listed.Passed > 0 {
		f.foreign.Add(float64(listed.Passed))
		f.log.Warn("invalid registry entries", zap.String("role", string(role)), zap.Int("entries", listed.Passed))
	}
}

// takeOut takes dead nodes out of the registry; what is left when the store fails
// waits for it.
func (f *Front) takeOut(ctx context.Context, departed []Departed) {
	for i, d := range departed {
		err := registry.Remove(ctx, f.registry, d.Role, d.Entry)
		f.log.Info("dead node taken out of the registry", zap.String("role", string(d.Role)),
			zap.Stringer(telemetry.FieldPeer, d.IP), zap.Error(err))
		if err != nil {
			f.locked(func(now time.Time) { f.core.NotDeparted(now, departed[i:]) })
			return
		}
	}
}

// keepRegistry takes dead nodes out of the registry where that is this
// balancer's duty.
func (f *Front) keepRegistry(ctx context.Context) {
	var departed []Departed
	wanted, began := false, time.Time{}
	f.locked(func(now time.Time) {
		departed = f.core.Departed(now)
		wanted, began = f.core.WantsRoster(now), now
	})
	f.takeOut(ctx, departed)
	if !wanted {
		return
	}
	balancers, err := f.list(ctx, fleet.RoleBalancer)
	agents, err2 := f.list(ctx, fleet.RoleAgent)
	if err == nil && err2 == nil {
		f.locked(func(now time.Time) { f.core.Roster(now, began, balancers.Entries, surveyOf(began, now, agents)) })
	}
}
