package admission

import (
	"math"
	"slices"
	"time"
)

// overflowWorkspace stands for all workspaces past MaxWorkspaces.
const overflowWorkspace = ""

// waiter is a request in a queue.
type waiter struct {
	ticket Ticket
	offer  Offer
	since  time.Time
}

// workspace is one workspace's queue and its account of virtual time.
type workspace struct {
	queue []waiter
	// finish is the virtual time up to which the workspace has been served.
	finish float64
	// cost is the mean time in seconds that its requests hold a slot.
	cost float64
	// inProgress keeps the account while requests run.
	inProgress int
}

const (
	// initialCost is assumed of a workspace's first request, in seconds.
	initialCost = 0.01
	// costGain is the weight of a new observation in the mean cost.
	costGain = 0.2
)

// settle corrects the charge of a finished request to the time it took.
func (m *workspace) settle(held time.Duration, charged float64, weight int) {
	m.inProgress--
	took := held.Seconds()
	m.finish += (took - charged) / float64(max(weight, 1))
	m.cost += costGain * (took - m.cost)
}

// service is the queues of one service.
type service struct {
	opts       Options
	targets    []string
	workspaces map[string]*workspace
	waiting    int
	// virtual is the start tag of the request last served.
	virtual float64
}

func newService(opts Options) *service {
	return &service{opts: opts, workspaces: map[string]*workspace{}}
}

// enqueue adds a request and returns those that must give way.
func (s *service) enqueue(w waiter) []waiter {
	m := s.workspace(w.offer.Workspace)
	if len(m.queue) == 0 {
		m.finish = max(m.finish, s.virtual)
	}
	m.queue = append(m.queue, w)
	s.waiting++
	var dropped []waiter
	for s.waiting > s.opts.MaxQueue {
		dropped = append(dropped, s.dropLongest())
	}
	return dropped
}

func (s *service) workspace(name string) *workspace {
	if m, ok := s.workspaces[name]; ok {
		return m
	}
	if len(s.workspaces) >= s.opts.MaxWorkspaces {
		s.forgetIdle()
	}
	if len(s.workspaces) >= s.opts.MaxWorkspaces {
		name = overflowWorkspace
	}
	if m, ok := s.workspaces[name]; ok {
		return m
	}
	m := &workspace{cost: initialCost, finish: s.virtual}
	s.workspaces[name] = m
	return m
}

// forgetIdle drops workspaces without work whose account is behind: they would
// start at the present anyhow.
func (s *service) forgetIdle() {
	for name, m := range s.workspaces {
		if len(m.queue) == 0 && m.inProgress == 0 && m.finish <= s.virtual {
			delete(s.workspaces, name)
		}
	}
}

// dropLongest removes the latest request of the workspace with the most waiting
// per weight.
func (s *service) dropLongest() waiter {
	var longest *workspace
	most := -1.0
	for _, m := range s.workspaces {
		if len(m.queue) == 0 {
			continue
		}
		last := m.queue[len(m.queue)-1]
		length := float64(len(m.queue)) / float64(max(last.offer.Weight, 1))
		if length > most || (length == most && last.ticket > longest.queue[len(longest.queue)-1].ticket) {
			longest, most = m, length
		}
	}
	w := longest.queue[len(longest.queue)-1]
	longest.queue = longest.queue[:len(longest.queue)-1]
	s.waiting--
	return w
}

// dequeue takes the next request in fair order; something must wait.
func (s *service) dequeue() (waiter, *workspace) {
	var next *workspace
	for _, m := range s.workspaces {
		if len(m.queue) == 0 {
			continue
		}
		if next == nil || earlier(m, next) {
			next = m
		}
	}
	w := next.queue[0]
	next.queue = next.queue[1:]
	s.waiting--
	s.virtual = max(s.virtual, next.finish)
	return w, next
}

// earlier orders workspaces by start tag, ties by the older request.
func earlier(a, b *workspace) bool {
	if a.finish != b.finish {
		return a.finish < b.finish
	}
	return a.queue[0].ticket < b.queue[0].ticket
}

// charge books the expected cost of a request that starts and returns it.
func (s *service) charge(m *workspace, weight int) float64 {
	m.inProgress++
	m.finish += m.cost / float64(max(weight, 1))
	return m.cost
}

func (s *service) remove(t Ticket) bool {
	return len(s.takeLate(func(w *waiter) bool { return w.ticket == t })) > 0
}

// takeLate removes and returns the waiting requests that match, oldest first.
func (s *service) takeLate(match func(*waiter) bool) []waiter {
	var out []waiter
	for _, m := range s.workspaces {
		m.queue = slices.DeleteFunc(m.queue, func(w waiter) bool {
			if !match(&w) {
				return false
			}
			out = append(out, w)
			return true
		})
	}
	s.waiting -= len(out)
	slices.SortFunc(out, func(a, b waiter) int { return int(a.ticket) - int(b.ticket) })
	return out
}

// oldest returns when the longest waiting request came.
func (s *service) oldest() time.Time {
	first := time.Unix(math.MaxInt32, 0)
	for _, m := range s.workspaces {
		if len(m.queue) > 0 && m.queue[0].since.Before(first) {
			first = m.queue[0].since
		}
	}
	return first
}
