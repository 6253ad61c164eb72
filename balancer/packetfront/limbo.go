package packetfront

import (
	"time"

	"github.com/poppywall/poppywall/flow"
)

// Limits of the packets that are kept because their way is not known yet.
const (
	// maxLimboFlows and maxLimboPackets bound them: 1.2 MB.
	maxLimboFlows   = 512
	maxLimboPackets = 1024
	// maxFollowers bounds the packets of one flow that wait for the outcome of its
	// search: an end has at most 16 in flight.
	maxFollowers = 15
	// limboTTL is how long a packet of an open flow is kept. Its client sends the
	// next copy within 1.6 s.
	limboTTL = 1500 * time.Millisecond
	// parkTTL is how long a SYN is kept: its client sends the next copy after
	// 200 ms.
	parkTTL = 180 * time.Millisecond
	// limboPause is the pause between searches for a flow that no host was found
	// to hold, parkPause that between looks whether this balancer knows the
	// configuration and the hosts, which takes some 30 ms from its start.
	limboPause = 150 * time.Millisecond
	parkPause  = 20 * time.Millisecond
)

// limbo keeps the packets of flows whose way is not known yet: a search for the
// flow is under way, or no host was found to hold it and that is not certain, or
// the balancer has just started and knows no configuration or no host.
//
// The first packet of a flow is the one that is sent along the hosts, again
// after a pause, for the client's next retransmission may be seconds away. Those
// that come meanwhile follow it once its host is known: a search visits up to
// all hosts of a service, so one for each packet would be most of the traffic
// after a restart of everything.
type limbo struct {
	flows map[flow.Key]*keptFlow
	// packets counts all that are kept.
	packets int
}

type keptFlow struct {
	first     []byte
	followers [][]byte
	// since is when the first packet came, next when it is tried again, expires
	// when all are given up.
	since, next, expires time.Time
	// asking tells that hosts are being asked for the flow, searches how often they
	// were.
	asking   bool
	searches int
	// denied tells that every known host has said a certain no, in the given
	// generation of the view: as long as that is the view, only hosts that are not
	// known can hold the flow, and nobody is asked again.
	denied     bool
	generation uint32
}

// deniedIn tells whether all hosts of a generation of the view have denied the
// flow.
func (k *keptFlow) deniedIn(generation uint32) bool { return k.denied && k.generation == generation }

func newLimbo() limbo { return limbo{flows: map[flow.Key]*keptFlow{}} }

// keep stores a flow's first packet, to be tried again at next until its time is
// over, and tells whether it is new. A full store leaves it to the client's
// retransmission.
func (l *limbo) keep(now time.Time, key flow.Key, packet []byte, next time.Time, ttl time.Duration) (isNew bool) {
	k, known := l.flows[key]
	if !known {
		if len(l.flows) >= maxLimboFlows || l.packets >= maxLimboPackets {
			return false
		}
		k = &keptFlow{first: append([]byte(nil), packet...), since: now, expires: now.Add(ttl)}
		l.flows[key] = k
		l.packets++
	}
	k.next, k.asking = next, false
	return !known
}

// ask notes that hosts are asked for a flow by the given packet.
func (l *limbo) ask(now time.Time, key flow.Key, packet []byte) {
	l.keep(now, key, packet, now.Add(limboPause), limboTTL)
	if k, known := l.flows[key]; known {
		k.asking = true
		k.searches++
	}
}

// backward tells whether the next search for a flow asks the likeliest hosts
// last. Each second one does: a packet that is passed on through a VM that has
// died without a word is lost there, and would be again.
func (l *limbo) backward(key flow.Key) bool {
	k, known := l.flows[key]
	return known && k.searches%2 == 1
}

// since is when the first packet of a flow came; now for one that is not kept.
func (l *limbo) since(now time.Time, key flow.Key) time.Time {
	if k, known := l.flows[key]; known {
		return k.since
	}
	return now
}

// wake lets the flows that all hosts have denied be looked at again.
func (l *limbo) wake(now time.Time) {
	for _, k := range l.flows {
		if k.denied {
			k.next = now
		}
	}
}

// denied notes that every host of a generation of the view has denied a flow.
func (l *limbo) denied(key flow.Key, generation uint32) {
	if k, known := l.flows[key]; known {
		k.denied, k.generation = true, generation
	}
}

// follow keeps a packet of a flow for which hosts are being asked, or of one that
// all hosts of the present view have denied, and tells whether it is one.
func (l *limbo) follow(key flow.Key, packet []byte, generation uint32) bool {
	k, known := l.flows[key]
	if !known || (!k.asking && !k.deniedIn(generation)) {
		return false
	}
	if len(k.followers) < maxFollowers && l.packets < maxLimboPackets {
		k.followers = append(k.followers, append([]byte(nil), packet...))
		l.packets++
	}
	return true
}

// drop forgets a flow and returns the packets that follow its first one.
func (l *limbo) drop(key flow.Key) (followers [][]byte) {
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
func (l *limbo) due(now time.Time) (keys []flow.Key, expired int) {
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

// park keeps a packet that came before the balancer knew its way.
func (c *Core) park(now time.Time, key flow.Key, h *flow.Header, packet []byte, reason Keep) {
	ttl := limboTTL
	if h.IsOpening() {
		ttl = parkTTL
	}
	if c.limbo.keep(now, key, packet, now.Add(parkPause), ttl) {
		c.events.Kept(key, reason)
	}
}

// release sends the packets that waited for a flow's host.
func (c *Core) release(key flow.Key, host flow.IPv4) {
	for _, packet := range c.limbo.drop(key) {
		c.direct(key, host, packet)
	}
}

// retryKept tries the packets that are due once more.
func (c *Core) retryKept(now time.Time) {
	if len(c.limbo.flows) == 0 {
		return
	}
	keys, expired := c.limbo.due(now)
	for range expired {
		c.events.Dropped(DropExpired)
	}
	doubt, missing := c.incomplete(now)
	for _, key := range keys {
		k := c.limbo.flows[key]
		k.asking = false
		h, err := c.codec.Decode(k.first)
		switch {
		case err != nil:
			// It was decoded when it came; a packet that is none is of no use.
			c.limbo.drop(key)
		case !k.deniedIn(c.generation()):
			c.route(now, key, &h, k.first)
		case doubt == "" && c.unsurveyed(k.since) == "":
			c.events.Lost(key, 0, doubt, missing)
			c.over(key, &h)
		default:
			k.next = now.Add(limboPause)
		}
	}
}
