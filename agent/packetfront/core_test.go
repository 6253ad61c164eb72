package packetfront

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poppywall/poppywall/backlog"
	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/flow/envelope"
	"github.com/poppywall/poppywall/flow/envelope/envelopetest"
	"github.com/poppywall/poppywall/platform"
	"github.com/poppywall/poppywall/platform/platformtest"
)

// service is the agent's service, otherService another one.
var service, otherService = flow.ServiceIDOf("alpha"), flow.ServiceIDOf("beta")

const (
	balancerIP = flow.IPv4(0x0a000001)
	nextIP     = flow.IPv4(0x0a000002)
)

// port records the packets and datagrams that a core sends.
type port struct {
	envelopetest.Recorder

	target [][]byte
	client int
}

func (p *port) ToTarget(packet []byte)         { p.target = append(p.target, append([]byte(nil), packet...)) }
func (p *port) ToClient(_ flow.IPv4, _ []byte) { p.client++ }

// discardEvents discards all events.
type discardEvents struct{}

func (discardEvents) Delivered()                                                  {}
func (discardEvents) RequestDelivered(flow.Key, []byte, int, int, TargetEvidence) {}
func (discardEvents) Queued(flow.Key, []byte, int, time.Duration)                 {}
func (discardEvents) Postponed(flow.Key, time.Duration)                           {}
func (discardEvents) AbandonedInQueue(flow.Key, time.Duration)                    {}
func (discardEvents) Withheld(flow.Key, []byte, AbandonReason)                    {}
func (discardEvents) AbandonedAtTarget(flow.Key, time.Duration)                   {}
func (discardEvents) PassedOn(flow.Key, string, int)                              {}
func (discardEvents) Bounced(flow.Key, bool)                                      {}
func (discardEvents) Reset(flow.Key, string, TargetEvidence)                      {}
func (discardEvents) FlowDenied(flow.Key, string, bool, int, TargetEvidence)      {}
func (discardEvents) FlowExpired(flow.Key, string, time.Duration)                 {}
func (discardEvents) FlowsRecorded(int)                                           {}
func (discardEvents) SentAfterRefusal(flow.Key, bool, TargetEvidence)             {}
func (discardEvents) OtherVersion(flow.IPv4, uint8)                               {}
func (discardEvents) Dropped(DropReason)                                          {}
func (discardEvents) TargetReport(string, fleet.Heartbeat)                        {}
func (discardEvents) IdentityDoubted(string, fleet.Heartbeat)                     {}
func (discardEvents) RequestFailed()                                              {}
func (discardEvents) Ejected(bool, int, int)                                      {}
func (discardEvents) OnProbation(int, time.Duration)                              {}
func (discardEvents) OverloadChanged(bool, backlog.Load, int, time.Duration)      {}
func (discardEvents) PeerChanged(flow.IPv4, string)                               {}
func (discardEvents) ZoneRelayed(flow.Tag, int, bool)                             {}
func (discardEvents) NodeProbed(flow.IPv4, time.Duration)                         {}
func (discardEvents) EvacuationsChanged(_, _ flow.Evacuations, _ string)          {}

// eventCounts counts abandoned requests and overloads.
type eventCounts struct {
	discardEvents

	withheld, abandonedAtTarget, abandonedInQueue, overloads int
}

func (t *eventCounts) Withheld(flow.Key, []byte, AbandonReason)  { t.withheld++ }
func (t *eventCounts) AbandonedAtTarget(flow.Key, time.Duration) { t.abandonedAtTarget++ }
func (t *eventCounts) AbandonedInQueue(flow.Key, time.Duration)  { t.abandonedInQueue++ }

func (t *eventCounts) OverloadChanged(active bool, _ backlog.Load, _ int, _ time.Duration) {
	if active {
		t.overloads++
	}
}

// fixture is the core of an agent that saw its target start. The target has four slots.
type fixture struct {
	*Core
	port   *port
	counts *eventCounts
	now    time.Time
	seq    uint64
	// client is the last client of the flows that offerMany opens.
	client int
	// peak is the maximum number of requests that the target had at once during runUploads.
	peak int
}

var platformCodec = platform.Codec{}

