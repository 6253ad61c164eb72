package load

import (
	"time"

	"github.com/go-faster/errors"
)

// Kind is what a caller does.
type Kind string

// The kinds of work.
const (
	Board     Kind = "board"     // a board stream, kept open
	Move      Kind = "move"      // a non-idempotent request
	Hold      Kind = "hold"      // a non-idempotent request
	Upload    Kind = "upload"    // a request with a long body
	Catalogue Kind = "catalogue" // an idempotent request
)

// Flow describes one sort of work offered to a service, in an open loop:
// arrivals do not wait for answers.
type Flow struct {
	Service string `json:"service" validate:"required"`
	Kind    Kind   `json:"kind" validate:"oneof=board move hold upload catalogue"`
	// PerSecond is the mean of Poisson arrivals.
	PerSecond float64 `json:"perSecond" validate:"gt=0,lte=100000"`
	// Burst is the number of arrivals at the start.
	Burst int `json:"burst,omitempty" validate:"gte=0,lte=100000"`
	// MeanSeconds is the mean of a board's exponential length.
	MeanSeconds float64 `json:"meanSeconds,omitempty" validate:"gte=0"`
	// Bytes is the size of an upload.
	Bytes int `json:"bytes,omitempty" validate:"gte=0,lte=16777216"`
	// TimeoutMillis is the caller's deadline; zero is none.
	TimeoutMillis int `json:"timeoutMillis,omitempty" validate:"gte=0"`
	// Workspace is the authority asked for; empty is the service's own.
	Workspace string `json:"member,omitempty"`
	// Connections is how many connections short requests share.
	Connections int `json:"connections,omitempty" validate:"gte=0,lte=1000"`
}

// FaultKind is something that happens to the site.
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

// Fault is one line of the timetable.
type Fault struct {
	AtSeconds float64   `json:"atSeconds" validate:"gte=0"`
	Kind      FaultKind `json:"kind" validate:"oneof=drain-target stop-agent stop-balancer add-balancer add-host kill-target freeze-target thaw-target fail-target heal-target platform-down platform-up"`
	// Index tells which balancer, host or target.
	Index int `json:"index,omitempty" validate:"gte=0"`
	// Service names the service of an added host.
	Service string `json:"service,omitempty"`
}

// Plan is the load and faults of an experiment.
type Plan struct {
	Seconds float64 `json:"seconds" validate:"gt=0,lte=3600"`
	// WarmupSeconds is left out of the imbalance over time.
	WarmupSeconds float64 `json:"warmupSeconds,omitempty" validate:"gte=0"`
	Seed          uint64  `json:"seed,omitempty"`
	Flows         []Flow  `json:"flows" validate:"required,min=1,max=64,dive"`
	Faults        []Fault `json:"faults,omitempty" validate:"max=64,dive"`
}

// Site is where a plan runs.
type Site interface {
	// NewCaller returns a caller with a connection of its own; an empty workspace
	// is the service's own authority.
	NewCaller(service, workspace string) (*Caller, error)
	// Inject carries out a fault.
	Inject(Fault) error
	// OpenStreams returns the open streams of each target of a service, per
	// slot, that is serving.
	OpenStreams(service string) map[string]float64
}

// Check finds what validation tags cannot.
func (p *Plan) Check() error {
	for i, f := range p.Flows {
		if f.Kind == Board && f.MeanSeconds == 0 {
			return errors.Errorf("field \"flows[%d].meanSeconds\": a board needs a length", i)
		}
	}
	return nil
}

func seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }
