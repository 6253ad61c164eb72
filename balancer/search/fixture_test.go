package search

import (
	"slices"
	"time"

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
	other   = flow.IPv4(0x0a010003)
	peer    = flow.IPv4(0x0a000002)

	// tickPeriod is the tick period of a settled balancer.
	tickPeriod = 100 * time.Millisecond
	// first is Options.First: how many targets per ranking are probed first, once for the
	// local zone and once for the others.
	first = 8
)

var (
	alpha = flow.ServiceIDOf("alpha")
	front = flow.Front{IP: 7, Port: 80}
)

// uncertaintyRecorder implements Events and records only the last uncertainty.
type uncertaintyRecorder struct{ last *Uncertainty }

func (uncertaintyRecorder) Searching(flow.Key, [][]flow.IPv4, int)               {}
func (uncertaintyRecorder) ProbeReturned(flow.Key, flow.IPv4, int, bool, int)    {}
func (uncertaintyRecorder) Unanswered(flow.Key, [][]flow.IPv4, int)              {}
func (uncertaintyRecorder) RecordReturned(flow.Key, flow.IPv4, bool)             {}
func (r uncertaintyRecorder) Lost(_ flow.Key, _ int, u Uncertainty, _ flow.IPv4) { *r.last = u }
func (uncertaintyRecorder) Buffered(flow.Key, BufferReason)                      {}
func (uncertaintyRecorder) Dropped(DropReason)                                   {}

// fixture is a finder behind a minimal front, which sends SYNs to the first known target.
type fixture struct {
	*Finder
	*Proof
	fleet       *fleet.View
	flows       *Table
	port        *envelopetest.Recorder
	inForce     *flow.Config
	now         time.Time
	seq         uint32
	uncertainty Uncertainty
	datagram    []byte
}

// newFreshFixture returns a balancer that has just started, without configuration or targets.
func newFreshFixture() *fixture { return newFixtureStartedAt(time.Unix(1_700_000_000, 0), 1) }

// newFixtureStartedAt returns a balancer that started at a given time.
func newFixtureStartedAt(at time.Time, incarnation uint64) *fixture {
	f := &fixture{port: &envelopetest.Recorder{}, now: at, fleet: fleet.NewView(), flows: NewTable(MaxFlows)}
	f.Proof = NewProof(at, self, nil, f.fleet)
	config := func() *flow.Config { return f.inForce }
	f.Finder = New(Options{Self: self, Incarnation: incarnation, FirstTargets: first}, config, f.fleet, f.flows, f.Proof, platform.Codec{}, testPort{f}, uncertaintyRecorder{&f.uncertainty})
	return f
}

// newFixture returns a settled balancer with two targets of a service.
func newFixture() *fixture {
	f := newFreshFixture()
	f.SetConfig(f.now, config(5))
	f.now = f.now.Add(SettleTime + time.Second)
	f.announce(targetA, fleet.Ready)
	f.announce(targetB, fleet.Ready)
	f.Surveyed(f.now, fleet.SnapshotAt(f.now, registered(targetA, targetB)))
	f.port.Nodes = nil
	return f
}

// registered returns registry entries of the given addresses.
func registered(ips ...flow.IPv4) []fleet.Entry {
	var out []fleet.Entry
	for _, ip := range ips {
		out = append(out, fleet.Entry{IP: ip, ProcessIncarnation: uint64(ip), Revision: 1})
	}
	return out
}

func config(version int64) *flow.Config {
	return &flow.Config{Version: version, Routes: map[flow.Front]*flow.Route{
		front: {Name: "r", Services: []flow.WeightedService{{Name: "alpha", ID: alpha, Weight: 1}}},
	}}
}

// SetConfig puts a configuration in force.
func (f *fixture) SetConfig(_ time.Time, c *flow.Config) { f.inForce = c }

// View returns the view of the fleet.
func (f *fixture) View() *fleet.View { return f.fleet }

// Surveyed applies a snapshot of the registry and rechecks denied flows.
func (f *fixture) Surveyed(now time.Time, s fleet.Snapshot) {
	f.Proof.ApplySnapshot(now, s)
	f.RetryDenied(now)
}

// testPort implements Port.
type testPort struct{ *fixture }

func (f testPort) Send(target flow.IPv4, env *envelope.Envelope, packet []byte) {
	f.datagram = env.Append(f.datagram[:0])
	f.port.ToNode(target, f.datagram, packet)
}

func (f testPort) Forward(_ flow.Key, target flow.IPv4, packet []byte) {
	f.Send(target, &envelope.Envelope{Kind: envelope.Deliver, Balancer: self}, packet)
}

func (f testPort) Reset(key flow.Key, seq uint32) { f.port.Reset(key, seq) }

func (f testPort) Route(now time.Time, key flow.Key, h *flow.Header, packet []byte) {
	if f.inForce == nil {
		f.Buffer(now, key, h, packet, BufferNoConfig)
		return
	}
	if h.IsOpening() {
		f.routeSYN(now, key, h, packet)
		return
	}
	if target, ok := f.Known(now, key); ok {
		f.Forward(key, target, packet)
		f.ForwardBuffered(key, target)
		return
	}
	f.Search(now, key, h, packet)
}

