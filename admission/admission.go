package admission

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/poppywall/poppywall/route"
)

type target struct {
	name     string
	spec     TargetSpec
	limit    limit
	requests int
	streams  int
	removed  bool
}

// running is a request in progress at a target.
type running struct {
	target    *target
	service   route.ServiceID
	workspace *workspace
	weight    int
	class     Class
	since     time.Time
	// charged is the cost, in seconds, that the workspace was charged at the start.
	charged float64
}

// Controller decides on the requests of one host. It is not safe for concurrent use; its owner
// holds a lock.
type Controller struct {
	opts       Options
	rnd        *rand.Rand
	targets    map[string]*target
	services   map[route.ServiceID]*service
	running    map[Ticket]*running
	lastTicket Ticket
}

// New returns a controller without targets.
func New(opts Options, rnd *rand.Rand) *Controller {
	return &Controller{
		opts:     opts,
		rnd:      rnd,
		targets:  map[string]*target{},
		services: map[route.ServiceID]*service{},
		running:  map[Ticket]*running{},
	}
}

// SetTarget adds or changes a target and returns the decisions that follow.
func (c *Controller) SetTarget(now time.Time, name string, spec TargetSpec) []Decision {
	t, ok := c.targets[name]
	if !ok {
		t = &target{name: name, limit: newLimit(c.opts.Limit)}
		c.targets[name] = t
	}
	t.limit.setBounds(spec.Slots, spec.Requests)
	t.spec = spec
	t.removed = false
	return c.dispatchAll(now)
}

// RemoveTarget removes a target and returns the decisions that follow; requests in progress
// there are counted until they end.
func (c *Controller) RemoveTarget(now time.Time, name string) []Decision {
	t, ok := c.targets[name]
	if !ok {
		return nil
	}
	t.spec.Ready = false
	t.removed = true
	c.deleteIfIdle(t)
	return c.dispatchAll(now)
}

// deleteIfIdle deletes a removed target once nothing is in progress there.
func (c *Controller) deleteIfIdle(t *target) {
	if t.removed && t.requests == 0 && t.streams == 0 {
		delete(c.targets, t.name)
	}
}

// SetService sets the targets of a service. If none is ready, the waiting requests are refused
// at once.
func (c *Controller) SetService(now time.Time, id route.ServiceID, targets []string) []Decision {
	s, ok := c.services[id]
	if !ok {
		s = newService(c.opts)
		c.services[id] = s
	}
	s.targets = slices.Clone(targets)
	return c.dispatchAll(now)
}

// Slots returns the ready slots of a service and its load in thousandths of the limit.
func (c *Controller) Slots(id route.ServiceID) (slots, busy int) {
	s, ok := c.services[id]
	if !ok {
		return 0, 0
	}
	used, allowed := s.waiting, 0
	for _, t := range c.ready(s) {
		slots += t.spec.Slots
		used += t.requests
		allowed += t.limit.allowed()
	}
	if allowed == 0 {
		return slots, 0
	}
	return slots, used * 1000 / allowed
}

// InProgress returns the numbers of requests and streams in progress at a target.
func (c *Controller) InProgress(name string) (requests, streams int) {
	t, ok := c.targets[name]
	if !ok {
		return 0, 0
	}
	return t.requests, t.streams
}

// Offer submits a request. It may cause other waiting requests to be refused, so several
// decisions can be returned; the first is that on the offer itself.
func (c *Controller) Offer(now time.Time, o Offer) []Decision {
	c.lastTicket++
	ticket := c.lastTicket
	s, ok := c.services[o.Service]
	if !ok || len(c.ready(s)) == 0 {
		return []Decision{c.refusal(ticket, NoTarget, 0)}
	}
	if expired(now, o.Deadline) {
		return []Decision{c.refusal(ticket, Deadline, 0)}
	}
	if o.Class == Stream {
		return []Decision{c.offerStream(now, ticket, s, o)}
	}
	return c.offerRequest(now, ticket, s, o)
}

func expired(now, deadline time.Time) bool { return !deadline.IsZero() && !now.Before(deadline) }

func (c *Controller) offerStream(now time.Time, ticket Ticket, s *service, o Offer) Decision {
	best := leastLoaded(c.ready(s), func(t *target) (int, int) { return t.streams, t.spec.Streams })
	if best == nil {
		return c.refusal(ticket, Overloaded, 0)
	}
	best.streams++
	c.running[ticket] = &running{target: best, service: o.Service, class: Stream, since: now}
	return Decision{Ticket: ticket, Action: Run, Target: best.name}
}

func (c *Controller) offerRequest(now time.Time, ticket Ticket, s *service, o Offer) []Decision {
	dropped := s.enqueue(waiter{ticket: ticket, offer: o, since: now})
	out := []Decision{{Ticket: ticket, Action: Wait}}
	for _, w := range dropped {
		d := c.refusal(w.ticket, Overloaded, s.waiting)
		if w.ticket == ticket {
			out[0] = d
			continue
		}
		out = append(out, d)
	}
	for _, d := range c.dispatch(now, o.Service, s) {
		if d.Ticket == ticket {
			out[0] = d
			continue
		}
		out = append(out, d)
	}
	return out
}

