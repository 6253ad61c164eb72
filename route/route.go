package route

import (
	"crypto/hkdf"
	"crypto/sha256"
	"encoding/binary"
	"net/netip"
	"sync/atomic"

	"github.com/dchest/siphash"
	"github.com/go-faster/errors"
)

const (
	// Len is the length of every connection ID made by an agent, in bytes: the
	// maximum of QUIC version 1 (RFC 9000 section 17.2).
	Len = 20

	macLen       = 4
	fieldsOffset = 1 + macLen

	// MaxKeys is the number of possible key numbers, which are one byte long.
	MaxKeys = 256
	// MinSecretLen is the minimum length of a cluster secret, in bytes.
	MinSecretLen = 16
)

// Errors returned by Decode.
var (
	ErrLength = errors.New("connection ID is not a valid route: wrong length")
	ErrKey    = errors.New("connection ID is not a valid route: unknown key number")
	ErrMAC    = errors.New("connection ID is not a valid route: MAC mismatch")
)

// ServiceID identifies a service. IDs are never reused.
type ServiceID uint16

// Incarnation distinguishes successive agent processes at one host address. It
// is random rather than a timestamp: an agent only compares it with its own, and
// a clock that is set back must not repeat a value.
type Incarnation uint32

// Route is the decoded content of a connection ID: the agent that serves the
// flow and the service that the flow belongs to.
type Route struct {
	// Host is the agent's data address. It must be IPv4, as an IPv6 address
	// does not fit into 20 bytes.
	Host        netip.AddrPort
	Incarnation Incarnation
	Service     ServiceID
	// Nonce makes connection IDs of one agent distinct. Only the low 24 bits
	// are encoded.
	Nonce uint32
}

// key holds the MAC key and the encryption key derived from one secret.
type key struct {
	present    bool
	mac0, mac1 uint64
	enc0, enc1 uint64
}

// Codec encodes and decodes routes with a list of secrets. It is immutable and
// safe for concurrent use.
type Codec struct {
	current byte
	keys    [MaxKeys]key
}

// Secret is a cluster secret with its key number.
type Secret struct {
	Number byte
	Bytes  []byte
}

// NewCodec returns a codec that encodes with the first secret and decodes with
// all of them. A rotation that first adds the new secret on every node and then
// moves it to the front interrupts no flow.
func NewCodec(secrets []Secret) (*Codec, error) {
	if len(secrets) == 0 {
		return nil, errors.New("no cluster secret")
	}
	c := &Codec{current: secrets[0].Number}
	for _, s := range secrets {
		if c.keys[s.Number].present {
			return nil, errors.Errorf("duplicate secret number %d", s.Number)
		}
		material, err := Derive(s.Bytes, "route", 32)
		if err != nil {
			return nil, err
		}
		c.keys[s.Number] = newKey(material)
	}
	return c, nil
}

func newKey(material []byte) key {
	return key{
		present: true,
		mac0:    binary.LittleEndian.Uint64(material[0:]),
		mac1:    binary.LittleEndian.Uint64(material[8:]),
		enc0:    binary.LittleEndian.Uint64(material[16:]),
		enc1:    binary.LittleEndian.Uint64(material[24:]),
	}
}

// Derive derives key material for one purpose from a cluster secret with HKDF
// (RFC 5869), so that no key is used for two purposes.
func Derive(secret []byte, purpose string, length int) ([]byte, error) {
	if len(secret) < MinSecretLen {
		return nil, errors.Errorf("secret is shorter than %d bytes", MinSecretLen)
	}
	return hkdf.Key(sha256.New, secret, nil, "poppywall/v1/"+purpose, length)
}

// Encode writes the connection ID of the route into dst.
func (c *Codec) Encode(r Route, dst *[Len]byte) error {
	if !r.Host.Addr().Is4() {
		return errors.New("host address of a route must be IPv4")
	}
	k := &c.keys[c.current]
	dst[0] = c.current
	f := dst[fieldsOffset:]
	ip := r.Host.Addr().As4()
	copy(f[0:4], ip[:])
	binary.BigEndian.PutUint16(f[4:6], r.Host.Port())
	binary.BigEndian.PutUint32(f[6:10], uint32(r.Incarnation))
	binary.BigEndian.PutUint16(f[10:12], uint16(r.Service))
	f[12], f[13], f[14] = byte(r.Nonce>>16), byte(r.Nonce>>8), byte(r.Nonce)
	mac := k.mac(f)
	binary.BigEndian.PutUint32(dst[1:fieldsOffset], mac)
	k.mask(mac, f)
	return nil
}

// Decode verifies a connection ID and returns its route. It allocates nothing.
func (c *Codec) Decode(id []byte) (Route, error) {
	if len(id) != Len {
		return Route{}, ErrLength
	}
	k := &c.keys[id[0]]
	if !k.present {
		return Route{}, ErrKey
	}
	mac := binary.BigEndian.Uint32(id[1:fieldsOffset])
	var f [Len - fieldsOffset]byte
	copy(f[:], id[fieldsOffset:])
	k.mask(mac, f[:])
	if k.mac(f[:]) != mac {
		return Route{}, ErrMAC
	}
	host := netip.AddrPortFrom(netip.AddrFrom4([4]byte(f[0:4])), binary.BigEndian.Uint16(f[4:6]))
	return Route{
		Host:        host,
		Incarnation: Incarnation(binary.BigEndian.Uint32(f[6:10])),
		Service:     ServiceID(binary.BigEndian.Uint16(f[10:12])),
		Nonce:       uint32(f[12])<<16 | uint32(f[13])<<8 | uint32(f[14]),
	}, nil
}

func (k *key) mac(fields []byte) uint32 {
	return uint32(siphash.Hash(k.mac0, k.mac1, fields))
}

// mask encrypts or decrypts the fields in place with a keystream derived from
// the MAC, which serves as the synthetic IV (the SIV construction of RFC 5297).
func (k *key) mask(mac uint32, fields []byte) {
	var iv [macLen]byte
	binary.BigEndian.PutUint32(iv[:], mac)
	lo, hi := siphash.Hash128(k.enc0, k.enc1, iv[:])
	var stream [16]byte
	binary.LittleEndian.PutUint64(stream[0:], lo)
	binary.LittleEndian.PutUint64(stream[8:], hi)
	for i := range fields {
		fields[i] ^= stream[i]
	}
}

// IDGenerator generates the connection IDs of one agent and service. It is safe for
// concurrent use.
type IDGenerator struct {
	codec *Codec
	base  Route
	nonce atomic.Uint32
}

// NewIDGenerator returns a generator whose routes equal base except for the nonce, which
// counts up from start and repeats after 2^24 IDs.
func NewIDGenerator(codec *Codec, base Route, start uint32) (*IDGenerator, error) {
	var scratch [Len]byte
	if err := codec.Encode(base, &scratch); err != nil {
		return nil, err
	}
	g := &IDGenerator{codec: codec, base: base}
	g.nonce.Store(start)
	return g, nil
}

// Next returns a new connection ID.
func (g *IDGenerator) Next() [Len]byte {
	r := g.base
	r.Nonce = g.nonce.Add(1)
	var id [Len]byte
	// NewIDGenerator verified that base can be encoded, and Encode fails for no
	// reason other than the host address.
	_ = g.codec.Encode(r, &id)
	return id
}
