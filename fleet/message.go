package fleet

import (
	"encoding/binary"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/flow/envelope"
)

// ErrMalformed is returned for bytes that are not a valid message of the expected kind.
var ErrMalformed = errors.New("malformed fleet message")

// Life identifies one incarnation of a target, from a start of its process to the end of
// it. An incarnation starts without flows, and its flows end with it. A target may start
// again under the same ID.
type Life struct {
	TargetID string
	// Born is the start time in Unix milliseconds by the VM's clock, which may be stepped
	// between two incarnations; zero if the target does not report it.
	Born int64
}

// Tag returns the tag that identifies the incarnation in messages.
func (l Life) Tag() flow.Tag {
	if l.Born == 0 {
		return flow.TagOf(l.TargetID)
	}
	return flow.TagOf(l.TargetID + " " + strconv.FormatInt(l.Born, 10))
}

// Heartbeat is a target's periodic report to the agent on its VM.
type Heartbeat struct {
	Life
	Service string
	// Slots is the target's concurrency: how many requests it processes at the same time, 1
	// to 65,535.
	Slots int
	// Draining targets take no new flows.
	Draining   bool
	WarmupLeft time.Duration
	// Sequence increases with each heartbeat of an incarnation.
	Sequence uint64
}

// State is the state of a target as its agent announces it.
type State uint8

// The states of a target.
const (
	// Absent: the agent knows of no listening target.
	Absent State = iota
	// Ready: the target takes new flows.
	Ready
	// Draining: the target keeps its flows and takes no new ones.
	Draining
	// Gone: the target has left, or its agent is leaving.
	Gone
)

// String returns the name of the state for logs.
func (s State) String() string {
	return [...]string{"absent", "ready", "draining", "gone"}[s&3]
}

// Identity is a message ID. It orders the messages of one process.
type Identity struct {
	// Epoch is the incarnation of the process: a random number drawn at each start.
	Epoch uint64
	// Seq increases with each message of one process incarnation.
	Seq uint32
}

// Announcement is an agent's periodic state message about its target.
type Announcement struct {
	Identity
	Zone, Service flow.Tag
	// Incarnation is the tag of the target's incarnation; zero while it is unknown.
	Incarnation flow.Tag
	State       State
	// WantPeers requests the balancers that the receiver knows, WantReply a beacon.
	WantPeers, WantReply bool
	Slots                uint16
	// Busy is the number of requests that the target is processing or has queued.
	Busy uint16
	// Open is the number of open flows.
	Open uint16
	// WarmupMillis is the remaining time for which the target is slow after its start.
	WarmupMillis uint16
	// Ejected targets were taken out of service because they fail their requests.
	Ejected bool
	// ConfigVersion is the version of the agent's copy of the configuration; zero without a
	// copy.
	ConfigVersion int64
	// Cold targets sustain only a limited rate of new flows.
	Cold bool
	// Room is how many more new flows a cold target takes at the moment.
	Room uint16
	// Listing is the state of the agent's registry entry.
	Listing Listing
	// Period is the time until the sender's next periodic message to the receiver, in whole
	// milliseconds.
	Period time.Duration
	Readings
}

// Beacon is a balancer's periodic state message about itself.
type Beacon struct {
	Identity
	Zone flow.Tag
	// ConfigVersion is the version of the configuration in force.
	ConfigVersion int64
	// Digest is the digest of the sender's view. If it differs from the receiver's, one of
	// them knows a node that the other does not.
	Digest uint32
	// Leaving balancers are about to stop and will soon take no packets.
	Leaving bool
	// Feeding balancers watch the store, and the store answers them.
	Feeding bool
	// WantPeers requests the nodes that the receiver knows.
	WantPeers bool
	// Reply marks a beacon sent in answer to another one; it is not answered.
	Reply bool
	// Period is the time until the sender's next periodic message to the receiver, in whole
	// milliseconds.
	Period time.Duration
	// Heard is the ID of the last announcement that the sender received from the receiver;
	// zero if the receiver is a balancer.
	Heard Identity
	// InRotation balancers receive clients' packets from the routers.
	InRotation bool
	// LinkMbps is the capacity of the sender's link and SentMbps the rate at which it has
	// recently sent over it, in Mbit/s; zero if the capacity is unknown.
	LinkMbps, SentMbps uint16
	// Evacuations are the evacuated zones that the sender has in force.
	Evacuations flow.Evacuations
}

// announceWire and beaconWire are the fixed-size parts of the messages, encoded big-endian.
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

// appendFixed encodes a struct of fixed-size fields, for which binary.Append cannot fail.
func appendFixed(b []byte, v any) []byte {
	out, err := binary.Append(b, binary.BigEndian, v)
	if err != nil {
		panic(err)
	}
	return out
}

// decodeFixed decodes the fixed-size part after the prefix into v and returns the bytes
// that follow it.
func decodeFixed(b []byte, kind envelope.Kind, v any) ([]byte, error) {
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

// DecodeAnnouncement decodes an announcement.
func DecodeAnnouncement(b []byte) (Announcement, error) {
	var w announceWire
	rest, err := decodeFixed(b, envelope.Announce, &w)
	if err != nil {
		return Announcement{}, err
	}
	readings, err := decodeLoadReport(rest)
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

// DecodeBeacon decodes a beacon.
func DecodeBeacon(b []byte) (Beacon, error) {
	var w beaconWire
	rest, err := decodeFixed(b, envelope.Beacon, &w)
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

// Names lists the nodes that a balancer knows.
type Names struct {
	Balancers []flow.IPv4
	// Holders are agents whose targets may hold flows. Idle are agents whose targets hold
	// none at present: the receiver introduces itself to them without waiting for them.
	Holders, Idle []flow.IPv4
}

// maxAddresses bounds the addresses in one Peers message to 1,000 bytes.
const maxAddresses = 250

// Append encodes the nodes into one or more Peers messages, each built in b, and calls send
// with each.
func (n Names) Append(b []byte, send func([]byte)) {
	for len(n.Balancers)+len(n.Holders)+len(n.Idle) > 0 {
		free := maxAddresses
		take := func(list *[]flow.IPv4) []flow.IPv4 {
			count := min(len(*list), free)
			part := (*list)[:count]
			*list = (*list)[count:]
			free -= count
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

// DecodeNames decodes one Peers message.
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
