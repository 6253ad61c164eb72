package packetfront

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poppywall/poppywall/balancer/search"
	"github.com/poppywall/poppywall/choose"
	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/flow/envelope"
	"github.com/poppywall/poppywall/flow/envelope/envelopetest"
	"github.com/poppywall/poppywall/platform"
	"github.com/poppywall/poppywall/platform/platformtest"
)

// overloadRecorder records the changes of overload, and counts dropped packets by reason.
type overloadRecorder struct {
	eventRecorder
	changes []Overload
	drops   map[DropReason]int
}

func (r *overloadRecorder) OverloadChanged(o Overload) { r.changes = append(r.changes, o) }
func (r *overloadRecorder) Dropped(d DropReason)       { r.drops[d]++ }

// overloadFixture is a balancer with eight targets of a service and two routes to it.
type overloadFixture struct {
	*fixture
	recorder *overloadRecorder
	clients  uint32
	// answerInterval is the answer interval that targets announce.
	answerInterval time.Duration
}

const (
	firstOverloaded = flow.IPv4(0x0a030000)
	overloadTargets = 8
	writePort       = 81
)

func newOverloadFixture() *overloadFixture {
	f := &overloadFixture{
		fixture:  &fixture{port: &envelopetest.Recorder{}, now: time.Unix(1_700_000_000, 0)},
		recorder: &overloadRecorder{drops: map[DropReason]int{}},
	}
	f.recorder.eventRecorder = eventRecorder{&f.uncertainty, &f.buffered}
	f.Core = New(f.now, Options{Self: self, Zone: 1, Incarnation: 1, Weights: choose.Weights{CrossZoneCost: 1, Warming: 1.6}},
		f.port, platform.Codec{}, f.recorder, rand.New(rand.NewPCG(1, 1)))
	backends := []flow.WeightedService{{Name: "alpha", ID: alpha, Weight: 1}}
	f.SetConfig(f.now, &flow.Config{Version: 5, Routes: map[flow.Front]*flow.Route{
		front:                           {Name: "read", Priority: 2, Deadline: 1200 * time.Millisecond, Services: backends},
		{IP: front.IP, Port: writePort}: {Name: "write", Priority: 1, Deadline: 1200 * time.Millisecond, Services: backends},
	}})
	f.now = f.now.Add(search.SettleTime + time.Second)
	f.announceOverloaded(0)
	f.port.Nodes = nil
	return f
}

// announceLoadOf delivers an announcement of the target with the given index.
func (f *overloadFixture) announceLoadOf(i int, a fleet.Announcement) {
	f.seq++
	ip := firstOverloaded + flow.IPv4(i)
	a.MessageID = fleet.MessageID{ProcessIncarnation: uint64(ip), Seq: f.seq}
	a.Service, a.Slots, a.Zone = alpha, 4, 1
	f.HandleNode(f.now, ip, a.Append(nil))
}

// announceOverloaded delivers an announcement of each target; the first n are overloaded.
func (f *overloadFixture) announceOverloaded(n int) {
	for i := range overloadTargets {
		f.announceLoadOf(i, fleet.Announcement{State: fleet.Ready, LoadReport: fleet.LoadReport{Overloaded: i < n, AnswerInterval: f.answerInterval}})
	}
}

// open sends the first SYN of a new client and returns its flow.
func (f *overloadFixture) open(port uint16) flow.Key {
	f.clients++
	k := flow.Key{ClientIP: 0x64400000 + flow.IPv4(f.clients), ClientPort: 4000, FrontIP: front.IP, FrontPort: port}
	f.sendSYN(k, 0)
	return k
}

// sendSYN sends a SYN that its client has sent the given number of times before.
func (f *overloadFixture) sendSYN(k flow.Key, retransmissions uint32) {
	f.receiveFromClient(platformtest.FromClient(k, flow.SYN, 0, retransmissions, nil))
}

