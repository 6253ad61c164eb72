package packetfront

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/poppywall/poppywall/balancer/operator"
	"github.com/poppywall/poppywall/choose"
	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/fleet/configcopy"
	"github.com/poppywall/poppywall/fleet/registry"
	"github.com/poppywall/poppywall/fleet/snapshotcopy"
	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/flow/envelope"
	"github.com/poppywall/poppywall/platform"
	"github.com/poppywall/poppywall/relay"
	"github.com/poppywall/poppywall/store"
	"github.com/poppywall/poppywall/telemetry"
	"github.com/poppywall/poppywall/worker"
)

// warmupLoadFactor multiplies the load of a target that is still slow after its start.
const warmupLoadFactor = 1.6

// Front is a balancer's packet front. It runs a Core with its sockets, the store and a
// lock.
type Front struct {
	cfg Settings
	log *zap.Logger
	// registry is the store client for reads of the node registry.
	registry store.Store
	// source keeps the operator's state up to date.
	source *operator.Source
	// entry is this balancer's own entry in the registry.
	entry *registry.Registrar
	reg   *prometheus.Registry
	// sent counts the messages and bytes sent to other nodes.
	sent *telemetry.SentTraffic
	// invalidEntries counts invalid registry entries.
	invalidEntries prometheus.Counter

	data, internal *relay.DatagramSocket
	port           uint16
	clientPort     uint16
	self           flow.IPv4

	// mu guards core and isolation; no other lock is taken while it is held.
	mu        sync.Mutex
	core      *Core
	isolation fleet.IsolationTimer
	// snapshotReader reads the agents' registry for this balancer and others of its zone,
	// snapshotClient fetches the snapshots of other balancers.
	snapshotReader *snapshotcopy.Reader
	snapshotClient *snapshotcopy.Client
}

// NewFront returns a front with open sockets.
func NewFront(cfg Settings, log *zap.Logger) (*Front, error) {
	f := &Front{cfg: cfg, log: log, reg: prometheus.NewRegistry()}
	stored := platform.NewStore(cfg.Store, operator.StoreTimeout)
	counters := telemetry.Metrics{Registry: f.reg, Subsystem: subsystem}
	f.sent = telemetry.NewSentTraffic(counters, envelope.KindNames)
	f.invalidEntries = counters.Counter(
		"foreign_registry_entries_total", "Invalid entries read in the registry.")
	f.self, f.port = flow.ParseAddrPort(cfg.Internal)
	dataAddr := netip.MustParseAddrPort(cfg.Data)
	f.clientPort = dataAddr.Port()
	var err error
	if f.data, err = relay.OpenDatagramSocket(dataAddr); err != nil {
		return nil, errors.Wrap(err, "field \"data\"")
	}
	if f.internal, err = relay.OpenDatagramSocket(netip.MustParseAddrPort(cfg.Internal)); err != nil {
		return nil, errors.Wrap(err, "field \"internal\"")
	}
	opts := Options{
		Self: f.self, Zone: flow.TagOf(cfg.Zone), Seeds: flow.ParseAddrs(cfg.Seeds), Incarnation: rand.Uint64() | 1,
		Weights:    choose.Weights{CrossZoneCost: cfg.OtherZoneCost, CrossZonePrice: cfg.OtherZonePrice.D(), Warming: warmupLoadFactor},
		LinkMbps:   cfg.LinkMbps,
		FollowTime: operator.FollowTime(cfg.CatchUpWithin.D()),
	}
	calls := telemetry.NewStoreCalls(counters)
	f.registry = calls.For(telemetry.PurposeRegistry, stored)
	f.snapshotReader, f.snapshotClient = snapshotcopy.NewReader(f.readAgents), snapshotcopy.NewClient()
	f.entry = registry.New(calls.For(telemetry.PurposeEntry, stored), fleet.RoleBalancer, f.self, opts.Incarnation, log, func(fleet.EntryState) {})
	rnd := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	f.core = New(time.Now(), opts, f, platform.Codec{}, newObserver(log, f.reg), rnd)
	f.source = &operator.Source{
		State: f.core.Operator(), Locked: f.locked, Store: calls.For(telemetry.PurposeOperator, stored), Peers: configcopy.NewClient(nil), Port: f.port,
		CatchUp: cfg.CatchUpWithin.D(), Transfers: operator.NewTransfers(counters), Log: log,
	}
	return f, nil
}

