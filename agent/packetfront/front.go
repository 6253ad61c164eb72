package packetfront

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/fleet/configcopy"
	"github.com/poppywall/poppywall/fleet/registry"
	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/flow/envelope"
	"github.com/poppywall/poppywall/platform"
	"github.com/poppywall/poppywall/relay"
	"github.com/poppywall/poppywall/store"
	"github.com/poppywall/poppywall/telemetry"
	"github.com/poppywall/poppywall/worker"
)

// Timing of the front.
const (
	// tickPeriod is the interval between calls of Core.Tick.
	tickPeriod = 50 * time.Millisecond
	// probeTimeout bounds a connection to the target, which is on the same VM.
	probeTimeout = 250 * time.Millisecond
	// isolationCheckPeriod is the interval between checks whether any balancer is known.
	isolationCheckPeriod = 500 * time.Millisecond
	// storeTimeout bounds a call to the store, which answers in milliseconds.
	storeTimeout = 900 * time.Millisecond
)

// Front is an agent's packet front. It runs a Core with its sockets, the store and a lock.
type Front struct {
	cfg Settings
	log *zap.Logger
	// registry is the store client for reads of the node registry.
	registry store.Store
	reg      *prometheus.Registry

	internal, outbound *relay.DatagramSocket
	self               flow.IPv4
	port               uint16
	clientPort         uint16
	target             netip.AddrPort

	// mu guards core, service, observer, isolation, standstill and configCopy; no other lock is taken while
	// it is held.
	mu   sync.Mutex
	core *Core
	// service is the service of the target.
	service  string
	observer *observer
	// sent counts the messages and bytes sent to other nodes.
	sent      *telemetry.SentTraffic
	isolation fleet.IsolationTimer
	// standstill dates what the target sends.
	standstill standstill
	// entry is this agent's own entry in the registry.
	entry *registry.Registrar
	// configCopy is the agent's copy of the configuration, nil before the first fetch.
	configCopy *configcopy.Copy
	// peers fetches configuration copies from balancers.
	peers *configcopy.Client
}

// NewFront returns a front with open sockets.
func NewFront(cfg Settings, log *zap.Logger) (*Front, error) {
	f := &Front{
		cfg: cfg, log: log, service: cfg.Service, reg: prometheus.NewRegistry(), peers: configcopy.NewClient(nil), target: netip.MustParseAddrPort(cfg.Target),
		clientPort: netip.MustParseAddrPort(cfg.Data).Port(),
	}
	f.self, f.port = flow.ParseAddrPort(cfg.Internal)
	var err error
	if f.internal, err = relay.OpenDatagramSocket(netip.MustParseAddrPort(cfg.Internal)); err != nil {
		return nil, errors.Wrap(err, "field \"internal\"")
	}
	if f.outbound, err = relay.OpenDatagramSocket(netip.MustParseAddrPort(cfg.Outbound)); err != nil {
		return nil, errors.Wrap(err, "field \"outbound\"")
	}
	opts := Options{
		Self: f.self, Zone: flow.TagOf(cfg.Zone), Service: flow.ServiceIDOf(cfg.Service), Seeds: flow.ParseAddrs(cfg.Seeds),
		Incarnation: rand.Uint64() | 1, HeartbeatPeriod: cfg.HeartbeatEvery.D(), AddressReuse: cfg.AddressReuse.D(), FlowTTL: cfg.FlowTTL.D(),
	}
	counters := telemetry.Metrics{Registry: f.reg, Subsystem: "packetagent"}
	stored, calls := platform.NewStore(cfg.Store, storeTimeout), telemetry.NewStoreCalls(counters)
	f.registry = calls.For(telemetry.PurposeRegistry, stored)
	f.entry = registry.New(calls.For(telemetry.PurposeEntry, stored), fleet.RoleAgent, f.self, opts.Incarnation, log, func(p fleet.EntryState) { f.locked(func(now time.Time) { f.core.EntryStored(now, p) }) })
	f.observer = newObserver(log, f.reg)
	f.sent = telemetry.NewSentTraffic(counters, envelope.KindNames)
	f.core = New(time.Now(), opts, f, platform.Codec{}, f.observer)
	return f, nil
}

