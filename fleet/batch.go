package fleet

import (
	"encoding/binary"

	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/flow/envelope"
)

// RelayedMessage is an announcement or a beacon exactly as its node sent it, with the
// address of that node.
type RelayedMessage struct {
	From    flow.IPv4
	Message []byte
}

// maxBatch is the length in bytes at which a batch takes no further message, so that it
// fits into a datagram.
const maxBatch = 1000

// messageHeaderLen is the length of the header of each message in a batch: the address of
// its node and the message length.
const messageHeaderLen = ipLen + 2

// AppendRelay appends a message wrapped in a request to relay it within the receiver's
// zone.
func AppendRelay(b, message []byte) []byte {
	return append(envelope.AppendPrefix(b, envelope.Relay), message...)
}

// DecodeRelay returns the message inside a relay request, and its kind.
func DecodeRelay(b []byte) (envelope.Kind, []byte, error) {
	if k, err := envelope.KindOf(b); err != nil || k != envelope.Relay {
		return 0, nil, ErrMalformed
	}
	message := b[envelope.PrefixLen:]
	kind, err := relayableKind(message)
	return kind, message, err
}

// relayableKind returns the kind of a message, or ErrMalformed unless it is an announcement
// or a beacon.
func relayableKind(message []byte) (envelope.Kind, error) {
	k, err := envelope.KindOf(message)
	if err != nil || (k != envelope.Announce && k != envelope.Beacon) {
		return 0, ErrMalformed
	}
	return k, nil
}

// AppendBatches packs messages into batches, in order, and calls send with each batch. A
// batch is built in b and is valid only until send returns.
func AppendBatches(b []byte, messages []RelayedMessage, send func([]byte)) {
	for len(messages) > 0 {
		msg := envelope.AppendPrefix(b[:0], envelope.Batch)
		for len(messages) > 0 && len(msg) < maxBatch {
			r := messages[0]
			messages = messages[1:]
			msg = binary.BigEndian.AppendUint32(msg, uint32(r.From))
			msg = binary.BigEndian.AppendUint16(msg, uint16(len(r.Message)))
			msg = append(msg, r.Message...)
		}
		send(msg)
	}
}

// DecodeBatch splits a batch into its messages. They alias b and are not decoded.
func DecodeBatch(b []byte) ([]RelayedMessage, error) {
	if k, err := envelope.KindOf(b); err != nil || k != envelope.Batch {
		return nil, ErrMalformed
	}
	var messages []RelayedMessage
	for b = b[envelope.PrefixLen:]; len(b) > 0; {
		if len(b) < messageHeaderLen {
			return nil, ErrMalformed
		}
		r := RelayedMessage{From: flow.IPv4(binary.BigEndian.Uint32(b))}
		end := messageHeaderLen + int(binary.BigEndian.Uint16(b[ipLen:]))
		if len(b) < end {
			return nil, ErrMalformed
		}
		r.Message, b = b[messageHeaderLen:end], b[end:]
		messages = append(messages, r)
	}
	return messages, nil
}

// Kind returns the kind of the message.
func (r RelayedMessage) Kind() (envelope.Kind, error) { return relayableKind(r.Message) }

// messageIDLen is the encoded length of the message ID at the start of every announcement
// and beacon.
const messageIDLen = 8 + 4

// DecodeMessageID decodes only the message ID of an announcement or a beacon.
func DecodeMessageID(message []byte) (MessageID, error) {
	if _, err := relayableKind(message); err != nil || len(message) < envelope.PrefixLen+messageIDLen {
		return MessageID{}, ErrMalformed
	}
	b := message[envelope.PrefixLen:]
	return MessageID{ProcessIncarnation: binary.BigEndian.Uint64(b), Seq: binary.BigEndian.Uint32(b[8:])}, nil
}
