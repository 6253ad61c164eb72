package packetfront

import (
	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/flow/envelope"
)

// ringSize bounds the packets whose way is remembered until the target bounces
// them: a target answers within milliseconds, and at 10,000 packets a second the
// ring lasts for 200 ms.
const (
	ringBits = 11
	ringSize = 1 << ringBits
)

// pendingDelivery is the way that a delivered packet may still go.
type pendingDelivery struct {
	generation uint32
	key        flow.Key
	env        envelope.Envelope
}

// deliveryRing is a ring of the last delivered packets whose target may not take them.
// The echo field of a packet carries the index and a generation.
type deliveryRing struct {
	ring []pendingDelivery
	next uint32
}

func newDeliveryRing() *deliveryRing { return &deliveryRing{ring: make([]pendingDelivery, ringSize)} }

// put remembers a packet's way and returns the echo that finds it, never zero.
func (n *deliveryRing) put(key flow.Key, env *envelope.Envelope) uint32 {
	slot := n.next % ringSize
	n.next++
	e := &n.ring[slot]
	e.generation++
	if e.generation >= 1<<(32-ringBits) {
		e.generation = 1
	}
	e.key, e.env = key, *env
	return e.generation<<ringBits | slot
}

// take returns the way of a bounced packet once, nil when it was overwritten or
// never delivered.
func (n *deliveryRing) take(echo uint32, key flow.Key) *envelope.Envelope {
	e := &n.ring[echo%ringSize]
	if echo == 0 || e.generation != echo>>ringBits || e.key != key || e.env.Kind != envelope.Deliver {
		return nil
	}
	e.key = flow.Key{}
	return &e.env
}
