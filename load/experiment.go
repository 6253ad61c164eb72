package load

import (
	"time"

	"github.com/go-faster/errors"
)

// Kind is the type of requests that a workload sends.
type Kind string

// The request types.
const (
	Board     Kind = "board"     // a stream of server-sent events, kept open
	Move      Kind = "move"      // a non-idempotent request, answered with its own body
	Hold      Kind = "hold"      // like a move, on the path /hold
	Upload    Kind = "upload"    // a request with a long body
	Catalogue Kind = "catalogue" // an idempotent request
)

// Workload describes one type of load offered to a service. It is open-loop: arrivals
// do not wait for answers.
type Workload struct {
	Service string `json:"service" validate:"required"`
	Kind    Kind   `json:"kind" validate:"oneof=board move hold upload catalogue"`
	// PerSecond is the mean rate of Poisson arrivals.
	PerSecond float64 `json:"perSecond" validate:"gt=0,lte=100000"`
	// Burst is the number of arrivals at once at the start.
	Burst int `json:"burst,omitempty" validate:"gte=0,lte=100000"`
	// MeanSeconds is the mean of the exponentially distributed duration of a
	// board stream.
	MeanSeconds float64 `json:"meanSeconds,omitempty" validate:"gte=0"`
	// Bytes is the body size of an upload.
	Bytes int `json:"bytes,omitempty" validate:"gte=0,lte=16777216"`
	// TimeoutMillis is the timeout the caller sends with a request; zero means
	// none.
	TimeoutMillis int `json:"timeoutMillis,omitempty" validate:"gte=0"`
	// Workspace is the authority of the requests; empty means the service's own.
	Workspace string `json:"member,omitempty"`
	// Connections is the number of connections that requests share, other than
	// board streams; zero means defaultConnections.
	Connections int `json:"connections,omitempty" validate:"gte=0,lte=1000"`
}

// FaultKind is a fault or an operator action on the site.
type FaultKind string

// The kinds of faults.
const (
	DrainTarget  FaultKind = "drain-target"
	StopAgent    FaultKind = "stop-agent"
	StopBalancer FaultKind = "stop-balancer"
	AddBalancer  FaultKind = "add-balancer"
	AddHost      FaultKind = "add-host"
	KillTarget   FaultKind = "kill-target"
	FreezeTarget FaultKind = "freeze-target"
	ThawTarget   FaultKind = "thaw-target"
	FailTarget   FaultKind = "fail-target"
	HealTarget   FaultKind = "heal-target"
	PlatformDown FaultKind = "platform-down"
	PlatformUp   FaultKind = "platform-up"
)

// Fault is one scheduled fault of a plan.
type Fault struct {
	AtSeconds float64   `json:"atSeconds" validate:"gte=0"`
	Kind      FaultKind `json:"kind" validate:"oneof=drain-target stop-agent stop-balancer add-balancer add-host kill-target freeze-target thaw-target fail-target heal-target platform-down platform-up"`
	// Index selects the balancer, host or target.
	Index int `json:"index,omitempty" validate:"gte=0"`
	// Service names the service of an added host.
	Service string `json:"service,omitempty"`
}

// Plan is the load and the fault schedule of an experiment.
type Plan struct {
	Seconds float64 `json:"seconds" validate:"gt=0,lte=3600"`
	// WarmupSeconds is the initial time that Summary.Imbalance leaves out.
	WarmupSeconds float64    `json:"warmupSeconds,omitempty" validate:"gte=0"`
	Seed          uint64     `json:"seed,omitempty"`
	Workloads     []Workload `json:"flows" validate:"required,min=1,max=64,dive"`
	Faults        []Fault    `json:"faults,omitempty" validate:"max=64,dive"`
}

// Site is the environment in which a plan runs.
type Site interface {
	// NewCaller returns a caller with its own connection; an empty workspace
	// means the service's own authority.
	NewCaller(service, workspace string) (*Caller, error)
	// Inject applies a fault.
	Inject(Fault) error
	// OpenStreams returns the number of open streams per slot of each serving
	// target of a service.
	OpenStreams(service string) map[string]float64
}

// Check validates what the struct tags cannot express.
func (p *Plan) Check() error {
	for i, w := range p.Workloads {
		if w.Kind == Board && w.MeanSeconds == 0 {
			return errors.Errorf("field \"flows[%d].meanSeconds\": required for a board flow", i)
		}
	}
	return nil
}

func seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }
