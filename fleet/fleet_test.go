package fleet

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/flow/envelope"
	"github.com/poppywall/poppywall/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

var start = time.Unix(1_700_000_000, 0)

const (
	ip1 = flow.IPv4(0x0a000001)
	ip2 = flow.IPv4(0x0a000002)
)

var alpha, beta = flow.ServiceIDOf("alpha"), flow.ServiceIDOf("beta")

func announcement(incarnation uint64, seq uint32, service flow.ServiceID, state State) Announcement {
	return Announcement{MessageID: MessageID{incarnation, seq}, Service: service, State: state, Slots: 5, TargetIncarnation: 9}
}

func TestMessagesRoundTrip(t *testing.T) {
	a := announcement(7, 8, alpha, Draining)
	a.Zone, a.WantPeers, a.WantReply, a.Outstanding, a.OpenFlows, a.WarmupMillis = 3, true, true, 4, 5, 600
	a.Ejected, a.Period = true, 1500*time.Millisecond
	a.Cold, a.Headroom, a.ConfigVersion = true, 9, 1<<40
	a.LoadReport = LoadReport{QueueDelay: 180 * time.Millisecond, AnswerInterval: 12500 * time.Microsecond, ResponseTime: 24 * time.Millisecond, Overloaded: true}
	gotA, err := DecodeAnnouncement(a.Append(nil))
	require.NoError(t, err)
	require.Equal(t, a, gotA)
	b := Beacon{MessageID: MessageID{1, 2}, Zone: 3, ConfigVersion: 1 << 40, Digest: 5, Leaving: true, Feeder: true, Reply: true, Period: 2 * time.Second, LastReceived: MessageID{8, 9}}
	b.InRotation, b.LinkMbps, b.SentMbps = true, 200, 14
	b.Evacuations, _ = flow.NewEvacuations(1<<40, []string{"a", "zone-b"})
	gotB, err := DecodeBeacon(b.Append(nil))
	require.NoError(t, err)
	require.Equal(t, b, gotB)
}

func TestMalformedMessagesAreRejected(t *testing.T) {
	a, b := announcement(1, 1, alpha, Ready), Beacon{MessageID: MessageID{1, 1}}
	badState, badListing, otherVersion := a, a, a.Append(nil)
	badState.State, badListing.Registration = Gone+1, RegistrationAbandoned+1
	otherVersion[2]++
	for name, wire := range map[string][]byte{
		"empty": {}, "truncated": a.Append(nil)[:20], "too long": append(a.Append(nil), 0),
		"other kind": b.Append(nil), "other magic": append([]byte{0, 0}, a.Append(nil)[2:]...),
		"other version": otherVersion, "undefined registration state": badListing.Append(nil), "undefined target state": badState.Append(nil),
	} {
		_, err := DecodeAnnouncement(wire)
		require.ErrorIs(t, err, ErrMalformed, name)
		_, err = DecodeNodeList(wire)
		require.ErrorIs(t, err, ErrMalformed, name)
		if name != "other kind" {
			_, err = DecodeBeacon(wire)
			require.ErrorIs(t, err, ErrMalformed, name)
		}
	}
	bad := a.Append(nil)
	bad[envelope.PrefixLen+8+4+8+16+4] = 200
	_, err := DecodeAnnouncement(bad)
	require.ErrorIs(t, err, ErrMalformed, "unknown state")
}

// TestLoadReportsOfOtherVersions: the known part of a longer load report is decoded, an empty
// one decodes as no load report, and a length that does not match is rejected.
func TestLoadReportsOfOtherVersions(t *testing.T) {
	a := announcement(1, 1, alpha, Ready)
	a.LoadReport = LoadReport{QueueDelay: time.Second, AnswerInterval: time.Millisecond, ResponseTime: 2 * time.Millisecond}
	wire := a.Append(nil)
	head, body := wire[:len(wire)-loadReportLen-1], wire[len(wire)-loadReportLen:]
	longer := append(append(slices.Clone(head), loadReportLen+2), append(slices.Clone(body), 1, 2)...)
	got, err := DecodeAnnouncement(longer)
	require.NoError(t, err)
	require.Equal(t, a.LoadReport, got.LoadReport)
	got, err = DecodeAnnouncement(append(slices.Clone(head), 0))
	require.NoError(t, err)
	require.Zero(t, got.LoadReport)
	_, err = DecodeAnnouncement(head)
	require.ErrorIs(t, err, ErrMalformed, "without its length")
	_, err = DecodeAnnouncement(wire[:len(wire)-1])
	require.ErrorIs(t, err, ErrMalformed, "truncated")
}

