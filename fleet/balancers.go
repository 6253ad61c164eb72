package fleet

import (
	"time"

	"github.com/poppywall/poppywall/flow"
)

// BalancerCountIn returns the number of other balancers known in a zone.
func (v *View) BalancerCountIn(zone flow.Tag) int {
	count := 0
	for _, p := range v.peers {
		if p.Zone == zone {
			count++
		}
	}
	return count
}

// CrossZoneBalancers returns the balancers outside the local zone, grouped by zone and sorted by
// address: all known ones, and those that are not leaving and were last seen within the
// given time.
func (v *View) CrossZoneBalancers(now time.Time, local flow.Tag, within time.Duration) (known, recent map[flow.Tag][]flow.IPv4) {
	known, recent = map[flow.Tag][]flow.IPv4{}, map[flow.Tag][]flow.IPv4{}
	for _, ip := range v.Balancers() {
		p := v.peers[ip]
		if p.Zone == local {
			continue
		}
		known[p.Zone] = append(known[p.Zone], ip)
		if !p.Leaving && now.Sub(p.LastSeen) <= within {
			recent[p.Zone] = append(recent[p.Zone], ip)
		}
	}
	return known, recent
}
