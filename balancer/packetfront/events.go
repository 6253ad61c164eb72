package packetfront

import (
	"time"

	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
)

// Drop is why a packet went nowhere.
type Drop string

// The reasons.
const (
	DropMalformed   Drop = "malformed"
	DropNoConfig    Drop = "no-config"
	DropNoRoute     Drop = "no-route"
	DropNoCandidate Drop = "no-candidate"
	DropUnsettled   Drop = "unsettled"
	DropCopyRefused Drop = "copy-refused"
)

// Drops lists all reasons.
var Drops = []Drop{DropMalformed, DropNoConfig, DropNoRoute, DropNoCandidate, DropUnsettled, DropCopyRefused}

// Decision is where a SYN went and what that was decided by.
type Decision struct {
	Key            flow.Key
	Route, Service string
	Host           *fleet.Host
	// Config is the version of the configuration, Age that of the reading.
	Config     int64
	Age        time.Duration
	Candidates int
	// Copy counts the copies of the SYN sent before.
	Copy uint32
}

// Events hears of what the core decides; the shell logs and counts.
type Events interface {
	Forwarded()
	Opened(d Decision)
	Refused(key flow.Key, reason, route string)
	Searching(key flow.Key, candidates, round int)
	OwnerFound(key flow.Key, host flow.IPv4, hops int)
	// Lost is a packet whose flow no candidate holds. doubt says why the flow is
	// not reset all the same, empty when it is; missing is the host that was not
	// asked, if that is the doubt.
	Lost(key flow.Key, hops int, doubt Doubt, missing flow.IPv4)
	Dropped(reason Drop)
	HostChanged(h *fleet.Host, change fleet.Change)
	HostForgotten(ip flow.IPv4)
	PeerChanged(ip flow.IPv4, what string)
}
