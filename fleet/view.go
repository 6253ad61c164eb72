package fleet

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/poppywall/poppywall/flow"
)

// Limits of the fleet's memory.
const (
	// Quiet is how long a target of the own zone may stay unheard before it gets no
	// new flow while another one can.
	Quiet = time.Duration(quietPeriods * float64(NearPeriod))
	// Forget is how long an unheard target stays in the search for open flows,
	// and an unheard balancer in the list of balancers.
	Forget = 20 * time.Second
)

// View is what a balancer knows of the fleet. It is not safe for concurrent
// use; its owner holds a lock.
type View struct {
	targets  map[flow.IPv4]*Target
	services map[flow.Tag][]*Target
	// tags are the keys of services, sorted.
	tags  []flow.Tag
	peers map[flow.IPv4]*Peer
	// listed are the agents that the registry named last, with the epochs of their
	// entries; listedAt is when that reading began.
	listed   map[flow.IPv4]uint64
	listedAt time.Time
	// members is the part of the digest of the balancers and of the targets that are not
	// gone; gone are the others.
	members uint32
	gone    map[flow.IPv4]*Target
	// generation rises with each target that comes to be one that may hold a flow.
	generation uint32
	zones      zones
}

// NewView returns an empty view.
func NewView() *View {
	return &View{
		targets: map[flow.IPv4]*Target{}, services: map[flow.Tag][]*Target{}, peers: map[flow.IPv4]*Peer{},
		listed: map[flow.IPv4]uint64{}, gone: map[flow.IPv4]*Target{}, zones: newZones(),
	}
}

// Target returns a target by its address.
func (v *View) Target(ip flow.IPv4) (*Target, bool) {
	h, ok := v.targets[ip]
	return h, ok
}

// Peer returns another balancer by its address.
func (v *View) Peer(ip flow.IPv4) (*Peer, bool) {
	p, ok := v.peers[ip]
	return p, ok
}

// Service returns the targets of a service, in no order. The slice is the view's
// own.
func (v *View) Service(tag flow.Tag) []*Target { return v.services[tag] }

// Targets and Balancers return the addresses known.
func (v *View) Targets() []flow.IPv4 { return keys(v.targets) }

// Balancers returns the addresses of the other balancers.
func (v *View) Balancers() []flow.IPv4 { return keys(v.peers) }

// TargetCount returns how many targets are known.
func (v *View) TargetCount() int { return len(v.targets) }

// BalancerCount returns how many other balancers are known.
func (v *View) BalancerCount() int { return len(v.peers) }

// ZoneOf returns the zone of another balancer.
func (v *View) ZoneOf(balancer flow.IPv4) (flow.Tag, bool) {
	p, known := v.peers[balancer]
	if !known {
		return 0, false
	}
	return p.Zone, true
}

// NodeZone returns the zone of a balancer or an agent.
func (v *View) NodeZone(ip flow.IPv4) (flow.Tag, bool) {
	if h, known := v.targets[ip]; known {
		return h.Zone, true
	}
	return v.ZoneOf(ip)
}

// ZonePeers returns the other balancers of a zone that others may rely on, in no order.
func (v *View) ZonePeers(now time.Time, zone flow.Tag) []*Peer {
	var out []*Peer
	for _, p := range v.peers {
		if p.Zone == zone && p.onDuty(now) {
			out = append(out, p)
		}
	}
	return out
}

// BalancersByZone returns the addresses of the other balancers of a zone, and of
// all other zones.
func (v *View) BalancersByZone(zone flow.Tag) (near, far []flow.IPv4) {
	return split(v.Balancers(), func(ip flow.IPv4) bool { return v.peers[ip].Zone == zone })
}

// TargetsByZone returns the addresses of the targets of a zone, and of all others.
func (v *View) TargetsByZone(zone flow.Tag) (near, far []flow.IPv4) {
	return split(v.Targets(), func(ip flow.IPv4) bool { return v.targets[ip].Zone == zone })
}

// FirstTarget returns the lowest address of the targets that a predicate holds for. It
// sorts nothing: whether a flow is over is asked with all targets at hand.
func (v *View) FirstTarget(holds func(*Target) bool) (first flow.IPv4, found bool) {
	for ip, h := range v.targets {
		if (!found || ip < first) && holds(h) {
			first, found = ip, true
		}
	}
	return first, found
}

