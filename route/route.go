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

	macLen   = 4
	fieldsAt = 1 + macLen

	// MaxKeys bounds the key list; the key number is one byte.
	MaxKeys = 256
	// MinSecretLen is the least length of a cluster secret, in bytes.
	MinSecretLen = 16
)

// Errors of Decode.
var (
	ErrLength = errors.New("connection ID is not a route: wrong length")
	ErrKey    = errors.New("connection ID is not a route: unknown key number")
	ErrMAC    = errors.New("connection ID is not a route: MAC mismatch")
)

// ServiceID identifies a service for ever; IDs are never reused.
type ServiceID uint16

// Incarnation distinguishes successive agents at one host address. It is
// random: an agent only asks whether a route is its own, and a clock that went
// back must not repeat one.
type Incarnation uint32

// Route is what a connection ID says: which agent serves the flow, and for
// which service.
type Route struct {
	// Host is the agent's data address. IPv4 only: 20 bytes hold no more.
	Host        netip.AddrPort
	Incarnation Incarnation
	Service     ServiceID
	// Nonce makes connection IDs of one agent distinct; 24 bits are kept.
	Nonce uint32
}

type key struct {
	known      bool
	mac0, mac1 uint64
	enc0, enc1 uint64
}

// Codec encodes and decodes routes under a list of secrets. It is immutable
// and safe for concurrent use.
type Codec struct {
	current byte
	keys    [MaxKeys]key
}

// Secret is one cluster secret with its key number.
type Secret struct {
	Number byte
	Bytes  []byte
}

// NewCodec makes a codec that encodes with the first secret and decodes with
// all of them, so that a rotation breaks no flow: first every node learns the
// new secret, then it moves to the front.
func NewCodec(secrets []Secret) (*Codec, error) {
	if len(secrets) == 0 {
		return nil, errors.New("no cluster secret")
	}
	c := &Codec{current: secrets[0].Number}
	for _, s := range secrets {
		if c.keys[s.Number].known {
			return nil, errors.Errorf("secret number %d is given twice", s.Number)
		}
		material, err := Derive(s.Bytes, "route", 32)
		if err != nil {
			return nil, err
		}
		c.keys[s.Number] = newKey(material)
	}
	return c, nil
}

func newKey(m []byte) key {
	return key{
		known: true,
		mac0:  binary.LittleEndian.Uint64(m[0:]),
		mac1:  binary.LittleEndian.Uint64(m[8:]),
		enc0:  binary.LittleEndian.Uint64(m[16:]),
		enc1:  binary.LittleEndian.Uint64(m[24:]),
	}
}

// Derive makes key material for one purpose from a cluster secret by HKDF
// (RFC 5869), so that no key serves two purposes.
func Derive(secret []byte, purpose string, length int) ([]byte, error) {
	if len(secret) < MinSecretLen {
		return nil, errors.Errorf("secret is shorter than %d bytes", MinSecretLen)
	}
	return hkdf.Key(sha256.New, secret, nil, "poppywall/v1/"+purpose, length)
}

// Encode writes the route's connection ID into dst.
func (c *Codec) Encode(r Route, dst *[Len]byte) error {
	if !r.Host.Addr().Is4() {
		return errors.New("host address of a route must be IPv4")
	}
	k := &c.keys[c.current]
	dst[0] = c.current
	f := dst[fieldsAt:]
	ip := r.Host.Addr().As4()
	copy(f[0:4], ip[:])
	binary.BigEndian.PutUint16(f[4:6], r.Host.Port())
	binary.BigEndian.PutUint32(f[6:10], uint32(r.Incarnation))
	binary.BigEndian.PutUint16(f[10:12], uint16(r.Service))
	f[12], f[13], f[14] = byte(r.Nonce>>16), byte(r.Nonce>>8), byte(r.Nonce)
	mac := k.mac(f)
	binary.BigEndian.PutUint32(dst[1:fieldsAt], mac)
	k.mask(mac, f)
	return nil
}

// Decode checks a connection ID and returns its route. It allocates nothing.
func (c *Codec) Decode(id []byte) (Route, error) {
	if len(id) != Len {
		return Route{}, ErrLength
	}
	k := &c.keys[id[0]]
	if !k.known {
		return Route{}, ErrKey
	}
	mac := binary.BigEndian.Uint32(id[1:fieldsAt])
	var f [Len - fieldsAt]byte
	copy(f[:], id[fieldsAt:])
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

// mask encrypts or decrypts the fields with a keystream made from the MAC, so
// that the MAC is the synthetic IV (the SIV construction of RFC 5297).
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

// Minter makes connection IDs for one agent and service. It is safe for
// concurrent use.
type Minter struct {
	codec *Codec
	base  Route
	nonce atomic.Uint32
}

// NewMinter returns a minter of routes equal to base but for the nonce, which
// counts up from the given start and repeats after 2^24 IDs.
func NewMinter(codec *Codec, base Route, start uint32) (*Minter, error) {
	var probe [Len]byte
	if err := codec.Encode(base, &probe); err != nil {
		return nil, err
	}
	m := &Minter{codec: codec, base: base}
	m.nonce.Store(start)
	return m, nil
}

// Next returns a fresh connection ID.
func (m *Minter) Next() [Len]byte {
	r := m.base
	r.Nonce = m.nonce.Add(1)
	var id [Len]byte
	// The host was checked by NewMinter; Encode has no other failure.
	_ = m.codec.Encode(r, &id)
	return id
}
