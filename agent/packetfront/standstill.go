package packetfront

import "time"

const (
	// maxTickGap is the longest time between two ticks of a process that runs normally.
	maxTickGap = identityMargin
	// backlogTime is how long after a standstill messages from before may still be handled.
	backlogTime = 500 * time.Millisecond
)

// standstill tells how old a message may be: a process that stood still handles what came meanwhile
// only afterwards.
type standstill struct {
	lastTick time.Time
	// began is when the last standstill began, ended when it ended.
	began, ended time.Time
}

// tick records that the process runs.
func (s *standstill) tick(now time.Time) {
	if !s.lastTick.IsZero() && now.Sub(s.lastTick) > maxTickGap {
		s.began, s.ended = s.lastTick, now
	}
	s.lastTick = now
}

// earliest returns the earliest time at which a message that is handled now can have arrived, up to
// maxTickGap too late.
func (s *standstill) earliest(now time.Time) time.Time {
	switch {
	case !s.lastTick.IsZero() && now.Sub(s.lastTick) > maxTickGap:
		return s.lastTick
	case !s.ended.IsZero() && now.Sub(s.ended) < backlogTime:
		return s.began
	default:
		return now
	}
}
