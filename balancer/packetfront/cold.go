package packetfront

import (
	"time"

	"github.com/poppywall/poppywall/fleet"
)

// coldLimitReached tells whether a cold target bears no new flow of this balancer at the moment:
// its agent would pass it on. What the target bears is what it announced and what it
// bears anew since; each balancer sends its share of that.
func (c *Core) coldLimitReached(now time.Time, h *fleet.Target) bool {
	if !h.Cold {
		return false
	}
	anew := c.operator.Config().ColdRates[h.Service] * now.Sub(h.LastSeen).Seconds()
	share := (float64(h.Headroom) + anew) / float64(c.view.BalancerCount()+1)
	return float64(h.FlowsSent) >= share
}
