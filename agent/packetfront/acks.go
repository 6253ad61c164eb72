package packetfront

import (
	"slices"
	"time"

	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
)

// Repetition of announcements that a balancer has not acknowledged.
const (
	// ackPause is how long an agent waits for the acknowledgement of a change of
	// its target's state: far more than a round trip.
	ackPause = 50 * time.Millisecond
	// ackTries bounds the repetitions; the periodic announcement follows.
	ackTries = 5
)

// acks tells which balancers know of the last change of the target's state. One
// that does not would send the target's flows elsewhere and take them for over.
type acks struct {
	// change is the sequence number of the first announcement of that state.
	change uint32
	peers  map[flow.IPv4]*ack
	// open tells that there may be balancers to tell again.
	open bool
}

type ack struct {
	// heard is the last of this process's announcements that the balancer has.
	heard uint32
	tries int
	next  time.Time
}

func newAcks() acks { return acks{peers: map[flow.IPv4]*ack{}} }

// changed notes that the announcements from seq on tell another state.
func (a *acks) changed(seq uint32) {
	a.change, a.open = seq, true
	for _, p := range a.peers {
		p.tries = 0
	}
}

// sent notes an announcement to a balancer.
func (a *acks) sent(now time.Time, to flow.IPv4) {
	p, known := a.peers[to]
	if !known {
		p = &ack{}
		a.peers[to], a.open = p, true
	}
	p.next = now.Add(ackPause)
}

// heard notes what a balancer has of this process, whose epoch is given.
func (a *acks) heard(from flow.IPv4, epoch uint64, m *fleet.Beacon) {
	if p, known := a.peers[from]; known && m.LastReceived.Incarnation == epoch {
		p.heard = m.LastReceived.Seq
	}
}

// knows tells whether the balancer that sent a beacon has the last change of this
// process, whose epoch is given.
func (a *acks) knows(epoch uint64, m *fleet.Beacon) bool {
	return m.LastReceived.Incarnation == epoch && int32(m.LastReceived.Seq-a.change) >= 0
}

// wants tells whether a balancer has not acknowledged the last change.
func (a *acks) wants(ip flow.IPv4) bool {
	p, known := a.peers[ip]
	return !known || int32(p.heard-a.change) < 0
}

// due returns the balancers that have to be told again, in an order that repeats.
func (a *acks) due(now time.Time) []flow.IPv4 {
	if !a.open {
		return nil
	}
	var out []flow.IPv4
	a.open = false
	for ip, p := range a.peers {
		if !a.wants(ip) || p.tries >= ackTries {
			continue
		}
		a.open = true
		if !now.Before(p.next) {
			p.tries++
			out = append(out, ip)
		}
	}
	slices.Sort(out)
	return out
}

// forget drops a balancer.
func (a *acks) forget(ip flow.IPv4) { delete(a.peers, ip) }
