package packetfront

import (
	"slices"
	"time"

	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
)

// Retries of announcements that a balancer has not acknowledged.
const (
	// ackTimeout is how long an agent waits for the acknowledgement of a change of its
	// target's state before it sends the announcement again: far more than a round trip.
	ackTimeout = 50 * time.Millisecond
	// maxAckRetries bounds the retries; the periodic announcements follow.
	maxAckRetries = 5
)

// acks tracks which balancers have acknowledged the last change of the target's state. A
// balancer that has missed a change might send the target's flows elsewhere and take
// them for ended.
type acks struct {
	// changeSeq is the sequence number of the first announcement of the current state.
	changeSeq uint32
	peers     map[flow.IPv4]*ackState
	// pending is set while there may be balancers without an acknowledgement.
	pending bool
}

type ackState struct {
	// acknowledged is the sequence number of the last announcement of this process that the
	// balancer has received.
	acknowledged uint32
	retries      int
	retryAt      time.Time
}

func newAcks() acks { return acks{peers: map[flow.IPv4]*ackState{}} }

// stateChanged records that the announcements from seq on carry another state.
func (a *acks) stateChanged(seq uint32) {
	a.changeSeq, a.pending = seq, true
	for _, p := range a.peers {
		p.retries = 0
	}
}

// sent records an announcement to a balancer.
func (a *acks) sent(now time.Time, to flow.IPv4) {
	p, known := a.peers[to]
	if !known {
		p = &ackState{}
		a.peers[to], a.pending = p, true
	}
	p.retryAt = now.Add(ackTimeout)
}

// received records which announcement of this process, given by its incarnation, a
// balancer has received last.
func (a *acks) received(from flow.IPv4, incarnation uint64, m *fleet.Beacon) {
	if p, known := a.peers[from]; known && m.LastReceived.ProcessIncarnation == incarnation {
		p.acknowledged = m.LastReceived.Seq
	}
}

// isAcknowledgedBy reports whether a beacon acknowledges the last change of state of this
// process, given by its incarnation.
func (a *acks) isAcknowledgedBy(incarnation uint64, m *fleet.Beacon) bool {
	return m.LastReceived.ProcessIncarnation == incarnation && int32(m.LastReceived.Seq-a.changeSeq) >= 0
}

// needsAck reports whether a balancer has not acknowledged the last change of state.
func (a *acks) needsAck(ip flow.IPv4) bool {
	p, known := a.peers[ip]
	return !known || int32(p.acknowledged-a.changeSeq) < 0
}

// dueForRetry returns the balancers to which the announcement must be sent again now, sorted
// by address, and counts the retries.
func (a *acks) dueForRetry(now time.Time) []flow.IPv4 {
	if !a.pending {
		return nil
	}
	var out []flow.IPv4
	a.pending = false
	for ip, p := range a.peers {
		if !a.needsAck(ip) || p.retries >= maxAckRetries {
			continue
		}
		a.pending = true
		if !now.Before(p.retryAt) {
			p.retries++
			out = append(out, ip)
		}
	}
	slices.Sort(out)
	return out
}

// remove removes a balancer.
func (a *acks) remove(ip flow.IPv4) { delete(a.peers, ip) }
