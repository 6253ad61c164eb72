package envelope

import (
	"encoding/binary"

	"github.com/poppywall/poppywall/flow"
)

// Inquiry is what stands behind an envelope of the kinds Inquire and Inquired: flows that
// the targets on its way are asked about, all at once.
//
// Layout: number of unsure targets (1), number of flows (1), each unsure target's address
// (4), then for each flow its key (12) and the acknowledgement of its client's packet (4).
type Inquiry struct {
	// Unsure are the targets that could not tell by a flow's key alone.
	Unsure []flow.IPv4
	Flows  []AskedFlow
}

// AskedFlow is a flow that targets are asked about.
type AskedFlow struct {
	Key flow.Key
	// Ack is the acknowledgement of its client: it tells the flow from others between the
	// same ports.
	Ack uint32
}

const (
	// MaxAsked bounds the flows of an inquiry: with the longest envelope and all targets
	// unsure it is one datagram of 1,200 bytes.
	MaxAsked    = 48
	inquiryHead = 2
	unsureLen   = 4
	askedLen    = keyLen + 4
)

// Append appends the encoded inquiry.
func (q *Inquiry) Append(b []byte) []byte {
	b = append(b, byte(len(q.Unsure)), byte(len(q.Flows)))
	for _, ip := range q.Unsure {
		b = binary.BigEndian.AppendUint32(b, uint32(ip))
	}
	for _, f := range q.Flows {
		b = AppendKey(b, f.Key)
		b = binary.BigEndian.AppendUint32(b, f.Ack)
	}
	return b
}

// DecodeInquiry reads an inquiry.
func DecodeInquiry(b []byte) (Inquiry, error) {
	if len(b) < inquiryHead {
		return Inquiry{}, ErrMalformed
	}
	unsure, flows := int(b[0]), int(b[1])
	b = b[inquiryHead:]
	if unsure > MaxCandidates+1 || flows > MaxAsked || len(b) != unsure*unsureLen+flows*askedLen {
		return Inquiry{}, ErrMalformed
	}
	var q Inquiry
	for ; unsure > 0; unsure-- {
		q.Unsure = append(q.Unsure, flow.IPv4(binary.BigEndian.Uint32(b)))
		b = b[unsureLen:]
	}
	for ; len(b) > 0; b = b[askedLen:] {
		key, err := DecodeKey(b[:keyLen])
		if err != nil {
			return Inquiry{}, err
		}
		q.Flows = append(q.Flows, AskedFlow{Key: key, Ack: binary.BigEndian.Uint32(b[keyLen:])})
	}
	return q, nil
}
