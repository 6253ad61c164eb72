// Package envelopetest records the datagrams that the core of a packet front sends, for
// tests.
package envelopetest

import (
	"slices"

	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/flow/envelope"
)

// Sent is a datagram that was sent to a node.
type Sent struct {
	To   flow.IPv4
	Kind envelope.Kind
	// Env is the envelope of a packet; zero for messages of package fleet, which have no
	// envelope.
	Env envelope.Envelope
	Raw []byte
}

// Recorder records the datagrams that a core sends to nodes, and the flows that it resets.
type Recorder struct {
	Nodes  []Sent
	Resets []flow.Key
}

// ToNode records a datagram.
func (r *Recorder) ToNode(to flow.IPv4, head, packet []byte) {
	s := Sent{To: to, Raw: slices.Concat(head, packet)}
	// A datagram that is neither an envelope nor a message gets the kind zero, which no
	// datagram has.
	s.Kind, _ = envelope.KindOf(s.Raw)
	_, _ = s.Env.Decode(s.Raw)
	r.Nodes = append(r.Nodes, s)
}

// Reset records the reset of a flow.
func (r *Recorder) Reset(key flow.Key, _ uint32) { r.Resets = append(r.Resets, key) }

// Last returns the last datagram.
func (r *Recorder) Last() Sent { return r.Nodes[len(r.Nodes)-1] }

// OfKind returns the datagrams of one kind.
func (r *Recorder) OfKind(k envelope.Kind) []Sent {
	return slices.DeleteFunc(slices.Clone(r.Nodes), func(s Sent) bool { return s.Kind != k })
}

// Delivered returns the datagrams of kind Deliver.
func (r *Recorder) Delivered() []Sent { return r.OfKind(envelope.Deliver) }
