package admission

import (
	"time"

	"github.com/poppywall/poppywall/route"
)

// Class is the way in which a request uses a target.
type Class uint8

const (
	// Request is a short request, subject to the adaptive limit.
	Request Class = iota
	// Stream is a request with a long answer, such as a board stream; streams have a limit of
	// their own and never wait.
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
	// Cancelled means that the caller gave up; it implies nothing about the target.
	Cancelled
)

// Result is the outcome of a request and whether its latency counts for the limit.
type Result struct {
	Outcome Outcome
	// Comparable means that the latency is the target's own: there was no long body in either
	// direction, whose transfer time depends on the caller.
	Comparable bool
}

// Reason is the machine-readable cause of a refusal.
type Reason string

// The reasons of a refusal.
const (
	// NoTarget means that the service has no ready target.
	NoTarget Reason = "no-target"
	// Overloaded means that the queue is full, that the request waited for MaxWait or, for a
	// stream, that every target is at its limit.
	Overloaded Reason = "overloaded"
	// Deadline means that the caller has given up.
	Deadline Reason = "deadline"
)

// Options are the limits of a controller.
type Options struct {
	Limit LimitOptions
	// MaxQueue is the most waiting requests of one service.
	MaxQueue int
	// MaxWait is the longest time in the queue.
	MaxWait time.Duration
	// MaxWorkspaces is the most workspaces with queues of their own in one service.
	MaxWorkspaces int
	// RetryAfter is the least time after which a refused caller is asked to retry.
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

// Offer is a request submitted for admission.
type Offer struct {
	Service   route.ServiceID
	Workspace string
	// Weight is the workspace's share; at least 1.
	Weight int
	Class  Class
	// Deadline is when the caller gives up; zero means never.
	Deadline time.Time
}

// Ticket identifies a request in a controller.
type Ticket uint64

// Action is what happens to a request.
type Action uint8

const (
	// Refuse means that the request is refused and has not run.
	Refuse Action = iota
	// Run means that the request is to be dispatched to Target.
	Run
	// Wait means that the request is queued until another Decision for its ticket.
	Wait
)

// Decision is the decision of a controller on one ticket.
type Decision struct {
	Ticket Ticket
	Action Action
	// Target is set for Run.
	Target string
	// Reason and RetryAfter are set for Refuse.
	Reason     Reason
	RetryAfter time.Duration
}

// TargetSpec describes the capacity and state of a target.
type TargetSpec struct {
	Slots int
	// Requests and Streams are the limits of the whole target.
	Requests, Streams int
	// Ready is false while the target drains or is ejected: it gets no new requests, and
	// those in progress continue.
	Ready bool
}
