package packetfront

import (
	"time"

	"github.com/poppywall/poppywall/flow"
)

// Limits of the packets whose flows no host was found to hold, but which may
// live.
const (
	// maxLimbo bounds them: 600 kB.
	maxLimbo = 512
	// limboTTL is how long one is kept. Its client sends the next copy within
	// 1.6 s.
	limboTTL = 1500 * time.Millisecond
	// limboPause is the pause between searches for one.
	limboPause = 150 * time.Millisecond
)

// limbo keeps the last packet of each flow that no host was found to hold while
// that was not certain, typically right after a restart of everything. The
// search is repeated, so that the client hears at once when it is certain, and
// not after its next retransmission, which may be seconds away.
type limbo struct {
	packets map[flow.Key]lostPacket
}

type lostPacket struct {
	packet      []byte
	since, next time.Time
}

func newLimbo() limbo { return limbo{packets: map[flow.Key]lostPacket{}} }

// keep stores a packet; a full store leaves it to the client's retransmission.
func (l *limbo) keep(now time.Time, key flow.Key, packet []byte) {
	p, known := l.packets[key]
	if !known {
		if len(l.packets) >= maxLimbo {
			return
		}
		p.since = now
		p.packet = append([]byte(nil), packet...)
	}
	p.next = now.Add(limboPause)
	l.packets[key] = p
}

// drop forgets a flow's packet.
func (l *limbo) drop(key flow.Key) { delete(l.packets, key) }

// due returns the flows to be searched for again, in an order that repeats.
func (l *limbo) due(now time.Time) []flow.Key {
	var keys []flow.Key
	for key, p := range l.packets {
		if now.Sub(p.since) > limboTTL {
			delete(l.packets, key)
		} else if !now.Before(p.next) {
			keys = append(keys, key)
		}
	}
	flow.SortKeys(keys)
	return keys
}

// searchAgain searches for the flows whose packets are due.
func (c *Core) searchAgain(now time.Time) {
	if len(c.limbo.packets) == 0 {
		return
	}
	for _, key := range c.limbo.due(now) {
		p := c.limbo.packets[key]
		p.next = now.Add(limboPause)
		c.limbo.packets[key] = p
		c.search(now, key, p.packet, quest{})
	}
}
