package directory

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/poppywall/poppywall/route"
)

// Options are the limits and periods of a directory.
type Options struct {
	// MinPeriod and MaxPeriod bound the heartbeat period. HeartbeatsPerSecond
	// is the heartbeat rate budget shared by all hosts registered at one
	// balancer.
	MinPeriod, MaxPeriod time.Duration
	HeartbeatsPerSecond  int
	// MissedHeartbeats is the number of periods without a heartbeat after which
	// a registrar suspects a host. It is a count, not a duration.
	MissedHeartbeats time.Duration
	// SuspicionTimeout is how long an entry stays suspect before it becomes gone.
	SuspicionTimeout time.Duration
	// TombstoneTTL is how long a tombstone is kept, so that late copies of the
	// entry cannot restore it.
	TombstoneTTL time.Duration
	// MaxEntries is the maximum size of the table, tombstones included.
	MaxEntries int
	// TransmitFactor times log2 of the number of live balancers is the maximum
	// number of times that a change is sent. A change is no longer sent after
	// MaxRedundant receivers that already had it (Demers et al., PODC 1987).
	TransmitFactor int
	MaxRedundant   int
	// MaxUpdates is the maximum number of gossip updates in one message.
	MaxUpdates int
}

// Defaults returns the options of docs/CAPACITY.md.
func Defaults() Options {
	return Options{
		MinPeriod:           time.Second,
		MaxPeriod:           4 * time.Second,
		HeartbeatsPerSecond: 8,
		MissedHeartbeats:    3,
		SuspicionTimeout:    6 * time.Second,
		TombstoneTTL:        time.Hour,
		MaxEntries:          40000,
		TransmitFactor:      2,
		MaxRedundant:        2,
		MaxUpdates:          128,
	}
}

// record is an entry with its gossip and registration state.
type record struct {
	Entry
	// changedAt is when the entry last changed in this directory.
	changedAt time.Time
	// lastSeen is when the owner last sent a heartbeat to this balancer, or when
	// an entry with status Alive was last stored.
	lastSeen time.Time
	// transmissions counts how often the last change was sent, redundant how
	// often the receiver already had it. pending is set while the change is to
	// be sent again, queued while the key is in updateQueue.
	transmissions, redundant int
	pending, queued          bool
	// registered is set while the owner sends its heartbeats to this balancer;
	// period is its heartbeat period.
	registered bool
	period     time.Duration
	// orphanSince is when an audit first found the host without a registrar;
	// zero if it has one.
	orphanSince time.Time
}

// Directory is one balancer's membership table. It is not safe for concurrent
// use; callers hold a lock.
type Directory struct {
	opts    Options
	self    netip.AddrPort
	entries map[netip.AddrPort]*record
	leaves  [digestLeaves]digestLeaf
	// updateQueue holds the keys of changes that are still to be sent.
	updateQueue []netip.AddrPort
	// byService maps a service to the ready slots of each host that offers it.
	byService map[route.ServiceID]map[netip.AddrPort]uint16
	// dirty holds the services whose hosts changed since the last call of
	// TakeDirtyServices.
	dirty map[route.ServiceID]struct{}
	// peers lists the keys of all other balancers. liveBalancers caches the
	// entries of the live ones, this one included. Callers of Balancers share
	// the slice, so it is replaced and never modified.
	peers         []netip.AddrPort
	liveBalancers []Entry
	// registered counts the hosts that send their heartbeats to this balancer.
	registered int
	// rejected counts the entries refused because the table was full.
	rejected int
	// auditQueue holds the hosts not yet checked in the current audit round.
	auditQueue []netip.AddrPort
}

// digestLeaf holds the keys of one leaf and the XOR of their entries' hashes.
type digestLeaf struct {
	sum  uint64
	keys []netip.AddrPort
}

// New returns a directory that holds only self, the entry of the balancer that
// keeps the directory.
func New(opts Options, self Entry, now time.Time) *Directory {
	d := &Directory{
		opts:      opts,
		self:      self.Key(),
		entries:   map[netip.AddrPort]*record{},
		byService: map[route.ServiceID]map[netip.AddrPort]uint16{},
		dirty:     map[route.ServiceID]struct{}{},
	}
	d.put(now, self)
	return d
}

// Len returns the number of entries, tombstones included.
func (d *Directory) Len() int { return len(d.entries) }

// Rejected returns how many entries were refused because the table was full.
func (d *Directory) Rejected() int { return d.rejected }

// Get returns the entry of a key.
func (d *Directory) Get(key netip.AddrPort) (Entry, bool) {
	r, ok := d.entries[key]
	if !ok {
		return Entry{}, false
	}
	return r.Entry, true
}

// Self returns this balancer's own entry.
func (d *Directory) Self() Entry { return d.entries[d.self].Entry }

// Merge applies entries received from other nodes and returns the indexes of
// those that changed the directory. A claim against this balancer is refuted at
// once.
func (d *Directory) Merge(now time.Time, entries []Entry) []int {
	var changed []int
	for i := range entries {
		if d.merge(now, entries[i]) {
			changed = append(changed, i)
		}
	}
	return changed
}

