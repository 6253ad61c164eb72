package packetfront

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/poppywall/poppywall/choose"
	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/fleet/registry"
	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/platform"
	"github.com/poppywall/poppywall/relay"
	"github.com/poppywall/poppywall/store"
	"github.com/poppywall/poppywall/telemetry"
	"github.com/poppywall/poppywall/worker"
)

// Times of the shell.
const (
	// peerPatience is how long a balancer waits for its own watch before it
	// fetches a newer configuration from another balancer.
	peerPatience = 250 * time.Millisecond
	// peerTimeout bounds that fetch.
	peerTimeout = 500 * time.Millisecond
	// warmingFactor weighs the load of a host that is slow after its start.
	warmingFactor = 1.6
	// maxConfig bounds a configuration that another balancer sends, in bytes.
	maxConfig = 4 << 20
)

// Front is a balancer's packet front: sockets, the store and the lock around a
// Core.
type Front struct {
	cfg   Settings
	log   *zap.Logger
	store store.Watcher
	entry *registry.Registry
	reg   *prometheus.Registry

	data, internal *relay.Datagrams
	port           uint16
	clientPort     uint16
	self           flow.IPv4

	// mu guards core and raw; nothing else is locked under it.
	mu   sync.Mutex
	core *Core
	// raw is the configuration in force as it is stored.
	raw []byte
	// staleSince is when a newer configuration was heard of first.
	staleSince time.Time
	alone      fleet.Alone
}

// NewFront opens the sockets of a front.
func NewFront(cfg Settings, log *zap.Logger) (*Front, error) {
	f := &Front{cfg: cfg, log: log, store: platform.NewStore(cfg.Store, storeTimeout), reg: prometheus.NewRegistry()}
	f.self, f.port = flow.ParseAddrPort(cfg.Internal)
	dataAddr := netip.MustParseAddrPort(cfg.Data)
	f.clientPort = dataAddr.Port()
	var err error
	if f.data, err = relay.OpenDatagrams(dataAddr); err != nil {
		return nil, errors.Wrap(err, "field \"data\"")
	}
	if f.internal, err = relay.OpenDatagrams(netip.MustParseAddrPort(cfg.Internal)); err != nil {
		return nil, errors.Wrap(err, "field \"internal\"")
	}
	opts := Options{
		Self: f.self, Zone: flow.TagOf(cfg.Zone), Seeds: flow.ParseAddrs(cfg.Seeds), Epoch: rand.Uint64() | 1,
		Weights:  choose.Weights{OtherZone: cfg.OtherZoneCost, Warming: warmingFactor},
		FeedTime: watchWait(cfg.CatchUpWithin.D()) + storeTimeout,
	}
	f.entry = registry.New(f.store, fleet.RoleBalancer, f.self, opts.Epoch, log, func() {})
	rnd := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	f.core = New(time.Now(), opts, f, platform.Codec{}, newObserver(log, f.reg), rnd)
	return f, nil
}

// ToNode implements Port.
func (f *Front) ToNode(node flow.IPv4, head, packet []byte) {
	// A datagram that cannot be sent is lost like any other.
	_ = f.internal.Send(netip.AddrPortFrom(node.Addr(), f.port), head, packet)
}

// Reset implements Port.
func (f *Front) Reset(key flow.Key, seq uint32) {
	var b [platform.HeadLen]byte
	_ = f.data.Send(netip.AddrPortFrom(key.ClientIP.Addr(), f.clientPort), nil, platform.AppendReset(b[:0], key, seq))
}

