// Package envelope is the header that balancers and agents put in front of a
// client's packet while it travels between them. The packet itself stays
// untouched behind it.
//
// Layout, big-endian: magic (2), version (1), kind (1), balancer (4), hops (1),
// flags (1), candidate count (1), priority (1), service (4), search (4),
// objective (2), deadline (2), least loaded target (4), its wait (2), cold rate (2),
// then 8 bytes for each candidate still to try (address 4, service 4), then the packet. Times
// are whole milliseconds, at most 65,535.
//
// Cost: decoding allocates nothing (BenchmarkDecode).
package envelope

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/go-faster/errors"

	"github.com/poppywall/poppywall/flow"
)

// Kind tells what a datagram between nodes is.
type Kind uint8

// The kinds. Those from Announce on belong to package fleet.
const (
	// Deliver carries a client's packet to the target that should have it.
	Deliver Kind = 1 + iota
	// Returned carries a packet back to its balancer: nobody took it.
	Returned
	// Owner tells a balancer which target holds a flow; the packet part is the
	// flow's key.
	Owner
	// Announce, Beacon, Peers, Evacuated, Relay and Batch are messages of package fleet.
	Announce
	Beacon
	Peers
	Evacuated
	Relay
	Batch
)

// KindNames are the names of all kinds in metrics, in order from Deliver on.
var KindNames = []string{"deliver", "returned", "owner", "announce", "beacon", "peers", "evacuated", "relay", "batch"}

// Index is the place of the kind in KindNames.
func (k Kind) Index() int { return int(k) - int(Deliver) }

// Flags of an envelope.
type Flags uint8

const (
	// Search marks a packet whose owner the balancer does not know; the owner
	// answers with an Owner message.
	Search Flags = 1 << iota
	// Searched marks a Returned packet for which every candidate was asked.
	Searched
	// Unsure marks a search in which a target could not say a certain no.
	Unsure
	// Settle marks a new flow that every candidate was offered: the receiver has
	// the shortest wait of them.
	Settle
	// Repeated marks a copy of an opening packet whose flow the balancer knows: an
	// earlier one has met somebody.
	Repeated
)

// Limits of the format.
const (
	// MaxCandidates bounds a search, and with it the length of an envelope.
	MaxCandidates = 32
	// MaxHops ends a packet that is passed on in circles.
	MaxHops = MaxCandidates + 8
	// PrefixLen is the length of magic, version and kind.
	PrefixLen = 4
	headLen   = 32
	itemLen   = 8
	// MaxLen is the longest envelope, in bytes.
	MaxLen = headLen + MaxCandidates*itemLen

	magic   = 0x7077
	version = 6
)

// ErrMalformed is returned for bytes that are no datagram of this system.
var ErrMalformed = errors.New("malformed envelope")

// Envelope is the decoded header.
type Envelope struct {
	Kind Kind
	// Balancer is the node that took the packet from the client.
	Balancer flow.IPv4
	// Hops counts the agents that passed the packet on.
	Hops  uint8
	Flags Flags
	// Service is what the receiver's target must serve.
	Service flow.Tag
	// SearchID numbers the searches of a balancer, over its restarts.
	SearchID uint32
	// Priority is that of the route, 0 the highest; for new flows only.
	Priority uint8
	// Objective and Deadline are those of the route's requests, zero when
	// unstated; for new flows only.
	Objective, Deadline time.Duration
	// Best is the target with the shortest wait of those that a new flow was offered
	// in vain, BestWait that wait; zero before the first.
	Best     flow.IPv4
	BestWait time.Duration
	// ColdRate is how many requests a second a target of the service bears while it is
	// cold, zero when that has no bound; for new flows only, in tenths.
	ColdRate float64
	// Count is the number of Candidates still to try, in order.
	Count      int
	Candidates [MaxCandidates]flow.Candidate
}

// SetCandidates replaces the candidates; those beyond the limit are left out.
func (e *Envelope) SetCandidates(list []flow.Candidate) {
	e.Count = copy(e.Candidates[:], list)
}

// Pop takes the first candidate off.
func (e *Envelope) Pop() (flow.Candidate, bool) {
	if e.Count == 0 {
		return flow.Candidate{}, false
	}
	first := e.Candidates[0]
	copy(e.Candidates[:], e.Candidates[1:e.Count])
	e.Count--
	return first, true
}

// AppendPrefix appends magic, version and kind.
func AppendPrefix(b []byte, k Kind) []byte {
	b = binary.BigEndian.AppendUint16(b, magic)
	return append(b, version, byte(k))
}