// routeSYN sends a SYN to the first known target, or buffers it.
func (f testPort) routeSYN(now time.Time, key flow.Key, h *flow.Header, packet []byte) {
	targets := f.fleet.Targets()
	if len(targets) == 0 {
		f.Buffer(now, key, h, packet, BufferNoTarget)
		return
	}
	f.Discard(key)
	f.flows.RecordSYN(now, key, targets[0])
	f.Forward(key, targets[0], packet)
}

// HandleNode handles a message of another node.
func (f *fixture) HandleNode(now time.Time, from flow.IPv4, datagram []byte) {
	kind, err := envelope.KindOf(datagram)
	check(err)
	switch kind {
	case envelope.Peers:
		names, err := fleet.DecodeNodeList(datagram)
		check(err)
		for _, ip := range names.ActiveAgents {
			f.AgentNamed(now, ip)
		}
	case envelope.Owner:
		var env envelope.Envelope
		body, err := env.Decode(datagram)
		check(err)
		key, err := envelope.DecodeKey(body)
		check(err)
		f.Found(now, key, from)
	case envelope.Returned:
		var env envelope.Envelope
		packet, err := env.Decode(datagram)
		check(err)
		h, err := platform.DecodePacket(packet)
		check(err)
		f.HandleReturned(now, from, h.KeyFromClient(), env, &h, packet)
	case envelope.Announce:
		a, err := fleet.DecodeAnnouncement(datagram)
		check(err)
		f.fleet.ApplyAnnouncement(now, from, a)
	default:
		panic(kind)
	}
}

func check(err error) {
	if err != nil {
		panic(err)
	}
}

// beaconFrom delivers the first beacon of another balancer.
func (f *fixture) beaconFrom(ip flow.IPv4) {
	m := fleet.Beacon{MessageID: fleet.MessageID{ProcessIncarnation: uint64(ip), Seq: 1}}
	if f.fleet.ApplyBeacon(f.now, ip, m) == fleet.Joined {
		f.BalancerJoined(f.now, ip)
	}
}

func (f *fixture) announce(ip flow.IPv4, state fleet.State) {
	f.seq++
	a := fleet.Announcement{MessageID: fleet.MessageID{ProcessIncarnation: uint64(ip), Seq: f.seq}, Service: alpha, State: state, Slots: 4}
	f.HandleNode(f.now, ip, a.Append(nil))
}

// announceRegistered announces a ready target whose agent is in the registry.
func (f *fixture) announceRegistered(ip flow.IPv4) {
	f.seq++
	a := fleet.Announcement{MessageID: fleet.MessageID{ProcessIncarnation: uint64(ip), Seq: f.seq}, Service: alpha, State: fleet.Ready, Slots: 4, Registration: fleet.RegistrationPresent}
	f.HandleNode(f.now, ip, a.Append(nil))
}

var key = flow.Key{ClientIP: 0x64400001, ClientPort: 1024, FrontIP: front.IP, FrontPort: front.Port}

// packet returns a client's packet.
func packet(syn bool, ack byte) []byte {
	flags := flow.ACK
	if syn {
		flags = flow.SYN
	}
	return platformtest.FromClient(key, flags, 0, uint32(ack), nil)
}

func (f *fixture) client(p []byte) {
	h, err := platform.DecodePacket(p)
	check(err)
	testPort{f}.Route(f.now, h.KeyFromClient(), &h, p)
}

// returnLast returns the last packet sent to a target, as an agent would.
func (f *fixture) returnLast(from flow.IPv4, flags envelope.Flags, p []byte) {
	sent := f.port.Delivered()
	e := sent[len(sent)-1].Env
	e.Kind, e.Count = envelope.Returned, 0
	e.Flags |= flags
	f.HandleNode(f.now, from, append(e.Append(nil), p...))
}

// advanceAnnouncing advances the clock and lets both targets announce themselves.
func (f *fixture) advanceAnnouncing(d time.Duration) {
	f.now = f.now.Add(d)
	f.announce(targetA, fleet.Ready)
	f.announce(targetB, fleet.Ready)
}

// Tick retries the packets that are due.
func (f *fixture) Tick(now time.Time) { f.Retry(now) }

// TickPeriod is how long after a tick the next one is due.
func (f *fixture) TickPeriod(now time.Time) time.Duration {
	if f.Settled(now) {
		return tickPeriod
	}
	return BufferRetryInterval
}

// advance advances the clock tick by tick.
func (f *fixture) advance(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.Tick(f.now) {
		f.now = f.now.Add(f.TickPeriod(f.now))
	}
}

// outstandingProbes returns the probes of the flow's search that have not returned.
func (f *fixture) outstandingProbes() []envelopetest.Sent {
	b, buffered := f.buffer.flows[key]
	if !buffered {
		return nil
	}
	return slices.DeleteFunc(f.port.Delivered(), func(s envelopetest.Sent) bool { return b.probes[s.Env.ProbeID] == nil })
}
