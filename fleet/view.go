package fleet

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/poppywall/poppywall/flow"
)

// Expiry of nodes that are not seen.
const (
	// OverdueAfter is the time without an announcement after which a target of the local zone is
	// overdue and gets no new flows while another target can take them.
	OverdueAfter = time.Duration(overduePeriods * float64(SameZonePeriod))
	// ExpireAfter is how long a target that is not seen stays in the search for open flows, and a
	// balancer that is not seen in the list of balancers.
	ExpireAfter = 20 * time.Second
)

// View is a node's view of the fleet. It is not safe for concurrent use; its owner
// holds a lock.
type View struct {
	targets  map[flow.IPv4]*Target
	services map[flow.ServiceID][]*Target
	// serviceTags are the sorted keys of services.
	serviceIDs []flow.ServiceID
	peers      map[flow.IPv4]*Peer
	// registered are the agents in the last registry snapshot, each with the process
	// incarnation of its entry; snapshotLatest is the latest time that the snapshot may reflect.
	registered     map[flow.IPv4]uint64
	snapshotLatest time.Time
	// memberDigest is the part of the digest that covers the balancers and the targets that
	// are not gone; gone are the other targets.
	memberDigest uint32
	gone         map[flow.IPv4]*Target
	// generation increases each time a target becomes one that may hold flows.
	generation uint32
	zones      zoneStates
}

// NewView returns an empty view.
func NewView() *View {
	return &View{
		targets: map[flow.IPv4]*Target{}, services: map[flow.ServiceID][]*Target{}, peers: map[flow.IPv4]*Peer{},
		registered: map[flow.IPv4]uint64{}, gone: map[flow.IPv4]*Target{}, zones: newZoneStates(),
	}
}

// Target returns a target by its address.
func (v *View) Target(ip flow.IPv4) (*Target, bool) {
	t, ok := v.targets[ip]
	return t, ok
}

// Peer returns another balancer by its address.
func (v *View) Peer(ip flow.IPv4) (*Peer, bool) {
	p, ok := v.peers[ip]
	return p, ok
}

// TargetsOf returns the targets of a service, in no particular order. The slice belongs to
// the view.
func (v *View) TargetsOf(id flow.ServiceID) []*Target { return v.services[id] }

// Targets returns the addresses of the known targets, sorted.
func (v *View) Targets() []flow.IPv4 { return keys(v.targets) }

// Balancers returns the addresses of the other known balancers, sorted.
func (v *View) Balancers() []flow.IPv4 { return keys(v.peers) }

// TargetCount returns the number of known targets.
func (v *View) TargetCount() int { return len(v.targets) }

// BalancerCount returns the number of other known balancers.
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
	if t, known := v.targets[ip]; known {
		return t.Zone, true
	}
	return v.ZoneOf(ip)
}

// EligiblePeers returns the other eligible balancers of a zone, in no particular order.
func (v *View) EligiblePeers(now time.Time, zone flow.Tag) []*Peer {
	var out []*Peer
	for _, p := range v.peers {
		if p.Zone == zone && p.eligible(now) {
			out = append(out, p)
		}
	}
	return out
}

// BalancersByZone returns the addresses of the other balancers in a zone, and of those in
// all other zones.
func (v *View) BalancersByZone(zone flow.Tag) (inZone, others []flow.IPv4) {
	return partition(v.Balancers(), func(ip flow.IPv4) bool { return v.peers[ip].Zone == zone })
}

// TargetsByZone returns the addresses of the targets in a zone, and of those in all other
// zones.
func (v *View) TargetsByZone(zone flow.Tag) (inZone, others []flow.IPv4) {
	return partition(v.Targets(), func(ip flow.IPv4) bool { return v.targets[ip].Zone == zone })
}

// FirstTarget returns the lowest address of the targets that satisfy a predicate. It scans without
// sorting, because it runs over all targets at each check whether a flow has ended.
func (v *View) FirstTarget(holds func(*Target) bool) (first flow.IPv4, found bool) {
	for ip, t := range v.targets {
		if (!found || ip < first) && holds(t) {
			first, found = ip, true
		}
	}
	return first, found
}

// partition splits a list into the elements that satisfy a predicate and the others.
func partition(list []flow.IPv4, first func(flow.IPv4) bool) (yes, no []flow.IPv4) {
	for _, ip := range list {
		if first(ip) {
			yes = append(yes, ip)
		} else {
			no = append(no, ip)
		}
	}
	return yes, no
}

// keys returns the sorted addresses, so that a run with the same seed is reproducible.
func keys[V any](m map[flow.IPv4]V) []flow.IPv4 { return sortedKeys(m) }

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// Generation returns a counter that increases each time a target becomes one that may hold
// flows. A search that began in some generation probes all targets of it; if none of them
// holds the flow, only targets of later generations can.
func (v *View) Generation() uint32 { return v.generation }

