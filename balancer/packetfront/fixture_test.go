package packetfront

import (
	"math/rand/v2"
	"time"

	"github.com/poppywall/poppywall/balancer/operator"
	"github.com/poppywall/poppywall/balancer/search"
	"github.com/poppywall/poppywall/choose"
	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/flow/envelope"
	"github.com/poppywall/poppywall/flow/envelope/envelopetest"
	"github.com/poppywall/poppywall/platform"
	"github.com/poppywall/poppywall/platform/platformtest"
)

const (
	self    = flow.IPv4(0x0a000001)
	targetA = flow.IPv4(0x0a010001)
	targetB = flow.IPv4(0x0a010002)
	targetC = flow.IPv4(0x0a010003)
	peer    = flow.IPv4(0x0a000002)
)

var (
	alpha = flow.ServiceIDOf("alpha")
	front = flow.Front{IP: 7, Port: 80}
)

// eventRecorder implements Events. It records the uncertainty of the last lost packet and counts buffered
// packets.
type eventRecorder struct {
	uncertainty *Uncertainty
	buffered    *int
}

func (eventRecorder) Forwarded()                                           {}
func (eventRecorder) Opened(Decision)                                      {}
func (eventRecorder) Refused(flow.Key, string, string)                     {}
func (eventRecorder) OverloadChanged(Overload)                             {}
func (eventRecorder) Searching(flow.Key, [][]flow.IPv4, int)               {}
func (eventRecorder) ProbeReturned(flow.Key, flow.IPv4, int, bool, int)    {}
func (eventRecorder) Unanswered(flow.Key, [][]flow.IPv4, int)              {}
func (eventRecorder) RecordReturned(flow.Key, flow.IPv4, bool)             {}
func (eventRecorder) OwnerFound(flow.Key, flow.IPv4, int)                  {}
func (q eventRecorder) Lost(_ flow.Key, _ int, d Uncertainty, _ flow.IPv4) { *q.uncertainty = d }
func (q eventRecorder) Buffered(flow.Key, BufferReason)                    { *q.buffered++ }
func (eventRecorder) OtherVersion(flow.IPv4, uint8)                        {}
func (eventRecorder) Dropped(DropReason)                                   {}
func (eventRecorder) TargetChanged(*fleet.Target, fleet.Change)            {}
func (eventRecorder) TargetExpired(flow.IPv4)                              {}
func (eventRecorder) PeerChanged(flow.IPv4, string)                        {}
func (eventRecorder) ZoneSilenceChanged(fleet.ZoneSilence)                 {}
func (eventRecorder) ZoneRelayed(flow.Tag, int, bool)                      {}
func (eventRecorder) Relayed(int)                                          {}
func (eventRecorder) NodeProbed(flow.IPv4, time.Duration)                  {}
func (eventRecorder) RotationChanged(bool, float64, float64, int)          {}
func (eventRecorder) EvacuationsChanged(_, _ flow.Evacuations, _ string)   {}

// fixture is a balancer, usually settled and with two targets of a service. uncertainty is that of
// the last lost packet, buffered the number of buffered packets.
type fixture struct {
	*Core
	port        *envelopetest.Recorder
	now         time.Time
	seq         uint32
	uncertainty Uncertainty
	buffered    int
}

func newFixture() *fixture { return fixtureIn(0) }

// fixtureIn returns a settled balancer of a zone with two targets in zone zero.
func fixtureIn(zone flow.Tag) *fixture {
	f := &fixture{port: &envelopetest.Recorder{}, now: time.Unix(1_700_000_000, 0)}
	opts := Options{Self: self, Zone: zone, Incarnation: 1, Weights: choose.Weights{CrossZoneCost: 1, Warming: 1.6}}
	f.Core = New(f.now, opts, f.port, platform.Codec{}, eventRecorder{&f.uncertainty, &f.buffered}, rand.New(rand.NewPCG(1, 1)))
	f.SetConfig(f.now, config(5))
	f.now = f.now.Add(search.SettleTime + time.Second)
	f.announce(targetA, fleet.Ready)
	f.announce(targetB, fleet.Ready)
	f.TakeSnapshot(f.now, fleet.SnapshotAt(f.now, registered(targetA, targetB)))
	f.port.Nodes = nil
	return f
}

