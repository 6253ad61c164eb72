package packetfront

import (
	"time"

	"github.com/poppywall/poppywall/flow"
)

// Limits of the packets that are kept because their way is not known yet.
const (
	// maxLimbo bounds them: 600 kB.
	maxLimbo = 512
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

// limbo keeps one packet of each flow whose way is not known yet: no host was
// found to hold the flow and that is not certain, or the balancer has just
// started and knows no configuration or no host. That is typical right after a
// restart of everything. The packet is tried again, for the client's next
// retransmission may be seconds away.
type limbo struct {
	packets map[flow.Key]keptPacket
}

type keptPacket struct {
	packet        []byte
	next, expires time.Time
	// pause is the time between tries.
	pause time.Duration
}

func newLimbo() limbo { return limbo{packets: map[flow.Key]keptPacket{}} }

// keep stores a packet to be tried again after each pause until its time is
// over, and tells whether it is the first of its flow. A full store leaves it to
// the client's retransmission.
func (l *limbo) keep(now time.Time, key flow.Key, packet []byte, pause, ttl time.Duration) (first bool) {
	p, known := l.packets[key]
	if !known {
		if len(l.packets) >= maxLimbo {
			return false
		}
		p.expires = now.Add(ttl)
		p.packet = append([]byte(nil), packet...)
	}
	p.pause, p.next = pause, now.Add(pause)
	l.packets[key] = p
	return !known
}

// drop forgets a flow's packet.
func (l *limbo) drop(key flow.Key) { delete(l.packets, key) }

// due returns the flows whose packets are to be tried again, in an order that
// repeats, and forgets those whose time is over.
func (l *limbo) due(now time.Time) (keys []flow.Key, expired int) {
	for key, p := range l.packets {
		if now.After(p.expires) {
			delete(l.packets, key)
			expired++
		} else if !now.Before(p.next) {
			keys = append(keys, key)
		}
	}
	flow.SortKeys(keys)
	return keys, expired
}

// asked notes that hosts were asked for a kept packet's flow: their answers take
// a while.
func (l *limbo) asked(now time.Time, key flow.Key) {
	if p, known := l.packets[key]; known {
		p.pause, p.next = limboPause, now.Add(limboPause)
		l.packets[key] = p
	}
}

// park keeps a packet that came before the balancer knew its way.
func (c *Core) park(now time.Time, key flow.Key, h *flow.Header, packet []byte, reason Keep) {
	ttl := limboTTL
	if h.IsOpening() {
		ttl = parkTTL
	}
	if c.limbo.keep(now, key, packet, parkPause, ttl) {
		c.events.Kept(key, reason)
	}
}

// retryKept tries the packets that are due once more.
func (c *Core) retryKept(now time.Time) {
	if len(c.limbo.packets) == 0 {
		return
	}
	keys, expired := c.limbo.due(now)
	for range expired {
		c.events.Dropped(DropExpired)
	}
	for _, key := range keys {
		p := c.limbo.packets[key]
		p.next = now.Add(p.pause)
		c.limbo.packets[key] = p
		h, err := c.codec.Decode(p.packet)
		if err != nil {
			// It was decoded when it came; a packet that is none is of no use.
			c.limbo.drop(key)
			continue
		}
		c.route(now, key, &h, p.packet)
	}
}