// KnownNodes returns the known nodes. It omits overdue agents whose target is gone, which no
// other node needs.
func (v *View) KnownNodes(now time.Time) NodeList {
	n := NodeList{Balancers: v.Balancers()}
	for _, ip := range v.Targets() {
		switch t := v.targets[ip]; {
		case t.State != Gone:
			n.ActiveAgents = append(n.ActiveAgents, ip)
		case !t.Overdue(now):
			n.IdleAgents = append(n.IdleAgents, ip)
		}
	}
	return n
}

// Digest returns a hash of the set of known nodes, independent of their order; self is the
// address of the view's owner. It is compared with every beacon of the zone, so its cost
// depends only on the number of targets that are gone, not on the number of nodes.
func (v *View) Digest(now time.Time, self flow.IPv4) uint32 {
	sum := v.memberDigest ^ memberHash(self, true)
	for ip, t := range v.gone {
		if !t.Overdue(now) {
			sum ^= memberHash(ip, false)
		}
	}
	return sum
}

// updateDigest updates the digest after an announcement of a target. wasCounted states whether the
// target was known and not gone before.
func (v *View) updateDigest(t *Target, wasCounted bool) {
	counted := t.State != Gone
	if counted != wasCounted {
		v.memberDigest ^= memberHash(t.IP, false)
	}
	if counted {
		delete(v.gone, t.IP)
	} else {
		v.gone[t.IP] = t
	}
}

// removeFromDigest removes an expired target from the digest.
func (v *View) removeFromDigest(t *Target) {
	delete(v.gone, t.IP)
	if t.State != Gone {
		v.memberDigest ^= memberHash(t.IP, false)
	}
}

// memberHash returns the contribution of one node to a digest.
func memberHash(ip flow.IPv4, balancer bool) uint32 {
	salt := uint64(1)
	if balancer {
		salt = 2
	}
	return uint32(flow.Score(salt, ip) >> 32)
}

// Change is the effect of a message on a view.
type Change uint8

// The changes.
const (
	// Stale: the message was outdated or a duplicate and was ignored.
	Stale Change = iota
	// Unchanged: nothing changed but measurements and other details.
	Unchanged
	// Joined: the node was not known before, or another process runs at its address.
	Joined
	// Altered: the target's service, TargetIncarnation or state has changed.
	Altered
)

// ApplyAnnouncement applies an agent's announcement and returns its effect.
func (v *View) ApplyAnnouncement(now time.Time, ip flow.IPv4, a Announcement) Change {
	t, known := v.targets[ip]
	if !known {
		t = &Target{IP: ip}
	}
	former, couldHold := t.Announcement, t.MayHoldFlows(now)
	if !t.filter.accept(a.MessageID, t.Overdue(now)) {
		return Stale
	}
	v.targets[ip] = t
	if former.State == Draining && a.State == Ready && a.TargetIncarnation == 0 {
		// A restarted agent finds its target listening before it receives the target's
		// heartbeat. Until then the target keeps its former state.
		a.State = Draining
	}
	t.Announcement, t.LastSeen, t.FlowsSent, t.Unanswered = a, now, 0, false
	v.updateDigest(t, known && former.State != Gone)
	v.recordZone(now, a.Zone)
	t.resetProbes()
	if !known || former.ProcessIncarnation != a.ProcessIncarnation || former.Registration != a.Registration {
		t.RegistrationChangedAt = now
	}
	t.Registered = v.isRegistered(t)
	if !known || former.Service != a.Service {
		v.moveToService(t, former.Service)
	}
	replaced := !known || former.ProcessIncarnation != a.ProcessIncarnation || former.Service != a.Service
	if t.MayHoldFlows(now) && (replaced || former.State == Gone && a.State != Gone || !couldHold) {
		v.markMayHold(t)
	}
	switch {
	case !known || former.ProcessIncarnation != a.ProcessIncarnation:
		return Joined
	case former.Service != a.Service || former.TargetIncarnation != a.TargetIncarnation || former.State != a.State:
		return Altered
	default:
		return Unchanged
	}
}

// markMayHold records that a target may hold flows from now on.
func (v *View) markMayHold(t *Target) {
	v.generation++
	t.MayHoldFlowsFrom = v.generation
}

// moveToService moves a target to the list of its service.
func (v *View) moveToService(t *Target, former flow.ServiceID) {
	v.removeFromService(t, former)
	v.services[t.Service] = append(v.services[t.Service], t)
	v.serviceIDs = slices.SortedFunc(maps.Keys(v.services), flow.ServiceID.Compare)
}

