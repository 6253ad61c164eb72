package forward

import (
	"time"

	"golang.org/x/time/rate"
)

// Bucket bounds a rate of events by a token bucket of one second's worth.
type Bucket struct{ limiter *rate.Limiter }

// NewBucket returns a bucket; a rate of zero or less is no bound.
func NewBucket(perSecond float64) Bucket {
	if perSecond <= 0 {
		return Bucket{}
	}
	return Bucket{rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))}
}

// Take tells whether one more event is within the bound.
func (b Bucket) Take(now time.Time) bool {
	return b.limiter == nil || b.limiter.AllowN(now, 1)
}
