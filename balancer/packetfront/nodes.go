package packetfront

import (
	"math"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/poppywall/poppywall/balancer/search"
	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/fleet/zonecast"
	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/flow/envelope"
)

// HandleNode handles a datagram from another node.
func (c *Core) HandleNode(now time.Time, from flow.IPv4, datagram []byte) {
	kind, err := envelope.KindOf(datagram)
	switch {
	case errors.Is(err, envelope.ErrVersion):
		c.events.OtherVersion(from, envelope.VersionOf(datagram))
		return
	case err != nil:
		c.events.Dropped(DropMalformed)
		return
	}
	switch kind {
	case envelope.Announce:
		err = c.handleAnnouncement(now, from, datagram)
	case envelope.Beacon:
		err = c.handleBeacon(now, from, datagram)
	case envelope.Peers:
		err = c.handlePeers(now, datagram)
	case envelope.Evacuated:
		err = c.handleEvacuated(now, from, datagram)
	case envelope.Relay:
		err = c.handleRelay(now, from, datagram)
	case envelope.Batch:
		err = c.handleBatch(now, datagram)
	case envelope.Owner:
		err = c.handleOwner(now, from, datagram)
	case envelope.Returned:
		err = c.handleReturned(now, from, datagram)
	default:
		err = envelope.ErrMalformed
	}
	if err != nil {
		c.events.Dropped(DropMalformed)
	}
}

func (c *Core) handleAnnouncement(now time.Time, from flow.IPv4, datagram []byte) error {
	a, err := fleet.DecodeAnnouncement(datagram)
	if err != nil {
		return err
	}
	change := c.recordAnnouncement(now, from, a)
	if change == fleet.Joined || (change != fleet.Stale && (a.WantPeers || a.WantReply)) {
		c.sendBeacon(now, from, fleet.Beacon{Reply: true})
	}
	if change != fleet.Stale && a.WantPeers {
		c.sendPeers(now, from)
	}
	return nil
}

// recordAnnouncement applies the announcement of a target's agent.
func (c *Core) recordAnnouncement(now time.Time, from flow.IPv4, a fleet.Announcement) fleet.Change {
	change := c.view.ApplyAnnouncement(now, from, a)
	target, _ := c.view.Target(from)
	c.invalidateLoad(target.Service)
	if change == fleet.Joined || change == fleet.Altered {
		c.digestAt = time.Time{}
		c.events.TargetChanged(target, change)
	}
	if change != fleet.Stale && a.Registration == fleet.RegistrationAbandoned && c.view.IsReaper(now, c.opts.Self) {
		c.deadNodes = append(c.deadNodes, DeadNode{fleet.RoleAgent, c.view.AbandonedEntry(target)})
	}
	return change
}

func (c *Core) handleBeacon(now time.Time, from flow.IPv4, datagram []byte) error {
	m, err := fleet.DecodeBeacon(datagram)
	if err != nil {
		return err
	}
	change := c.recordBeacon(now, from, m)
	if change == fleet.Stale {
		return nil
	}
	if !m.Reply && (change == fleet.Joined || m.WantPeers) {
		c.sendBeacon(now, from, fleet.Beacon{Reply: true})
	}
	if m.WantPeers && m.Digest != c.digest(now) {
		c.sendPeers(now, from)
	}
	if !c.relays.usesRelays || m.Zone == c.opts.Zone {
		c.compareDigest(now, from, m.Digest)
	}
	return nil
}

// recordBeacon applies another balancer's beacon.
func (c *Core) recordBeacon(now time.Time, from flow.IPv4, m fleet.Beacon) fleet.Change {
	change := c.view.ApplyBeacon(now, from, m)
	if change == fleet.Stale {
		return change
	}
	c.adoptEvacuations(now, m.Evacuations, from)
	if change == fleet.Joined {
		c.digestAt = time.Time{}
		c.proof.BalancerJoined(now, from)
		c.events.PeerChanged(from, "joined")
	}
	return change
}

// compareDigest requests the nodes that a balancer knows if its view differs from this
// balancer's: any message about a node may have been lost. In a zone that is reached through
// relays, views are compared within the zone only: nodes of other zones are known from relayed
// messages.
func (c *Core) compareDigest(now time.Time, peer flow.IPv4, digest uint32) {
	if digest == c.view.Digest(now, c.opts.Self) || now.Before(c.nextNodeRequest) {
		return
	}
	c.nextNodeRequest = now.Add(nodeRequestPause)
	// Reply is set although this beacon answers none: the balancer then sends its nodes without a
	// beacon of its own.
	c.sendBeacon(now, peer, fleet.Beacon{Reply: true, WantPeers: true})
}