func TestNodeListsFitADatagram(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var sent, got NodeList
		for i, list := range []*[]flow.IPv4{&sent.Balancers, &sent.ActiveAgents, &sent.IdleAgents} {
			for j := range rapid.IntRange(0, 600).Draw(t, "nodes") {
				*list = append(*list, flow.IPv4(10_000*i+j))
			}
		}
		sent.Append(nil, func(msg []byte) {
			require.LessOrEqual(t, len(msg), 1100)
			n, err := DecodeNodeList(msg)
			require.NoError(t, err)
			got.Balancers = append(got.Balancers, n.Balancers...)
			got.ActiveAgents = append(got.ActiveAgents, n.ActiveAgents...)
			got.IdleAgents = append(got.IdleAgents, n.IdleAgents...)
			_, err = DecodeNodeList(msg[:len(msg)-1])
			require.ErrorIs(t, err, ErrMalformed)
		})
		require.Equal(t, sent, got)
	})
}

func TestAnnouncementsAreOrdered(t *testing.T) {
	for name, c := range map[string]struct {
		then Announcement
		want Change
	}{
		"unchanged":             {announcement(7, 2, alpha, Ready), Unchanged},
		"duplicate":             {announcement(7, 1, alpha, Draining), Stale},
		"late":                  {announcement(7, 0, alpha, Draining), Stale},
		"former incarnation":    {announcement(6, 99, alpha, Draining), Stale},
		"no incarnation":        {announcement(0, 99, alpha, Draining), Stale},
		"changed state":         {announcement(7, 2, alpha, Draining), Altered},
		"changed service":       {announcement(7, 2, beta, Ready), Altered},
		"restarted agent":       {announcement(8, 1, alpha, Ready), Joined},
		"sequence wraps around": {announcement(7, 1<<31-1, alpha, Ready), Unchanged},
	} {
		v := NewView()
		require.Equal(t, Joined, v.ApplyAnnouncement(start, ip1, announcement(6, 5, alpha, Ready)))
		require.Equal(t, Joined, v.ApplyAnnouncement(start, ip1, announcement(7, 1, alpha, Ready)))
		before, _ := v.Target(ip1)
		state := before.State
		require.Equal(t, c.want, v.ApplyAnnouncement(start, ip1, c.then), name)
		if c.want == Stale {
			after, _ := v.Target(ip1)
			require.Equal(t, state, after.State, name)
		}
	}
}

// TestLateMessagesOfEarlierProcesses: late messages of the former processes at an address that
// a view remembers do not replace the current one. One that a new view accepted is replaced
// when the current process continues to send.
func TestLateMessagesOfEarlierProcesses(t *testing.T) {
	v := NewView()
	for incarnation := uint64(1); incarnation <= 4; incarnation++ {
		require.Equal(t, Joined, v.ApplyAnnouncement(start, ip1, announcement(incarnation, 5, alpha, Ready)))
	}
	for incarnation := uint64(1); incarnation < 4; incarnation++ {
		require.Equal(t, Stale, v.ApplyAnnouncement(start, ip1, announcement(incarnation, 99, alpha, Gone)), incarnation)
	}

	now := start
	fresh := NewView()
	fresh.ApplyAnnouncement(now, ip1, announcement(4, 5, alpha, Ready))
	require.Equal(t, Joined, fresh.ApplyAnnouncement(now, ip1, announcement(1, 99, alpha, Gone)), "view does not know the former process")
	for seq := uint32(6); now.Sub(start) <= OverdueAfter+SameZonePeriod; seq++ {
		now = now.Add(SameZonePeriod)
		fresh.ApplyAnnouncement(now, ip1, announcement(4, seq, alpha, Ready))
		fresh.ApplyBeacon(now, ip2, Beacon{MessageID: MessageID{9, seq}})
	}
	target, _ := fresh.Target(ip1)
	require.Equal(t, Ready, target.State)
	require.Equal(t, now, target.LastSeen)
}

func TestServiceIndexFollowsItsTargets(t *testing.T) {
	v := NewView()
	v.ApplyAnnouncement(start, ip1, announcement(1, 1, alpha, Ready))
	v.ApplyAnnouncement(start, ip2, announcement(2, 1, alpha, Ready))
	require.Len(t, v.TargetsOf(alpha), 2)
	v.ApplyAnnouncement(start, ip1, announcement(1, 2, beta, Ready))
	require.Len(t, v.TargetsOf(alpha), 1)
	require.ElementsMatch(t, []flow.ServiceID{alpha, beta}, v.Services())
	require.True(t, slices.IsSortedFunc(v.Services(), flow.ServiceID.Compare))
	targets, _ := v.Expire(start.Add(ExpireAfter + time.Second))
	require.ElementsMatch(t, []Entry{{IP: ip1, ProcessIncarnation: 1}, {IP: ip2, ProcessIncarnation: 2}}, targets)
	require.Empty(t, v.Services())
}

