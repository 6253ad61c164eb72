package forward

import (
	"time"

	"golang.org/x/time/rate"
)

// TokenBucket limits the rate of events. Its capacity is the number of events
// allowed per second, at least one.
type TokenBucket struct{ limiter *rate.Limiter }

// NewTokenBucket returns a full bucket. A rate of zero or less means no limit.
func NewTokenBucket(perSecond float64) TokenBucket {
	if perSecond <= 0 {
		return TokenBucket{}
	}
	return TokenBucket{rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))}
}

// Allow reports whether one more event is within the limit, and takes a token if
// it is.
func (b TokenBucket) Allow(now time.Time) bool {
	return b.limiter == nil || b.limiter.AllowN(now, 1)
}
