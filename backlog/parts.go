package backlog

import (
	"math"
	"time"
)

const (
	// partWindow is the time constant of what kinds asked for and got: some seventy requests
	// of a target of two slots.
	partWindow = time.Second
	// leastAsked is how many requests, counted over partWindow, make a kind that asks.
	leastAsked = 1
)

// Parts is what kinds of requests asked of a target and got lately. While an overload stands
// a request is taken if it can meet its objective, so the kind with the longest one would be
// served first and whole; a kind that has had its part has no such advantage over the others.
// The zero value has seen nothing.
type Parts struct {
	// at is when the counts were brought up to date; they decay with partWindow.
	at    time.Time
	kinds map[uint8]*part
}

// part is one kind's.
type part struct {
	asked, taken float64
	// objective is that of its last request.
	objective time.Duration
}

// Asked notes a new request of a kind.
func (p *Parts) Asked(now time.Time, kind uint8, objective time.Duration) {
	p.advance(now)
	if p.kinds == nil {
		p.kinds = map[uint8]*part{}
	}
	k, known := p.kinds[kind]
	if !known {
		k = &part{}
		p.kinds[kind] = k
	}
	k.asked++
	k.objective = objective
}

// Taken notes that a request of a kind that has asked was taken.
func (p *Parts) Taken(now time.Time, kind uint8) {
	p.advance(now)
	if k, known := p.kinds[kind]; known {
		k.taken++
	}
}

// Objective returns the objective that a new request of a kind has to meet: its own, or, when
// its kind has had more than an equal part of what was taken, the shortest of all kinds that
// ask.
func (p *Parts) Objective(now time.Time, kind uint8, objective time.Duration) time.Duration {
	p.advance(now)
	k, known := p.kinds[kind]
	if !known {
		return objective
	}
	taken, asking, shortest := 0.0, 0, objective
	for _, other := range p.kinds {
		if other.asked < leastAsked {
			continue
		}
		taken += other.taken
		asking++
		if other.objective > 0 {
			shortest = min(shortest, other.objective)
		}
	}
	if k.taken*float64(asking) <= taken {
		return objective
	}
	return shortest
}

// advance lets the counts decay up to now.
func (p *Parts) advance(now time.Time) {
	elapsed := now.Sub(p.at)
	if elapsed <= 0 {
		return
	}
	p.at = now
	keep := math.Exp(-float64(elapsed) / float64(partWindow))
	for _, k := range p.kinds {
		k.asked *= keep
		k.taken *= keep
	}
}
