package fleet

import (
	"time"

	"github.com/poppywall/poppywall/flow"
)

// Role tells the kinds of nodes apart in the registry.
type Role string

// The roles.
const (
	RoleBalancer Role = "balancers"
	RoleAgent    Role = "agents"
)

// Entry is a node in the registry: the store's list of who may be there.
type Entry struct {
	IP flow.IPv4
	// Epoch is that of the process that wrote the entry; zero when it is not
	// known.
	Epoch uint64
	// Revision is the store's, of the entry's last change; zero when it is not
	// known.
	Revision int64
}

// Presence is what the registry is to show of a node.
type Presence uint8

// The presences.
const (
	// PresenceUnknown: what the registry shows stays as it is.
	PresenceUnknown Presence = iota
	// PresenceHere: the entry is to be there.
	PresenceHere
	// PresenceEnded: it is not, whichever process wrote it.
	PresenceEnded
)

// Addresses returns the addresses of entries.
func Addresses(entries []Entry) []flow.IPv4 {
	out := make([]flow.IPv4, 0, len(entries))
	for _, e := range entries {
		out = append(out, e.IP)
	}
	return out
}

// Heard counts the nodes that were heard lately.
func (v *View) Heard(now time.Time) int {
	count := 0
	for _, h := range v.targets {
		if !h.Quiet(now) {
			count++
		}
	}
	for _, p := range v.peers {
		if p.onDuty(now) {
			count++
		}
	}
	return count
}

// Keeper tells whether the balancer self has to take dead nodes out of the
// registry: of those heard lately it is the first by address. Two that differ on
// that do the same work twice.
func (v *View) Keeper(now time.Time, self flow.IPv4) bool {
	for ip, p := range v.peers {
		if ip < self && p.onDuty(now) {
			return false
		}
	}
	return true
}
