package packetfront

import (
	"time"

	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/fleet/zonecast"
	"github.com/poppywall/poppywall/flow"
)

// handleBeacon notes a balancer; a new one hears of the target at once.
func (c *Core) handleBeacon(now time.Time, from flow.IPv4, datagram []byte) error {
	m, err := fleet.DecodeBeacon(datagram)
	if err != nil {
		return err
	}
	change := c.view.ApplyBeacon(now, from, m)
	if change != fleet.Stale {
		c.compareEvacuations(now, from, m.Evacuations)
	}
	c.acks.heard(from, c.opts.Incarnation, &m)
	if change == fleet.Joined {
		c.events.PeerChanged(from, "joined")
	}
	knowing := change == fleet.Joined && c.acks.knows(c.opts.Incarnation, &m)
	if (change == fleet.Joined && !knowing) || (change == fleet.Unchanged && m.WantPeers) {
		c.announceTo(now, from, false)
	}
	return nil
}

// compareEvacuations takes over later evacuations than the agent knows, or tells a
// balancer those that it lacks: agents live on when all balancers have restarted while
// the store is away.
func (c *Core) compareEvacuations(now time.Time, from flow.IPv4, heard flow.Evacuations) {
	former := c.evacuations
	newer, differ := c.evacuations.ReplaceIfNewer(heard)
	switch {
	case newer:
		if heard.Has(c.opts.Zone) != former.Has(c.opts.Zone) || former.Revision == 0 {
			// The targets of a zone may have become cold meanwhile.
			c.cold.suspectedAt = now
		}
		if differ {
			c.events.EvacuationsChanged(heard, former, from.String())
		}
	case former.Newer(heard):
		c.port.ToNode(from, fleet.AppendEvacuations(c.buf[:0], former), nil)
	}
}

// handlePeers announces the target to balancers that are not known yet.
func (c *Core) handlePeers(now time.Time, datagram []byte) error {
	names, err := fleet.DecodeNodeList(datagram)
	if err != nil {
		return err
	}
	// Their answers must not name peers again: each answer would be answered.
	c.contact(now, names.Balancers, false)
	return nil
}

// Contact announces the target to balancers that the store names.
func (c *Core) Contact(now time.Time, balancers []flow.IPv4) { c.contact(now, balancers, true) }

// contact announces the target to balancers that are not known yet; they answer with
// a beacon.
func (c *Core) contact(now time.Time, balancers []flow.IPv4, wantPeers bool) {
	for _, ip := range balancers {
		if !c.view.HasBalancer(ip) && c.relays.introduced.Allow(now, ip, zonecast.IntroductionPause) {
			c.announceTo(now, ip, wantPeers)
		}
	}
}

// Tick does what is due.
func (c *Core) Tick(now time.Time) {
	c.introduce(now)
	c.join(now)
	if left := c.target.deregisteredAt; !left.IsZero() && now.Sub(left) > deregistrationGrace && !c.target.mayListen(now) {
		c.endFlows(now, "its target has left")
	}
	c.checkHealth(now)
	c.expireEstimate(now)
	c.expire(now)
	c.expirePendingOpens(now)
	c.expireQueued(now)
	c.dispatchQueued(now)
	c.updateOverload(now)
	c.announceDue(now)
}

// expire forgets flows and balancers once a second. What their requests held is free for
// those that wait.
func (c *Core) expire(now time.Time) {
	if now.Before(c.nextExpire) {
		return
	}
	c.nextExpire = now.Add(time.Second)
	c.probeOverdue(now)
	c.flows.expire(now, c.opts.FlowTTL)
	_, balancers := c.view.Expire(now)
	for _, e := range balancers {
		c.acks.forget(e.IP)
		c.events.PeerChanged(e.IP, "forgotten")
	}
}

