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

// overloadHeard keeps what a core tells of overload.
type overloadHeard struct {
	quiet
	changes []Overload
	drops   map[DropReason]int
}

func (h *overloadHeard) OverloadChanged(o Overload) { h.changes = append(h.changes, o) }
func (h *overloadHeard) Dropped(d DropReason)       { h.drops[d]++ }

// overloadFixture is a balancer before eight targets of a service and two routes to it.
type overloadFixture struct {
	*fixture
	heard   *overloadHeard
	clients uint32
	// each is the time between two answers that targets announce.
	each time.Duration
}

const (
	firstOverloaded = flow.IPv4(0x0a030000)
	overloadTargets = 8
	writePort       = 81
)

func newOverloadFixture() *overloadFixture {
	f := &overloadFixture{
		fixture: &fixture{port: &envelopetest.Recorder{}, now: time.Unix(1_700_000_000, 0)},
		heard:   &overloadHeard{drops: map[DropReason]int{}},
	}
	f.heard.quiet = quiet{&f.doubt, &f.kept}
	f.Core = New(f.now, Options{Self: self, Zone: 1, Incarnation: 1, Weights: choose.Weights{CrossZoneCost: 1, Warming: 1.6}},
		f.port, platform.Codec{}, f.heard, rand.New(rand.NewPCG(1, 1)))
	backends := []flow.Backend{{Name: "alpha", Tag: alpha, Weight: 1}}
	f.SetConfig(f.now, &flow.Config{Version: 5, Routes: map[flow.Front]*flow.Route{
		front:                           {Name: "read", Priority: 2, Deadline: 1200 * time.Millisecond, Backends: backends},
		{IP: front.IP, Port: writePort}: {Name: "write", Priority: 1, Deadline: 1200 * time.Millisecond, Backends: backends},
	}})
	f.now = f.now.Add(search.SettleTime + time.Second)
	f.overload(0)
	f.port.Nodes = nil
	return f
}

// tell lets the agent of a target announce.
func (f *overloadFixture) tell(i int, a fleet.Announcement) {
	f.seq++
	ip := firstOverloaded + flow.IPv4(i)
	a.MessageID = fleet.MessageID{Incarnation: uint64(ip), Seq: f.seq}
	a.Service, a.Slots, a.Zone = alpha, 4, 1
	f.HandleNode(f.now, ip, a.Append(nil))
}

// overload lets all targets announce, the first n of them that they are overloaded.
func (f *overloadFixture) overload(n int) {
	for i := range overloadTargets {
		f.tell(i, fleet.Announcement{State: fleet.Ready, LoadReport: fleet.LoadReport{Overloaded: i < n, AnswerInterval: f.each}})
	}
}

// open sends a first copy from a fresh client and returns its flow.
func (f *overloadFixture) open(port uint16) flow.Key {
	f.clients++
	k := flow.Key{ClientIP: 0x64400000 + flow.IPv4(f.clients), ClientPort: 4000, FrontIP: front.IP, FrontPort: port}
	f.copyOf(k, 0)
	return k
}

func (f *overloadFixture) copyOf(k flow.Key, copies uint32) {
	f.client(platformtest.FromClient(k, flow.SYN, 0, copies, nil))
}

// returnLast gives the last packet back as refused by all.
func (f *overloadFixture) returnLast() {
	sent := f.port.Delivered()
	last := sent[len(sent)-1]
	e := last.Env
	e.Kind, e.Count = envelope.Returned, 0
	packet, _ := f.env.Decode(last.Raw)
	f.HandleNode(f.now, last.To, append(e.Append(nil), packet...))
}

// offerFlows lets flows come for a while, perTick in each tickPeriod, of which the targets take
// so many. It returns how many were offered to targets.
func (f *overloadFixture) offerFlows(d time.Duration, port uint16, perTick, taken, overloaded int) (offered int) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(tickPeriod) {
		f.overload(overloaded)
		f.Tick(f.now)
		left := taken
		for range perTick {
			former := len(f.port.Delivered())
			f.open(port)
			if len(f.port.Delivered()) == former {
				continue
			}
			offered++
			if left == 0 {
				f.returnLast()
				continue
			}
			left--
		}
		f.port.Nodes = nil
	}
	return offered
}

