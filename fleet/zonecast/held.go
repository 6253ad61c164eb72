package zonecast

import (
	"maps"
	"slices"
	"time"

	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
)

// maxBuffered is the maximum number of buffered messages: 0.4 MB.
const maxBuffered = 4096

// RelayBuffer buffers the messages that a relay has to send on, one per node. The zero value is
// empty. It is not safe for concurrent use.
type RelayBuffer struct {
	// FlushPeriod is the maximum time for which messages are buffered. Self is the address of the
	// relay; it sets the phase at which the buffer is flushed, so that relays do not all
	// send at once.
	FlushPeriod time.Duration
	Self        flow.IPv4

	messages map[flow.IPv4]bufferedMessage
	due      time.Time
}

type bufferedMessage struct {
	id         fleet.MessageID
	message    []byte
	receivedAt time.Time
}

// Put buffers a copy of a node's message, which replaces an earlier one of the node. It
// returns false if the buffer is full.
func (h *RelayBuffer) Put(now time.Time, from flow.IPv4, id fleet.MessageID, message []byte) bool {
	if h.messages == nil {
		h.messages = map[flow.IPv4]bufferedMessage{}
	}
	earlier, buffered := h.messages[from]
	if !buffered && len(h.messages) >= maxBuffered {
		return false
	}
	if len(h.messages) == 0 {
		h.due = fleet.NextSendTime(now, h.FlushPeriod, h.Self)
	}
	h.messages[from] = bufferedMessage{id: id, message: append(earlier.message[:0], message...), receivedAt: now}
	return true
}

// Discard drops the node's message with the given identity, which another relay has sent.
// It reports whether the message was buffered.
func (h *RelayBuffer) Discard(from flow.IPv4, id fleet.MessageID) bool {
	m, buffered := h.messages[from]
	if !buffered || m.id != id {
		return false
	}
	delete(h.messages, from)
	return true
}

// Due reports whether there are messages to be relayed now.
func (h *RelayBuffer) Due(now time.Time) bool { return len(h.messages) > 0 && !now.Before(h.due) }

// Take removes and returns the messages that are to be relayed now, ordered by node. It
// drops and counts stale ones: a process that was frozen must not relay messages of nodes
// that may be gone by now.
func (h *RelayBuffer) Take(now time.Time) (messages []fleet.RelayedMessage, stale int) {
	if !h.Due(now) {
		return nil, 0
	}
	for _, ip := range slices.Sorted(maps.Keys(h.messages)) {
		if m := h.messages[ip]; now.Sub(m.receivedAt) > 2*h.FlushPeriod {
			stale++
		} else {
			messages = append(messages, fleet.RelayedMessage{From: ip, Message: m.message})
		}
	}
	clear(h.messages)
	return messages, stale
}
