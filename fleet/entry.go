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
	// ProcessIncarnation is the incarnation of the process that wrote the entry; zero if unknown.
	ProcessIncarnation uint64
	// Revision is the store revision of the entry's last change; zero if unknown.
	Revision int64
}

// EntryState is a state of a node's registry entry: the desired one, or the one that the store has
// reached.
type EntryState uint8

// The states of an entry.
const (
	// EntryUnchanged: no state is desired, or none was reached yet; the entry stays as it is.
	EntryUnchanged EntryState = iota
	// EntryPresent: the entry exists.
	EntryPresent
	// EntryAbsent: there is no entry; one is removed whichever process wrote it.
	EntryAbsent
)

// Addresses returns the addresses of entries.
func Addresses(entries []Entry) []flow.IPv4 {
	out := make([]flow.IPv4, 0, len(entries))
	for _, e := range entries {
		out = append(out, e.IP)
	}
	return out
}

// AliveCount returns the number of targets that are not overdue and of eligible balancers.
func (v *View) AliveCount(now time.Time) int {
	count := 0
	for _, t := range v.targets {
		if !t.Overdue(now) {
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

// IsReaper reports whether the balancer self is the registry reaper, which removes dead nodes
// from the registry: the eligible balancer with the lowest address. Balancers with
// different views may both be the reaper; they then only do the same work twice.
func (v *View) IsReaper(now time.Time, self flow.IPv4) bool {
	for ip, p := range v.peers {
		if ip < self && p.eligible(now) {
			return false
		}
	}
	return true
}