// Run serves until ctx ends, then forwards on while the routers take the
// balancer out.
func (f *Front) Run(ctx context.Context) error {
	f.log.Info("start", zap.String("zone", f.cfg.Zone), zap.Strings("seeds", f.cfg.Seeds))
	work, stop := context.WithCancel(context.Background())
	defer stop()
	group := worker.NewGroup(f.log)
	group.Go(work, "data", func(ctx context.Context) error { return f.data.Serve(ctx, f.handleClient) })
	group.Go(work, "internal", func(ctx context.Context) error { return f.internal.Serve(ctx, f.handleNode) })
	group.Go(work, "tick", f.tick)
	f.entry.Want(fleet.PresenceHere)
	group.Go(ctx, "registry", f.entry.Run)
	group.Go(work, "config", f.source().run)
	group.Go(work, "peers", f.followPeers)
	group.Go(work, "survey", f.followRegistry)
	group.Go(work, "ready", func(ctx context.Context) error { return telemetry.ServeHTTP(ctx, f.cfg.Ready, f.readyHandler()) })
	group.Go(work, "internal calls", func(ctx context.Context) error { return telemetry.ServeHTTP(ctx, f.cfg.Internal, f.peerHandler()) })
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

func (f *Front) leave() {
	f.log.Info("leaving", zap.Duration("delay", f.cfg.LeaveDelay.D()))
	f.locked(func(now time.Time) { f.core.Leave(now) })
	time.Sleep(f.cfg.LeaveDelay.D())
}

// Reload implements process.Reloader: the seeds are taken over.
func (f *Front) Reload(cfg Settings) []string {
	f.locked(func(time.Time) { f.core.SetSeeds(flow.ParseAddrs(cfg.Seeds)) })
	return []string{"seeds"}
}

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

func (f *Front) source() *configSource {
	return &configSource{
		store: f.store, key: platform.ConfigKey, decode: platform.DecodeConfig, apply: f.apply, log: f.log,
		wait: watchWait(f.cfg.CatchUpWithin.D()),
		needed: func() (yes bool) {
			f.locked(func(now time.Time) { yes = f.core.ConfigVersion() == 0 || f.core.Feeds(now) })
			return yes
		},
		answered: func() { f.locked(f.core.Fed) },
	}
}

// apply puts a configuration in force if it is newer.
func (f *Front) apply(c *flow.Config, raw []byte, from string) {
	f.locked(func(now time.Time) {
		former := f.core.ConfigVersion()
		if !f.core.SetConfig(now, c) {
			return
		}
		f.raw = raw
		f.log.Info("configuration in force", zap.Int64(fieldConfig, c.Version), zap.Int64("former", former),
			zap.Int("routes", len(c.Routes)), zap.String("from", from))
	})
}

// followPeers fetches a configuration that another balancer has and this one
// does not get from the store.
func (f *Front) followPeers(ctx context.Context) error {
	return worker.Every(ctx, tickPeriod, func() {
		if peer, due := f.staleBehind(); due {
			f.fetch(ctx, peer)
		}
	})
}

// followRegistry reads the registry when the core wants to know the agents, and
// when the balancer is alone. It starts at once: the registry names the agents
// before any of them is heard. It has a loop of its own, for a store that does
// not answer holds it up.
func (f *Front) followRegistry(ctx context.Context) error {
	look := func() {
		if f.lone() {
			f.readRegistry(ctx)
		}
		f.surveyAgents(ctx)
		f.keepRegistry(ctx)
	}
	look()
	return worker.Every(ctx, tickPeriod, look)
}

// staleBehind returns a balancer with a newer configuration once the own watch
// had its time.
func (f *Front) staleBehind() (peer flow.IPv4, due bool) {
	f.locked(func(now time.Time) {
		own := f.core.ConfigVersion()
		ip, newer := f.core.view.Newest(own)
		if !newer {
			f.staleSince = time.Time{}
			return
		}
		if f.staleSince.IsZero() {
			f.staleSince = now
		}
		peer, due = ip, own == 0 || !f.core.Feeds(now) || now.Sub(f.staleSince) >= peerPatience
	})
	return peer, due
}

func (f *Front) fetch(ctx context.Context, peer flow.IPv4) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	raw, err := fetchConfig(ctx, netip.AddrPortFrom(peer.Addr(), f.port))
	if err != nil {
		f.log.Warn("configuration not fetched", zap.Stringer(telemetry.FieldPeer, peer), zap.Error(err))
		return
	}
	c, err := platform.DecodeConfig(raw)
	if err != nil {
		f.log.Error("configuration of another balancer refused", zap.Stringer(telemetry.FieldPeer, peer), zap.Error(err))
		return
	}
	f.apply(c, raw, peer.String())
}

