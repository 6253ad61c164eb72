// Package balancer assembles a balancer process: sockets, forwarding table,
// directory, configuration and the calls between balancers.
package balancer

import (
	"net/netip"
	"time"

	"github.com/poppywall/poppywall/settings"
)

// Settings are a balancer's settings file.
type Settings struct {
	// Name is shown in logs and status.
	Name string `json:"name" validate:"required,hostname_rfc1123"`
	// Zone is the availability zone.
	Zone string `json:"zone" validate:"required,max=63"`
	// Data is the internal datagram address that agents send to.
	Data string `json:"data" validate:"required,addrport4"`
	// Control is the address for calls of agents, balancers and operators.
	Control string `json:"control" validate:"required,addrport4"`
	// Metrics is the address of /metrics and /healthz.
	Metrics string `json:"metrics" validate:"required,addrport4"`
	// Platform is the base URL of the platform's key-value service.
	Platform string `json:"platform" validate:"required,url"`
	// Seeds are control addresses of other balancers to join by.
	Seeds []string `json:"seeds,omitempty" validate:"max=64,dive,addrport4"`
	// Secrets is the cluster secret list; the first one signs.
	Secrets []settings.Secret `json:"secrets" validate:"required,min=1,max=8,dive"`
	// SprayMembers shares the service addresses between this many local
	// balancers by a random spray; zero outside of trials.
	SprayMembers int `json:"sprayMembers,omitempty" validate:"gte=0,lte=64"`
	// NewFlowsPerSecond bounds the new flows of each service; zero is no bound.
	NewFlowsPerSecond float64 `json:"newFlowsPerSecond,omitempty" validate:"gte=0"`
	// GossipEvery is the period of exchanges with a random balancer.
	GossipEvery settings.Duration `json:"gossipEvery,omitempty" validate:"gte=20000000,lte=60000000000"`
	// PullEvery is the period of a feeder's reads of the platform.
	PullEvery settings.Duration `json:"pullEvery,omitempty" validate:"gte=20000000,lte=60000000000"`
	// LeaveDelay is how long a stopping balancer forwards on while the fabric
	// takes it out.
	LeaveDelay settings.Duration `json:"leaveDelay,omitempty" validate:"gte=0,lte=600000000000"`
	Log        settings.Log      `json:"log"`
}

// Defaults returns the settings that a file may leave out.
func Defaults() Settings {
	return Settings{
		GossipEvery: settings.Duration(time.Second),
		PullEvery:   settings.Duration(time.Second),
		LeaveDelay:  settings.Duration(5 * time.Second),
	}
}

func (s *Settings) dataAddr() netip.AddrPort { return netip.MustParseAddrPort(s.Data) }
