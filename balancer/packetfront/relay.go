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
	// relayFreshness is how recently a balancer must have been seen to be used as a relay: two
	// rounds and the delay that relays add.
	relayFreshness = 2*zonecast.RelayPeriod + zonecast.FlushPeriod
	// probeCheckPeriod is how often the balancer looks for nodes of other zones to probe.
	probeCheckPeriod = 200 * time.Millisecond
	// maxIntroductions is the maximum number of nodes for which the last introduction is recorded.
	maxIntroductions = 1 << 15
)

// relayState is the state of the exchange with other zones: the messages that this balancer
// relays within its zone, and the plan of how it reaches the nodes of other zones.
type relayState struct {
	forBalancers, forAgents zonecast.RelayBuffer
	nextProbe               time.Time
	// usesRelays is set while nodes of other zones reach the local zone through relays.
	usesRelays bool
	// introductions limits the rate of introductions to nodes that this balancer has not seen yet,
	// because it knows them from other nodes, the registry or its seeds only, and of probes of
	// nodes whose relayed messages need confirmation.
	introductions zonecast.IntroductionLimiter
	// planner chooses between direct and relayed beacons to each zone.
	planner zonecast.Planner
}

func newRelayState(opts Options, report func(zone flow.Tag, balancers int, relayed bool)) relayState {
	self := opts.Self
	return relayState{
		forBalancers:  zonecast.RelayBuffer{FlushPeriod: zonecast.FlushPeriod, Self: self},
		forAgents:     zonecast.RelayBuffer{FlushPeriod: zonecast.AgentFlushPeriod, Self: self},
		introductions: zonecast.IntroductionLimiter{MaxNodes: maxIntroductions},
		planner:       zonecast.Planner{Self: self, Zone: opts.Zone, RelayThreshold: opts.RelayThreshold, RecentWithin: relayFreshness, OnChange: report},
	}
}

// sendCrossZoneBeacons sends a round of beacons to other zones. Agents get them less often,
// and only if their zone is not reached through relays.
func (c *Core) sendCrossZoneBeacons(now time.Time) {
	round := c.relays.planner.StartRound()
	plan := c.relays.planner.Plan(now, c.view)
	c.crossZonePeriod = plan.Period
	c.nextCrossZone = fleet.NextSendTime(now, c.crossZonePeriod, c.opts.Self)
	c.sendBeacons(now, plan.Direct)
	c.sendBeaconViaRelays(now, plan.Relays)
	if round%roundsPerAgentBeacon == 0 {
		c.sendBeacons(now, c.directAgents(c.opts.Zone))
	}
}

// directAgents returns the agents whose zone is not reached through relays, except those of
// the given zones.
func (c *Core) directAgents(except ...flow.Tag) []flow.IPv4 {
	var out []flow.IPv4
	for _, ip := range c.view.Targets() {
		t, _ := c.view.Target(ip)
		if !c.relays.planner.UsesRelays(t.Zone) && !slices.Contains(except, t.Zone) {
			out = append(out, ip)
		}
	}
	return out
}

// sendBeaconViaRelays sends a beacon to the balancers that relay it. All get the same
// message, so that a relay can detect that another one has relayed it already.
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

// handleRelay applies a message from a node of another zone and buffers it for the nodes of
// the local zone.
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

// bufferForRelay buffers a message for the nodes of the local zone: beacons for balancers and
// agents, announcements for balancers only, because agents need no information about other
// targets.
func (c *Core) bufferForRelay(now time.Time, from flow.IPv4, kind envelope.Kind, message []byte) {
	id, err := fleet.DecodeMessageID(message)
	buffered := err == nil && c.relays.forBalancers.Put(now, from, id, message)
	if kind == envelope.Beacon {
		buffered = buffered && c.relays.forAgents.Put(now, from, id, message)
	}
	if !buffered {
		c.events.Dropped(DropNotRelayed)
	}
}

// sendRelayed sends the buffered messages that are due to the nodes of the local zone, and
// probes nodes of other zones whose relayed messages have stopped.
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
		c.relays.usesRelays = c.view.BalancerCountIn(c.opts.Zone)+1 >= c.opts.RelayThreshold
		c.probeOverdue(now)
	}
}

func (c *Core) flushRelayed(now time.Time, buffer *zonecast.RelayBuffer, to []flow.IPv4) {
	messages, stale := buffer.Take(now)
	for range stale {
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

// ReceiverZone returns, for the traffic metrics, whether a node is in the local zone or in
// another one.
func (c *Core) ReceiverZone(node flow.IPv4) telemetry.ReceiverZone {
	zone, known := c.view.NodeZone(node)
	return telemetry.ReceiverZoneOf(c.opts.Zone, zone, known)
}