// split divides a list by a predicate.
func split(list []flow.IPv4, first func(flow.IPv4) bool) (yes, no []flow.IPv4) {
	for _, ip := range list {
		if first(ip) {
			yes = append(yes, ip)
		} else {
			no = append(no, ip)
		}
	}
	return yes, no
}

// keys returns the addresses in order, so that a run repeats.
func keys[V any](m map[flow.IPv4]V) []flow.IPv4 { return sortedKeys(m) }

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// Generation rises with each target that comes to be one that may hold a flow: a
// search that began in a generation has asked those of it, and only targets since
// then can hold the flow if all have denied it.
func (v *View) Generation() uint32 { return v.generation }

// Names returns the nodes known, but for agents without a target that are not heard
// any more: nobody needs them.
func (v *View) Names(now time.Time) Names {
	n := Names{Balancers: v.Balancers()}
	for _, ip := range v.Targets() {
		switch h := v.targets[ip]; {
		case h.State != Gone:
			n.Holders = append(n.Holders, ip)
		case !h.Quiet(now):
			n.Idle = append(n.Idle, ip)
		}
	}
	return n
}

// Digest tells two views that name the same nodes from others, whatever their
// order. self is the address of the view's owner. Its cost goes with the targets that
// are gone, not with the nodes: each beacon of the zone is compared by it.
func (v *View) Digest(now time.Time, self flow.IPv4) uint32 {
	sum := v.members ^ member(self, true)
	for ip, h := range v.gone {
		if !h.Quiet(now) {
			sum ^= member(ip, false)
		}
	}
	return sum
}

// recount keeps the digest when a target has come, has gone, or is back; was tells whether
// it was known and not gone.
func (v *View) recount(h *Target, was bool) {
	is := h.State != Gone
	if is != was {
		v.members ^= member(h.IP, false)
	}
	if is {
		delete(v.gone, h.IP)
	} else {
		v.gone[h.IP] = h
	}
}

// uncount takes a target that is forgotten out of the digest.
func (v *View) uncount(h *Target) {
	delete(v.gone, h.IP)
	if h.State != Gone {
		v.members ^= member(h.IP, false)
	}
}

// member is the share of one node in a digest.
func member(ip flow.IPv4, balancer bool) uint32 {
	salt := uint64(1)
	if balancer {
		salt = 2
	}
	return uint32(flow.Score(salt, ip) >> 32)
}

// Change tells what a message changed.
type Change uint8

// The changes.
const (
	// Stale: the message was older than what is known.
	Stale Change = iota
	// Same: nothing but readings.
	Same
	// Joined: not known before, or another process at the address.
	Joined
	// Altered: another service, target or state.
	Altered
)

// Announce takes an agent's announcement.
func (v *View) Announce(now time.Time, ip flow.IPv4, a Announcement) Change {
	h, known := v.targets[ip]
	if !known {
		h = &Target{IP: ip}
	}
	former, held := h.Announcement, h.MayHold(now)
	if !h.order.accept(a.Identity, h.Quiet(now)) {
		return Stale
	}
	v.targets[ip] = h
	if former.State == Draining && a.State == Ready && a.Incarnation == 0 {
		// A fresh agent finds its target listening before it hears what the target
		// says of itself; until then the target is as it was.
		a.State = Draining
	}
	h.Announcement, h.HeardAt, h.Sent = a, now, 0
	v.recount(h, known && former.State != Gone)
	v.heardZone(now, a.Zone)
	h.heard()
	if !known || former.Epoch != a.Epoch || former.Listing != a.Listing {
		h.ListingAt = now
	}
	h.Listed = v.lists(h)
	if !known || former.Service != a.Service {
		v.reindex(h, former.Service)
	}
	another := !known || former.Epoch != a.Epoch || former.Service != a.Service
	if h.MayHold(now) && (another || former.State == Gone && a.State != Gone || !held) {
		v.begin(h)
	}
	switch {
	case !known || former.Epoch != a.Epoch:
		return Joined
	case former.Service != a.Service || former.Incarnation != a.Incarnation || former.State != a.State:
		return Altered
	default:
		return Same
	}
}

// begin notes that a target may hold flows from now on.
func (v *View) begin(h *Target) {
	v.generation++
	h.Since = v.generation
}

// reindex moves a target to the list of its service.
func (v *View) reindex(h *Target, former flow.Tag) {
	v.unlist(h, former)
	v.services[h.Service] = append(v.services[h.Service], h)
	v.tags = slices.Sorted(maps.Keys(v.services))
}

