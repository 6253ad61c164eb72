// Package encap encapsulates datagrams between balancers and agents.
//
// Each payload is preceded by a PROXY protocol version 2 header (UDP over IPv4)
// that contains the addresses of the caller and the service, and by one TLV of a
// custom type with the datagram's kind, the host's load report and an
// authentication tag. The layout is fixed, so that encoding and decoding take a
// few stores and loads (BenchmarkDecode compares them with a general PROXY
// library). Any PROXY version 2 parser can still read it.
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
	signatureLen    = 12
	addressesOffset = 16
	tlvOffset       = addressesOffset + 12
	valueOffset     = tlvOffset + 3
	tagOffset       = valueOffset + 10

	// HeaderLen is the number of bytes in front of each payload.
	HeaderLen = tagOffset + 8

	versionCommand = 0x21 // version 2, PROXY
	familyUDP4     = 0x12 // AF_INET, DGRAM
	tlvType        = 0xE0 // PP2_TYPE_MIN_CUSTOM
	tlvLen         = 18
)

var signature = [signatureLen]byte{0x0D, 0x0A, 0x0D, 0x0A, 0x00, 0x0D, 0x0A, 0x51, 0x55, 0x49, 0x54, 0x0A}

// Kind is the type of a datagram between a balancer and an agent.
type Kind uint8

const (
	// Forward carries a caller's datagram to an agent.
	Forward Kind = 1
	// Return carries an agent's datagram to a caller.
	Return Kind = 2
	// Refused returns a new flow to the balancer because the agent accepts no
	// new flows.
	Refused Kind = 3
	// Leaving announces to an agent that the sending balancer is stopping.
	Leaving Kind = 4
)

// Header is the decoded header of a datagram.
type Header struct {
	Caller  netip.AddrPort
	Service netip.AddrPort
	Kind    Kind
	// Hops is the number of agents that have refused this new flow.
	Hops uint8
	// ServiceID is the service for which the host of a Forward was selected, or
	// the service of a Return or Refused datagram's flow.
	ServiceID route.ServiceID
	// Open is the number of the service's open flows at the host, set on Return.
	Open uint16
	// Busy is the host's load in thousandths of its limit, set on Return.
	Busy uint16
	// Capacity is the number of the service's ready slots at the host, set on
	// Return.
	Capacity uint16
}

// Errors returned by Decode.
var (
	ErrShort   = errors.New("datagram is shorter than its header")
	ErrFormat  = errors.New("datagram header is malformed")
	ErrTag     = errors.New("datagram tag is invalid")
	errAddress = errors.New("datagram address is not IPv4")
)

// Tagger computes and verifies authentication tags. It is immutable and safe for
// concurrent use.
type Tagger struct{ keys []tagKey }

type tagKey struct{ k0, k1 uint64 }

// NewTagger returns a Tagger that computes tags with the first secret and accepts
// tags made with any of them.
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

// Encode writes the header into the first HeaderLen bytes of buf; the payload
// follows them. The tag covers the header and the first bytes of the payload.
func (t *Tagger) Encode(buf []byte, h Header) error {
	if len(buf) < HeaderLen {
		return ErrShort
	}
	if !h.Caller.Addr().Is4() || !h.Service.Addr().Is4() {
		return errAddress
	}
	copy(buf, signature[:])
	buf[12], buf[13] = versionCommand, familyUDP4
	binary.BigEndian.PutUint16(buf[14:], HeaderLen-addressesOffset)
	putAddresses(buf[addressesOffset:], h)
	buf[tlvOffset] = tlvType
	binary.BigEndian.PutUint16(buf[tlvOffset+1:], tlvLen)
	v := buf[valueOffset:]
	v[0], v[1] = byte(h.Kind), h.Hops
	binary.BigEndian.PutUint16(v[2:], uint16(h.ServiceID))
	binary.BigEndian.PutUint16(v[4:], h.Open)
	binary.BigEndian.PutUint16(v[6:], h.Busy)
	binary.BigEndian.PutUint16(v[8:], h.Capacity)
	binary.BigEndian.PutUint64(buf[tagOffset:], t.keys[0].tag(buf))
	return nil
}

// Decode verifies a datagram and returns its header and its payload. The payload
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
	a, v := buf[addressesOffset:], buf[valueOffset:]
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

// wellFormed reports whether all constant bytes of the header have their expected
// values.
func wellFormed(buf []byte) bool {
	if [signatureLen]byte(buf) != signature {
		return false
	}
	if buf[12] != versionCommand || buf[13] != familyUDP4 {
		return false
	}
	if binary.BigEndian.Uint16(buf[14:]) != HeaderLen-addressesOffset {
		return false
	}
	return buf[tlvOffset] == tlvType && binary.BigEndian.Uint16(buf[tlvOffset+1:]) == tlvLen
}

func (t *Tagger) verify(buf []byte) bool {
	tag := binary.BigEndian.Uint64(buf[tagOffset:])
	for _, k := range t.keys {
		if k.tag(buf) == tag {
			return true
		}
	}
	return false
}

// taggedPayloadLen is the number of payload bytes that the tag covers: enough to
// bind it to the header of one QUIC packet and the start of its protected
// payload. QUIC itself authenticates the rest.
const taggedPayloadLen = 48

// tag returns the authentication tag of the datagram in buf.
func (k tagKey) tag(buf []byte) uint64 {
	var covered [tagOffset + taggedPayloadLen]byte
	n := copy(covered[:], buf[:tagOffset])
	n += copy(covered[n:], buf[HeaderLen:])
	return siphash.Hash(k.k0, k.k1, covered[:n])
}
