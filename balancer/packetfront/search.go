package packetfront

import (
	"slices"
	"time"

	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/flow/envelope"
)

// seek searches for the host of a flow that the balancer does not know, by one of
// the flow's packets. Where all hosts of an earlier moment have denied the flow,
// only those that came since are asked.
func (c *Core) seek(now time.Time, key flow.Key, h *flow.Header, packet []byte) {
	route, ok := c.config.Routes[key.Front()]
	if !ok {
		c.limbo.drop(key)
		c.events.Dropped(DropNoRoute)
		return
	}
	k := c.limbo.flows[key]
	candidates, complete := c.searchCandidates(now, key, route, k.denials())
	if len(candidates) == 0 {
		c.nobodyToAsk(now, key, h, packet)
		return
	}
	c.searches++
	if k = c.limbo.ask(now, key, packet); k == nil {
		// There is no room to keep the packet: it is sent along the first hosts, and
		// its client repeats it if none of them holds the flow.
		c.sendAlong(packet, first(candidates, searchRound), 0)
		return
	}
	if k.backward() {
		slices.Reverse(candidates)
	}
	k.begin(c.searches, c.view.Generation(), candidates, complete)
	c.askOn(now, key, k)
}

// nobodyToAsk handles a packet of an unknown flow for which there is no host to
// ask.
func (c *Core) nobodyToAsk(now time.Time, key flow.Key, h *flow.Header, packet []byte) {
	if k, kept := c.limbo.flows[key]; kept && k.denied {
		c.conclude(now, key, k, h, 0)
		return
	}
	if c.settled(now) {
		c.limbo.drop(key)
		c.events.Dropped(DropNoCandidate)
		return
	}
	c.park(now, key, h, packet, KeepUnsettled)
}

// askOn sends the first packet of a flow along the next hosts of its search.
func (c *Core) askOn(now time.Time, key flow.Key, k *keptFlow) {
	next := first(k.unasked, searchRound)
	k.unasked, k.next = k.unasked[len(next):], now.Add(limboPause)
	c.events.Searching(key, len(next), k.round)
	k.round++
	c.sendAlong(k.first, next, k.searchID)
}

// sendAlong sends a packet to the first of some hosts, to be passed on to the
// others.
func (c *Core) sendAlong(packet []byte, hosts []flow.Candidate, searchID uint32) {
	c.env = envelope.Envelope{
		Kind: envelope.Deliver, Balancer: c.opts.Self, Flags: envelope.Search, SearchID: searchID, Service: hosts[0].Service,
	}
	c.env.SetCandidates(hosts[1:])
	c.send(hosts[0].Host, packet)
}

// handleReturned takes a packet back that nobody took. One that was sent to the
// remembered host of its flow is searched for; a search goes on, or ends.
func (c *Core) handleReturned(now time.Time, from flow.IPv4, datagram []byte) error {
	packet, err := c.env.Decode(datagram)
	if err != nil {
		return err
	}
	h, err := c.codec.Decode(packet)
	if err != nil {
		return err
	}
	key, env := h.FromClient(), c.env
	if h.IsOpening() {
		c.refuseAll(now, key, &h)
		return nil
	}
	c.table.drop(key, from)
	if env.Flags&envelope.Search == 0 {
		c.route(now, key, &h, packet)
		return nil
	}
	k, kept := c.limbo.flows[key]
	if !kept || !k.asking || k.searchID != env.SearchID {
		c.events.Dropped(DropLateAnswer)
		return nil
	}
	k.unsure = k.unsure || env.Flags&envelope.Unsure != 0
	if len(k.unasked) > 0 {
		c.askOn(now, key, k)
		return nil
	}
	c.allAsked(now, key, k, &h, int(env.Hops))
	return nil
}

// allAsked ends a search in which every host was asked and none has the flow.
func (c *Core) allAsked(now time.Time, key flow.Key, k *keptFlow, h *flow.Header, hops int) {
	k.asking = false
	if k.unsure {
		c.events.Lost(key, hops, DoubtHost, 0)
		k.next = now.Add(limboPause)
		return
	}
	k.denied, k.deniedUpTo = true, k.generation
	c.conclude(now, key, k, h, hops)
}

// conclude decides on a flow that all hosts have denied that were known when its
// search began. Those that came since are asked; otherwise its client is told at
// once when the flow is certainly over, and while that is not certain it is looked
// at again.
func (c *Core) conclude(now time.Time, key flow.Key, k *keptFlow, h *flow.Header, hops int) {
	if c.view.Generation() != k.deniedUpTo && c.anyoneSince(now, k.deniedUpTo) {
		c.seek(now, key, h, k.first)
		return
	}
	doubt, missing := c.incomplete(now)
	if doubt == "" {
		doubt = c.unsurveyed(k.since)
	}
	c.events.Lost(key, hops, doubt, missing)
	if doubt != "" {
		k.next = now.Add(limboPause)
		return
	}
	c.limbo.drop(key)
	if !h.Flags.Has(flow.RST) {
		c.port.Reset(key, h.Ack)
	}
}

// anyoneSince tells whether a host that may hold flows came after a generation of
// the view.
func (c *Core) anyoneSince(now time.Time, generation uint32) bool {
	for _, tag := range c.view.Services() {
		for _, h := range c.view.Service(tag) {
			if h.MayHoldSince(now, generation) {
				return true
			}
		}
	}
	return false
}
