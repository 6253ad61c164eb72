package surveycopy

import (
	"encoding/binary"
	"hash/fnv"
	"time"

	"github.com/go-faster/errors"

	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
)

// ErrMalformed is returned for bytes that are no reading.
var ErrMalformed = errors.New("malformed reading of the registry")

// Layout of a reading, big-endian: version (1), how long ago it began (4) and ended (4),
// milliseconds, the store's revision (8), the sum of the entries (8), their number (4),
// then each entry: address (4), epoch (8). Without entries and with a number the receiver
// has them already.
const (
	wireVersion = 1
	headLen     = 29
	entryLen    = 12
	// mostAgents bounds the entries of a reading.
	mostAgents = 1 << 17
	most       = headLen + mostAgents*entryLen
	// ageUnit is what an age on the wire may lack.
	ageUnit = time.Millisecond
	// mostAge is the oldest reading that is passed on.
	mostAge = time.Hour
)

// sum tells lists of entries apart, in their order.
func sum(agents []fleet.Entry) uint64 { return sumOf(appendEntries(nil, agents)) }

// sumOf is sum for encoded entries.
func sumOf(entries []byte) uint64 {
	h := fnv.New64a()
	// A hash takes all that is written.
	_, _ = h.Write(entries)
	return h.Sum64()
}

func appendEntries(b []byte, agents []fleet.Entry) []byte {
	for _, e := range agents {
		b = binary.BigEndian.AppendUint32(b, uint32(e.IP))
		b = binary.BigEndian.AppendUint64(b, e.Epoch)
	}
	return b
}

// encode returns a reading as it is told at a moment to one that has entries of the given
// sum, zero for none.
func encode(now time.Time, s fleet.Survey, has uint64) []byte {
	entries := appendEntries(nil, s.Agents)
	own := sumOf(entries)
	b := append(make([]byte, 0, headLen+len(entries)), wireVersion)
	b = binary.BigEndian.AppendUint32(b, uint32(min(now.Sub(s.Earliest), mostAge).Milliseconds()))
	b = binary.BigEndian.AppendUint32(b, uint32(min(now.Sub(s.Latest), mostAge).Milliseconds()))
	b = binary.BigEndian.AppendUint64(b, uint64(s.Revision))
	b = binary.BigEndian.AppendUint64(b, own)
	b = binary.BigEndian.AppendUint32(b, uint32(len(s.Agents)))
	if own == has {
		return b
	}
	return append(b, entries...)
}

// decode reads what was asked for at one moment and had come at another one. known are
// entries that the receiver has.
func decode(asked, came time.Time, b []byte, known []fleet.Entry) (fleet.Survey, error) {
	if len(b) < headLen || b[0] != wireVersion {
		return fleet.Survey{}, ErrMalformed
	}
	began := time.Duration(binary.BigEndian.Uint32(b[1:])) * ageUnit
	ended := time.Duration(binary.BigEndian.Uint32(b[5:])) * ageUnit
	want, count := binary.BigEndian.Uint64(b[17:]), int(binary.BigEndian.Uint32(b[25:]))
	s := fleet.Survey{Earliest: asked.Add(-began - ageUnit), Latest: came.Add(-ended), Revision: int64(binary.BigEndian.Uint64(b[9:]))}
	if ended > began || began > mostAge || s.Revision < 0 {
		return fleet.Survey{}, ErrMalformed
	}
	if s.Agents = known; len(b) > headLen || count == 0 {
		var err error
		if s.Agents, err = decodeEntries(b[headLen:], count); err != nil {
			return fleet.Survey{}, err
		}
	}
	if len(s.Agents) != count || sum(s.Agents) != want {
		return fleet.Survey{}, ErrMalformed
	}
	return s, nil
}

func decodeEntries(b []byte, count int) ([]fleet.Entry, error) {
	if count > mostAgents || len(b) != count*entryLen {
		return nil, ErrMalformed
	}
	out := make([]fleet.Entry, 0, count)
	for ; len(b) > 0; b = b[entryLen:] {
		e := fleet.Entry{IP: flow.IPv4(binary.BigEndian.Uint32(b)), Epoch: binary.BigEndian.Uint64(b[4:])}
		if e.Epoch == 0 {
			return nil, ErrMalformed
		}
		out = append(out, e)
	}
	return out, nil
}
