package packetfront

import (
	"slices"
	"time"

	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/fleet/zonecast"
	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/flow/envelope"
	"github.com/poppywall/poppywall/telemetry"
)

const (
	// relayFreshness is how lately a balancer was heard that is asked to relay messages: two
	// rounds and what the relays add.
	relayFreshness = 2*zonecast.RelayPeriod + zonecast.FlushPeriod
	// probeCheckPeriod is how often nodes are looked for that have fallen silent.
	probeCheckPeriod = 200 * time.Millisecond
	// maxIntroduced bounds the nodes whose greeting is remembered.
	maxIntroduced = 1 << 15
)

// crossZone is what a balancer has to relay to the nodes of its zone, and what it
// hears of nodes of other zones in the same way.
type crossZone struct {
	forBalancers, forAgents zonecast.RelayBuffer
	nextProbe               time.Time
	// usesRelays tells that the own zone is told through relays.
	usesRelays bool
	// introduced are nodes that others named.
	introduced zonecast.IntroductionLimiter
	// planner plans how other zones are told.
	planner zonecast.Planner
}

func newRelays(opts Options, report func(zone flow.Tag, balancers int, relayed bool)) crossZone {
	self := opts.Self
	return crossZone{
		forBalancers: zonecast.RelayBuffer{FlushPeriod: zonecast.FlushPeriod, Self: self},
		forAgents:    zonecast.RelayBuffer{FlushPeriod: zonecast.AgentFlushPeriod, Self: self},
		introduced:   zonecast.IntroductionLimiter{MaxNodes: maxIntroduced},
		planner:      zonecast.Planner{Self: self, Zone: opts.Zone, RelayThreshold: opts.RelayFrom, RecentWithin: relayFreshness, OnChange: report},
	}
}

// sendCrossZoneBeacons tells the nodes of other zones: agents less often, and only where no
// relay does.
func (c *Core) sendCrossZoneBeacons(now time.Time) {
	round := c.relays.planner.StartRound()
	plan := c.relays.planner.Plan(now, c.view)
	c.crossZonePeriod = plan.Period
	c.nextCrossZone = fleet.NextSendTime(now, c.crossZonePeriod, c.opts.Self)
	c.sendBeacons(now, plan.Direct)
	c.sendBeaconViaRelays(now, plan.Relays)
	if round%agentBeacons == 0 {
		c.sendBeacons(now, c.directAgents(c.opts.Zone))
	}
}

// directAgents returns the agents that no relay tells of this balancer, but for those of
// the given zones.
func (c *Core) directAgents(except ...flow.Tag) []flow.IPv4 {
	var out []flow.IPv4
	for _, ip := range c.view.Targets() {
		h, _ := c.view.Target(ip)
		if !c.relays.planner.UsesRelays(h.Zone) && !slices.Contains(except, h.Zone) {
			out = append(out, ip)
		}
	}
	return out
}

// sendBeaconViaRelays asks balancers to relay a beacon. All get the same, so that one can
// tell that another has done it.
func (c *Core) sendBeaconViaRelays(now time.Time, relays []flow.IPv4) {
	if len(relays) == 0 {
		return
	}
	m := c.beacon(now, relays[0], fleet.Beacon{})
	message := fleet.AppendRelay(c.buf[:0], m.Append(nil))
	for _, ip := range relays {
		c.port.ToNode(ip, message, nil)
	}
}

// handleRelay takes a message of a node of another zone, and keeps it for the nodes of
// the own one.
func (c *Core) handleRelay(now time.Time, from flow.IPv4, datagram []byte) error {
	kind, message, err := fleet.DecodeRelay(datagram)
	if err != nil {
		return err
	}
	if kind == envelope.Announce {
		err = c.handleAnnouncement(now, from, message)
	} else {
		err = c.handleBeacon(now, from, message)
	}
	if err == nil {
		c.view.MarkRelayed(from)
		c.bufferForRelay(now, from, kind, message)
	}
	return err
}

// bufferForRelay keeps a message for the nodes of the own zone: only balancers need to know of
// targets.
func (c *Core) bufferForRelay(now time.Time, from flow.IPv4, kind envelope.Kind, message []byte) {
	id, err := fleet.DecodeMessageID(message)
	kept := err == nil && c.relays.forBalancers.Put(now, from, id, message)
	if kind == envelope.Beacon {
		kept = kept && c.relays.forAgents.Put(now, from, id, message)
	}
	if !kept {
		c.events.Dropped(DropNotRelayed)
	}
}

// sendRelayed sends what was kept to the nodes of the own zone, and asks those of others
// that have fallen silent.
func (c *Core) sendRelayed(now time.Time) {
	if c.relays.forBalancers.Due(now) {
		balancers, _ := c.view.BalancersByZone(c.opts.Zone)
		c.flushRelayed(now, &c.relays.forBalancers, balancers)
	}
	if c.relays.forAgents.Due(now) {
		agents, _ := c.view.TargetsByZone(c.opts.Zone)
		c.flushRelayed(now, &c.relays.forAgents, agents)
	}
	if !now.Before(c.relays.nextProbe) {
		c.relays.nextProbe = now.Add(probeCheckPeriod)
		c.relays.usesRelays = c.view.BalancerCountIn(c.opts.Zone)+1 >= c.opts.RelayFrom
		c.probeOverdue(now)
	}
}

func (c *Core) flushRelayed(now time.Time, held *zonecast.RelayBuffer, to []flow.IPv4) {
	messages, old := held.Take(now)
	for range old {
		c.events.Dropped(DropNotRelayed)
	}
	if len(messages) == 0 {
		return
	}
	c.events.Relayed(len(messages))
	fleet.AppendBatches(c.buf[:0], messages, func(batch []byte) {
		for _, ip := range to {
			c.port.ToNode(ip, batch, nil)
		}
	})
}

// ReceiverZone tells whether a node is in another zone.
func (c *Core) ReceiverZone(node flow.IPv4) telemetry.ReceiverZone {
	zone, known := c.view.NodeZone(node)
	return telemetry.ReceiverZoneOf(c.opts.Zone, zone, known)
}
