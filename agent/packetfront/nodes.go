package packetfront

import (
	"time"

	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/fleet/zonecast"
	"github.com/poppywall/poppywall/flow"
)

// handleBeacon applies a balancer's beacon. A new balancer is sent an announcement at once,
// unless it has already acknowledged the last change of state. A known one that sets WantPeers is
// sent an announcement as well: an agent has no list of nodes to send.
func (c *Core) handleBeacon(now time.Time, from flow.IPv4, datagram []byte) error {
	m, err := fleet.DecodeBeacon(datagram)
	if err != nil {
		return err
	}
	change := c.view.ApplyBeacon(now, from, m)
	if change != fleet.Stale {
		c.syncEvacuations(now, from, m.Evacuations)
	}
	c.acks.received(from, c.opts.Incarnation, &m)
	if change == fleet.Joined {
		c.events.PeerChanged(from, "joined")
	}
	acked := change == fleet.Joined && c.acks.isAcknowledgedBy(c.opts.Incarnation, &m)
	if (change == fleet.Joined && !acked) || (change == fleet.Unchanged && m.WantPeers) {
		c.announceTo(now, from, false)
	}
	return nil
}

// syncEvacuations adopts newer evacuations from a balancer, or sends it the agent's if
// these are newer: the agents still have them when all balancers have restarted while the
// store is unavailable.
func (c *Core) syncEvacuations(now time.Time, from flow.IPv4, received flow.Evacuations) {
	former := c.evacuations
	newer, differ := c.evacuations.ReplaceIfNewer(received)
	switch {
	case newer:
		if received.Has(c.opts.Zone) != former.Has(c.opts.Zone) || former.Revision == 0 {
			// The zone's targets may have become cold since.
			c.cold.suspectedAt = now
		}
		if differ {
			c.events.EvacuationsChanged(received, former, from.String())
		}
	case former.Newer(received):
		c.port.ToNode(from, fleet.AppendEvacuations(c.buf[:0], former), nil)
	}
}

// handlePeers announces the target to the listed balancers that the agent has not seen yet.
func (c *Core) handlePeers(now time.Time, datagram []byte) error {
	nodes, err := fleet.DecodeNodeList(datagram)
	if err != nil {
		return err
	}
	// The balancers must not answer with peers, or each answer would cause another.
	c.contact(now, nodes.Balancers, false)
	return nil
}

// Contact announces the target to balancers listed in the registry.
func (c *Core) Contact(now time.Time, balancers []flow.IPv4) { c.contact(now, balancers, true) }

// contact announces the target to the given balancers that the agent has not seen yet. They
// answer with a beacon.
func (c *Core) contact(now time.Time, balancers []flow.IPv4, wantPeers bool) {
	for _, ip := range balancers {
		if !c.view.HasBalancer(ip) && c.relays.introductions.Allow(now, ip, zonecast.IntroductionPause) {
			c.announceTo(now, ip, wantPeers)
		}
	}
}

// Tick runs the periodic work that is due.
func (c *Core) Tick(now time.Time) {
	c.introduce(now)
	c.join(now)
	c.checkIdentity(now)
	c.checkEnded(now)
	c.checkHealth(now)
	c.expireEstimate(now)
	c.expire(now)
	c.expirePendingOpens(now)
	c.expireQueued(now)
	c.dispatchQueued(now)
	c.updateOverload(now)
	c.announceDue(now)
}

// expire, once per second, probes overdue balancers of other zones and removes idle flows and
// expired balancers. Slots that the requests of these flows occupied become free for queued
// requests.
func (c *Core) expire(now time.Time) {
	if now.Before(c.nextExpire) {
		return
	}
	c.nextExpire = now.Add(time.Second)
	c.probeOverdue(now)
	c.flows.expire(now, c.opts.FlowTTL)
	c.events.FlowsRecorded(len(c.flows.byKey))
	_, balancers := c.view.Expire(now)
	for _, e := range balancers {
		c.acks.remove(e.IP)
		c.events.PeerChanged(e.IP, "expired")
	}
}

// reportExpired reports a record that was removed because of its age although the target may hold
// the flow.
func (c *Core) reportExpired(now time.Time, key flow.Key, r *record) {
	if r.stage.mayBeHeld() {
		c.events.FlowExpired(key, r.stage.String(), now.Sub(r.usedAt))
	}
}

