package sim

import (
	"github.com/poppywall/poppywall/fleet"
)

// storePageSize is the maximum number of entries that one call to the store returns.
const storePageSize = 200

// Call is a kind of call to the store.
type Call string

// The calls that the world counts. Reads and watches of the configuration are not simulated.
const (
	CallRegister Call = "register"
	CallRemove   Call = "remove"
	CallSnapshot Call = "survey"
	CallTargets  Call = "targets"
)

// pageCount returns the number of calls needed to read the given number of entries.
func pageCount(entries int) int { return max((entries+storePageSize-1)/storePageSize, 1) }

// findTargets reads the first targets after the start from the registry: all if they fit in
// one page, otherwise the first page and the page after the balancer's own address.
func (b *Balancer) findTargets() {
	w := b.w
	if !b.Core.NeedsTargets(w.Now) {
		return
	}
	agents := w.registered()
	w.Calls[CallTargets]++
	if len(agents) <= storePageSize {
		b.Core.TakeSnapshot(w.Now, fleet.SnapshotAt(w.Now, agents))
		return
	}
	w.Calls[CallTargets]++
	first := 0
	for first < len(agents)-storePageSize && agents[first].IP < b.IP {
		first++
	}
	b.Core.Contact(w.Now, nil, fleet.Addresses(agents[:storePageSize]))
	b.Core.Contact(w.Now, nil, fleet.Addresses(agents[first:first+storePageSize]))
}

// refreshSnapshot gets a snapshot of the registry if one is due, from another balancer or else
// from the store.
func (b *Balancer) refreshSnapshot() {
	w := b.w
	sources, due := b.Core.SnapshotSources(w.Now)
	if !due {
		return
	}
	for _, ip := range sources {
		if from := w.Balancers[ip]; from.Up && !w.Cut(b.IP, ip) && !w.Cut(ip, b.IP) {
			b.requestSnapshot(from)
			return
		}
		b.Core.SnapshotFailed(w.Now, ip)
	}
	b.Core.TakeSnapshot(w.Now, b.readRegistry())
}

// readRegistry returns a snapshot of the registry: the last one if the pacer allows no new read.
func (b *Balancer) readRegistry() fleet.Snapshot {
	w := b.w
	if b.snapshotPacer.TryBegin(w.Now) {
		b.snapshot = fleet.SnapshotAt(w.Now, w.registered())
		w.Calls[CallSnapshot] += pageCount(len(b.snapshot.Agents))
	}
	return b.snapshot
}

// requestSnapshot fetches a snapshot of the registry from another balancer.
func (b *Balancer) requestSnapshot(from *Balancer) {
	w, generation, requestedAt := b.w, b.generation, b.w.Now
	w.SnapshotRequests[from.IP]++
	w.After(w.Delay(b.IP, from.IP)+w.Jitter(w.MaxExtraDelay+1), func() {
		if !from.Up {
			return
		}
		s := from.readRegistry()
		earliestAge, latestAge := w.Now.Sub(s.Earliest), w.Now.Sub(s.Latest)
		w.After(w.Delay(from.IP, b.IP)+w.Jitter(w.MaxExtraDelay+1), func() {
			if b.Up && b.generation == generation {
				s.Earliest, s.Latest = requestedAt.Add(-earliestAge), w.Now.Add(-latestAge)
				b.Core.TakeSnapshot(w.Now, s)
			}
		})
	})
}
