package packetfront

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
)

// announceLoad delivers the announcement of a ready target with a load report.
func (f *fixture) announceLoad(ip flow.IPv4, zone flow.Tag, outstanding uint16, answerInterval time.Duration) {
	f.seq++
	a := fleet.Announcement{
		MessageID: fleet.MessageID{ProcessIncarnation: uint64(ip), Seq: f.seq}, Zone: zone, Service: alpha, State: fleet.Ready, Slots: 4, Outstanding: outstanding,
		LoadReport: fleet.LoadReport{AnswerInterval: answerInterval, ResponseTime: 4 * answerInterval},
	}
	f.HandleNode(f.now, ip, a.Append(nil))
}

// TestNewFlowsGoToTheLowestExpectedDelay: the delay follows from the load and the service time, plus
// the cost of crossing zones. A target without an observed service time counts as typical.
func TestNewFlowsGoToTheLowestExpectedDelay(t *testing.T) {
	const fast, slow = 5 * time.Millisecond, 20 * time.Millisecond
	elsewhere := flow.TagOf("elsewhere")
	for name, c := range map[string]struct {
		a, b func(f *fixture, ip flow.IPv4)
	}{
		"fast before slow": {
			func(f *fixture, ip flow.IPv4) { f.announceLoad(ip, 0, 2, fast) },
			func(f *fixture, ip flow.IPv4) { f.announceLoad(ip, 0, 1, slow) },
		},
		"slow with low load before fast with high load": {
			func(f *fixture, ip flow.IPv4) { f.announceLoad(ip, 0, 1, slow) },
			func(f *fixture, ip flow.IPv4) { f.announceLoad(ip, 0, 9, fast) },
		},
		"unobserved before slow": {
			func(f *fixture, ip flow.IPv4) {
				f.announce(ip, fleet.Ready)
				f.announceLoad(targetC+1, flow.TagOf("third"), 40, fast)
			},
			func(f *fixture, ip flow.IPv4) { f.announceLoad(ip, 0, 0, 7*fast) },
		},
		"fast before unobserved with more requests": {
			func(f *fixture, ip flow.IPv4) { f.announceLoad(ip, 0, 0, fast) },
			func(f *fixture, ip flow.IPv4) { f.announceLoad(ip, 0, 2, 0) },
		},
		"busier one in the local zone before one in another zone": {
			func(f *fixture, ip flow.IPv4) { f.announceLoad(ip, 0, 3, fast) },
			func(f *fixture, ip flow.IPv4) { f.announceLoad(ip, elsewhere, 0, fast) },
		},
		"fast one in another zone before a slow one in the local zone": {
			func(f *fixture, ip flow.IPv4) { f.announceLoad(ip, elsewhere, 0, fast) },
			func(f *fixture, ip flow.IPv4) { f.announceLoad(ip, 0, 3, slow) },
		},
	} {
		f := newFixture()

		f.announceLoad(targetC, flow.TagOf("third"), 40, fast)
		c.a(f, targetA)
		c.b(f, targetB)
		chosen := map[flow.IPv4]int{}
		for hash := range uint64(400) {
			chosen[f.openCandidates(f.now, hash, alpha)[0]]++
		}
		require.Equal(t, map[flow.IPv4]int{targetA: 400}, chosen, name)
	}
}
