package backlog

import "time"

// Timing of callers, from which the age of a request is inferred; fixed by the platform's
// protocol.
const (
	// ConnectTimeout is how long a caller tries to open a flow.
	ConnectTimeout = 1400 * time.Millisecond
	// MaxRetryPause is the longest pause before a caller retries; pauses from 0.1 s on were observed.
	MaxRetryPause = 200 * time.Millisecond
	// maxRetransmissions is how many retransmissions follow the first opening packet.
	maxRetransmissions = 2
)

// retransmissionAge is the delay of each opening packet after the first one, by its number;
// 0 is the first packet itself.
var retransmissionAge = [maxRetransmissions + 1]time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

// RetransmissionAge returns how long after the first opening packet the n-th retransmission is
// sent.
func RetransmissionAge(n uint32) time.Duration { return retransmissionAge[min(n, maxRetransmissions)] }

// NextRetransmission returns the delay from the given retransmission, 0 for the first opening
// packet, to the next one of the same flow, and false after the last one.
func NextRetransmission(retransmission uint32) (time.Duration, bool) {
	if retransmission >= maxRetransmissions {
		return 0, false
	}
	return retransmissionAge[retransmission+1] - retransmissionAge[retransmission], true
}

// Outage infers from the opening packets that arrive until when callers reached no target.
// A retransmission that is the first packet seen of its flow implies that the packet before
// it was lost. The zero value has seen no packet.
type Outage struct {
	until time.Time
}

// Opened records the first packet seen of a flow; retransmission is its number, 0 for the
// first opening packet.
func (o *Outage) Opened(now time.Time, retransmission uint32) {
	if retransmission == 0 {
		return
	}
	if lost := now.Add(RetransmissionAge(retransmission-1) - RetransmissionAge(retransmission)); lost.After(o.until) {
		o.until = lost
	}
}

// UnseenTry returns how much earlier than its present try a caller may have begun, by a try
// whose packets were all lost. The last packet of that try was sent 0.8 s before it ended.
func (o *Outage) UnseenTry(began time.Time) time.Duration {
	if began.Add(retransmissionAge[maxRetransmissions] - ConnectTimeout - MaxRetryPause).After(o.until) {
		return 0
	}
	return ConnectTimeout + MaxRetryPause
}