func newFixture() *fixture {
	f := &fixture{port: &port{}, counts: &eventCounts{}, now: time.Unix(1_700_000_000, 0)}
	f.Core = New(f.now, Options{Self: 9, Service: service, Incarnation: 1, HeartbeatPeriod: time.Second, FlowTTL: time.Minute}, f.port, platform.Codec{}, f.counts)
	f.TargetProbed(f.now, ProbeRefused)
	f.TargetProbed(f.now, ProbeAccepted)
	f.registered()
	f.receiveHeartbeat(false)
	return f
}

// TargetProbed delivers the outcome of a probe that took no time.
func (f *fixture) TargetProbed(now time.Time, p Probe) { f.Core.TargetProbed(now, now, p) }

// Heartbeat delivers a heartbeat that was sent at once.
func (f *fixture) Heartbeat(now time.Time, b fleet.Heartbeat) bool {
	return f.Core.Heartbeat(now, now, b)
}

// registered makes the store confirm the agent's entry.
func (f *fixture) registered() {
	f.WantedEntryState(f.now)
	f.EntryStored(f.now, fleet.EntryPresent)
}

func (f *fixture) receiveHeartbeat(draining bool) {
	f.seq++
	f.Heartbeat(f.now, fleet.Heartbeat{TargetIncarnation: fleet.TargetIncarnation{TargetID: "i-1"}, Slots: 4, Draining: draining, Sequence: f.seq})
}

// answerProbe lets the target accept a probe of an overdue answer or of its identity.
func (f *fixture) answerProbe() {
	f.target.awaitingSince = time.Time{}
	f.target.identity.renew(f.now, f.now)
}

// advance lets time pass, during which the target accepts the probes that renew its proof of identity.
func (f *fixture) advance(d time.Duration) {
	end := f.now.Add(d)
	for at := f.now; at.Before(end); at = at.Add(f.target.identity.validity / 2) {
		f.target.identity.renew(at, at)
	}
	f.now = end
	f.Tick(f.now)
}

// receiveBeacon delivers a beacon in which a balancer acknowledges the agent's announcements up to
// a sequence number.
func (f *fixture) receiveBeacon(ip flow.IPv4, zone flow.Tag, acknowledged uint32) {
	f.seq++
	m := fleet.Beacon{MessageID: fleet.MessageID{ProcessIncarnation: 4, Seq: uint32(f.seq)}, Zone: zone, LastReceived: fleet.MessageID{ProcessIncarnation: f.opts.Incarnation, Seq: acknowledged}}
	f.HandleNode(f.now, ip, m.Append(nil))
}

func keyOf(client int) flow.Key {
	return flow.Key{ClientIP: flow.IPv4(0x64400000 + client), ClientPort: 1024, FrontIP: 7, FrontPort: 80}
}

// packet returns a client's packet.
func packet(k flow.Key, flags flow.Flags, ack uint32, data string) []byte {
	return platformtest.FromClient(k, flags, 0, ack, []byte(data))
}

// deliver sends a packet to the agent as a balancer does.
func (f *fixture) deliver(e envelope.Envelope, packet []byte) {
	e.Kind, e.Balancer = envelope.Deliver, balancerIP
	f.HandleNode(f.now, balancerIP, append(e.Append(nil), packet...))
}

func (f *fixture) syn(client int, retransmissions uint32, priority uint8) {
	f.deliver(envelope.Envelope{Service: service, Priority: priority}, packet(keyOf(client), flow.SYN, retransmissions, ""))
}

// targetSends delivers a packet of the target to the agent.
func (f *fixture) targetSends(client int, flags flow.Flags, seq uint32, length int) {
	k := keyOf(client)
	f.HandleTarget(f.now, &flow.Header{Src: k.FrontIP, SrcPort: k.FrontPort, Dst: k.ClientIP, DstPort: k.ClientPort, Flags: flags, Seq: seq, Len: length}, make([]byte, platform.HeaderLen+length))
}

// bounce makes the target bounce the last packet that it received.
func (f *fixture) bounce() {
	p := append([]byte(nil), f.port.target[len(f.port.target)-1]...)
	platformtest.Bounce(p)
	h, err := platform.DecodePacket(p)
	if err != nil {
		panic(err)
	}
	f.HandleTarget(f.now, &h, p)
}

