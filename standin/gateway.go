package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/poppywall/poppywall/store"
	"github.com/poppywall/poppywall/store/gateway"
)

// PathFaults is the path of an endpoint that takes a Faults document by POST.
const PathFaults = "/standin/faults"

// maxRequestBytes is the maximum size of a request body.
const maxRequestBytes = 4 << 20

// Gateway returns a handler that serves s over the platform's HTTP protocol and
// takes faults to inject at PathFaults.
func Gateway(s *Store) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+gateway.PathRange, jsonHandler(s, rangeCall))
	mux.HandleFunc("POST "+gateway.PathTxn, jsonHandler(s, txnCall))
	mux.HandleFunc("POST "+gateway.PathGrant, jsonHandler(s, grantCall))
	mux.HandleFunc("POST "+PathFaults, func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.SetFaults(f)
	})
	return mux
}

// jsonHandler returns a handler that decodes a request, delays it by the injected
// delay and encodes the response of call. A failed call is answered with 503.
func jsonHandler[Req, Resp any](s *Store, call func(context.Context, *Store, Req) (Resp, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(s.Delay())
		var req Req
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&req); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		resp, err := call(r.Context(), s, req)
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(resp)
	}
}

func rangeCall(ctx context.Context, s *Store, in gateway.WireRange) (gateway.WireRangeResponse, error) {
	resp, err := s.Range(ctx, store.RangeRequest{
		Key:            string(in.Key),
		End:            string(in.RangeEnd),
		Limit:          in.Limit,
		Revision:       in.Revision,
		MinModRevision: in.MinModRevision,
	})
	out := gateway.WireRangeResponse{Header: gateway.WireHeader{Revision: resp.Revision}, More: resp.More}
	for _, kv := range resp.KVs {
		out.KVs = append(out.KVs, gateway.WireKV{
			Key:            []byte(kv.Key),
			Value:          kv.Value,
			CreateRevision: kv.CreateRevision,
			ModRevision:    kv.ModRevision,
		})
	}
	return out, err
}

func txnCall(ctx context.Context, s *Store, in gateway.WireTxn) (gateway.WireTxnResponse, error) {
	var txn store.Txn
	for _, c := range in.Compare {
		cmp := store.Compare{Key: string(c.Key), Field: store.ModRevision, Equal: c.ModRevision}
		if c.Target == gateway.WireCreate {
			cmp.Field, cmp.Equal = store.CreateRevision, c.CreateRevision
		}
		txn.Compares = append(txn.Compares, cmp)
	}
	for _, op := range in.Success {
		if op.DeleteRange != nil {
			txn.Removes = append(txn.Removes, string(op.DeleteRange.Key))
		}
		if op.Put != nil {
			txn.Puts = append(txn.Puts, store.Put{
				Key:   string(op.Put.Key),
				Value: op.Put.Value,
				Lease: store.LeaseID(op.Put.Lease),
			})
		}
	}
	resp, err := s.Txn(ctx, txn)
	return gateway.WireTxnResponse{
		Header:    gateway.WireHeader{Revision: resp.Revision},
		Succeeded: resp.Succeeded,
	}, err
}

func grantCall(ctx context.Context, s *Store, in gateway.WireGrant) (gateway.WireGrantResponse, error) {
	id, err := s.Grant(ctx, time.Duration(in.TTL)*time.Second)
	return gateway.WireGrantResponse{ID: int64(id), TTL: in.TTL}, err
}