// ToNode implements Port. Here and in the methods below, a failed send is treated like a lost
// datagram.
func (f *Front) ToNode(node flow.IPv4, head, packet []byte) {
	if kind, err := envelope.KindOf(head); err == nil {
		f.sent.Count(kind.Index(), f.core.ReceiverZone(node), len(head)+len(packet))
	}
	_ = f.internal.Send(netip.AddrPortFrom(node.Addr(), f.port), head, packet)
}

// ToTarget implements Port.
func (f *Front) ToTarget(packet []byte) { _ = f.outbound.Send(f.target, nil, packet) }

// ToClient implements Port.
func (f *Front) ToClient(client flow.IPv4, packet []byte) {
	_ = f.outbound.Send(netip.AddrPortFrom(client.Addr(), f.clientPort), nil, packet)
}

// Reset implements Port.
func (f *Front) Reset(key flow.Key, seq uint32) {
	var b [platform.HeaderLen]byte
	f.ToClient(key.ClientIP, platform.AppendReset(b[:0], key, seq))
}

// Run serves until ctx ends. It then stops without draining: the agent usually restarts soon, and
// its target keeps its flows meanwhile. It stops at once unless its target may have just ended.
func (f *Front) Run(ctx context.Context) error {
	f.log.Info("start", zap.String("zone", f.cfg.Zone), zap.String(telemetry.FieldService, f.cfg.Service),
		zap.Strings("seeds", f.cfg.Seeds))
	work, stop := context.WithCancel(context.Background())
	defer stop()
	group := worker.NewGroup(f.log)
	group.Go(work, "internal", func(ctx context.Context) error { return f.internal.Serve(ctx, f.handleNode) })
	group.Go(work, "outbound", func(ctx context.Context) error { return f.outbound.Serve(ctx, f.handleTarget) })
	group.Go(work, "tick", func(ctx context.Context) error {
		f.tick()
		return worker.Every(ctx, tickPeriod, f.tick)
	})
	group.Go(work, "probe", f.probeTarget)
	group.Go(work, "join", f.followRegistry)
	group.Go(ctx, "registry", f.entry.Run)
	group.Go(work, "heartbeats", func(ctx context.Context) error {
		return telemetry.ServeHTTP(ctx, f.cfg.Control, platform.ReportsHandler(f))
	})
	group.Go(work, "copy of the configuration", f.copyConfig)
	group.Go(work, "internal calls", func(ctx context.Context) error {
		return telemetry.ServeHTTP(ctx, f.cfg.Internal, configcopy.Handler(f.currentCopy, f.log))
	})
	if f.cfg.Metrics != "" {
		group.Go(work, "metrics", func(ctx context.Context) error { return telemetry.ServeMetrics(ctx, f.cfg.Metrics, f.reg) })
	}
	<-ctx.Done()
	f.awaitTargetState(work)
	f.deregister()
	stop()
	group.Wait()
	f.log.Info("stop")
	return nil
}

func (f *Front) tick() {
	f.locked(func(now time.Time) {
		f.standstill.tick(now)
		f.core.Tick(now)
	})
	f.updateEntryState()
}

// updateEntryState requests the registry entry's desired state, which follows from the state of
// the target.
func (f *Front) updateEntryState() {
	wanted := fleet.EntryUnchanged
	f.locked(func(now time.Time) { wanted = f.core.WantedEntryState(now) })
	if wanted != fleet.EntryUnchanged {
		f.entry.SetEntryState(wanted)
	}
}

// maxStopDelay bounds the time for which a stop waits until it is certain whether a target runs.
const maxStopDelay = closeTimeout

// awaitTargetState waits until it is certain whether a target runs. The agent of a target that has
// ended is stopped soon after, often for good, and nobody else can tell the balancers of the end.
func (f *Front) awaitTargetState(ctx context.Context) {
	for deadline := time.Now().Add(maxStopDelay); time.Now().Before(deadline); worker.Sleep(ctx, fastProbePause) {
		certain := false
		f.locked(func(time.Time) { certain = f.core.TargetStateCertain() })
		if certain {
			return
		}
	}
}

// deregister removes the agent's registry entry if its target has ended, and announces
// the stop to the balancers.
func (f *Front) deregister() {
	removeEntry := false
	f.locked(func(time.Time) { removeEntry = f.core.MustRemoveEntry() })
	if removeEntry {
		f.entry.Deregister()
	}
	f.locked(f.core.Stop)
}

