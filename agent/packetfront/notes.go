package packetfront

import (
	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/flow/envelope"
)

// noteSlots bounds the packets whose way is remembered until the target bounces
// them: a target answers within milliseconds, and at 10,000 packets a second the
// ring lasts for 200 ms.
const (
	noteBits  = 11
	noteSlots = 1 << noteBits
)

// note is the way that a delivered packet may still go.
type note struct {
	generation uint32
	key        flow.Key
	env        envelope.Envelope
}

// notes is a ring of the last delivered packets whose target may not take them.
// The echo field of a packet carries the index and a generation.
type notes struct {
	ring []note
	next uint32
}

func newNotes() *notes { return &notes{ring: make([]note, noteSlots)} }

// put remembers a packet's way and returns the echo that finds it, never zero.
func (n *notes) put(key flow.Key, env *envelope.Envelope) uint32 {
	slot := n.next % noteSlots
	n.next++
	e := &n.ring[slot]
	e.generation++
	if e.generation >= 1<<(32-noteBits) {
		e.generation = 1
	}
	e.key, e.env = key, *env
	return e.generation<<noteBits | slot
}

// take returns the way of a bounced packet once, nil when it was overwritten or
// never delivered.
func (n *notes) take(echo uint32, key flow.Key) *envelope.Envelope {
	e := &n.ring[echo%noteSlots]
	if echo == 0 || e.generation != echo>>noteBits || e.key != key || e.env.Kind != envelope.Deliver {
		return nil
	}
	e.key = flow.Key{}
	return &e.env
}
