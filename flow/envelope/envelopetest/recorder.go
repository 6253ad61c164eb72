// Package envelopetest records what the core of a packet front sends, for tests.
package envelopetest

import (
	"slices"

	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/flow/envelope"
)

// Sent is a datagram to a node.
type Sent struct {
	To   flow.IPv4
	Kind envelope.Kind
	// Env is the envelope of a packet; zero for messages of package fleet, which are no
	// envelopes.
	Env envelope.Envelope
	Raw []byte
}

// Recorder keeps what a core sends to nodes and which flows it resets.
type Recorder struct {
	Nodes  []Sent
	Resets []flow.Key
}

// ToNode records a datagram.
func (r *Recorder) ToNode(to flow.IPv4, head, packet []byte) {
	s := Sent{To: to, Raw: slices.Concat(head, packet)}
	// A datagram that is neither envelope nor message has the kind zero, which is none.
	s.Kind, _ = envelope.KindOf(s.Raw)
	_, _ = s.Env.Decode(s.Raw)
	r.Nodes = append(r.Nodes, s)
}

// Reset records a reset.
func (r *Recorder) Reset(key flow.Key, _ uint32) { r.Resets = append(r.Resets, key) }

// Last returns the latest datagram.
func (r *Recorder) Last() Sent { return r.Nodes[len(r.Nodes)-1] }

// OfKind returns the datagrams of one kind.
func (r *Recorder) OfKind(k envelope.Kind) []Sent {
	return slices.DeleteFunc(slices.Clone(r.Nodes), func(s Sent) bool { return s.Kind != k })
}

// Delivered returns the envelopes that carried packets.
func (r *Recorder) Delivered() []Sent { return r.OfKind(envelope.Deliver) }
