package packetfront

import (
	"time"

	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/fleet/zonecast"
	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/flow/envelope"
)

// handleBatch takes what another balancer relays. Messages of processes that were not
// heard themselves only tell whom to greet.
func (c *Core) handleBatch(now time.Time, datagram []byte) error {
	messages, err := fleet.DecodeBatch(datagram)
	if err != nil {
		return err
	}
	for _, r := range messages {
		if r.From == c.opts.Self {
			continue
		}
		if e := c.handleRelayed(now, r); e != nil {
			err = e
		}
	}
	return err
}

func (c *Core) handleRelayed(now time.Time, r fleet.RelayedMessage) error {
	kind, err := r.Kind()
	if err != nil {
		return err
	}
	if id, e := fleet.DecodeMessageID(r.Message); e == nil && c.relays.forBalancers.Discard(r.From, id) {
		// Who was first tells the agents too.
		c.relays.forAgents.Discard(r.From, id)
	}
	if kind == envelope.Announce {
		return c.handleRelayedAnnouncement(now, r)
	}
	return c.handleRelayedBeacon(now, r)
}

func (c *Core) handleRelayedAnnouncement(now time.Time, r fleet.RelayedMessage) error {
	a, err := fleet.DecodeAnnouncement(r.Message)
	if err != nil {
		return err
	}
	switch c.view.TargetProcess(r.From, a.Incarnation) {
	case fleet.ProcessCurrent:
		c.refreshTarget(now, r.From, a)
	case fleet.ProcessUnknown:
		c.probeNamed(now, r.From)
	}
	return nil
}

// refreshTarget notes what others relay of a target, and asks its agent where that is
// not enough.
func (c *Core) refreshTarget(now time.Time, ip flow.IPv4, a fleet.Announcement) {
	h, _ := c.view.Target(ip)
	a, ask := h.FilterRelayed(a)
	if c.recordAnnouncement(now, ip, a) == fleet.Stale {
		return
	}
	c.view.MarkRelayed(ip)
	if ask {
		c.probeNamed(now, ip)
	}
}

func (c *Core) handleRelayedBeacon(now time.Time, r fleet.RelayedMessage) error {
	m, err := fleet.DecodeBeacon(r.Message)
	if err != nil {
		return err
	}
	switch c.view.PeerProcess(r.From, m.Incarnation) {
	case fleet.ProcessCurrent:
		c.recordBeacon(now, r.From, m)
		c.view.MarkRelayed(r.From)
	case fleet.ProcessUnknown:
		c.probeNamed(now, r.From)
	}
	return nil
}

// probeNamed greets a node that others name, or tell something new of, which then announces itself.
func (c *Core) probeNamed(now time.Time, ip flow.IPv4) {
	if c.relays.introduced.Allow(now, ip, zonecast.RelayedIntroductionPause) {
		c.sendBeacon(now, ip, fleet.Beacon{WantPeers: true})
	}
}

// probeOverdue asks the nodes of other zones whose messages are not relayed any more.
func (c *Core) probeOverdue(now time.Time) {
	ask := func(ip flow.IPv4, heardAt time.Time) {
		c.events.Probed(ip, now.Sub(heardAt))
		c.sendBeacon(now, ip, fleet.Beacon{WantPeers: true})
	}
	for _, ip := range c.view.TargetsToProbe(now, c.opts.Zone, c.relays.usesRelays) {
		h, _ := c.view.Target(ip)
		ask(ip, h.LastSeen)
	}
	for _, ip := range c.view.PeersToProbe(now, c.opts.Zone, 0, c.relays.usesRelays) {
		p, _ := c.view.Peer(ip)
		ask(ip, p.LastSeen)
	}
}
