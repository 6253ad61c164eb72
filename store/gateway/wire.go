package gateway

// The types follow the JSON mapping of etcd version 3's gRPC gateway: bytes are
// base64, 64-bit integers are strings.

// WireKV is mvccpb.KeyValue.
type WireKV struct {
	Key            []byte `json:"key"`
	Value          []byte `json:"value,omitempty"`
	CreateRevision int64  `json:"create_revision,string,omitempty"`
	ModRevision    int64  `json:"mod_revision,string,omitempty"`
	Lease          int64  `json:"lease,string,omitempty"`
}

// WireHeader is etcdserverpb.ResponseHeader.
type WireHeader struct {
	Revision int64 `json:"revision,string"`
}

// WireRange is etcdserverpb.RangeRequest.
type WireRange struct {
	Key            []byte `json:"key"`
	RangeEnd       []byte `json:"range_end,omitempty"`
	Limit          int64  `json:"limit,string,omitempty"`
	Revision       int64  `json:"revision,string,omitempty"`
	MinModRevision int64  `json:"min_mod_revision,string,omitempty"`
	Serializable   bool   `json:"serializable,omitempty"`
}

// WireRangeResponse is etcdserverpb.RangeResponse.
type WireRangeResponse struct {
	Header WireHeader `json:"header"`
	KVs    []WireKV   `json:"kvs,omitempty"`
	More   bool       `json:"more,omitempty"`
}

// Values of Result and Target in WireCompare.
const (
	WireEqual  = "EQUAL"
	WireMod    = "MOD"
	WireCreate = "CREATE"
)

// WireCompare is etcdserverpb.Compare.
type WireCompare struct {
	Key            []byte `json:"key"`
	Result         string `json:"result"`
	Target         string `json:"target"`
	ModRevision    int64  `json:"mod_revision,string,omitempty"`
	CreateRevision int64  `json:"create_revision,string,omitempty"`
}

// WirePut is etcdserverpb.PutRequest.
type WirePut struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,string,omitempty"`
}

// WireDeleteRange is etcdserverpb.DeleteRangeRequest.
type WireDeleteRange struct {
	Key []byte `json:"key"`
}

// WireOp is etcdserverpb.RequestOp.
type WireOp struct {
	Put         *WirePut         `json:"request_put,omitempty"`
	DeleteRange *WireDeleteRange `json:"request_delete_range,omitempty"`
}

// WireTxn is etcdserverpb.TxnRequest.
type WireTxn struct {
	Compare []WireCompare `json:"compare,omitempty"`
	Success []WireOp      `json:"success,omitempty"`
}

// WireTxnResponse is etcdserverpb.TxnResponse.
type WireTxnResponse struct {
	Header    WireHeader `json:"header"`
	Succeeded bool       `json:"succeeded,omitempty"`
}

// WireGrant is etcdserverpb.LeaseGrantRequest.
type WireGrant struct {
	TTL int64 `json:"TTL,string"`
}

// WireGrantResponse is etcdserverpb.LeaseGrantResponse.
type WireGrantResponse struct {
	Header WireHeader `json:"header"`
	ID     int64      `json:"ID,string"`
	TTL    int64      `json:"TTL,string"`
}

// URL paths of the gateway.
const (
	PathRange = "/v3/kv/range"
	PathTxn   = "/v3/kv/txn"
	PathGrant = "/v3/lease/grant"
)