// join announces the target to the seeds while no balancer is known. It also does so while the
// target is not in the registry: without an entry, balancers that start can learn of the target
// only from other balancers.
func (c *Core) join(now time.Time) {
	isolated, unregistered := len(c.view.Balancers()) == 0, c.target.up && c.registration != fleet.RegistrationPresent
	if !c.mayAnnounce || !(isolated || unregistered) || now.Before(c.nextJoin) {
		return
	}
	c.nextJoin = now.Add(joinPeriod)
	if !isolated {
		c.nextJoin = now.Add(unregisteredPeriod)
	}
	for _, ip := range c.opts.Seeds {
		c.announceTo(now, ip, isolated)
	}
}

// announceDue repeats the announcement each period, less often to other zones, and sooner
// to balancers that have not acknowledged a change of state. A change of load is announced
// early to the balancers of the local zone only: they send most of the load, and
// cross-zone traffic is expensive.
func (c *Core) announceDue(now time.Time) {
	for _, ip := range c.acks.dueForRetry(now) {
		c.announceTo(now, ip, false)
	}
	if !now.Before(c.nextCrossZone) {
		c.announceCrossZone(now)
	}
	sameZone, _ := c.view.BalancersByZone(c.opts.Zone)
	if !now.Before(c.nextSameZone) {
		c.nextSameZone = fleet.NextSendTime(now, fleet.SameZonePeriod, c.opts.Self)
		c.announceToAll(now, sameZone)
		return
	}
	loadChange := c.flows.busy - int(c.lastAnnouncement.Outstanding)
	if (loadChange >= loadChangeStep || loadChange <= -loadChangeStep) && now.Sub(c.lastAnnouncedAt) >= minAnnouncePause {
		c.announceToAll(now, sameZone)
	}
}

// announceChange announces a change of the target's state to all balancers at once.
func (c *Core) announceChange(now time.Time) {
	next := c.announcement(now)
	if c.onlyIdentityAdded(now, next) {
		c.nextSameZone, c.nextCrossZone = now, now
		return
	}
	if next.State != c.lastAnnouncement.State || next.TargetIncarnation != c.lastAnnouncement.TargetIncarnation ||
		next.Slots != c.lastAnnouncement.Slots || next.Service != c.lastAnnouncement.Service || next.Ejected != c.lastAnnouncement.Ejected ||
		(next.Registration != c.lastAnnouncement.Registration && next.Registration == fleet.RegistrationRemoved) {
		c.acks.stateChanged(c.seq + 1)
		c.announceAll(now)
	}
}

// onlyIdentityAdded reports whether the target's incarnation, and perhaps its slots, have
// become known while its state, ejection and registration are unchanged, and another zone
// is reached through relays. The target is as ready as before, so that a periodic
// announcement, due at once and through relays, suffices: after a restart of all processes
// all agents would otherwise send this change directly to every balancer at the same time.
func (c *Core) onlyIdentityAdded(now time.Time, next fleet.Announcement) bool {
	former := c.lastAnnouncement
	return former.TargetIncarnation == 0 && next.TargetIncarnation != 0 &&
		next.State == former.State && next.Ejected == former.Ejected && next.Registration == former.Registration &&
		len(c.relays.planner.Plan(now, c.view).Relays) > 0
}

func (c *Core) announceAll(now time.Time) {
	sameZone, otherZones := c.view.BalancersByZone(c.opts.Zone)
	c.crossZonePeriod = c.relays.planner.Plan(now, c.view).Period
	c.nextSameZone, c.nextCrossZone = fleet.NextSendTime(now, fleet.SameZonePeriod, c.opts.Self), fleet.NextSendTime(now, c.crossZonePeriod, c.opts.Self)
	c.announceToAll(now, sameZone)
	c.announceToAll(now, otherZones)
	// Set also if no balancer is known yet: the state is sent to balancers that join later.
	c.lastAnnouncement = c.announcement(now)
}

func (c *Core) announceToAll(now time.Time, balancers []flow.IPv4) {
	if len(balancers) == 0 {
		return
	}
	c.lastAnnouncedAt = now
	c.lastAnnouncement = c.announcement(now)
	for _, ip := range balancers {
		c.announceTo(now, ip, false)
	}
}

// Stop announces that the agent stops, so that it delivers no packets for a while. If the target
// has ended and its registry entry could not be removed, the entry is announced as abandoned, for
// the balancers to remove.
func (c *Core) Stop(now time.Time) {
	c.leaving = true
	c.checkEnded(now)
	if c.target.ended && c.registration != fleet.RegistrationRemoved {
		c.registration = fleet.RegistrationAbandoned
	}
	c.announceAll(now)
}

