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
	// maxTargets bounds the targets of one host.
	maxTargets = 256
	// defaultSlotRequests and defaultSlotStreams hold where a service states
	// no limit.
	defaultSlotRequests = 16
	defaultSlotStreams  = 1000
)

// Announcement is what a target puts to its agent.
type Announcement struct {
	// Address is where the target listens, on loopback.
	Address string `json:"address" validate:"required,addrport4"`
	// Slots is how much the target can do at once, relative to its peers.
	Slots int `json:"slots" validate:"gte=1,lte=1024"`
	// Labels are what selectors match.
	Labels catalog.Labels `json:"labels,omitempty" validate:"max=32,dive,keys,required,max=63,endkeys,max=63"`
	// Draining asks for no new work.
	Draining bool `json:"draining,omitempty"`
}

var (
	errNotLoopback = errors.New("field \"address\": a target must listen on loopback")
	errTooMany     = errors.New("too many targets on this host")
	errSameAddress = errors.New("field \"address\": another target has announced it")
)

type announced struct {
	Announcement
	heardAt time.Time
}

// registry holds the targets that announced themselves. It is pure and not
// safe for concurrent use; the agent holds a lock.
type registry struct {
	host    string
	ttl     time.Duration
	targets map[string]announced
}

func newRegistry(host string, ttl time.Duration) *registry {
	return &registry{host: host, ttl: ttl, targets: map[string]announced{}}
}

// put takes an announcement and tells whether anything but its time changed.
func (r *registry) put(now time.Time, name string, a Announcement) (bool, error) {
	if err := r.check(name, a); err != nil {
		return false, err
	}
	old, known := r.targets[name]
	r.targets[name] = announced{a, now}
	same := known && old.Address == a.Address && old.Slots == a.Slots &&
		old.Draining == a.Draining && maps.Equal(old.Labels, a.Labels)
	return !same, nil
}

func (r *registry) check(name string, a Announcement) error {
	if err := settings.Validate(a); err != nil {
		return err
	}
	if !netip.MustParseAddrPort(a.Address).Addr().IsLoopback() {
		return errNotLoopback
	}
	if _, known := r.targets[name]; !known && len(r.targets) >= maxTargets {
		return errTooMany
	}
	for other, t := range r.targets {
		if other != name && t.Address == a.Address {
			return errSameAddress
		}
	}
	return nil
}

// remove takes a target's farewell.
func (r *registry) remove(name string) bool {
	_, known := r.targets[name]
	delete(r.targets, name)
	return known
}

// expire drops targets without a heartbeat and tells whether there were any.
func (r *registry) expire(now time.Time) bool {
	before := len(r.targets)
	maps.DeleteFunc(r.targets, func(_ string, t announced) bool { return now.Sub(t.heardAt) > r.ttl })
	return len(r.targets) != before
}

// plan is what the host serves under the current configuration.
type plan struct {
	targets  map[string]gateTarget
	services map[route.ServiceID][]string
	specs    map[route.ServiceID]*catalog.Service
}

// plan matches targets with services. A target that drains stays in its
// services without being ready, so that what is open there runs on.
func (r *registry) plan(cat *catalog.State, leaving bool) plan {
	p := plan{
		targets:  map[string]gateTarget{},
		services: map[route.ServiceID][]string{},
		specs:    map[route.ServiceID]*catalog.Service{},
	}
	services := cat.Services()
	for _, name := range slices.Sorted(maps.Keys(r.targets)) {
		r.planTarget(&p, cat, services, name, leaving)
	}
	return p
}

func (r *registry) planTarget(p *plan, cat *catalog.State, services map[route.ServiceID]*catalog.Service, name string, leaving bool) {
	t := r.targets[name]
	eff := cat.Target(r.host, name, t.Labels)
	spec := admission.TargetSpec{Slots: t.Slots, Ready: !t.Draining && !eff.Drain && !leaving}
	for id, s := range services {
		if !s.Selector.Matches(eff.Labels) {
			continue
		}
		p.services[id] = append(p.services[id], name)
		p.specs[id] = s
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

// offers lists the services of the host with their ready slots.
func offers(p plan, slots func(route.ServiceID) (int, int)) []directory.Offer {
	var out []directory.Offer
	for _, id := range slices.Sorted(maps.Keys(p.services)) {
		if len(out) == directory.MaxOffers {
			break
		}
		n, _ := slots(id)
		out = append(out, directory.Offer{Service: id, Slots: clamp16(n)})
	}
	return out
}
