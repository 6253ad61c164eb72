// Package envelope encodes the header that balancers and agents put in front of a client's
// packet when they send it to each other. The packet itself follows unchanged.
//
// Layout, big-endian: magic (2), version (1), kind (1), balancer (4), hops (1),
// flags (1), candidate count (1), priority (1), probe ID (4), objective (2), deadline (2),
// target with the shortest wait (4), that wait (2), cold rate (2), then the service (16) if
// the flags say so, then the address (4) of each remaining candidate, then the packet.
// Times are whole milliseconds, at most 65,535.
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

// Kind is the type of a datagram between nodes.
type Kind uint8

// The kinds. Those from Announce on are messages of package fleet.
const (
	// Deliver carries a client's packet to a target.
	Deliver Kind = 1 + iota
	// Returned carries a packet back to its balancer because no candidate accepted it.
	Returned
	// Owner informs a balancer which target holds a flow. The flow's key takes the place
	// of the packet.
	Owner
	Announce
	Beacon
	// Peers lists nodes, agents as well as balancers.
	Peers
	Evacuated
	Relay
	Batch
)

// KindNames are the names of all kinds in metrics, starting with Deliver.
var KindNames = []string{"deliver", "returned", "owner", "announce", "beacon", "peers", "evacuated", "relay", "batch"}

// Index returns the index of the kind in KindNames.
func (k Kind) Index() int { return int(k) - int(Deliver) }

// Flags of an envelope.
type Flags uint8

const (
	// Search marks a search probe: a packet of a flow whose target the balancer does not know.
	// The agent whose target holds the flow answers with an Owner message.
	Search Flags = 1 << iota
	// SearchExhausted marks a search probe that is returned because no candidate accepted it.
	SearchExhausted
	// Uncertain marks a search probe for which a target could not rule out that it holds the
	// flow, or that reached MaxHops before its last candidate.
	Uncertain
	// ShortestWait marks a new flow that was offered to every candidate and is now sent to the
	// one with the shortest wait.
	ShortestWait
	// Retransmitted marks a retransmitted SYN of a flow that the balancer knows, because it has
	// received an earlier SYN of it.
	Retransmitted
	// hasService is set in the encoding of an envelope with a service.
	hasService
)

// Limits of the format.
const (
	// MaxCandidates is the maximum number of candidates in one envelope; it limits the
	// envelope's length.
	MaxCandidates = 32
	// MaxHops is the number of hops after which a packet is not passed on; it ends forwarding
	// loops.
	MaxHops = MaxCandidates + 8
	// PrefixLen is the length of magic, version and kind.
	PrefixLen    = 4
	headerLen    = 28
	serviceLen   = len(flow.ServiceID{})
	candidateLen = 4
	// MaxLen is the maximum length of an envelope in bytes.
	MaxLen = headerLen + serviceLen + MaxCandidates*candidateLen

	magic   = 0x7077
	version = 7
)

// Errors of the decoders.
var (
	// ErrMalformed is returned for bytes that are not a valid datagram of this system.
	ErrMalformed = errors.New("malformed envelope")
	// ErrVersion is returned for a datagram of another version of the format. It is an ErrMalformed.
	ErrVersion = errors.Wrap(ErrMalformed, "another version")
)

// Envelope is the decoded header.
type Envelope struct {
	Kind Kind
	// Balancer is the node that received the packet from the client.
	Balancer flow.IPv4
	// Hops is the number of agents that have passed the packet on.
	Hops  uint8
	Flags Flags
	// Service is the service that the receiver's target must serve; for new flows only. Packets of
	// open flows go to the target that holds the flow, whatever the route's service has become.
	Service flow.ServiceID
	// ProbeID identifies one search probe of a balancer, also across its restarts. A search
	// sends several probes, each with its own ID; zero marks a probe that is not tracked.
	ProbeID uint32
	// Priority is the route's priority, 0 is the highest; for new flows only.
	Priority uint8
	// Objective and Deadline are those of the route's requests, zero if not configured;
	// for new flows only.
	Objective, Deadline time.Duration
	// ShortestWaitTarget is the target with the shortest wait among those that have declined a
	// new flow, ShortestWaitTime its wait; both are zero before the first has declined.
	ShortestWaitTarget flow.IPv4
	ShortestWaitTime   time.Duration
	// ColdRate is how many opening packets per second may be delivered to a cold target of
	// the service, zero for no limit; for new flows only. It is encoded in tenths.
	ColdRate float64
	// Count is the number of Candidates still to be tried; they are tried in order.
	Count      int
	Candidates [MaxCandidates]flow.IPv4
}

// SetCandidates replaces the candidates; those beyond MaxCandidates are dropped.
func (e *Envelope) SetCandidates(list []flow.IPv4) {
	e.Count = copy(e.Candidates[:], list)
}

