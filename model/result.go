package model

import (
	"time"
)

// Count counts requests by their outcome.
type Count struct {
	Total, InTime, Late, Refused, Lost int
	// CrossZone counts the requests that ran in another zone than their caller's.
	CrossZone int
}

// Add adds another count.
func (c *Count) Add(o Count) {
	c.Total += o.Total
	c.InTime += o.InTime
	c.Late += o.Late
	c.Refused += o.Refused
	c.Lost += o.Lost
	c.CrossZone += o.CrossZone
}

func (c *Count) add(q *request) {
	c.Total++
	if q.crossZone {
		c.CrossZone++
	}
	switch q.outcome {
	case InTime:
		c.InTime++
	case Late:
		c.Late++
	case Refused:
		c.Refused++
	default:
		c.Lost++
	}
}

// Share returns part as a share of all requests, 0 if there are none.
func (c *Count) Share(part int) float64 {
	if c.Total == 0 {
		return 0
	}
	return float64(part) / float64(c.Total)
}

// ClassCount is the count of one class.
type ClassCount struct {
	Name string
	Count
}

// Result is the outcome of one or more runs.
type Result struct {
	All     Count
	Classes []ClassCount
	// Windows are the counts of each window of two seconds, by when requests began.
	Windows []Count
	// DuplicateExecutions counts unsafe requests that ran more than once, which must not happen.
	DuplicateExecutions int
	// DeliveredAbandoned counts requests that were delivered to targets although the FIN of
	// the caller that abandoned them must already have reached the agent.
	DeliveredAbandoned int
	// Overload summarizes the outcomes of requests during and after an overload.
	Overload OverloadResult
	// Attempts counts the flows that callers opened or tried to open for the requests.
	Attempts int
	// Runs is the number of runs that were added up. MaxOverMean is the sum over them of the
	// busiest target's time of slots in use divided by the mean over the first service's targets.
	Runs        int
	MaxOverMean float64
}

// Add adds the result of another run of the same deployment.
func (r *Result) Add(o Result) {
	r.All.Add(o.All)
	r.DuplicateExecutions += o.DuplicateExecutions
	r.DeliveredAbandoned += o.DeliveredAbandoned
	r.Attempts += o.Attempts
	r.Runs += o.Runs
	r.MaxOverMean += o.MaxOverMean
	r.Overload.Add(&o.Overload)
	for len(r.Classes) < len(o.Classes) {
		r.Classes = append(r.Classes, ClassCount{Name: o.Classes[len(r.Classes)].Name})
	}
	for i := range o.Classes {
		r.Classes[i].Add(o.Classes[i].Count)
	}
	for len(r.Windows) < len(o.Windows) {
		r.Windows = append(r.Windows, Count{})
	}
	for i := range o.Windows {
		r.Windows[i].Add(o.Windows[i])
	}
}

// WorstWindow returns the lowest share of requests answered in time in any window.
func (r *Result) WorstWindow() float64 {
	worst := 1.0
	for i := range r.Windows {
		if w := &r.Windows[i]; w.Total > 0 {
			worst = min(worst, w.Share(w.InTime))
		}
	}
	return worst
}

// Unserved returns the share of requests that were refused or lost.
func (r *Result) Unserved() float64 { return r.All.Share(r.All.Lost + r.All.Refused) }

// busiestOverMean returns the busiest target's time of slots in use divided by the mean, over the
// first service's targets that were up when the load began.
func (r *run) busiestOverMean(loadStart time.Time) float64 {
	busiest, sum, n := time.Duration(0), time.Duration(0), 0
	for _, ip := range r.world.AgentIPs() {
		t := r.targets[r.world.Agents[ip]]
		if t == nil || t.service != &r.deployment.Services[0] || t.startedAt.After(loadStart) {
			continue
		}
		busiest, sum, n = max(busiest, t.busyTime), sum+t.busyTime, n+1
	}
	if sum == 0 {
		return 0
	}
	return float64(busiest) * float64(n) / float64(sum)
}

func (r *run) result(loadStart time.Time) Result {
	out := Result{DeliveredAbandoned: r.deliveredAbandoned, Runs: 1, MaxOverMean: r.busiestOverMean(loadStart)}
	byClass := map[*Class]int{}
	for i := range r.deployment.Classes {
		c := &r.deployment.Classes[i]
		byClass[c] = i
		out.Classes = append(out.Classes, ClassCount{Name: c.Name})
	}
	for _, q := range r.requests {
		out.All.add(q)
		out.Classes[byClass[q.class]].add(q)
		out.Attempts += q.attemptCount
		w := int(q.startedAt.Sub(loadStart) / windowLength)
		for len(out.Windows) <= w {
			out.Windows = append(out.Windows, Count{})
		}
		out.Windows[w].add(q)
		if q.class.Unsafe && q.executions > 1 {
			out.DuplicateExecutions++
		}
	}
	out.Overload = r.overloadResult()
	return out
}
