package backlog

import "time"

// The callers' habits that show their age; the platform's protocol fixes them.
const (
	// TryTime is how long a caller tries to open a flow.
	TryTime = 1400 * time.Millisecond
	// RetryPause is the longest pause before it begins anew; observed from 0.1 s on.
	RetryPause = 200 * time.Millisecond
	// maxCopies is how many copies of an opening packet follow the first.
	maxCopies = 2
)

// copyAge is how long after the first one each copy of an opening packet is sent.
var copyAge = [maxCopies + 1]time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

// Age returns how long ago the first opening packet was sent when the copy with
// that number is sent.
func Age(copies uint32) time.Duration { return copyAge[min(copies, maxCopies)] }

// NextCopy returns how long after the copy with that number the next opening packet
// of the same flow comes, and false after the last one.
func NextCopy(copies uint32) (time.Duration, bool) {
	if copies >= maxCopies {
		return 0, false
	}
	return copyAge[copies+1] - copyAge[copies], true
}

// Outage infers from the opening packets that arrive until when callers met
// nobody. A copy that is the first packet seen of its flow tells that the one
// before it was lost; the zero value has seen none.
type Outage struct {
	until time.Time
}

// Opened notes the first packet that anybody saw of a flow, the copy with that
// number.
func (o *Outage) Opened(now time.Time, copies uint32) {
	if copies == 0 {
		return
	}
	if lost := now.Add(Age(copies-1) - Age(copies)); lost.After(o.until) {
		o.until = lost
	}
}

// Hidden returns how much earlier than at the beginning of its present try a
// caller may have begun. All packets of the try before were lost then, the last
// one 0.8 s before that try ended.
func (o *Outage) Hidden(began time.Time) time.Duration {
	if began.Add(copyAge[maxCopies] - TryTime - RetryPause).After(o.until) {
		return 0
	}
	return TryTime + RetryPause
}