func (v *View) removeFromService(t *Target, id flow.ServiceID) {
	list := v.services[id]
	for i, other := range list {
		if other == t {
			list[i] = list[len(list)-1]
			v.services[id] = list[:len(list)-1]
			break
		}
	}
	if len(v.services[id]) == 0 {
		delete(v.services, id)
		v.serviceIDs = slices.SortedFunc(maps.Keys(v.services), flow.ServiceID.Compare)
	}
}

// ApplyBeacon applies a balancer's beacon and returns its effect.
func (v *View) ApplyBeacon(now time.Time, ip flow.IPv4, m Beacon) Change {
	p, known := v.peers[ip]
	if !known {
		p = &Peer{IP: ip}
	}
	former := p.ProcessIncarnation
	if !p.filter.accept(m.MessageID, overdue(now, p.LastSeen, p.Period, overduePeriods)) {
		return Stale
	}
	if !known {
		v.memberDigest ^= memberHash(ip, true)
	}
	v.peers[ip] = p
	p.Beacon, p.LastSeen = m, now
	v.recordZone(now, m.Zone)
	p.resetProbes()
	if !known || former != m.ProcessIncarnation {
		return Joined
	}
	return Unchanged
}

// NewestConfig returns a balancer with the highest configuration version among the others, and
// that version, if it is higher than the given one.
func (v *View) NewestConfig(above int64) (ip flow.IPv4, version int64, ok bool) {
	for peer, p := range v.peers {
		if p.ConfigVersion > max(above, version) {
			ip, version = peer, p.ConfigVersion
		}
	}
	return ip, version, ip != 0
}

// PreferredConfigSource returns the balancer from which an agent fetches the configuration. Among the
// balancers with the highest version, which must be higher than the given one, it prefers
// those in the agent's zone, then the highest link capacity, then the lowest address.
func (v *View) PreferredConfigSource(above int64, zone flow.Tag) (ip flow.IPv4, version int64, ok bool) {
	best := 0
	for peer, p := range v.peers {
		if p.ConfigVersion <= above || p.ConfigVersion < version {
			continue
		}
		rank := p.preference(zone)
		if p.ConfigVersion > version || rank > best || (rank == best && peer < ip) {
			ip, version, best = peer, p.ConfigVersion, rank
		}
	}
	return ip, version, ip != 0
}

// preference ranks a balancer for a node of a zone: balancers of the zone rank above all
// others, then the one with the higher link capacity.
func (p *Peer) preference(zone flow.Tag) int {
	rank := int(p.LinkMbps)
	if p.Zone == zone {
		rank += math.MaxUint16 + 1
	}
	return rank
}

// NewestConfigCopy returns an agent that holds a copy of the configuration, and its version: the
// highest among the agents that are not overdue and not excluded by except. Among several
// such agents, pick selects one by index, given their number.
func (v *View) NewestConfigCopy(now time.Time, except func(flow.IPv4) bool, pick func(n int) int) (ip flow.IPv4, version int64, ok bool) {
	var copies []flow.IPv4
	for _, target := range v.Targets() {
		t := v.targets[target]
		switch {
		case t.ConfigVersion == 0 || t.Overdue(now) || except(target) || t.ConfigVersion < version:
			continue
		case t.ConfigVersion > version:
			version, copies = t.ConfigVersion, copies[:0]
		}
		copies = append(copies, target)
	}
	if len(copies) == 0 {
		return 0, 0, false
	}
	return copies[pick(len(copies))], version, true
}

// Expire removes the nodes that have not been seen for too long and returns them.
func (v *View) Expire(now time.Time) (targets, balancers []Entry) {
	for ip, t := range v.targets {
		if now.Sub(t.LastSeen) > ExpireAfter {
			v.removeFromService(t, t.Service)
			v.removeFromDigest(t)
			delete(v.targets, ip)
			targets = append(targets, Entry{IP: ip, ProcessIncarnation: t.ProcessIncarnation})
		}
	}
	for ip, p := range v.peers {
		if now.Sub(p.LastSeen) > ExpireAfter {
			delete(v.peers, ip)
			v.memberDigest ^= memberHash(ip, true)
			balancers = append(balancers, Entry{IP: ip, ProcessIncarnation: p.ProcessIncarnation})
		}
	}
	return targets, balancers
}

// HasBalancer reports whether a balancer was seen and has not expired.
func (v *View) HasBalancer(ip flow.IPv4) bool {
	_, ok := v.peers[ip]
	return ok
}

// HasTarget reports whether a target's agent was seen and has not expired.
func (v *View) HasTarget(ip flow.IPv4) bool {
	_, ok := v.targets[ip]
	return ok
}

// Services returns the sorted tags of the services that have targets.
func (v *View) Services() []flow.ServiceID { return v.serviceIDs }
