package flow

// Score returns the rendezvous hashing score of a target for a flow's hash.
func Score(hash uint64, target IPv4) uint64 {
	x := hash ^ (uint64(target) * 0x9e3779b97f4a7c15)
	// This is the finaliser of splitmix64 (Steele et al., 2014).
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// MoveToFront moves a target, if it is among the candidates, to their front.
func MoveToFront(list []IPv4, target IPv4) []IPv4 {
	for i, item := range list {
		if item == target {
			copy(list[1:i+1], list[:i])
			list[0] = item
			break
		}
	}
	return list
}

// Ranking holds the candidates of a flow with the highest scores, best first. The zero
// value holds none; use NewRanking. Reusing a Ranking avoids allocations.
type Ranking struct {
	candidates []IPv4
	scores     []uint64
	limit      int
}

// NewRanking returns a ranking of at most limit candidates.
func NewRanking(limit int) *Ranking {
	return &Ranking{candidates: make([]IPv4, 0, limit+1), scores: make([]uint64, 0, limit+1), limit: limit}
}

// Reset removes all candidates.
func (r *Ranking) Reset() {
	r.candidates, r.scores = r.candidates[:0], r.scores[:0]
}

// Add adds a candidate if its score is among the limit highest.
func (r *Ranking) Add(score uint64, c IPv4) {
	n := len(r.candidates)
	if n == r.limit && (n == 0 || score <= r.scores[n-1]) {
		return
	}
	r.candidates = append(r.candidates, c)
	r.scores = append(r.scores, score)
	for i := n; i > 0 && r.scores[i] > r.scores[i-1]; i-- {
		r.scores[i], r.scores[i-1] = r.scores[i-1], r.scores[i]
		r.candidates[i], r.candidates[i-1] = r.candidates[i-1], r.candidates[i]
	}
	if len(r.candidates) > r.limit {
		r.candidates, r.scores = r.candidates[:r.limit], r.scores[:r.limit]
	}
}

// Candidates returns the candidates, best first; valid until the next Reset.
func (r *Ranking) Candidates() []IPv4 { return r.candidates }
