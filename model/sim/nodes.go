package sim

import (
	"time"

	agentfront "github.com/poppywall/poppywall/agent/packetfront"
	balancerfront "github.com/poppywall/poppywall/balancer/packetfront"
	"github.com/poppywall/poppywall/choose"
	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/platform"
	"github.com/poppywall/poppywall/platform/platformtest"
)

// Periods of the shells around the cores.
const (
	// AgentTick is how often an agent's core is driven.
	AgentTick    = 50 * time.Millisecond
	registryTick = 20 * time.Millisecond
	flowTTL      = time.Minute
	// feedTime is how long after an answer of the store a balancer counts as fed.
	feedTime = 5 * time.Second
	// joinSeeds is how many balancers are named to others as seeds.
	joinSeeds = 3
)

// Weights are those of the product's settings.
var Weights = choose.Weights{CrossZoneCost: 1, Warming: 1.6}

// Balancer is a balancer process.
type Balancer struct {
	IP   flow.IPv4
	Zone string
	Core *balancerfront.Core
	Up   bool
	// Resets counts the flows that it reset.
	Resets int

	w *World
	// life tells the ticks of a former process to end.
	life int
	// surveyed is the last reading of the registry, by the pace of the process.
	surveyed fleet.Snapshot
	pace     fleet.SnapshotPacer
}

// ToNode implements balancerfront.Port.
func (b *Balancer) ToNode(to flow.IPv4, head, packet []byte) { b.w.toNode(b.IP, to, head, packet) }

// Reset implements balancerfront.Port.
func (b *Balancer) Reset(key flow.Key, seq uint32) {
	b.Resets++
	b.w.toClient(key.ClientIP, platform.AppendReset(nil, key, seq))
}

// AddBalancer starts a balancer on a VM of its own.
func (w *World) AddBalancer(zone string) *Balancer {
	b := &Balancer{w: w, IP: w.nextIP(), Zone: zone}
	w.Balancers[b.IP] = b
	if len(w.Seeds) < joinSeeds {
		w.Seeds = append(w.Seeds, b.IP)
	}
	b.Start()
	return b
}

// Start starts a process, which knows nothing but the configuration.
func (b *Balancer) Start() {
	w := b.w
	opts := balancerfront.Options{
		Self: b.IP, Zone: flow.TagOf(b.Zone), Seeds: w.Seeds, Incarnation: w.Rnd.Uint64() | 1, Weights: Weights, RelayThreshold: w.RelayFrom, FollowTime: feedTime,
	}
	b.Core = balancerfront.New(w.Now, opts, b, platform.Codec{}, QuietBalancer{}, w.Rnd)
	b.Core.SetConfig(w.Now, w.Config)
	b.pace = fleet.SnapshotPacer{}
	b.Up = true
	b.life++
	b.run(b.life)
}

// run drives the core of one process for as long as it lives.
func (b *Balancer) run(life int) {
	b.w.After(b.Core.TickPeriod(b.w.Now), func() {
		if b.life != life {
			return
		}
		b.tick()
		b.run(life)
	})
}

func (b *Balancer) tick() {
	w := b.w
	b.Core.Tick(w.Now)
	b.findTargets()
	b.survey()
	b.followStore()
	b.keepRegistry()
}

// followStore takes over what the operator has changed, where that is the balancer's
// duty and the store answers.
func (b *Balancer) followStore() {
	w := b.w
	if !w.Now.Before(w.StoreBack) && b.Core.Feeds(w.Now) {
		b.Core.Operator().StoreAnswered(w.Now)
		b.Core.SetEvacuations(w.Now, w.Evacuations)
	}
}

// keepRegistry does what the keeper of the registry has to.
func (b *Balancer) keepRegistry() {
	w := b.w
	if w.Now.Before(w.StoreBack) {
		return
	}
	for _, d := range b.Core.DeadNodes(w.Now) {
		if d.Role != fleet.RoleAgent || w.Registry[d.IP].Incarnation != d.Incarnation {
			continue
		}
		delete(w.Registry, d.IP)
		w.Calls[CallRemove]++
		if a, known := w.Agents[d.IP]; known && a.Up {
			w.StruckAlive++
		}
	}
}

// Stop ends the process without a word.
func (b *Balancer) Stop() {
	b.Up = false
	b.life++
}

// Restart replaces the process by a fresh one after a pause.
func (b *Balancer) Restart(down time.Duration) {
	b.Stop()
	b.w.After(down, b.Start)
}

// Target is the program beside an agent.
type Target interface {
	// Take is given each packet that the agent hands over.
	Take(packet []byte)
}

