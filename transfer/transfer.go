// Package transfer makes HTTP calls and writes their answers under bounds on
// silence instead of a bound on the whole. A bound on the whole is a bound on
// the answer's size for each link: an answer that outgrows it never arrives,
// however often it is asked for, and the tries fill the link meanwhile.
package transfer

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

// Errors of a transfer, inside an Error.
var (
	// ErrSilent tells that the other end fell silent, or nearly so.
	ErrSilent = errors.New("no progress")
	// ErrTooLarge tells that the answer's body exceeds the bound.
	ErrTooLarge = errors.New("answer too large")
)

// leastPiece is how many bytes of a body have to come within a bound on silence,
// but for its last ones: enough that a trickle does not hold a call for minutes (18
// KB a second at 0.9 s), and little enough for a link of 10 Mbit/s that sixty
// calls share.
const leastPiece = 16 << 10

// Limits bound one call.
type Limits struct {
	// Begin bounds the time until the answer's header has come: the connection, the
	// request and the work of the other end.
	Begin time.Duration
	// Silence bounds the time in which no further piece of the body comes.
	Silence time.Duration
	// Most bounds the body, in bytes.
	Most int64
}

// Answer is a whole answer of any status.
type Answer struct {
	Status int
	Body   []byte
	// Took is how long the body took to come after the header.
	Took time.Duration
}

// Error is a call without a whole answer.
type Error struct {
	// Began tells that the answer's header had come.
	Began bool
	// Got is how many bytes of the body had come.
	Got int
	Err error
}

// Error implements error.
func (e *Error) Error() string {
	if !e.Began {
		return "no answer: " + e.Err.Error()
	}
	return "answer broken off: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Do makes a call and reads the whole answer. Every error is an *Error.
func Do(client *http.Client, req *http.Request, l Limits) (Answer, error) {
	ctx, cancel := context.WithCancelCause(req.Context())
	defer cancel(nil)
	silence := time.AfterFunc(l.Begin, func() { cancel(ErrSilent) })
	defer silence.Stop()
	resp, err := client.Do(req.WithContext(ctx))
	if err != nil {
		return Answer{}, &Error{Err: cause(ctx, err)}
	}
	defer func() { _ = resp.Body.Close() }()
	began := time.Now()
	silence.Reset(l.Silence)
	body, err := read(resp, l, func() { silence.Reset(l.Silence) })
	if err != nil {
		return Answer{}, &Error{Began: true, Got: len(body), Err: cause(ctx, err)}
	}
	return Answer{Status: resp.StatusCode, Body: body, Took: time.Since(began)}, nil
}

// cause returns why a call was ended, where the error only says that it was. The
// error is kept for what it tells of the connection.
func cause(ctx context.Context, err error) error {
	if errors.Is(context.Cause(ctx), ErrSilent) && !errors.Is(err, ErrSilent) {
		return fmt.Errorf("%w: %w", ErrSilent, err)
	}
	return err
}

// read reads a body and tells of each further piece. With an error it returns what
// has come.
func read(resp *http.Response, l Limits, further func()) ([]byte, error) {
	if resp.ContentLength > l.Most {
		return nil, ErrTooLarge
	}
	body := make([]byte, 0, max(resp.ContentLength+1, 512))
	told := 0
	for {
		if len(body) == cap(body) {
			body = append(body, 0)[:len(body)]
		}
		n, err := resp.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > l.Most:
			return body, ErrTooLarge
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return body, err
		}
		if len(body)-told >= leastPiece {
			told = len(body)
			further()
		}
	}
}

// Write writes an answer's body under a bound on silence: each piece has to be
// taken within it. It takes the place of the server's bound on the whole answer.
func Write(w http.ResponseWriter, body []byte, silence time.Duration) error {
	control := http.NewResponseController(w)
	for len(body) > 0 {
		if err := control.SetWriteDeadline(time.Now().Add(silence)); err != nil {
			return err
		}
		n, err := w.Write(body[:min(len(body), leastPiece)])
		if err != nil {
			return err
		}
		body = body[n:]
	}
	return nil
}
