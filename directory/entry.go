package directory

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"github.com/poppywall/poppywall/route"
)

// Incarnation orders successive processes at one address: the start time in
// seconds, raised when the directory knows a later one.
type Incarnation uint32

// Kind tells what an entry describes.
type Kind uint8

// The kinds of entries.
const (
	KindHost     Kind = 1
	KindBalancer Kind = 2
)

// Status is the state of an entry; a higher one wins at equal order.
type Status uint8

// The states of an entry. Only others claim Suspect and Gone; the owner claims
// Alive and Left.
const (
	Alive   Status = 1
	Suspect Status = 2
	// Gone follows a suspicion that nobody refuted in time.
	Gone Status = 3
	// Left is the owner's own farewell.
	Left Status = 4
)

// Limits of an entry, checked where it enters a process.
const (
	// MaxOffers bounds the services that one host offers.
	MaxOffers = 64
	// MaxNameLen bounds names and zones, in bytes.
	MaxNameLen = 63
)

// Offer says that a host serves a service.
type Offer struct {
	Service route.ServiceID
	// Slots is the number of ready slots; zero takes no new flows.
	Slots uint16
}

// Entry describes one host or balancer.
type Entry struct {
	Kind Kind
	Name string
	Zone string
	// Data is where datagrams for this process go.
	Data netip.AddrPort
	// Control is where control calls to this process go.
	Control     netip.AddrPort
	Incarnation Incarnation
	Sequence    uint32
	Status      Status
	Offers      []Offer
}

// Key identifies an entry: the address that no two live processes share.
func (e *Entry) Key() netip.AddrPort { return e.Data }

// Validate checks an entry that came from another process.
func (e *Entry) Validate() error {
	switch {
	case e.Kind != KindHost && e.Kind != KindBalancer:
		return errors.Errorf("entry kind %d is unknown", e.Kind)
	case e.Status < Alive || e.Status > Left:
		return errors.Errorf("entry status %d is unknown", e.Status)
	case !e.Data.Addr().Is4() || !e.Control.Addr().Is4():
		return errors.New("entry addresses must be IPv4")
	case len(e.Name) > MaxNameLen || len(e.Zone) > MaxNameLen:
		return errors.New("entry name or zone is too long")
	case len(e.Offers) > MaxOffers:
		return errors.Errorf("entry offers more than %d services", MaxOffers)
	}
	return nil
}

// Newer tells whether e replaces old in a merge.
func (e *Entry) Newer(old *Entry) bool {
	if e.Incarnation != old.Incarnation {
		return e.Incarnation > old.Incarnation
	}
	if e.Sequence != old.Sequence {
		return e.Sequence > old.Sequence
	}
	return e.Status > old.Status
}

// Usable tells whether new flows may go there. A suspicion alone takes no host
// out: the data path notices a silent host sooner, and a wrong suspicion of many
// hosts at once, as after a partition, must not stop service.
func (e *Entry) Usable() bool { return e.Status <= Suspect }

// hash covers identity and order; the owner never changes content without a
// higher sequence.
func (e *Entry) hash() uint64 {
	var b [6 + 4 + 4 + 1]byte
	ip := e.Data.Addr().As4()
	copy(b[:], ip[:])
	binary.BigEndian.PutUint16(b[4:], e.Data.Port())
	binary.BigEndian.PutUint32(b[6:], uint32(e.Incarnation))
	binary.BigEndian.PutUint32(b[10:], e.Sequence)
	b[14] = byte(e.Status)
	return xxhash.Sum64(b[:])
}

// leaf returns the digest leaf of a key.
func leaf(key netip.AddrPort) int {
	var b [6]byte
	ip := key.Addr().As4()
	copy(b[:], ip[:])
	binary.BigEndian.PutUint16(b[4:], key.Port())
	return int(xxhash.Sum64(b[:]) % digestLeaves)
}