// Pop removes and returns the first candidate.
func (e *Envelope) Pop() (flow.IPv4, bool) {
	if e.Count == 0 {
		return 0, false
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

// KindOf checks the prefix of a datagram and returns its kind. The kinds of another version are not read.
func KindOf(b []byte) (Kind, error) {
	if len(b) < PrefixLen || binary.BigEndian.Uint16(b) != magic {
		return 0, ErrMalformed
	}
	if b[2] != version {
		return 0, ErrVersion
	}
	return Kind(b[3]), nil
}

// VersionOf returns the version of a datagram for which KindOf has returned ErrVersion.
func VersionOf(b []byte) uint8 { return b[2] }

// Append appends the encoded envelope.
func (e *Envelope) Append(b []byte) []byte {
	b = AppendPrefix(b, e.Kind)
	b = binary.BigEndian.AppendUint32(b, uint32(e.Balancer))
	flags := e.Flags
	if e.Service != (flow.ServiceID{}) {
		flags |= hasService
	}
	b = append(b, e.Hops, byte(flags), byte(e.Count), e.Priority)
	b = binary.BigEndian.AppendUint32(b, e.ProbeID)
	b = appendMillis(b, e.Objective)
	b = appendMillis(b, e.Deadline)
	b = binary.BigEndian.AppendUint32(b, uint32(e.ShortestWaitTarget))
	b = appendMillis(b, e.ShortestWaitTime)
	b = binary.BigEndian.AppendUint16(b, uint16(min(max(math.Ceil(e.ColdRate*rateScale-rateTolerance), 0), math.MaxUint16)))
	if flags&hasService != 0 {
		b = append(b, e.Service[:]...)
	}
	for _, c := range e.Candidates[:e.Count] {
		b = binary.BigEndian.AppendUint32(b, uint32(c))
	}
	return b
}

// Decode decodes an envelope into e and returns the bytes that follow it.
func (e *Envelope) Decode(b []byte) ([]byte, error) {
	kind, err := KindOf(b)
	if err != nil {
		return nil, err
	}
	if kind < Deliver || kind > Owner || len(b) < headerLen {
		return nil, ErrMalformed
	}
	count, first := int(b[10]), headerLen
	if Flags(b[9])&hasService != 0 {
		first += serviceLen
	}
	end := first + count*candidateLen
	if count > MaxCandidates || len(b) < end {
		return nil, ErrMalformed
	}
	service := flow.ServiceID{}
	if copy(service[:], b[headerLen:first]) > 0 && service == (flow.ServiceID{}) {
		return nil, ErrMalformed
	}
	e.Kind = kind
	e.Balancer = flow.IPv4(binary.BigEndian.Uint32(b[4:]))
	e.Hops, e.Flags, e.Count = b[8], Flags(b[9])&^hasService, count
	e.Priority, e.Service = b[11], service
	e.ProbeID = binary.BigEndian.Uint32(b[12:])
	e.Objective, e.Deadline = decodeMillis(b[16:]), decodeMillis(b[18:])
	e.ShortestWaitTarget, e.ShortestWaitTime = flow.IPv4(binary.BigEndian.Uint32(b[20:])), decodeMillis(b[24:])
	e.ColdRate = float64(binary.BigEndian.Uint16(b[26:])) / rateScale
	for i := range count {
		e.Candidates[i] = flow.IPv4(binary.BigEndian.Uint32(b[first+i*candidateLen:]))
	}
	return b[end:], nil
}

// rateScale is the number of units of an encoded rate per opening packet per second. Rates are
// rounded up to whole units; rateTolerance, in units, is the largest error of
// floating-point arithmetic that is not rounded up.
const (
	rateScale     = 10
	rateTolerance = 1e-6
)

// appendMillis appends a duration in whole milliseconds, limited to the range of the
// encoding.
func appendMillis(b []byte, d time.Duration) []byte {
	return binary.BigEndian.AppendUint16(b, uint16(min(max(d.Milliseconds(), 0), math.MaxUint16)))
}

func decodeMillis(b []byte) time.Duration {
	return time.Duration(binary.BigEndian.Uint16(b)) * time.Millisecond
}

// keyLen is the length of an encoded flow key.
const keyLen = 12

// AppendKey appends the encoded key of a flow, the body of an Owner message.
func AppendKey(b []byte, k flow.Key) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(k.ClientIP))
	b = binary.BigEndian.AppendUint32(b, uint32(k.FrontIP))
	b = binary.BigEndian.AppendUint16(b, k.ClientPort)
	return binary.BigEndian.AppendUint16(b, k.FrontPort)
}

// DecodeKey decodes the body of an Owner message.
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
