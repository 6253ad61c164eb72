package model

import (
	"slices"
	"time"
)

// OverloadResult summarizes the outcomes of requests during and after an overload.
type OverloadResult struct {
	// Capacity is the total slot time of the targets while the overload was active, from
	// reactionTime after its start on. Worked is the part of it that was spent on requests,
	// InTime the part of that which was spent on requests answered in time.
	Capacity, InTime, Worked time.Duration
	// Refusals counts the attempts that were refused with the statement that the request has not
	// run, Offers how many agents these were offered to in all.
	Refusals, Offers int
	// Zones and Classes count the requests that began in the time that Capacity covers.
	Zones, Classes []Count
	// After counts the requests that began more than a deadline after the end of the overload.
	After Count
}

// Goodput returns the share of the targets' slot time that was spent on requests answered in time.
func (p *OverloadResult) Goodput() float64 { return float64(p.InTime) / float64(max(p.Capacity, 1)) }

// MeanOffers returns the mean number of agents that a refused attempt was offered to.
func (p *OverloadResult) MeanOffers() float64 { return float64(p.Offers) / float64(max(p.Refusals, 1)) }

// Add adds the figures of another run of the same deployment.
func (p *OverloadResult) Add(o *OverloadResult) {
	p.Capacity += o.Capacity
	p.InTime += o.InTime
	p.Worked += o.Worked
	p.Refusals += o.Refusals
	p.Offers += o.Offers
	p.After.Add(o.After)
	p.Zones = addCounts(p.Zones, o.Zones)
	p.Classes = addCounts(p.Classes, o.Classes)
}

func addCounts(to, from []Count) []Count {
	for len(to) < len(from) {
		to = append(to, Count{})
	}
	for i := range from {
		to[i].Add(from[i])
	}
	return to
}

// overloadResult summarizes the run's overload, if its pattern has one.
func (r *run) overloadResult() OverloadResult {
	if r.overload.startedAt.IsZero() {
		return OverloadResult{}
	}
	from, to := r.overload.startedAt.Add(reactionTime), r.overload.startedAt.Add(overloadTime)
	out := OverloadResult{
		Refusals: r.overload.refusals, Offers: r.overload.refusedPassOns,
		Zones: make([]Count, r.deployment.Zones), Classes: make([]Count, len(r.deployment.Classes)),
	}
	service := r.deployment.Classes[0].Service
	index := slices.IndexFunc(r.deployment.Services, func(s Service) bool { return s.Name == service })
	s := &r.deployment.Services[index]
	out.Capacity = time.Duration(s.Targets*s.Slots) * to.Sub(from)
	for _, q := range r.requests {
		if q.class.Service != service {
			continue
		}
		if !q.endedAt.Before(from) && q.endedAt.Before(to) {
			out.Worked += q.work
			if q.outcome == InTime {
				out.InTime += q.work
			}
		}
		switch {
		case !q.startedAt.Before(from) && q.startedAt.Before(to):
			out.Zones[q.zone].add(q)
			out.Classes[r.classIndex(q.class)].add(q)
		case q.startedAt.After(to.Add(q.class.Deadline.D())):
			out.After.add(q)
		}
	}
	return out
}

func (r *run) classIndex(c *Class) int {
	for i := range r.deployment.Classes {
		if &r.deployment.Classes[i] == c {
			return i
		}
	}
	return -1
}