// dispatch assigns waiting requests to the targets of a service with headroom, in fair order.
func (c *Controller) dispatch(now time.Time, id route.ServiceID, s *service) []Decision {
	var out []Decision
	for s.waiting > 0 {
		ready := c.ready(s)
		if len(ready) == 0 {
			return append(out, c.refuseAll(s)...)
		}
		t := leastLoaded(ready, func(t *target) (int, int) { return t.requests, t.limit.allowed() })
		if t == nil {
			return out
		}
		w, ws := s.dequeue()
		if expired(now, w.offer.Deadline) {
			out = append(out, c.refusal(w.ticket, Deadline, 0))
			continue
		}
		c.start(now, id, s, t, w, ws)
		out = append(out, Decision{Ticket: w.ticket, Action: Run, Target: t.name})
	}
	return out
}

func (c *Controller) start(now time.Time, id route.ServiceID, s *service, t *target, w waiter, ws *workspace) {
	t.requests++
	c.running[w.ticket] = &running{
		target:    t,
		service:   id,
		workspace: ws,
		weight:    w.offer.Weight,
		since:     now,
		charged:   s.charge(ws, w.offer.Weight),
	}
}

// Done ends a request in progress and returns the decisions that follow.
func (c *Controller) Done(now time.Time, ticket Ticket, res Result) []Decision {
	r, ok := c.running[ticket]
	if !ok {
		return nil
	}
	delete(c.running, ticket)
	if r.class == Stream {
		r.target.streams--
		c.deleteIfIdle(r.target)
		return nil
	}
	r.target.requests--
	slotTime := now.Sub(r.since)
	r.target.limit.observe(now, res, slotTime)
	r.workspace.correctCharge(slotTime, r.charged, r.weight)
	c.deleteIfIdle(r.target)
	return c.dispatchAll(now)
}

// Promote turns a request in progress into a stream because its answer is one. That frees its
// slot for waiting requests.
func (c *Controller) Promote(now time.Time, ticket Ticket) []Decision {
	r, ok := c.running[ticket]
	if !ok || r.class == Stream {
		return nil
	}
	r.class = Stream
	r.target.requests--
	r.target.streams++
	return c.dispatchAll(now)
}

// Cancel removes a waiting ticket; one in progress ends by Done.
func (c *Controller) Cancel(ticket Ticket) {
	for _, s := range c.services {
		if s.remove(ticket) {
			return
		}
	}
}

// Expire refuses the requests that have waited too long or passed their deadline.
func (c *Controller) Expire(now time.Time) []Decision {
	var out []Decision
	for _, s := range c.services {
		late := s.removeMatching(func(w *waiter) bool {
			return now.Sub(w.since) >= c.opts.MaxWait || expired(now, w.offer.Deadline)
		})
		for _, w := range late {
			reason := Overloaded
			if expired(now, w.offer.Deadline) {
				reason = Deadline
			}
			out = append(out, c.refusal(w.ticket, reason, s.waiting))
		}
	}
	return out
}

func (c *Controller) dispatchAll(now time.Time) []Decision {
	var out []Decision
	for _, id := range c.byLongestWait() {
		out = append(out, c.dispatch(now, id, c.services[id])...)
	}
	return out
}

// byLongestWait returns the services with waiting requests, the longest wait first, so that
// services that share a target take turns.
func (c *Controller) byLongestWait() []route.ServiceID {
	var ids []route.ServiceID
	for id, s := range c.services {
		if s.waiting > 0 {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b route.ServiceID) int {
		return cmp.Or(c.services[a].oldest().Compare(c.services[b].oldest()), cmp.Compare(a, b))
	})
	return ids
}

func (c *Controller) refuseAll(s *service) []Decision {
	var out []Decision
	for _, w := range s.removeMatching(func(*waiter) bool { return true }) {
		out = append(out, c.refusal(w.ticket, NoTarget, 0))
	}
	return out
}

// refusal returns a refusal with a time after which to retry: longer when more requests wait,
// with jitter so that refused callers do not all return at once.
func (c *Controller) refusal(t Ticket, reason Reason, waiting int) Decision {
	pressure := 1 + float64(waiting)/float64(max(c.opts.MaxQueue, 1))
	after := time.Duration(float64(c.opts.RetryAfter) * pressure * (1 + 2*c.rnd.Float64()))
	return Decision{Ticket: t, Action: Refuse, Reason: reason, RetryAfter: after}
}

func (c *Controller) ready(s *service) []*target {
	var out []*target
	for _, name := range s.targets {
		if t, ok := c.targets[name]; ok && t.spec.Ready {
			out = append(out, t)
		}
	}
	return out
}

// leastLoaded returns the target with headroom and the smallest used share, nil if there is
// none.
func leastLoaded(targets []*target, load func(*target) (used, allowed int)) *target {
	var best *target
	bestShare := 0.0
	for _, t := range targets {
		used, allowed := load(t)
		if used >= allowed {
			continue
		}
		share := float64(used) / float64(allowed)
		if best == nil || share < bestShare {
			best, bestShare = t, share
		}
	}
	return best
}