// returnLastSYN returns the last SYN to the balancer as refused by all candidates.
func (f *overloadFixture) returnLastSYN() {
	sent := f.port.Delivered()
	last := sent[len(sent)-1]
	e := last.Env
	e.Kind, e.Count = envelope.Returned, 0
	packet, _ := f.env.Decode(last.Raw)
	f.HandleNode(f.now, last.To, append(e.Append(nil), packet...))
}

// offerFlows opens flows for a time, perTick in each tickPeriod, of which the targets accept the
// given number and refuse the others. It returns how many were offered to targets.
func (f *overloadFixture) offerFlows(d time.Duration, port uint16, perTick, accepted, overloaded int) (offered int) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(tickPeriod) {
		f.announceOverloaded(overloaded)
		f.Tick(f.now)
		remaining := accepted
		for range perTick {
			before := len(f.port.Delivered())
			f.open(port)
			if len(f.port.Delivered()) == before {
				continue
			}
			offered++
			if remaining == 0 {
				f.returnLastSYN()
				continue
			}
			remaining--
		}
		f.port.Nodes = nil
	}
	return offered
}

// TestAServiceIsOverloadedWhenMostOfItsSlotsAre: only the last announcements of targets that
// accept flows and are not overdue count.
func TestAServiceIsOverloadedWhenMostOfItsSlotsAre(t *testing.T) {
	for name, c := range map[string]struct {
		prepare func(f *overloadFixture)
		want    bool
	}{
		"none":      {func(f *overloadFixture) { f.announceOverloaded(0) }, false},
		"half":      {func(f *overloadFixture) { f.announceOverloaded(4) }, false},
		"most":      {func(f *overloadFixture) { f.announceOverloaded(5) }, true},
		"all":       {func(f *overloadFixture) { f.announceOverloaded(8) }, true},
		"no target": {func(f *overloadFixture) { f.now = f.now.Add(fleet.ExpireAfter); f.Tick(f.now) }, false},
		"most, but these are overdue": {func(f *overloadFixture) {
			f.announceOverloaded(5)
			f.now = f.now.Add(fleet.OverdueAfter + time.Millisecond)
			for i := 5; i < overloadTargets; i++ {
				f.announceLoadOf(i, fleet.Announcement{State: fleet.Ready})
			}
		}, false},
		"half, and the others are draining": {func(f *overloadFixture) {
			f.announceOverloaded(4)
			for i := 4; i < overloadTargets; i++ {
				f.announceLoadOf(i, fleet.Announcement{State: fleet.Draining})
			}
		}, true},
		"an outdated message does not count": {func(f *overloadFixture) {
			f.announceOverloaded(4)
			ip := firstOverloaded + 7
			outdated := fleet.Announcement{MessageID: fleet.MessageID{ProcessIncarnation: uint64(ip), Seq: 1}, Service: alpha, State: fleet.Ready, Slots: 400, LoadReport: fleet.LoadReport{Overloaded: true}}
			f.HandleNode(f.now, ip, outdated.Append(nil))
		}, false},
		"announced twice": {func(f *overloadFixture) { f.announceOverloaded(5); f.announceOverloaded(5) }, true},
	} {
		f := newOverloadFixture()
		c.prepare(f)
		load := f.serviceLoad(f.now, flow.WeightedService{Name: "alpha", ID: alpha})
		require.Equal(t, c.want, load.Overloaded, name)
	}
}

// TestFlowsOfAnOverloadedServiceGetFewCandidates: without an overload, they get as many as
// there are, up to sameZoneCandidates in one zone.
func TestFlowsOfAnOverloadedServiceGetFewCandidates(t *testing.T) {
	f := newOverloadFixture()
	f.open(front.Port)
	require.Equal(t, sameZoneCandidates-1, f.port.Last().Env.Count)
	f.announceOverloaded(overloadTargets)
	f.open(front.Port)
	require.Equal(t, overloadMaxOpenAttempts-1, f.port.Last().Env.Count)
	require.Empty(t, f.port.Resets, "only agents refuse flows of an overloaded service")
}

