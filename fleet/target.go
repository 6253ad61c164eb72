package fleet

import (
	"slices"
	"time"

	"github.com/poppywall/poppywall/flow"
)

// maxFormerIncarnations is how many earlier processes at an address are recorded.
const maxFormerIncarnations = 4

// replayFilter rejects duplicate and outdated messages of a node. It keeps the ID of the last
// message and the earlier process incarnations.
type replayFilter struct {
	MessageID
	formerIncarnations [maxFormerIncarnations]uint64
}

// accept reports whether a message is newer than all before it, and records it if so. A former
// process is accepted again once the current one is overdue: the message that replaced it was
// then a late one of an even earlier process.
func (f *replayFilter) accept(id MessageID, currentOverdue bool) bool {
	if id.ProcessIncarnation == 0 {
		return false
	}
	if id.ProcessIncarnation == f.ProcessIncarnation {
		if int32(id.Seq-f.Seq) <= 0 {
			return false
		}
		f.MessageID = id
		return true
	}
	if !currentOverdue && slices.Contains(f.formerIncarnations[:], id.ProcessIncarnation) {
		return false
	}
	copy(f.formerIncarnations[1:], f.formerIncarnations[:maxFormerIncarnations-1])
	f.formerIncarnations[0] = f.ProcessIncarnation
	f.MessageID = id
	return true
}

// Target is a target as its agent last announced it. Its ProcessIncarnation is that of the
// agent's process, TargetIncarnation that of the target itself.
type Target struct {
	IP flow.IPv4
	Announcement
	// LastSeen is when the last announcement of the agent was accepted.
	LastSeen time.Time
	// FlowsSent counts the new flows sent to the target since its last announcement.
	FlowsSent int
	// Unanswered is set once a search probe that visited the target has not returned, until its
	// agent answers a probe or announces the target.
	Unanswered bool
	// Registered is set if the last registry snapshot contains the target's agent, and the agent
	// has not announced since that its entry was removed.
	Registered bool
	// RegistrationChangedAt is when the agent first announced the current state of its registry
	// entry.
	RegistrationChangedAt time.Time
	// MayHoldFlowsFrom is the generation of the view since which the target may hold flows.
	MayHoldFlowsFrom uint32
	filter           replayFilter
	probeState
}

// Overdue reports whether the target's announcements are overdue.
func (t *Target) Overdue(now time.Time) bool {
	return overdue(now, t.LastSeen, t.Period, overduePeriods)
}

// Peer is another balancer.
type Peer struct {
	IP flow.IPv4
	Beacon
	LastSeen time.Time
	filter   replayFilter
	probeState
}

// MayHoldFlows reports whether a search for an open flow includes the target. It includes every
// target that is not Gone, also an overdue one. A Gone target that is in the registry may have
// started again while the announcement of the start was lost: it is included if its agent
// can be asked, because it is not overdue and has not abandoned the entry.
func (t *Target) MayHoldFlows(now time.Time) bool {
	return t.State != Gone || (t.Registered && t.Registration != RegistrationAbandoned && !t.Overdue(now))
}

// RegisteredAfter reports whether the agent is registered and first announced that after the given
// time.
func (t *Target) RegisteredAfter(moment time.Time) bool {
	return t.Registration == RegistrationPresent && t.RegistrationChangedAt.After(moment)
}

// MayHoldFlowsSince reports whether the target may hold flows, and became one that may after the
// given generation of the view.
func (t *Target) MayHoldFlowsSince(now time.Time, generation uint32) bool {
	return t.MayHoldFlows(now) && int32(t.MayHoldFlowsFrom-generation) > 0
}

// eligible reports whether other balancers may rely on this one for a shared duty, such as
// watching the store: it is not leaving and was seen recently.
func (p *Peer) eligible(now time.Time) bool {
	return !p.Leaving && !overdue(now, p.LastSeen, p.Period, eligiblePeriods)
}
