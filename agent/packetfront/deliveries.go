package packetfront

import (
	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/flow/envelope"
)

// ringSize bounds the delivered packets whose envelopes are recorded in case the target
// bounces them: a target answers within milliseconds, and at 10,000 packets per second
// the ring covers 200 ms.
const (
	ringBits = 11
	ringSize = 1 << ringBits
)

// recordedDelivery is the envelope of a delivered packet, with the candidates that the
// packet goes to if the target bounces it.
type recordedDelivery struct {
	generation uint32
	key        flow.Key
	env        envelope.Envelope
}

// deliveryRing records the last delivered packets that the target may bounce. The echo
// field of a packet, which the target returns, holds the entry's index and generation.
type deliveryRing struct {
	ring []recordedDelivery
	next uint32
}

func newDeliveryRing() *deliveryRing { return &deliveryRing{ring: make([]recordedDelivery, ringSize)} }

// put records a packet's envelope and returns the echo that identifies the entry, never
// zero.
func (r *deliveryRing) put(key flow.Key, env *envelope.Envelope) uint32 {
	index := r.next % ringSize
	r.next++
	e := &r.ring[index]
	e.generation++
	if e.generation >= 1<<(32-ringBits) {
		e.generation = 1
	}
	e.key, e.env = key, *env
	return e.generation<<ringBits | index
}

// take returns the envelope of a bounced packet once. It returns nil if the entry was
// overwritten or the packet was never delivered.
func (r *deliveryRing) take(echo uint32, key flow.Key) *envelope.Envelope {
	e := &r.ring[echo%ringSize]
	if echo == 0 || e.generation != echo>>ringBits || e.key != key || e.env.Kind != envelope.Deliver {
		return nil
	}
	e.key = flow.Key{}
	return &e.env
}
