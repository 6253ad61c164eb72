package packetfront

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/poppywall/poppywall/backlog/coldstart"
	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/flow/envelope"
)

// coldRate is what a cold target bears in these tests, requests a second.
const coldRate = 5

// offer offers the target a new flow of a service whose cold targets bear rate requests
// a second, and tells whether it got it.
func (f *fixture) offer(client int, rate float64) bool {
	before := len(f.port.target)
	e := envelope.Envelope{Service: service, ColdRate: rate}
	e.SetCandidates([]flow.Candidate{{Target: nextIP, Service: service}})
	f.deliver(e, packet(keyOf(client), flow.SYN, 0, ""))
	return len(f.port.target) > before
}

// offers offers so many, each answered at once so that no load stands in the way.
func (f *fixture) offers(count int, rate float64) (got int) {
	for range count {
		f.client++
		if f.offer(f.client, rate) {
			got++
			f.targetSends(f.client, flow.SYN|flow.ACK, 500, 0)
			f.asks(f.client)
			f.targetSends(f.client, flow.ACK, 501, 10)
		}
	}
	return got
}

// warms lets the target report how long it stays slow.
func (f *fixture) warms(left time.Duration) {
	f.seq++
	f.Heartbeat(f.now, fleet.Heartbeat{Incarnation: fleet.Incarnation{TargetID: "i-1"}, Slots: 4, Sequence: f.seq, WarmupLeft: left})
}

// longThere is a fixture whose agent knows what its target was given.
func longThere() *fixture {
	f := newFixture()
	f.pass(2 * time.Second)
	f.beat(false)
	return f
}

// TestAColdTargetGetsWhatItBears; the rest goes to others. One that is warm, or of a
// service without a bound, gets all.
func TestAColdTargetGetsWhatItBears(t *testing.T) {
	for name, c := range map[string]struct {
		prepare func(*fixture)
		rate    float64
		want    int
	}{
		"warm":                 {func(*fixture) {}, coldRate, 20},
		"cold":                 {func(f *fixture) { f.warms(2 * time.Second) }, coldRate, coldRate},
		"cold without a bound": {func(f *fixture) { f.warms(2 * time.Second) }, 0, 20},
		"cold, the last of it": {func(f *fixture) { f.warms(time.Second); f.now = f.now.Add(999 * time.Millisecond) }, coldRate, coldRate},
		"warm again":           {func(f *fixture) { f.warms(time.Second); f.now = f.now.Add(time.Second) }, coldRate, 20},
		"up again, not reported": {func(f *fixture) {
			f.Probed(f.now, ProbeRefused)
			f.pass(time.Second)
			f.Probed(f.now, ProbeAccepted)
			f.proven()
		}, coldRate, coldRate},
		"its zone is taken back":   {func(f *fixture) { f.takenBack() }, coldRate, coldRate},
		"and it has reported":      {func(f *fixture) { f.takenBack(); f.now = f.now.Add(time.Second); f.beat(false) }, coldRate, 20},
		"a flow was gone there":    {func(f *fixture) { f.losesAFlow() }, coldRate, coldRate},
		"an agent that has begun":  {func(f *fixture) { f.begins(); f.warms(2 * time.Second) }, coldRate, 0},
		"a second later":           {func(f *fixture) { f.begins(); f.pass(1100 * time.Millisecond); f.warms(2 * time.Second) }, coldRate, coldRate},
		"an agent beside a target": {func(f *fixture) { f.begins(); f.pass(1100 * time.Millisecond) }, coldRate, coldRate},
		"warm until a moment ago":  {func(f *fixture) { f.offers(20, coldRate); f.warms(2 * time.Second) }, coldRate, 0},
	} {
		f := longThere()
		f.opts.Zone = flow.TagOf(ownZone)
		c.prepare(f)
		require.Equal(t, c.want, f.offers(20, c.rate), name)
	}
}

// proven ends the time in which a target proves itself.
func (f *fixture) proven() { f.health.ejected = false }

// takenBack empties the target's zone and takes it back.
func (f *fixture) takenBack() {
	f.hearsOf(balancerIP, 1, evacuations(9, ownZone))
	f.now = f.now.Add(time.Millisecond)
	f.hearsOf(balancerIP, 2, evacuations(10))
}

