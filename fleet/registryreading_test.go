package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poppywall/poppywall/flow"
)

// TestARollTellsWhoIsMissing: since the first reading that lists a node that is not heard,
// until it is heard or counts as gone.
func TestARollTellsWhoIsMissing(t *testing.T) {
	const gone = 4 * time.Second
	begin := time.Unix(1, 0)
	entries := []Entry{{IP: 1}, {IP: 2}}
	for name, c := range map[string]struct {
		// heardAtFirst are heard at the readings, heard when it is asked.
		heardAtFirst, heard []flow.IPv4
		// again is when the registry is read a second time, zero for never.
		again, after time.Duration
		missing      flow.IPv4
		struck       int
	}{
		"all heard":                    {heardAtFirst: []flow.IPv4{1, 2}, missing: 0},
		"one not heard":                {heardAtFirst: []flow.IPv4{1}, missing: 2},
		"heard since":                  {heardAtFirst: []flow.IPv4{1}, heard: []flow.IPv4{2}, missing: 0},
		"not heard for long":           {heardAtFirst: []flow.IPv4{1}, after: gone, missing: 0},
		"just before that":             {heardAtFirst: []flow.IPv4{1}, after: gone - 1, missing: 2},
		"read again meanwhile":         {heardAtFirst: []flow.IPv4{1}, again: gone / 2, after: gone, missing: 0},
		"one that fell silent after":   {heardAtFirst: []flow.IPv4{1, 2}, after: time.Hour, missing: 0},
		"not heard until it is struck": {heardAtFirst: []flow.IPv4{1}, after: Forget + 1, missing: 0, struck: 1},
		"not heard as long as that":    {heardAtFirst: []flow.IPv4{1}, after: Forget, missing: 0},
		"heard, though late":           {heardAtFirst: []flow.IPv4{1}, heard: []flow.IPv4{2}, after: Forget + 1, missing: 0},
	} {
		among := func(list []flow.IPv4) func(flow.IPv4) bool {
			return func(ip flow.IPv4) bool {
				for _, known := range list {
					if ip == known {
						return true
					}
				}
				return false
			}
		}
		var r RegistryReading
		r.Take(begin, append([]Entry(nil), entries...), among(c.heardAtFirst))
		if c.again > 0 {
			r.Take(begin.Add(c.again), append([]Entry(nil), entries...), among(c.heardAtFirst))
		}
		now := begin.Add(c.after)
		ip, missing := r.Missing(now, gone, among(c.heard))
		require.Equal(t, c.missing, ip, name)
		require.Equal(t, c.missing != 0, missing, name)
		require.Len(t, r.Strike(now, among(c.heard)), c.struck, name)
		require.Empty(t, r.Strike(now, among(c.heard)), "%s: each once", name)
	}
}
