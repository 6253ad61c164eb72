// Package jsoncall makes the calls of a store's client that speaks JSON over HTTP,
// and tells of each failed one whether the store may have done it.
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
	reasonLost        = "platform-answer-lost"
	reasonMalformed   = "platform-answer-malformed"
)

// Caller makes calls at one store. It is safe for concurrent use.
type Caller struct {
	// Base begins each URL.
	Base   string
	Client *http.Client
	// Refused turns an answer other than 200 into an error.
	Refused func(status int, body []byte) error
}

// Call is one call.
type Call struct {
	Method, Path string
	// In is the body, nil for none; Out is where the answer is decoded, nil if it does
	// not matter.
	In, Out any
	Limits  transfer.Limits
}

// Do makes a call and returns how long its answer took once it had begun.
func (c *Caller) Do(ctx context.Context, call Call) (took time.Duration, err error) {
	req, err := c.request(ctx, call)
	if err != nil {
		return 0, err
	}
	answer, err := transfer.Do(c.Client, req, call.Limits)
	if err != nil {
		return 0, c.failed(err)
	}
	if answer.Status != http.StatusOK {
		return 0, c.Refused(answer.Status, answer.Body)
	}
	if call.Out == nil {
		return answer.Took, nil
	}
	if err := json.Unmarshal(answer.Body, call.Out); err != nil {
		return 0, &verdict.Error{Verdict: verdict.Unknown, Reason: reasonMalformed, Err: err}
	}
	return answer.Took, nil
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
	// net/http must not send a call twice by itself: the body cannot be rewound
	// without GetBody.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}

// failed turns a call without a whole answer into an error.
func (c *Caller) failed(err error) error {
	// What silenced this connection may have silenced the kept ones too.
	c.Client.CloseIdleConnections()
	var part *transfer.Error
	switch {
	case errors.Is(err, transfer.ErrTooLarge):
		return &verdict.Error{Verdict: verdict.Unknown, Reason: store.ReasonTooLarge, Err: err}
	case errors.As(err, &part) && part.Began:
		return &verdict.Error{Verdict: verdict.Unknown, Reason: reasonLost, Err: err}
	default:
		return &verdict.Error{Verdict: verdict.FromTransportError(err), Reason: reasonUnreachable, Err: err}
	}
}
