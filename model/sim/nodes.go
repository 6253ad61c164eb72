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

// Periods and limits of the processes that the simulation puts around the cores.
const (
	// AgentTick is the period of Tick calls to an agent's core.
	AgentTick    = 50 * time.Millisecond
	registryTick = 20 * time.Millisecond
	flowTTL      = time.Minute
	// storeFollowTime is how long after a response of the store a balancer counts as following
	// it.
	storeFollowTime = 5 * time.Second
	// maxSeeds is the number of balancers that other nodes are given as seeds.
	maxSeeds = 3
)

// Weights are the weights that the product's settings use.
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
	// generation changes whenever the process starts or stops, so that scheduled functions
	// of an earlier process can detect that it has ended.
	generation int
	// snapshot is the last snapshot that this process read from the registry; snapshotPacer
	// limits how often it reads.
	snapshot      fleet.Snapshot
	snapshotPacer fleet.SnapshotPacer
}

// ToNode implements balancerfront.Port.
func (b *Balancer) ToNode(to flow.IPv4, head, packet []byte) { b.w.sendToNode(b.IP, to, head, packet) }

// Reset implements balancerfront.Port.
func (b *Balancer) Reset(key flow.Key, seq uint32) {
	b.Resets++
	b.w.sendToClient(key.ClientIP, platform.AppendReset(nil, key, seq))
}

// AddBalancer starts a balancer on a VM of its own.
func (w *World) AddBalancer(zone string) *Balancer {
	b := &Balancer{w: w, IP: w.allocateIP(), Zone: zone}
	w.Balancers[b.IP] = b
	if len(w.Seeds) < maxSeeds {
		w.Seeds = append(w.Seeds, b.IP)
	}
	b.Start()
	return b
}

// Start starts a balancer process with no state except the configuration.
func (b *Balancer) Start() {
	w := b.w
	opts := balancerfront.Options{
		Self: b.IP, Zone: flow.TagOf(b.Zone), Seeds: w.Seeds, Incarnation: w.Rnd.Uint64() | 1, Weights: Weights, RelayThreshold: w.RelayThreshold, FollowTime: storeFollowTime,
	}
	b.Core = balancerfront.New(w.Now, opts, b, platform.Codec{}, NoopBalancerEvents{}, w.Rnd)
	b.Core.SetConfig(w.Now, w.Config)
	b.snapshotPacer = fleet.SnapshotPacer{}
	b.Up = true
	b.generation++
	b.scheduleTick(b.generation)
}

// scheduleTick calls tick periodically until the process of the given generation ends.
func (b *Balancer) scheduleTick(generation int) {
	b.w.After(b.Core.TickPeriod(b.w.Now), func() {
		if b.generation != generation {
			return
		}
		b.tick()
		b.scheduleTick(generation)
	})
}

func (b *Balancer) tick() {
	w := b.w
	b.Core.Tick(w.Now)
	b.findTargets()
	b.refreshSnapshot()
	b.syncEvacuations()
	b.reapRegistry()
}

// syncEvacuations copies the evacuated zones from the store if this balancer is a feeder and
// the store is available.
func (b *Balancer) syncEvacuations() {
	w := b.w
	if !w.Now.Before(w.StoreDownUntil) && b.Core.MustFeed(w.Now) {
		b.Core.Operator().StoreAnswered(w.Now)
		b.Core.SetEvacuations(w.Now, w.Evacuations)
	}
}

// reapRegistry removes dead agents from the registry if this balancer is the registry reaper.
func (b *Balancer) reapRegistry() {
	w := b.w
	if w.Now.Before(w.StoreDownUntil) {
		return
	}
	for _, d := range b.Core.DeadNodes(w.Now) {
		if d.Role != fleet.RoleAgent || w.Registry[d.IP].ProcessIncarnation != d.ProcessIncarnation {
			continue
		}
		delete(w.Registry, d.IP)
		w.Calls[CallRemove]++
		if a, known := w.Agents[d.IP]; known && a.Up {
			w.RemovedWhileAlive++
		}
	}
}

// Stop ends the process abruptly: other nodes get no message.
func (b *Balancer) Stop() {
	b.Up = false
	b.generation++
}

// Restart stops the process and starts a new one after the given downtime.
func (b *Balancer) Restart(down time.Duration) {
	b.Stop()
	b.w.After(down, b.Start)
}

// Target is the target process that an agent serves.
type Target interface {
	// HandlePacket is called with each packet that the agent delivers to the target.
	HandlePacket(packet []byte)
}

// Agent is an agent process and the target that it serves.
type Agent struct {
	IP            flow.IPv4
	Zone, Service string
	Core          *agentfront.Core
	Up            bool
	// Target is the target on the agent's VM, nil when none runs.
	Target Target
	// ListenerClosed is set while the target runs and refuses connections, as one does that is
	// about to exit.
	ListenerClosed bool
	// Generation changes whenever the process starts or stops, so that scheduled functions of an
	// earlier process can detect that it has ended.
	Generation int
	// Resets counts the flows that it reset.
	Resets int

	w *World
}

