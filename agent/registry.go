package agent

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/poppywall/poppywall/admission"
	"github.com/poppywall/poppywall/catalog"
	"github.com/poppywall/poppywall/directory"
	"github.com/poppywall/poppywall/route"
	"github.com/poppywall/poppywall/settings"
)

const (
	// maxTargets is the maximum number of targets on one host.
	maxTargets = 256
	// defaultSlotRequests and defaultSlotStreams are the limits per slot of a
	// service that configures none.
	defaultSlotRequests = 16
	defaultSlotStreams  = 1000
)

// Announcement is the body of the PUT request with which a target announces
// itself to its agent.
type Announcement struct {
	// Address is the loopback address at which the target listens.
	Address string `json:"address" validate:"required,addrport4"`
	// Slots is how much work the target can do concurrently, relative to other
	// targets.
	Slots int `json:"slots" validate:"gte=1,lte=1024"`
	// Labels are matched by the selectors of services.
	Labels catalog.Labels `json:"labels,omitempty" validate:"max=32,dive,keys,required,max=63,endkeys,max=63"`
	// Draining requests that the target receive no new work.
	Draining bool `json:"draining,omitempty"`
}

var (
	errNotLoopback    = errors.New("field \"address\": a target must listen on loopback")
	errTooManyTargets = errors.New("too many targets on this host")
	errAddressTaken   = errors.New("field \"address\": another target has announced it")
)

type registeredTarget struct {
	Announcement
	lastSeen time.Time
}

// targetRegistry holds the targets that announced themselves. It does no I/O and
// takes the time as an argument. It is not safe for concurrent use; the agent
// guards it with state.mu.
type targetRegistry struct {
	host    string
	ttl     time.Duration
	targets map[string]registeredTarget
}

func newTargetRegistry(host string, ttl time.Duration) *targetRegistry {
	return &targetRegistry{host: host, ttl: ttl, targets: map[string]registeredTarget{}}
}

// put stores an announcement and reports whether it differs from the target's
// previous one.
func (r *targetRegistry) put(now time.Time, name string, a Announcement) (bool, error) {
	if err := r.validate(name, a); err != nil {
		return false, err
	}
	old, known := r.targets[name]
	r.targets[name] = registeredTarget{a, now}
	same := known && old.Address == a.Address && old.Slots == a.Slots &&
		old.Draining == a.Draining && maps.Equal(old.Labels, a.Labels)
	return !same, nil
}

func (r *targetRegistry) validate(name string, a Announcement) error {
	if err := settings.Validate(a); err != nil {
		return err
	}
	if !netip.MustParseAddrPort(a.Address).Addr().IsLoopback() {
		return errNotLoopback
	}
	if _, known := r.targets[name]; !known && len(r.targets) >= maxTargets {
		return errTooManyTargets
	}
	for other, t := range r.targets {
		if other != name && t.Address == a.Address {
			return errAddressTaken
		}
	}
	return nil
}

// remove deregisters a target and reports whether it was registered.
func (r *targetRegistry) remove(name string) bool {
	_, known := r.targets[name]
	delete(r.targets, name)
	return known
}

// expire removes the targets that sent no announcement for longer than ttl and
// reports whether there were any.
func (r *targetRegistry) expire(now time.Time) bool {
	before := len(r.targets)
	maps.DeleteFunc(r.targets, func(_ string, t registeredTarget) bool { return now.Sub(t.lastSeen) > r.ttl })
	return len(r.targets) != before
}

// plan is the state that the host should have under the current announcements
// and configuration: the targets by name, and the services that they serve with
// the names of their targets.
type plan struct {
	targets     map[string]gateTarget
	targetNames map[route.ServiceID][]string
	services    map[route.ServiceID]*catalog.Service
}

// plan assigns targets to services. A draining target stays assigned but is not
// ready, so that its open work continues.
func (r *targetRegistry) plan(cat *catalog.State, leaving bool) plan {
	p := plan{
		targets:     map[string]gateTarget{},
		targetNames: map[route.ServiceID][]string{},
		services:    map[route.ServiceID]*catalog.Service{},
	}
	services := cat.Services()
	for _, name := range slices.Sorted(maps.Keys(r.targets)) {
		r.planTarget(&p, cat, services, name, leaving)
	}
	return p
}

func (r *targetRegistry) planTarget(p *plan, cat *catalog.State, services map[route.ServiceID]*catalog.Service, name string, leaving bool) {
	t := r.targets[name]
	effective := cat.Target(r.host, name, t.Labels)
	spec := admission.TargetSpec{Slots: t.Slots, Ready: !t.Draining && !effective.Drain && !leaving}
	for id, s := range services {
		if !s.Selector.Matches(effective.Labels) {
			continue
		}
		p.targetNames[id] = append(p.targetNames[id], name)
		p.services[id] = s
		spec.Requests = max(spec.Requests, t.Slots*orDefault(s.SlotRequests, defaultSlotRequests))
		spec.Streams = max(spec.Streams, t.Slots*orDefault(s.SlotStreams, defaultSlotStreams))
	}
	p.targets[name] = gateTarget{address: t.Address, spec: spec}
}

func orDefault(v, fallback int) int {
	if v > 0 {
		return v
	}
	return fallback
}

// offers returns the services of the host with their ready slots, at most
// directory.MaxOffers of them.
func offers(p plan, slots func(route.ServiceID) (int, int)) []directory.Offer {
	var out []directory.Offer
	for _, id := range slices.Sorted(maps.Keys(p.targetNames)) {
		if len(out) == directory.MaxOffers {
			break
		}
		n, _ := slots(id)
		out = append(out, directory.Offer{Service: id, Slots: clamp16(n)})
	}
	return out
}