// ToNode implements Port.
func (f *Front) ToNode(node flow.IPv4, head, packet []byte) {
	if kind, err := envelope.KindOf(head); err == nil {
		f.sent.Count(kind.Index(), f.core.ReceiverZone(node), len(head)+len(packet))
	}
	// A failed send is treated like a lost datagram.
	_ = f.internal.Send(netip.AddrPortFrom(node.Addr(), f.port), head, packet)
}

// Reset implements Port.
func (f *Front) Reset(key flow.Key, seq uint32) {
	var b [platform.HeaderLen]byte
	_ = f.data.Send(netip.AddrPortFrom(key.ClientIP.Addr(), f.clientPort), nil, platform.AppendReset(b[:0], key, seq))
}

// Run serves until ctx ends, then keeps forwarding for LeaveDelay, while the routers take
// the balancer out of rotation.
func (f *Front) Run(ctx context.Context) error {
	f.log.Info("start", zap.String("zone", f.cfg.Zone), zap.Strings("seeds", f.cfg.Seeds))
	work, stop := context.WithCancel(context.Background())
	defer stop()
	group := worker.NewGroup(f.log)
	group.Go(work, "data", func(ctx context.Context) error { return f.data.Serve(ctx, f.handleClient) })
	group.Go(work, "internal", func(ctx context.Context) error { return f.internal.Serve(ctx, f.handleNode) })
	group.Go(work, "tick", f.tick)
	group.Go(ctx, "registry", f.entry.Run)
	group.Go(work, "operator", f.source.FollowStore)
	group.Go(work, "peers", f.source.FollowPeers)
	group.Go(work, "survey", f.followRegistry)
	group.Go(work, "ready", func(ctx context.Context) error { return telemetry.ServeHTTP(ctx, f.cfg.Ready, f.readyHandler()) })
	group.Go(work, "internal calls", func(ctx context.Context) error {
		return telemetry.ServeHTTP(ctx, f.cfg.Internal, f.internalHandler())
	})
	if f.cfg.Metrics != "" {
		group.Go(work, "metrics", func(ctx context.Context) error { return telemetry.ServeMetrics(ctx, f.cfg.Metrics, f.reg) })
	}
	<-ctx.Done()
	f.leave()
	stop()
	group.Wait()
	f.log.Info("stop")
	return nil
}

// internalHandler serves the HTTP calls of other nodes.
func (f *Front) internalHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(configcopy.Path, configcopy.Handler(f.source.Copy, f.log))
	mux.Handle(snapshotcopy.Path, snapshotcopy.Handler(f.snapshotReader, f.log))
	return mux
}

func (f *Front) leave() {
	f.log.Info("leaving", zap.Duration("delay", f.cfg.LeaveDelay.D()))
	f.locked(func(now time.Time) { f.core.Leave(now) })
	time.Sleep(f.cfg.LeaveDelay.D())
}

// Reload implements process.Reloader. It applies the seeds and no other setting.
func (f *Front) Reload(cfg Settings) []string {
	f.locked(func(time.Time) { f.core.SetSeeds(flow.ParseAddrs(cfg.Seeds)) })
	return []string{"seeds"}
}

// locked calls do with the lock held.
func (f *Front) locked(do func(now time.Time)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	do(time.Now())
}

func (f *Front) handleClient(_ netip.AddrPort, datagram []byte) {
	h, err := platform.DecodePacket(datagram)
	f.locked(func(now time.Time) {
		if err != nil {
			f.core.events.Dropped(DropMalformed)
			return
		}
		f.core.HandleClient(now, &h, datagram)
	})
}

func (f *Front) handleNode(from netip.AddrPort, datagram []byte) {
	f.locked(func(now time.Time) { f.core.HandleNode(now, flow.FromAddr(from.Addr()), datagram) })
}

func (f *Front) tick(ctx context.Context) error {
	for ctx.Err() == nil {
		pause := tickPeriod
		f.locked(func(now time.Time) {
			f.core.Tick(now)
			pause = f.core.TickPeriod(now)
		})
		worker.Sleep(ctx, pause)
	}
	return nil
}

// Ready reports whether the balancer is ready for clients' packets.
func (f *Front) Ready() (ready bool) {
	f.locked(func(now time.Time) { ready = f.core.Ready(now) })
	return ready
}

// TargetCount returns the number of known targets.
func (f *Front) TargetCount() (count int) {
	f.locked(func(time.Time) { count = f.core.view.TargetCount() })
	return count
}

func (f *Front) readyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(platform.PathReady, func(w http.ResponseWriter, _ *http.Request) {
		if !f.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}
