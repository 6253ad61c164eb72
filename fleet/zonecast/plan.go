package zonecast

import (
	"maps"
	"slices"
	"time"

	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
)

// Parameters of relaying.
const (
	// RelayCopies is the number of a zone's balancers that are asked to relay a message.
	RelayCopies = 2
	// RelayThreshold is the minimum number of a zone's balancers for the use of relays: with fewer,
	// sending directly is as cheap or allows a shorter period.
	RelayThreshold = 10
	// ActiveRelays is the number of a zone's balancers that are relays at the same time: the fewer
	// there are, the more messages share a datagram to each balancer of the zone.
	ActiveRelays = 10
	// rotationInterval is the time for which the same balancers are relays.
	rotationInterval = 10 * time.Second
	// rotationSpread is the time over which the nodes switch to the next relays.
	rotationSpread = time.Second
	// RelayPeriod is the pause between two rounds that use relays: with the delay that the relays
	// add, load reports are as fresh as with direct messages at their longest period.
	RelayPeriod = 1800 * time.Millisecond
	// FlushPeriod is the maximum time for which a relay buffers messages for the balancers
	// of its zone, AgentFlushPeriod that for the agents, which need to know which
	// balancers are alive.
	FlushPeriod      = 400 * time.Millisecond
	AgentFlushPeriod = 5 * time.Second
)

// Plan states how the messages of one round reach the balancers of other zones.
type Plan struct {
	// Direct are the balancers that get the message for themselves, Relays those that are
	// asked to relay it as well.
	Direct, Relays []flow.IPv4
	// RelayedZones are the zones that are reached through relays, with the number of their
	// balancers that may be relays.
	RelayedZones map[flow.Tag]int
	// Period is the pause until the next round.
	Period time.Duration
}

// RotationNumber returns the number of the rotation interval, by the time of day, in which a
// node uses the same relays of a zone. Nodes switch one by one, at a phase that depends on
// self, so that the load moves to the next relays gradually. A node whose clock is wrong
// uses other relays, which work as well.
func RotationNumber(now time.Time, self flow.IPv4) int64 {
	delay := flow.Score(0, self) % uint64(rotationSpread)
	return (now.UnixNano() - int64(delay)) / int64(rotationInterval)
}

// NewPlan plans a round of the node self in a rotation interval. known are the balancers of
// each other zone, recent those of them that were seen recently, both sorted. A zone with
// at least threshold recent balancers is reached through relays.
func NewPlan(known, recent map[flow.Tag][]flow.IPv4, threshold int, self flow.IPv4, rotation int64, round int) Plan {
	p := Plan{RelayedZones: map[flow.Tag]int{}}
	for _, zone := range slices.Sorted(maps.Keys(known)) {
		if count := len(recent[zone]); count >= max(threshold, 1) {
			p.RelayedZones[zone] = count
			p.Relays = append(p.Relays, selectRelays(recent[zone], self, rotation, round)...)
		} else {
			p.Direct = append(p.Direct, known[zone]...)
		}
	}
	p.Period = fleet.CrossZonePeriod(len(p.Direct) + len(p.Relays))
	if len(p.Relays) > 0 {
		p.Period = max(p.Period, RelayPeriod)
	}
	return p
}

// ReportChanges calls report for each zone that is reached through relays from this round
// on, or directly again, with the number of its recent balancers. previous is RelayedZones
// of the previous round.
func (p *Plan) ReportChanges(previous map[flow.Tag]int, recent map[flow.Tag][]flow.IPv4, report func(zone flow.Tag, balancers int, relayed bool)) {
	for zone, count := range p.RelayedZones {
		if _, before := previous[zone]; !before {
			report(zone, count, true)
		}
	}
	for zone := range previous {
		if _, still := p.RelayedZones[zone]; !still {
			report(zone, len(recent[zone]), false)
		}
	}
}

// selectRelays returns the relays of a round. Each rotation interval uses the next ActiveRelays
// balancers, and nodes start at different ones of these, so that the load is spread evenly.
func selectRelays(balancers []flow.IPv4, self flow.IPv4, rotation int64, round int) []flow.IPv4 {
	var out []flow.IPv4
	count, active := uint64(len(balancers)), uint64(min(ActiveRelays, len(balancers)))
	first := uint64(rotation) % count * active % count
	offset := flow.Score(0, self) % active
	for i := range min(RelayCopies, len(balancers)) {
		position := offset + uint64(round)*RelayCopies + uint64(i)
		out = append(out, balancers[(first+position%active)%count])
	}
	return out
}
