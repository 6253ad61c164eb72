package packets

import (
	"time"

	agentfront "github.com/poppywall/poppywall/agent/packetfront"
	balancerfront "github.com/poppywall/poppywall/balancer/packetfront"
	"github.com/poppywall/poppywall/choose"
	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/platform"
)

// balancerNode is a balancer process.
type balancerNode struct {
	w    *world
	ip   flow.IPv4
	zone string
	core *balancerfront.Core
	up   bool
	// life tells the ticks of a former process to end.
	life int
	rst  int
}

func (b *balancerNode) ToNode(to flow.IPv4, head, packet []byte) { b.w.toNode(b.ip, to, head, packet) }

func (b *balancerNode) Reset(key flow.Key, seq uint32) {
	b.rst++
	b.w.toClient(key.ClientIP, platform.AppendReset(nil, key, seq))
}

func (w *world) addBalancer(zone string) *balancerNode {
	b := &balancerNode{w: w, ip: w.ip(), zone: zone}
	w.balancers[b.ip] = b
	if len(w.seeds) < 3 {
		w.seeds = append(w.seeds, b.ip)
	}
	b.start()
	return b
}

func (b *balancerNode) start() {
	w := b.w
	opts := balancerfront.Options{
		Self: b.ip, Zone: flow.TagOf(b.zone), Seeds: w.seeds, Epoch: w.rnd.Uint64() | 1,
		Weights: choose.Weights{OtherZone: 1, Warming: 1.6},
	}
	b.core = balancerfront.New(w.now, opts, b, platform.Codec{}, quietBalancer{}, w.rnd)
	b.core.SetConfig(w.now, w.config)
	b.up = true
	b.life++
	life := b.life
	w.every(100*time.Millisecond, func() bool {
		if b.up && b.life == life {
			b.core.Tick(w.now)
			if b.core.WantsSurvey(w.now) {
				b.core.Surveyed(w.now, w.now, w.registered())
			}
			b.keepRegistry()
		}
		return b.life == life
	})
}

// registered returns the agents that the store has, in an order that repeats.
func (w *world) registered() []fleet.Entry {
	var out []fleet.Entry
	for _, a := range sortedAgents(w) {
		if e, ok := w.registry[a.ip]; ok {
			out = append(out, e)
		}
	}
	return out
}

// keepRegistry does what the keeper of the registry has to.
func (b *balancerNode) keepRegistry() {
	for _, d := range b.core.Departed() {
		if d.Role == fleet.RoleAgent && b.w.registry[d.IP].Epoch == d.Epoch {
			delete(b.w.registry, d.IP)
			if a := b.w.agents[d.IP]; a.up {
				b.w.struckAlive++
			}
		}
	}
}

// register keeps the agent's entry as its host is, and looks for it now and then.
func (a *agentNode) register(epoch uint64) {
	w, life := a.w, a.life
	done := fleet.PresenceUnknown
	w.every(20*time.Millisecond, func() bool {
		want := fleet.PresenceUnknown
		if a.life == life {
			want = a.core.Presence(w.now)
		}
		if want == fleet.PresenceUnknown || want == done || w.now.Before(w.storeBack) {
			return a.life == life
		}
		done = want
		delete(w.registry, a.ip)
		if want == fleet.PresenceHere {
			w.registry[a.ip] = fleet.Entry{IP: a.ip, Epoch: epoch}
			a.core.Registered(w.now)
		}
		return true
	})
	w.every(fleet.Forget, func() bool {
		done = fleet.PresenceUnknown
		return a.life == life
	})
}

// restart replaces the process by a fresh one after a pause.
func (b *balancerNode) restart(down time.Duration) {
	b.up = false
	b.life++
	b.w.after(down, func() { b.start() })
}

// agentNode is an agent process and the host beside it.
type agentNode struct {
	w       *world
	ip      flow.IPv4
	zone    string
	service string
	core    *agentfront.Core
	up      bool
	life    int
	host    *host
	rst     int
}

func (a *agentNode) ToNode(to flow.IPv4, head, packet []byte) { a.w.toNode(a.ip, to, head, packet) }

func (a *agentNode) ToHost(packet []byte) {
	data := append([]byte(nil), packet...)
	a.w.after(50*time.Microsecond, func() { a.hostTakes(data) })
}

func (a *agentNode) ToClient(to flow.IPv4, packet []byte) { a.w.toClient(to, packet) }

func (a *agentNode) Reset(key flow.Key, seq uint32) {
	a.rst++
	a.w.toClient(key.ClientIP, platform.AppendReset(nil, key, seq))
}

func (w *world) addAgent(zone, service string) *agentNode {
	a := &agentNode{w: w, ip: w.ip(), zone: zone, service: service}
	w.agents[a.ip] = a
	a.start()
	a.startHost()
	return a
}

func (a *agentNode) start() {
	w := a.w
	opts := agentfront.Options{
		Self: a.ip, Zone: flow.TagOf(a.zone), Service: flow.TagOf(a.service), Seeds: w.seeds,
		Epoch: w.rnd.Uint64() | 1, HeartbeatPeriod: heartbeatPeriod, FlowTTL: time.Minute,
	}
	a.core = agentfront.New(opts, a, platform.Codec{}, quietAgent{})
	a.up = true
	a.life++
	life := a.life
	a.register(opts.Epoch)
	w.every(hostTick, func() bool {
		if a.up && a.life == life {
			a.core.Tick(w.now)
			if a.core.WantsProbe(w.now) {
				a.core.Probed(w.now, a.probe())
			}
		}
		return a.life == life
	})
}

func (a *agentNode) probe() agentfront.Probe {
	if a.host == nil {
		return agentfront.ProbeRefused
	}
	return agentfront.ProbeAccepted
}

func (a *agentNode) restart(down time.Duration) {
	a.stop()
	a.w.after(down, func() { a.start() })
}

// stop ends the process.
func (a *agentNode) stop() {
	a.up = false
	a.life++
}

// quietBalancer and quietAgent hear nothing.
type quietBalancer struct{}

func (quietBalancer) Forwarded()                                         {}
func (quietBalancer) Opened(balancerfront.Decision)                      {}
func (quietBalancer) Refused(flow.Key, string, string)                   {}
func (quietBalancer) Searching(flow.Key, int, int)                       {}
func (quietBalancer) OwnerFound(flow.Key, flow.IPv4, int)                {}
func (quietBalancer) Lost(flow.Key, int, balancerfront.Doubt, flow.IPv4) {}
func (quietBalancer) Kept(flow.Key, balancerfront.Keep)                  {}
func (quietBalancer) Dropped(balancerfront.Drop)                         {}
func (quietBalancer) HostChanged(*fleet.Host, fleet.Change)              {}
func (quietBalancer) HostForgotten(flow.IPv4)                            {}
func (quietBalancer) PeerChanged(flow.IPv4, string)                      {}

type quietAgent struct{}

func (quietAgent) Delivered()                         {}
func (quietAgent) Request(flow.Key, []byte, int, int) {}
func (quietAgent) Waiting(flow.Key, int, int)         {}
func (quietAgent) PassedOn(flow.Key, string, int)     {}
func (quietAgent) Bounced(flow.Key, bool)             {}
func (quietAgent) Reset(flow.Key, string)             {}
func (quietAgent) Dropped(agentfront.Drop)            {}
func (quietAgent) HostReport(string, fleet.Heartbeat) {}
func (quietAgent) Failed()                            {}
func (quietAgent) Ejected(bool, int, int)             {}
func (quietAgent) PeerChanged(flow.IPv4, string)      {}