// owners returns the receivers of the owner messages that were sent.
func (f *fixture) owners() []flow.IPv4 {
	var out []flow.IPv4
	for _, s := range f.port.Nodes {
		if s.Kind == envelope.Owner {
			out = append(out, s.To)
		}
	}
	return out
}

// TestNewFlowsAreDeliveredOnlyToAReadyTarget guards against new flows at a target that is
// draining, has ended or serves another service; they go to the next candidate.
func TestNewFlowsAreDeliveredOnlyToAReadyTarget(t *testing.T) {
	for name, c := range map[string]struct {
		prepare func(f *fixture)
		service flow.ServiceID
		taken   bool
	}{
		"ready":            {func(*fixture) {}, service, true},
		"another service":  {func(*fixture) {}, otherService, false},
		"draining":         {func(f *fixture) { f.receiveHeartbeat(true) }, service, false},
		"left":             {func(f *fixture) { f.Deregister(f.now, fleet.TargetIncarnation{TargetID: "i-1"}) }, service, false},
		"another one left": {func(f *fixture) { f.Deregister(f.now, fleet.TargetIncarnation{TargetID: "i-0"}) }, service, true},
		"not listening":    {func(f *fixture) { f.TargetProbed(f.now, ProbeRefused) }, service, false},
		"silent probe":     {func(f *fixture) { f.TargetProbed(f.now, ProbeUnanswered) }, service, true},
		"agent stops":      {func(f *fixture) { f.Stop(f.now) }, service, false},
	} {
		f := newFixture()
		c.prepare(f)
		e := envelope.Envelope{Service: c.service}
		e.SetCandidates([]flow.IPv4{nextIP})
		f.deliver(e, packet(keyOf(1), flow.SYN, 0, ""))
		require.Equal(t, c.taken, len(f.port.target) == 1, name)
		if !c.taken {
			require.Equal(t, nextIP, f.port.Last().To, name)
			require.EqualValues(t, 1, f.port.Last().Env.Hops, name)
		}
	}
}

func TestLateHeartbeatsAreIgnored(t *testing.T) {
	f := newFixture()
	f.receiveHeartbeat(true)
	f.Heartbeat(f.now, fleet.Heartbeat{TargetIncarnation: fleet.TargetIncarnation{TargetID: "i-1"}, Slots: 4, Sequence: 1})
	require.Equal(t, fleet.Draining, f.target.state())
	f.now = f.now.Add(2 * f.opts.HeartbeatPeriod)
	f.Heartbeat(f.now, fleet.Heartbeat{TargetIncarnation: fleet.TargetIncarnation{TargetID: "i-2"}, Slots: 4, Sequence: 1})
	require.Equal(t, fleet.Ready, f.target.state())
	f.Heartbeat(f.now, fleet.Heartbeat{TargetIncarnation: fleet.TargetIncarnation{TargetID: "i-1"}, Slots: 4, Draining: true, Sequence: 99})
	require.Equal(t, fleet.Ready, f.target.state(), "the former target's")
}

func TestBouncedPacketIsPassedOnUnmarked(t *testing.T) {
	f := newFixture()
	e := envelope.Envelope{Service: service}
	e.SetCandidates([]flow.IPv4{nextIP})
	syn := packet(keyOf(1), flow.SYN, 0, "")
	f.deliver(e, syn)
	f.bounce()
	last := f.port.Last()
	require.Equal(t, nextIP, last.To)
	require.Equal(t, syn, last.Raw[len(last.Raw)-len(syn):])
	f.bounce()
	require.Len(t, f.port.Nodes, 1, "a second bounce of the same packet is dropped")
}

func TestLastCandidateReturnsThePacket(t *testing.T) {
	f := newFixture()
	f.deliver(envelope.Envelope{Service: service, Flags: envelope.Search}, packet(keyOf(1), flow.ACK, 500, "x"))
	last := f.port.Last()
	require.Equal(t, balancerIP, last.To)
	require.Equal(t, envelope.Returned, last.Kind)
	require.Equal(t, envelope.Search|envelope.SearchExhausted, last.Env.Flags, "not uncertain: the agent saw its target start")
}

