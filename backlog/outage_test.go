package backlog

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestOutageEndIsInferredFromRetransmissions(t *testing.T) {
	var o Outage
	o.Opened(at(0), 0)
	require.Zero(t, o.UnseenTry(at(0)), "a first opening packet is no sign of a loss")
	// The second retransmission is sent 0.4 s after the first one.
	o.Opened(at(time.Second), 2)
	last := 600*time.Millisecond + ConnectTimeout - RetransmissionAge(2) + MaxRetryPause
	require.Equal(t, ConnectTimeout+MaxRetryPause, o.UnseenTry(at(last)))
	require.Zero(t, o.UnseenTry(at(last+time.Millisecond)))
	o.Opened(at(900*time.Millisecond), 1)
	require.Equal(t, ConnectTimeout+MaxRetryPause, o.UnseenTry(at(last+100*time.Millisecond)), "the first retransmission is sent after 0.2 s")
	o.Opened(at(850*time.Millisecond), 2)
	require.Equal(t, ConnectTimeout+MaxRetryPause, o.UnseenTry(at(last+100*time.Millisecond)), "the latest loss counts")
}

func TestNextRetransmission(t *testing.T) {
	for retransmission, want := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond} {
		next, more := NextRetransmission(uint32(retransmission))
		require.True(t, more)
		require.Equal(t, want, next)
	}
	_, more := NextRetransmission(2)
	require.False(t, more)
	require.Equal(t, 600*time.Millisecond, RetransmissionAge(7), "a number that no caller sends")
}