// TestAServiceIsOverloadedByMostOfItsSlots: by what its targets announced last.
func TestAServiceIsOverloadedByMostOfItsSlots(t *testing.T) {
	for name, c := range map[string]struct {
		does func(f *overloadFixture)
		want bool
	}{
		"none":      {func(f *overloadFixture) { f.overload(0) }, false},
		"half":      {func(f *overloadFixture) { f.overload(4) }, false},
		"most":      {func(f *overloadFixture) { f.overload(5) }, true},
		"all":       {func(f *overloadFixture) { f.overload(8) }, true},
		"no target": {func(f *overloadFixture) { f.now = f.now.Add(fleet.ExpireAfter); f.Tick(f.now) }, false},
		"most, but these are quiet": {func(f *overloadFixture) {
			f.overload(5)
			f.now = f.now.Add(fleet.OverdueAfter + time.Millisecond)
			for i := 5; i < overloadTargets; i++ {
				f.tell(i, fleet.Announcement{State: fleet.Ready})
			}
		}, false},
		"half, and the others drain": {func(f *overloadFixture) {
			f.overload(4)
			for i := 4; i < overloadTargets; i++ {
				f.tell(i, fleet.Announcement{State: fleet.Draining})
			}
		}, true},
		"a message of a former process does not count": {func(f *overloadFixture) {
			f.overload(4)
			ip := firstOverloaded + 7
			late := fleet.Announcement{MessageID: fleet.MessageID{Incarnation: uint64(ip), Seq: 1}, Service: alpha, State: fleet.Ready, Slots: 400, LoadReport: fleet.LoadReport{Overloaded: true}}
			f.HandleNode(f.now, ip, late.Append(nil))
		}, false},
		"told twice is told once": {func(f *overloadFixture) { f.overload(5); f.overload(5) }, true},
	} {
		f := newOverloadFixture()
		c.does(f)
		d := f.serviceLoad(f.now, flow.Backend{Name: "alpha", Tag: alpha})
		require.Equal(t, c.want, d.Overloaded, name)
	}
}

// TestFlowsOfAnOverloadedServiceVisitFewTargets, all others as many as there are.
func TestFlowsOfAnOverloadedServiceVisitFewTargets(t *testing.T) {
	f := newOverloadFixture()
	f.open(front.Port)
	require.Equal(t, openSameZone-1, f.port.Last().Env.Count)
	f.overload(overloadTargets)
	f.open(front.Port)
	require.Equal(t, overloadTries-1, f.port.Last().Env.Count)
	require.Empty(t, f.port.Resets, "what agents refuse is theirs to decide")
}

// TestNoSecondTargetThatWouldRefuse: an objective of 200 ms, two times 24 ms of work; the
// first one is asked in any case, for it may have room by now.
func TestNoSecondTargetThatWouldRefuse(t *testing.T) {
	for wait, others := range map[time.Duration]int{140 * time.Millisecond: 1, 160 * time.Millisecond: 0} {
		f := newOverloadFixture()
		f.operator.Config().Routes[front].Objective = 200 * time.Millisecond
		for i := range overloadTargets {
			f.tell(i, fleet.Announcement{State: fleet.Ready, LoadReport: fleet.LoadReport{Overloaded: true, QueueDelay: wait, ResponseTime: 24 * time.Millisecond}})
		}
		f.open(front.Port)
		require.Equal(t, others, f.port.Last().Env.Count, wait)
		require.Empty(t, f.port.Resets)
	}
}

// TestAFalseOverloadEndsWithOneAnnouncement.
func TestAFalseOverloadEndsWithOneAnnouncement(t *testing.T) {
	f := newOverloadFixture()
	f.offerFlows(2*time.Second, front.Port, 20, 2, 5)
	require.Len(t, f.heard.changes, 1)
	require.True(t, f.heard.changes[0].Overloaded)
	f.open(front.Port)
	require.Len(t, f.heard.changes, 1)
	f.tell(0, fleet.Announcement{State: fleet.Ready})
	resets := len(f.port.Resets)
	for range 50 {
		f.open(front.Port)
	}
	require.Len(t, f.port.Resets, resets)
	require.Len(t, f.heard.changes, 2)
	require.False(t, f.heard.changes[1].Overloaded)
}

// TestAFlowForWhichATargetHasRoomIsOffered, to that target first: three of eight have four
// free slots each.
func TestAFlowForWhichATargetHasRoomIsOffered(t *testing.T) {
	f := newOverloadFixture()
	f.offerFlows(2*time.Second, front.Port, 20, 0, overloadTargets)
	for i := range 3 {
		f.tell(i, fleet.Announcement{State: fleet.Ready})
	}
	free := 0
	for range 60 {
		former := len(f.port.Delivered())
		f.open(front.Port)
		if len(f.port.Delivered()) > former && f.port.Last().To < firstOverloaded+3 {
			free++
		}
	}
	require.True(t, f.serviceLoad(f.now, flow.Backend{Name: "alpha", Tag: alpha}).Overloaded)
	require.GreaterOrEqual(t, free, 12, "each slot that was announced as free")
}

// TestAnOverloadEndsWhenItsAgentsFallSilent: agents that are frozen tell nothing new.
func TestAnOverloadEndsWhenItsAgentsFallSilent(t *testing.T) {
	f := newOverloadFixture()
	f.offerFlows(time.Second, front.Port, 20, 2, overloadTargets)
	f.now = f.now.Add(fleet.OverdueAfter + tickPeriod)
	f.Tick(f.now)
	require.False(t, f.heard.changes[len(f.heard.changes)-1].Overloaded)
}

// TestServicesThatNobodyAsksForAreForgotten.
func TestServicesThatNobodyAsksForAreForgotten(t *testing.T) {
	f := newOverloadFixture()
	f.open(front.Port)
	require.Len(t, f.loads, 1)
	f.now = f.now.Add(fleet.ExpireAfter + tickPeriod)
	f.Tick(f.now)
	require.Empty(t, f.loads)
}