func TestRestartedAgentDeliversUnknownFlowsToItsTarget(t *testing.T) {
	f := newFixture()
	f.Core = New(f.now, f.opts, f.port, platform.Codec{}, discardEvents{})
	f.TargetProbed(f.now, ProbeAccepted)
	f.deliver(envelope.Envelope{Service: service, Flags: envelope.Search}, packet(keyOf(1), flow.ACK, 500, "x"))
	require.Len(t, f.port.target, 1)
	f.bounce()
	require.Equal(t, envelope.Returned, f.port.Last().Kind)
	require.Zero(t, f.port.Last().Env.Flags&envelope.Uncertain, "a bounce is certain: the target does not hold the flow")
}

// TestRetransmittedSYNKeepsAnOpenFlowOpen: the target answers a late retransmission of the
// SYN again, which must not set an open flow back to half open: its client would not be told of
// the target's end.
func TestRetransmittedSYNKeepsAnOpenFlowOpen(t *testing.T) {
	f := newFixture()
	f.syn(1, 0, 0)
	f.targetSends(1, flow.SYN|flow.ACK, 500, 0)
	f.targetSends(1, flow.ACK, 500, 100)
	f.syn(1, 1, 0)
	f.targetSends(1, flow.SYN|flow.ACK, 500, 0)
	f.advance(offeredTTL + time.Second)
	f.receiveHeartbeat(false)
	f.advance(time.Second)
	require.NotNil(t, f.flows.get(keyOf(1)))
	require.Equal(t, open, f.flows.get(keyOf(1)).stage)
}

// TestBouncedSYNRetransmissionKeepsTheHalfOpenFlow: a target may bounce a retransmission of
// the SYN of a flow that it holds half open.
func TestBouncedSYNRetransmissionKeepsTheHalfOpenFlow(t *testing.T) {
	f := newFixture()
	f.syn(1, 0, 0)
	f.targetSends(1, flow.SYN|flow.ACK, 500, 0)
	f.syn(1, 1, 0)
	f.bounce()
	require.NotNil(t, f.flows.get(keyOf(1)))
}

func TestFlowsOfATargetThatEndedAreReset(t *testing.T) {
	open := func() *fixture {
		f := newFixture()
		f.syn(1, 0, 0)
		f.targetSends(1, flow.SYN|flow.ACK, 500, 0)
		f.targetSends(1, flow.ACK, 500, 100)
		return f
	}
	t.Run("it refuses connections", func(t *testing.T) {
		f := open()
		f.TargetProbed(f.now, ProbeRefused)
		require.Equal(t, []flow.Key{keyOf(1)}, f.port.Resets)
	})
	t.Run("a target probe without an answer", func(t *testing.T) {
		f := open()
		f.TargetProbed(f.now, ProbeUnanswered)
		require.Empty(t, f.port.Resets)
	})
	t.Run("it has left", func(t *testing.T) {
		f := open()
		f.Deregister(f.now, fleet.TargetIncarnation{TargetID: "i-1"})
		f.TargetProbed(f.now, ProbeUnanswered)
		f.advance(deregistrationGrace / 2)
		require.Empty(t, f.port.Resets, "it may still send")
		f.advance(deregistrationGrace)
		require.Empty(t, f.port.Resets, "a probe without an answer shows nothing")
		f.TargetProbed(f.now, ProbeRefused)
		require.Len(t, f.port.Resets, 1)
	})
	t.Run("it has left, still listens, and the agent was suspended", func(t *testing.T) {
		f := open()
		f.Deregister(f.now, fleet.TargetIncarnation{TargetID: "i-1"})
		f.TargetProbed(f.now, ProbeAccepted)
		f.advance(2 * deregistrationGrace)
		require.Empty(t, f.port.Resets, "no target probe has failed")
		f.TargetProbed(f.now, ProbeAccepted)
		f.advance(deregistrationGrace / 2)
		require.Empty(t, f.port.Resets)
		f.TargetProbed(f.now, ProbeUnanswered)
		f.advance(deregistrationGrace)
		require.Empty(t, f.port.Resets)
		f.TargetProbed(f.now, ProbeRefused)
		require.Len(t, f.port.Resets, 1)
	})
	t.Run("it has left, and its port does not answer any more", func(t *testing.T) {
		f := open()
		f.Deregister(f.now, fleet.TargetIncarnation{TargetID: "i-1"})
		f.now = f.now.Add(silenceTimeout - 1)
		f.TargetProbed(f.now, ProbeUnanswered)
		f.advance(silenceTimeout)
		require.Empty(t, f.port.Resets, "the last probe was earlier")
		f.TargetProbed(f.now, ProbeUnanswered)
		f.advance(1)
		require.Len(t, f.port.Resets, 1)
	})
	t.Run("it bounces an open flow", func(t *testing.T) {
		f := open()
		f.deliver(envelope.Envelope{}, packet(keyOf(1), flow.ACK, 600, "x"))
		f.bounce()
		require.Len(t, f.port.Resets, 1)
	})
	t.Run("a later flow between the same ports is not touched", func(t *testing.T) {
		f := open()
		f.deliver(envelope.Envelope{}, packet(keyOf(1), flow.ACK, 0x70000000, "x"))
		require.Empty(t, f.port.Resets)
		require.Equal(t, envelope.Returned, f.port.Last().Kind)
	})
}

