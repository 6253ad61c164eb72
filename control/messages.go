package control

import (
	"net/netip"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/poppywall/poppywall/catalog"
	"github.com/poppywall/poppywall/directory"
	"github.com/poppywall/poppywall/route"
)

// Methods that balancers serve.
const (
	MethodHeartbeat = "heartbeat"
	MethodExchange  = "exchange"
	MethodPush      = "push"
	MethodDigest    = "digest"
	MethodEntries   = "entries"
	MethodSync      = "sync"
	MethodStatus    = "status"
)

// RegistrarsPerHost is the number of balancers that a host sends heartbeats to.
const RegistrarsPerHost = 3

// Limits of messages; a longer list is rejected.
const (
	// MaxEntriesPerCall limits the entries in one repair call.
	MaxEntriesPerCall = 512
	// MaxBranchesPerCall limits the branches in one digest comparison.
	MaxBranchesPerCall = 32
)

// HeartbeatRequest is an agent's periodic heartbeat to a registrar.
type HeartbeatRequest struct {
	// Data is the host's data address, the key of its directory entry.
	Data        netip.AddrPort        `json:"d"`
	Incarnation directory.Incarnation `json:"i"`
	Sequence    uint32                `json:"q"`
	// Entry is the agent's directory entry, sent until this registrar has
	// acknowledged its Sequence.
	Entry *directory.Entry `json:"e,omitempty"`
	// Host names the host whose configuration records the agent needs;
	// Revision is the configuration revision that the agent has.
	Host     string           `json:"h"`
	Revision catalog.Revision `json:"r"`
	// PeriodMillis is the time until the agent's next heartbeat.
	PeriodMillis int64 `json:"p"`
	// Zone is the agent's availability zone.
	Zone string `json:"z"`
	// Registrars is the RegistrarHash of the registrar list that the agent has.
	Registrars uint64 `json:"g,omitempty"`
	// Final reports that the agent sends its next heartbeats to other
	// registrars.
	Final bool `json:"f,omitempty"`
}

// HeartbeatReply is the reply to a HeartbeatRequest.
type HeartbeatReply struct {
	directory.HeartbeatReply
	Update *catalog.Update `json:"u,omitempty"`
	// Registrars is the new registrar list, sent when it differs from the
	// requester's.
	Registrars []directory.Entry `json:"g,omitempty"`
}

// ExchangeRequest starts one gossip round between two balancers.
type ExchangeRequest struct {
	GossipUpdates []directory.Entry `json:"e,omitempty"`
	// Root is the digest of the sender's whole directory.
	Root     uint64           `json:"x"`
	Revision catalog.Revision `json:"r"`
}

// ExchangeReply is the reply to an ExchangeRequest.
type ExchangeReply struct {
	GossipUpdates []directory.Entry `json:"e,omitempty"`
	// Root is the digest of the replier's whole directory.
	Root     uint64           `json:"x"`
	Revision catalog.Revision `json:"r"`
	// AcceptedIndexes lists the requester's gossip updates that were new to the
	// replier, by index.
	AcceptedIndexes []int `json:"n,omitempty"`
	// Update holds the configuration changes that the requester lacks.
	Update *catalog.Update `json:"u,omitempty"`
}

// PushRequest sends a peer the configuration changes that it lacks.
type PushRequest struct {
	Update catalog.Update `json:"u"`
}

// PushReply carries the peer's configuration revision after the push.
type PushReply struct {
	Revision catalog.Revision `json:"r"`
}

// DigestRequest carries branch sums of the directory for comparison.
type DigestRequest struct {
	Branches directory.Sums `json:"b"`
}

// DigestReply lists branches that differ, with the sums of their leaves in the
// same order.
type DigestReply struct {
	Branches []int          `json:"of"`
	Leaves   directory.Sums `json:"l"`
}

// EntriesRequest exchanges the entries of differing leaves.
type EntriesRequest struct {
	Leaves  []int             `json:"l"`
	Entries []directory.Entry `json:"e"`
}

// EntriesReply carries the peer's entries of those leaves.
type EntriesReply struct {
	Entries []directory.Entry `json:"e"`
}

// SyncRequest asks for the next page of configuration.
type SyncRequest struct {
	Revision catalog.Revision `json:"r"`
}

// SyncReply is one page of configuration; Update is nil when there is nothing newer.
type SyncReply struct {
	Update *catalog.Update `json:"u,omitempty"`
}

// RegistrarHash returns a hash of a list of registrars, in any order. Peers
// compare it so that an unchanged list need not be sent.
func RegistrarHash(list []directory.Entry) uint64 {
	addrs := make([]string, 0, len(list))
	for _, e := range list {
		addrs = append(addrs, e.Data.String())
	}
	slices.Sort(addrs)
	return xxhash.Sum64String(strings.Join(addrs, ","))
}

// StatusRequest asks a balancer for its status.
type StatusRequest struct {
	// Entries requests all directory entries too.
	Entries bool `json:"entries"`
}

// StatusReply is a balancer's view of itself, its peers and its services.
type StatusReply struct {
	Self      directory.Entry   `json:"self"`
	Revision  catalog.Revision  `json:"revision"`
	Feeder    bool              `json:"feeder"`
	Leaving   bool              `json:"leaving"`
	Balancers []directory.Entry `json:"balancers"`
	Entries   []directory.Entry `json:"entries,omitempty"`
	Services  []ServiceStatus   `json:"services"`
}

// ServiceStatus is a service as one balancer sees it.
type ServiceStatus struct {
	Name    string          `json:"name"`
	ID      route.ServiceID `json:"id"`
	Address string          `json:"address"`
	Hosts   int             `json:"hosts"`
	Slots   int             `json:"slots"`
}
