package admission

import (
	"time"

	"github.com/poppywall/poppywall/route"
)

// Class tells how a request uses a target.
type Class uint8

const (
	// Request is short work that takes part in the adaptive limit.
	Request Class = iota
	// Stream is a long answer such as a board stream; it has a limit of its
	// own and never waits.
	Stream
)

// Outcome is how a request ended at the target.
type Outcome uint8

// The outcomes.
const (
	Succeeded Outcome = iota
	// Failed is an error of the target.
	Failed
	// Shed means that the target refused for load.
	Shed
	// Cancelled means that the caller gave up; it says nothing of the target.
	Cancelled
)

// Result is an Outcome with what it says of the target's speed.
type Result struct {
	Outcome Outcome
	// Comparable tells that the time taken is the target's own: no long body
	// in either direction, whose time is the caller's.
	Comparable bool
}

// Reason is the machine-readable cause of a refusal.
type Reason string

// The reasons of a refusal.
const (
	NoTarget   Reason = "no-target"
	Overloaded Reason = "overloaded"
	Deadline   Reason = "deadline"
)

// Options are the limits of a controller.
type Options struct {
	Limit LimitOptions
	// MaxQueue bounds the waiting requests of one service.
	MaxQueue int
	// MaxWait is the longest time in the queue.
	MaxWait time.Duration
	// MaxWorkspaces bounds the workspaces told apart in one service.
	MaxWorkspaces int
	// RetryAfter is the least time that a refused caller is told to wait.
	RetryAfter time.Duration
}

// Defaults returns the options in use.
func Defaults() Options {
	return Options{
		Limit:         DefaultLimit(),
		MaxQueue:      256,
		MaxWait:       500 * time.Millisecond,
		MaxWorkspaces: 1024,
		RetryAfter:    time.Second,
	}
}

// Offer is a request that asks to run.
type Offer struct {
	Service   route.ServiceID
	Workspace string
	// Weight is the workspace's share; at least 1.
	Weight int
	Class  Class
	// Deadline is when the caller gives up; zero is never.
	Deadline time.Time
}

// Ticket names a request inside a controller.
type Ticket uint64

// Verb tells what to do with an offer.
type Verb uint8

const (
	// Refuse answers at once; nothing ran.
	Refuse Verb = iota
	// Run hands the request to Target.
	Run
	// Wait keeps the ticket until a Decision for it comes.
	Wait
)

// Decision is the controller's word on one ticket.
type Decision struct {
	Ticket     Ticket
	Verb       Verb
	Target     string
	Reason     Reason
	RetryAfter time.Duration
}

// TargetSpec describes what a target may bear.
type TargetSpec struct {
	Slots int
	// Requests and Streams are the limits of the whole target.
	Requests, Streams int
	// Ready is false while the target drains or is ejected: it gets nothing
	// new, what runs goes on.
	Ready bool
}
