package packetfront

import (
	"time"

	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/fleet/zonecast"
	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/flow/envelope"
	"github.com/poppywall/poppywall/telemetry"
)

const (
	// relayFreshness is how recently a balancer must have been seen to be used as a relay: two of
	// the periods in which beacons of other zones reach agents, and one round.
	relayFreshness = 2*zonecast.AgentFlushPeriod + zonecast.RelayPeriod
	// probeBalancersAfter is the time without a message after which a balancer of another zone
	// is probed. After fleet.ExpireAfter it expires, and changes are no longer announced to it.
	probeBalancersAfter = fleet.ExpireAfter / 2
	// maxIntroduced is the maximum number of balancers for which the last introduction is recorded.
	maxIntroduced = 4096
)

// crossZoneState holds the state of announcements to other zones.
type crossZoneState struct {
	// planner chooses between direct and relayed announcements to each zone.
	planner zonecast.Planner
	// introduced limits the rate of announcements to balancers that are known from other nodes only.
	introduced zonecast.IntroductionLimiter
}

func newCrossZoneState(opts Options, report func(zone flow.Tag, balancers int, relayed bool)) crossZoneState {
	return crossZoneState{
		introduced: zonecast.IntroductionLimiter{MaxNodes: maxIntroduced},
		planner:    zonecast.Planner{Self: opts.Self, Zone: opts.Zone, RelayThreshold: opts.RelayThreshold, RecentWithin: relayFreshness, OnChange: report},
	}
}

// announceCrossZone repeats the announcement to the balancers of other zones, directly or
// through relays.
func (c *Core) announceCrossZone(now time.Time) {
	c.crossZone.planner.StartRound()
	plan := c.crossZone.planner.Plan(now, c.view)
	c.crossZonePeriod = plan.Period
	c.nextCrossZone = fleet.NextSendTime(now, c.crossZonePeriod, c.opts.Self)
	c.announceToAll(now, plan.Direct)
	if c.introduced && len(plan.Relays) > 0 {
		c.announceViaRelays(now, plan.Relays)
	}
}

// announceViaRelays asks balancers to relay the announcement. All get the same message, so
// that a relay can detect that another one has relayed it already.
func (c *Core) announceViaRelays(now time.Time, relays []flow.IPv4) {
	a := c.announcementTo(now, relays[0])
	for _, ip := range relays {
		a.WantReply = c.acks.needsAck(ip)
		c.acks.sent(now, ip)
		c.port.ToNode(ip, fleet.AppendRelay(c.buf[:0], a.Append(nil)), nil)
	}
}

// handleBatch handles beacons of other zones that a balancer of the local zone relays. A
// beacon of a process from which no message was received directly only leads to a probe
// of that balancer.
func (c *Core) handleBatch(now time.Time, datagram []byte) error {
	messages, err := fleet.DecodeBatch(datagram)
	if err != nil {
		return err
	}
	for _, r := range messages {
		if e := c.handleRelayedBeacon(now, r); e != nil {
			err = e
		}
	}
	return err
}

func (c *Core) handleRelayedBeacon(now time.Time, r fleet.RelayedMessage) error {
	if kind, err := r.Kind(); err != nil || kind != envelope.Beacon {
		return fleet.ErrMalformed
	}
	m, err := fleet.DecodeBeacon(r.Message)
	if err != nil {
		return err
	}
	switch c.view.PeerProcess(r.From, m.Incarnation) {
	case fleet.ProcessCurrent:
		if c.view.ApplyBeacon(now, r.From, m) != fleet.Stale {
			c.view.MarkRelayed(r.From)
			c.compareEvacuations(now, r.From, m.Evacuations)
		}
	case fleet.ProcessUnknown:
		c.probeNamed(now, r.From)
	}
	return nil
}

// probeNamed probes a balancer that is known only from relayed messages; its answer makes
// it known.
func (c *Core) probeNamed(now time.Time, ip flow.IPv4) {
	if c.crossZone.introduced.Allow(now, ip, zonecast.RelayedIntroductionPause) {
		c.probeBalancer(now, ip)
	}
}

// probeOverdue probes balancers of other zones whose relayed messages have stopped arriving.
func (c *Core) probeOverdue(now time.Time) {
	for _, ip := range c.view.PeersToProbe(now, c.opts.Zone, probeBalancersAfter, false) {
		p, _ := c.view.Peer(ip)
		c.events.Probed(ip, now.Sub(p.LastSeen))
		c.probeBalancer(now, ip)
	}
}

// probeBalancer announces the target to a balancer and requests a reply.
func (c *Core) probeBalancer(now time.Time, ip flow.IPv4) {
	if !c.introduced {
		return
	}
	a := c.announcementTo(now, ip)
	a.WantReply = true
	c.port.ToNode(ip, a.Append(c.buf[:0]), nil)
}

// ReceiverZone returns, for the traffic metrics, whether a node is in the local zone or in another
// one.
func (c *Core) ReceiverZone(node flow.IPv4) telemetry.ReceiverZone {
	zone, known := c.view.NodeZone(node)
	return telemetry.ReceiverZoneOf(c.opts.Zone, zone, known)
}
