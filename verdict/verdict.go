// Package verdict describes whether a request may have been executed.
//
// Every error that crosses a module boundary on the request path carries a
// Verdict, so that NotRun is reported to a caller only when it is certain: a
// caller that receives it may rely on it, for example to repeat a request that
// must not run twice.
package verdict

import (
	"math"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"
)

// Verdict states whether a request was executed, as far as that is known.
type Verdict uint8

const (
	// Unknown means that the request may or may not have run. It is the zero
	// value, so that an error whose verdict was never set claims nothing.
	Unknown Verdict = iota
	// NotRun means that no byte of the request reached a target.
	NotRun
	// Ran means that a target answered the request.
	Ran
)

// Header names of the verdict on an HTTP response.
const (
	// HeaderVerdict contains the String form of the verdict. The agent removes
	// it from responses of targets, so that only the agent can set it.
	HeaderVerdict = "Poppywall-Verdict"
	// HeaderReason contains the machine-readable cause of a refusal.
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

// Parse returns the verdict of a wire form, or Unknown if it is not recognised.
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

// Error is the failure of a request together with its verdict.
type Error struct {
	// Verdict states whether the request may have run.
	Verdict Verdict
	// Status is the HTTP status that reports the failure.
	Status int
	// Reason is a short machine-readable cause such as "overloaded".
	Reason string
	// RetryAfter is how long the caller should wait before it retries; zero
	// means unspecified.
	RetryAfter time.Duration
	// Err is the underlying error. It may be nil.
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

// FromError returns the verdict of the *Error that err wraps, or Unknown if there is
// none.
func FromError(err error) Verdict {
	var e *Error
	if errors.As(err, &e) {
		return e.Verdict
	}
	return Unknown
}

// FromTransportError returns the verdict of a failed HTTP call: NotRun if the connection could
// not be established, otherwise Unknown, as the request may have arrived.
func FromTransportError(err error) Verdict {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return NotRun
	}
	return Unknown
}

// WriteResponse writes the failure as an HTTP response. It states when to retry, so that the
// caller need not be kept waiting.
func (e *Error) WriteResponse(w http.ResponseWriter) {
	h := w.Header()
	h.Set(HeaderVerdict, e.Verdict.String())
	h.Set(HeaderReason, e.Reason)
	if e.RetryAfter > 0 {
		seconds := int(math.Ceil(e.RetryAfter.Seconds()))
		h.Set(HeaderRetryAfter, strconv.Itoa(seconds))
	}
	w.WriteHeader(e.Status)
}
