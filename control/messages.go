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

// Methods of balancers and agents.
const (
	MethodHeartbeat = "heartbeat"
	MethodExchange  = "exchange"
	MethodPush      = "push"
	MethodDigest    = "digest"
	MethodEntries   = "entries"
	MethodSync      = "sync"
	MethodStatus    = "status"
)

// RegistrarsPerHost is how many balancers a host announces itself to.
const RegistrarsPerHost = 3

// Limits of messages; a longer list is refused.
const (
	// MaxEntriesPerCall bounds the entries of one repair.
	MaxEntriesPerCall = 512
	// MaxBranchesPerCall bounds the branches of one comparison.
	MaxBranchesPerCall = 32
)

// HeartbeatRequest is an agent's sign of life to a registrar.
type HeartbeatRequest struct {
	Data        netip.AddrPort        `json:"d"`
	Incarnation directory.Incarnation `json:"i"`
	Sequence    uint32                `json:"q"`
	// Entry is sent when it is news to this registrar.
	Entry *directory.Entry `json:"e,omitempty"`
	// Host names the host whose records the agent needs; Revision is what it
	// has.
	Host     string           `json:"h"`
	Revision catalog.Revision `json:"r"`
	// PeriodMillis is when the agent means to come again.
	PeriodMillis int64 `json:"p"`
	// Zone is the agent's availability zone.
	Zone string `json:"z"`
	// Registrars is a hash of the registrar list that the agent knows.
	Registrars uint64 `json:"g,omitempty"`
	// Final says that the agent will heartbeat elsewhere from now on.
	Final bool `json:"f,omitempty"`
}

// HeartbeatReply answers a heartbeat.
type HeartbeatReply struct {
	directory.HeartbeatReply
	Update *catalog.Update `json:"u,omitempty"`
	// Registrars is the list to use from now on, sent when it changed.
	Registrars []directory.Entry `json:"g,omitempty"`
}

// ExchangeRequest is one gossip round between two balancers.
type ExchangeRequest struct {
	Rumours  []directory.Entry `json:"e,omitempty"`
	Root     uint64            `json:"x"`
	Revision catalog.Revision  `json:"r"`
}

// ExchangeReply answers an exchange.
type ExchangeReply struct {
	Rumours  []directory.Entry `json:"e,omitempty"`
	Root     uint64            `json:"x"`
	Revision catalog.Revision  `json:"r"`
	// News lists the requester's rumours that were news here, by index.
	News []int `json:"n,omitempty"`
	// Update brings the requester up to date.
	Update *catalog.Update `json:"u,omitempty"`
}

// PushRequest gives a peer the changes that it lacks.
type PushRequest struct {
	Update catalog.Update `json:"u"`
}

// PushReply tells the revision that the peer has now.
type PushReply struct {
	Revision catalog.Revision `json:"r"`
}

// DigestRequest asks which branches differ.
type DigestRequest struct {
	Branches directory.Sums `json:"b"`
}

// DigestReply lists the branches that differ with their leaf sums.
type DigestReply struct {
	Of     []int          `json:"of"`
	Leaves directory.Sums `json:"l"`
}

// EntriesRequest trades the entries of differing leaves.
type EntriesRequest struct {
	Leaves  []int             `json:"l"`
	Entries []directory.Entry `json:"e"`
}

// EntriesReply brings the peer's entries.
type EntriesReply struct {
	Entries []directory.Entry `json:"e"`
}

// SyncRequest asks for the next page of configuration.
type SyncRequest struct {
	Revision catalog.Revision `json:"r"`
}

// SyncReply is one page; Update is nil when there is nothing newer.
type SyncReply struct {
	Update *catalog.Update `json:"u,omitempty"`
}

// RegistrarHash names a list of registrars, so that an unchanged one need not
// be sent.
func RegistrarHash(list []directory.Entry) uint64 {
	addrs := make([]string, 0, len(list))
	for _, e := range list {
		addrs = append(addrs, e.Data.String())
	}
	slices.Sort(addrs)
	return xxhash.Sum64String(strings.Join(addrs, ","))
}

// StatusRequest asks a balancer for its view.
type StatusRequest struct {
	// Entries asks for the whole directory too.
	Entries bool `json:"entries"`
}

// StatusReply is a balancer's view.
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
