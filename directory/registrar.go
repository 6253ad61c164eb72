package directory

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// HeartbeatReply tells an owner what it must know to be believed.
type HeartbeatReply struct {
	// NeedEntry asks for the whole entry: it is unknown here or older.
	NeedEntry bool
	// Incarnation and Sequence must be exceeded when a claim stands against
	// the owner; both are zero otherwise.
	Incarnation Incarnation
	Sequence    uint32
	// PeriodMillis is how far apart the owner's heartbeats are to be.
	PeriodMillis int64
}

// Heartbeat takes a sign of life of a host that uses this balancer as a
// registrar.
func (d *Directory) Heartbeat(now time.Time, key netip.AddrPort, inc Incarnation, seq uint32) HeartbeatReply {
	r, ok := d.entries[key]
	if !ok {
		return HeartbeatReply{NeedEntry: true}
	}
	mine := Entry{Incarnation: inc, Sequence: seq, Status: Alive}
	switch {
	case mine.Newer(&r.Entry):
		return HeartbeatReply{NeedEntry: true}
	case r.Entry.Newer(&mine):
		return HeartbeatReply{Incarnation: r.Incarnation, Sequence: r.Sequence}
	}
	d.register(now, r)
	return HeartbeatReply{PeriodMillis: d.period().Milliseconds()}
}

func (d *Directory) register(now time.Time, r *record) {
	r.heardAt = now
	r.period = d.period()
	if !r.registered {
		r.registered = true
		d.registered++
	}
}

func (d *Directory) unregister(r *record) {
	if r.registered {
		r.registered = false
		d.registered--
	}
}

// period is how far apart heartbeats are to be so that all hosts registered
// here together stay within the budget.
func (d *Directory) period() time.Duration {
	need := time.Duration(d.registered) * time.Second / time.Duration(d.opts.HeartbeatsPerSecond)
	return min(max(need, d.opts.MinPeriod), d.opts.MaxPeriod)
}

// Release notes that a host chose other registrars.
func (d *Directory) Release(key netip.AddrPort) {
	if r, ok := d.entries[key]; ok {
		d.unregister(r)
	}
}

// Tick makes suspicions, lets them become final and forgets tombstones. It
// returns how many entries changed.
func (d *Directory) Tick(now time.Time) int {
	changed := 0
	for key, r := range d.entries {
		if key != d.self && d.tickOne(now, r) {
			changed++
		}
	}
	return changed
}

func (d *Directory) tickOne(now time.Time, r *record) bool {
	switch r.Status {
	case Alive:
		if !r.registered || now.Sub(r.heardAt) < d.opts.MissedHeartbeats*max(r.period, d.opts.MinPeriod) {
			return false
		}
		d.unregister(r)
		d.claim(now, r, Suspect)
	case Suspect:
		if now.Sub(r.changedAt) < d.opts.GoneAfter {
			return false
		}
		d.claim(now, r, Gone)
	default:
		if now.Sub(r.changedAt) < d.opts.ForgetAfter {
			return false
		}
		d.forget(r)
	}
	return true
}

// Audit looks at the next n hosts in turn and suspects those that have no
// registrar: this balancer should be one, by mine, but has not heard of them
// over two visits. It catches hosts that died together with all their
// registrars.
func (d *Directory) Audit(now time.Time, n int, mine func(*Entry) bool) {
	if len(d.auditQueue) == 0 {
		d.auditQueue = d.hostKeys()
	}
	n = min(n, len(d.auditQueue))
	for _, key := range d.auditQueue[:n] {
		if r, ok := d.entries[key]; ok {
			d.auditOne(now, r, mine)
		}
	}
	d.auditQueue = d.auditQueue[n:]
}

func (d *Directory) hostKeys() []netip.AddrPort {
	var keys []netip.AddrPort
	for key, r := range d.entries {
		if r.Kind == KindHost {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, netip.AddrPort.Compare)
	return keys
}

func (d *Directory) auditOne(now time.Time, r *record, mine func(*Entry) bool) {
	if r.Status != Alive || r.registered || !mine(&r.Entry) {
		r.orphanSince = time.Time{}
		return
	}
	if r.orphanSince.IsZero() {
		r.orphanSince = now
		return
	}
	if now.Sub(r.orphanSince) >= d.opts.MissedHeartbeats*d.opts.MaxPeriod {
		r.orphanSince = time.Time{}
		d.claim(now, r, Suspect)
	}
}

// SuspectPeer notes that a balancer did not answer an exchange.
func (d *Directory) SuspectPeer(now time.Time, key netip.AddrPort) {
	r, ok := d.entries[key]
	if ok && key != d.self && r.Status == Alive {
		d.claim(now, r, Suspect)
	}
}

func (d *Directory) claim(now time.Time, r *record, s Status) {
	e := r.Entry
	e.Status = s
	d.put(now, e)
}

func (d *Directory) forget(r *record) {
	key := r.Key()
	d.unregister(r)
	d.unindex(r)
	l := &d.leaves[leaf(key)]
	l.keys = slices.DeleteFunc(l.keys, func(k netip.AddrPort) bool { return k == key })
	delete(d.entries, key)
}

// Rank orders candidates by rendezvous hash for an item, best first, and
// returns at most k. Each candidate's place depends only on the pair, so that a
// death moves only the items of the dead one.
func Rank(item string, candidates []Entry, k int) []Entry {
	type scored struct {
		score uint64
		entry Entry
	}
	all := make([]scored, 0, len(candidates))
	for _, c := range candidates {
		all = append(all, scored{xxhash.Sum64String(item + "|" + c.Data.String()), c})
	}
	slices.SortFunc(all, func(a, b scored) int {
		switch {
		case a.score > b.score:
			return -1
		case a.score < b.score:
			return 1
		default:
			return a.entry.Data.Compare(b.entry.Data)
		}
	})
	out := make([]Entry, 0, k)
	for _, s := range all[:min(k, len(all))] {
		out = append(out, s.entry)
	}
	return out
}

// Registrars returns the balancers that a host announces itself to: most in
// its own zone, the last one beyond, so that a zone cut off from the others
// still hears of its hosts and the others hear of the zone.
func Registrars(host string, zone string, balancers []Entry, k int) []Entry {
	near, far := splitZone(zone, balancers)
	wantFar := 1
	if k < 2 || len(far) == 0 {
		wantFar = 0
	}
	out := Rank(host, near, k-wantFar)
	return append(out, Rank(host, far, k-len(out))...)
}

func splitZone(zone string, all []Entry) (near, far []Entry) {
	for _, e := range all {
		if e.Zone == zone {
			near = append(near, e)
			continue
		}
		far = append(far, e)
	}
	return near, far
}
