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

// TargetIncarnation identifies one incarnation of a target, which lasts from the start of its process to
// its end. An incarnation starts without flows, and its flows end with it. A target may start
// again under the same ID.
type TargetIncarnation struct {
	TargetID string
	// StartedMillis is the start time in Unix milliseconds. It is zero if the target does not report
	// it. It is taken from the VM's clock, which may be stepped between two incarnations.
	StartedMillis int64
}

// IncarnationTag shows balancers that another incarnation runs at a target's address. Nothing is
// concluded from tags that are equal. Zero means that the incarnation is unknown.
type IncarnationTag uint32

// Tag returns the tag that stands for the incarnation in messages.
func (i TargetIncarnation) Tag() IncarnationTag {
	name := i.TargetID
	if i.StartedMillis != 0 {
		name += " " + strconv.FormatInt(i.StartedMillis, 10)
	}
	return max(IncarnationTag(flow.TagOf(name)), 1)
}

// Heartbeat is a target's periodic report to the agent on its VM.
type Heartbeat struct {
	TargetIncarnation
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
	// Absent: the agent knows of no listening target, but the target may still hold flows.
	Absent State = iota
	// Ready: the target takes new flows.
	Ready
	// Draining: the target keeps its flows and takes no new ones.
	Draining
	// Gone: the target certainly holds no flows, because it has deregistered, has ended, or has
	// just started and not taken any yet.
	Gone
)

// String returns the name of the state for logs.
func (s State) String() string {
	return [...]string{"absent", "ready", "draining", "gone"}[s&3]
}

// MessageID identifies a message and orders the messages of one process.
type MessageID struct {
	// ProcessIncarnation is the incarnation of the sending process, an agent or a balancer: a random
	// number drawn at each start. That of a target is the type ProcessIncarnation.
	ProcessIncarnation uint64
	// Seq increases with each message of one process incarnation.
	Seq uint32
}

// Announcement is an agent's periodic state message about its target.
type Announcement struct {
	MessageID
	Zone    flow.Tag
	Service flow.ServiceID
	// TargetIncarnation is the tag of the target's incarnation; zero while it is unknown.
	TargetIncarnation IncarnationTag
	State             State
	// WantPeers requests the balancers and agents that the receiver knows, WantReply a beacon.
	WantPeers, WantReply bool
	Slots                uint16
	// Outstanding is the number of requests that the target is processing or has queued.
	Outstanding uint16
	// OpenFlows is the number of open flows.
	OpenFlows uint16
	// WarmupMillis is the remaining time for which the target is slow after its start.
	WarmupMillis uint16
	// Ejected targets get no new flows, because their requests fail or they are on probation after
	// a crash.
	Ejected bool
	// ConfigVersion is the version of the agent's copy of the configuration; zero without a
	// copy.
	ConfigVersion int64
	// Cold targets get a limited number of opening packets per second.
	Cold bool
	// Headroom is how many more opening packets may be delivered to a cold target at the moment.
	Headroom uint16
	// Registration is the state of the agent's registry entry.
	Registration Registration
	// Period is the time until the sender's next periodic message to the receiver, in whole
	// milliseconds.
	Period time.Duration
	LoadReport
}

// Beacon is a balancer's periodic state message about itself.
type Beacon struct {
	MessageID
	Zone flow.Tag
	// ConfigVersion is the version of the configuration in force.
	ConfigVersion int64
	// Digest is the digest of the sender's view (View.Digest). If it differs from the receiver's,
	// one of them knows a node that the other does not.
	Digest uint32
	// Leaving balancers are about to stop and will soon take no packets.
	Leaving bool
	// Feeder balancers watch the store, and the store answers them.
	Feeder bool
	// WantPeers requests the balancers and agents that the receiver knows; an agent answers with its
	// announcement.
	WantPeers bool
	// Reply marks a beacon that is not answered with a beacon.
	Reply bool
	// Period is the time until the sender's next periodic message to the receiver, in whole
	// milliseconds.
	Period time.Duration
	// LastReceived is the ID of the last announcement that the sender received from the receiver;
	// zero if the receiver is a balancer.
	LastReceived MessageID
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
	Incarnation                                 uint64
	Seq                                         uint32
	Zone                                        uint64
	Service                                     flow.ServiceID
	TargetIncarnation                           uint32
	States, Flags                               uint8
	Slots, Outstanding, OpenFlows, WarmupMillis uint16
	PeriodMillis, Headroom                      uint16
	ConfigVersion                               int64
}

// registrationShift is the position of the registration in announceWire.States; the target's state is
// below it.
const registrationShift = 4

type beaconWire struct {
	Incarnation         uint64
	Seq                 uint32
	Zone                uint64
	ConfigVersion       int64
	Digest              uint32
	Flags               uint8
	PeriodMillis        uint16
	ReceivedIncarnation uint64
	ReceivedSeq         uint32
	LinkMbps            uint16
	SentMbps            uint16
}

// packBits returns a byte with one bit for each of up to eight flags, the first in the lowest bit.
func packBits(flags ...bool) (b uint8) {
	for i, f := range flags {
		b |= bit(f) << i
	}
	return b
}