func TestFlowsWithoutARequestStopCountingAsLoad(t *testing.T) {
	f := newFixture()
	for i := range f.targetLimit() {
		f.syn(i, 0, 0)
		f.targetSends(i, flow.SYN|flow.ACK, 500, 0)
	}
	require.Equal(t, f.targetLimit(), f.Busy())
	f.advance(pendingOpenTTL + time.Millisecond)
	require.Zero(t, f.Busy())
}

// TestHeartbeatAfterARefusedProbeMarksTheTargetUp: the target may have started since the
// target probe. A report of the incarnation that was refused may be a late one: it counts once that
// incarnation has reported again.
func TestHeartbeatAfterARefusedProbeMarksTheTargetUp(t *testing.T) {
	for name, report := range map[string]func(f *fixture){
		"another incarnation": func(f *fixture) { f.receiveHeartbeatOf(0, "i-2", 1, false) },
		"the same, twice": func(f *fixture) {
			f.receiveHeartbeat(false)
			require.Equal(t, fleet.Absent, f.announcement(f.now).State)
			f.syn(1, 0, 0)
			require.Empty(t, f.port.target, "it may be a late report")
			f.now = f.now.Add(f.opts.HeartbeatPeriod)
			f.receiveHeartbeat(false)
		},
	} {
		f := newFixture()
		f.TargetProbed(f.now, ProbeRefused)
		require.Equal(t, fleet.Gone, f.announcement(f.now).State, name)
		report(f)
		require.Equal(t, fleet.Ready, f.announcement(f.now).State, name)
		f.syn(1, 0, 0)
		require.Len(t, f.port.target, 1, name)
	}
}

func TestTargetIsProbedOnlyWhenOverdue(t *testing.T) {
	f := newFixture()
	f.advance(answerTimeout * 2)
	require.False(t, f.WantsProbe(f.now))
	f.syn(1, 0, 0)
	f.advance(answerTimeout + time.Millisecond)
	require.True(t, f.WantsProbe(f.now), "an answer is overdue")
	f.targetSends(1, flow.SYN|flow.ACK, 500, 0)
	require.False(t, f.WantsProbe(f.now))
	f.advance(4 * time.Second)
	require.True(t, f.WantsProbe(f.now), "its heartbeats are overdue")
}

// FuzzHandleNode feeds arbitrary datagrams from a node: only valid packets in valid
// envelopes may reach the target.
func FuzzHandleNode(f *testing.F) {
	f.Add([]byte("nonsense"))
	e := envelope.Envelope{Kind: envelope.Deliver, Service: otherService, Count: 1}
	f.Add(append(e.Append(nil), packet(keyOf(1), flow.SYN, 0, "")...))
	f.Fuzz(func(t *testing.T, b []byte) {
		x := newFixture()
		x.HandleNode(x.now, 77, b)
		for _, p := range x.port.target {
			_, err := platform.DecodePacket(p)
			require.NoError(t, err)
		}
	})
}