// join announces the target to the seeds while no balancer is known. While the
// registry does not have the target either, the seeds hear of it again and again:
// balancers that start have only each other to learn of it from.
func (c *Core) join(now time.Time) {
	alone, unlisted := len(c.view.Balancers()) == 0, c.target.up && c.registration != fleet.RegistrationPresent
	if !c.introduced || !(alone || unlisted) || now.Before(c.nextJoin) {
		return
	}
	c.nextJoin = now.Add(joinPeriod)
	if !alone {
		c.nextJoin = now.Add(unregisteredPeriod)
	}
	for _, ip := range c.opts.Seeds {
		c.announceTo(now, ip, alone)
	}
}

// announceDue repeats the announcement each period, seldom to other zones, and at
// once where a change of state was not acknowledged. When the load has changed
// the balancers of the own zone hear of it earlier: they send most of it, and
// bytes between zones are dear.
func (c *Core) announceDue(now time.Time) {
	for _, ip := range c.acks.due(now) {
		c.announceTo(now, ip, false)
	}
	if !now.Before(c.nextCrossZone) {
		c.announceCrossZone(now)
	}
	near, _ := c.view.BalancersByZone(c.opts.Zone)
	if !now.Before(c.nextSameZone) {
		c.nextSameZone = fleet.NextSendTime(now, fleet.SameZonePeriod, c.opts.Self)
		c.announceToAll(now, near)
		return
	}
	step := c.flows.busy - int(c.lastAnnouncement.Outstanding)
	if (step >= loadChangeStep || step <= -loadChangeStep) && now.Sub(c.lastAnnouncedAt) >= minAnnouncePause {
		c.announceToAll(now, near)
	}
}

// announceChange tells every balancer at once when the target's state changed.
func (c *Core) announceChange(now time.Time) {
	next := c.announcement(now)
	if c.onlyIdentified(now, next) {
		c.nextSameZone, c.nextCrossZone = now, now
		return
	}
	if next.State != c.lastAnnouncement.State || next.TargetIncarnation != c.lastAnnouncement.TargetIncarnation ||
		next.Slots != c.lastAnnouncement.Slots || next.Ejected != c.lastAnnouncement.Ejected ||
		(next.Registration != c.lastAnnouncement.Registration && next.Registration == fleet.RegistrationRemoved) {
		c.acks.changed(c.seq + 1)
		c.announceAll(now)
	}
}

// onlyIdentified tells whether nothing has changed but that the target has said who it is and
// how much it can do. It is as ready as it was, so where other zones are told through
// relays, which all agents would do at once after the return of all callers, this goes the
// same way.
func (c *Core) onlyIdentified(now time.Time, next fleet.Announcement) bool {
	former := c.lastAnnouncement
	return former.TargetIncarnation == 0 && next.TargetIncarnation != 0 &&
		next.State == former.State && next.Ejected == former.Ejected && next.Registration == former.Registration &&
		len(c.relays.planner.Plan(now, c.view).Relays) > 0
}

func (c *Core) announceAll(now time.Time) {
	near, far := c.view.BalancersByZone(c.opts.Zone)
	c.crossZonePeriod = c.relays.planner.Plan(now, c.view).Period
	c.nextSameZone, c.nextCrossZone = fleet.NextSendTime(now, fleet.SameZonePeriod, c.opts.Self), fleet.NextSendTime(now, c.crossZonePeriod, c.opts.Self)
	c.announceToAll(now, near)
	c.announceToAll(now, far)
	// Also where nobody is known yet: those who are met later are told the same.
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

// Stop tells the balancers that no packet will be delivered for a while, and
// the clients of a target that has left that their flows are over. An entry that is
// still in the registry beside a target that has ended is left to the balancers.
func (c *Core) Stop(now time.Time) {
	c.leaving = true
	if !c.target.deregisteredAt.IsZero() {
		c.endFlows(now, "its target has left")
	}
	if c.target.absent() && c.registration != fleet.RegistrationRemoved {
		c.registration = fleet.RegistrationAbandoned
	}
	c.announceAll(now)
}

func (c *Core) announcement(now time.Time) fleet.Announcement {
	state := c.target.state()
	if c.target.absent() || (c.target.sawStart && c.awaitsRegistration(now)) {
		// Balancers need not ask here for open flows.
		state = fleet.Gone
	}
	if c.leaving && state == fleet.Ready {
		state = fleet.Draining
	}
	room, cold := c.coldHeadroom(now)
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
		ConfigVersion:     c.configCopy.version,
		Cold:              cold,
		Headroom:          uint16(min(room, 1<<16-1)),
		LoadReport:        c.loadReport(now),
	}
}

