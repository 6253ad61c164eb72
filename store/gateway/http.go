// Package gateway is the client of a key-value service that speaks the etcd
// version 3 JSON-over-HTTP protocol. It keeps the protocol out of the packages
// that use store.Store.
package gateway

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/poppywall/poppywall/store"
	"github.com/poppywall/poppywall/store/jsoncall"
	"github.com/poppywall/poppywall/transfer"
	"github.com/poppywall/poppywall/verdict"
)

// MaxResponseSize limits the size of one response body, in bytes.
const MaxResponseSize = 8 << 20

// Client implements store.Store over HTTP. It is safe for concurrent use.
type Client struct {
	caller jsoncall.Caller
	limits transfer.Limits
}

// NewClient returns a client of the service at base, such as
// "http://127.0.0.1:2379". A call fails when the response header does not arrive
// within timeout, or when the response body stalls for that long.
func NewClient(base string, timeout time.Duration) *Client {
	return &Client{
		caller: jsoncall.Caller{
			Base:        strings.TrimSuffix(base, "/"),
			Client:      &http.Client{Transport: http.DefaultTransport.(*http.Transport).Clone()},
			StatusError: statusError,
		},
		limits: transfer.Limits{HeaderTimeout: timeout, StallTimeout: timeout, MaxBody: MaxResponseSize},
	}
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
	_, err := c.caller.Do(ctx, jsoncall.Call{Method: http.MethodPost, Path: path, In: in, Out: out, Limits: c.limits})
	return err
}

func statusError(status int, _ []byte) error {
	err := errors.Errorf("store answered status %d", status)
	return &verdict.Error{Verdict: verdict.Unknown, Reason: "platform-status", Err: err}
}
