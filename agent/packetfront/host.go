package packetfront

import (
	"time"

	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
)

// host is what an agent knows of the host beside it.
type host struct {
	// life is the host's, without an ID until it reports; sequence is that of its last
	// heartbeat.
	life     fleet.Life
	sequence uint64
	// lifetimes are the lives before it.
	lifetimes lifetimes
	// beat is the last heartbeat, beatAt when it came.
	beat   fleet.Heartbeat
	beatAt time.Time
	// up is set by a heartbeat, a packet or a connection that was accepted, and
	// cleared by one that was refused.
	up bool
	// left is when the host said its last word.
	left time.Time
	// killed is set once the flows of a host that has ended were ended too.
	killed bool
	// sawDown is set when a probe was refused before the host came up, sawStart
	// when the agent was there before the present host took its first flow.
	sawDown, sawStart bool
	// sawEnd is set when a probe was refused since the host reported last.
	sawEnd bool
	// upSince is when the host was found to be there, downSince when a probe was
	// refused first since it was there last; zero when that does not apply.
	upSince, downSince time.Time
	// owesSince is when the oldest packet was delivered since the host was heard.
	owesSince time.Time
	// probedAt is when the host was probed last, acceptedAt when it accepted a
	// connection.
	probedAt, acceptedAt time.Time
}

// state returns what the host can do.
func (h *host) state() fleet.State {
	switch {
	case !h.left.IsZero():
		return fleet.Gone
	case !h.up:
		return fleet.Absent
	case h.beat.Draining:
		return fleet.Draining
	default:
		return fleet.Ready
	}
}

// holdsNothing tells that no host runs here for certain: it has ended, or a
// connection was refused.
func (h *host) holdsNothing() bool { return h.killed || (h.sawDown && !h.up) }

// takesNew tells whether the host may get new flows.
func (h *host) takesNew() bool { return h.state() == fleet.Ready }

func (h *host) slots() int {
	if h.beat.Slots <= 0 {
		return assumedSlots
	}
	return h.beat.Slots
}

// warmup is how long the host stays slow from now on.
func (h *host) warmup(now time.Time) time.Duration {
	return max(h.beat.WarmupLeft-now.Sub(h.beatAt), 0)
}

// owes notes a packet that the host will answer.
func (h *host) owes(now time.Time) {
	if h.owesSince.IsZero() {
		h.owesSince = now
	}
}

// heard notes a sign of life.
func (c *Core) heard(now time.Time) {
	c.host.owesSince = time.Time{}
	if c.host.left.IsZero() {
		c.cameUp(now)
	}
}

// cameUp notes that the host is there.
func (c *Core) cameUp(now time.Time) {
	h := &c.host
	if !h.up {
		h.upSince = now
		if proof := c.health.startedAgain(now); proof > 0 {
			c.events.Unproven(c.health.ends, proof)
		}
	}
	h.up, h.killed, h.downSince = true, false, time.Time{}
}

// Heartbeat takes a report of the host and tells whether it is that of the present
// one. When it returns, a draining host gets no further new flow.
func (c *Core) Heartbeat(now time.Time, b fleet.Heartbeat) bool {
	h := &c.host
	switch h.judge(now, b, c.opts.HeartbeatPeriod) {
	case lateBeat:
		c.events.HostReport("late heartbeat ignored", b)
		return false
	case firstBeat:
		c.newHost(b)
	}
	changed := h.beat.Draining != b.Draining
	h.sequence, h.beat, h.beatAt, h.sawEnd = b.Sequence, b, now, false
	if !h.left.IsZero() && now.Sub(h.left) > leaveGrace {
		// The farewell was that of a life before this one, under the same ID.
		h.left = time.Time{}
		c.events.HostReport("host has not left", b)
	}
	if !h.up || changed {
		c.events.HostReport("host state", b)
	}
	c.heard(now)
	c.learned(now)
	c.announceChange(now)
	return true
}

// newHost notes that another host runs here, or the same one in another life. Flows
// of the one before are not ended here, for some of those known may be of the new one
// already: the host bounces what it does not hold. The agent saw the new one start
// only if it saw the one before end.
func (c *Core) newHost(b fleet.Heartbeat) {
	h := &c.host
	sawStart := h.sawEnd || !h.left.IsZero() || (h.life.HostID == "" && h.sawDown)
	h.lifetimes.retire(h.life)
	h.lifetimes.claimant = fleet.Life{}
	*h = host{life: b.Life, lifetimes: h.lifetimes, up: h.up, upSince: h.upSince, sawDown: sawStart, sawStart: sawStart, probedAt: h.probedAt, acceptedAt: h.acceptedAt}
	c.events.HostReport("host found", b)
}

// Leave takes the last word of a host. One that does not say which life it ends is
// taken for the present one's.
func (c *Core) Leave(now time.Time, l fleet.Life) {
	h := &c.host
	if l.HostID != h.life.HostID || (l.Born != 0 && l.Born != h.life.Born) || !h.left.IsZero() {
		c.events.HostReport("late farewell ignored", fleet.Heartbeat{Life: l})
		return
	}
	h.left = now
	c.events.HostReport("host left", h.beat)
	c.announceChange(now)
}

