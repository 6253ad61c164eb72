package fleet

import (
	"time"

	"github.com/poppywall/poppywall/flow"
)

// Role is the kind of a node in the registry.
type Role string

// The roles.
const (
	RoleBalancer Role = "balancers"
	RoleAgent    Role = "agents"
)

// Entry is a node's entry in the registry, the store's list of nodes that may be running.
type Entry struct {
	IP flow.IPv4
	// Epoch is the incarnation of the process that wrote the entry; zero if unknown.
	Epoch uint64
	// Revision is the store revision of the entry's last change; zero if unknown.
	Revision int64
}

// Presence is the desired state of a node's registry entry.
type Presence uint8

// The presences.
const (
	// PresenceUnknown leaves the entry as it is.
	PresenceUnknown Presence = iota
	// PresenceHere requires the entry to exist.
	PresenceHere
	// PresenceEnded requires the entry to be absent, whichever process wrote it.
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

// Heard returns the number of targets that are not overdue and of eligible balancers.
func (v *View) Heard(now time.Time) int {
	count := 0
	for _, t := range v.targets {
		if !t.Quiet(now) {
			count++
		}
	}
	for _, p := range v.peers {
		if p.eligible(now) {
			count++
		}
	}
	return count
}

// Keeper reports whether the balancer self is the registry reaper, which removes dead nodes
// from the registry: the eligible balancer with the lowest address. Balancers with
// different views may both be the reaper; they then only do the same work twice.
func (v *View) Keeper(now time.Time, self flow.IPv4) bool {
	for ip, p := range v.peers {
		if ip < self && p.eligible(now) {
			return false
		}
	}
	return true
}
