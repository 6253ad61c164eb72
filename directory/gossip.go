package directory

import (
	"math/bits"
	"math/rand/v2"
	"net/netip"
	"slices"
)

// gonePeerOdds makes one in gonePeerOdds exchanges, on average, eligible to choose
// a balancer marked gone. This heals a partition after which each side has marked
// the other gone.
const gonePeerOdds = 8

// RandomPeer returns a random other balancer to exchange with. It may be suspect,
// as the exchange may bring its refutation.
func (d *Directory) RandomPeer(rnd *rand.Rand) (Entry, bool) {
	maxStatus := Suspect
	if rnd.IntN(gonePeerOdds) == 0 {
		maxStatus = Gone
	}
	if len(d.peers) == 0 {
		return Entry{}, false
	}
	// The first eligible peer from a random index on. A peer that follows a run
	// of ineligible ones is chosen slightly more often, which is harmless.
	start := rnd.IntN(len(d.peers))
	for i := range d.peers {
		r := d.entries[d.peers[(start+i)%len(d.peers)]]
		if r.Status <= maxStatus {
			return r.Entry, true
		}
	}
	return Entry{}, false
}

// PendingUpdates returns the gossip updates for one message and counts them as
// sent. Entries that were just received from the same peer are left out.
func (d *Directory) PendingUpdates(received []Entry) []Entry {
	maxTransmissions := d.opts.TransmitFactor * bits.Len(uint(len(d.Balancers())))
	known := make(map[netip.AddrPort]struct{}, len(received))
	for i := range received {
		known[received[i].Key()] = struct{}{}
	}
	var out []Entry
	var requeue []netip.AddrPort
	dequeued := 0
	for _, key := range d.updateQueue {
		if len(out) == d.opts.MaxUpdates {
			break
		}
		dequeued++
		r, ok := d.entries[key]
		if !ok {
			continue
		}
		if _, skip := known[key]; r.pending && !skip {
			out = append(out, r.Entry)
			r.transmissions++
			r.pending = r.transmissions < maxTransmissions
		}
		r.queued = r.pending
		if r.pending {
			requeue = append(requeue, key)
		}
	}
	// Requeued at the end, so that all changes of a long queue get their turn.
	d.updateQueue = append(d.updateQueue[dequeued:], requeue...)
	return out
}

// AcknowledgeUpdates records the receiver's reply to sent gossip updates; accepted
// holds the indexes of those that were new to it. A change that
// Options.MaxRedundant receivers already had is no longer sent.
func (d *Directory) AcknowledgeUpdates(sent []Entry, accepted []int) {
	for i := range sent {
		r, ok := d.entries[sent[i].Key()]
		if !ok || r.Sequence != sent[i].Sequence || slices.Contains(accepted, i) {
			continue
		}
		r.redundant++
		if r.redundant >= d.opts.MaxRedundant {
			r.pending = false
		}
	}
}
