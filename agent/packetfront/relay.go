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
	// relayFreshness is how lately a balancer was heard that is asked to relay messages: two
	// of the periods in which agents hear of those of other zones, and a round.
	relayFreshness = 2*zonecast.AgentFlushPeriod + zonecast.RelayPeriod
	// probeBalancersAfter is how long a balancer of another zone may stay unheard before it
	// is asked; it is forgotten after fleet.Forget, and changes would not reach it then.
	probeBalancersAfter = fleet.ExpireAfter / 2
	// maxIntroduced bounds the balancers whose greeting is remembered.
	maxIntroduced = 4096
)

// crossZone is what an agent knows of the way of messages between zones.
type crossZone struct {
	// planner plans how other zones are told.
	planner zonecast.Planner
	// introduced are balancers that others named.
	introduced zonecast.IntroductionLimiter
}

func newRelays(opts Options, report func(zone flow.Tag, balancers int, relayed bool)) crossZone {
	return crossZone{
		introduced: zonecast.IntroductionLimiter{MaxNodes: maxIntroduced},
		planner:    zonecast.Planner{Self: opts.Self, Zone: opts.Zone, RelayThreshold: opts.RelayFrom, RecentWithin: relayFreshness, OnChange: report},
	}
}

// announceCrossZone repeats the announcement to other zones.
func (c *Core) announceCrossZone(now time.Time) {
	c.relays.planner.StartRound()
	plan := c.relays.planner.Plan(now, c.view)
	c.crossZonePeriod = plan.Period
	c.nextCrossZone = fleet.NextSendTime(now, c.crossZonePeriod, c.opts.Self)
	c.announceToAll(now, plan.Direct)
	if c.introduced && len(plan.Relays) > 0 {
		c.announceViaRelays(now, plan.Relays)
	}
}

// announceViaRelays asks balancers to relay the announcement. All get the same, so that
// one can tell that another has done it.
func (c *Core) announceViaRelays(now time.Time, relays []flow.IPv4) {
	a := c.announcementTo(now, relays[0])
	for _, ip := range relays {
		a.WantReply = c.acks.wants(ip)
		c.acks.sent(now, ip)
		c.port.ToNode(ip, fleet.AppendRelay(c.buf[:0], a.Append(nil)), nil)
	}
}

// handleBatch takes what a balancer of the zone relays of those of others. Messages of
// processes that were not heard themselves only tell whom to greet.
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

// probeNamed greets a balancer that others name, which then announces itself.
func (c *Core) probeNamed(now time.Time, ip flow.IPv4) {
	if c.relays.introduced.Allow(now, ip, zonecast.RelayedIntroductionPause) {
		c.probeBalancer(now, ip)
	}
}

// probeOverdue asks balancers of other zones whose messages are not relayed any more.
func (c *Core) probeOverdue(now time.Time) {
	for _, ip := range c.view.PeersToProbe(now, c.opts.Zone, probeBalancersAfter, false) {
		p, _ := c.view.Peer(ip)
		c.events.Probed(ip, now.Sub(p.LastSeen))
		c.probeBalancer(now, ip)
	}
}

// probeBalancer announces the target to a balancer that has to answer.
func (c *Core) probeBalancer(now time.Time, ip flow.IPv4) {
	if !c.introduced {
		return
	}
	a := c.announcementTo(now, ip)
	a.WantReply = true
	c.port.ToNode(ip, a.Append(c.buf[:0]), nil)
}

// ReceiverZone tells whether a node is in another zone.
func (c *Core) ReceiverZone(node flow.IPv4) telemetry.ReceiverZone {
	zone, known := c.view.NodeZone(node)
	return telemetry.ReceiverZoneOf(c.opts.Zone, zone, known)
}
