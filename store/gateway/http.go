// Package gateway is the client of a key-value service that speaks the etcd
// version 3 JSON-over-HTTP protocol. Nothing else in the project knows it.
package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/poppywall/poppywall/store"
	"github.com/poppywall/poppywall/verdict"
)

// MaxAnswer bounds the bytes read of one answer.
const MaxAnswer = 8 << 20

// Client speaks to the platform over HTTP. It is safe for concurrent use.
type Client struct {
	base   string
	client *http.Client
}

// NewClient returns a client of the service at base, such as
// "http://127.0.0.1:2379". Each call takes at most timeout.
func NewClient(base string, timeout time.Duration) *Client {
	return &Client{base: strings.TrimSuffix(base, "/"), client: &http.Client{Timeout: timeout, Transport: http.DefaultTransport.(*http.Transport).Clone()}}
}

// Range implements Store.
func (c *Client) Range(ctx context.Context, req store.RangeRequest) (store.RangeResponse, error) {
	in := WireRange{
		Key:            []byte(req.Key),
		RangeEnd:       []byte(req.End),
		Limit:          req.Limit,
		Revision:       req.Revision,
		MinModRevision: req.MinModRevision,
		Serializable:   req.Stale,
	}
	var out WireRangeResponse
	if err := c.call(ctx, PathRange, in, &out); err != nil {
		return store.RangeResponse{}, err
	}
	resp := store.RangeResponse{Revision: out.Header.Revision, More: out.More}
	for _, kv := range out.KVs {
		resp.KVs = append(resp.KVs, store.KV{
			Key: string(kv.Key), Value: kv.Value, CreateRevision: kv.CreateRevision, ModRevision: kv.ModRevision,
		})
	}
	return resp, nil
}

// Txn implements Store.
func (c *Client) Txn(ctx context.Context, txn store.Txn) (store.TxnResponse, error) {
	var in WireTxn
	for _, cmp := range txn.Compares {
		in.Compare = append(in.Compare, wireCompare(cmp))
	}
	for _, p := range txn.Puts {
		in.Success = append(in.Success, WireOp{Put: &WirePut{[]byte(p.Key), p.Value, int64(p.Lease)}})
	}
	for _, key := range txn.Removes {
		in.Success = append(in.Success, WireOp{DeleteRange: &WireDeleteRange{[]byte(key)}})
	}
	var out WireTxnResponse
	if err := c.call(ctx, PathTxn, in, &out); err != nil {
		return store.TxnResponse{}, err
	}
	return store.TxnResponse{Succeeded: out.Succeeded, Revision: out.Header.Revision}, nil
}

// Grant implements Store.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	var out WireGrantResponse
	err := c.call(ctx, PathGrant, WireGrant{TTL: int64(ttl / time.Second)}, &out)
	return store.LeaseID(out.ID), err
}

func wireCompare(c store.Compare) WireCompare {
	w := WireCompare{Key: []byte(c.Key), Result: WireEqual}
	if c.Field == store.CreateRevision {
		w.Target, w.CreateRevision = WireCreate, c.Equal
		return w
	}
	w.Target, w.ModRevision = WireMod, c.Equal
	return w
}

func (c *Client) call(ctx context.Context, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return &verdict.Error{Verdict: verdict.NotRun, Reason: "platform-encode", Err: err}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(body))
	if err != nil {
		return &verdict.Error{Verdict: verdict.NotRun, Reason: "platform-request", Err: err}
	}
	// net/http must not send a transaction twice by itself: the body cannot be
	// rewound without GetBody.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.client.Do(req)
	if err != nil {
		// What silenced this connection may have silenced the kept ones too.
		c.client.CloseIdleConnections()
		return &verdict.Error{Verdict: verdict.OfCall(err), Reason: "platform-unreachable", Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	return readAnswer(resp, out)
}

func readAnswer(resp *http.Response, out any) error {
	data, err := io.ReadAll(io.LimitReader(resp.Body, MaxAnswer))
	if err != nil {
		return &verdict.Error{Verdict: verdict.Unknown, Reason: "platform-answer-lost", Err: err}
	}
	if resp.StatusCode != http.StatusOK {
		err := errors.Errorf("platform answered %s", resp.Status)
		return &verdict.Error{Verdict: verdict.Unknown, Reason: "platform-status", Err: err}
	}
	if err := json.Unmarshal(data, out); err != nil {
		return &verdict.Error{Verdict: verdict.Unknown, Reason: "platform-answer-malformed", Err: err}
	}
	return nil
}
