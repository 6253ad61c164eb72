package admission

import (
	"math"
	"slices"
	"time"
)

// overflowWorkspace stands for all workspaces beyond MaxWorkspaces.
const overflowWorkspace = ""

// waiter is a request in a queue.
type waiter struct {
	ticket Ticket
	offer  Offer
	since  time.Time
}

// workspace is the queue of one workspace and its virtual time.
type workspace struct {
	queue []waiter
	// virtualFinish is the virtual time up to which the workspace has been served.
	virtualFinish float64
	// cost is the mean time that its requests hold a slot, in seconds.
	cost float64
	// inProgress counts running requests; the workspace is not evicted meanwhile.
	inProgress int
}

const (
	// initialCost is the assumed cost of a workspace's first request, in seconds.
	initialCost = 0.01
	// costGain is the weight of a new observation in the mean cost.
	costGain = 0.2
)

// correctCharge replaces the charge of a finished request by the time that it held its slot.
func (ws *workspace) correctCharge(slotTime time.Duration, charged float64, weight int) {
	ws.inProgress--
	took := slotTime.Seconds()
	ws.virtualFinish += (took - charged) / float64(max(weight, 1))
	ws.cost += costGain * (took - ws.cost)
}

// service holds the queues of one service.
type service struct {
	opts       Options
	targets    []string
	workspaces map[string]*workspace
	waiting    int
	// virtualTime is the start tag of the request served last.
	virtualTime float64
}

func newService(opts Options) *service {
	return &service{opts: opts, workspaces: map[string]*workspace{}}
}

// enqueue adds a request and returns those dropped because the queue is full.
func (s *service) enqueue(w waiter) []waiter {
	ws := s.workspace(w.offer.Workspace)
	if len(ws.queue) == 0 {
		ws.virtualFinish = max(ws.virtualFinish, s.virtualTime)
	}
	ws.queue = append(ws.queue, w)
	s.waiting++
	var dropped []waiter
	for s.waiting > s.opts.MaxQueue {
		dropped = append(dropped, s.dropLongest())
	}
	return dropped
}

func (s *service) workspace(name string) *workspace {
	if ws, ok := s.workspaces[name]; ok {
		return ws
	}
	if len(s.workspaces) >= s.opts.MaxWorkspaces {
		s.evictIdle()
	}
	if len(s.workspaces) >= s.opts.MaxWorkspaces {
		name = overflowWorkspace
	}
	if ws, ok := s.workspaces[name]; ok {
		return ws
	}
	ws := &workspace{cost: initialCost, virtualFinish: s.virtualTime}
	s.workspaces[name] = ws
	return ws
}

// evictIdle deletes workspaces without requests whose virtual finish time has passed: with their
// next request they would start at the current virtual time in any case.
func (s *service) evictIdle() {
	for name, ws := range s.workspaces {
		if len(ws.queue) == 0 && ws.inProgress == 0 && ws.virtualFinish <= s.virtualTime {
			delete(s.workspaces, name)
		}
	}
}

// dropLongest removes the latest request of the workspace with the most waiting requests per
// weight.
func (s *service) dropLongest() waiter {
	var longest *workspace
	most := -1.0
	for _, ws := range s.workspaces {
		if len(ws.queue) == 0 {
			continue
		}
		last := ws.queue[len(ws.queue)-1]
		length := float64(len(ws.queue)) / float64(max(last.offer.Weight, 1))
		if length > most || (length == most && last.ticket > longest.queue[len(longest.queue)-1].ticket) {
			longest, most = ws, length
		}
	}
	w := longest.queue[len(longest.queue)-1]
	longest.queue = longest.queue[:len(longest.queue)-1]
	s.waiting--
	return w
}

// dequeue removes and returns the next request in fair order; at least one must be waiting.
func (s *service) dequeue() (waiter, *workspace) {
	var next *workspace
	for _, ws := range s.workspaces {
		if len(ws.queue) == 0 {
			continue
		}
		if next == nil || earlier(ws, next) {
			next = ws
		}
	}
	w := next.queue[0]
	next.queue = next.queue[1:]
	s.waiting--
	s.virtualTime = max(s.virtualTime, next.virtualFinish)
	return w, next
}

// earlier reports whether workspace a is served before b: by start tag, then by the older request.
func earlier(a, b *workspace) bool {
	if a.virtualFinish != b.virtualFinish {
		return a.virtualFinish < b.virtualFinish
	}
	return a.queue[0].ticket < b.queue[0].ticket
}

// charge adds the expected cost of a request that starts to its workspace and returns it.
func (s *service) charge(ws *workspace, weight int) float64 {
	ws.inProgress++
	ws.virtualFinish += ws.cost / float64(max(weight, 1))
	return ws.cost
}

func (s *service) remove(t Ticket) bool {
	return len(s.removeMatching(func(w *waiter) bool { return w.ticket == t })) > 0
}

// removeMatching removes and returns the waiting requests that match, oldest first.
func (s *service) removeMatching(match func(*waiter) bool) []waiter {
	var out []waiter
	for _, ws := range s.workspaces {
		ws.queue = slices.DeleteFunc(ws.queue, func(w waiter) bool {
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

// oldest returns the arrival time of the request that has waited longest.
func (s *service) oldest() time.Time {
	first := time.Unix(math.MaxInt32, 0)
	for _, ws := range s.workspaces {
		if len(ws.queue) > 0 && ws.queue[0].since.Before(first) {
			first = ws.queue[0].since
		}
	}
	return first
}
