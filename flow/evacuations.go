package flow

import "slices"

// Limits of evacuations. All of them fit into one message: 1 KB.
const (
	// MaxZoneName is the maximum length of an availability zone's name in bytes; the nodes'
	// settings have the same limit.
	MaxZoneName = 63
	// MaxEvacuated is the maximum number of zones that are evacuated at the same time.
	MaxEvacuated = 16
)

// Evacuations is the set of availability zones whose targets get no new flows, as stored
// by the operator at a revision. It is always the complete set, so that the one with the
// higher revision applies, whichever node it was received from. The zero value is the
// state of a node that has not received any. Copies may share memory: the slices are
// replaced, never modified.
type Evacuations struct {
	// Revision is the store's revision at the read or the last change that the set is from.
	Revision int64
	// zones are sorted by name; tags are the zones' tags, in the same order.
	zones []string
	tags  []Tag
}

// NewEvacuations returns the evacuations of a revision, and the names that it rejects:
// empty or too long ones, and those beyond MaxEvacuated.
func NewEvacuations(revision int64, zones []string) (Evacuations, []string) {
	sorted := slices.Compact(slices.Sorted(slices.Values(zones)))
	var accepted, rejected []string
	for _, zone := range sorted {
		if zone == "" || len(zone) > MaxZoneName || len(accepted) == MaxEvacuated {
			rejected = append(rejected, zone)
			continue
		}
		accepted = append(accepted, zone)
	}
	e := Evacuations{Revision: revision, zones: accepted}
	for _, zone := range accepted {
		e.tags = append(e.tags, TagOf(zone))
	}
	return e, rejected
}

// Zones returns the names of the zones in order; the caller must not modify the slice.
func (e Evacuations) Zones() []string { return e.zones }

// Has reports whether a zone is evacuated. Cost: one comparison per evacuated zone.
func (e Evacuations) Has(zone Tag) bool { return slices.Contains(e.tags, zone) }

// Newer reports whether e has a higher revision than other and so replaces it.
func (e Evacuations) Newer(other Evacuations) bool { return e.Revision > other.Revision }

// ReplaceIfNewer replaces e by next if next is newer. It reports whether next is newer, and
// whether the set of evacuated zones has changed.
func (e *Evacuations) ReplaceIfNewer(next Evacuations) (newer, changed bool) {
	if !next.Newer(*e) {
		return false, false
	}
	changed = !next.SameZones(*e)
	*e = next
	return true, changed
}

// SameZones reports whether e and other evacuate the same zones, whatever their revisions.
func (e Evacuations) SameZones(other Evacuations) bool { return slices.Equal(e.zones, other.zones) }
