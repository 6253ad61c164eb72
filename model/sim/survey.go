package sim

import (
	"github.com/poppywall/poppywall/fleet"
)

// storePage is how many entries the store tells in a call.
const storePage = 200

// Call is a kind of call at the store.
type Call string

// The kinds that the world counts. Reading and watching the configuration is not played.
const (
	CallRegister Call = "register"
	CallRemove   Call = "remove"
	CallSurvey   Call = "survey"
	CallTargets  Call = "targets"
)

// pagesOf is how many calls it takes to read so many entries.
func pagesOf(entries int) int { return max((entries+storePage-1)/storePage, 1) }

// findTargets lets the registry name the first targets.
func (b *Balancer) findTargets() {
	w := b.w
	if !b.Core.NeedsTargets(w.Now) {
		return
	}
	agents := w.registered()
	w.Calls[CallTargets]++
	if len(agents) <= storePage {
		b.Core.TakeSnapshot(w.Now, fleet.SnapshotAt(w.Now, agents))
		return
	}
	w.Calls[CallTargets]++
	own := 0
	for own < len(agents)-storePage && agents[own].IP < b.IP {
		own++
	}
	b.Core.Contact(w.Now, nil, fleet.Addresses(agents[:storePage]))
	b.Core.Contact(w.Now, nil, fleet.Addresses(agents[own:own+storePage]))
}

// survey reads the registry when the core wants to know it, or asks another balancer for
// its reading.
func (b *Balancer) survey() {
	w := b.w
	ask, due := b.Core.SnapshotSources(w.Now)
	if !due {
		return
	}
	for _, ip := range ask {
		if from := w.Balancers[ip]; from.Up && !w.Cut(b.IP, ip) && !w.Cut(ip, b.IP) {
			b.ask(from)
			return
		}
		b.Core.SnapshotFailed(w.Now, ip)
	}
	b.Core.TakeSnapshot(w.Now, b.read())
}

// read reads the registry unless that was done a moment ago.
func (b *Balancer) read() fleet.Snapshot {
	w := b.w
	if b.pace.TryBegin(w.Now) {
		b.surveyed = fleet.SnapshotAt(w.Now, w.registered())
		w.Calls[CallSurvey] += pagesOf(len(b.surveyed.Agents))
	}
	return b.surveyed
}

// ask gets another balancer's reading.
func (b *Balancer) ask(from *Balancer) {
	w, life, asked := b.w, b.life, b.w.Now
	w.Asked[from.IP]++
	w.After(w.Delay(b.IP, from.IP)+w.Jitter(w.Late+1), func() {
		if !from.Up {
			return
		}
		s := from.read()
		began, ended := w.Now.Sub(s.Earliest), w.Now.Sub(s.Latest)
		w.After(w.Delay(from.IP, b.IP)+w.Jitter(w.Late+1), func() {
			if b.Up && b.life == life {
				s.Earliest, s.Latest = asked.Add(-began), w.Now.Add(-ended)
				b.Core.TakeSnapshot(w.Now, s)
			}
		})
	})
}