// losesAFlow lets the target bounce a packet of a flow that was open there, a while ago.
func (f *fixture) losesAFlow() {
	f.offers(1, coldRate)
	f.now = f.now.Add(time.Millisecond)
	f.deliver(envelope.Envelope{Service: service}, packet(keyOf(f.client), flow.ACK, 511, ""))
	f.bounce()
	f.now = f.now.Add(1100 * time.Millisecond)
}

// begins replaces the agent by one that finds its target listening.
func (f *fixture) begins() {
	f.Core = New(f.now, f.opts, f.port, platformCodec, quiet{})
	f.Probed(f.now, ProbeAccepted)
}

// TestBalancersHearWhatAColdTargetBears.
func TestBalancersHearWhatAColdTargetBears(t *testing.T) {
	f := longThere()
	f.beacon(balancerIP, 0, 0)
	announced := func() fleet.Announcement {
		f.port.Nodes = nil
		f.pass(fleet.SameZonePeriod)
		a, err := fleet.DecodeAnnouncement(f.port.OfKind(envelope.Announce)[0].Raw)
		require.NoError(t, err)
		return a
	}
	require.False(t, announced().Cold)
	f.warms(5 * time.Second)
	require.False(t, announced().Cold, "no bound was heard of yet")
	require.Equal(t, 2, f.offers(2, coldRate))
	a := announced()
	require.True(t, a.Cold)
	require.EqualValues(t, 3, a.Headroom)
}

// TestNoColdTargetGetsMoreThanItBears: the oracle is the target itself. It starts and
// ends, seen or not, its zone is emptied and taken back, agents restart; its reports may
// come late. Whatever happens, in no second of a cold life does it get more than it
// bears, but for a start that nobody could see before the target has said a word: then
// its agent has until its next report.
func TestNoColdTargetGetsMoreThanItBears(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := longThere()
		f.opts.Zone = flow.TagOf(ownZone)
		var arrivals []time.Time
		coldUntil, listens := time.Time{}, true
		revision, emptied := int64(0), false
		for range rapid.IntRange(10, 120).Draw(t, "steps") {
			f.now = f.now.Add(time.Duration(rapid.SampledFrom([]int{1, 20, 90, 400, 1300}).Draw(t, "ms")) * time.Millisecond)
			f.Tick(f.now)
			f.proven()
			switch rapid.IntRange(0, 11).Draw(t, "what") {
			case 0:
				f.Core = New(f.now, f.opts, f.port, platformCodec, quiet{})
				if listens {
					f.Probed(f.now, ProbeAccepted)
				} else {
					f.Probed(f.now, ProbeRefused)
				}
			case 1:
				listens = false
				f.Probed(f.now, ProbeRefused)
			case 2:
				if !listens {
					listens, coldUntil = true, f.now.Add(2*time.Second)
					f.Probed(f.now, ProbeAccepted)
				}
			case 3, 4:
				if listens {
					f.warms(max(coldUntil.Sub(f.now), 0))
				}
			case 5:
				revision, emptied = revision+1, !emptied
				if !emptied {
					// Its targets have become cold shortly before.
					coldUntil = f.now.Add(2 * time.Second)
				}
				zones := []string{}
				if emptied {
					zones = append(zones, ownZone)
				}
				f.seq++
				f.hearsOf(balancerIP, uint32(f.seq), evacuations(revision, zones...))
			default:
				count := rapid.IntRange(1, 12).Draw(t, "offers")
				if !listens {
					continue
				}
				got := f.offers(count, coldRate)
				for range got {
					arrivals = append(arrivals, f.now)
				}
				if got == 0 {
					// What came while it was warm it has borne.
					continue
				}
				within := 0
				for _, at := range arrivals {
					if f.now.Sub(at) < time.Second {
						within++
					}
				}
				if f.now.Before(coldUntil) && within > coldstart.MaxPerWindow(coldRate) {
					t.Fatalf("%d new flows within a second", within)
				}
			}
		}
	})
}
