// Package jsoncall makes calls with JSON over HTTP for the clients of a store. The
// error of a failed call carries a verdict on whether the store may have executed
// it.
package jsoncall

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/poppywall/poppywall/store"
	"github.com/poppywall/poppywall/transfer"
	"github.com/poppywall/poppywall/verdict"
)

// Reasons of failed calls in a verdict.Error.
const (
	reasonEncode      = "platform-encode"
	reasonRequest     = "platform-request"
	reasonUnreachable = "platform-unreachable"
	reasonAnswerLost  = "platform-answer-lost"
	reasonMalformed   = "platform-answer-malformed"
)

// Caller makes calls to one store. It is safe for concurrent use.
type Caller struct {
	// Base is the URL that Call.Path is appended to.
	Base   string
	Client *http.Client
	// StatusError returns the error of a response with a status other than 200.
	StatusError func(status int, body []byte) error
}

// Call is one call.
type Call struct {
	Method, Path string
	// In is encoded as the request body, nil for none. The response is decoded
	// into Out, nil to ignore it.
	In, Out any
	Limits  transfer.Limits
}

// Do makes a call and returns the time from the response header to the end of the
// body.
func (c *Caller) Do(ctx context.Context, call Call) (took time.Duration, err error) {
	req, err := c.request(ctx, call)
	if err != nil {
		return 0, err
	}
	response, err := transfer.Do(c.Client, req, call.Limits)
	if err != nil {
		return 0, c.transportError(err)
	}
	if response.Status != http.StatusOK {
		return 0, c.StatusError(response.Status, response.Body)
	}
	if call.Out == nil {
		return response.TransferTime, nil
	}
	if err := json.Unmarshal(response.Body, call.Out); err != nil {
		return 0, &verdict.Error{Verdict: verdict.Unknown, Reason: reasonMalformed, Err: err}
	}
	return response.TransferTime, nil
}

func (c *Caller) request(ctx context.Context, call Call) (*http.Request, error) {
	var body io.Reader
	if call.In != nil {
		data, err := json.Marshal(call.In)
		if err != nil {
			return nil, &verdict.Error{Verdict: verdict.NotRun, Reason: reasonEncode, Err: err}
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, call.Method, c.Base+call.Path, body)
	if err != nil {
		return nil, &verdict.Error{Verdict: verdict.NotRun, Reason: reasonRequest, Err: err}
	}
	// Without GetBody net/http cannot rewind the body, so it never sends a request
	// twice on its own.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}

// transportError returns the error of a call without a complete response.
func (c *Caller) transportError(err error) error {
	// The cause of the failure may have stalled the idle connections too.
	c.Client.CloseIdleConnections()
	var transferErr *transfer.Error
	switch {
	case errors.Is(err, transfer.ErrTooLarge):
		return &verdict.Error{Verdict: verdict.Unknown, Reason: store.ReasonTooLarge, Err: err}
	case errors.As(err, &transferErr) && transferErr.HeaderReceived:
		return &verdict.Error{Verdict: verdict.Unknown, Reason: reasonAnswerLost, Err: err}
	default:
		return &verdict.Error{Verdict: verdict.FromTransportError(err), Reason: reasonUnreachable, Err: err}
	}
}
