package directory

import (
	"encoding/base64"
	"encoding/binary"
	"net/netip"

	"github.com/go-faster/errors"

	"github.com/poppywall/poppywall/route"
)

// An entry is encoded as one base64 string of a fixed binary layout, because
// gossip is most of the control traffic and an entry as a JSON object is 3.5
// times as large. The fields and their lengths in bytes:
//
//	kind 1, status 1, incarnation 4, sequence 4, data 6, control 6,
//	name 1+n, zone 1+n, offers 1 + 4 each (service 2, slots 2)

const entryFixedLen = 1 + 1 + 4 + 4 + 6 + 6

var errMalformedEntry = errors.New("entry is malformed")

// MarshalText implements encoding.TextMarshaler.
func (e Entry) MarshalText() ([]byte, error) {
	if err := e.Validate(); err != nil {
		return nil, err
	}
	b := make([]byte, 0, entryFixedLen+3+len(e.Name)+len(e.Zone)+4*len(e.Offers))
	b = append(b, byte(e.Kind), byte(e.Status))
	b = binary.BigEndian.AppendUint32(b, uint32(e.Incarnation))
	b = binary.BigEndian.AppendUint32(b, e.Sequence)
	b = appendAddr(b, e.Data)
	b = appendAddr(b, e.Control)
	b = append(append(b, byte(len(e.Name))), e.Name...)
	b = append(append(b, byte(len(e.Zone))), e.Zone...)
	b = append(b, byte(len(e.Offers)))
	for _, o := range e.Offers {
		b = binary.BigEndian.AppendUint16(b, uint16(o.Service))
		b = binary.BigEndian.AppendUint16(b, o.Slots)
	}
	return base64.RawURLEncoding.AppendEncode(nil, b), nil
}

func appendAddr(b []byte, a netip.AddrPort) []byte {
	ip := a.Addr().As4()
	return binary.BigEndian.AppendUint16(append(b, ip[:]...), a.Port())
}

// UnmarshalText implements encoding.TextUnmarshaler. It also validates the
// entry.
func (e *Entry) UnmarshalText(text []byte) error {
	b, err := base64.RawURLEncoding.AppendDecode(nil, text)
	if err != nil {
		return errMalformedEntry
	}
	r := entryReader{b: b}
	*e = Entry{Kind: Kind(r.byte()), Status: Status(r.byte())}
	e.Incarnation, e.Sequence = Incarnation(r.uint32()), r.uint32()
	e.Data, e.Control = r.addr(), r.addr()
	e.Name, e.Zone = string(r.take(int(r.byte()))), string(r.take(int(r.byte())))
	n := int(r.byte())
	if n > MaxOffers {
		return errMalformedEntry
	}
	for range n {
		e.Offers = append(e.Offers, Offer{Service: route.ServiceID(r.uint16()), Slots: r.uint16()})
	}
	if r.failed || len(r.b) != 0 {
		return errMalformedEntry
	}
	return e.Validate()
}

// entryReader consumes fields from the front of b. A read past the end returns
// zeros and sets failed.
type entryReader struct {
	b      []byte
	failed bool
}

func (r *entryReader) take(n int) []byte {
	if len(r.b) < n {
		r.failed, r.b = true, nil
		return make([]byte, n)
	}
	out := r.b[:n]
	r.b = r.b[n:]
	return out
}

func (r *entryReader) byte() byte     { return r.take(1)[0] }
func (r *entryReader) uint16() uint16 { return binary.BigEndian.Uint16(r.take(2)) }
func (r *entryReader) uint32() uint32 { return binary.BigEndian.Uint32(r.take(4)) }

func (r *entryReader) addr() netip.AddrPort {
	ip := netip.AddrFrom4([4]byte(r.take(4)))
	return netip.AddrPortFrom(ip, r.uint16())
}