// localDelay is the one-way delay between an agent and its target on the same VM.
const localDelay = 50 * time.Microsecond

// ToNode implements agentfront.Port.
func (a *Agent) ToNode(to flow.IPv4, head, packet []byte) { a.w.sendToNode(a.IP, to, head, packet) }

// ToTarget implements agentfront.Port.
func (a *Agent) ToTarget(packet []byte) {
	data := append([]byte(nil), packet...)
	a.w.After(localDelay, func() {
		if a.Target != nil {
			a.Target.HandlePacket(data)
		}
	})
}

// ToClient implements agentfront.Port.
func (a *Agent) ToClient(to flow.IPv4, packet []byte) { a.w.sendToClient(to, packet) }

// Reset implements agentfront.Port.
func (a *Agent) Reset(key flow.Key, seq uint32) {
	a.Resets++
	a.w.sendToClient(key.ClientIP, platform.AppendReset(nil, key, seq))
}

// AddAgent starts an agent on a VM of its own, without a target.
func (w *World) AddAgent(zone, service string) *Agent {
	a := &Agent{w: w, IP: w.allocateIP(), Zone: zone, Service: service}
	w.Agents[a.IP] = a
	a.Start()
	return a
}

// Start starts an agent process with no state.
func (a *Agent) Start() {
	w := a.w
	opts := agentfront.Options{
		Self: a.IP, Zone: flow.TagOf(a.Zone), Service: flow.ServiceIDOf(a.Service), Seeds: w.Seeds,
		Incarnation: w.Rnd.Uint64() | 1, HeartbeatPeriod: HeartbeatPeriod, FlowTTL: flowTTL, RelayThreshold: w.RelayThreshold,
	}
	a.Core = agentfront.New(w.Now, opts, a, platform.Codec{}, agentEvents{w: w})
	a.Up = true
	a.Generation++
	generation := a.Generation
	a.maintainRegistration(opts.Incarnation)
	w.Every(AgentTick, func() bool {
		if a.Up && a.Generation == generation {
			a.Core.Tick(w.Now)
			a.probe()
		}
		return a.Generation == generation
	})
}

// probe checks whether the target accepts connections if the core asks for a probe.
func (a *Agent) probe() {
	if !a.Core.WantsProbe(a.w.Now) {
		return
	}
	outcome := agentfront.ProbeAccepted
	if a.Target == nil || a.ListenerClosed {
		outcome = agentfront.ProbeRefused
	}
	a.Core.TargetProbed(a.w.Now, a.w.Now, outcome)
}

// Heartbeat delivers a heartbeat of the target and reports whether it is acknowledged.
func (a *Agent) Heartbeat(b fleet.Heartbeat) bool { return a.Core.Heartbeat(a.w.Now, a.w.Now, b) }

// maintainRegistration keeps the agent's registry entry in the state that the core wants. Every
// fleet.ExpireAfter it checks whether the entry is still there and restores it if not.
func (a *Agent) maintainRegistration(incarnation uint64) {
	w, generation := a.w, a.Generation
	stored := fleet.EntryUnchanged
	w.Every(registryTick, func() bool {
		wanted := fleet.EntryUnchanged
		if a.Generation == generation {
			wanted = a.Core.WantedEntryState(w.Now)
		}
		if wanted == fleet.EntryUnchanged || wanted == stored || w.Now.Before(w.StoreDownUntil) {
			return a.Generation == generation
		}
		stored = wanted
		delete(w.Registry, a.IP)
		if wanted == fleet.EntryPresent {
			w.Registry[a.IP] = fleet.Entry{IP: a.IP, ProcessIncarnation: incarnation}
			w.Calls[CallRegister]++
		}
		a.Core.EntryStored(w.Now, wanted)
		return true
	})
	w.Every(fleet.ExpireAfter, func() bool {
		if _, registered := w.Registry[a.IP]; !registered {
			stored = fleet.EntryUnchanged
		}
		return a.Generation == generation
	})
}

// Stop ends the process abruptly: other nodes get no message.
func (a *Agent) Stop() {
	a.Up = false
	a.Generation++
}

// Restart stops the process and starts a new one after the given downtime.
func (a *Agent) Restart(down time.Duration) {
	a.Stop()
	a.w.After(down, a.Start)
}

// FromTarget delivers a packet sent by the target to the agent.
func (a *Agent) FromTarget(packet []byte) {
	a.w.After(localDelay, func() {
		head, err := platform.DecodePacket(packet)
		if err != nil || !a.Up {
			return
		}
		a.Core.HandleTarget(a.w.Now, &head, packet)
	})
}

// Bounce returns to the agent a packet that the target did not accept.
func (a *Agent) Bounce(packet []byte) {
	platformtest.Bounce(packet)
	a.FromTarget(packet)
}
