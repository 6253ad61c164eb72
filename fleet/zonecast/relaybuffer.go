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
func (b *RelayBuffer) Put(now time.Time, from flow.IPv4, id fleet.MessageID, message []byte) bool {
	if b.messages == nil {
		b.messages = map[flow.IPv4]bufferedMessage{}
	}
	earlier, buffered := b.messages[from]
	if !buffered && len(b.messages) >= maxBuffered {
		return false
	}
	if len(b.messages) == 0 {
		b.due = fleet.NextSendTime(now, b.FlushPeriod, b.Self)
	}
	b.messages[from] = bufferedMessage{id: id, message: append(earlier.message[:0], message...), receivedAt: now}
	return true
}

// Discard drops the node's message with the given ID, which another relay has sent.
// It reports whether the message was buffered.
func (b *RelayBuffer) Discard(from flow.IPv4, id fleet.MessageID) bool {
	m, buffered := b.messages[from]
	if !buffered || m.id != id {
		return false
	}
	delete(b.messages, from)
	return true
}

// Due reports whether there are messages to relay now.
func (b *RelayBuffer) Due(now time.Time) bool { return len(b.messages) > 0 && !now.Before(b.due) }

// Take removes and returns the messages to relay now, ordered by node. It drops and counts stale
// ones: a process that was frozen must not relay messages of nodes that may since be gone.
func (b *RelayBuffer) Take(now time.Time) (messages []fleet.RelayedMessage, stale int) {
	if !b.Due(now) {
		return nil, 0
	}
	for _, ip := range slices.Sorted(maps.Keys(b.messages)) {
		if m := b.messages[ip]; now.Sub(m.receivedAt) > 2*b.FlushPeriod {
			stale++
		} else {
			messages = append(messages, fleet.RelayedMessage{From: ip, Message: m.message})
		}
	}
	clear(b.messages)
	return messages, stale
}