// endedTime is how long a host has to be away before its agent's entry in the
// registry goes if it was there for less: one that goes down and up by turns costs
// no writes. The end of any other host is told at once, for balancers that start
// just then wait for every agent on the list.
const endedTime = 2 * time.Second

// startTime is how long after its own start an agent waits for a host that does not
// listen before it takes the entry of an earlier process away: VMs start their agent
// and their host within a tenth of a second of each other.
const startTime = 300 * time.Millisecond

// HostEnded tells whether the host has ended for certain, so that no flow can be
// open here.
func (c *Core) HostEnded() bool { return !c.host.left.IsZero() || c.host.holdsNothing() }

// TakesLeave tells whether the agent, which is about to stop, has to take its entry out
// of the registry: its host has ended.
func (c *Core) TakesLeave() bool {
	if !c.HostEnded() || c.listing == fleet.ListingTakenAway {
		return false
	}
	c.wanted = fleet.PresenceEnded
	return true
}

// Presence tells what the agent's entry in the registry is to show: it is there
// while the host may live.
func (c *Core) Presence(now time.Time) fleet.Presence {
	h, wanted := &c.host, fleet.PresenceUnknown
	switch {
	case h.up && h.left.IsZero():
		wanted = fleet.PresenceHere
	case h.holdsNothing() && h.stayedAway(now):
		wanted = fleet.PresenceEnded
	}
	if wanted != fleet.PresenceUnknown && wanted != c.wanted {
		// Until the store has answered its answer may be either.
		c.wanted, c.listing = wanted, fleet.ListingUnknown
	}
	return wanted
}

// stayedAway tells whether a host that has ended is not expected back at once: it
// has said farewell, was there for long before, or has been away for long. One that
// this process has never seen may be about to start.
func (h *host) stayedAway(now time.Time) bool {
	away := now.Sub(h.downSince)
	if h.upSince.IsZero() {
		return away > startTime
	}
	return !h.left.IsZero() || h.downSince.Sub(h.upSince) > endedTime || away > endedTime
}

// listens tells whether the host accepted a connection a moment ago: one that has
// said farewell is probed several times within that time.
func (h *host) listens(now time.Time) bool { return now.Sub(h.acceptedAt) <= leaveGrace/2 }

// kill ends all flows of a host that has ended: each client is told at once.
func (c *Core) kill(now time.Time, reason string) {
	if c.host.killed {
		return
	}
	c.host.killed = true
	c.held.Clear()
	c.flows.kill(now, func(key flow.Key, r *record) {
		c.events.Reset(key, reason)
		c.port.Reset(key, r.clientAck)
	})
}

// WantsProbe tells whether the host should be probed by a connection: it is not
// known to be up, its heartbeats fail to come, it owes answers, or it has said
// farewell and its end was not seen yet.
func (c *Core) WantsProbe(now time.Time) bool {
	h := &c.host
	if !h.left.IsZero() {
		return !h.killed
	}
	if !h.up {
		return true
	}
	if now.Sub(h.probedAt) < silenceProbe {
		return false
	}
	silent := !h.owesSince.IsZero() && now.Sub(h.owesSince) > silenceProbe
	missed := time.Duration(missedHeartbeats * float64(c.opts.HeartbeatPeriod))
	return silent || (h.life.HostID != "" && now.Sub(h.beatAt) > missed && now.Sub(h.probedAt) > c.opts.HeartbeatPeriod)
}

// Probe is the outcome of a connection to the host.
type Probe uint8

// The outcomes.
const (
	// ProbeAccepted: something listens.
	ProbeAccepted Probe = iota
	// ProbeRefused: nothing listens; a host that lives always does.
	ProbeRefused
	// ProbeSilent: no answer, which proves nothing.
	ProbeSilent
)

// Probed takes the outcome of a probe.
func (c *Core) Probed(now time.Time, p Probe) {
	h := &c.host
	h.probedAt = now
	if p == ProbeAccepted {
		h.acceptedAt = now
	}
	defer c.learned(now)
	switch {
	case p == ProbeAccepted && !h.up:
		c.cameUp(now)
		h.beat = fleet.Heartbeat{Slots: h.beat.Slots}
		h.sawStart = h.sawDown
		c.events.HostReport("host listens", h.beat)
		c.announceChange(now)
	case p == ProbeAccepted:
		h.owesSince = time.Time{}
	case p == ProbeRefused:
		c.refused(now)
	}
}

// refused notes that no host listens.
func (c *Core) refused(now time.Time) {
	h := &c.host
	h.sawDown = true
	if h.downSince.IsZero() {
		h.downSince = now
	}
	if !h.up {
		return
	}
	if h.left.IsZero() {
		c.health.endedUnplanned(now)
	}
	h.up, h.owesSince = false, time.Time{}
	h.sawEnd = true
	c.events.HostReport("host does not listen", h.beat)
	c.kill(now, "its host has ended")
	c.announceChange(now)
}
