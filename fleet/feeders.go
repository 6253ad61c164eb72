package fleet

import (
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

// Feeds tells whether the balancer self has to watch the store: it is one of the
// first of its zone by address, or too few that feed were heard lately.
func (v *View) Feeds(now time.Time, self flow.IPv4, zone flow.Tag) bool {
	before, feeding := 0, 0
	for ip, p := range v.peers {
		if !p.onDuty(now) {
			continue
		}
		if p.Zone == zone && ip < self {
			before++
		}
		if p.Feeding {
			feeding++
		}
	}
	return before < FeedersPerZone || feeding < enoughFeeders
}
