// Stand-ins for the cases of the second part of the review: a small deployment on loopback
// addresses. This file has the packets, as PROTOCOL.md states them, written anew so that the
// project's own adapter is not checked against itself.
package main

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"net/netip"
)

// Bits of the flags byte.
const (
	flagRST     = 2
	flagSYN     = 16
	flagBounced = 32
	flagFIN     = 64
	flagACK     = 128
)

const (
	headLen    = 32
	maxPayload = 1200
)

// flowKey identifies a flow by its client's end and its front address.
type flowKey struct{ client, front netip.AddrPort }

// packet is a decoded packet.
type packet struct {
	src, dst netip.AddrPort
	flags    byte
	seq, ack uint32
	echo     uint32
	payload  []byte
	// genuine is set if the keyed sum is that of a client or host; ownReset is set for a reset of
	// the system's own: no data and a sum of 0.
	genuine, ownReset bool
}

var errPacket = errors.New("not a packet")

// sumKey is the key of the keyed sum, which the system does not know.
var sumKey = []byte("review: the key that only the two ends know")

// sum is the keyed sum over all fields except echo, pad and BOUNCED.
func sum(b []byte) uint32 {
	c := append([]byte(nil), b...)
	c[10] &^= flagBounced
	c[11] = 0
	copy(c[24:32], make([]byte, 8))
	s := crc32.ChecksumIEEE(append(c, sumKey...))
	if s == 0 {
		return 1
	}
	return s
}

// encode returns a packet of a client or host.
func encode(src, dst netip.AddrPort, flags byte, seq, ack uint32, payload []byte) []byte {
	b := make([]byte, headLen, headLen+len(payload))
	binary.BigEndian.PutUint32(b[0:], seq)
	binary.BigEndian.PutUint32(b[4:], ack)
	binary.BigEndian.PutUint16(b[8:], uint16(len(payload)))
	b[10] = flags
	binary.BigEndian.PutUint16(b[12:], dst.Port())
	d, s := dst.Addr().As4(), src.Addr().As4()
	copy(b[14:], d[:])
	copy(b[18:], s[:])
	binary.BigEndian.PutUint16(b[22:], src.Port())
	b = append(b, payload...)
	binary.BigEndian.PutUint32(b[24:], sum(b))
	return b
}

// decode decodes a packet.
func decode(b []byte) (packet, error) {
	if len(b) < headLen || int(binary.BigEndian.Uint16(b[8:])) != len(b)-headLen {
		return packet{}, errPacket
	}
	p := packet{
		src:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[18:22])), binary.BigEndian.Uint16(b[22:])),
		dst:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[14:18])), binary.BigEndian.Uint16(b[12:])),
		flags: b[10], seq: binary.BigEndian.Uint32(b[0:]), ack: binary.BigEndian.Uint32(b[4:]),
		echo: binary.BigEndian.Uint32(b[28:]), payload: append([]byte(nil), b[headLen:]...),
	}
	stated := binary.BigEndian.Uint32(b[24:])
	p.genuine = stated == sum(b)
	p.ownReset = stated == 0 && p.flags == flagRST && len(p.payload) == 0
	return p, nil
}

// near reports whether two sequence numbers are within 76,800 of each other.
func near(a, b uint32) bool {
	d := int32(a - b)
	return d >= -76800 && d <= 76800
}
