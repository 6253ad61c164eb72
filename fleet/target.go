package fleet

import (
	"slices"
	"time"

	"github.com/poppywall/poppywall/flow"
)

// formerEpochs is how many earlier processes at an address are remembered.
const formerEpochs = 4

// order keeps the last message of a process and the epochs before it.
type order struct {
	Identity
	former [formerEpochs]uint64
}

// accept tells whether a message is newer than all before it. A former process
// is believed again once the present one was silent for a while: what was taken
// for its successor was a late message of its predecessor.
func (o *order) accept(id Identity, silent bool) bool {
	if id.Epoch == 0 {
		return false
	}
	if id.Epoch == o.Epoch {
		if int32(id.Seq-o.Seq) <= 0 {
			return false
		}
		o.Identity = id
		return true
	}
	if !silent && slices.Contains(o.former[:], id.Epoch) {
		return false
	}
	copy(o.former[1:], o.former[:formerEpochs-1])
	o.former[0] = o.Epoch
	o.Identity = id
	return true
}

// Target is a target as its agent announced it.
type Target struct {
	IP flow.IPv4
	Announcement
	// HeardAt is when the agent was heard last.
	HeardAt time.Time
	// Sent counts new flows sent here since the last announcement.
	Sent int
	// Listed tells that the registry named the target's agent when it was read last, and
	// that the agent has not said since that its entry is taken away.
	Listed bool
	// ListingAt is when the agent was heard first to say of its entry what it says
	// now.
	ListingAt time.Time
	// Since is the generation of the view from which on the target may hold flows.
	Since uint32
	order order
	contact
}

// Quiet tells whether the target was not heard lately.
func (h *Target) Quiet(now time.Time) bool {
	return unheard(now, h.HeardAt, h.Period, quietPeriods)
}

// Peer is another balancer.
type Peer struct {
	IP flow.IPv4
	Beacon
	HeardAt time.Time
	order   order
	contact
}

// MayHold tells whether the target may hold flows and can be asked. One that is in
// the registry and said last that it holds nothing may have started since, and the
// message that says so may be lost; its agent knows.
func (h *Target) MayHold(now time.Time) bool {
	return h.State != Gone || (h.Listed && h.Listing != ListingLeft && !h.Quiet(now))
}

// RegisteredSince tells whether the agent was heard to be in the registry only after
// a moment.
func (h *Target) RegisteredSince(t time.Time) bool {
	return h.Listing == ListingThere && h.ListingAt.After(t)
}

// MayHoldSince tells whether the target has come to be one that may hold flows after
// a generation of the view.
func (h *Target) MayHoldSince(now time.Time, generation uint32) bool {
	return h.MayHold(now) && int32(h.Since-generation) > 0
}

// onDuty tells whether the balancer was heard so lately that others may rely on it.
func (p *Peer) onDuty(now time.Time) bool {
	return !p.Leaving && !unheard(now, p.HeardAt, p.Period, dutyPeriods)
}
