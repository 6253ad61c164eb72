package encap

import "encoding/binary"

// Packet holds the version-independent properties of a QUIC packet (RFC 8999).
type Packet struct {
	// Long reports whether the packet has a long header.
	Long bool
	// Version is set only for long headers.
	Version uint32
	// Initial reports whether the packet may open a connection: an Initial of
	// QUIC version 1 or 2, or any long-header packet of an unsupported version,
	// which the agent answers with Version Negotiation.
	Initial bool
	// ID is the destination connection ID. It aliases the datagram.
	ID []byte
}

const (
	headerFormBit      = 0x80
	version1           = 0x00000001 // RFC 9000
	version2           = 0x6b3343cf // RFC 9369
	longPacketTypeMask = 0x30
	initialV1          = 0x00
	initialV2          = 0x10
	maxIDLenV1         = 20
	minInitialIDLen    = 8 // RFC 9000 section 7.2

	// MinInitialLen is the minimum size in bytes of a datagram that opens a
	// connection (RFC 9000 section 14.1).
	MinInitialLen = 1200
)

// ParsePacket parses the version-independent header. The connection ID of a short
// header is assumed to have idLen bytes, as only IDs chosen by agents occur there.
// ok is false if the datagram is not a QUIC packet.
func ParsePacket(datagram []byte, idLen int) (p Packet, ok bool) {
	if len(datagram) < 1 {
		return Packet{}, false
	}
	if datagram[0]&headerFormBit == 0 {
		if len(datagram) < 1+idLen {
			return Packet{}, false
		}
		return Packet{ID: datagram[1 : 1+idLen]}, true
	}
	if len(datagram) < 7 {
		return Packet{}, false
	}
	p = Packet{Long: true, Version: binary.BigEndian.Uint32(datagram[1:])}
	n := int(datagram[5])
	if len(datagram) < 6+n {
		return Packet{}, false
	}
	p.ID = datagram[6 : 6+n]
	p.Initial = opensConnection(datagram, p)
	return p, true
}

// opensConnection reports whether a long-header packet may open a connection.
func opensConnection(datagram []byte, p Packet) bool {
	if len(datagram) < MinInitialLen {
		return false
	}
	switch p.Version {
	case 0: // Version Negotiation, which only servers send
		return false
	case version1:
		return datagram[0]&longPacketTypeMask == initialV1 && validInitialID(p.ID)
	case version2:
		return datagram[0]&longPacketTypeMask == initialV2 && validInitialID(p.ID)
	default:
		return true
	}
}

func validInitialID(id []byte) bool { return len(id) >= minInitialIDLen && len(id) <= maxIDLenV1 }