// Reload implements process.Reloader. It applies the seeds, and the service if the target's address
// went to another one, and no other setting.
func (f *Front) Reload(cfg Settings) []string {
	f.locked(func(now time.Time) {
		f.core.SetSeeds(flow.ParseAddrs(cfg.Seeds))
		f.core.SetService(now, flow.ServiceIDOf(cfg.Service))
		f.service = cfg.Service
	})
	return []string{"seeds", "service"}
}

// Service implements platform.ReportHandler.
func (f *Front) Service() (service string) {
	f.locked(func(time.Time) { service = f.service })
	return service
}

// OtherServiceReported implements platform.ReportHandler.
func (f *Front) OtherServiceReported() { f.locked(f.core.OtherServiceReported) }

// locked calls do with the lock held.
func (f *Front) locked(do func(now time.Time)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	do(time.Now())
}

func (f *Front) handleNode(from netip.AddrPort, datagram []byte) {
	f.locked(func(now time.Time) { f.core.HandleNode(now, flow.FromAddr(from.Addr()), datagram) })
}

func (f *Front) handleTarget(_ netip.AddrPort, datagram []byte) {
	h, err := platform.DecodePacket(datagram)
	f.locked(func(now time.Time) {
		if err != nil {
			f.core.events.Dropped(DropMalformed)
			return
		}
		f.core.HandleTarget(now, &h, datagram)
	})
}

// Heartbeat implements platform.ReportHandler. The agent's service may have changed since the report was
// compared with it.
func (f *Front) Heartbeat(b fleet.Heartbeat) (current bool) {
	f.locked(func(now time.Time) {
		if b.Service != f.service {
			f.core.OtherServiceReported(now)
			return
		}
		current = f.core.Heartbeat(f.standstill.earliest(now), now, b)
	})
	return current
}

// Deregister implements platform.ReportHandler.
func (f *Front) Deregister(left fleet.TargetIncarnation) {
	f.locked(func(now time.Time) { f.core.Deregister(now, left) })
}

// ReportRefused implements platform.ReportHandler.
func (f *Front) ReportRefused(err *platform.ReportError) {
	f.locked(func(time.Time) { f.observer.ReportRefused(err.Field, err.Fault) })
}

// Pauses between probes of a target: short for the first ones after the agent's start,
// when the target is expected to come up.
const (
	fastProbePause = 15 * time.Millisecond
	slowProbePause = 50 * time.Millisecond
	maxFastProbes  = 40
)

// probeTarget connects to the target whenever the core needs to know whether it is up.
func (f *Front) probeTarget(ctx context.Context) error {
	for tries := 0; ctx.Err() == nil; tries++ {
		wanted := false
		f.locked(func(now time.Time) { wanted = f.core.WantsProbe(now) })
		if wanted {
			began := time.Now()
			p := probe(ctx, f.target)
			f.locked(func(now time.Time) { f.core.TargetProbed(began, now, p) })
			f.updateEntryState()
		}
		if wanted && tries < maxFastProbes {
			worker.Sleep(ctx, fastProbePause)
		} else {
			worker.Sleep(ctx, slowProbePause)
		}
	}
	return nil
}

func probe(ctx context.Context, target netip.AddrPort) Probe {
	dialer := net.Dialer{Timeout: probeTimeout}
	conn, err := dialer.DialContext(ctx, "tcp4", target.String())
	if errors.Is(err, syscall.ECONNREFUSED) {
		return ProbeRefused
	}
	if err != nil {
		return ProbeUnanswered
	}
	// The error does not matter: nothing was sent on this connection.
	_ = conn.Close()
	return ProbeAccepted
}

// followRegistry reads the balancers from the registry while none is known.
func (f *Front) followRegistry(ctx context.Context) error {
	return worker.Every(ctx, isolationCheckPeriod, func() {
		if !f.registryReadDue() {
			return
		}
		balancers, err := registry.List(ctx, f.registry, fleet.RoleBalancer)
		if err != nil {
			f.log.Warn("reading the registry failed", zap.Error(err))
			return
		}
		if balancers.Skipped > 0 {
			f.log.Warn("invalid registry entries", zap.Int("entries", balancers.Skipped))
		}
		f.locked(func(now time.Time) { f.core.Contact(now, fleet.Addresses(balancers.Entries)) })
	})
}

// registryReadDue reports whether to read the registry, because no balancer has been known for
// some time.
func (f *Front) registryReadDue() (due bool) {
	f.locked(func(now time.Time) { due = f.isolation.Due(now, f.core.Balancers() == 0) })
	return due
}
