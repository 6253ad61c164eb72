package fleet

import (
	"encoding/binary"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/flow/envelope"
)

// ErrMalformed is returned for bytes that are no message of the expected kind.
var ErrMalformed = errors.New("malformed fleet message")

// Life is one run of a target: it starts with nothing and ends with all that it holds.
// A target may start again under the ID that it had.
type Life struct {
	TargetID string
	// Born is when it started, in Unix milliseconds of its VM's clock, which may be
	// stepped between two lives; zero where the target does not say.
	Born int64
}

// Tag tells a life from others in messages.
func (l Life) Tag() flow.Tag {
	if l.Born == 0 {
		return flow.TagOf(l.TargetID)
	}
	return flow.TagOf(l.TargetID + " " + strconv.FormatInt(l.Born, 10))
}

// Heartbeat is what a target says of itself to the agent beside it.
type Heartbeat struct {
	Life
	Service string
	// Slots is how many requests it works on at the same time, 1 to 65,535.
	Slots int
	// Draining targets take no new flow.
	Draining   bool
	WarmupLeft time.Duration
	// Sequence rises with each heartbeat of one life.
	Sequence uint64
}

// State is what a target can do.
type State uint8

// The states of a target.
const (
	// Absent: no target is known to listen.
	Absent State = iota
	// Ready: takes new flows.
	Ready
	// Draining: keeps its flows, takes no new one.
	Draining
	// Gone: has left, or its agent is leaving.
	Gone
)

// String names the state in logs.
func (s State) String() string {
	return [...]string{"absent", "ready", "draining", "gone"}[s&3]
}

// Identity orders the messages of one process.
type Identity struct {
	// Epoch is random for each start of the process.
	Epoch uint64
	// Seq rises with each message of an epoch.
	Seq uint32
}

// Announcement is an agent's message about its target.
type Announcement struct {
	Identity
	Zone, Service flow.Tag
	// Incarnation is the tag of the target's life; zero while it is not known.
	Incarnation flow.Tag
	State       State
	// WantPeers asks for the balancers that the receiver knows, WantReply for a
	// beacon.
	WantPeers, WantReply bool
	Slots                uint16
	// Busy is the number of requests that the target works on or has queued.
	Busy uint16
	// Open is the number of open flows.
	Open uint16
	// WarmupMillis is how long the target stays slow after its start.
	WarmupMillis uint16
	// Ejected targets fail their requests.
	Ejected bool
	// ConfigVersion is the version of the configuration that the agent keeps a copy of,
	// zero without one.
	ConfigVersion int64
	// Cold targets bear only so many new flows a second: Room more at the moment.
	Cold bool
	Room uint16
	// Listing is what the agent knows of its entry in the registry.
	Listing Listing
	// Period is how soon the receiver hears of the sender again, whole
	// milliseconds.
	Period time.Duration
	Readings
}

// Beacon is a balancer's message about itself.
type Beacon struct {
	Identity
	Zone flow.Tag
	// ConfigVersion is the configuration in force.
	ConfigVersion int64
	// Digest is that of the sender's view: where it differs from the receiver's,
	// one of them knows a node that the other does not.
	Digest uint32
	// Leaving balancers take no packets soon.
	Leaving bool
	// Feeding balancers watch the store, and it answers them.
	Feeding bool
	// WantPeers asks for the nodes that the receiver knows.
	WantPeers bool
	// Reply marks the answer to a beacon; it is not answered again.
	Reply bool
	// Period is how soon the receiver hears of the sender again, whole
	// milliseconds.
	Period time.Duration
	// Heard is the last announcement that the sender has of the receiver; zero to
	// another balancer.
	Heard Identity
	// InRotation balancers take clients' packets from the routers.
	InRotation bool
	// LinkMbps is the width of the sender's link and SentMbps what it sent over it lately,
	// Mbit/s; zero where the width is not known.
	LinkMbps, SentMbps uint16
	// Evacuations are the emptied zones that the sender acts on.
	Evacuations flow.Evacuations
}

