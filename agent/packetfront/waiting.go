package packetfront

import (
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
	queuePerSlot = 1.5
	// maxWaiting bounds the SYNs that wait for room at the host.
	maxWaiting = 64
	// waitTTL is how long a SYN waits: its client sends the next copy after
	// 200 ms.
	waitTTL = 180 * time.Millisecond
	// openingLoad is how long a flow that was accepted counts as load although
	// its client has sent nothing.
	openingLoad = 300 * time.Millisecond
)

// waiting holds SYNs that no host had room for. The newest is served first: under
// overload the oldest is late anyway, and in order all would be late (adaptive
// LIFO). A SYN that is not served in time is forgotten, its client sends copies.
type waiting struct {
	syns []waitingSyn
}

type waitingSyn struct {
	key    flow.Key
	env    envelope.Envelope
	packet []byte
	since  time.Time
}

// push adds a SYN; a copy replaces the one before. A full stack loses its oldest.
func (w *waiting) push(now time.Time, key flow.Key, env *envelope.Envelope, packet []byte) {
	w.remove(key)
	if len(w.syns) >= maxWaiting {
		w.syns = append(w.syns[:0], w.syns[1:]...)
	}
	w.syns = append(w.syns, waitingSyn{key, *env, append([]byte(nil), packet...), now})
}

func (w *waiting) remove(key flow.Key) {
	for i := range w.syns {
		if w.syns[i].key == key {
			w.syns = append(w.syns[:i], w.syns[i+1:]...)
			return
		}
	}
}

// pop takes the newest SYN that has not waited for too long.
func (w *waiting) pop(now time.Time) (waitingSyn, bool) {
	n := len(w.syns)
	if n == 0 {
		return waitingSyn{}, false
	}
	newest := w.syns[n-1]
	w.syns = w.syns[:n-1]
	if now.Sub(newest.since) > waitTTL {
		// All below are older.
		w.syns = w.syns[:0]
		return waitingSyn{}, false
	}
	return newest, true
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

// openingFlow is a flow that counts as load from its acceptance on.
type openingFlow struct {
	key flow.Key
	at  time.Time
}

// countOpening counts an accepted flow as load: its request will follow.
func (c *Core) countOpening(now time.Time, key flow.Key, r *record) {
	c.flows.requested(now, r)
	c.opening = append(c.opening, openingFlow{key, now})
}

// expireOpening stops counting flows whose clients have sent nothing.
func (c *Core) expireOpening(now time.Time) {
	for len(c.opening) > 0 && now.Sub(c.opening[0].at) > openingLoad {
		first := c.opening[0]
		c.opening = c.opening[1:]
		if r := c.flows.get(first.key); r != nil && r.stage == halfOpen && r.pendingAt.Equal(first.at) {
			c.flows.answered(r)
		}
	}
	if len(c.opening) == 0 {
		c.opening = nil
	}
}
