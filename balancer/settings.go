// Package balancer assembles the balancer process of the QUIC front: sockets,
// forwarding table, directory, configuration and the calls between balancers.
package balancer

import (
	"net/netip"
	"time"

	"github.com/poppywall/poppywall/settings"
)

// Settings is the content of a balancer's settings file.
type Settings struct {
	// Name identifies the balancer in logs and status.
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
	// Seeds are control addresses of balancers through which this one joins.
	Seeds []string `json:"seeds,omitempty" validate:"max=64,dive,addrport4"`
	// Secrets is the cluster secret list; the first one signs.
	Secrets []settings.Secret `json:"secrets" validate:"required,min=1,max=8,dive"`
	// SprayMembers is the number of local balancers that share the service
	// addresses, with datagrams distributed among them at random. Trials use it
	// in place of the network fabric; elsewhere it is zero.
	SprayMembers int `json:"sprayMembers,omitempty" validate:"gte=0,lte=64"`
	// NewFlowsPerSecond limits the rate of new flows of each service; zero means
	// no limit.
	NewFlowsPerSecond float64 `json:"newFlowsPerSecond,omitempty" validate:"gte=0"`
	// GossipInterval is the interval between exchanges with a random balancer.
	GossipInterval settings.Duration `json:"gossipEvery,omitempty" validate:"gte=20000000,lte=60000000000"`
	// PullInterval is the interval at which a feeder reads the platform.
	PullInterval settings.Duration `json:"pullEvery,omitempty" validate:"gte=20000000,lte=60000000000"`
	// LeaveDelay is how long a stopping balancer continues to forward while the
	// network fabric stops routing to it.
	LeaveDelay settings.Duration `json:"leaveDelay,omitempty" validate:"gte=0,lte=600000000000"`
	Log        settings.Log      `json:"log"`
}

// Defaults returns the defaults of optional settings.
func Defaults() Settings {
	return Settings{
		GossipInterval: settings.Duration(time.Second),
		PullInterval:   settings.Duration(time.Second),
		LeaveDelay:     settings.Duration(5 * time.Second),
	}
}

func (s *Settings) dataAddr() netip.AddrPort { return netip.MustParseAddrPort(s.Data) }
