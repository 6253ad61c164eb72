package search

import (
	"maps"
	"slices"
	"time"

	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
)

// Limits of the buffer for packets that cannot be forwarded yet.
const (
	// maxBufferedFlows and maxBufferedPackets bound the buffer to 1.2 MB.
	maxBufferedFlows   = 512
	maxBufferedPackets = 1024
	// maxFollowingPackets bounds the packets of one flow that wait for the result of its
	// search: an endpoint has at most 16 in flight.
	maxFollowingPackets = 15
	// bufferTTL is how long a packet of an open flow is buffered. Its client retransmits
	// within 1.6 s.
	bufferTTL = 1500 * time.Millisecond
	// synBufferTTL is how long a SYN is buffered: its client retransmits after 200 ms.
	synBufferTTL = 180 * time.Millisecond
	// searchRetryInterval is the pause between searches for a flow that was not found.
	searchRetryInterval = 150 * time.Millisecond
	// BufferRetryInterval is the pause between the tries to route a buffered packet: a balancer has
	// its configuration and targets some 30 ms after its start.
	BufferRetryInterval = 20 * time.Millisecond
)

// flowBuffer holds the packets of flows that cannot be forwarded yet: a search for the flow is
// under way, or a search did not find it but it may still be alive, or the balancer has just
// started and has no configuration or no target.
//
// Only the first packet of a flow is sent to the targets, and sent again after a pause, because
// the client's next retransmission may be seconds away. Later packets are forwarded once the
// target is known: a search may visit all targets of a service, so a search for each packet would
// cause most of the traffic after a restart of all nodes.
type flowBuffer struct {
	flows map[flow.Key]*bufferedFlow
	// packets counts all buffered packets.
	packets int
}

type bufferedFlow struct {
	first []byte
	// firstIsSYN is set if the first packet is a SYN.
	firstIsSYN bool
	following  [][]byte
	// receivedAt is when the first packet came, nextTryAt when to route or search it again,
	// expiresAt when all packets of the flow are dropped.
	receivedAt, nextTryAt, expiresAt time.Time

	// searching is set while a search is under way; the fields up to unsure belong to it.
	searching bool
	// probes holds the targets of each outstanding probe by its ID.
	probes map[uint32][]flow.IPv4
	// notProbed are the targets to probe after these.
	notProbed []flow.IPv4
	// generation is the generation of the view when the search began.
	generation uint32
	// unsure are the targets of probes that returned without certainty that none of these targets
	// holds the flow. They are probed again.
	unsure []flow.IPv4

	// attempts counts the search attempts so far.
	attempts int
	// denied is set once all targets up to deniedGeneration of the view have certainly denied the
	// flow: they are not probed again.
	denied           bool
	deniedGeneration uint32
}

// beginSearch starts a search over the targets that may hold the flow in the given generation
// of the view.
func (b *bufferedFlow) beginSearch(generation uint32) {
	b.searching, b.generation = true, generation
	b.probes, b.notProbed, b.unsure = map[uint32][]flow.IPv4{}, nil, nil
	b.attempts++
}

// outstanding returns the targets of each probe that has not returned, in the order in which the
// probes were sent.
func (b *bufferedFlow) outstanding() [][]flow.IPv4 {
	out := make([][]flow.IPv4, 0, len(b.probes))
	for _, id := range slices.Sorted(maps.Keys(b.probes)) {
		out = append(out, b.probes[id])
	}
	return out
}

// denials describes which targets have denied a flow: if known, all that may have held it up
// to a generation of the view.
type denials struct {
	known      bool
	generation uint32
}

// includes reports whether a target has denied the flow.
func (d denials) includes(now time.Time, t *fleet.Target) bool {
	return d.known && !t.MayHoldFlowsSince(now, d.generation)
}

// denials returns the denials of a flow; b is nil for a flow that is not buffered.
func (b *bufferedFlow) denials() denials {
	if b == nil {
		return denials{}
	}
	return denials{b.denied, b.deniedGeneration}
}

func newFlowBuffer() flowBuffer { return flowBuffer{flows: map[flow.Key]*bufferedFlow{}} }

// add stores a flow's first packet until its TTL expires; it is next tried at nextTryAt. If the
// flow is buffered already, the packet is not stored and the TTL not renewed: only nextTryAt is
// set, and the search ends. A buffered SYN is discarded, and the packet stored in its place, once
// the client has sent a later packet. add returns nil if the buffer is full: the client
// retransmits the packet.
func (fb *flowBuffer) add(now time.Time, key flow.Key, isSYN bool, packet []byte, nextTryAt time.Time, ttl time.Duration) *bufferedFlow {
	b, known := fb.flows[key]
	if known && b.firstIsSYN && !isSYN {
		fb.remove(key)
		known = false
	}
	if !known {
		if len(fb.flows) >= maxBufferedFlows || fb.packets >= maxBufferedPackets {
			return nil
		}
		b = &bufferedFlow{first: append([]byte(nil), packet...), firstIsSYN: isSYN, receivedAt: now, expiresAt: now.Add(ttl)}
		fb.flows[key] = b
		fb.packets++
	}
	b.nextTryAt, b.searching = nextTryAt, false
	return b
}

// addForSearch buffers a packet of an open flow that is about to be searched for.
func (fb *flowBuffer) addForSearch(now time.Time, key flow.Key, packet []byte) *bufferedFlow {
	return fb.add(now, key, false, packet, now.Add(searchRetryInterval), bufferTTL)
}

// retryDenied makes the flows that all targets have denied due now, except those for which targets
// that joined later are being probed.
func (fb *flowBuffer) retryDenied(now time.Time) {
	for _, b := range fb.flows {
		if b.denied && !b.searching {
			b.nextTryAt = now
		}
	}
}

// addFollowing buffers a packet behind the first one of its flow, or drops it if a limit is
// reached. It returns false and does neither unless the flow is being searched for or was denied
// by all targets.
func (fb *flowBuffer) addFollowing(key flow.Key, packet []byte) bool {
	b, known := fb.flows[key]
	if !known || (!b.searching && !b.denied) {
		return false
	}
	if len(b.following) < maxFollowingPackets && fb.packets < maxBufferedPackets {
		b.following = append(b.following, append([]byte(nil), packet...))
		fb.packets++
	}
	return true
}

// remove deletes a flow and returns the packets behind its first one.
func (fb *flowBuffer) remove(key flow.Key) (following [][]byte) {
	b, known := fb.flows[key]
	if !known {
		return nil
	}
	delete(fb.flows, key)
	fb.packets -= 1 + len(b.following)
	return b.following
}

// due returns the flows that are due for another try, in a deterministic order, and removes the
// expired ones.
func (fb *flowBuffer) due(now time.Time) (keys []flow.Key, expired int) {
	for key, b := range fb.flows {
		if now.After(b.expiresAt) {
			fb.remove(key)
			expired++
		} else if !now.Before(b.nextTryAt) {
			keys = append(keys, key)
		}
	}
	flow.SortKeys(keys)
	return keys, expired
}
