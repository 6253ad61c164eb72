package packetfront

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
)

// announcePaced announces a ready target with what its agent observed.
func (f *fixture) announcePaced(ip flow.IPv4, zone flow.Tag, busy uint16, each time.Duration) {
	f.seq++
	a := fleet.Announcement{
		MessageID: fleet.MessageID{Incarnation: uint64(ip), Seq: f.seq}, Zone: zone, Service: alpha, State: fleet.Ready, Slots: 4, Outstanding: busy,
		LoadReport: fleet.LoadReport{AnswerInterval: each, ResponseTime: 4 * each},
	}
	f.HandleNode(f.now, ip, a.Append(nil))
}

// TestNewFlowsGoWhereTheyAreAnsweredFirst: by load and pace together, the way between zones
// priced, and a target without a pace taken for typical.
func TestNewFlowsGoWhereTheyAreAnsweredFirst(t *testing.T) {
	const fast, slow = 5 * time.Millisecond, 20 * time.Millisecond
	elsewhere := flow.TagOf("elsewhere")
	for name, c := range map[string]struct {
		a, b func(f *fixture, ip flow.IPv4)
	}{
		"the fast one": {
			func(f *fixture, ip flow.IPv4) { f.announcePaced(ip, 0, 2, fast) },
			func(f *fixture, ip flow.IPv4) { f.announcePaced(ip, 0, 1, slow) },
		},
		"the slow one once the fast one is full enough": {
			func(f *fixture, ip flow.IPv4) { f.announcePaced(ip, 0, 1, slow) },
			func(f *fixture, ip flow.IPv4) { f.announcePaced(ip, 0, 9, fast) },
		},
		"a fresh one rather than one that turned slow": {
			func(f *fixture, ip flow.IPv4) {
				f.announce(ip, fleet.Ready)
				f.announcePaced(other+1, flow.TagOf("third"), 40, fast)
			},
			func(f *fixture, ip flow.IPv4) { f.announcePaced(ip, 0, 0, 7*fast) },
		},
		"a fast one rather than a fresh one that has more": {
			func(f *fixture, ip flow.IPv4) { f.announcePaced(ip, 0, 0, fast) },
			func(f *fixture, ip flow.IPv4) { f.announcePaced(ip, 0, 2, 0) },
		},
		"the own zone's, though it is busier": {
			func(f *fixture, ip flow.IPv4) { f.announcePaced(ip, 0, 3, fast) },
			func(f *fixture, ip flow.IPv4) { f.announcePaced(ip, elsewhere, 0, fast) },
		},
		"another zone's before a slow one of the own": {
			func(f *fixture, ip flow.IPv4) { f.announcePaced(ip, elsewhere, 0, fast) },
			func(f *fixture, ip flow.IPv4) { f.announcePaced(ip, 0, 3, slow) },
		},
	} {
		f := newFixture()

		f.announcePaced(other, flow.TagOf("third"), 40, fast)
		c.a(f, targetA)
		c.b(f, targetB)
		chosen := map[flow.IPv4]int{}
		for hash := range uint64(400) {
			chosen[f.openCandidates(f.now, hash, alpha)[0].Target]++
		}
		require.Equal(t, map[flow.IPv4]int{targetA: 400}, chosen, name)
	}
}