// loadReport are what the balancers hear of the target's work.
func (c *Core) loadReport(now time.Time) fleet.LoadReport {
	if !c.estimate.Observed() {
		return fleet.LoadReport{}
	}
	return fleet.LoadReport{QueueDelay: c.expectedWait(now), AnswerInterval: c.estimate.AnswerInterval(), ResponseTime: c.estimate.ResponseTime(), Overloaded: c.overload.active}
}

// incarnation tells the target's life from others, zero while it is not known.
func (c *Core) incarnation() flow.Tag {
	if c.target.incarnation.TargetID == "" {
		return 0
	}
	return c.target.incarnation.Tag()
}

// registrationTimeout is how long an agent with a target waits for its entry in the
// registry before it offers the target all the same: the store answers in
// milliseconds, and may be away for long.
const registrationTimeout = 250 * time.Millisecond

// setTargetKnown notes that something is known of the target.
func (c *Core) setTargetKnown(now time.Time) {
	c.targetKnown = true
	c.introduce(now)
}

// PresenceStored notes that the registry shows what it is to show of the agent.
func (c *Core) PresenceStored(now time.Time, p fleet.EntryState) {
	switch {
	case p != c.wantedPresence:
		// It is to show something else by now.
		return
	case p == fleet.EntryPresent:
		c.registration = fleet.RegistrationPresent
	case p == fleet.EntryAbsent:
		c.registration = fleet.RegistrationRemoved
	}
	c.introduce(now)
	c.announceChange(now)
}

// awaitsRegistration tells that the target is there and the agent is not registered
// yet: a target takes no flow before balancers that have not heard of it can find
// it in the registry.
func (c *Core) awaitsRegistration(now time.Time) bool {
	return c.target.up && c.registration != fleet.RegistrationPresent && now.Sub(c.target.upSince) < registrationTimeout
}

// introduce lets the balancers hear of the agent once it knows its target. What it
// said before would only be its own ignorance, and would stand for long if it was
// the last thing that a balancer heard.
func (c *Core) introduce(now time.Time) {
	if c.introduced || !c.targetKnown || c.awaitsRegistration(now) {
		return
	}
	c.introduced = true
	c.acks.changed(c.seq + 1)
	for _, ip := range c.opts.Seeds {
		c.announceTo(now, ip, true)
	}
	c.announceAll(now)
}

// periodTo is how soon a balancer hears of this agent again.
func (c *Core) periodTo(ip flow.IPv4) time.Duration {
	if zone, known := c.view.ZoneOf(ip); known && zone == c.opts.Zone {
		return fleet.SameZonePeriod
	}
	return c.crossZonePeriod
}

func (c *Core) announceTo(now time.Time, to flow.IPv4, wantPeers bool) {
	if !c.introduced {
		return
	}
	a := c.announcementTo(now, to)
	a.WantPeers = wantPeers
	c.port.ToNode(to, a.Append(c.buf[:0]), nil)
}

// announcementTo is the next announcement, as a balancer gets it.
func (c *Core) announcementTo(now time.Time, to flow.IPv4) fleet.Announcement {
	a := c.announcement(now)
	c.seq++
	a.MessageID = fleet.MessageID{Incarnation: c.opts.Incarnation, Seq: c.seq}
	a.Period = c.periodTo(to)
	a.WantReply = c.acks.wants(to)
	c.acks.sent(now, to)
	return a
}