func (v *View) unlist(h *Target, tag flow.Tag) {
	list := v.services[tag]
	for i, other := range list {
		if other == h {
			list[i] = list[len(list)-1]
			v.services[tag] = list[:len(list)-1]
			break
		}
	}
	if len(v.services[tag]) == 0 {
		delete(v.services, tag)
		v.tags = slices.Sorted(maps.Keys(v.services))
	}
}

// Beacon takes a balancer's beacon.
func (v *View) Beacon(now time.Time, ip flow.IPv4, m Beacon) Change {
	p, known := v.peers[ip]
	if !known {
		p = &Peer{IP: ip}
	}
	former := p.Epoch
	if !p.order.accept(m.Identity, unheard(now, p.HeardAt, p.Period, quietPeriods)) {
		return Stale
	}
	if !known {
		v.members ^= member(ip, true)
	}
	v.peers[ip] = p
	p.Beacon, p.HeardAt = m, now
	v.heardZone(now, m.Zone)
	p.heard()
	if !known || former != m.Epoch {
		return Joined
	}
	return Same
}

// Newest returns the other balancer that has the highest configuration, and its
// version, if that is higher than the given one.
func (v *View) Newest(above int64) (ip flow.IPv4, version int64, ok bool) {
	for peer, p := range v.peers {
		if p.ConfigVersion > max(above, version) {
			ip, version = peer, p.ConfigVersion
		}
	}
	return ip, version, ip != 0
}

// NewestNear is Newest for an agent: of the balancers with the highest configuration one
// of its own zone, and there one with the widest link, is asked first; of several the one
// with the lowest address.
func (v *View) NewestNear(above int64, zone flow.Tag) (ip flow.IPv4, version int64, ok bool) {
	best := 0
	for peer, p := range v.peers {
		if p.ConfigVersion <= above || p.ConfigVersion < version {
			continue
		}
		rank := p.nearness(zone)
		if p.ConfigVersion > version || rank > best || (rank == best && peer < ip) {
			ip, version, best = peer, p.ConfigVersion, rank
		}
	}
	return ip, version, ip != 0
}

// nearness ranks balancers for a node of a zone: those of the zone come first, then the
// wider link.
func (p *Peer) nearness(zone flow.Tag) int {
	rank := int(p.LinkMbps)
	if p.Zone == zone {
		rank += math.MaxUint16 + 1
	}
	return rank
}

// NewestKept returns an agent that keeps a copy of the highest configuration that any
// agent heard lately keeps; of several, the one that pick chooses by their number.
func (v *View) NewestKept(now time.Time, except func(flow.IPv4) bool, pick func(n int) int) (ip flow.IPv4, version int64, ok bool) {
	var holders []flow.IPv4
	for _, target := range v.Targets() {
		h := v.targets[target]
		switch {
		case h.ConfigVersion == 0 || h.Quiet(now) || except(target) || h.ConfigVersion < version:
			continue
		case h.ConfigVersion > version:
			version, holders = h.ConfigVersion, holders[:0]
		}
		holders = append(holders, target)
	}
	if len(holders) == 0 {
		return 0, 0, false
	}
	return holders[pick(len(holders))], version, true
}

// Expire forgets who was not heard for long and returns them.
func (v *View) Expire(now time.Time) (targets, balancers []Entry) {
	for ip, h := range v.targets {
		if now.Sub(h.HeardAt) > Forget {
			v.unlist(h, h.Service)
			v.uncount(h)
			delete(v.targets, ip)
			targets = append(targets, Entry{IP: ip, Epoch: h.Epoch})
		}
	}
	for ip, p := range v.peers {
		if now.Sub(p.HeardAt) > Forget {
			delete(v.peers, ip)
			v.members ^= member(ip, true)
			balancers = append(balancers, Entry{IP: ip, Epoch: p.Epoch})
		}
	}
	return targets, balancers
}

// KnowsBalancer tells whether a balancer was heard lately.
func (v *View) KnowsBalancer(ip flow.IPv4) bool {
	_, ok := v.peers[ip]
	return ok
}

// KnowsTarget tells whether a target's agent was heard lately.
func (v *View) KnowsTarget(ip flow.IPv4) bool {
	_, ok := v.targets[ip]
	return ok
}

// Services returns the tags of the services that have targets, in a fixed order.
func (v *View) Services() []flow.Tag { return v.tags }
