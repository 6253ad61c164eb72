package directory

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"github.com/poppywall/poppywall/route"
)

// Incarnation orders successive processes at one address. It is the start time
// in seconds, or higher if the directory holds a later incarnation.
type Incarnation uint32

// Kind is the kind of node that an entry describes.
type Kind uint8

// The kinds of entries.
const (
	KindHost     Kind = 1
	KindBalancer Kind = 2
)

// Status is the state of an entry. Between entries of equal incarnation and
// sequence, the higher status wins.
type Status uint8

// The states of an entry. The owner sets Alive and Left; Suspect and Gone are
// set only by other nodes.
const (
	Alive   Status = 1
	Suspect Status = 2
	// Gone follows a suspicion that was not refuted within
	// Options.SuspicionTimeout.
	Gone Status = 3
	// Left is set by an owner that deregisters.
	Left Status = 4
)

// Limits of an entry, checked when it is encoded and decoded.
const (
	// MaxOffers is the maximum number of services that one host offers.
	MaxOffers = 64
	// MaxNameLen is the maximum length of a name or zone, in bytes.
	MaxNameLen = 63
)

// Offer is a service that a host serves.
type Offer struct {
	Service route.ServiceID
	// Slots is the number of ready slots; with zero, the host gets no new flows.
	Slots uint16
}

// Entry describes one host or balancer.
type Entry struct {
	Kind Kind
	Name string
	Zone string
	// Data is the address that receives forwarded datagrams.
	Data netip.AddrPort
	// Control is the address that serves a balancer's control calls. For a host,
	// which serves none, it is the agent's address of /metrics and /healthz.
	Control     netip.AddrPort
	Incarnation Incarnation
	Sequence    uint32
	Status      Status
	Offers      []Offer
}

// Key returns the key of the entry: its data address, which no two live
// processes share.
func (e *Entry) Key() netip.AddrPort { return e.Data }

// Validate checks an entry received from another process.
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

// Newer reports whether e replaces old in a merge.
func (e *Entry) Newer(old *Entry) bool {
	if e.Incarnation != old.Incarnation {
		return e.Incarnation > old.Incarnation
	}
	if e.Sequence != old.Sequence {
		return e.Sequence > old.Sequence
	}
	return e.Status > old.Status
}

// Usable reports whether the node may get new flows. A suspect host stays in
// service: the data path detects an unresponsive host sooner, and a false
// suspicion of many hosts at once, as after a partition, must not stop service.
func (e *Entry) Usable() bool { return e.Status <= Suspect }

// hash returns a hash over key, incarnation, sequence and status. Other fields
// are left out because the owner raises the sequence whenever it changes them.
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

// leafIndex returns the index of the digest leaf that holds a key.
func leafIndex(key netip.AddrPort) int {
	var b [6]byte
	ip := key.Addr().As4()
	copy(b[:], ip[:])
	binary.BigEndian.PutUint16(b[4:], key.Port())
	return int(xxhash.Sum64(b[:]) % digestLeaves)
}
