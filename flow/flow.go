package flow

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// IPv4 is an address in host byte order; the platform's network supports IPv4 only.
type IPv4 uint32

// FromAddr converts an address; it returns zero for anything but IPv4.
func FromAddr(a netip.Addr) IPv4 {
	a = a.Unmap()
	if !a.Is4() {
		return 0
	}
	b := a.As4()
	return IPv4(binary.BigEndian.Uint32(b[:]))
}

// Addr returns the address as a netip.Addr.
func (ip IPv4) Addr() netip.Addr {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], uint32(ip))
	return netip.AddrFrom4(b)
}

// ParseAddrPort parses an "IPv4:port" that has been validated; it panics if it is invalid.
func ParseAddrPort(text string) (IPv4, uint16) {
	ap := netip.MustParseAddrPort(text)
	return FromAddr(ap.Addr()), ap.Port()
}

// ParseAddrs returns the addresses of a list of "IPv4:port" that has been
// validated.
func ParseAddrs(list []string) []IPv4 {
	out := make([]IPv4, 0, len(list))
	for _, text := range list {
		ip, _ := ParseAddrPort(text)
		out = append(out, ip)
	}
	return out
}

// String returns the address in dotted-decimal form.
func (ip IPv4) String() string { return ip.Addr().String() }

// ServiceID identifies a service by the first 128 bits of the SHA-256 hash of its name: no two names
// that share them are known or can be found. It decides where requests may run. The zero value means
// "no service".
type ServiceID [16]byte

// ServiceIDOf returns the ID of the service with the given name.
func ServiceIDOf(name string) ServiceID {
	if name == "" {
		return ServiceID{}
	}
	sum := sha256.Sum256([]byte(name))
	return ServiceID(sum[:len(ServiceID{})])
}

// String returns the ID in hexadecimal.
func (id ServiceID) String() string { return hex.EncodeToString(id[:]) }

// Compare orders IDs.
func (id ServiceID) Compare(other ServiceID) int { return bytes.Compare(id[:], other[:]) }

// Tag is a 64-bit hash of the name of a zone. Tags are compared for equality only; zero means "no
// name". Which service a request runs at does not depend on them.
type Tag uint64

// TagOf returns the tag of a name. Two different names have the same tag with a probability of 2^-64.
func TagOf(name string) Tag {
	if name == "" {
		return 0
	}
	sum := sha256.Sum256([]byte(name))
	return max(Tag(binary.BigEndian.Uint64(sum[:])), 1)
}

// Key identifies a flow by the addresses and ports of its two ends.
type Key struct {
	ClientIP, FrontIP     IPv4
	ClientPort, FrontPort uint16
}

// String returns "client:port>front:port", the flow ID in logs.
func (k Key) String() string {
	return netip.AddrPortFrom(k.ClientIP.Addr(), k.ClientPort).String() + ">" +
		netip.AddrPortFrom(k.FrontIP.Addr(), k.FrontPort).String()
}

// SortKeys sorts keys by their hashes, which makes runs reproducible.
func SortKeys(keys []Key) {
	slices.SortFunc(keys, func(a, b Key) int { return cmp.Compare(a.Hash(), b.Hash()) })
}

// Front returns the front address that the client connected to.
func (k Key) Front() Front { return Front{k.FrontIP, k.FrontPort} }

// Front is an address and port that clients connect to.
type Front struct {
	IP   IPv4
	Port uint16
}

// Hash returns a well-mixed hash of the key.
func (k Key) Hash() uint64 {
	var b [12]byte
	binary.BigEndian.PutUint32(b[0:], uint32(k.ClientIP))
	binary.BigEndian.PutUint32(b[4:], uint32(k.FrontIP))
	binary.BigEndian.PutUint16(b[8:], k.ClientPort)
	binary.BigEndian.PutUint16(b[10:], k.FrontPort)
	return xxhash.Sum64(b[:])
}

// Flags are the bits of a packet header that its forwarding depends on.
type Flags uint8

// The flags. Package platform maps them to the bits of the wire format.
const (
	SYN Flags = 1 << iota
	ACK
	FIN
	RST
	// Bounced marks a client's packet that the target did not accept.
	Bounced
)

// Has reports whether all bits of f are set in fl.
func (fl Flags) Has(f Flags) bool { return fl&f == f }

// Header is the decoded header of a packet.
type Header struct {
	Src, Dst         IPv4
	SrcPort, DstPort uint16
	Flags            Flags
	// Seq and Ack count bytes, except in a client's SYN, where Ack is the number of
	// SYNs of the flow sent before it.
	Seq, Ack uint32
	// Len is the length of the payload in bytes.
	Len int
	// Echo is returned unchanged in a packet that the target bounces.
	Echo uint32
}

// KeyFromClient returns the flow key of a packet sent by a client.
func (h *Header) KeyFromClient() Key {
	return Key{ClientIP: h.Src, ClientPort: h.SrcPort, FrontIP: h.Dst, FrontPort: h.DstPort}
}

// KeyFromTarget returns the flow key of a packet sent by a target.
func (h *Header) KeyFromTarget() Key {
	return Key{ClientIP: h.Dst, ClientPort: h.DstPort, FrontIP: h.Src, FrontPort: h.SrcPort}
}

// IsOpening reports whether the packet is a client's SYN.
func (h *Header) IsOpening() bool { return h.Flags.Has(SYN) && !h.Flags.Has(ACK) }

// sequenceWindow is the maximum difference in bytes between two sequence numbers of one
// flow: 64 packets of 1,200 bytes. Endpoints have at most 16 packets in flight, and the
// wire protocol accepts a reset within the same distance.
const sequenceWindow = 64 * 1200

// WithinSequenceWindow reports whether a sequence or acknowledgement number is within
// sequenceWindow of a target's sequence number. It distinguishes a flow from a later one between
// the same ports.
func WithinSequenceWindow(ack, targetSeq uint32) bool {
	diff := int32(ack - targetSeq)
	return diff >= -sequenceWindow && diff <= sequenceWindow
}

// Codec reads and modifies packets in the platform's wire format.
type Codec interface {
	// Decode decodes a packet's header.
	Decode(packet []byte) (Header, error)
	// Unmark restores a bounced packet to what its client sent.
	Unmark(packet []byte)
	// SetEcho writes the Echo value that a bounced packet returns.
	SetEcho(packet []byte, echo uint32)
	// RequestID returns the ID at the start of a packet's payload, or nil.
	RequestID(packet []byte) []byte
	// Answer returns the outcome that a packet's payload states if it starts an answer.
	Answer(packet []byte) Answer
}

// Answer is the outcome that a target reports for a request in the answer itself.
type Answer uint8

// The answers.
const (
	// AnswerCompleted: the target has processed the request; this includes a refusal of a
	// request that is not its own.
	AnswerCompleted Answer = iota
	// AnswerFailed: the target reports a failure.
	AnswerFailed
	// AnswerShed: the target sheds the request because it has no capacity at present.
	AnswerShed
)
