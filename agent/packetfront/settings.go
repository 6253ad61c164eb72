package packetfront

import (
	"time"

	"github.com/poppywall/poppywall/settings"
)

// Settings are the settings of an agent's packet front, as read from its settings file.
type Settings struct {
	// Name is shown in logs.
	Name string `json:"name" validate:"required,hostname_rfc1123"`
	// Zone is the availability zone.
	Zone string `json:"zone" validate:"required,max=63"`
	// Service is the service of the agent's target.
	Service string `json:"service" validate:"required,max=255"`
	// Internal is the address for datagrams and calls between nodes; its port is
	// the same on all nodes.
	Internal string `json:"internal" validate:"required,addrport4"`
	// Outbound is the address to which the target sends its packets.
	Outbound string `json:"outbound" validate:"required,addrport4"`
	// Target is the address at which the target accepts packets and connections.
	Target string `json:"target" validate:"required,addrport4"`
	// Control is the address to which the target sends its heartbeats.
	Control string `json:"control" validate:"required,addrport4"`
	// Data is the platform's address for packets at this VM. The agent does not listen
	// there; clients receive packets at the same port of their own addresses.
	Data string `json:"data" validate:"required,addrport4"`
	// Metrics is the address of /metrics and /healthz; empty for none.
	Metrics string `json:"metrics,omitempty" validate:"omitempty,addrport4"`
	// Seeds are addresses of balancers to which the target is announced first; their ports are not
	// used.
	Seeds []string `json:"seeds,omitempty" validate:"max=64,dive,addrport4"`
	// Store is the address of the platform's store.
	Store string `json:"store" validate:"required,addrport4"`
	// HeartbeatEvery is the interval between the target's heartbeats.
	HeartbeatEvery settings.Duration `json:"heartbeatEvery,omitempty" validate:"gte=10000000,lte=600000000000"`
	// AddressReuse is the minimum time between the end of a target and the start of another service's at
	// its address.
	AddressReuse settings.Duration `json:"addressReuse,omitempty" validate:"gte=500000000,lte=600000000000"`
	// FlowTTL is the idle time after which a flow's record may expire.
	FlowTTL settings.Duration `json:"flowTTL,omitempty" validate:"gte=1000000000,lte=86400000000000"`
	Log     settings.Log      `json:"log"`
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{
		HeartbeatEvery: settings.Duration(1200 * time.Millisecond),
		AddressReuse:   settings.Duration(defaultAddressReuse),
		FlowTTL:        settings.Duration(60 * time.Second),
	}
}
