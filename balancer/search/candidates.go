package search

import (
	"cmp"
	"slices"
	"time"

	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
)

// rankedCandidate is a target that may hold a flow. A lower class is likelier to hold it, and
// within a class a higher score.
type rankedCandidate struct {
	class  searchClass
	score  uint64
	target flow.IPv4
}

// searchClass ranks targets by how likely they hold a flow.
type searchClass uint8

// Classes, the likeliest first.
const (
	// classSameZone and classCrossZone serve the service that the route selects for new flows.
	classSameZone searchClass = iota
	classCrossZone
	// classOtherService serves another service.
	classOtherService
	// classOverdue is overdue, whatever its service and zone.
	classOverdue
)

// candidates returns every target that may hold a flow, the likeliest first. Targets of the service
// that new flows go to lead: the highest ranked of the local zone and then of other zones, among
// which a balancer of this zone chooses for a new flow, then the rest of the local zone and of
// other zones. Targets of other services follow, because a change of the route leaves open flows
// where they are; overdue targets are last. Targets that have denied the flow are left out.
func (f *Finder) candidates(now time.Time, key flow.Key, route *flow.Route, denied denials) []flow.IPv4 {
	f.ranked, f.candidateBuf = f.ranked[:0], f.candidateBuf[:0]
	hash := key.Hash()
	picked := route.Pick(hash).ID
	for _, id := range f.view.Services() {
		for _, t := range f.view.TargetsOf(id) {
			if !t.MayHoldFlows(now) || denied.includes(now, t) {
				continue
			}
			f.ranked = append(f.ranked, rankedCandidate{f.classOf(now, t, picked), flow.Score(hash, t.IP), t.IP})
		}
	}
	slices.SortFunc(f.ranked, func(a, b rankedCandidate) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(b.score, a.score), cmp.Compare(a.target, b.target))
	})
	firstOther := slices.IndexFunc(f.ranked, func(c rankedCandidate) bool { return c.class != classSameZone })
	if firstOther < 0 {
		firstOther = len(f.ranked)
	}
	sameZone, others := f.ranked[:firstOther], f.ranked[firstOther:]
	sameZoneFirst := min(len(sameZone), f.opts.FirstTargets)
	crossZoneFirst := 0
	for crossZoneFirst < min(len(others), f.opts.FirstTargets) && others[crossZoneFirst].class == classCrossZone {
		crossZoneFirst++
	}
	for _, list := range [...][]rankedCandidate{sameZone[:sameZoneFirst], others[:crossZoneFirst], sameZone[sameZoneFirst:], others[crossZoneFirst:]} {
		for _, c := range list {
			f.candidateBuf = append(f.candidateBuf, c.target)
		}
	}
	return f.candidateBuf
}

func (f *Finder) classOf(now time.Time, t *fleet.Target, picked flow.ServiceID) searchClass {
	switch {
	case t.Overdue(now):
		return classOverdue
	case t.Service != picked:
		return classOtherService
	case t.Zone == f.opts.Zone:
		return classSameZone
	default:
		return classCrossZone
	}
}