// Agent is an agent process and the target beside it.
type Agent struct {
	IP            flow.IPv4
	Zone, Service string
	Core          *agentfront.Core
	Up            bool
	// Target is the program beside it, nil when none runs.
	Target Target
	// Life counts the processes so far.
	Life int
	// Resets counts the flows that it reset.
	Resets int

	w *World
}

// targetDelay is how long a packet travels inside a VM.
const targetDelay = 50 * time.Microsecond

// ToNode implements agentfront.Port.
func (a *Agent) ToNode(to flow.IPv4, head, packet []byte) { a.w.toNode(a.IP, to, head, packet) }

// ToTarget implements agentfront.Port.
func (a *Agent) ToTarget(packet []byte) {
	data := append([]byte(nil), packet...)
	a.w.After(targetDelay, func() {
		if a.Target != nil {
			a.Target.Take(data)
		}
	})
}

// ToClient implements agentfront.Port.
func (a *Agent) ToClient(to flow.IPv4, packet []byte) { a.w.toClient(to, packet) }

// Reset implements agentfront.Port.
func (a *Agent) Reset(key flow.Key, seq uint32) {
	a.Resets++
	a.w.toClient(key.ClientIP, platform.AppendReset(nil, key, seq))
}

// AddAgent starts an agent on a VM of its own; no target runs there yet.
func (w *World) AddAgent(zone, service string) *Agent {
	a := &Agent{w: w, IP: w.nextIP(), Zone: zone, Service: service}
	w.Agents[a.IP] = a
	a.Start()
	return a
}

// Start starts a process.
func (a *Agent) Start() {
	w := a.w
	opts := agentfront.Options{
		Self: a.IP, Zone: flow.TagOf(a.Zone), Service: flow.TagOf(a.Service), Seeds: w.Seeds,
		Incarnation: w.Rnd.Uint64() | 1, HeartbeatPeriod: HeartbeatPeriod, FlowTTL: flowTTL, RelayThreshold: w.RelayFrom,
	}
	a.Core = agentfront.New(w.Now, opts, a, platform.Codec{}, agentEvents{w: w})
	a.Up = true
	a.Life++
	life := a.Life
	a.register(opts.Incarnation)
	w.Every(AgentTick, func() bool {
		if a.Up && a.Life == life {
			a.Core.Tick(w.Now)
			a.probe()
		}
		return a.Life == life
	})
}

// probe connects to the target when the core wants to know whether it lives.
func (a *Agent) probe() {
	if !a.Core.WantsProbe(a.w.Now) {
		return
	}
	outcome := agentfront.ProbeAccepted
	if a.Target == nil {
		outcome = agentfront.ProbeRefused
	}
	a.Core.Probed(a.w.Now, outcome)
}

// register keeps the agent's entry as its target is, and looks for it now and then.
func (a *Agent) register(epoch uint64) {
	w, life := a.w, a.Life
	done := fleet.EntryUnchanged
	w.Every(registryTick, func() bool {
		want := fleet.EntryUnchanged
		if a.Life == life {
			want = a.Core.WantedEntryState(w.Now)
		}
		if want == fleet.EntryUnchanged || want == done || w.Now.Before(w.StoreBack) {
			return a.Life == life
		}
		done = want
		delete(w.Registry, a.IP)
		if want == fleet.EntryPresent {
			w.Registry[a.IP] = fleet.Entry{IP: a.IP, Incarnation: epoch}
			w.Calls[CallRegister]++
		}
		a.Core.EntryStored(w.Now, want)
		return true
	})
	w.Every(fleet.ExpireAfter, func() bool {
		if _, listed := w.Registry[a.IP]; !listed {
			done = fleet.EntryUnchanged
		}
		return a.Life == life
	})
}

// Stop ends the process without a word.
func (a *Agent) Stop() {
	a.Up = false
	a.Life++
}

// Restart replaces the process by a fresh one after a pause.
func (a *Agent) Restart(down time.Duration) {
	a.Stop()
	a.w.After(down, a.Start)
}

// FromTarget gives the agent a packet that its target sends.
func (a *Agent) FromTarget(packet []byte) {
	a.w.After(targetDelay, func() {
		head, err := platform.DecodePacket(packet)
		if err != nil || !a.Up {
			return
		}
		a.Core.HandleTarget(a.w.Now, &head, packet)
	})
}

// Bounce gives the agent a packet back that the target did not take.
func (a *Agent) Bounce(packet []byte) {
	platformtest.Bounce(packet)
	a.FromTarget(packet)
}
