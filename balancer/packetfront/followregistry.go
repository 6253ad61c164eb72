package packetfront

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/fleet/registry"
	"github.com/poppywall/poppywall/telemetry"
	"github.com/poppywall/poppywall/worker"
)

// followRegistry reads the registry when the core wants to know the agents, and
// when the balancer is alone. It starts at once: the registry names the agents
// before any of them is heard. It has a loop of its own, for a store that does
// not answer holds it up.
func (f *Front) followRegistry(ctx context.Context) error {
	look := func() {
		if f.lone() {
			f.readRegistry(ctx)
		}
		f.surveyAgents(ctx)
		f.keepRegistry(ctx)
	}
	look()
	return worker.Every(ctx, tickPeriod, look)
}

// lone tells that no other node has been known for a while.
func (f *Front) lone() (due bool) {
	f.locked(func(now time.Time) {
		due = f.alone.Due(now, f.core.view.BalancerCount()+f.core.view.TargetCount() == 0)
	})
	return due
}

func (f *Front) readRegistry(ctx context.Context) {
	balancers, ok := f.list(ctx, fleet.RoleBalancer)
	if !ok {
		return
	}
	f.locked(func(now time.Time) { f.core.Greet(now, fleet.Addresses(balancers), nil) })
}

// surveyAgents reads which agents are registered when the core wants to know.
func (f *Front) surveyAgents(ctx context.Context) {
	wanted, began := false, time.Time{}
	f.locked(func(now time.Time) { wanted, began = f.core.WantsSurvey(now), now })
	if !wanted {
		return
	}
	agents, ok := f.list(ctx, fleet.RoleAgent)
	if !ok {
		return
	}
	f.locked(func(now time.Time) { f.core.Surveyed(now, began, agents) })
}

// list reads the entries of a role.
func (f *Front) list(ctx context.Context, role fleet.Role) ([]fleet.Entry, bool) {
	entries, passed, err := registry.List(ctx, f.store, role)
	if err != nil {
		f.log.Warn("registry not read", zap.String("role", string(role)), zap.Error(err))
	}
	if passed > 0 {
		f.foreign.Add(float64(passed))
		f.log.Warn("invalid registry entries", zap.String("role", string(role)), zap.Int("entries", passed))
	}
	return entries, err == nil
}

// takeOut takes dead nodes out of the registry; what is left when the store fails
// waits for it.
func (f *Front) takeOut(ctx context.Context, departed []Departed) {
	for i, d := range departed {
		err := registry.Remove(ctx, f.store, d.Role, d.Entry)
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
	balancers, ok := f.list(ctx, fleet.RoleBalancer)
	agents, ok2 := f.list(ctx, fleet.RoleAgent)
	if ok && ok2 {
		f.locked(func(now time.Time) { f.core.Roster(now, began, balancers, agents) })
	}
}
