package search

import (
	"time"

	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
)

// Limits of the packets that are kept because their way is not known yet.
const (
	// maxKeptFlows and maxKeptPackets bound them: 1.2 MB.
	maxKeptFlows   = 512
	maxKeptPackets = 1024
	// maxFollowers bounds the packets of one flow that wait for the outcome of its
	// search: an end has at most 16 in flight.
	maxFollowers = 15
	// keptTTL is how long a packet of an open flow is kept. Its client sends the
	// next copy within 1.6 s.
	keptTTL = 1500 * time.Millisecond
	// parkTTL is how long a SYN is kept: its client sends the next copy after
	// 200 ms.
	parkTTL = 180 * time.Millisecond
	// keptPause is the pause between searches for a flow that no target was found
	// to hold, ParkPause that between looks whether this balancer knows the
	// configuration and the targets, which takes some 30 ms from its start.
	keptPause = 150 * time.Millisecond
	ParkPause = 20 * time.Millisecond
)

// keptFlows keeps the packets of flows whose way is not known yet: a search for the
// flow is under way, or no target was found to hold it and that is not certain, or
// the balancer has just started and knows no configuration or no target.
//
// The first packet of a flow is the one that is sent along the targets, again
// after a pause, for the client's next retransmission may be seconds away. Those
// that come meanwhile follow it once its target is known: a search visits up to
// all targets of a service, so one for each packet would be most of the traffic
// after a restart of everything.
type keptFlows struct {
	flows map[flow.Key]*keptFlow
	// packets counts all that are kept.
	packets int
}

type keptFlow struct {
	first []byte
	// opening tells that the first packet is a SYN.
	opening   bool
	followers [][]byte
	// since is when the first packet came, next when it is tried again, expires
	// when all are given up.
	since, next, expires time.Time

	// asking tells that a search is under way: the fields up to unsure are its own.
	asking bool
	// visits are the messages that carry the first packet along targets and have not come
	// back, by their number.
	visits map[uint32][]flow.Candidate
	// unasked are the targets to ask after those.
	unasked []flow.Candidate
	// generation is that of the view when the search began.
	generation uint32
	// unsure is set once a target could not say a certain no.
	unsure bool

	// searches counts the searches so far.
	searches int
	// denied tells that all targets have said a certain no that the view had up to
	// the generation deniedUpTo: they are not asked again.
	denied     bool
	deniedUpTo uint32
}

// begin starts a search that asks the targets that may hold the flow in a generation of
// the view.
func (k *keptFlow) begin(generation uint32) {
	k.asking, k.unsure, k.generation = true, false, generation
	k.visits, k.unasked = map[uint32][]flow.Candidate{}, nil
	k.searches++
}

// backward tells whether the next messages ask the likeliest targets last. Each second
// time they do: a packet that is passed on through a VM that has died without a word
// is lost there, and would be again.
func (k *keptFlow) backward() bool { return k.searches%2 == 0 }

// denials tells which targets have denied a flow.
type denials struct {
	any  bool
	upTo uint32
}

// by tells whether a target has denied the flow.
func (d denials) by(now time.Time, h *fleet.Target) bool {
	return d.any && !h.MayHoldSince(now, d.upTo)
}

// denials returns what is known of a flow that may not be kept.
func (k *keptFlow) denials() denials {
	if k == nil {
		return denials{}
	}
	return denials{k.denied, k.deniedUpTo}
}

func newKept() keptFlows { return keptFlows{flows: map[flow.Key]*keptFlow{}} }

// keep stores a flow's first packet, to be tried again at next until its time is
// over. It returns nil when there is no room, and leaves it to the client's
// retransmission then. A SYN is of no use once the client has sent another packet.
func (l *keptFlows) keep(now time.Time, key flow.Key, opening bool, packet []byte, next time.Time, ttl time.Duration) *keptFlow {
	k, known := l.flows[key]
	if known && k.opening && !opening {
		l.drop(key)
		known = false
	}
	if !known {
		if len(l.flows) >= maxKeptFlows || l.packets >= maxKeptPackets {
			return nil
		}
		k = &keptFlow{first: append([]byte(nil), packet...), opening: opening, since: now, expires: now.Add(ttl)}
		l.flows[key] = k
		l.packets++
	}
	k.next, k.asking = next, false
	return k
}

// ask keeps a packet of an open flow for which targets are about to be asked.
func (l *keptFlows) ask(now time.Time, key flow.Key, packet []byte) *keptFlow {
	return l.keep(now, key, false, packet, now.Add(keptPause), keptTTL)
}

// wake lets the flows that all targets have denied be looked at again, unless a target
// is being asked that came since.
func (l *keptFlows) wake(now time.Time) {
	for _, k := range l.flows {
		if k.denied && !k.asking {
			k.next = now
		}
	}
}

// follow keeps a packet of a flow for which targets are being asked, or that all
// have denied, and tells whether it is one.
func (l *keptFlows) follow(key flow.Key, packet []byte) bool {
	k, known := l.flows[key]
	if !known || (!k.asking && !k.denied) {
		return false
	}
	if len(k.followers) < maxFollowers && l.packets < maxKeptPackets {
		k.followers = append(k.followers, append([]byte(nil), packet...))
		l.packets++
	}
	return true
}

// drop forgets a flow and returns the packets that follow its first one.
func (l *keptFlows) drop(key flow.Key) (followers [][]byte) {
	k, known := l.flows[key]
	if !known {
		return nil
	}
	delete(l.flows, key)
	l.packets -= 1 + len(k.followers)
	return k.followers
}

// due returns the flows that are to be tried again, in an order that repeats,
// and forgets those whose time is over.
func (l *keptFlows) due(now time.Time) (keys []flow.Key, expired int) {
	for key, k := range l.flows {
		if now.After(k.expires) {
			l.drop(key)
			expired++
		} else if !now.Before(k.next) {
			keys = append(keys, key)
		}
	}
	flow.SortKeys(keys)
	return keys, expired
}
