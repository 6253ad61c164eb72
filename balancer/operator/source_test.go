package operator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestWatchWaitFitsTheCatchUpBound(t *testing.T) {
	for catchUp, want := range map[time.Duration]time.Duration{
		0: minWatchWait, time.Second: minWatchWait,
		4 * time.Second: 2600 * time.Millisecond, 5 * time.Second: 3600 * time.Millisecond,
		time.Minute: maxWatchWait,
	} {
		require.Equal(t, want, watchWait(catchUp, 0, 0), catchUp)
	}
	require.Equal(t, 1400*time.Millisecond, watchWait(4*time.Second, 1200*time.Millisecond, 0), "the transfer is a part of the bound")
	require.Equal(t, 1400*time.Millisecond, watchWait(4*time.Second, 0, 1200*time.Millisecond), "the connection may have been silent since the last answer")
	require.Equal(t, minWatchWait, watchWait(4*time.Second, time.Minute, 0))
	require.Equal(t, minWatchWait, watchWait(4*time.Second, 0, time.Minute))
}
