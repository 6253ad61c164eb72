package packetfront

import (
	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/flow/envelope"
)

// handleInquiry answers a balancer's question about many flows, and passes it on. What the
// target holds the balancer hears at once; where this agent does not know all flows of its
// target, the question names it as unsure.
func (c *Core) handleInquiry(datagram []byte) error {
	body, err := c.env.Decode(datagram)
	if err != nil {
		return err
	}
	q, err := envelope.DecodeInquiry(body)
	if err != nil {
		return err
	}
	for _, asked := range q.Flows {
		c.answerInquiry(asked)
	}
	if sure, _ := c.knowsAll(); !sure {
		q.Unsure = append(q.Unsure, c.opts.Self)
	}
	answer := q.Append(nil)
	if !c.sendNext(answer) {
		c.env.Kind = envelope.Inquired
		c.sendEnvelope(c.env.Balancer, answer)
	}
	return nil
}

// answerInquiry tells the balancer, or the client, what is known of a flow here.
func (c *Core) answerInquiry(asked envelope.AskedFlow) {
	r := c.flows.get(asked.Key)
	if r == nil || !r.holds(&flow.Header{Ack: asked.Ack}) {
		return
	}
	if r.stage == dead {
		c.events.Reset(asked.Key, "its target has ended")
		c.port.Reset(asked.Key, asked.Ack)
		return
	}
	c.tellOwner(asked.Key, c.env.Balancer, c.env.Hops)
}
