package flow

import "time"

// Config is the operator's configuration, completely decoded and validated.
type Config struct {
	// Version orders configurations; it never decreases.
	Version int64
	// Routes maps each front address to the route of its flows.
	Routes map[Front]*Route
	// ColdRates are how many opening packets per second may be delivered to a cold target of
	// each service. A service without an entry has no limit.
	ColdRates map[ServiceID]float64
	// IdleTimeout is the idle time after which the state of a flow may be discarded.
	IdleTimeout time.Duration
}

// Route sends the new flows of one front address to services.
type Route struct {
	Name string
	// Services are the services with their weights; there is at least one.
	Services []WeightedService
	// Priority orders routes when not all new flows can be served; 0 is the highest.
	Priority uint8
	// Objective is the latency objective of a request; zero if none is configured.
	Objective time.Duration
	// Deadline is the time after which a client gives up on a request; zero if none is configured.
	Deadline time.Duration
}

// WeightedService is a service that a route sends new flows to, with its weight.
type WeightedService struct {
	Name   string
	ID     ServiceID
	Weight int
}

// Pick selects the service of a new flow by weight. The result depends on the flow's hash
// alone, so that all balancers select the same service, also for a retransmitted SYN.
func (r *Route) Pick(hash uint64) WeightedService {
	total := 0
	for _, b := range r.Services {
		total += b.Weight
	}
	if total <= 0 {
		return r.Services[0]
	}
	point := int((hash >> 32) % uint64(total))
	for _, b := range r.Services {
		if point < b.Weight {
			return b
		}
		point -= b.Weight
	}
	return r.Services[0]
}
