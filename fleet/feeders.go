package fleet

import (
	"slices"
	"time"

	"github.com/poppywall/poppywall/flow"
)

// A feeder is a balancer that watches the store for configuration changes. The other
// balancers fetch new configurations from each other.
const (
	// FeedersPerZone is how many balancers of a zone watch the store, so that the number of
	// store calls grows with the zones and not with the fleet.
	FeedersPerZone = 2
	// minFeeders is how many eligible feeders a balancer must see to rely on them instead of
	// watching the store itself. Each feeder announces a new configuration to all nodes.
	minFeeders = 3
)

// RegisteredPerZone is how many balancers of a zone are in the registry. A node that knows
// no other node needs at least one of them to be alive.
const RegisteredPerZone = 4

// ZoneFeeders returns the other eligible feeders of a zone, sorted by address.
func (v *View) ZoneFeeders(now time.Time, zone flow.Tag) []flow.IPv4 {
	var out []flow.IPv4
	for _, p := range v.EligiblePeers(now, zone) {
		if p.Feeder {
			out = append(out, p.IP)
		}
	}
	slices.Sort(out)
	return out
}

// ShouldRegister reports whether the balancer self should have a registry entry: it is among the
// first RegisteredPerZone eligible balancers of its zone by address.
func (v *View) ShouldRegister(now time.Time, self flow.IPv4, zone flow.Tag) bool {
	return v.rank(now, self, zone) < RegisteredPerZone
}

// rank returns the number of eligible balancers of a zone with a lower address than self.
func (v *View) rank(now time.Time, self flow.IPv4, zone flow.Tag) int {
	before := 0
	for ip, p := range v.peers {
		if ip < self && p.Zone == zone && p.eligible(now) {
			before++
		}
	}
	return before
}

// MustFeed reports whether the balancer self should be a feeder: it is among the first
// FeedersPerZone eligible balancers of its zone by address, or it sees fewer than minFeeders
// eligible feeders in the whole fleet.
func (v *View) MustFeed(now time.Time, self flow.IPv4, zone flow.Tag) bool {
	if v.rank(now, self, zone) < FeedersPerZone {
		return true
	}
	feeding := 0
	for _, p := range v.peers {
		if p.Feeder && p.eligible(now) {
			feeding++
		}
	}
	return feeding < minFeeders
}
