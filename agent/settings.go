// Package agent assembles the process that runs on each target VM: it ends
// QUIC for the services that local targets serve, admits requests, hands them
// to targets, drains, and announces the host.
package agent

import (
	"net/netip"
	"time"

	"github.com/poppywall/poppywall/settings"
)

// Settings are an agent's settings file.
type Settings struct {
	// Host is the name of the host in labels, drains and status.
	Host string `json:"host" validate:"required,hostname_rfc1123"`
	// Zone is the availability zone.
	Zone string `json:"zone" validate:"required,max=63"`
	// Data is the address that balancers forward datagrams to.
	Data string `json:"data" validate:"required,addrport4"`
	// Announce is the loopback address at which targets announce themselves.
	Announce string `json:"announce" validate:"required,addrport4"`
	// Metrics is the address of /metrics and /healthz.
	Metrics string `json:"metrics" validate:"required,addrport4"`
	// Balancers are control addresses to find the registrars by.
	Balancers []string `json:"balancers" validate:"required,min=1,max=64,dive,addrport4"`
	// Platform is the base URL of the platform's key-value service, asked for
	// balancers when none of Balancers answers; empty never asks.
	Platform string `json:"platform,omitempty" validate:"omitempty,url"`
	// Secrets is the cluster secret list; the first one signs.
	Secrets []settings.Secret `json:"secrets" validate:"required,min=1,max=8,dive"`
	// Certificates are the TLS key pairs by service.
	Certificates []Certificate `json:"certificates" validate:"required,min=1,max=64,dive"`
	// Heartbeat is the period of announcements until a registrar states one.
	Heartbeat settings.Duration `json:"heartbeat,omitempty" validate:"gte=20000000,lte=60000000000"`
	// TargetTTL is how long a target counts without a heartbeat of its own.
	TargetTTL settings.Duration `json:"targetTTL,omitempty" validate:"gte=100000000,lte=60000000000"`
	// DrainLimit bounds how long open work of a leaving host may run on.
	DrainLimit settings.Duration `json:"drainLimit,omitempty" validate:"gte=0"`
	// MaxConnections bounds the QUIC connections of each service.
	MaxConnections int          `json:"maxConnections,omitempty" validate:"gte=1,lte=65535"`
	Log            settings.Log `json:"log"`
}

// Certificate names the TLS key pair of one service; an empty Service is for
// all others.
type Certificate struct {
	Service string `json:"service,omitempty"`
	Cert    string `json:"cert" validate:"required"`
	Key     string `json:"key" validate:"required"`
}

// Defaults returns the settings that a file may leave out.
func Defaults() Settings {
	return Settings{
		Heartbeat:      settings.Duration(time.Second),
		TargetTTL:      settings.Duration(3 * time.Second),
		DrainLimit:     settings.Duration(12 * time.Hour),
		MaxConnections: 8000,
	}
}

func (s *Settings) dataAddr() netip.AddrPort { return netip.MustParseAddrPort(s.Data) }
