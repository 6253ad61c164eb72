package packetfront

import (
	"time"

	"github.com/poppywall/poppywall/fleet"
)

// coldLimitReached reports whether a cold target has no headroom left for new flows of this
// balancer; its agent would pass them on to another target. The headroom is the announced one
// and what the cold rate has added since; each balancer may use an equal share of it.
func (c *Core) coldLimitReached(now time.Time, t *fleet.Target) bool {
	if !t.Cold {
		return false
	}
	replenished := c.operator.Config().ColdRates[t.Service] * now.Sub(t.LastSeen).Seconds()
	share := (float64(t.Headroom) + replenished) / float64(c.view.BalancerCount()+1)
	return float64(t.FlowsSent) >= share
}
