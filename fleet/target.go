package fleet

import (
	"slices"
	"time"

	"github.com/poppywall/poppywall/flow"
)

// maxFormerIncarnations is how many earlier processes at an address are remembered.
const maxFormerIncarnations = 4

// replayFilter rejects duplicate and outdated messages of a node. It keeps the ID of the last
// message and the earlier process incarnations.
type replayFilter struct {
	Identity
	formerIncarnations [maxFormerIncarnations]uint64
}

// accept reports whether a message is newer than all before it, and records it if so.
// A former process is accepted again once the current one is overdue: the supposed successor
// was then a late message of a predecessor.
func (f *replayFilter) accept(id Identity, currentOverdue bool) bool {
	if id.Epoch == 0 {
		return false
	}
	if id.Epoch == f.Epoch {
		if int32(id.Seq-f.Seq) <= 0 {
			return false
		}
		f.Identity = id
		return true
	}
	if !currentOverdue && slices.Contains(f.formerIncarnations[:], id.Epoch) {
		return false
	}
	copy(f.formerIncarnations[1:], f.formerIncarnations[:maxFormerIncarnations-1])
	f.formerIncarnations[0] = f.Epoch
	f.Identity = id
	return true
}

// Target is a target as its agent last announced it.
type Target struct {
	IP flow.IPv4
	Announcement
	// HeardAt is when the last announcement of the agent was accepted.
	HeardAt time.Time
	// Sent counts the new flows sent to the target since its last announcement.
	Sent int
	// Listed is set if the last registry snapshot contains the target's agent, and the agent
	// has not announced since that its entry was removed.
	Listed bool
	// ListingAt is when the agent first announced the current state of its registry entry.
	ListingAt time.Time
	// Since is the generation of the view since which the target may hold flows.
	Since  uint32
	filter replayFilter
	probeState
}

// Quiet reports whether the target's announcements are overdue.
func (t *Target) Quiet(now time.Time) bool {
	return overdue(now, t.HeardAt, t.Period, overduePeriods)
}

// Peer is another balancer.
type Peer struct {
	IP flow.IPv4
	Beacon
	HeardAt time.Time
	filter  replayFilter
	probeState
}

// MayHold reports whether the target may hold flows and can be asked about them. A target
// that last announced that it holds none, and that is in the registry, may have started
// again while the announcement of the start was lost; its agent has the answer.
func (t *Target) MayHold(now time.Time) bool {
	return t.State != Gone || (t.Listed && t.Listing != ListingLeft && !t.Quiet(now))
}

// RegisteredSince reports whether the agent first announced after the given time that it is
// in the registry.
func (t *Target) RegisteredSince(moment time.Time) bool {
	return t.Listing == ListingThere && t.ListingAt.After(moment)
}

// MayHoldSince reports whether the target may hold flows, and became one that may after the
// given generation of the view.
func (t *Target) MayHoldSince(now time.Time, generation uint32) bool {
	return t.MayHold(now) && int32(t.Since-generation) > 0
}

// eligible reports whether other balancers may rely on this one for a shared duty, such as
// watching the store: it is not leaving and was seen recently.
func (p *Peer) eligible(now time.Time) bool {
	return !p.Leaving && !overdue(now, p.HeardAt, p.Period, eligiblePeriods)
}
