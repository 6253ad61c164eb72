package snapshotcopy

import (
	"encoding/binary"
	"hash/fnv"
	"time"

	"github.com/go-faster/errors"

	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
)

// ErrMalformed is returned for bytes that are not a valid snapshot.
var ErrMalformed = errors.New("malformed registry snapshot")

// Layout of a snapshot, big-endian: version (1), time since the read began (4) and since it
// ended (4) in milliseconds, the store's revision (8), the checksum of the entries (8),
// their number (4), then each entry: address (4), incarnation (8). If the number is not zero
// and no entries follow, the receiver has them already.
const (
	wireVersion = 1
	headerLen   = 29
	entryLen    = 12
	// maxAgents is the maximum number of entries of a snapshot.
	maxAgents = 1 << 17
	maxLen    = headerLen + maxAgents*entryLen
	// ageUnit is the unit of an encoded age. Ages are rounded down, so that an encoded age
	// may be too low by up to one unit.
	ageUnit = time.Millisecond
	// maxAge is the maximum age of a snapshot that is shared.
	maxAge = time.Hour
)

// checksum returns the checksum of a list of entries; it depends on their order.
func checksum(agents []fleet.Entry) uint64 { return checksumOf(appendEntries(nil, agents)) }

// checksumOf is checksum for encoded entries.
func checksumOf(entries []byte) uint64 {
	h := fnv.New64a()
	// Write on a hash never returns an error.
	_, _ = h.Write(entries)
	return h.Sum64()
}

func appendEntries(b []byte, agents []fleet.Entry) []byte {
	for _, e := range agents {
		b = binary.BigEndian.AppendUint32(b, uint32(e.IP))
		b = binary.BigEndian.AppendUint64(b, e.ProcessIncarnation)
	}
	return b
}

// encode encodes a snapshot that is sent at now to a receiver whose known entries have the
// given checksum, zero for none.
func encode(now time.Time, snapshot fleet.Snapshot, knownChecksum uint64) []byte {
	entries := appendEntries(nil, snapshot.Agents)
	entriesChecksum := checksumOf(entries)
	b := append(make([]byte, 0, headerLen+len(entries)), wireVersion)
	b = binary.BigEndian.AppendUint32(b, uint32(min(now.Sub(snapshot.Earliest), maxAge).Milliseconds()))
	b = binary.BigEndian.AppendUint32(b, uint32(min(now.Sub(snapshot.Latest), maxAge).Milliseconds()))
	b = binary.BigEndian.AppendUint64(b, uint64(snapshot.Revision))
	b = binary.BigEndian.AppendUint64(b, entriesChecksum)
	b = binary.BigEndian.AppendUint32(b, uint32(len(snapshot.Agents)))
	if entriesChecksum == knownChecksum {
		return b
	}
	return append(b, entries...)
}

// decode decodes a snapshot from the times of its request and its response, which bound the
// time to which its ages relate. known are the entries that the receiver has.
func decode(requestedAt, receivedAt time.Time, b []byte, known []fleet.Entry) (fleet.Snapshot, error) {
	if len(b) < headerLen || b[0] != wireVersion {
		return fleet.Snapshot{}, ErrMalformed
	}
	startAge := time.Duration(binary.BigEndian.Uint32(b[1:])) * ageUnit
	endAge := time.Duration(binary.BigEndian.Uint32(b[5:])) * ageUnit
	want, count := binary.BigEndian.Uint64(b[17:]), int(binary.BigEndian.Uint32(b[25:]))
	s := fleet.Snapshot{Earliest: requestedAt.Add(-startAge - ageUnit), Latest: receivedAt.Add(-endAge), Revision: int64(binary.BigEndian.Uint64(b[9:]))}
	if endAge > startAge || startAge > maxAge || s.Revision < 0 {
		return fleet.Snapshot{}, ErrMalformed
	}
	if s.Agents = known; len(b) > headerLen || count == 0 {
		var err error
		if s.Agents, err = decodeEntries(b[headerLen:], count); err != nil {
			return fleet.Snapshot{}, err
		}
	}
	if len(s.Agents) != count || checksum(s.Agents) != want {
		return fleet.Snapshot{}, ErrMalformed
	}
	return s, nil
}

func decodeEntries(b []byte, count int) ([]fleet.Entry, error) {
	if count > maxAgents || len(b) != count*entryLen {
		return nil, ErrMalformed
	}
	out := make([]fleet.Entry, 0, count)
	for ; len(b) > 0; b = b[entryLen:] {
		e := fleet.Entry{IP: flow.IPv4(binary.BigEndian.Uint32(b)), ProcessIncarnation: binary.BigEndian.Uint64(b[4:])}
		if e.ProcessIncarnation == 0 {
			return nil, ErrMalformed
		}
		out = append(out, e)
	}
	return out, nil
}
