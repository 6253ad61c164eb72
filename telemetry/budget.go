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
func (l *RateLimit) Allow(now time.Time) (dropped int, ok bool) {
	if s := now.Unix(); s != l.currentSecond {
		l.currentSecond, l.written = s, 0
	}
	if l.written >= l.PerSecond {
		l.dropped++
		return 0, false
	}
	l.written++
	dropped, l.dropped = l.dropped, 0
	return dropped, true
}
