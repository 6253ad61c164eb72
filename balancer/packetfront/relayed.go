package packetfront

import (
	"time"

	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/fleet/zonecast"
	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/flow/envelope"
)

// handleBatch handles a batch of messages that another balancer relays. A message of a process
// that was not seen directly is not applied; the node is probed instead.
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
		// The relay that sends a beacon first to the balancers also sends it to the agents.
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
	switch c.view.TargetProcess(r.From, a.ProcessIncarnation) {
	case fleet.ProcessCurrent:
		c.refreshTarget(now, r.From, a)
	case fleet.ProcessUnknown:
		c.probeRelayed(now, r.From)
	}
	return nil
}

// refreshTarget applies a relayed announcement of a known target. If it contains changes that are
// accepted only from the agent itself, the agent is probed.
func (c *Core) refreshTarget(now time.Time, ip flow.IPv4, a fleet.Announcement) {
	t, _ := c.view.Target(ip)
	a, probe := t.FilterRelayed(a)
	if c.recordAnnouncement(now, ip, a) == fleet.Stale {
		return
	}
	c.view.MarkRelayed(ip)
	if probe {
		c.probeRelayed(now, ip)
	}
}

func (c *Core) handleRelayedBeacon(now time.Time, r fleet.RelayedMessage) error {
	m, err := fleet.DecodeBeacon(r.Message)
	if err != nil {
		return err
	}
	switch c.view.PeerProcess(r.From, m.ProcessIncarnation) {
	case fleet.ProcessCurrent:
		c.recordBeacon(now, r.From, m)
		c.view.MarkRelayed(r.From)
	case fleet.ProcessUnknown:
		c.probeRelayed(now, r.From)
	}
	return nil
}

// probeRelayed probes a node that is known from relayed messages only, or whose relayed message
// needs confirmation. The node answers with its own announcement or beacon.
func (c *Core) probeRelayed(now time.Time, ip flow.IPv4) {
	if c.relays.introductions.Allow(now, ip, zonecast.RelayedIntroductionPause) {
		c.sendBeacon(now, ip, fleet.Beacon{WantPeers: true})
	}
}

// probeOverdue probes the nodes of other zones whose relayed messages have stopped arriving.
func (c *Core) probeOverdue(now time.Time) {
	probe := func(ip flow.IPv4, lastSeen time.Time) {
		c.events.NodeProbed(ip, now.Sub(lastSeen))
		c.sendBeacon(now, ip, fleet.Beacon{WantPeers: true})
	}
	for _, ip := range c.view.TargetsToProbe(now, c.opts.Zone, c.relays.usesRelays) {
		t, _ := c.view.Target(ip)
		probe(ip, t.LastSeen)
	}
	for _, ip := range c.view.PeersToProbe(now, c.opts.Zone, 0, c.relays.usesRelays) {
		p, _ := c.view.Peer(ip)
		probe(ip, p.LastSeen)
	}
}
