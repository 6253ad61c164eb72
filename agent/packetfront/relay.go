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
	// maxIntroductions is the maximum number of balancers for which the last introduction is recorded.
	maxIntroductions = 4096
)

// relayState is the state of the announcements to other zones.
type relayState struct {
	// planner chooses between direct and relayed announcements to each zone.
	planner zonecast.Planner
	// introductions limits the rate of announcements to balancers that the agent has not seen yet,
	// because it knows them from other nodes or from the registry only.
	introductions zonecast.IntroductionLimiter
}

func newRelayState(opts Options, report func(zone flow.Tag, balancers int, relayed bool)) relayState {
	return relayState{
		introductions: zonecast.IntroductionLimiter{MaxNodes: maxIntroductions},
		planner:       zonecast.Planner{Self: opts.Self, Zone: opts.Zone, RelayThreshold: opts.RelayThreshold, RecentWithin: relayFreshness, OnChange: report},
	}
}

// announceCrossZone repeats the announcement to the balancers of other zones, directly or
// through relays.
func (c *Core) announceCrossZone(now time.Time) {
	c.relays.planner.StartRound()
	plan := c.relays.planner.Plan(now, c.view)
	c.crossZonePeriod = plan.Period
	c.nextCrossZone = fleet.NextSendTime(now, c.crossZonePeriod, c.opts.Self)
	c.announceToAll(now, plan.Direct)
	if c.mayAnnounce && len(plan.Relays) > 0 {
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
	switch c.view.PeerProcess(r.From, m.ProcessIncarnation) {
	case fleet.ProcessCurrent:
		if c.view.ApplyBeacon(now, r.From, m) != fleet.Stale {
			c.view.MarkRelayed(r.From)
			c.syncEvacuations(now, r.From, m.Evacuations)
		}
	case fleet.ProcessUnknown:
		c.probeRelayed(now, r.From)
	}
	return nil
}

// probeRelayed probes a balancer that is known only from relayed messages; its answer makes
// it known.
func (c *Core) probeRelayed(now time.Time, ip flow.IPv4) {
	if c.relays.introductions.Allow(now, ip, zonecast.RelayedIntroductionPause) {
		c.probeBalancer(now, ip)
	}
}

// probeOverdue probes balancers of other zones whose relayed messages have stopped arriving.
func (c *Core) probeOverdue(now time.Time) {
	for _, ip := range c.view.PeersToProbe(now, c.opts.Zone, probeBalancersAfter, false) {
		p, _ := c.view.Peer(ip)
		c.events.NodeProbed(ip, now.Sub(p.LastSeen))
		c.probeBalancer(now, ip)
	}
}

// probeBalancer announces the target to a balancer and requests a reply.
func (c *Core) probeBalancer(now time.Time, ip flow.IPv4) {
	if !c.mayAnnounce {
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
