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

// coldRate is the request rate, per second, that a cold target sustains in these tests.
const coldRate = 5

// offer offers the target a new flow of a service with the given cold rate and reports whether
// the target got it.
func (f *fixture) offer(client int, rate float64) bool {
	before := len(f.port.target)
	e := envelope.Envelope{Service: service, ColdRate: rate}
	e.SetCandidates([]flow.IPv4{nextIP})
	f.deliver(e, packet(keyOf(client), flow.SYN, 0, ""))
	return len(f.port.target) > before
}

// offerMany offers count new flows and returns how many the target got. Each is answered at once,
// so that none counts as load.
func (f *fixture) offerMany(count int, rate float64) (got int) {
	for range count {
		f.client++
		if f.offer(f.client, rate) {
			got++
			f.targetSends(f.client, flow.SYN|flow.ACK, 500, 0)
			f.sendRequest(f.client)
			f.targetSends(f.client, flow.ACK, 501, 10)
		}
	}
	return got
}

// reportWarmup sends a heartbeat with the remaining warm-up time.
func (f *fixture) reportWarmup(left time.Duration) {
	f.seq++
	f.Heartbeat(f.now, fleet.Heartbeat{TargetIncarnation: fleet.TargetIncarnation{TargetID: "i-1"}, Slots: 4, Sequence: f.seq, WarmupLeft: left})
}

// newSettledFixture returns a fixture whose agent has been running long enough to have seen all
// recent deliveries to its target.
func newSettledFixture() *fixture {
	f := newFixture()
	f.advance(2 * time.Second)
	f.receiveHeartbeat(false)
	return f
}

// TestColdRateLimitsNewFlows: a cold target gets new flows up to the cold rate and the rest goes to
// other candidates. A warm target, or one of a service without a cold rate, gets all.
func TestColdRateLimitsNewFlows(t *testing.T) {
	for name, c := range map[string]struct {
		prepare func(*fixture)
		rate    float64
		want    int
	}{
		"warm":                   {func(*fixture) {}, coldRate, 20},
		"cold":                   {func(f *fixture) { f.reportWarmup(2 * time.Second) }, coldRate, coldRate},
		"cold without a bound":   {func(f *fixture) { f.reportWarmup(2 * time.Second) }, 0, 20},
		"cold, last millisecond": {func(f *fixture) { f.reportWarmup(time.Second); f.now = f.now.Add(999 * time.Millisecond) }, coldRate, coldRate},
		"warm again":             {func(f *fixture) { f.reportWarmup(time.Second); f.now = f.now.Add(time.Second) }, coldRate, 20},
		"up again, not reported": {func(f *fixture) {
			f.TargetProbed(f.now, ProbeRefused)
			f.advance(time.Second)
			f.TargetProbed(f.now, ProbeAccepted)
			f.endProbation()
		}, coldRate, 0},
		"the evacuation of its zone has ended":                        {func(f *fixture) { f.evacuateAndReturnZone() }, coldRate, coldRate},
		"the evacuation of its zone has ended, it has reported since": {func(f *fixture) { f.evacuateAndReturnZone(); f.now = f.now.Add(time.Second); f.receiveHeartbeat(false) }, coldRate, 20},
		"it bounced an open flow":                                     {func(f *fixture) { f.bounceOpenFlow() }, coldRate, coldRate},
		"its agent has just restarted":                                {func(f *fixture) { f.restartAgent(); f.reportWarmup(2 * time.Second) }, coldRate, 0},
		"its agent restarted a second ago": {func(f *fixture) {
			f.restartAgent()
			f.advance(1100 * time.Millisecond)
			f.reportWarmup(2 * time.Second)
		}, coldRate, coldRate},
		"its agent restarted a second ago, no heartbeat": {func(f *fixture) { f.restartAgent(); f.advance(1100 * time.Millisecond) }, coldRate, coldRate},
		"warm until a moment ago":                        {func(f *fixture) { f.offerMany(20, coldRate); f.reportWarmup(2 * time.Second) }, coldRate, 0},
	} {
		f := newSettledFixture()
		f.opts.Zone = flow.TagOf(localZone)
		c.prepare(f)
		require.Equal(t, c.want, f.offerMany(20, c.rate), name)
	}
}

// endProbation ends the target's probation.
func (f *fixture) endProbation() { f.health.ejected = false }

