package packetfront

import (
	"time"

	"github.com/poppywall/poppywall/balancer/operator"
	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
)

// Operator returns the operator's state; an operator.Source keeps it up to date.
func (c *Core) Operator() *operator.State { return c.operator }

// SetConfig puts a configuration in force if it is newer than the current one, and reports
// whether it was.
func (c *Core) SetConfig(now time.Time, next *flow.Config) bool {
	return c.operator.SetConfig(now, next)
}

// ConfigVersion returns the version in force, zero before the first.
func (c *Core) ConfigVersion() int64 { return c.operator.ConfigVersion() }

// MustFeed reports whether this balancer has to watch the store.
func (c *Core) MustFeed(now time.Time) bool { return c.operator.MustFeed(now) }

// Evacuations returns the evacuated zones in force.
func (c *Core) Evacuations() flow.Evacuations { return c.operator.Evacuations() }

// SetEvacuations puts the store's evacuations in force if they are newer than the current ones.
func (c *Core) SetEvacuations(now time.Time, next flow.Evacuations) {
	c.operator.SetEvacuations(now, next, operator.FromStore)
}

// listener implements operator.Listener for a core.
type listener struct{ *Core }

// ConfigChanged implements operator.Listener: it sends beacons with the new version to the other
// balancers at once.
func (c listener) ConfigChanged(now time.Time) { c.sendBeacons(now, c.view.Balancers()) }

// EvacuationsChanged implements operator.Listener. Every balancer that applies a change sends it
// to the other balancers at once. Those that have it from the store also send it to the agents of
// the zones that have changed. All other agents receive it with the next periodic beacons.
func (c listener) EvacuationsChanged(now time.Time, next, previous flow.Evacuations, from operator.Origin) {
	c.events.EvacuationsChanged(next, previous, from.String())
	c.sendBeacons(now, c.view.Balancers())
	if from != operator.FromStore {
		return
	}
	for _, ip := range c.view.Targets() {
		if t, _ := c.view.Target(ip); next.Has(t.Zone) != previous.Has(t.Zone) {
			c.sendBeacon(now, ip, fleet.Beacon{})
		}
	}
}
