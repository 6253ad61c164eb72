package zonecast

import (
	"maps"
	"slices"
	"time"

	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
)

// Limits of the way through relays.
const (
	// Copies is how many balancers of a zone are asked to hand a message on.
	Copies = 2
	// From is the number of a zone's balancers from which on it is told through relays:
	// with fewer the direct way is as cheap or is used more often.
	From = 10
	// Active is how many balancers of a zone are relays at a time: the fewer there are, the
	// more messages share a datagram to each balancer of the zone.
	Active = 10
	// slotTime is how long these are the same ones.
	slotTime = 10 * time.Second
	// changeTime is how long it takes until all nodes have changed over.
	changeTime = time.Second
	// Period is the pause between two rounds: with what the relays add, readings are as
	// fresh as by the direct way at its longest pause.
	Period = 1800 * time.Millisecond
	// FlushPeriod is how long a relay gathers messages for the balancers of its zone,
	// AgentFlushPeriod for the agents, who need to know which balancers live.
	FlushPeriod      = 400 * time.Millisecond
	AgentFlushPeriod = 5 * time.Second
)

// Plan is how one round reaches the balancers of other zones.
type Plan struct {
	// Direct are told themselves, Relays are asked to relay the message too.
	Direct, Relays []flow.IPv4
	// Relayed are the zones that are told through relays, with the number of their
	// balancers that may be relays.
	Relayed map[flow.Tag]int
	// Period is the pause until the next round.
	Period time.Duration
}

// Slot numbers the spans of time in which the same balancers of a zone are relays to a node,
// by the time of day. Nodes change over one by one, so that relays come and go in an even
// flow of messages; one whose clock is wrong uses others, which do as well.
func Slot(now time.Time, self flow.IPv4) int64 {
	late := flow.Score(0, self) % uint64(changeTime)
	return (now.UnixNano() - int64(late)) / int64(slotTime)
}

// Make plans a round of the node self in a slot. known are the balancers of each other zone,
// recent those that were heard lately, both in order; a zone with at least from recent
// ones gets relays.
func Make(known, recent map[flow.Tag][]flow.IPv4, from int, self flow.IPv4, slot int64, round int) Plan {
	p := Plan{Relayed: map[flow.Tag]int{}}
	for _, zone := range slices.Sorted(maps.Keys(known)) {
		if count := len(recent[zone]); count >= max(from, 1) {
			p.Relayed[zone] = count
			p.Relays = append(p.Relays, relays(recent[zone], self, slot, round)...)
		} else {
			p.Direct = append(p.Direct, known[zone]...)
		}
	}
	p.Period = fleet.FarPeriod(len(p.Direct) + len(p.Relays))
	if len(p.Relays) > 0 {
		p.Period = max(p.Period, Period)
	}
	return p
}

// Changes reports the zones that are told through relays from this round on, or directly
// again, with the number of their recent balancers. former is Relayed of the round before.
func (p *Plan) Changes(former map[flow.Tag]int, recent map[flow.Tag][]flow.IPv4, report func(zone flow.Tag, balancers int, relayed bool)) {
	for zone, count := range p.Relayed {
		if _, before := former[zone]; !before {
			report(zone, count, true)
		}
	}
	for zone := range former {
		if _, still := p.Relayed[zone]; !still {
			report(zone, len(recent[zone]), false)
		}
	}
}

// relays returns the balancers whose turn it is: each slot takes the next ones, and nodes
// begin at different ones of these, so that each balancer has its share.
func relays(balancers []flow.IPv4, self flow.IPv4, slot int64, round int) []flow.IPv4 {
	var out []flow.IPv4
	count, active := uint64(len(balancers)), uint64(min(Active, len(balancers)))
	first := uint64(slot) % count * active % count
	begin := flow.Score(0, self) % active
	for i := range min(Copies, len(balancers)) {
		turn := begin + uint64(round)*Copies + uint64(i)
		out = append(out, balancers[(first+turn%active)%count])
	}
	return out
}
