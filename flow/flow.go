package flow

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// IPv4 is an address in target byte order; the platform's fabric is IPv4 only.
type IPv4 uint32

// FromAddr converts an address; anything but IPv4 becomes zero.
func FromAddr(a netip.Addr) IPv4 {
	a = a.Unmap()
	if !a.Is4() {
		return 0
	}
	b := a.As4()
	return IPv4(binary.BigEndian.Uint32(b[:]))
}

// Addr converts back.
func (ip IPv4) Addr() netip.Addr {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], uint32(ip))
	return netip.AddrFrom4(b)
}

// ParseAddrPort reads an "IPv4:port" that has been validated.
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

// String returns the dotted form.
func (ip IPv4) String() string { return ip.Addr().String() }

// Tag is a name (of a service, zone or target incarnation) in 32 bits. Tags are
// compared for equality only; zero stands for "no name".
type Tag uint32

// TagOf hashes a name. Two names of one deployment share a tag with a chance of
// one in 2^32 for each pair.
func TagOf(name string) Tag {
	if name == "" {
		return 0
	}
	t := Tag(xxhash.Sum64String(name))
	if t == 0 {
		return 1
	}
	return t
}

// Key names a flow by its two ends.
type Key struct {
	ClientIP, FrontIP     IPv4
	ClientPort, FrontPort uint16
}

// String returns "client:port>front:port", the flow ID of logs.
func (k Key) String() string {
	return netip.AddrPortFrom(k.ClientIP.Addr(), k.ClientPort).String() + ">" +
		netip.AddrPortFrom(k.FrontIP.Addr(), k.FrontPort).String()
}

// SortKeys orders keys by their hashes, so that a run repeats.
func SortKeys(keys []Key) {
	slices.SortFunc(keys, func(a, b Key) int { return cmp.Compare(a.Hash(), b.Hash()) })
}

// Front returns the address that the client called.
func (k Key) Front() Front { return Front{k.FrontIP, k.FrontPort} }

// Front is the address and port of a service entrance.
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

// Flags are the bits of a packet that decide where it may go.
type Flags uint8

// The flags; the platform package maps them to the bits of the wire.
const (
	SYN Flags = 1 << iota
	ACK
	FIN
	RST
	// Bounced marks a client's packet that its target did not take.
	Bounced
)

// Has tells whether all bits of f are set.
func (fl Flags) Has(f Flags) bool { return fl&f == f }

// Header is what a packet says of itself.
type Header struct {
	Src, Dst         IPv4
	SrcPort, DstPort uint16
	Flags            Flags
	// Seq and Ack count bytes, but in a client's SYN, where Ack counts the
	// copies sent before.
	Seq, Ack uint32
	// Len is the length of the data behind the header, in bytes.
	Len int
	// Echo comes back unchanged in a packet that the target bounces.
	Echo uint32
}

// FromClient returns the key of a packet that a client wrote.
func (h *Header) FromClient() Key {
	return Key{ClientIP: h.Src, ClientPort: h.SrcPort, FrontIP: h.Dst, FrontPort: h.DstPort}
}

// FromTarget returns the key of a packet that a target wrote.
func (h *Header) FromTarget() Key {
	return Key{ClientIP: h.Dst, ClientPort: h.DstPort, FrontIP: h.Src, FrontPort: h.SrcPort}
}

// IsOpening tells a client's SYN.
func (h *Header) IsOpening() bool { return h.Flags.Has(SYN) && !h.Flags.Has(ACK) }

// sequenceWindow bounds how far apart two sequence numbers of one flow can be:
// 64 packets of 1,200 bytes. Ends keep at most 16 packets in flight, and the
// wire accepts a reset within the same distance.
const sequenceWindow = 64 * 1200

// SameFlow tells whether an acknowledgement fits a target's sequence number, so
// that a packet of a later flow between the same ports is told apart.
func SameFlow(ack, targetSeq uint32) bool {
	diff := int32(ack - targetSeq)
	return diff >= -sequenceWindow && diff <= sequenceWindow
}

// Codec reads and marks packets in the platform's format.
type Codec interface {
	// Decode reads a packet's header.
	Decode(packet []byte) (Header, error)
	// Unmark makes a bounced packet what its client wrote.
	Unmark(packet []byte)
	// SetEcho writes the note that comes back with a bounced packet.
	SetEcho(packet []byte, echo uint32)
	// RequestID returns the ID in the first bytes of a packet's data, or nil.
	RequestID(packet []byte) []byte
	// Answer tells what a packet's data says if it begins an answer.
	Answer(packet []byte) Answer
}

// Answer is what a target says of its work on a request.
type Answer uint8

// The answers.
const (
	// AnswerGiven: the target has done its work, also where it refuses a request as not
	// its own.
	AnswerGiven Answer = iota
	// AnswerFailed: it says that it has failed.
	AnswerFailed
	// AnswerShed: it has no room for the request at present.
	AnswerShed
)
