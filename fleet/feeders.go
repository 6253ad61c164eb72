package fleet

import (
	"slices"
	"time"

	"github.com/poppywall/poppywall/flow"
)

// Sizes of the feeding of configurations.
const (
	// FeedersPerZone is how many balancers of a zone watch the store, so that
	// its calls grow with the zones and not with the fleet.
	FeedersPerZone = 2
	// enoughFeeders is how many balancers that feed have to be heard for another
	// one to rely on them. Each tells a new configuration to all.
	enoughFeeders = 3
)

// RegisteredPerZone is how many balancers of a zone the registry names: a node that knows
// no other one needs one that lives.
const RegisteredPerZone = 4

// ZoneFeeders returns the other balancers of a zone that watch the store, in order.
func (v *View) ZoneFeeders(now time.Time, zone flow.Tag) []flow.IPv4 {
	var out []flow.IPv4
	for _, p := range v.ZonePeers(now, zone) {
		if p.Feeding {
			out = append(out, p.IP)
		}
	}
	slices.Sort(out)
	return out
}

// Registers tells whether the registry has to name the balancer self: it is one of the
// first of its zone by address of those heard lately.
func (v *View) Registers(now time.Time, self flow.IPv4, zone flow.Tag) bool {
	return v.rank(now, self, zone) < RegisteredPerZone
}

// rank returns how many balancers of a zone that others may rely on come before self by
// address.
func (v *View) rank(now time.Time, self flow.IPv4, zone flow.Tag) int {
	before := 0
	for ip, p := range v.peers {
		if ip < self && p.Zone == zone && p.onDuty(now) {
			before++
		}
	}
	return before
}

// Feeds tells whether the balancer self has to watch the store: it is one of the
// first of its zone by address, or too few that feed were heard lately.
func (v *View) Feeds(now time.Time, self flow.IPv4, zone flow.Tag) bool {
	if v.rank(now, self, zone) < FeedersPerZone {
		return true
	}
	feeding := 0
	for _, p := range v.peers {
		if p.Feeding && p.onDuty(now) {
			feeding++
		}
	}
	return feeding < enoughFeeders
}
