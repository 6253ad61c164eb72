package model

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestPausingCallersLoseNothing guards against flows that end while their callers pause, before the
// first request or between two: every request is served, also while balancers are restarted.
func TestPausingCallersLoseNothing(t *testing.T) {
	d := DefaultDeployment()
	for i := range d.Services {
		d.Services[i].StartDelay = ms(500)
	}
	for i := range d.Classes {
		c := &d.Classes[i]
		c.Rate, c.Requests, c.Pause, c.FirstPause = c.Rate/10, 3, ms(4000), ms(5000)
	}
	for _, pattern := range []string{"quiet", "roll"} {
		r := Simulate(Options{Deployment: d, Pattern: pattern, At: 10 * time.Second, Length: 30 * time.Second, Seed: 1})
		require.Greater(t, r.All.Total, 500)
		require.Zero(t, r.Unserved(), "%s %+v", pattern, r.All)
		require.Zero(t, r.DuplicateExecutions, pattern)
	}
}