// handlePeers introduces this balancer to the listed nodes that it does not know yet. Agents
// answer with an announcement, balancers with a beacon.
func (c *Core) handlePeers(now time.Time, datagram []byte) error {
	nodes, err := fleet.DecodeNodeList(datagram)
	if err != nil {
		return err
	}
	for _, ip := range nodes.Balancers {
		if ip != c.opts.Self && !c.view.HasBalancer(ip) && c.relays.introductions.Allow(now, ip, zonecast.IntroductionPause) {
			c.sendBeacon(now, ip, fleet.Beacon{})
		}
	}
	for _, ip := range nodes.ActiveAgents {
		c.proof.AgentNamed(now, ip)
	}
	c.Contact(now, nil, nodes.ActiveAgents)
	c.Contact(now, nil, nodes.IdleAgents)
	return nil
}

// Contact introduces this balancer to the given nodes that it has not seen yet. Balancers answer
// WantPeers with a beacon and, if their view differs, the nodes that they know; agents answer with
// their announcement.
func (c *Core) Contact(now time.Time, balancers, agents []flow.IPv4) {
	for _, ip := range balancers {
		if ip != c.opts.Self && !c.view.HasBalancer(ip) && c.relays.introductions.Allow(now, ip, zonecast.IntroductionPause) {
			c.sendBeacon(now, ip, fleet.Beacon{WantPeers: true})
		}
	}
	for _, ip := range agents {
		if !c.view.HasTarget(ip) && c.relays.introductions.Allow(now, ip, zonecast.IntroductionPause) {
			c.sendBeacon(now, ip, fleet.Beacon{WantPeers: true})
		}
	}
}

func (c *Core) handleOwner(now time.Time, from flow.IPv4, datagram []byte) error {
	body, err := c.env.Decode(datagram)
	if err != nil {
		return err
	}
	key, err := envelope.DecodeKey(body)
	if err != nil {
		return err
	}
	c.events.OwnerFound(key, from, int(c.env.Hops))
	c.finder.Found(now, key, from)
	return nil
}

// refuseReturned resets the flow of a SYN that every candidate refused, unless a
// retransmission may have been accepted meanwhile.
func (c *Core) refuseReturned(now time.Time, key flow.Key, h *flow.Header) {
	target, openedAt := c.table.SYNRecord(key)
	if now.Sub(openedAt) > refuseWithin {
		c.events.Dropped(DropRetransmissionRefused)
		return
	}
	c.table.Drop(key, target)
	c.refuse(key, h, "refused by all targets", "")
}

// Tick runs the periodic work that is due.
func (c *Core) Tick(now time.Time) {
	for _, silence := range c.view.DetectSilentZones(now) {
		c.events.ZoneSilenceChanged(silence)
	}
	c.join(now)
	c.updateFresh(now)
	c.updateRotation(now)
	c.updateOverloads(now)
	c.finder.Retry(now)
	c.sendPeriodicBeacons(now)
	c.sendRelayed(now)
	if !now.Before(c.nextExpire) {
		c.nextExpire = now.Add(expirePeriod)
		c.expire(now)
	}
}

// updateFresh retries the flows that all targets have denied as soon as the balancer is no longer
// fresh: until then none of them is reset, and their clients wait.
func (c *Core) updateFresh(now time.Time) {
	fresh := c.proof.Fresh(now)
	if c.wasFresh && !fresh {
		c.finder.RetryDenied(now)
	}
	c.wasFresh = fresh
}

// join introduces the balancer to the seeds that it does not know, often at first: two
// balancers that know each other may both lack a third, and one that has started together with
// its seeds stays fresh for search.FreshTime after it first sees the last of them.
func (c *Core) join(now time.Time) {
	if !c.proof.Settled(now) {
		c.Contact(now, c.opts.Seeds, nil)
	}
	if now.Before(c.nextJoin) {
		return
	}
	c.nextJoin = now.Add(joinPeriod)
	if now.Sub(c.startedAt) > search.SettleTime && len(c.view.Balancers()) > 0 {
		c.nextJoin = now.Add(rejoinPeriod)
	}
	c.Contact(now, c.opts.Seeds, nil)
	if c.proof.Fresh(now) {
		c.requestNodes(now)
	}
}

