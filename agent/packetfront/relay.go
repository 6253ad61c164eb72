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
	// relayWithin is how lately a balancer was heard that is asked to relay messages: two
	// of the periods in which agents hear of those of other zones, and a round.
	relayWithin = 2*zonecast.AgentFlushPeriod + zonecast.Period
	// askBalancersAfter is how long a balancer of another zone may stay unheard before it
	// is asked; it is forgotten after fleet.Forget, and changes would not reach it then.
	askBalancersAfter = fleet.Forget / 2
	// maxGreeted bounds the balancers whose greeting is remembered.
	maxGreeted = 4096
)

// relays is what an agent knows of the way of messages between zones.
type relays struct {
	// rounds plans how other zones are told.
	rounds zonecast.Planner
	// greeted are balancers that others named.
	greeted zonecast.Greetings
}

func newRelays(opts Options, report func(zone flow.Tag, balancers int, relayed bool)) relays {
	return relays{
		greeted: zonecast.Greetings{Max: maxGreeted},
		rounds:  zonecast.Planner{Self: opts.Self, Zone: opts.Zone, From: opts.RelayFrom, Within: relayWithin, Report: report},
	}
}

// announceFar repeats the announcement to other zones.
func (c *Core) announceFar(now time.Time) {
	c.relays.rounds.Begin()
	plan := c.relays.rounds.Plan(now, c.view)
	c.farPeriod = plan.Period
	c.nextFar = fleet.NextRound(now, c.farPeriod, c.opts.Self)
	c.announceIn(now, plan.Direct)
	if c.introduced && len(plan.Relays) > 0 {
		c.announceThrough(now, plan.Relays)
	}
}

// announceThrough asks balancers to relay the announcement. All get the same, so that
// one can tell that another has done it.
func (c *Core) announceThrough(now time.Time, relays []flow.IPv4) {
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
		if e := c.hearOfPeer(now, r); e != nil {
			err = e
		}
	}
	return err
}

func (c *Core) hearOfPeer(now time.Time, r fleet.RelayedMessage) error {
	if kind, err := r.Kind(); err != nil || kind != envelope.Beacon {
		return fleet.ErrMalformed
	}
	m, err := fleet.DecodeBeacon(r.Message)
	if err != nil {
		return err
	}
	switch c.view.PeerProcess(r.From, m.Epoch) {
	case fleet.Present:
		if c.view.Beacon(now, r.From, m) != fleet.Stale {
			c.view.Relayed(r.From)
			c.compareEvacuations(now, r.From, m.Evacuations)
		}
	case fleet.Unknown:
		c.greetNamed(now, r.From)
	}
	return nil
}

// greetNamed greets a balancer that others name, which then announces itself.
func (c *Core) greetNamed(now time.Time, ip flow.IPv4) {
	if c.relays.greeted.May(now, ip, zonecast.NamedPause) {
		c.askBalancer(now, ip)
	}
}

// askOverdue asks balancers of other zones whose messages are not relayed any more.
func (c *Core) askOverdue(now time.Time) {
	for _, ip := range c.view.OverduePeers(now, c.opts.Zone, askBalancersAfter, false) {
		p, _ := c.view.Peer(ip)
		c.events.Asked(ip, now.Sub(p.HeardAt))
		c.askBalancer(now, ip)
	}
}

// askBalancer announces the target to a balancer that has to answer.
func (c *Core) askBalancer(now time.Time, ip flow.IPv4) {
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
