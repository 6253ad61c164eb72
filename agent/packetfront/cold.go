package packetfront

import (
	"time"

	"github.com/poppywall/poppywall/backlog/coldstart"
)

// cold limits the new flows of a cold target.
type cold struct {
	window coldstart.Window
	// rate is the request rate, per second, that a cold target of the service can sustain,
	// as stated in the envelope of the last SYN; zero for no limit.
	rate float64
	// suspectedAt is the time of the last event after which the target may be cold without
	// having reported it.
	suspectedAt time.Time
}

// isCold reports whether the target counts as cold: it reports a warm-up, or it has sent no
// heartbeat since it came up, since the evacuation of its zone began or ended (assumed when the
// agent first receives the evacuated zones), or since it bounced a packet of an open flow or an
// unknown incarnation reported. In the latter cases it may have restarted unnoticed.
func (c *Core) isCold(now time.Time) bool {
	t := &c.target
	unreported := t.heartbeatAt.IsZero() || t.heartbeatAt.Before(t.upSince) || t.heartbeatAt.Before(c.cold.suspectedAt)
	return unreported || t.warmup(now) > 0
}

// coldHeadroom returns how many new flows the cold target may get now, and false if there is
// no limit because it is warm or its service has no cold rate.
func (c *Core) coldHeadroom(now time.Time) (int, bool) {
	if c.cold.rate <= 0 || !c.isCold(now) {
		return 0, false
	}
	return c.cold.window.Headroom(now, c.cold.rate), true
}

// coldLimitReached reports whether the target is cold and may not get another new flow now.
func (c *Core) coldLimitReached(now time.Time) bool {
	c.cold.rate = c.env.ColdRate
	headroom, limited := c.coldHeadroom(now)
	return limited && headroom == 0
}