// TestFreshAgentDoesNotReviveADrainingTarget: a restarted agent finds its target listening and
// announces it as ready before it receives the first heartbeat of the draining target.
func TestFreshAgentDoesNotReviveADrainingTarget(t *testing.T) {
	v := NewView()
	v.ApplyAnnouncement(start, ip1, announcement(1, 1, alpha, Draining))
	fresh := announcement(2, 1, alpha, Ready)
	fresh.TargetIncarnation = 0
	v.ApplyAnnouncement(start, ip1, fresh)
	target, _ := v.Target(ip1)
	require.Equal(t, Draining, target.State)
	v.ApplyAnnouncement(start, ip1, announcement(2, 2, alpha, Ready))
	require.Equal(t, Ready, target.State)
}

func TestDigestsOfDifferentViewsDiffer(t *testing.T) {
	a, b := NewView(), NewView()
	a.ApplyBeacon(start, ip2, Beacon{MessageID: MessageID{1, 1}})
	b.ApplyBeacon(start, ip1, Beacon{MessageID: MessageID{2, 1}})
	require.Equal(t, a.Digest(start, ip1), b.Digest(start, ip2), "both know both balancers")
	a.ApplyAnnouncement(start, 77, announcement(3, 1, alpha, Ready))
	require.NotEqual(t, a.Digest(start, ip1), b.Digest(start, ip2))
	b.ApplyAnnouncement(start, 77, announcement(3, 2, alpha, Ready))
	require.Equal(t, a.Digest(start, ip1), b.Digest(start, ip2))
	a.ApplyAnnouncement(start, 78, announcement(4, 1, alpha, Gone))
	require.NotEqual(t, a.Digest(start, ip1), b.Digest(start, ip2), "the agent is alive")
	later := start.Add(OverdueAfter + 1)
	require.Equal(t, a.Digest(later, ip1), b.Digest(later, ip2), "the gone target is overdue")
}

// TestGenerationRisesWithTargetsThatMayHoldFlows: a search that probed all targets of a
// generation only misses targets that began to hold flows in a later one.
func TestGenerationRisesWithTargetsThatMayHoldFlows(t *testing.T) {
	for name, c := range map[string]struct {
		before, then Announcement
		since        bool
	}{
		"load report":              {announcement(1, 1, alpha, Ready), announcement(1, 2, alpha, Ready), false},
		"draining":                 {announcement(1, 1, alpha, Ready), announcement(1, 2, alpha, Draining), false},
		"ended":                    {announcement(1, 1, alpha, Ready), announcement(1, 2, alpha, Gone), false},
		"started":                  {announcement(1, 1, alpha, Gone), announcement(1, 2, alpha, Ready), true},
		"restarted agent":          {announcement(1, 1, alpha, Ready), announcement(2, 1, alpha, Ready), true},
		"restarted without target": {announcement(1, 1, alpha, Ready), announcement(2, 1, alpha, Gone), false},
		"changed service":          {announcement(1, 1, alpha, Ready), announcement(1, 2, beta, Ready), true},
		"late message":             {announcement(1, 2, alpha, Ready), announcement(1, 1, alpha, Gone), false},
	} {
		v := NewView()
		v.ApplyAnnouncement(start, ip2, announcement(9, 1, alpha, Ready))
		v.ApplyAnnouncement(start, ip1, c.before)
		g := v.Generation()
		v.ApplyAnnouncement(start, ip1, c.then)
		target, _ := v.Target(ip1)
		require.Equal(t, c.since, v.Generation() != g, name)
		require.Equal(t, c.since, target.MayHoldFlowsSince(start, g), name)
		unchanged, _ := v.Target(ip2)
		require.False(t, unchanged.MayHoldFlowsSince(start, g), name)
	}
}

func TestNewestConfiguration(t *testing.T) {
	v := NewView()
	_, _, newer := v.NewestConfig(0)
	require.False(t, newer)
	v.ApplyBeacon(start, ip1, Beacon{MessageID: MessageID{1, 1}, ConfigVersion: 5})
	v.ApplyBeacon(start, ip2, Beacon{MessageID: MessageID{2, 1}, ConfigVersion: 7})
	best, version, newer := v.NewestConfig(5)
	require.True(t, newer)
	require.Equal(t, ip2, best)
	require.EqualValues(t, 7, version)
	_, _, newer = v.NewestConfig(7)
	require.False(t, newer)
}