// KindOf checks the prefix and returns the kind.
func KindOf(b []byte) (Kind, error) {
	if len(b) < PrefixLen || binary.BigEndian.Uint16(b) != magic || b[2] != version {
		return 0, ErrMalformed
	}
	return Kind(b[3]), nil
}

// Append appends the encoded envelope.
func (e *Envelope) Append(b []byte) []byte {
	b = AppendPrefix(b, e.Kind)
	b = binary.BigEndian.AppendUint32(b, uint32(e.Balancer))
	b = append(b, e.Hops, byte(e.Flags), byte(e.Count), e.Priority)
	b = binary.BigEndian.AppendUint32(b, uint32(e.Service))
	b = binary.BigEndian.AppendUint32(b, e.SearchID)
	b = appendMillis(b, e.Objective)
	b = appendMillis(b, e.Deadline)
	b = binary.BigEndian.AppendUint32(b, uint32(e.Best))
	b = appendMillis(b, e.BestWait)
	b = binary.BigEndian.AppendUint16(b, uint16(min(max(math.Ceil(e.ColdRate*rateUnits-rateError), 0), math.MaxUint16)))
	for _, c := range e.Candidates[:e.Count] {
		b = binary.BigEndian.AppendUint32(b, uint32(c.Target))
		b = binary.BigEndian.AppendUint32(b, uint32(c.Service))
	}
	return b
}

// Decode reads an envelope into e and returns what stands behind it.
func (e *Envelope) Decode(b []byte) ([]byte, error) {
	kind, err := KindOf(b)
	if err != nil {
		return nil, err
	}
	if kind < Deliver || kind > Owner || len(b) < headLen {
		return nil, ErrMalformed
	}
	count := int(b[10])
	end := headLen + count*itemLen
	if count > MaxCandidates || len(b) < end {
		return nil, ErrMalformed
	}
	e.Kind = kind
	e.Balancer = flow.IPv4(binary.BigEndian.Uint32(b[4:]))
	e.Hops, e.Flags, e.Count = b[8], Flags(b[9]), count
	e.Priority = b[11]
	e.Service = flow.Tag(binary.BigEndian.Uint32(b[12:]))
	e.SearchID = binary.BigEndian.Uint32(b[16:])
	e.Objective, e.Deadline = millis(b[20:]), millis(b[22:])
	e.Best, e.BestWait = flow.IPv4(binary.BigEndian.Uint32(b[24:])), millis(b[28:])
	e.ColdRate = float64(binary.BigEndian.Uint16(b[30:])) / rateUnits
	for i := range count {
		at := b[headLen+i*itemLen:]
		e.Candidates[i] = flow.Candidate{
			Target:  flow.IPv4(binary.BigEndian.Uint32(at)),
			Service: flow.Tag(binary.BigEndian.Uint32(at[4:])),
		}
	}
	return b[end:], nil
}

// rateUnits are the steps of a rate on the wire, in one request a second; rateError is
// what the arithmetic may add to a whole number of them.
const (
	rateUnits = 10
	rateError = 1e-6
)

// appendMillis appends a time in whole milliseconds, the longest one that fits
// for those beyond.
func appendMillis(b []byte, d time.Duration) []byte {
	return binary.BigEndian.AppendUint16(b, uint16(min(max(d.Milliseconds(), 0), math.MaxUint16)))
}

func millis(b []byte) time.Duration {
	return time.Duration(binary.BigEndian.Uint16(b)) * time.Millisecond
}

// keyLen is the length of an encoded flow key.
const keyLen = 12

// AppendKey appends a flow's key, the body of an Owner message.
func AppendKey(b []byte, k flow.Key) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(k.ClientIP))
	b = binary.BigEndian.AppendUint32(b, uint32(k.FrontIP))
	b = binary.BigEndian.AppendUint16(b, k.ClientPort)
	return binary.BigEndian.AppendUint16(b, k.FrontPort)
}

// DecodeKey reads the body of an Owner message.
func DecodeKey(b []byte) (flow.Key, error) {
	if len(b) != keyLen {
		return flow.Key{}, ErrMalformed
	}
	return flow.Key{
		ClientIP:   flow.IPv4(binary.BigEndian.Uint32(b)),
		FrontIP:    flow.IPv4(binary.BigEndian.Uint32(b[4:])),
		ClientPort: binary.BigEndian.Uint16(b[8:]),
		FrontPort:  binary.BigEndian.Uint16(b[10:]),
	}, nil
}
