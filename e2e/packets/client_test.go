package packets

import (
	"time"

	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/model/sim"
	"github.com/poppywall/poppywall/platform"
	"github.com/poppywall/poppywall/platform/platformtest"
)

// client is one flow of a client, as the protocol describes its end.
type client struct {
	w     *world
	key   flow.Key
	zone  string
	state clientState
	// targetSeq is the sequence number of the SYN+ACK that was taken; target is the
	// oracle's target behind it.
	targetSeq uint32
	target    *target
	// asked counts requests, answered those answered; retries the copies of the
	// present one.
	asked, answered, retries int
	// stuckSince is when the present request was first sent.
	stuckSince time.Time
}

type clientState uint8

const (
	opening clientState = iota
	established
	refused
	givenUp
)

// clientDelay is how long a packet travels to a balancer.
const clientDelay = 300 * time.Microsecond

// retransmit is the first interval; it doubles.
const retransmit = 200 * time.Millisecond

func (w *world) addClient(zone string, front flow.Front) *client {
	c := &client{w: w, zone: zone, key: flow.Key{
		ClientIP: 0x64400000 + flow.IPv4(len(w.clients)+1), ClientPort: 1024, FrontIP: front.IP, FrontPort: front.Port,
	}}
	w.clients = append(w.clients, c)
	for i, delay := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond} {
		w.After(delay, func() {
			if c.state == opening {
				c.send(flow.SYN, 0x1000, uint32(i), nil)
			}
		})
	}
	w.After(1400*time.Millisecond, func() {
		if c.state == opening {
			c.state = givenUp
		}
	})
	return c
}

// send hands a packet to a balancer of the client's zone that is up, any one.
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
			w.violate("client packet: %v", err)
			return
		}
		b.Core.HandleClient(w.Now, &h, p)
	}, packet)
}

func (w *world) toClient(ip flow.IPv4, packet []byte) {
	for _, c := range w.clients {
		if c.key.ClientIP == ip {
			c.take(packet)
		}
	}
}

// take is what a client does with a packet.
func (c *client) take(p []byte) {
	h, err := platform.DecodePacket(p)
	if err != nil || h.KeyFromTarget() != c.key {
		c.w.violate("a client got a packet that is not its own")
		return
	}
	switch {
	case h.Flags.Has(flow.RST):
		// A reset of the system's own is valid near the client's last
		// acknowledgement, or while the flow is not open.
		if c.state == opening || flow.WithinSequenceWindow(h.Seq, c.lastAck()) {
			c.reset()
		}
	case h.Flags.Has(flow.SYN | flow.ACK):
		if c.state == opening {
			c.state, c.targetSeq = established, h.Seq
			c.target = c.w.holder(c.key, h.Seq)
			c.request()
		}
	case c.state == established && h.Len > 0 && int(h.Ack) == c.asked:
		if c.answered < c.asked {
			c.answered = c.asked
			c.retries = 0
		}
	}
}

// holder finds the target that answered with the sequence number.
func (w *world) holder(key flow.Key, seq uint32) *target {
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

// alive tells whether a target still runs.
func (w *world) alive(h *target) bool {
	for _, a := range w.agents {
		if a.target == h && h != nil {
			return true
		}
	}
	return false
}

func (c *client) reset() {
	if c.state == established && c.w.alive(c.target) && c.target.flows[c.key] != nil && c.target.flows[c.key].open {
		c.w.violate("flow %v was reset while its target %s lives", c.key, c.target.id)
	}
	if c.state == opening || c.state == established {
		c.state = refused
	}
}

// request sends the next request and repeats it until it is answered.
func (c *client) request() {
	if c.state != established || c.asked != c.answered {
		return
	}
	c.asked++
	c.stuckSince = c.w.Now
	c.copy(c.asked, retransmit)
}

func (c *client) copy(number int, pause time.Duration) {
	if c.state != established || c.answered >= number {
		return
	}
	c.send(flow.ACK, uint32(number), c.lastAck(), []byte("request"))
	c.w.After(pause, func() { c.copy(number, min(2*pause, 1600*time.Millisecond)) })
}

// lastAck is the client's acknowledgement.
func (c *client) lastAck() uint32 {
	if c.answered == 0 {
		return c.targetSeq
	}
	return c.targetSeq + 100*uint32(c.answered+1)
}