// forgetConfig resets the operator's state: no configuration and no evacuations are in force.
func (c *Core) forgetConfig(now time.Time) {
	*c.operator = *operator.New(now, operator.Options{Self: c.opts.Self, Zone: c.opts.Zone, FollowTime: c.opts.FollowTime}, c.view, listener{c}, c.rnd)
}

// restartAt makes the balancer one that started at the given time and has no registry snapshot.
func (f *fixture) restartAt(at time.Time) {
	f.startedAt = at
	*f.proof = *search.NewProof(at, self, nil, f.view)
}

// registered returns the registry entries of agents.
func registered(ips ...flow.IPv4) []fleet.Entry {
	var out []fleet.Entry
	for _, ip := range ips {
		out = append(out, fleet.Entry{IP: ip, ProcessIncarnation: uint64(ip), Revision: 1})
	}
	return out
}

// config returns a configuration with one route to the service alpha.
func config(version int64) *flow.Config {
	return &flow.Config{Version: version, Routes: map[flow.Front]*flow.Route{
		front: {Name: "r", Services: []flow.WeightedService{{Name: "alpha", ID: alpha, Weight: 1}}},
	}}
}

// announce delivers the announcement of a target with the given state.
func (f *fixture) announce(ip flow.IPv4, state fleet.State) {
	f.seq++
	a := fleet.Announcement{MessageID: fleet.MessageID{ProcessIncarnation: uint64(ip), Seq: f.seq}, Service: alpha, State: state, Slots: 4}
	f.HandleNode(f.now, ip, a.Append(nil))
}

// receiveFirstBeacon delivers the first beacon of another balancer.
func (f *fixture) receiveFirstBeacon(ip flow.IPv4) {
	m := fleet.Beacon{MessageID: fleet.MessageID{ProcessIncarnation: uint64(ip), Seq: 1}, Digest: f.View().Digest(f.now, self)}
	f.HandleNode(f.now, ip, m.Append(nil))
}

var key = flow.Key{ClientIP: 0x64400001, ClientPort: 1024, FrontIP: front.IP, FrontPort: front.Port}

// packet returns a client's packet of the flow key. In a SYN, ack is the number of times that the
// client has sent it before.
func packet(syn bool, ack byte) []byte { return packetOf(key, syn, ack) }

// packetOf returns a client's packet of a flow.
func packetOf(key flow.Key, syn bool, ack byte) []byte {
	flags := flow.ACK
	if syn {
		flags = flow.SYN
	}
	return platformtest.FromClient(key, flags, 0, uint32(ack), nil)
}

// receiveFromClient delivers a packet from a client.
func (f *fixture) receiveFromClient(p []byte) {
	h, err := platform.DecodePacket(p)
	if err != nil {
		panic(err)
	}
	f.HandleClient(f.now, &h, p)
}

// returnPacket returns a packet to the balancer in the envelope of the last delivered one, as an agent
// does.
func (f *fixture) returnPacket(from flow.IPv4, flags envelope.Flags, p []byte) {
	sent := f.port.Delivered()
	e := sent[len(sent)-1].Env
	e.Kind, e.Count = envelope.Returned, 0
	e.Flags |= flags
	f.HandleNode(f.now, from, append(e.Append(nil), p...))
}

// wait advances the time and delivers announcements of the two targets.
func (f *fixture) wait(d time.Duration) {
	f.now = f.now.Add(d)
	f.announce(targetA, fleet.Ready)
	f.announce(targetB, fleet.Ready)
}
