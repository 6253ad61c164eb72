package flow

import "time"

// Config is the operator's configuration, decoded whole and valid.
type Config struct {
	// Version orders configurations; it only rises.
	Version int64
	// Routes maps each front address to where its flows go.
	Routes map[Front]*Route
	// ColdRates are how many requests a second a target of a service bears while it is
	// cold; a service that is not there states no bound.
	ColdRates map[Tag]float64
	// IdleTimeout is the age from which an idle flow may be forgotten.
	IdleTimeout time.Duration
}

// Route sends the new flows of one front address to services.
type Route struct {
	Name string
	// Backends are the services with their shares; at least one.
	Backends []Backend
	// Priority orders routes when not all new flows can be served; 0 is highest.
	Priority uint8
	// Objective is the latency objective of a request, zero when unstated.
	Objective time.Duration
	// Deadline is when a client gives a request up, zero when unstated.
	Deadline time.Duration
}

// Backend is one service of a route.
type Backend struct {
	Name   string
	Tag    Tag
	Weight int
}

// Pick chooses the backend of a new flow by weight. The flow's hash decides, so
// that every balancer and every copy of an opening packet choose alike.
func (r *Route) Pick(hash uint64) Backend {
	total := 0
	for _, b := range r.Backends {
		total += b.Weight
	}
	if total <= 0 {
		return r.Backends[0]
	}
	point := int((hash >> 32) % uint64(total))
	for _, b := range r.Backends {
		if point < b.Weight {
			return b
		}
		point -= b.Weight
	}
	return r.Backends[0]
}
