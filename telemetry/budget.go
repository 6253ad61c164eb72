package telemetry

import "time"

// Budget bounds the lines of one kind: so many in each second, the rest is
// counted and said with the next line. It is not safe for concurrent use.
type Budget struct {
	// PerSecond is how many lines a second may have.
	PerSecond int
	second    int64
	used      int
	left      int
}

// Take tells whether a line may be written now, and how many were left out
// since the last one.
func (b *Budget) Take(now time.Time) (leftOut int, ok bool) {
	if s := now.Unix(); s != b.second {
		b.second, b.used = s, 0
	}
	if b.used >= b.PerSecond {
		b.left++
		return 0, false
	}
	b.used++
	leftOut, b.left = b.left, 0
	return leftOut, true
}
