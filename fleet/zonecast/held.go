package zonecast

import (
	"maps"
	"slices"
	"time"

	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
)

// maxHeld bounds the messages that wait to be relayed: 0.4 MB.
const maxHeld = 4096

// Held are messages that a relay is to send on. The zero value holds none. It is not safe
// for concurrent use.
type Held struct {
	// Pause is how long messages are gathered at the most, Self the relay, whose part of the
	// pause ends it: so relays do not all send at once.
	Pause time.Duration
	Self  flow.IPv4

	messages map[flow.IPv4]heldMessage
	due      time.Time
}

type heldMessage struct {
	id      fleet.Identity
	message []byte
	at      time.Time
}

// Put holds a node's message in the place of an earlier one, and tells whether there
// was room. The message is copied.
func (h *Held) Put(now time.Time, from flow.IPv4, id fleet.Identity, message []byte) bool {
	if h.messages == nil {
		h.messages = map[flow.IPv4]heldMessage{}
	}
	m, held := h.messages[from]
	if !held && len(h.messages) >= maxHeld {
		return false
	}
	if len(h.messages) == 0 {
		h.due = fleet.NextRound(now, h.Pause, h.Self)
	}
	h.messages[from] = heldMessage{id: id, message: append(m.message[:0], message...), at: now}
	return true
}

// Relayed notes that another relay has sent a node's message of an identity: the
// same one is not relayed again. It tells whether it was held.
func (h *Held) Relayed(from flow.IPv4, id fleet.Identity) bool {
	m, held := h.messages[from]
	if !held || m.id != id {
		return false
	}
	delete(h.messages, from)
	return true
}

// Due tells whether there are messages to be relayed now.
func (h *Held) Due(now time.Time) bool { return len(h.messages) > 0 && !now.Before(h.due) }

// Take returns the messages that are to be relayed now, ordered by their nodes, and how
// many were too old: a process that was frozen must not tell of nodes that may have
// gone meanwhile.
func (h *Held) Take(now time.Time) (messages []fleet.RelayedMessage, old int) {
	if !h.Due(now) {
		return nil, 0
	}
	for _, ip := range slices.Sorted(maps.Keys(h.messages)) {
		if m := h.messages[ip]; now.Sub(m.at) > 2*h.Pause {
			old++
		} else {
			messages = append(messages, fleet.RelayedMessage{From: ip, Message: m.message})
		}
	}
	clear(h.messages)
	return messages, old
}
