package packetfront

import (
	"time"

	"github.com/poppywall/poppywall/settings"
)

// Settings are the settings of a balancer's packet front, as read from its settings file.
type Settings struct {
	// Name is shown in logs.
	Name string `json:"name" validate:"required,hostname_rfc1123"`
	// Zone is the availability zone.
	Zone string `json:"zone" validate:"required,max=63"`
	// Data is the address at which clients' packets arrive.
	Data string `json:"data" validate:"required,addrport4"`
	// Internal is the address for datagrams and calls between nodes; its port is
	// the same on all nodes.
	Internal string `json:"internal" validate:"required,addrport4"`
	// Ready is the address of the routers' readiness check.
	Ready string `json:"ready" validate:"required,addrport4"`
	// Metrics is the address of /metrics and /healthz; empty for none.
	Metrics string `json:"metrics,omitempty" validate:"omitempty,addrport4"`
	// Seeds are addresses of balancers through which to join; their ports are not used.
	Seeds []string `json:"seeds,omitempty" validate:"max=64,dive,addrport4"`
	// Store is the address of the platform's store.
	Store string `json:"store" validate:"required,addrport4"`
	// OtherZoneCost is the cost of crossing zones, in service times of the typical target: a
	// target in another zone is preferred if its expected delay is shorter by more than that.
	OtherZoneCost float64 `json:"otherZoneCost,omitempty" validate:"gte=0,lte=100"`
	// OtherZonePrice is the same cost as a fixed time, independent of the service times; zero
	// means that OtherZoneCost applies.
	OtherZonePrice settings.Duration `json:"otherZonePrice,omitempty" validate:"gte=0,lte=60000000000"`
	// LinkMbps is the bandwidth of the VM's link in Mbit/s; zero if it is not known. A
	// balancer whose link is full leaves the rotation while others with larger links can
	// carry the traffic.
	LinkMbps float64 `json:"linkMbps,omitempty" validate:"gte=0,lte=1000000"`
	// LeaveDelay is how long a stopping balancer keeps forwarding while the routers take it
	// out of rotation.
	LeaveDelay settings.Duration `json:"leaveDelay,omitempty" validate:"gte=0,lte=600000000000"`
	// CatchUpWithin is the maximum time until a balancer follows the configuration again
	// after its connections to the store went silent.
	CatchUpWithin settings.Duration `json:"catchUpWithin,omitempty" validate:"gte=0,lte=3600000000000"`
	Log           settings.Log      `json:"log"`
}

// Defaults returns the default settings. The routers take a balancer out after two failed
// readiness checks, at two checks a second; a third of a second of LeaveDelay is for the packets
// in flight.
func Defaults() Settings {
	return Settings{
		OtherZoneCost: 1,
		LeaveDelay:    settings.Duration(1700 * time.Millisecond),
		CatchUpWithin: settings.Duration(4 * time.Second),
	}
}
