package flow

// Score is the rendezvous weight of a target for a flow hash.
func Score(hash uint64, target IPv4) uint64 {
	x := hash ^ (uint64(target) * 0x9e3779b97f4a7c15)
	// The finaliser of splitmix64 (Steele et al., 2014).
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// Candidate is a place where a flow may be served.
type Candidate struct {
	Target IPv4
	// Service is the service that the sender believes the target to serve; an
	// agent refuses what is not its target's.
	Service Tag
}

// Ranking collects the best candidates of a flow, best first. The zero value
// keeps none; use NewRanking. It is reused, so that ranking allocates nothing.
type Ranking struct {
	items  []Candidate
	scores []uint64
	limit  int
}

// NewRanking returns a ranking that keeps limit candidates.
func NewRanking(limit int) *Ranking {
	return &Ranking{items: make([]Candidate, 0, limit+1), scores: make([]uint64, 0, limit+1), limit: limit}
}

// Reset empties the ranking.
func (r *Ranking) Reset() {
	r.items, r.scores = r.items[:0], r.scores[:0]
}

// Offer adds a candidate with its score.
func (r *Ranking) Offer(score uint64, c Candidate) {
	n := len(r.items)
	if n == r.limit && (n == 0 || score <= r.scores[n-1]) {
		return
	}
	r.items = append(r.items, c)
	r.scores = append(r.scores, score)
	for i := n; i > 0 && r.scores[i] > r.scores[i-1]; i-- {
		r.scores[i], r.scores[i-1] = r.scores[i-1], r.scores[i]
		r.items[i], r.items[i-1] = r.items[i-1], r.items[i]
	}
	if len(r.items) > r.limit {
		r.items, r.scores = r.items[:r.limit], r.scores[:r.limit]
	}
}

// Items returns the candidates, best first; valid until the next Reset.
func (r *Ranking) Items() []Candidate { return r.items }
