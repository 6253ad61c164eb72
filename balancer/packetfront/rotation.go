package packetfront

import "time"

// The routers give every balancer in rotation in a zone the same share of the packets, whatever
// the capacity of its link. If the link of a small VM is saturated, packets are lost, clients
// retransmit them, and the retransmissions keep the link saturated: as long as that lasts, an
// upload takes seconds instead of 40 ms. Therefore a balancer whose link is full leaves the
// rotation while balancers with much larger links can carry the zone without it.

// Limits of leaving the rotation.
const (
	// fullLinkShare is the utilization of a balancer's link, averaged over meterIntervals, at
	// which packets are lost and retransmitted. Peaks of 0.8 subside by themselves; while
	// clients retransmit lost packets, the utilization is 0.9.
	fullLinkShare = 0.88
	// minLinkRatio is the minimum ratio of a balancer's link to that of a balancer that it may
	// stand in for.
	minLinkRatio = 2
	// maxPlannedLinkShare is the utilization up to which a change of the rotation may load a link:
	// those of the balancers that stand in after this one has left, and its own after it has
	// returned.
	maxPlannedLinkShare = 0.5
	// minRotationPause is the minimum time between changes, except that a balancer that is needed
	// returns at once. Each change of the rotation moves nearly all flows of the zone to other
	// balancers, which have to search for them: in a zone with 400 requests per second, it
	// delays some 50 requests.
	minRotationPause = 10 * time.Second
	// meterIntervals is the number of intervals of tickPeriod over which the rate is averaged:
	// two seconds.
	meterIntervals = 20
	// headerBytes is the size of a datagram's IPv4 and UDP headers.
	headerBytes = 28
)

// rotation decides whether the balancer is in the routers' rotation, by the rate at which it
// sends.
type rotation struct {
	// bytesSent is a ring of the bytes sent in the last meterIntervals intervals, and in the
	// current one, which is not part of the average yet.
	bytesSent       [meterIntervals + 1]int
	currentInterval int
	// nextIntervalAt is when the next interval begins.
	nextIntervalAt time.Time
	// standby is set while the balancer is out of rotation; changedAt is when that last
	// changed.
	standby   bool
	changedAt time.Time
}

// recordSent adds a datagram of the given size, and its headers, to the current interval.
func (r *rotation) recordSent(bytes int) { r.bytesSent[r.currentInterval] += bytes + headerBytes }

// advance begins the next interval if the current one has ended, and reports whether it did.
func (r *rotation) advance(now time.Time) bool {
	if now.Before(r.nextIntervalAt) {
		return false
	}
	r.nextIntervalAt = now.Add(tickPeriod)
	r.currentInterval = (r.currentInterval + 1) % len(r.bytesSent)
	r.bytesSent[r.currentInterval] = 0
	return true
}

// sentMbps returns the rate at which the balancer sent over the last meterIntervals intervals, in
// Mbit/s.
func (r *rotation) sentMbps() float64 {
	sum := 0
	for i, bytes := range r.bytesSent {
		if i != r.currentInterval {
			sum += bytes
		}
	}
	return float64(sum) * 8 / 1e6 / (meterIntervals * tickPeriod).Seconds()
}

// zoneLinks summarizes the links of the balancers of the local zone.
type zoneLinks struct {
	// balancers is the number of balancers, this one included; othersInRotation is the number
	// of other balancers in rotation.
	balancers, othersInRotation int
	// largerCount is the number of balancers in rotation whose links are large enough to stand
	// in for this one; smallestLargerMbps is the smallest of these links.
	largerCount        int
	smallestLargerMbps float64
	// sentMbps is the total rate at which the zone's balancers send.
	sentMbps float64
	// mayLeave is set if this balancer's link is in the weaker half of the zone.
	mayLeave bool
}

// sumZoneLinks summarizes the links of the eligible balancers of the local zone.
func (c *Core) sumZoneLinks(now time.Time) zoneLinks {
	ownLink := c.opts.LinkMbps
	z := zoneLinks{balancers: 1, sentMbps: c.rotation.sentMbps()}
	weaker := 0
	for _, p := range c.view.EligiblePeers(now, c.opts.Zone) {
		z.balancers++
		z.sentMbps += float64(p.SentMbps)
		link := float64(p.LinkMbps)
		if link < ownLink || (link == ownLink && p.IP < c.opts.Self) {
			weaker++
		}
		if !p.InRotation {
			continue
		}
		z.othersInRotation++
		if link >= minLinkRatio*ownLink {
			if z.largerCount++; z.largerCount == 1 || link < z.smallestLargerMbps {
				z.smallestLargerMbps = link
			}
		}
	}
	z.mayLeave = weaker < z.balancers/2
	return z
}

// largerCanCarry reports whether the balancers with larger links can carry the zone without
// this one. At least half of the zone's balancers must stay in rotation: with fewer, the
// routers use all.
func (z *zoneLinks) largerCanCarry() bool {
	return z.largerCount > 0 && 2*z.othersInRotation >= z.balancers && z.sentMbps/float64(z.largerCount) <= maxPlannedLinkShare*z.smallestLargerMbps
}

// updateRotation decides, once per tickPeriod, whether the balancer is in rotation.
func (c *Core) updateRotation(now time.Time) {
	r := &c.rotation
	if !r.advance(now) || c.opts.LinkMbps <= 0 {
		return
	}
	mbps := r.sentMbps()
	if !r.standby && (mbps < fullLinkShare*c.opts.LinkMbps || now.Sub(r.changedAt) < minRotationPause) {
		return
	}
	z := c.sumZoneLinks(now)
	standby := z.mayLeave && z.largerCanCarry()
	if r.standby && now.Sub(r.changedAt) >= minRotationPause {
		share := z.sentMbps / float64(z.othersInRotation+1)
		standby = standby && share > maxPlannedLinkShare*c.opts.LinkMbps
	}
	if standby == r.standby {
		return
	}
	r.standby, r.changedAt = standby, now
	c.events.RotationChanged(standby, mbps, z.sentMbps, z.othersInRotation)
	c.sendBeacons(now, c.view.Balancers())
}