// requestNodes asks the known seeds and some other balancers for the nodes that they know:
// balancers that have started together with this one learn of nodes one by one. A balancer
// with the same view does not answer. Node lists are long, so where the zone is reached
// through relays only the seeds and balancers of the local zone are asked.
func (c *Core) requestNodes(now time.Time) {
	balancers := c.view.Balancers()
	if c.relays.usesRelays {
		balancers, _ = c.view.BalancersByZone(c.opts.Zone)
	}
	c.rnd.Shuffle(len(balancers), func(i, j int) { balancers[i], balancers[j] = balancers[j], balancers[i] })
	seeds := slices.DeleteFunc(slices.Clone(c.opts.Seeds), func(ip flow.IPv4) bool { return !c.view.HasBalancer(ip) })
	for _, ip := range append(seeds, balancers[:min(bootstrapQueries, len(balancers))]...) {
		c.sendBeacon(now, ip, fleet.Beacon{WantPeers: true})
	}
}

func (c *Core) expire(now time.Time) {
	c.table.Expire(now, c.idleTimeout())
	c.expireNodes(now)
}

// sendPeriodicBeacons sends the beacons that are due. Nodes of other zones, and agents, get
// them less often than the balancers of the local zone.
func (c *Core) sendPeriodicBeacons(now time.Time) {
	if !now.Before(c.nextSameZone) {
		c.nextSameZone = fleet.NextSendTime(now, fleet.SameZonePeriod, c.opts.Self)
		c.beaconRounds++
		balancers, _ := c.view.BalancersByZone(c.opts.Zone)
		c.sendBeacons(now, balancers)
		if c.beaconRounds%roundsPerAgentBeacon == 0 {
			agents, _ := c.view.TargetsByZone(c.opts.Zone)
			c.sendBeacons(now, agents)
		}
	}
	if !now.Before(c.nextCrossZone) {
		c.sendCrossZoneBeacons(now)
	}
}

func (c *Core) sendBeacons(now time.Time, to []flow.IPv4) {
	for _, ip := range to {
		c.sendBeacon(now, ip, fleet.Beacon{})
	}
}

// periodTo returns the period of the beacons to a node.
func (c *Core) periodTo(ip flow.IPv4) time.Duration {
	if zone, known := c.view.ZoneOf(ip); known && zone == c.opts.Zone {
		return fleet.SameZonePeriod
	}
	return c.crossZonePeriod
}

// digest returns the digest of the view, computed once per point in time.
func (c *Core) digest(now time.Time) uint32 {
	if !now.Equal(c.digestAt) {
		c.lastDigest, c.digestAt = c.view.Digest(now, c.opts.Self), now
	}
	return c.lastDigest
}

func (c *Core) sendBeacon(now time.Time, to flow.IPv4, m fleet.Beacon) {
	m = c.beacon(now, to, m)
	c.port.ToNode(to, m.Append(c.buf[:0]), nil)
}

// beacon returns m with this balancer's state filled in, as the next beacon to a node.
func (c *Core) beacon(now time.Time, to flow.IPv4, m fleet.Beacon) fleet.Beacon {
	c.seq++
	m.MessageID = fleet.MessageID{ProcessIncarnation: c.opts.Incarnation, Seq: c.seq}
	m.Zone = c.opts.Zone
	if t, known := c.view.Target(to); known {
		m.LastReceived = t.MessageID
	}
	m.ConfigVersion = c.ConfigVersion()
	m.Evacuations = c.Evacuations()
	m.InRotation = c.Ready(now)
	m.LinkMbps = encodeMbps(c.opts.LinkMbps)
	m.SentMbps = encodeMbps(c.rotation.sentMbps())
	m.Digest = c.digest(now)
	m.Period = c.periodTo(to)
	m.Leaving = c.leaving
	m.Feeder = c.operator.IsFeeding(now)
	return m
}

// encodeMbps rounds a rate up and limits it to the range of the beacon field.
func encodeMbps(rate float64) uint16 { return uint16(min(math.Ceil(rate), math.MaxUint16)) }

func (c *Core) sendPeers(now time.Time, to flow.IPv4) {
	nodes := c.view.KnownNodes(now)
	nodes.Balancers = append(nodes.Balancers, c.opts.Self)
	nodes.Append(c.buf[:0], func(msg []byte) { c.port.ToNode(to, msg, nil) })
}
