package packetfront

import (
	"time"

	"github.com/poppywall/poppywall/balancer/search"
	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
)

// Types of package search that the front's own events use as well.
type (
	// DropReason is why a packet was dropped.
	DropReason = search.DropReason
	// BufferReason is why a packet is buffered and tried again.
	BufferReason = search.BufferReason
	// Uncertainty is why a flow that no candidate holds may still be alive.
	Uncertainty = search.Uncertainty
)

// Reasons for dropping a packet, in addition to those of package search.
const (
	DropMalformed DropReason = "malformed"
	// DropVersion is a datagram of a node that uses another version of the messages.
	DropVersion DropReason = "other version"
	// DropRetransmissionRefused is a refused SYN that is not answered with a reset, because an
	// earlier or later SYN may have opened the flow.
	DropRetransmissionRefused DropReason = "copy-refused"
	// DropNotRelayed is a message of another zone's node that this balancer did not relay: the
	// buffer was full, or the message was too old when it was due.
	DropNotRelayed DropReason = "not relayed"
)

// DropReasons lists all reasons for dropping a packet.
var DropReasons = []DropReason{DropMalformed, DropVersion, search.DropNoRoute, search.DropNoCandidate, search.DropExpired, DropRetransmissionRefused, search.DropLateAnswer, DropNotRelayed}

// Decision is the choice of a target for a SYN, with the data it was based on.
type Decision struct {
	Key            flow.Key
	Route, Service string
	Target         *fleet.Target
	// Config is the version of the configuration, Evacuations the revision of the evacuated
	// zones, ReportAge the age of the target's load report.
	Config      int64
	Evacuations int64
	ReportAge   time.Duration
	// ExpectedDelay is the expected delay at the cheapest target, including the cost of crossing
	// zones; the SYN may have been sent to another target.
	ExpectedDelay time.Duration
	// Candidates is the number of targets that the SYN may be offered to.
	Candidates int
	// CrossZone is set if the target is in another zone.
	CrossZone bool
	// Retransmissions is how many times the client had sent the SYN before.
	Retransmissions uint32
}

// Events receives the decisions of a core.
type Events interface {
	// Forwarded reports a packet that was sent to the recorded target of its flow.
	Forwarded()
	// Opened reports a SYN that was sent to a target.
	Opened(d Decision)
	// Refused reports a flow that was reset because no target accepts it. route is empty if the
	// targets themselves refused the flow.
	Refused(key flow.Key, reason, route string)
	// OverloadChanged reports that a service has become overloaded, or no longer is.
	OverloadChanged(o Overload)
	search.Events
	// OwnerFound reports that a search has found the target of a flow.
	OwnerFound(key flow.Key, target flow.IPv4, hops int)
	// TargetChanged reports that a target has joined, or that its service, incarnation or
	// state has changed.
	TargetChanged(t *fleet.Target, change fleet.Change)
	// TargetExpired reports that a target was removed from the view because it was not seen
	// for fleet.ExpireAfter.
	TargetExpired(ip flow.IPv4)
	// ZoneSilenceChanged reports that a zone has become silent, or no longer is.
	ZoneSilenceChanged(s fleet.ZoneSilence)
	// OtherVersion reports a dropped datagram of a node that uses another version of the messages.
	OtherVersion(from flow.IPv4, version uint8)
	// PeerChanged reports that another balancer has joined or was removed from the view.
	PeerChanged(ip flow.IPv4, change string)
	// ZoneRelayed reports whether beacons to another zone go through relays from now on, or
	// directly, and how many of its balancers were seen recently.
	ZoneRelayed(zone flow.Tag, balancers int, relayed bool)
	// Relayed reports a batch of messages of other zones' nodes that was relayed in the local
	// zone.
	Relayed(messages int)
	// NodeProbed reports that a node of another zone is probed because its relayed messages have
	// stopped arriving; sinceLastSeen is the time since it was last seen.
	NodeProbed(ip flow.IPv4, sinceLastSeen time.Duration)
	// RotationChanged reports that the balancer leaves the rotation because its link is full, or
	// returns to it. mbps and zoneMbps are the rates at which it and all balancers of the zone
	// send; othersInRotation is the number of other balancers in rotation.
	RotationChanged(standby bool, mbps, zoneMbps float64, othersInRotation int)
	// EvacuationsChanged reports that the set of evacuated zones has changed; from is the node
	// that the change came from, or the store.
	EvacuationsChanged(current, previous flow.Evacuations, from string)
}