// announceWire and beaconWire are the fixed layouts, encoded big-endian.
type announceWire struct {
	Epoch                                 uint64
	Seq                                   uint32
	Zone, Service, Incarnation            uint32
	State, WantPeers, WantReply           uint8
	Slots, Busy, Open, WarmupMilliseconds uint16
	Ejected, Listing, Cold                uint8
	PeriodMilliseconds, Room              uint16
	ConfigVersion                         int64
}

type beaconWire struct {
	Epoch            uint64
	Seq              uint32
	Zone             uint32
	ConfigVersion    int64
	Digest           uint32
	Leaving, Feeding uint8
	WantPeers, Reply uint8
	PeriodMillis     uint16
	HeardEpoch       uint64
	HeardSeq         uint32
	InRotation       uint8
	LinkMbps         uint16
	SentMbps         uint16
}

func bit(b bool) uint8 {
	if b {
		return 1
	}
	return 0
}

// Append appends the encoded message.
func (a *Announcement) Append(b []byte) []byte {
	b = envelope.AppendPrefix(b, envelope.Announce)
	b = appendFixed(b, announceWire{
		Epoch: a.Epoch, Seq: a.Seq,
		Zone: uint32(a.Zone), Service: uint32(a.Service), Incarnation: uint32(a.Incarnation),
		State: uint8(a.State), WantPeers: bit(a.WantPeers), WantReply: bit(a.WantReply),
		Slots: a.Slots, Busy: a.Busy, Open: a.Open, WarmupMilliseconds: a.WarmupMillis,
		Ejected: bit(a.Ejected), Listing: uint8(a.Listing), PeriodMilliseconds: uint16(a.Period.Milliseconds()),
		Cold: bit(a.Cold), Room: a.Room, ConfigVersion: a.ConfigVersion,
	})
	return a.Readings.append(b)
}

// Append appends the encoded message.
func (m *Beacon) Append(b []byte) []byte {
	b = envelope.AppendPrefix(b, envelope.Beacon)
	b = appendFixed(b, beaconWire{
		Epoch: m.Epoch, Seq: m.Seq, Zone: uint32(m.Zone), ConfigVersion: m.ConfigVersion, Digest: m.Digest,
		Leaving: bit(m.Leaving), Feeding: bit(m.Feeding), WantPeers: bit(m.WantPeers), Reply: bit(m.Reply),
		PeriodMillis: uint16(m.Period.Milliseconds()),
		HeardEpoch:   m.Heard.Epoch, HeardSeq: m.Heard.Seq,
		InRotation: bit(m.InRotation), LinkMbps: m.LinkMbps, SentMbps: m.SentMbps,
	})
	return appendEvacuations(b, m.Evacuations)
}

// appendFixed encodes a struct of fixed-size fields, for which the library
// cannot fail.
func appendFixed(b []byte, v any) []byte {
	out, err := binary.Append(b, binary.BigEndian, v)
	if err != nil {
		panic(err)
	}
	return out
}

// decodeHead reads the fixed part behind the prefix and returns what follows it.
func decodeHead(b []byte, kind envelope.Kind, v any) ([]byte, error) {
	if k, err := envelope.KindOf(b); err != nil || k != kind {
		return nil, ErrMalformed
	}
	body := b[envelope.PrefixLen:]
	n, err := binary.Decode(body, binary.BigEndian, v)
	if err != nil {
		return nil, ErrMalformed
	}
	return body[n:], nil
}

// DecodeAnnouncement reads an announcement.
func DecodeAnnouncement(b []byte) (Announcement, error) {
	var w announceWire
	rest, err := decodeHead(b, envelope.Announce, &w)
	if err != nil {
		return Announcement{}, err
	}
	readings, err := decodeReadings(rest)
	if err != nil {
		return Announcement{}, err
	}
	if w.State > uint8(Gone) || w.Listing > uint8(ListingLeft) {
		return Announcement{}, ErrMalformed
	}
	return Announcement{
		Identity: Identity{w.Epoch, w.Seq},
		Zone:     flow.Tag(w.Zone), Service: flow.Tag(w.Service), Incarnation: flow.Tag(w.Incarnation),
		State: State(w.State), WantPeers: w.WantPeers == 1, WantReply: w.WantReply == 1,
		Slots: w.Slots, Busy: w.Busy, Open: w.Open, WarmupMillis: w.WarmupMilliseconds,
		Ejected: w.Ejected == 1, Listing: Listing(w.Listing), Period: time.Duration(w.PeriodMilliseconds) * time.Millisecond,
		Cold: w.Cold == 1, Room: w.Room, ConfigVersion: w.ConfigVersion, Readings: readings,
	}, nil
}