func (c *Core) announcement(now time.Time) fleet.Announcement {
	state := c.target.state()
	if c.target.ended || (c.target.sawStart && c.awaitsRegistration(now)) {
		// No flow can be open here, so that balancers need not search this target.
		state = fleet.Gone
	}
	if c.target.identity.unproven && state == fleet.Ready {
		state = fleet.Absent
	}
	if c.leaving && state == fleet.Ready {
		state = fleet.Draining
	}
	headroom, limited := c.coldHeadroom(now)
	return fleet.Announcement{
		Zone: c.opts.Zone, Service: c.opts.Service,
		TargetIncarnation: c.incarnation(),
		State:             state,
		Slots:             uint16(min(c.target.slots(), 1<<16-1)),
		Outstanding:       uint16(min(c.flows.busy, 1<<16-1)),
		OpenFlows:         uint16(min(c.flows.open, 1<<16-1)),
		WarmupMillis:      uint16(min(c.warmup(now).Milliseconds(), 1<<16-1)),
		Ejected:           c.health.ejected,
		Registration:      c.registration,
		ConfigVersion:     c.copyState.version,
		Cold:              limited,
		Headroom:          uint16(min(headroom, 1<<16-1)),
		LoadReport:        c.loadReport(now),
	}
}

// loadReport returns the target's load report for the balancers, empty before the first
// observation.
func (c *Core) loadReport(now time.Time) fleet.LoadReport {
	if !c.estimate.Observed() {
		return fleet.LoadReport{}
	}
	return fleet.LoadReport{QueueDelay: c.expectedWait(now), AnswerInterval: c.estimate.AnswerInterval(), ResponseTime: c.estimate.ResponseTime(), Overloaded: c.overload.active}
}

// incarnation returns the tag of the target's incarnation, zero while it is unknown.
func (c *Core) incarnation() fleet.IncarnationTag {
	if c.target.incarnation.TargetID == "" {
		return 0
	}
	return c.target.incarnation.Tag()
}

// registrationTimeout is how long an agent waits for its registry entry before it announces
// the target without one: the store answers in milliseconds, but may be unavailable for
// long.
const registrationTimeout = 250 * time.Millisecond

// setTargetKnown records that the target's state is known, from the target itself or a target
// probe.
func (c *Core) setTargetKnown(now time.Time) {
	c.targetKnown = true
	c.introduce(now)
}

// EntryStored records that the store has applied the given state of the registry entry.
func (c *Core) EntryStored(now time.Time, applied fleet.EntryState) {
	switch {
	case applied != c.wantedEntryState:
		// Another state has been requested since.
		return
	case applied == fleet.EntryPresent:
		c.registration = fleet.RegistrationPresent
	case applied == fleet.EntryAbsent:
		c.registration = fleet.RegistrationRemoved
	}
	c.introduce(now)
	c.announceChange(now)
}

// awaitsRegistration reports whether the target is up and its registry entry is still
// awaited: a target takes no flows before balancers to which it was not announced can find
// it in the registry.
func (c *Core) awaitsRegistration(now time.Time) bool {
	return c.target.up && c.registration != fleet.RegistrationPresent && now.Sub(c.target.upSince) < registrationTimeout
}

// introduce sends the first announcements once the agent knows its target's state. An earlier
// announcement would carry an unknown state, which would stay in a balancer's view for long if
// it was the last one that the balancer received.
func (c *Core) introduce(now time.Time) {
	if c.mayAnnounce || !c.targetKnown || c.awaitsRegistration(now) {
		return
	}
	c.mayAnnounce = true
	c.acks.stateChanged(c.seq + 1)
	for _, ip := range c.opts.Seeds {
		c.announceTo(now, ip, true)
	}
	c.announceAll(now)
}

// announcePeriodTo returns the period of the announcements to a balancer.
func (c *Core) announcePeriodTo(ip flow.IPv4) time.Duration {
	if zone, known := c.view.ZoneOf(ip); known && zone == c.opts.Zone {
		return fleet.SameZonePeriod
	}
	return c.crossZonePeriod
}

func (c *Core) announceTo(now time.Time, to flow.IPv4, wantPeers bool) {
	if !c.mayAnnounce {
		return
	}
	a := c.announcementTo(now, to)
	a.WantPeers = wantPeers
	c.port.ToNode(to, a.Append(c.buf[:0]), nil)
}

// announcementTo returns the next announcement to a balancer and records that it was sent.
func (c *Core) announcementTo(now time.Time, to flow.IPv4) fleet.Announcement {
	a := c.announcement(now)
	c.seq++
	a.MessageID = fleet.MessageID{ProcessIncarnation: c.opts.Incarnation, Seq: c.seq}
	a.Period = c.announcePeriodTo(to)
	a.WantReply = c.acks.needsAck(to)
	c.acks.sent(now, to)
	return a
}