// evacuateAndReturnZone evacuates the target's zone and ends the evacuation.
func (f *fixture) evacuateAndReturnZone() {
	f.receiveEvacuations(balancerIP, 1, evacuations(9, localZone))
	f.now = f.now.Add(time.Millisecond)
	f.receiveEvacuations(balancerIP, 2, evacuations(10))
}

// bounceOpenFlow lets the target bounce a packet of an open flow, and then passes 1.1 s.
func (f *fixture) bounceOpenFlow() {
	f.offerMany(1, coldRate)
	f.now = f.now.Add(time.Millisecond)
	f.deliver(envelope.Envelope{Service: service}, packet(keyOf(f.client), flow.ACK, 511, ""))
	f.bounce()
	f.now = f.now.Add(1100 * time.Millisecond)
}

// restartAgent replaces the agent by a new one whose first probe of the target is accepted.
func (f *fixture) restartAgent() {
	f.Core = New(f.now, f.opts, f.port, platformCodec, discardEvents{})
	f.TargetProbed(f.now, ProbeAccepted)
}

// TestColdHeadroomIsAnnounced: once a cold rate was received, announcements of a cold target state
// how many more flows it may get.
func TestColdHeadroomIsAnnounced(t *testing.T) {
	f := newSettledFixture()
	f.receiveBeacon(balancerIP, 0, 0)
	announced := func() fleet.Announcement {
		f.port.Nodes = nil
		f.advance(fleet.SameZonePeriod)
		a, err := fleet.DecodeAnnouncement(f.port.OfKind(envelope.Announce)[0].Raw)
		require.NoError(t, err)
		return a
	}
	require.False(t, announced().Cold)
	f.reportWarmup(5 * time.Second)
	require.False(t, announced().Cold, "no cold rate was received yet")
	require.Equal(t, 2, f.offerMany(2, coldRate))
	a := announced()
	require.True(t, a.Cold)
	require.EqualValues(t, 3, a.Headroom)
}

// TestColdRateHoldsUnderRandomEvents: a target starts and ends, detected or not, its zone is
// evacuated and readmitted, agents restart, and heartbeats may come late. The target itself is the
// oracle: in no second while it is cold does it get more than it can sustain. The exception is a
// start that could not be detected before the target's first heartbeat: then the limit holds
// from its next heartbeat on.
func TestColdRateHoldsUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newSettledFixture()
		f.opts.Zone = flow.TagOf(localZone)
		var arrivals []time.Time
		coldUntil, listens := time.Time{}, true
		revision, emptied := int64(0), false
		for range rapid.IntRange(10, 120).Draw(t, "steps") {
			f.now = f.now.Add(time.Duration(rapid.SampledFrom([]int{1, 20, 90, 400, 1300}).Draw(t, "ms")) * time.Millisecond)
			f.Tick(f.now)
			f.endProbation()
			switch rapid.IntRange(0, 11).Draw(t, "what") {
			case 0:
				f.Core = New(f.now, f.opts, f.port, platformCodec, discardEvents{})
				if listens {
					f.TargetProbed(f.now, ProbeAccepted)
				} else {
					f.TargetProbed(f.now, ProbeRefused)
				}
			case 1:
				listens = false
				f.TargetProbed(f.now, ProbeRefused)
			case 2:
				if !listens {
					listens, coldUntil = true, f.now.Add(2*time.Second)
					f.TargetProbed(f.now, ProbeAccepted)
				}
			case 3, 4:
				if listens {
					f.reportWarmup(max(coldUntil.Sub(f.now), 0))
				}
			case 5:
				revision, emptied = revision+1, !emptied
				if !emptied {
					// The targets of the zone became cold during the evacuation.
					coldUntil = f.now.Add(2 * time.Second)
				}
				zones := []string{}
				if emptied {
					zones = append(zones, localZone)
				}
				f.seq++
				f.receiveEvacuations(balancerIP, uint32(f.seq), evacuations(revision, zones...))
			default:
				count := rapid.IntRange(1, 12).Draw(t, "offers")
				if !listens {
					continue
				}
				got := f.offerMany(count, coldRate)
				for range got {
					arrivals = append(arrivals, f.now)
				}
				if got == 0 {
					// Flows that arrived while the target was warm do not count against the limit.
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