// DecodeBeacon reads a beacon.
func DecodeBeacon(b []byte) (Beacon, error) {
	var w beaconWire
	rest, err := decodeHead(b, envelope.Beacon, &w)
	if err != nil {
		return Beacon{}, err
	}
	evacuations, err := readEvacuations(rest)
	if err != nil {
		return Beacon{}, err
	}
	return Beacon{
		Identity: Identity{w.Epoch, w.Seq}, Zone: flow.Tag(w.Zone), ConfigVersion: w.ConfigVersion, Digest: w.Digest,
		Leaving: w.Leaving == 1, Feeding: w.Feeding == 1, WantPeers: w.WantPeers == 1, Reply: w.Reply == 1,
		Period: time.Duration(w.PeriodMillis) * time.Millisecond,
		Heard:  Identity{w.HeardEpoch, w.HeardSeq}, Evacuations: evacuations,
		InRotation: w.InRotation == 1, LinkMbps: w.LinkMbps, SentMbps: w.SentMbps,
	}, nil
}

// Names are the nodes that a balancer knows.
type Names struct {
	Balancers []flow.IPv4
	// Holders are agents whose targets may hold flows, Idle those whose targets cannot
	// at present: to be greeted, not to be waited for.
	Holders, Idle []flow.IPv4
}

// maxPeers bounds the addresses of one Peers message: 1,000 bytes.
const maxPeers = 250

// Append appends messages that name all nodes; each is handed to send when it is
// full.
func (n Names) Append(b []byte, send func([]byte)) {
	for len(n.Balancers)+len(n.Holders)+len(n.Idle) > 0 {
		room := maxPeers
		take := func(list *[]flow.IPv4) []flow.IPv4 {
			count := min(len(*list), room)
			part := (*list)[:count]
			*list = (*list)[count:]
			room -= count
			return part
		}
		parts := [...][]flow.IPv4{take(&n.Balancers), take(&n.Holders), take(&n.Idle)}
		msg := envelope.AppendPrefix(b[:0], envelope.Peers)
		for _, part := range parts {
			msg = append(msg, byte(len(part)))
		}
		for _, part := range parts {
			msg = appendIPs(msg, part)
		}
		send(msg)
	}
}

func appendIPs(b []byte, ips []flow.IPv4) []byte {
	for _, ip := range ips {
		b = binary.BigEndian.AppendUint32(b, uint32(ip))
	}
	return b
}

// DecodeNames reads one Peers message.
func DecodeNames(b []byte) (Names, error) {
	const counts = 3
	if k, err := envelope.KindOf(b); err != nil || k != envelope.Peers || len(b) < envelope.PrefixLen+counts {
		return Names{}, ErrMalformed
	}
	b = b[envelope.PrefixLen:]
	nb, nh, ni := int(b[0]), int(b[1]), int(b[2])
	b = b[counts:]
	if len(b) != ipLen*(nb+nh+ni) {
		return Names{}, ErrMalformed
	}
	return Names{
		Balancers: decodeIPs(b[:ipLen*nb]),
		Holders:   decodeIPs(b[ipLen*nb : ipLen*(nb+nh)]),
		Idle:      decodeIPs(b[ipLen*(nb+nh):]),
	}, nil
}

// ipLen is the length of an encoded address.
const ipLen = 4

func decodeIPs(b []byte) []flow.IPv4 {
	out := make([]flow.IPv4, 0, len(b)/ipLen)
	for ; len(b) >= ipLen; b = b[ipLen:] {
		out = append(out, flow.IPv4(binary.BigEndian.Uint32(b)))
	}
	return out
}
