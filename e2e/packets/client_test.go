package packets

import (
	"time"

	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/model/sim"
	"github.com/poppywall/poppywall/platform"
	"github.com/poppywall/poppywall/platform/platformtest"
)

// client is a flow, seen from its client's end of the connection.
type client struct {
	w     *world
	key   flow.Key
	zone  string
	state clientState
	// targetSeq is the sequence number of the accepted SYN+ACK; target is the target that
	// sent it.
	targetSeq uint32
	target    *target
	// requested counts the requests, answered those that were answered, retries the
	// retransmissions of the current one.
	requested, answered, retries int
	// stuckSince is when the current request was first sent.
	stuckSince time.Time
	// pausedUntil is when the client sends its next request at the earliest.
	pausedUntil time.Time
}

// clientState is the state of a flow at its client. stateAbandoned means that the client gave
// up because no SYN was answered.
type clientState uint8

const (
	stateOpening clientState = iota
	stateEstablished
	stateReset
	stateAbandoned
)

// clientDelay is a packet's one-way delay from a client to a balancer.
const clientDelay = 300 * time.Microsecond

// initialRetransmitInterval is the time to the first retransmission of a request; each
// further interval doubles, up to 1.6 s.
const initialRetransmitInterval = 200 * time.Millisecond

func (w *world) addClient(zone string, front flow.Front) *client {
	c := &client{w: w, zone: zone, key: flow.Key{
		ClientIP: 0x64400000 + flow.IPv4(len(w.clients)+1), ClientPort: 1024, FrontIP: front.IP, FrontPort: front.Port,
	}}
	w.clients = append(w.clients, c)
	for i, delay := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond} {
		w.After(delay, func() {
			if c.state == stateOpening {
				c.send(flow.SYN, 0x1000, uint32(i), nil)
			}
		})
	}
	w.After(1400*time.Millisecond, func() {
		if c.state == stateOpening {
			c.state = stateAbandoned
		}
	})
	return c
}

// send sends a packet to a random balancer that is up, in any zone.
func (c *client) send(flags flow.Flags, seq, ack uint32, data []byte) {
	w := c.w
	var up []*sim.Balancer
	for _, ip := range w.BalancerIPs() {
		if b := w.Balancers[ip]; b.Up {
			up = append(up, b)
		}
	}
	if len(up) == 0 {
		return
	}
	b := up[w.Rnd.IntN(len(up))]
	packet := platformtest.FromClient(c.key, flags, seq, ack, data)
	w.Send(clientDelay, func(p []byte) {
		if !b.Up {
			return
		}
		h, err := platform.DecodePacket(p)
		if err != nil {
			w.addViolation("client packet: %v", err)
			return
		}
		b.Core.HandleClient(w.Now, &h, p)
	}, packet)
}

func (w *world) deliverToClient(ip flow.IPv4, packet []byte) {
	for _, c := range w.clients {
		if c.key.ClientIP == ip {
			c.handlePacket(packet)
		}
	}
}

// handlePacket handles a packet that reached the client.
func (c *client) handlePacket(p []byte) {
	h, err := platform.DecodePacket(p)
	if err != nil || h.KeyFromTarget() != c.key {
		c.w.addViolation("a client got a packet of another flow")
		return
	}
	switch {
	case h.Flags.Has(flow.RST):
		// A reset sent by a balancer or an agent is valid near the client's last
		// acknowledgement, or while the flow is not open.
		if c.state == stateOpening || flow.WithinSequenceWindow(h.Seq, c.lastAck()) {
			c.handleReset()
		}
	case h.Flags.Has(flow.SYN | flow.ACK):
		if c.state == stateOpening {
			c.state, c.targetSeq = stateEstablished, h.Seq
			c.target = c.w.targetOfFlow(c.key, h.Seq)
			if c.pause() {
				c.acknowledge()
				return
			}
			c.request()
		}
	case c.state == stateEstablished && h.Len > 0 && int(h.Ack) == c.requested:
		if c.answered < c.requested {
			c.answered = c.requested
			c.retries = 0
			c.pause()
		}
	}
}

// targetOfFlow returns the running target that sent the SYN+ACK with the sequence number, or
// nil.
func (w *world) targetOfFlow(key flow.Key, seq uint32) *target {
	for _, a := range w.agents {
		if a.target == nil {
			continue
		}
		if f, ok := a.target.flows[key]; ok && f.seq == seq {
			return a.target
		}
	}
	return nil
}

// isRunning reports whether a target still runs.
func (w *world) isRunning(t *target) bool {
	for _, a := range w.agents {
		if a.target == t && t != nil {
			return true
		}
	}
	return false
}

func (c *client) handleReset() {
	if c.state == stateEstablished && c.w.isRunning(c.target) && c.target.flows[c.key] != nil && c.target.flows[c.key].open {
		c.w.addViolation("flow %v was reset while its target %s runs", c.key, c.target.id)
	}
	if c.state == stateOpening || c.state == stateEstablished {
		c.state = stateReset
	}
}

// pause lets every second client pause before its next request, for up to the world's longest
// pause, and reports whether it does.
func (c *client) pause() bool {
	w := c.w
	if w.maxPause == 0 || w.pauses.IntN(2) == 0 {
		return false
	}
	c.pausedUntil = w.Now.Add(time.Duration(w.pauses.Int64N(int64(w.maxPause))))
	return true
}

// acknowledge sends the end of the handshake without a request.
func (c *client) acknowledge() { c.send(flow.ACK, 0, c.lastAck(), nil) }

// request sends the next request, unless the client pauses, and retransmits it until it is answered.
func (c *client) request() {
	if c.state != stateEstablished || c.requested != c.answered || c.w.Now.Before(c.pausedUntil) {
		return
	}
	c.requested++
	c.stuckSince = c.w.Now
	c.transmit(c.requested, initialRetransmitInterval)
}

func (c *client) transmit(number int, pause time.Duration) {
	if c.state != stateEstablished || c.answered >= number {
		return
	}
	c.send(flow.ACK, uint32(number), c.lastAck(), []byte("request"))
	c.w.After(pause, func() { c.transmit(number, min(2*pause, 1600*time.Millisecond)) })
}

// lastAck returns the client's current acknowledgement number.
func (c *client) lastAck() uint32 {
	if c.answered == 0 {
		return c.targetSeq
	}
	return c.targetSeq + 100*uint32(c.answered+1)
}
