package encap

import "encoding/binary"

// Packet is the version-independent part of a QUIC packet (RFC 8999).
type Packet struct {
	// Long tells a long header.
	Long bool
	// Version is set for long headers only.
	Version uint32
	// Initial tells a packet that may open a connection: an Initial of QUIC
	// version 1 or 2, or any long packet of a version not known here, which
	// the agent answers with Version Negotiation.
	Initial bool
	// ID is the destination connection ID; it aliases the datagram.
	ID []byte
}

const (
	longBit     = 0x80
	version1    = 0x00000001 // RFC 9000
	version2    = 0x6b3343cf // RFC 9369
	typeMask    = 0x30
	initialV1   = 0x00
	initialV2   = 0x10
	maxIDLenV1  = 20
	minNewIDLen = 8 // RFC 9000 section 7.2

	// MinInitialLen is the least size of a datagram that opens a connection
	// (RFC 9000 section 14.1).
	MinInitialLen = 1200
)

// ParsePacket reads the invariant header. Short headers are taken to have an
// ID of idLen bytes, for only agents' IDs occur there. ok is false for a
// datagram that is no QUIC packet.
func ParsePacket(b []byte, idLen int) (p Packet, ok bool) {
	if len(b) < 1 {
		return Packet{}, false
	}
	if b[0]&longBit == 0 {
		if len(b) < 1+idLen {
			return Packet{}, false
		}
		return Packet{ID: b[1 : 1+idLen]}, true
	}
	if len(b) < 7 {
		return Packet{}, false
	}
	p = Packet{Long: true, Version: binary.BigEndian.Uint32(b[1:])}
	n := int(b[5])
	if len(b) < 6+n {
		return Packet{}, false
	}
	p.ID = b[6 : 6+n]
	p.Initial = opensConnection(b, p)
	return p, true
}

func opensConnection(b []byte, p Packet) bool {
	if len(b) < MinInitialLen {
		return false
	}
	switch p.Version {
	case 0: // Version Negotiation, servers never get one
		return false
	case version1:
		return b[0]&typeMask == initialV1 && validNewID(p.ID)
	case version2:
		return b[0]&typeMask == initialV2 && validNewID(p.ID)
	default:
		return true
	}
}

func validNewID(id []byte) bool { return len(id) >= minNewIDLen && len(id) <= maxIDLenV1 }
