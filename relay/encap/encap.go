// Package encap frames datagrams between balancers and agents.
//
// Each datagram is preceded by a PROXY protocol version 2 header (UDP over
// IPv4) that names the caller and the service address, and by one TLV of a
// custom type with a keyed tag, the direction and the host's load reading. The
// layout is fixed, so that encoding and decoding are a few stores and loads
// (BenchmarkDecode compares with a general PROXY library); any PROXY version 2
// parser can still read it.
package encap

import (
	"encoding/binary"
	"net/netip"

	"github.com/dchest/siphash"
	"github.com/go-faster/errors"

	"github.com/poppywall/poppywall/route"
)

// Fixed layout in bytes, PROXY protocol section 2.2.
const (
	signatureLen = 12
	addressesAt  = 16
	tlvAt        = addressesAt + 12
	valueAt      = tlvAt + 3
	tagAt        = valueAt + 10

	// HeaderLen is the number of bytes in front of each payload.
	HeaderLen = tagAt + 8

	versionCommand = 0x21 // version 2, PROXY
	familyUDP4     = 0x12 // AF_INET, DGRAM
	tlvType        = 0xE0 // PP2_TYPE_MIN_CUSTOM
	tlvLen         = 18
)

var signature = [signatureLen]byte{0x0D, 0x0A, 0x0D, 0x0A, 0x00, 0x0D, 0x0A, 0x51, 0x55, 0x49, 0x54, 0x0A}

// Kind tells what a datagram between a balancer and an agent is.
type Kind uint8

const (
	// Forward carries a caller's datagram to an agent.
	Forward Kind = 1
	// Return carries an agent's datagram to a caller.
	Return Kind = 2
	// Refused hands a new flow back to the balancer: the agent takes none.
	Refused Kind = 3
	// Leaving tells an agent that the sending balancer is stopping.
	Leaving Kind = 4
)

// Header is the decoded form of the bytes in front of a payload.
type Header struct {
	Caller  netip.AddrPort
	Service netip.AddrPort
	Kind    Kind
	// Hops counts the agents that refused this new flow already.
	Hops uint8
	// ServiceID is the service a Forward of a new flow was chosen for, or
	// the one a Return or Refused speaks of.
	ServiceID route.ServiceID
	// Open is the host's open flows of the service, on Return and Refused.
	Open uint16
	// Busy is the host's load in thousandths of its limit, on Return.
	Busy uint16
	// Capacity is the number of ready slots of the service at the host.
	Capacity uint16
}

// Errors of Decode.
var (
	ErrShort   = errors.New("datagram is shorter than its header")
	ErrFormat  = errors.New("datagram header is malformed")
	ErrTag     = errors.New("datagram tag does not verify")
	errAddress = errors.New("datagram address is not IPv4")
)

// Tagger computes tags. It is immutable and safe for concurrent use.
type Tagger struct{ keys []tagKey }

type tagKey struct{ k0, k1 uint64 }

// NewTagger derives the tag keys; the first secret signs, all verify.
func NewTagger(secrets []route.Secret) (*Tagger, error) {
	t := &Tagger{}
	for _, s := range secrets {
		m, err := route.Derive(s.Bytes, "encap", 16)
		if err != nil {
			return nil, err
		}
		t.keys = append(t.keys, tagKey{binary.LittleEndian.Uint64(m), binary.LittleEndian.Uint64(m[8:])})
	}
	if len(t.keys) == 0 {
		return nil, errors.New("no cluster secret")
	}
	return t, nil
}

// Encode writes the header into the first HeaderLen bytes of buf, whose rest
// is the payload. The tag covers the header and the payload's first bytes.
func (t *Tagger) Encode(buf []byte, h Header) error {
	if len(buf) < HeaderLen {
		return ErrShort
	}
	if !h.Caller.Addr().Is4() || !h.Service.Addr().Is4() {
		return errAddress
	}
	copy(buf, signature[:])
	buf[12], buf[13] = versionCommand, familyUDP4
	binary.BigEndian.PutUint16(buf[14:], HeaderLen-addressesAt)
	putAddresses(buf[addressesAt:], h)
	buf[tlvAt] = tlvType
	binary.BigEndian.PutUint16(buf[tlvAt+1:], tlvLen)
	v := buf[valueAt:]
	v[0], v[1] = byte(h.Kind), h.Hops
	binary.BigEndian.PutUint16(v[2:], uint16(h.ServiceID))
	binary.BigEndian.PutUint16(v[4:], h.Open)
	binary.BigEndian.PutUint16(v[6:], h.Busy)
	binary.BigEndian.PutUint16(v[8:], h.Capacity)
	binary.BigEndian.PutUint64(buf[tagAt:], t.keys[0].sum(buf))
	return nil
}

// Decode verifies a datagram and splits it into header and payload, which
// aliases buf.
func (t *Tagger) Decode(buf []byte) (Header, []byte, error) {
	if len(buf) < HeaderLen {
		return Header{}, nil, ErrShort
	}
	if !wellFormed(buf) {
		return Header{}, nil, ErrFormat
	}
	if !t.verify(buf) {
		return Header{}, nil, ErrTag
	}
	a, v := buf[addressesAt:], buf[valueAt:]
	h := Header{
		Caller:    netip.AddrPortFrom(netip.AddrFrom4([4]byte(a[0:4])), binary.BigEndian.Uint16(a[8:])),
		Service:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(a[4:8])), binary.BigEndian.Uint16(a[10:])),
		Kind:      Kind(v[0]),
		Hops:      v[1],
		ServiceID: route.ServiceID(binary.BigEndian.Uint16(v[2:])),
		Open:      binary.BigEndian.Uint16(v[4:]),
		Busy:      binary.BigEndian.Uint16(v[6:]),
		Capacity:  binary.BigEndian.Uint16(v[8:]),
	}
	return h, buf[HeaderLen:], nil
}

func putAddresses(a []byte, h Header) {
	src, dst := h.Caller.Addr().As4(), h.Service.Addr().As4()
	copy(a[0:4], src[:])
	copy(a[4:8], dst[:])
	binary.BigEndian.PutUint16(a[8:], h.Caller.Port())
	binary.BigEndian.PutUint16(a[10:], h.Service.Port())
}

func wellFormed(buf []byte) bool {
	if [signatureLen]byte(buf) != signature {
		return false
	}
	if buf[12] != versionCommand || buf[13] != familyUDP4 {
		return false
	}
	if binary.BigEndian.Uint16(buf[14:]) != HeaderLen-addressesAt {
		return false
	}
	return buf[tlvAt] == tlvType && binary.BigEndian.Uint16(buf[tlvAt+1:]) == tlvLen
}

func (t *Tagger) verify(buf []byte) bool {
	tag := binary.BigEndian.Uint64(buf[tagAt:])
	for _, k := range t.keys {
		if k.sum(buf) == tag {
			return true
		}
	}
	return false
}

// tagPayload is how many payload bytes the tag covers: enough to bind the tag
// to one QUIC packet's header and the start of its protected payload. QUIC
// itself authenticates the rest.
const tagPayload = 48

func (k tagKey) sum(buf []byte) uint64 {
	var covered [tagAt + tagPayload]byte
	n := copy(covered[:], buf[:tagAt])
	n += copy(covered[n:], buf[HeaderLen:])
	return siphash.Hash(k.k0, k.k1, covered[:n])
}
