package telemetry

import "time"

// RateLimit limits the rate of log lines of one kind. Lines above the limit are
// dropped, and their number is reported with the next line written. It is not
// safe for concurrent use.
type RateLimit struct {
	// PerSecond is the maximum number of lines in each second.
	PerSecond     int
	currentSecond int64
	written       int
	dropped       int
}

// Allow reports whether a line may be written now, and how many lines were dropped
// since the last one written.
func (b *RateLimit) Allow(now time.Time) (dropped int, ok bool) {
	if s := now.Unix(); s != b.currentSecond {
		b.currentSecond, b.written = s, 0
	}
	if b.written >= b.PerSecond {
		b.dropped++
		return 0, false
	}
	b.written++
	dropped, b.dropped = b.dropped, 0
	return dropped, true
}
