// Package verdict answers one question about a request: may it have run?
//
// Every error that crosses a module boundary on the request path carries a
// Verdict, so that a caller is told "not run" only when that is certain
// (brief: "When a counter is told a hold was not run, it was not run").
package verdict

import (
	"math"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"
)

// Verdict states what is known about the execution of a request.
type Verdict uint8

const (
	// Unknown means the request may or may not have run. It is the zero value:
	// forgetting to decide never claims more than is known.
	Unknown Verdict = iota
	// NotRun means no byte of the request reached a target.
	NotRun
	// Ran means a target has answered the request.
	Ran
)

// Header names of the verdict on an HTTP response.
const (
	// HeaderVerdict carries the verdict's String form. The agent removes it
	// from targets' answers, so that only the agent can state it.
	HeaderVerdict = "Poppywall-Verdict"
	// HeaderReason carries the machine-readable cause of a refusal.
	HeaderReason = "Poppywall-Reason"
	// HeaderRetryAfter is Retry-After in whole seconds (RFC 9110 section 10.2.3).
	HeaderRetryAfter = "Retry-After"
)

// String returns the wire form of the verdict.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not-run"
	case Ran:
		return "ran"
	default:
		return "unknown"
	}
}

// Parse reads the wire form; anything unrecognised is Unknown.
func Parse(s string) Verdict {
	switch s {
	case "not-run":
		return NotRun
	case "ran":
		return Ran
	default:
		return Unknown
	}
}

// Error is a failed request together with its verdict.
type Error struct {
	// Verdict tells whether the request may have run.
	Verdict Verdict
	// Status is the HTTP status that reports the failure.
	Status int
	// Reason is a short machine-readable cause such as "overloaded".
	Reason string
	// RetryAfter tells when to come back; zero means not stated.
	RetryAfter time.Duration
	// Err is the underlying error, may be nil.
	Err error
}

// Error implements error.
func (e *Error) Error() string {
	msg := e.Reason + " (" + e.Verdict.String() + ")"
	if e.Err == nil {
		return msg
	}
	return msg + ": " + e.Err.Error()
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// Of returns the verdict carried by err; an error without one is Unknown.
func Of(err error) Verdict {
	var e *Error
	if errors.As(err, &e) {
		return e.Verdict
	}
	return Unknown
}

// OfCall tells a call over HTTP that never left from one that may have arrived.
func OfCall(err error) Verdict {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return NotRun
	}
	return Unknown
}

// WriteTo reports the failure as an HTTP answer at once; the client is told
// when to come back instead of being held.
func (e *Error) WriteTo(w http.ResponseWriter) {
	h := w.Header()
	h.Set(HeaderVerdict, e.Verdict.String())
	h.Set(HeaderReason, e.Reason)
	if e.RetryAfter > 0 {
		seconds := int(math.Ceil(e.RetryAfter.Seconds()))
		h.Set(HeaderRetryAfter, strconv.Itoa(seconds))
	}
	w.WriteHeader(e.Status)
}
