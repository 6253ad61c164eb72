package fleet

import (
	"encoding/binary"
	"math"
	"slices"

	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/flow/envelope"
)

// AppendEvacuations appends the message by which an agent passes a balancer evacuations
// that are newer than the balancer's.
func AppendEvacuations(b []byte, e flow.Evacuations) []byte {
	return appendEvacuations(envelope.AppendPrefix(b, envelope.Evacuated), e)
}

// DecodeEvacuations decodes a message written by AppendEvacuations.
func DecodeEvacuations(b []byte) (flow.Evacuations, error) {
	if k, err := envelope.KindOf(b); err != nil || k != envelope.Evacuated {
		return flow.Evacuations{}, ErrMalformed
	}
	return readEvacuations(b[envelope.PrefixLen:])
}

// evacuationsHeaderLen is the encoded length of the revision and the number of zones.
const evacuationsHeaderLen = 8 + 1

// appendEvacuations appends the revision, the number of zones, and the length-prefixed name
// of each zone.
func appendEvacuations(b []byte, e flow.Evacuations) []byte {
	b = binary.BigEndian.AppendUint64(b, uint64(e.Revision))
	b = append(b, byte(len(e.Zones())))
	for _, zone := range e.Zones() {
		b = append(b, byte(len(zone)))
		b = append(b, zone...)
	}
	return b
}

// readEvacuations decodes evacuations that fill b exactly. It rejects encodings that no
// node sends, such as zone names out of order or too many of them.
func readEvacuations(b []byte) (flow.Evacuations, error) {
	if len(b) < evacuationsHeaderLen {
		return flow.Evacuations{}, ErrMalformed
	}
	revision, count := binary.BigEndian.Uint64(b), int(b[evacuationsHeaderLen-1])
	b = b[evacuationsHeaderLen:]
	if count == 0 && len(b) == 0 && revision <= math.MaxInt64 {
		// Fast path for nearly every message: no zone is evacuated.
		return flow.Evacuations{Revision: int64(revision)}, nil
	}
	zones := make([]string, 0, min(count, flow.MaxEvacuated))
	for range count {
		if len(b) == 0 || len(b) < 1+int(b[0]) {
			return flow.Evacuations{}, ErrMalformed
		}
		zones = append(zones, string(b[1:1+int(b[0])]))
		b = b[1+int(b[0]):]
	}
	e, rejected := flow.NewEvacuations(int64(revision), zones)
	if len(b) > 0 || len(rejected) > 0 || !slices.Equal(e.Zones(), zones) || revision > math.MaxInt64 {
		return flow.Evacuations{}, ErrMalformed
	}
	return e, nil
}
