package packetfront

import "time"

// The routers give every balancer of a zone the same share of its packets, whatever its
// link. Where a small VM's link is full, packets are lost there, clients send them again,
// and what they send again fills the link: uploads that take 40 ms take seconds, for as
// long as traffic goes on. So a balancer whose link is full leaves the rotation while
// those with much larger links can carry the zone without it.

// Limits of leaving the rotation.
const (
	// fullLink is the part of its link that a balancer sends over, in the mean of
	// meterSpan, at which packets are lost and sent again: crests of four fifths pass, and
	// where clients send again what was lost it is nine tenths.
	fullLink = 0.88
	// largerLink is how many times the link of a balancer is larger than that of one it
	// may stand in for.
	largerLink = 2
	// spareLink is the part of their links that those who stand in may use after it,
	// and the part of its own that a balancer expects to use when it comes back.
	spareLink = 0.5
	// minRotationPause is how long a balancer stays out, and in, unless it is needed: each change
	// of the rotation moves nearly all flows of the zone to other balancers, which have to
	// search for them, some 50 requests late in a zone of 400 a second.
	minRotationPause = 10 * time.Second
	// meterSpan is how long the link has to be full, in spans of tickPeriod: two seconds.
	meterSpan = 20
	// frameBytes is what a datagram takes on the link beside its data.
	frameBytes = 28
)

// rotation decides whether the balancer takes part.
type rotation struct {
	// sent are the bytes of the last meterSpan spans of tickPeriod, and at next those of the
	// present one, which do not count yet.
	sent [meterSpan + 1]int
	next int
	// nextSpanAt is when the next span begins.
	nextSpanAt time.Time
	// standby is set while the balancer is out; since is when that changed last.
	standby bool
	since   time.Time
}

// count notes a datagram.
func (r *rotation) count(bytes int) { r.sent[r.next] += bytes + frameBytes }

// advance begins another span when the present one is over, and tells whether it did.
func (r *rotation) advance(now time.Time) bool {
	if now.Before(r.nextSpanAt) {
		return false
	}
	r.nextSpanAt = now.Add(tickPeriod)
	r.next = (r.next + 1) % len(r.sent)
	r.sent[r.next] = 0
	return true
}

// mbps is what was sent in the mean of meterSpan, in Mbit/s.
func (r *rotation) mbps() float64 {
	sum := 0
	for i, bytes := range r.sent {
		if i != r.next {
			sum += bytes
		}
	}
	return float64(sum) * 8 / 1e6 / (meterSpan * tickPeriod).Seconds()
}

// zoneLinks is what a balancer knows of those of its zone.
type zoneLinks struct {
	// nodes counts them, itself included, inRotation the others in rotation.
	nodes, inRotation int
	// larger are the links of those in rotation that may stand in, Mbit/s; least is the
	// smallest of them.
	larger int
	least  float64
	// mbps is what all in the zone send.
	mbps float64
	// mayLeave tells that the balancer is one of the weaker half.
	mayLeave bool
}

// sumZoneLinks looks at the balancers of the own zone.
func (c *Core) sumZoneLinks(now time.Time) zoneLinks {
	own := c.opts.LinkMbps
	z := zoneLinks{nodes: 1, mbps: c.rotation.mbps()}
	weaker := 0
	for _, p := range c.view.EligiblePeers(now, c.opts.Zone) {
		z.nodes++
		z.mbps += float64(p.SentMbps)
		link := float64(p.LinkMbps)
		if link < own || (link == own && p.IP < c.opts.Self) {
			weaker++
		}
		if !p.InRotation {
			continue
		}
		z.inRotation++
		if link >= largerLink*own {
			if z.larger++; z.larger == 1 || link < z.least {
				z.least = link
			}
		}
	}
	z.mayLeave = weaker < z.nodes/2
	return z
}

// largerCanCarry tells whether the larger ones alone can carry the zone, and the routers would
// leave it to them: with fewer than half of a zone's balancers they use all.
func (z *zoneLinks) largerCanCarry() bool {
	return z.larger > 0 && 2*z.inRotation >= z.nodes && z.mbps/float64(z.larger) <= spareLink*z.least
}

// updateRotation decides at each tick whether the balancer stays in rotation.
func (c *Core) updateRotation(now time.Time) {
	r := &c.rotation
	if !r.advance(now) || c.opts.LinkMbps <= 0 {
		return
	}
	mbps := r.mbps()
	if !r.standby && (mbps < fullLink*c.opts.LinkMbps || now.Sub(r.since) < minRotationPause) {
		return
	}
	z := c.sumZoneLinks(now)
	standsBy := z.mayLeave && z.largerCanCarry()
	if r.standby && now.Sub(r.since) >= minRotationPause {
		share := z.mbps / float64(z.inRotation+1)
		standsBy = standsBy && share > spareLink*c.opts.LinkMbps
	}
	if standsBy == r.standby {
		return
	}
	r.standby, r.since = standsBy, now
	c.events.RotationChanged(standsBy, mbps, z.mbps, z.inRotation)
	c.sendBeacons(now, c.view.Balancers())
}
