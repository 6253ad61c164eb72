package packetfront

import (
	"time"

	"github.com/poppywall/poppywall/backlog/coldstart"
)

// cold bounds what the target gets while it is cold.
type cold struct {
	window coldstart.Window
	// rate is what the service's targets bear while they are cold, as the last opening
	// packet's balancer had it; zero for no bound.
	rate float64
	// suspectedAt is when something was heard last after which the target may be cold
	// although it has not said so.
	suspectedAt time.Time
}

// isCold tells whether the target has to be taken for cold: it says so, or has not
// reported since it came up, since its zone was emptied or taken back, or since it did
// not hold a flow that was open there: it may have started meanwhile without a word.
func (c *Core) isCold(now time.Time) bool {
	t := &c.target
	unreported := t.heartbeatAt.IsZero() || t.heartbeatAt.Before(t.upSince) || t.heartbeatAt.Before(c.cold.suspectedAt)
	return unreported || t.warmup(now) > 0
}

// coldHeadroom is how many new flows the target may get now, as far as its being cold
// bounds them, and false where it does not.
func (c *Core) coldHeadroom(now time.Time) (int, bool) {
	if c.cold.rate <= 0 || !c.isCold(now) {
		return 0, false
	}
	return c.cold.window.Headroom(now, c.cold.rate), true
}

// tooCold tells whether the target may not get a new flow now because it is cold.
func (c *Core) tooCold(now time.Time) bool {
	c.cold.rate = c.env.ColdRate
	room, bound := c.coldHeadroom(now)
	return bound && room == 0
}
