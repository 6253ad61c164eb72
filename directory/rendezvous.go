package directory

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// score is the rendezvous weight of a candidate for an item. It depends on the
// pair alone, so that a death moves only the items of the dead one.
func score(item uint64, candidate *Entry) uint64 {
	var b [14]byte
	binary.BigEndian.PutUint64(b[:], item)
	ip := candidate.Data.Addr().As4()
	copy(b[8:], ip[:])
	binary.BigEndian.PutUint16(b[12:], candidate.Data.Port())
	return xxhash.Sum64(b[:])
}

// best keeps the k highest scores seen, best first. k is small.
type best struct {
	k       int
	entries []*Entry
	scores  []uint64
}

func newBest(k int) *best {
	return &best{k: k, entries: make([]*Entry, 0, k+1), scores: make([]uint64, 0, k+1)}
}

func (b *best) offer(s uint64, e *Entry) {
	if len(b.scores) == b.k && (b.k == 0 || s <= b.scores[b.k-1]) {
		return
	}
	b.scores = append(b.scores, s)
	b.entries = append(b.entries, e)
	for i := len(b.scores) - 1; i > 0 && b.scores[i] > b.scores[i-1]; i-- {
		b.scores[i], b.scores[i-1] = b.scores[i-1], b.scores[i]
		b.entries[i], b.entries[i-1] = b.entries[i-1], b.entries[i]
	}
	n := min(len(b.scores), b.k)
	b.scores, b.entries = b.scores[:n], b.entries[:n]
}

func (b *best) appendTo(out []Entry, limit int) []Entry {
	for _, e := range b.entries[:min(limit, len(b.entries))] {
		out = append(out, *e)
	}
	return out
}

// Rank returns the k best candidates for an item by rendezvous hashing, best
// first.
func Rank(item string, candidates []Entry, k int) []Entry {
	hash := xxhash.Sum64String(item)
	top := newBest(k)
	for i := range candidates {
		top.offer(score(hash, &candidates[i]), &candidates[i])
	}
	return top.appendTo(make([]Entry, 0, k), k)
}

// Registrars returns the balancers that a host announces itself to: most in
// its own zone, the last one beyond, so that a zone cut off from the others
// still hears of its hosts and the others hear of the zone.
func Registrars(host, zone string, balancers []Entry, k int) []Entry {
	hash := xxhash.Sum64String(host)
	near, far := newBest(k), newBest(k)
	for i := range balancers {
		side := far
		if balancers[i].Zone == zone {
			side = near
		}
		side.offer(score(hash, &balancers[i]), &balancers[i])
	}
	wantNear := k
	if k > 1 && len(far.entries) > 0 {
		wantNear = k - 1
	}
	out := near.appendTo(make([]Entry, 0, k), wantNear)
	return far.appendTo(out, k-len(out))
}