// unpackBits sets flags from the bits of a byte and reports whether no other bit is set.
func unpackBits(b uint8, flags ...*bool) bool {
	for i, f := range flags {
		*f = b>>i&1 == 1
	}
	return b>>len(flags) == 0
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
		Incarnation: a.ProcessIncarnation, Seq: a.Seq,
		Zone: uint64(a.Zone), Service: a.Service, TargetIncarnation: uint32(a.TargetIncarnation),
		States: uint8(a.State) | uint8(a.Registration)<<registrationShift, Flags: packBits(a.WantPeers, a.WantReply, a.Ejected, a.Cold),
		Slots: a.Slots, Outstanding: a.Outstanding, OpenFlows: a.OpenFlows, WarmupMillis: a.WarmupMillis,
		PeriodMillis: uint16(a.Period.Milliseconds()), Headroom: a.Headroom, ConfigVersion: a.ConfigVersion,
	})
	return a.LoadReport.append(b)
}

// Append appends the encoded message.
func (m *Beacon) Append(b []byte) []byte {
	b = envelope.AppendPrefix(b, envelope.Beacon)
	b = appendFixed(b, beaconWire{
		Incarnation: m.ProcessIncarnation, Seq: m.Seq, Zone: uint64(m.Zone), ConfigVersion: m.ConfigVersion, Digest: m.Digest,
		Flags:               packBits(m.Leaving, m.Feeder, m.WantPeers, m.Reply, m.InRotation),
		PeriodMillis:        uint16(m.Period.Milliseconds()),
		ReceivedIncarnation: m.LastReceived.ProcessIncarnation, ReceivedSeq: m.LastReceived.Seq,
		LinkMbps: m.LinkMbps, SentMbps: m.SentMbps,
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
	loadReport, err := decodeLoadReport(rest)
	if err != nil {
		return Announcement{}, err
	}
	state, registration := State(w.States&(1<<registrationShift-1)), Registration(w.States>>registrationShift)
	a := Announcement{
		MessageID: MessageID{w.Incarnation, w.Seq},
		Zone:      flow.Tag(w.Zone), Service: w.Service, TargetIncarnation: IncarnationTag(w.TargetIncarnation),
		State: state, Registration: registration,
		Slots: w.Slots, Outstanding: w.Outstanding, OpenFlows: w.OpenFlows, WarmupMillis: w.WarmupMillis,
		Period: time.Duration(w.PeriodMillis) * time.Millisecond, Headroom: w.Headroom, ConfigVersion: w.ConfigVersion, LoadReport: loadReport,
	}
	if state > Gone || registration > RegistrationAbandoned || !unpackBits(w.Flags, &a.WantPeers, &a.WantReply, &a.Ejected, &a.Cold) {
		return Announcement{}, ErrMalformed
	}
	return a, nil
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
	m := Beacon{
		MessageID: MessageID{w.Incarnation, w.Seq}, Zone: flow.Tag(w.Zone), ConfigVersion: w.ConfigVersion, Digest: w.Digest,
		Period:       time.Duration(w.PeriodMillis) * time.Millisecond,
		LastReceived: MessageID{w.ReceivedIncarnation, w.ReceivedSeq}, Evacuations: evacuations,
		LinkMbps: w.LinkMbps, SentMbps: w.SentMbps,
	}
	if !unpackBits(w.Flags, &m.Leaving, &m.Feeder, &m.WantPeers, &m.Reply, &m.InRotation) {
		return Beacon{}, ErrMalformed
	}
	return m, nil
}

// NodeList lists the nodes that a balancer knows.
type NodeList struct {
	Balancers []flow.IPv4
	// ActiveAgents are agents whose targets may hold flows. IdleAgents are agents whose targets hold
	// none at present: the receiver introduces itself to them, but they cause no uncertainty.
	ActiveAgents, IdleAgents []flow.IPv4
}

// maxAddresses bounds the addresses in one Peers message to 1,000 bytes.
const maxAddresses = 250

// Append encodes the nodes into one or more Peers messages, each built in b, and calls send
// with each.
func (n NodeList) Append(b []byte, send func([]byte)) {
	for len(n.Balancers)+len(n.ActiveAgents)+len(n.IdleAgents) > 0 {
		free := maxAddresses
		take := func(list *[]flow.IPv4) []flow.IPv4 {
			count := min(len(*list), free)
			part := (*list)[:count]
			*list = (*list)[count:]
			free -= count
			return part
		}
		parts := [...][]flow.IPv4{take(&n.Balancers), take(&n.ActiveAgents), take(&n.IdleAgents)}
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

// DecodeNodeList decodes one Peers message.
func DecodeNodeList(b []byte) (NodeList, error) {
	const counts = 3
	if k, err := envelope.KindOf(b); err != nil || k != envelope.Peers || len(b) < envelope.PrefixLen+counts {
		return NodeList{}, ErrMalformed
	}
	b = b[envelope.PrefixLen:]
	balancers, active, idle := int(b[0]), int(b[1]), int(b[2])
	b = b[counts:]
	if len(b) != ipLen*(balancers+active+idle) {
		return NodeList{}, ErrMalformed
	}
	return NodeList{
		Balancers:    decodeIPs(b[:ipLen*balancers]),
		ActiveAgents: decodeIPs(b[ipLen*balancers : ipLen*(balancers+active)]),
		IdleAgents:   decodeIPs(b[ipLen*(balancers+active):]),
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
