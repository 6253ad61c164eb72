package directory

import (
	"net/netip"
	"slices"
	"time"
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

// Heartbeat is an owner's sign of life.
type Heartbeat struct {
	Key         netip.AddrPort
	Incarnation Incarnation
	Sequence    uint32
	// Period is when the owner means to come again. Its registrars ask for
	// different periods; the owner follows the longest and says so to all.
	Period time.Duration
}

// Heartbeat takes a sign of life of a host that uses this balancer as a
// registrar.
func (d *Directory) Heartbeat(now time.Time, h Heartbeat) HeartbeatReply {
	r, ok := d.entries[h.Key]
	if !ok {
		return HeartbeatReply{NeedEntry: true}
	}
	mine := Entry{Incarnation: h.Incarnation, Sequence: h.Sequence, Status: Alive}
	switch {
	case mine.Newer(&r.Entry):
		return HeartbeatReply{NeedEntry: true}
	case r.Entry.Newer(&mine):
		return HeartbeatReply{Incarnation: r.Incarnation, Sequence: r.Sequence}
	}
	d.register(now, r, h.Period)
	return HeartbeatReply{PeriodMillis: d.period().Milliseconds()}
}

func (d *Directory) register(now time.Time, r *record, period time.Duration) {
	r.heardAt = now
	r.period = min(max(period, d.opts.MinPeriod), d.opts.MaxPeriod)
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
		if !r.registered || now.Sub(r.heardAt) < d.opts.MissedHeartbeats*r.period {
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
	d.peers = slices.DeleteFunc(d.peers, func(k netip.AddrPort) bool { return k == key })
	delete(d.entries, key)
}
