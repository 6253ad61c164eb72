package packetfront

import (
	"slices"
	"time"

	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/flow/envelope"
)

// Limits of admission.
const (
	// queuePerSlot is how many requests may wait at the host for each slot. A
	// request behind so many waits for 1.5 times the host's work on one, which
	// leaves it within the latency objectives in use (4 to 5 times the work).
	// What a host queues beyond that is late when it runs.
	queuePerSlot = 0.5
	// maxWaiting bounds the SYNs that wait for room at the host.
	maxWaiting = 64
	// waitTTL is how long a SYN waits: its client sends the next copy after
	// 200 ms.
	waitTTL = 180 * time.Millisecond
	// openingLoad is how long a flow that was given to the host counts as load
	// although its client has sent nothing.
	openingLoad = 300 * time.Millisecond
)

// waiting holds SYNs that no host had room for. Those of the highest priority go
// first, of those first copies, of those the newest: under overload the oldest
// is late anyway, and in order of arrival all would be late (adaptive LIFO). A
// SYN that is not served in time is forgotten; its client sends copies.
type waiting struct {
	syns []waitingSyn
}

type waitingSyn struct {
	key flow.Key
	// copy counts the copies of the SYN sent before.
	copy   uint32
	env    envelope.Envelope
	packet []byte
	since  time.Time
}

// before tells whether a SYN is to be served before another one.
func (s *waitingSyn) before(other *waitingSyn) bool {
	if s.env.Priority != other.env.Priority {
		return s.env.Priority < other.env.Priority
	}
	if first, otherFirst := s.copy == 0, other.copy == 0; first != otherFirst {
		return first
	}
	return s.since.After(other.since)
}

// push adds a SYN; a copy replaces the one before. A full store loses its oldest.
func (w *waiting) push(s waitingSyn) {
	w.syns = slices.DeleteFunc(w.syns, func(o waitingSyn) bool { return o.key == s.key })
	if len(w.syns) >= maxWaiting {
		w.syns = slices.Delete(w.syns, 0, 1)
	}
	w.syns = append(w.syns, s)
}

// pop takes the SYN that is to be served next, none that has waited for too long.
func (w *waiting) pop(now time.Time) (waitingSyn, bool) {
	w.syns = slices.DeleteFunc(w.syns, func(s waitingSyn) bool { return now.Sub(s.since) > waitTTL })
	if len(w.syns) == 0 {
		return waitingSyn{}, false
	}
	best := 0
	for i := range w.syns {
		if w.syns[i].before(&w.syns[best]) {
			best = i
		}
	}
	s := w.syns[best]
	w.syns = slices.Delete(w.syns, best, best+1)
	return s, true
}

// limit is how many requests the host may have, running and queued.
func (c *Core) limit() int {
	slots := c.host.slots()
	return slots + int(queuePerSlot*float64(slots))
}

// full tells that the host has as many requests as it should have.
func (c *Core) full() bool { return c.flows.busy >= c.limit() }

// admitWaiting gives SYNs that wait to the host while there is room.
func (c *Core) admitWaiting(now time.Time) {
	for len(c.waiting.syns) > 0 && !c.full() && c.host.takesNew() && !c.leaving {
		syn, ok := c.waiting.pop(now)
		if !ok {
			return
		}
		c.env = syn.env
		c.admit(now, syn.key, syn.packet)
	}
}

// openingFlow is a flow that counts as load from its admission on.
type openingFlow struct {
	key flow.Key
	at  time.Time
}

// countOpening counts a flow that was given to the host as load: its request
// will follow.
func (c *Core) countOpening(now time.Time, key flow.Key, r *record) {
	c.flows.requested(now, r)
	c.opening = append(c.opening, openingFlow{key, now})
}

// expireOpening stops counting flows whose clients have sent nothing.
func (c *Core) expireOpening(now time.Time) {
	for len(c.opening) > 0 && now.Sub(c.opening[0].at) > openingLoad {
		first := c.opening[0]
		c.opening = c.opening[1:]
		if r := c.flows.get(first.key); r != nil && r.stage < open && r.pendingAt.Equal(first.at) {
			c.flows.answered(r)
		}
	}
	if len(c.opening) == 0 {
		c.opening = nil
	}
}
