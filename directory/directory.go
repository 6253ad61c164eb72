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
	// MinPeriod and MaxPeriod bound the period of heartbeats;
	// HeartbeatsPerSecond is the budget that all hosts registered at one
	// balancer share.
	MinPeriod, MaxPeriod time.Duration
	HeartbeatsPerSecond  int
	// MissedHeartbeats is how many periods a registrar waits in silence.
	MissedHeartbeats time.Duration
	// GoneAfter is how long a suspicion stands before the entry is gone.
	GoneAfter time.Duration
	// ForgetAfter is how long a tombstone is kept against late copies.
	ForgetAfter time.Duration
	// MaxEntries bounds the table, tombstones included.
	MaxEntries int
	// RumourFactor times log2 of the balancers is how often a change is passed
	// on at the most; after MaxUseless receivers that knew it already it is
	// passed on no more (Demers et al., PODC 1987).
	RumourFactor int
	MaxUseless   int
	// MaxRumours bounds the entries in one message.
	MaxRumours int
}

// Defaults returns the options of docs/CAPACITY.md.
func Defaults() Options {
	return Options{
		MinPeriod:           time.Second,
		MaxPeriod:           4 * time.Second,
		HeartbeatsPerSecond: 8,
		MissedHeartbeats:    3,
		GoneAfter:           6 * time.Second,
		ForgetAfter:         time.Hour,
		MaxEntries:          40000,
		RumourFactor:        2,
		MaxUseless:          2,
		MaxRumours:          128,
	}
}

type record struct {
	Entry
	// changedAt is when the entry last changed here.
	changedAt time.Time
	// heardAt is when this balancer, as a registrar, last heard the owner.
	heardAt time.Time
	// spread counts how often this change was passed on, useless how often the
	// receiver knew it already. hot tells that it is still passed on, queued
	// that its key is in the queue.
	spread, useless int
	hot, queued     bool
	// registered tells that the owner sends its heartbeats here, period how
	// far apart.
	registered bool
	period     time.Duration
	// orphanSince is when an audit first found no registrar.
	orphanSince time.Time
}

// Directory is one balancer's view. It is not safe for concurrent use; its
// owner holds a lock.
type Directory struct {
	opts    Options
	self    netip.AddrPort
	entries map[netip.AddrPort]*record
	leaves  [digestLeaves]leafState
	// hot is the queue of changes still to be passed on.
	hot []netip.AddrPort
	// byService lists hosts that offer a service.
	byService map[route.ServiceID]map[netip.AddrPort]uint16
	dirty     map[route.ServiceID]struct{}
	// peers lists the keys of all other balancers; live caches the entries of
	// the live ones and is replaced whole, never changed, while others read it.
	peers []netip.AddrPort
	live  []Entry
	// registered counts the hosts that send their heartbeats here.
	registered int
	rejected   int
	// auditQueue is what is left of the current audit round.
	auditQueue []netip.AddrPort
}

type leafState struct {
	sum  uint64
	keys []netip.AddrPort
}

// New returns a directory that knows only its owner.
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

// Self returns the owner's own entry.
func (d *Directory) Self() Entry { return d.entries[d.self].Entry }

// Merge takes entries heard from others and returns which were news, by index.
// A claim against the owner itself is refuted at once.
func (d *Directory) Merge(now time.Time, entries []Entry) []int {
	var news []int
	for i := range entries {
		if d.merge(now, entries[i]) {
			news = append(news, i)
		}
	}
	return news
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
		// Others gave up on an owner that looks alive from here, as after a
		// partition. It gets the time of a suspicion to refute the claim.
		e.Status = Suspect
	}
	d.put(now, e)
	return true
}

// refute answers a claim about the owner with its next sequence.
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

// UpdateSelf changes the owner's entry and gives it the next sequence.
func (d *Directory) UpdateSelf(now time.Time, change func(*Entry)) {
	own := d.entries[d.self].Entry
	change(&own)
	own.Sequence++
	d.put(now, own)
}

func (d *Directory) put(now time.Time, e Entry) {
	key := e.Key()
	r, ok := d.entries[key]
	if !ok {
		r = &record{}
		d.entries[key] = r
		l := &d.leaves[leaf(key)]
		l.keys = append(l.keys, key)
		if e.Kind == KindBalancer && key != d.self {
			d.peers = append(d.peers, key)
		}
	}
	d.unindex(r)
	r.Entry, r.changedAt = e, now
	r.spread, r.useless, r.hot = 0, 0, true
	if r.heardAt.IsZero() || e.Status == Alive {
		r.heardAt = now
	}
	d.indexRecord(r)
	if !r.queued {
		r.queued = true
		d.hot = append(d.hot, key)
	}
}

// unindex removes what an entry contributed to sums and service lists.
func (d *Directory) unindex(r *record) {
	if r.Incarnation == 0 && r.Sequence == 0 && r.Status == 0 {
		return
	}
	d.leaves[leaf(r.Key())].sum ^= r.hash()
	if r.Kind == KindBalancer {
		d.live = nil
	}
	for _, o := range r.Offers {
		delete(d.byService[o.Service], r.Key())
		d.dirty[o.Service] = struct{}{}
	}
}

func (d *Directory) indexRecord(r *record) {
	d.leaves[leaf(r.Key())].sum ^= r.hash()
	if r.Kind == KindBalancer {
		d.live = nil
	}
	if r.Kind != KindHost || !r.Usable() {
		return
	}
	for _, o := range r.Offers {
		d.offer(o, r.Key())
	}
}

func (d *Directory) offer(o Offer, key netip.AddrPort) {
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

// Dirty returns the services whose hosts changed since the last call.
func (d *Directory) Dirty() []route.ServiceID {
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

// Hosts returns the usable hosts of a service in address order.
func (d *Directory) Hosts(id route.ServiceID) []ServiceHost {
	var out []ServiceHost
	for key, slots := range d.byService[id] {
		out = append(out, ServiceHost{Addr: key, Zone: d.entries[key].Zone, Slots: slots})
	}
	slices.SortFunc(out, func(a, b ServiceHost) int { return a.Addr.Compare(b.Addr) })
	return out
}

// Balancers returns the entries of live balancers in address order, the owner
// included. Callers must not change the slice.
func (d *Directory) Balancers() []Entry {
	if d.live != nil {
		return d.live
	}
	out := make([]Entry, 0, len(d.peers)+1)
	for _, key := range append([]netip.AddrPort{d.self}, d.peers...) {
		if r := d.entries[key]; r.Status == Alive {
			out = append(out, r.Entry)
		}
	}
	slices.SortFunc(out, func(a, b Entry) int { return a.Data.Compare(b.Data) })
	d.live = out
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
