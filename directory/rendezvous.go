package directory

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// rendezvousWeight returns the rendezvous hash of an item and a candidate. It
// depends on the pair alone, so when a candidate fails only its own items move.
func rendezvousWeight(item uint64, candidate *Entry) uint64 {
	var b [14]byte
	binary.BigEndian.PutUint64(b[:], item)
	ip := candidate.Data.Addr().As4()
	copy(b[8:], ip[:])
	binary.BigEndian.PutUint16(b[12:], candidate.Data.Port())
	return xxhash.Sum64(b[:])
}

// topK keeps the k entries with the highest scores, best first. It sorts by
// insertion, as k is small.
type topK struct {
	k       int
	entries []*Entry
	scores  []uint64
}

func newTopK(k int) *topK {
	return &topK{k: k, entries: make([]*Entry, 0, k+1), scores: make([]uint64, 0, k+1)}
}

// insert adds an entry if its score is among the k highest.
func (t *topK) insert(score uint64, e *Entry) {
	if len(t.scores) == t.k && (t.k == 0 || score <= t.scores[t.k-1]) {
		return
	}
	t.scores = append(t.scores, score)
	t.entries = append(t.entries, e)
	for i := len(t.scores) - 1; i > 0 && t.scores[i] > t.scores[i-1]; i-- {
		t.scores[i], t.scores[i-1] = t.scores[i-1], t.scores[i]
		t.entries[i], t.entries[i-1] = t.entries[i-1], t.entries[i]
	}
	n := min(len(t.scores), t.k)
	t.scores, t.entries = t.scores[:n], t.entries[:n]
}

// appendTo appends up to limit of the best entries to out.
func (t *topK) appendTo(out []Entry, limit int) []Entry {
	for _, e := range t.entries[:min(limit, len(t.entries))] {
		out = append(out, *e)
	}
	return out
}

// Rank returns the k best candidates for an item by rendezvous hashing, best
// first.
func Rank(item string, candidates []Entry, k int) []Entry {
	hash := xxhash.Sum64String(item)
	top := newTopK(k)
	for i := range candidates {
		top.insert(rendezvousWeight(hash, &candidates[i]), &candidates[i])
	}
	return top.appendTo(make([]Entry, 0, k), k)
}

// Registrars returns the k balancers that a host sends its heartbeats to: the last
// one in another zone and the others in the host's zone, as far as there are
// enough. This way a zone that is partitioned from the others still sees its own
// hosts, and the other zones see the hosts of this one.
func Registrars(host, zone string, balancers []Entry, k int) []Entry {
	hash := xxhash.Sum64String(host)
	sameZone, crossZone := newTopK(k), newTopK(k)
	for i := range balancers {
		side := crossZone
		if balancers[i].Zone == zone {
			side = sameZone
		}
		side.insert(rendezvousWeight(hash, &balancers[i]), &balancers[i])
	}
	sameZoneCount := k
	if k > 1 && len(crossZone.entries) > 0 {
		sameZoneCount = k - 1
	}
	out := sameZone.appendTo(make([]Entry, 0, k), sameZoneCount)
	return crossZone.appendTo(out, k-len(out))
}
