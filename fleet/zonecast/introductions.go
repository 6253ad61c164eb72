package zonecast

import (
	"time"

	"github.com/poppywall/poppywall/flow"
)

// Minimum pauses between two introductions to a node from which no message was received.
const (
	// RelayedIntroductionPause applies to a node that is known from relayed messages, or whose
	// relayed message contains something new.
	RelayedIntroductionPause = 500 * time.Millisecond
	// IntroductionPause applies to a node that is known from a list. It is far more than a round
	// trip: a node that starts gets the same addresses from many nodes at once.
	IntroductionPause = 50 * time.Millisecond
)

// IntroductionLimiter limits the rate of introductions. An introduction is an announcement or beacon
// sent directly to a node that is known from other nodes only, or whose relayed message needs
// confirmation; the node answers with its own. The limiter is not safe for concurrent use.
type IntroductionLimiter struct {
	// MaxNodes is the maximum number of nodes that are tracked; beyond it the record is cleared.
	MaxNodes int

	sentAt map[flow.IPv4]time.Time
}

// Allow reports whether an introduction may be sent to a node now, at most one per pause, and
// records it if so.
func (l *IntroductionLimiter) Allow(now time.Time, ip flow.IPv4, pause time.Duration) bool {
	if now.Sub(l.sentAt[ip]) < pause {
		return false
	}
	if l.sentAt == nil {
		l.sentAt = map[flow.IPv4]time.Time{}
	}
	if len(l.sentAt) >= l.MaxNodes {
		clear(l.sentAt)
	}
	l.sentAt[ip] = now
	return true
}