const pathConfig = "/config"

// peerClient opens a connection for each call: calls are rare, and a kept
// connection may have gone silent since.
var peerClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

func fetchConfig(ctx context.Context, peer netip.AddrPort) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+peer.String()+pathConfig, nil)
	if err != nil {
		return nil, err
	}
	resp, err := peerClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("answered %s", resp.Status)
	}
	return io.ReadAll(io.LimitReader(resp.Body, maxConfig))
}

// lone tells that no other node has been known for a while.
func (f *Front) lone() (due bool) {
	f.locked(func(now time.Time) {
		due = f.alone.Due(now, len(f.core.view.Balancers())+len(f.core.view.Hosts()) == 0)
	})
	return due
}

func (f *Front) readRegistry(ctx context.Context) {
	balancers, ok := f.list(ctx, fleet.RoleBalancer)
	if !ok {
		return
	}
	f.locked(func(now time.Time) { f.core.Greet(now, fleet.Addresses(balancers), nil) })
}

// surveyAgents reads which agents are registered when the core wants to know.
func (f *Front) surveyAgents(ctx context.Context) {
	wanted, began := false, time.Time{}
	f.locked(func(now time.Time) { wanted, began = f.core.WantsSurvey(now), now })
	if !wanted {
		return
	}
	agents, ok := f.list(ctx, fleet.RoleAgent)
	if !ok {
		return
	}
	f.locked(func(now time.Time) { f.core.Surveyed(now, began, agents) })
}

// list reads the entries of a role.
func (f *Front) list(ctx context.Context, role fleet.Role) ([]fleet.Entry, bool) {
	entries, err := registry.List(ctx, f.store, role)
	if err != nil {
		f.log.Warn("registry not read", zap.String("role", string(role)), zap.Error(err))
	}
	return entries, err == nil
}

// keepRegistry takes dead nodes out of the registry where that is this
// balancer's duty.
func (f *Front) keepRegistry(ctx context.Context) {
	var departed []Departed
	wanted, began := false, time.Time{}
	f.locked(func(now time.Time) {
		departed = f.core.Departed()
		wanted, began = f.core.WantsRoster(now), now
	})
	for _, d := range departed {
		err := registry.Remove(ctx, f.store, d.Role, d.Entry)
		f.log.Info("dead node taken out of the registry", zap.String("role", string(d.Role)),
			zap.Stringer(telemetry.FieldPeer, d.IP), zap.Error(err))
	}
	if !wanted {
		return
	}
	balancers, ok := f.list(ctx, fleet.RoleBalancer)
	agents, ok2 := f.list(ctx, fleet.RoleAgent)
	if ok && ok2 {
		f.locked(func(now time.Time) { f.core.Roster(now, began, balancers, agents) })
	}
}

// Ready tells whether clients' packets may come.
func (f *Front) Ready() (ready bool) {
	f.locked(func(now time.Time) { ready = f.core.Ready(now) })
	return ready
}

// Hosts is the number of hosts known.
func (f *Front) Hosts() (count int) {
	f.locked(func(time.Time) { count = len(f.core.view.Hosts()) })
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

func (f *Front) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathConfig, func(w http.ResponseWriter, _ *http.Request) {
		var raw []byte
		f.locked(func(time.Time) { raw = f.raw })
		if raw == nil {
			http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
			return
		}
		// The peer sees a broken answer and asks again.
		_, _ = w.Write(raw)
	})
	return mux
}
