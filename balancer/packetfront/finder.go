package packetfront

import (
	"time"

	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/flow/envelope"
)

// finderPort implements search.Port for a core.
type finderPort struct{ *Core }

// Send implements search.Port.
func (c finderPort) Send(target flow.IPv4, env *envelope.Envelope, packet []byte) {
	c.sendEnvelope(env, target, packet)
}

// Forward implements search.Port.
func (c finderPort) Forward(key flow.Key, target flow.IPv4, packet []byte) {
	c.forward(key, target, packet)
}

// Route implements search.Port.
func (c finderPort) Route(now time.Time, key flow.Key, h *flow.Header, packet []byte) {
	c.route(now, key, h, packet)
}

// Reset implements search.Port.
func (c finderPort) Reset(key flow.Key, seq uint32) { c.port.Reset(key, seq) }

// handleReturned handles a packet that an agent returned: a SYN that every candidate refused, or
// a packet of a flow that no target probed by its search holds.
func (c *Core) handleReturned(now time.Time, from flow.IPv4, datagram []byte) error {
	packet, err := c.env.Decode(datagram)
	if err != nil {
		return err
	}
	h, err := c.codec.Decode(packet)
	if err != nil {
		return err
	}
	key := h.KeyFromClient()
	if h.IsOpening() {
		c.refuseReturned(now, key, &h)
		return nil
	}
	c.finder.HandleReturned(now, from, key, c.env, &h, packet)
	return nil
}
