package directory

import (
	"net/netip"
	"slices"
	"time"
)

// HeartbeatReply is a registrar's answer to a heartbeat.
type HeartbeatReply struct {
	// NeedEntry requests the whole entry, because the directory has none or an
	// older one.
	NeedEntry bool
	// Incarnation and Sequence are those of a newer entry or a claim against the
	// owner, which the owner must exceed; zero if there is none.
	Incarnation Incarnation
	Sequence    uint32
	// PeriodMillis is the heartbeat period that this registrar requests.
	PeriodMillis int64
}

// Heartbeat is the periodic message of a host to its registrars.
type Heartbeat struct {
	Key         netip.AddrPort
	Incarnation Incarnation
	Sequence    uint32
	// Period is the time until the owner's next heartbeat. Its registrars may
	// request different periods; the owner uses the longest and sends it to all.
	Period time.Duration
}

// Heartbeat processes a heartbeat from a host that uses this balancer as a
// registrar.
func (d *Directory) Heartbeat(now time.Time, h Heartbeat) HeartbeatReply {
	r, ok := d.entries[h.Key]
	if !ok {
		return HeartbeatReply{NeedEntry: true}
	}
	received := Entry{Incarnation: h.Incarnation, Sequence: h.Sequence, Status: Alive}
	switch {
	case received.Newer(&r.Entry):
		return HeartbeatReply{NeedEntry: true}
	case r.Entry.Newer(&received):
		return HeartbeatReply{Incarnation: r.Incarnation, Sequence: r.Sequence}
	}
	d.register(now, r, h.Period)
	return HeartbeatReply{PeriodMillis: d.heartbeatPeriod().Milliseconds()}
}

// register records a heartbeat of the owner and its heartbeat period.
func (d *Directory) register(now time.Time, r *record, period time.Duration) {
	r.lastSeen = now
	r.period = min(max(period, d.opts.MinPeriod), d.opts.MaxPeriod)
	if !r.registered {
		r.registered = true
		d.registered++
	}
}

func (d *Directory) deregister(r *record) {
	if r.registered {
		r.registered = false
		d.registered--
	}
}

// heartbeatPeriod returns the heartbeat period at which all hosts registered at
// this balancer together stay within the budget.
func (d *Directory) heartbeatPeriod() time.Duration {
	need := time.Duration(d.registered) * time.Second / time.Duration(d.opts.HeartbeatsPerSecond)
	return min(max(need, d.opts.MinPeriod), d.opts.MaxPeriod)
}

// Deregister ends the registration of a host that chose other registrars.
func (d *Directory) Deregister(key netip.AddrPort) {
	if r, ok := d.entries[key]; ok {
		d.deregister(r)
	}
}

// Tick marks overdue hosts as suspect and timed-out suspects as gone, and removes
// expired tombstones. It returns the number of entries changed.
func (d *Directory) Tick(now time.Time) int {
	changed := 0
	for key, r := range d.entries {
		if key != d.self && d.tickEntry(now, r) {
			changed++
		}
	}
	return changed
}

func (d *Directory) tickEntry(now time.Time, r *record) bool {
	switch r.Status {
	case Alive:
		if !r.registered || now.Sub(r.lastSeen) < d.opts.MissedHeartbeats*r.period {
			return false
		}
		d.deregister(r)
		d.setStatus(now, r, Suspect)
	case Suspect:
		if now.Sub(r.changedAt) < d.opts.SuspicionTimeout {
			return false
		}
		d.setStatus(now, r, Gone)
	default:
		if now.Sub(r.changedAt) < d.opts.TombstoneTTL {
			return false
		}
		d.remove(r)
	}
	return true
}

// Audit checks the next n hosts, in round-robin order, and suspects those without
// a registrar. isRegistrar reports whether this balancer should be a registrar of
// a host. Such a host is suspected when it is not registered here in two or more
// successive audits, of which the first and the last are at least MissedHeartbeats
// times MaxPeriod apart. This detects hosts that failed together with all their
// registrars.
func (d *Directory) Audit(now time.Time, n int, isRegistrar func(*Entry) bool) {
	if len(d.auditQueue) == 0 {
		d.auditQueue = d.hostKeys()
	}
	n = min(n, len(d.auditQueue))
	for _, key := range d.auditQueue[:n] {
		if r, ok := d.entries[key]; ok {
			d.auditEntry(now, r, isRegistrar)
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

func (d *Directory) auditEntry(now time.Time, r *record, isRegistrar func(*Entry) bool) {
	if r.Status != Alive || r.registered || !isRegistrar(&r.Entry) {
		r.orphanSince = time.Time{}
		return
	}
	if r.orphanSince.IsZero() {
		r.orphanSince = now
		return
	}
	if now.Sub(r.orphanSince) >= d.opts.MissedHeartbeats*d.opts.MaxPeriod {
		r.orphanSince = time.Time{}
		d.setStatus(now, r, Suspect)
	}
}

// SuspectPeer marks as suspect a balancer that did not answer an exchange.
func (d *Directory) SuspectPeer(now time.Time, key netip.AddrPort) {
	r, ok := d.entries[key]
	if ok && key != d.self && r.Status == Alive {
		d.setStatus(now, r, Suspect)
	}
}

func (d *Directory) setStatus(now time.Time, r *record, s Status) {
	e := r.Entry
	e.Status = s
	d.put(now, e)
}

// remove deletes an entry from the table and all indexes.
func (d *Directory) remove(r *record) {
	key := r.Key()
	d.deregister(r)
	d.unindexRecord(r)
	l := &d.leaves[leafIndex(key)]
	l.keys = slices.DeleteFunc(l.keys, func(k netip.AddrPort) bool { return k == key })
	d.peers = slices.DeleteFunc(d.peers, func(k netip.AddrPort) bool { return k == key })
	delete(d.entries, key)
}
