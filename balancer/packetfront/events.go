package packetfront

import (
	"time"

	"github.com/poppywall/poppywall/balancer/search"
	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
)

// The reasons of a search are those of the front too.
type (
	// DropReason is why a packet went nowhere.
	DropReason = search.DropReason
	// BufferReason is why a packet is kept to be tried again.
	BufferReason = search.BufferReason
	// Uncertainty is why a flow that no target holds may live all the same.
	Uncertainty = search.Uncertainty
)

// Reasons besides those of a search.
const (
	DropMalformed   DropReason = "malformed"
	DropCopyRefused DropReason = "copy-refused"
	// DropNotRelayed is what a node of another zone said and this one did not relay
	// in time.
	DropNotRelayed DropReason = "not relayed"
)

// DropReasons lists all reasons.
var DropReasons = []DropReason{DropMalformed, search.DropNoRoute, search.DropNoCandidate, search.DropExpired, DropCopyRefused, search.DropLateAnswer, DropNotRelayed}

// Decision is where a SYN went and what that was decided by.
type Decision struct {
	Key            flow.Key
	Route, Service string
	Target         *fleet.Target
	// Config is the version of the configuration, Evacuations the revision of the
	// emptied zones, Age that of the reading.
	Config      int64
	Evacuations int64
	Age         time.Duration
	// Expected is the delay at the cheapest candidate, the price of crossing zones
	// included; a copy may go elsewhere.
	Expected   time.Duration
	Candidates int
	// OtherZone tells that the flow has left its zone.
	OtherZone bool
	// Copy counts the copies of the SYN sent before.
	Copy uint32
}

// Events hears of what the core decides; the shell logs and counts.
type Events interface {
	Forwarded()
	Opened(d Decision)
	Refused(key flow.Key, reason, route string)
	// OverloadChanged tells that a service is overloaded from now on, or no longer.
	OverloadChanged(o Overload)
	search.Events
	OwnerFound(key flow.Key, target flow.IPv4, hops int)
	TargetChanged(h *fleet.Target, change fleet.Change)
	TargetForgotten(ip flow.IPv4)
	// ZoneSilenceChanged tells that a zone has fallen silent, or that it was heard again.
	ZoneSilenceChanged(s fleet.ZoneSilence)
	PeerChanged(ip flow.IPv4, what string)
	// ZoneRelayed tells that another zone is told through relays from now on, or
	// directly again, and how many of its balancers were heard lately.
	ZoneRelayed(zone flow.Tag, balancers int, relayed bool)
	// Relayed is a batch of so many messages of other zones' nodes for the own zone.
	Relayed(messages int)
	// Probed is a node of another zone whose messages are not relayed any more.
	Probed(ip flow.IPv4, silent time.Duration)
	// RotationChanged tells that the balancer leaves the rotation because its link is full, or
	// comes back: what it and the zone's balancers send, Mbit/s, and how many others
	// are in rotation.
	RotationChanged(out bool, own, zone float64, taking int)
	// EvacuationsChanged tells that other zones than formerly are emptied; from is who
	// told it.
	EvacuationsChanged(now, former flow.Evacuations, from string)
}
