// Package agent implements the process that runs on each target VM. It
// terminates QUIC for the services of the local targets, admits requests and
// sends them to targets, drains targets, and announces the host to balancers.
package agent

import (
	"net/netip"
	"time"

	"github.com/poppywall/poppywall/settings"
)

// Settings is the content of an agent's settings file.
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
	// Balancers are the control addresses of balancers to ask for registrars.
	Balancers []string `json:"balancers" validate:"required,min=1,max=64,dive,addrport4"`
	// Platform is the base URL of the platform's key-value service, from which
	// balancer addresses are read when none of Balancers answers. If it is
	// empty, they are not read.
	Platform string `json:"platform,omitempty" validate:"omitempty,url"`
	// Secrets is the list of cluster secrets; the first one signs.
	Secrets []settings.Secret `json:"secrets" validate:"required,min=1,max=8,dive"`
	// Certificates are the TLS key pairs by service.
	Certificates []Certificate `json:"certificates" validate:"required,min=1,max=64,dive"`
	// Heartbeat is the minimum period of heartbeats to registrars. A registrar can
	// request a longer one.
	Heartbeat settings.Duration `json:"heartbeat,omitempty" validate:"gte=20000000,lte=60000000000"`
	// TargetTTL is how long a target stays registered without a new announcement.
	TargetTTL settings.Duration `json:"targetTTL,omitempty" validate:"gte=100000000,lte=60000000000"`
	// DrainLimit is the maximum time for open work to continue when the host
	// leaves or a service loses its last target.
	DrainLimit settings.Duration `json:"drainLimit,omitempty" validate:"gte=0"`
	// MaxConnections is the maximum number of QUIC connections per service.
	MaxConnections int          `json:"maxConnections,omitempty" validate:"gte=1,lte=65535"`
	Log            settings.Log `json:"log"`
}

// Certificate is the paths of a service's TLS key pair. An empty Service applies
// to all services without a pair of their own.
type Certificate struct {
	Service string `json:"service,omitempty"`
	Cert    string `json:"cert" validate:"required"`
	Key     string `json:"key" validate:"required"`
}

// Defaults returns the default values of optional settings.
func Defaults() Settings {
	return Settings{
		Heartbeat:      settings.Duration(time.Second),
		TargetTTL:      settings.Duration(3 * time.Second),
		DrainLimit:     settings.Duration(12 * time.Hour),
		MaxConnections: 8000,
	}
}

func (s *Settings) dataAddr() netip.AddrPort { return netip.MustParseAddrPort(s.Data) }