// TestEachZoneHasFeeders: the first balancers of each zone watch the store, and any other
// balancer does if it sees too few eligible feeders.
func TestEachZoneHasFeeders(t *testing.T) {
	const zone, elsewhere = flow.Tag(1), flow.Tag(2)
	v := NewView()
	receive := func(at time.Time, ip flow.IPv4, zone flow.Tag, feeding, leaving bool) {
		seq := uint32(at.Sub(start)/time.Millisecond) + 1
		v.ApplyBeacon(at, ip, Beacon{MessageID: MessageID{uint64(ip), seq}, Zone: zone, Feeder: feeding, Leaving: leaving})
	}
	self := flow.IPv4(100)
	require.True(t, v.MustFeed(start, self, zone), "alone")
	receive(start, 1, zone, true, false)
	require.True(t, v.MustFeed(start, self, zone), "second of its zone")
	receive(start, 2, zone, true, false)
	require.True(t, v.MustFeed(start, self, zone), "two feeders are too few")
	receive(start, 200, elsewhere, true, false)
	require.False(t, v.MustFeed(start, self, zone))
	require.True(t, v.MustFeed(start, 50, elsewhere), "first of its zone")
	later := start.Add(time.Duration(eligiblePeriods*float64(SameZonePeriod)) + time.Millisecond)
	require.True(t, v.MustFeed(later, self, zone), "feeders not eligible any more")
	for _, ip := range []flow.IPv4{1, 2, 200} {
		receive(later, ip, zone, ip != 1, false)
	}
	require.True(t, v.MustFeed(later, self, zone), "one gets no answer from the store")
	again := later.Add(time.Second)
	receive(again, 1, zone, true, true)
	require.True(t, v.MustFeed(again, self, zone), "one feeder is leaving")
}

func FuzzDecode(f *testing.F) {
	a := announcement(1, 1, alpha, Ready)
	f.Add(a.Append(nil))
	f.Add((&Beacon{}).Append(nil))
	f.Add(AppendEvacuations(nil, flow.Evacuations{}))
	f.Add(AppendRelay(nil, a.Append(nil)))
	AppendBatches(nil, []RelayedMessage{{ip1, a.Append(nil)}, {ip2, (&Beacon{}).Append(nil)}}, func(b []byte) { f.Add(b) })
	f.Fuzz(func(t *testing.T, b []byte) {
		if got, err := DecodeAnnouncement(b); err == nil {
			require.LessOrEqual(t, got.State, Gone)
		}
		_, _ = DecodeBeacon(b)
		_, _ = DecodeNodeList(b)
		if _, message, err := DecodeRelay(b); err == nil {
			require.Equal(t, b, AppendRelay(nil, message))
			_, _ = DecodeMessageID(message)
		}
		if messages, err := DecodeBatch(b); err == nil {
			whole := b[:envelope.PrefixLen:envelope.PrefixLen]
			for _, m := range messages {
				AppendBatches(nil, []RelayedMessage{m}, func(one []byte) { whole = append(whole, one[envelope.PrefixLen:]...) })
			}
			require.Equal(t, b, whole)
		}
		if e, err := DecodeEvacuations(b); err == nil {
			require.Equal(t, b, AppendEvacuations(nil, e))
		}
	})
}

// TestCrossZonePeriodGrowsWithTheFleet checks that a node's cross-zone traffic is bounded, and
// that the period, and with it the detection time of a dead node, has an upper bound.
func TestCrossZonePeriodGrowsWithTheFleet(t *testing.T) {
	for nodes, want := range map[int]time.Duration{
		0: SameZonePeriod, 4: SameZonePeriod, 6: 1500 * time.Millisecond, 64: maxCrossZonePeriod, 1500: maxCrossZonePeriod,
	} {
		require.Equal(t, want, CrossZonePeriod(nodes), nodes)
	}
}

// TestOverdueTimeFollowsTheAnnouncedPeriod: a node that announces a longer period is overdue
// later.
func TestOverdueTimeFollowsTheAnnouncedPeriod(t *testing.T) {
	v := NewView()
	a := announcement(1, 1, alpha, Ready)
	a.Period = 2 * time.Second
	v.ApplyAnnouncement(start, ip1, a)
	target, _ := v.Target(ip1)
	require.False(t, target.Overdue(start.Add(2*OverdueAfter)))
	require.True(t, target.Overdue(start.Add(2*OverdueAfter+1)))
	v.ApplyBeacon(start, ip1, Beacon{MessageID: MessageID{2, 1}, Period: 2 * time.Second})
	require.False(t, v.IsReaper(start.Add(4*time.Second), ip2))
	require.True(t, v.IsReaper(start.Add(5*time.Second), ip2))
}
