// Package transfer makes HTTP requests and writes HTTP responses under stall
// timeouts instead of a timeout for the whole transfer. A timeout for the whole
// limits the size of a response by the bandwidth of the link: a larger response
// never arrives, however often it is requested, and the retries fill the link.
package transfer

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

// Causes of an Error.
var (
	// ErrStalled reports that the peer sent nothing, or too little, within a timeout.
	ErrStalled = errors.New("no progress")
	// ErrTooLarge reports that the response body exceeds the limit.
	ErrTooLarge = errors.New("answer too large")
)

// minProgress is how many bytes of a body must arrive within each stall timeout,
// except at its end. It is high enough that a trickle cannot hold a request open for
// minutes (18 KB/s at a timeout of 0.9 s), and low enough for a 10 Mbit/s link that
// 60 requests share.
const minProgress = 16 << 10

// Limits are the limits of one request.
type Limits struct {
	// HeaderTimeout limits the time until the response header is received: it covers
	// connecting, sending the request and the server's processing.
	HeaderTimeout time.Duration
	// StallTimeout limits the time in which the next minProgress bytes of the body, or
	// its end, must arrive.
	StallTimeout time.Duration
	// MaxBody limits the size of the body, in bytes.
	MaxBody int64
}

// Response is a complete response of any status.
type Response struct {
	Status int
	Body   []byte
	// TransferTime is the time from the header to the end of the body.
	TransferTime time.Duration
}

// Error is the failure of a request without a complete response.
type Error struct {
	// HeaderReceived reports whether the response header was received.
	HeaderReceived bool
	// BodyBytes is how many bytes of the body were received.
	BodyBytes int
	Err       error
}

// Error implements error.
func (e *Error) Error() string {
	if !e.HeaderReceived {
		return "no answer: " + e.Err.Error()
	}
	return "answer broken off: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Do sends a request and reads the whole response. Every error is an *Error.
func Do(client *http.Client, req *http.Request, l Limits) (Response, error) {
	ctx, cancel := context.WithCancelCause(req.Context())
	defer cancel(nil)
	stallTimer := time.AfterFunc(l.HeaderTimeout, func() { cancel(ErrStalled) })
	defer stallTimer.Stop()
	resp, err := client.Do(req.WithContext(ctx))
	if err != nil {
		return Response{}, &Error{Err: withStallCause(ctx, err)}
	}
	defer func() { _ = resp.Body.Close() }()
	bodyStart := time.Now()
	stallTimer.Reset(l.StallTimeout)
	body, err := readBody(resp, l, func() { stallTimer.Reset(l.StallTimeout) })
	if err != nil {
		return Response{}, &Error{HeaderReceived: true, BodyBytes: len(body), Err: withStallCause(ctx, err)}
	}
	return Response{Status: resp.StatusCode, Body: body, TransferTime: time.Since(bodyStart)}, nil
}

// withStallCause adds ErrStalled to err when a stall canceled ctx, since err then only
// reports the cancellation. err stays wrapped for its details of the connection.
func withStallCause(ctx context.Context, err error) error {
	if errors.Is(context.Cause(ctx), ErrStalled) && !errors.Is(err, ErrStalled) {
		return fmt.Errorf("%w: %w", ErrStalled, err)
	}
	return err
}

// readBody reads the body and calls onProgress after every minProgress bytes or more.
// With an error it returns the bytes received so far.
func readBody(resp *http.Response, l Limits, onProgress func()) ([]byte, error) {
	if resp.ContentLength > l.MaxBody {
		return nil, ErrTooLarge
	}
	body := make([]byte, 0, max(resp.ContentLength+1, 512))
	lastProgress := 0
	for {
		if len(body) == cap(body) {
			body = append(body, 0)[:len(body)]
		}
		n, err := resp.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > l.MaxBody:
			return body, ErrTooLarge
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return body, err
		}
		if len(body)-lastProgress >= minProgress {
			lastProgress = len(body)
			onProgress()
		}
	}
}

// Write writes a response body in chunks of minProgress bytes, each of which must be
// written within stallTimeout. The deadline replaces the server's WriteTimeout.
func Write(w http.ResponseWriter, body []byte, stallTimeout time.Duration) error {
	control := http.NewResponseController(w)
	for len(body) > 0 {
		if err := control.SetWriteDeadline(time.Now().Add(stallTimeout)); err != nil {
			return err
		}
		n, err := w.Write(body[:min(len(body), minProgress)])
		if err != nil {
			return err
		}
		body = body[n:]
	}
	return nil
}