func (d *Directory) merge(now time.Time, e Entry) bool {
	if e.Key() == d.self {
		return d.refute(now, e)
	}
	old, known := d.entries[e.Key()]
	if known && !e.Newer(&old.Entry) {
		return false
	}
	if !known && len(d.entries) >= d.opts.MaxEntries {
		d.rejected++
		return false
	}
	if known && e.Status == Gone && old.Status == Alive {
		// Other balancers declared gone a node that is alive in this directory,
		// as after a partition. It gets the suspicion timeout to refute the claim.
		e.Status = Suspect
	}
	d.put(now, e)
	return true
}

// refute raises the sequence of this balancer's entry above that of a claim about
// it, and reports whether the claim was newer than the entry.
func (d *Directory) refute(now time.Time, claim Entry) bool {
	own := d.entries[d.self].Entry
	if !claim.Newer(&own) {
		return false
	}
	own.Incarnation = max(own.Incarnation, claim.Incarnation)
	own.Sequence = claim.Sequence + 1
	d.put(now, own)
	return true
}

// UpdateSelf applies change to this balancer's entry and increments its sequence.
func (d *Directory) UpdateSelf(now time.Time, change func(*Entry)) {
	own := d.entries[d.self].Entry
	change(&own)
	own.Sequence++
	d.put(now, own)
}

// put stores an entry, updates the indexes and queues the change for gossip.
func (d *Directory) put(now time.Time, e Entry) {
	key := e.Key()
	r, ok := d.entries[key]
	if !ok {
		r = &record{}
		d.entries[key] = r
		l := &d.leaves[leafIndex(key)]
		l.keys = append(l.keys, key)
		if e.Kind == KindBalancer && key != d.self {
			d.peers = append(d.peers, key)
		}
	}
	d.unindexRecord(r)
	r.Entry, r.changedAt = e, now
	r.transmissions, r.redundant, r.pending = 0, 0, true
	if r.lastSeen.IsZero() || e.Status == Alive {
		r.lastSeen = now
	}
	d.indexRecord(r)
	if !r.queued {
		r.queued = true
		d.updateQueue = append(d.updateQueue, key)
	}
}

// unindexRecord removes an entry from the digest sums and the service index.
func (d *Directory) unindexRecord(r *record) {
	if r.Incarnation == 0 && r.Sequence == 0 && r.Status == 0 {
		return
	}
	d.leaves[leafIndex(r.Key())].sum ^= r.hash()
	if r.Kind == KindBalancer {
		d.liveBalancers = nil
	}
	for _, o := range r.Offers {
		delete(d.byService[o.Service], r.Key())
		d.dirty[o.Service] = struct{}{}
	}
}

// indexRecord adds an entry to the digest sums and, if it is a usable host, to
// the service index.
func (d *Directory) indexRecord(r *record) {
	d.leaves[leafIndex(r.Key())].sum ^= r.hash()
	if r.Kind == KindBalancer {
		d.liveBalancers = nil
	}
	if r.Kind != KindHost || !r.Usable() {
		return
	}
	for _, o := range r.Offers {
		d.addOffer(o, r.Key())
	}
}

func (d *Directory) addOffer(o Offer, key netip.AddrPort) {
	hosts := d.byService[o.Service]
	if hosts == nil {
		hosts = map[netip.AddrPort]uint16{}
		d.byService[o.Service] = hosts
	}
	if o.Slots > 0 {
		hosts[key] = o.Slots
	}
	d.dirty[o.Service] = struct{}{}
}

// TakeDirtyServices returns the services whose hosts changed since the last call,
// in order of their IDs.
func (d *Directory) TakeDirtyServices() []route.ServiceID {
	out := make([]route.ServiceID, 0, len(d.dirty))
	for id := range d.dirty {
		out = append(out, id)
	}
	clear(d.dirty)
	slices.Sort(out)
	return out
}

// ServiceHost is a usable host of a service.
type ServiceHost struct {
	Addr  netip.AddrPort
	Zone  string
	Slots uint16
}

// Hosts returns the usable hosts of a service that have ready slots, in address
// order.
func (d *Directory) Hosts(id route.ServiceID) []ServiceHost {
	var out []ServiceHost
	for key, slots := range d.byService[id] {
		out = append(out, ServiceHost{Addr: key, Zone: d.entries[key].Zone, Slots: slots})
	}
	slices.SortFunc(out, func(a, b ServiceHost) int { return a.Addr.Compare(b.Addr) })
	return out
}

// Balancers returns the entries of live balancers in address order, this one
// included. Callers must not change the slice.
func (d *Directory) Balancers() []Entry {
	if d.liveBalancers != nil {
		return d.liveBalancers
	}
	out := make([]Entry, 0, len(d.peers)+1)
	for _, key := range append([]netip.AddrPort{d.self}, d.peers...) {
		if r := d.entries[key]; r.Status == Alive {
			out = append(out, r.Entry)
		}
	}
	slices.SortFunc(out, func(a, b Entry) int { return a.Data.Compare(b.Data) })
	d.liveBalancers = out
	return out
}

// All returns every entry in key order, tombstones included.
func (d *Directory) All() []Entry {
	out := make([]Entry, 0, len(d.entries))
	for _, r := range d.entries {
		out = append(out, r.Entry)
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Compare(a.Data.String(), b.Data.String()) })
	return out
}
