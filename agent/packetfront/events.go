package packetfront

import (
	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
)

// Drop is why a packet went nowhere.
type Drop string

// The reasons.
const (
	DropMalformed Drop = "malformed"
	// DropBounced is a bounced packet of which nothing is known any more.
	DropBounced Drop = "bounced"
)

// Drops lists all reasons.
var Drops = []Drop{DropMalformed, DropBounced}

// Events hears of what the core decides; the shell logs and counts.
type Events interface {
	Delivered()
	// Request is the first packet of a request, delivered to the host.
	Request(key flow.Key, requestID []byte, busy, slots int)
	// Waiting is a new flow for which no host has room at the moment.
	Waiting(key flow.Key, busy, limit int)
	PassedOn(key flow.Key, reason string, hops int)
	// Bounced is a packet that the host did not take.
	Bounced(key flow.Key, opening bool)
	Reset(key flow.Key, reason string)
	Dropped(reason Drop)
	HostReport(what string, b fleet.Heartbeat)
	// Failed is a request that the host answered with a failure or a reset.
	Failed()
	// Ejected tells that the host gets no new flows because it fails, or that this
	// has ended; trials and failures are those of the time before.
	Ejected(ejected bool, trials, failures int)
	PeerChanged(ip flow.IPv4, what string)
}
