package packetfront

import (
	"slices"
	"time"

	"github.com/poppywall/poppywall/fleet"
)

// Parameters of the judgement of heartbeats.
const (
	// formerHosts is how many earlier hosts at this address are remembered.
	formerHosts = 8
	// aliveBeats is how many heartbeat periods a host may be silent and still
	// count as alive when another ID reports.
	aliveBeats = 1.5
	// firstCalls is how many calls a host may have made by the time its first
	// heartbeat gets through, beside one for each leastCallGap since its start.
	firstCalls = 4
	// leastCallGap is the least mean pause between the calls of a host: a fifth
	// of the second after which one that gets no answer repeats its call.
	leastCallGap = 200 * time.Millisecond
)

// lifetimes tells the heartbeats of the present host from those of an earlier
// one at the same address: one that was held up on its way may arrive after its
// sender has ended and another host has reported. Each start of a host has an ID
// of its own, but IDs have no order, so the order is inferred:
//
//   - An ID that reported before the present one is not believed.
//   - A new ID while the present host is alive must belong to a process that
//     started after the present host's last heartbeat. If it claims more calls
//     than such a process can have made, it is not believed.
//   - An ID that is not believed, but reports twice in rising order while the
//     present host is silent, is the present host after all.
type lifetimes struct {
	former []string
	// claimant is the last ID that was not believed, claim its sequence.
	claimant string
	claim    uint64
}

// retire remembers the ID of a host that was replaced.
func (l *lifetimes) retire(id string) {
	if id == "" {
		return
	}
	l.former = slices.DeleteFunc(l.former, func(f string) bool { return f == id })
	if len(l.former) == formerHosts {
		l.former = slices.Delete(l.former, 0, 1)
	}
	l.former = append(l.former, id)
}

// insists tells whether an ID that is not believed has reported twice in a row.
func (l *lifetimes) insists(b fleet.Heartbeat) bool {
	again := l.claimant == b.HostID && b.Sequence > l.claim
	l.claimant, l.claim = b.HostID, b.Sequence
	return again
}

// believes tells whether a heartbeat is the present host's own, or that of
// another host that took its place.
func (h *host) believes(now time.Time, b fleet.Heartbeat, period time.Duration) bool {
	if b.HostID == h.id {
		if b.Sequence <= h.sequence {
			return false
		}
		h.lifetimes.claimant = ""
		return true
	}
	if slices.Contains(h.lifetimes.former, b.HostID) || (h.alive(now, period) && !h.succeeds(now, b)) {
		return h.lifetimes.insists(b)
	}
	return true
}

// alive tells whether the present host reported lately and has not ended since.
func (h *host) alive(now time.Time, period time.Duration) bool {
	return h.id != "" && h.up && !h.sawEnd && h.left.IsZero() && now.Sub(h.beatAt) <= time.Duration(aliveBeats*float64(period))
}

// succeeds tells whether the sender of a heartbeat may have started after the
// present host's last one.
func (h *host) succeeds(now time.Time, b fleet.Heartbeat) bool {
	return b.Sequence <= firstCalls+uint64(now.Sub(h.beatAt)/leastCallGap)
}