// TestCandidatesThatWouldRefuseAreDropped: with an objective of 200 ms and a response time of 24 ms,
// counted twice, a queue delay of up to 152 ms is acceptable. The first candidate is kept in any
// case: it may have free slots by now.
func TestCandidatesThatWouldRefuseAreDropped(t *testing.T) {
	for wait, candidates := range map[time.Duration]int{140 * time.Millisecond: 1, 160 * time.Millisecond: 0} {
		f := newOverloadFixture()
		f.operator.Config().Routes[front].Objective = 200 * time.Millisecond
		for i := range overloadTargets {
			f.announceLoadOf(i, fleet.Announcement{State: fleet.Ready, LoadReport: fleet.LoadReport{Overloaded: true, QueueDelay: wait, ResponseTime: 24 * time.Millisecond}})
		}
		f.open(front.Port)
		require.Equal(t, candidates, f.port.Last().Env.Count, wait)
		require.Empty(t, f.port.Resets)
	}
}

// TestAnOverloadEndsWhenHalfOfTheSlotsAreFree: one announcement ends it at once, even if half of
// the targets are still overloaded.
func TestAnOverloadEndsWhenHalfOfTheSlotsAreFree(t *testing.T) {
	f := newOverloadFixture()
	f.offerFlows(2*time.Second, front.Port, 20, 2, 5)
	require.Len(t, f.recorder.changes, 1)
	require.True(t, f.recorder.changes[0].Overloaded)
	f.open(front.Port)
	require.Len(t, f.recorder.changes, 1)
	f.announceLoadOf(0, fleet.Announcement{State: fleet.Ready})
	resets := len(f.port.Resets)
	for range 50 {
		f.open(front.Port)
	}
	require.Len(t, f.port.Resets, resets)
	require.Len(t, f.recorder.changes, 2)
	require.False(t, f.recorder.changes[1].Overloaded)
}

// TestFlowsOfAnOverloadedServicePreferFreeSlots: flows go to the targets with free slots first,
// three of eight with four slots each.
func TestFlowsOfAnOverloadedServicePreferFreeSlots(t *testing.T) {
	f := newOverloadFixture()
	f.offerFlows(2*time.Second, front.Port, 20, 0, overloadTargets)
	for i := range 3 {
		f.announceLoadOf(i, fleet.Announcement{State: fleet.Ready})
	}
	atFreeSlots := 0
	for range 60 {
		before := len(f.port.Delivered())
		f.open(front.Port)
		if len(f.port.Delivered()) > before && f.port.Last().To < firstOverloaded+3 {
			atFreeSlots++
		}
	}
	require.True(t, f.serviceLoad(f.now, flow.WeightedService{Name: "alpha", ID: alpha}).Overloaded)
	require.GreaterOrEqual(t, atFreeSlots, 12, "all slots that were announced as free")
}

// TestAnOverloadEndsWhenItsAgentsAreOverdue: frozen agents never announce the end of an overload.
func TestAnOverloadEndsWhenItsAgentsAreOverdue(t *testing.T) {
	f := newOverloadFixture()
	f.offerFlows(time.Second, front.Port, 20, 2, overloadTargets)
	f.now = f.now.Add(fleet.OverdueAfter + tickPeriod)
	f.Tick(f.now)
	require.False(t, f.recorder.changes[len(f.recorder.changes)-1].Overloaded)
}

// TestLoadsOfUnusedServicesAreRemoved: the state of a service without new flows is not kept.
func TestLoadsOfUnusedServicesAreRemoved(t *testing.T) {
	f := newOverloadFixture()
	f.open(front.Port)
	require.Len(t, f.loads, 1)
	f.now = f.now.Add(fleet.ExpireAfter + tickPeriod)
	f.Tick(f.now)
	require.Empty(t, f.loads)
}
