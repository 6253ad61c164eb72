package directory

import (
	"math/bits"
	"math/rand/v2"
	"net/netip"
	"slices"
)

// goneOdds is how rarely, one in so many, an exchange tries a balancer that is
// taken for gone: it heals a partition in which each side gave the other up.
const goneOdds = 8

// Peer picks a random other balancer to exchange with; a suspect one counts,
// for the exchange may bring its refutation.
func (d *Directory) Peer(rnd *rand.Rand) (Entry, bool) {
	worst := Suspect
	if rnd.IntN(goneOdds) == 0 {
		worst = Gone
	}
	if len(d.peers) == 0 {
		return Entry{}, false
	}
	// The first fit from a random place on; a run of misfits favours the one
	// after it a little, which does no harm.
	start := rnd.IntN(len(d.peers))
	for i := range d.peers {
		r := d.entries[d.peers[(start+i)%len(d.peers)]]
		if r.Status <= worst {
			return r.Entry, true
		}
	}
	return Entry{}, false
}

// Rumours returns changes to pass on in one message and counts them as passed.
// Those that the receiver just sent are left out.
func (d *Directory) Rumours(received []Entry) []Entry {
	limit := d.opts.RumourFactor * bits.Len(uint(len(d.Balancers())))
	known := make(map[netip.AddrPort]struct{}, len(received))
	for i := range received {
		known[received[i].Key()] = struct{}{}
	}
	var out []Entry
	var again []netip.AddrPort
	taken := 0
	for _, key := range d.hot {
		if len(out) == d.opts.MaxRumours {
			break
		}
		taken++
		r, ok := d.entries[key]
		if !ok {
			continue
		}
		if _, skip := known[key]; r.hot && !skip {
			out = append(out, r.Entry)
			r.spread++
			r.hot = r.spread < limit
		}
		r.queued = r.hot
		if r.hot {
			again = append(again, key)
		}
	}
	// To the end of the queue, so that a long one is served in turn.
	d.hot = append(d.hot[taken:], again...)
	return out
}

// Feedback tells which of the passed entries were news to the receiver, by
// index. A change that enough receivers knew already is passed on no more.
func (d *Directory) Feedback(passed []Entry, news []int) {
	for i := range passed {
		r, ok := d.entries[passed[i].Key()]
		if !ok || r.Sequence != passed[i].Sequence || slices.Contains(news, i) {
			continue
		}
		r.useless++
		if r.useless >= d.opts.MaxUseless {
			r.hot = false
		}
	}
}
