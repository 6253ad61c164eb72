package measure

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"sync/atomic"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/poppywall/poppywall/catalog"
	"github.com/poppywall/poppywall/change"
	"github.com/poppywall/poppywall/control"
	"github.com/poppywall/poppywall/directory"
	"github.com/poppywall/poppywall/route"
	"github.com/poppywall/poppywall/settings"
	"github.com/poppywall/poppywall/standin"
	"github.com/poppywall/poppywall/trial"
)

// FleetResult is the cost of control traffic at a balancer in a fleet of real
// balancers on this machine, with the default intervals.
type FleetResult struct {
	Balancers, Hosts int
	// IdleBytesPerSecond and BusyBytesPerSecond are the control traffic of one
	// balancer, sent and received, without changes and with hostChanges and
	// configChanges a second.
	IdleBytesPerSecond, BusyBytesPerSecond float64
	// CPUShare is the share of a core that one balancer uses, with its part of the
	// simulated hosts and of the store.
	CPUShare float64
	// PlatformCallsPerSecond is the rate of platform calls of the whole fleet.
	PlatformCallsPerSecond float64
	// ColdStart is the time from a cold start until every balancer knew every host.
	ColdStart time.Duration
	// ConfigChange is the time until a configuration change was in force at every
	// balancer, HostFailure the time until every balancer had removed a host that
	// stopped.
	ConfigChange, HostFailure time.Duration
}

const (
	// fleetSettleTime is the wait after a cold start for its changes to propagate.
	fleetSettleTime = 20 * time.Second
	fleetIdleLength = 8 * time.Second
	fleetBusyLength = 8 * time.Second
	fleetTimeout    = 120 * time.Second
	// hostsPerBalancer is the ratio of 15,000 hosts to 1,700 balancers.
	hostsPerBalancer = 9
	// hostChanges and configChanges are the changes per second while busy.
	hostChanges   = 10
	configChanges = 2
)

// fleet is a set of real balancers with simulated hosts.
type fleet struct {
	ctx      context.Context
	store    *standin.Store
	cluster  *trial.Cluster
	nodes    []*trial.Node
	hosts    []*fakeHost
	client   *control.Client
	applier  *change.Applier
	wg       conc.WaitGroup
	traffic  control.Traffic
	cancel   context.CancelFunc
	revision catalog.Revision
}

// fakeHost sends heartbeats as an agent does.
type fakeHost struct {
	entry            directory.Entry
	registrars       []directory.Entry
	acknowledged     map[netip.AddrPort]uint32
	period           time.Duration
	requestedPeriods map[netip.AddrPort]time.Duration
	stopped          atomic.Bool
	changes          chan struct{}
}

// RunFleet measures a fleet of the given number of balancers.
func RunFleet(ctx context.Context, balancers int) (FleetResult, error) {
	startedAt := time.Now()
	f, err := startFleet(ctx, balancers)
	if err != nil {
		return FleetResult{}, err
	}
	defer f.stop()
	r := FleetResult{Balancers: balancers, Hosts: len(f.hosts)}
	if err := f.waitForHosts(len(f.hosts)); err != nil {
		return r, err
	}
	r.ColdStart = time.Since(startedAt)
	time.Sleep(fleetSettleTime)
	calls, cpu := f.store.Calls(), cpuTime()
	r.IdleBytesPerSecond = f.bytesPerSecond(fleetIdleLength, func() {})
	r.PlatformCallsPerSecond = float64(f.store.Calls()-calls) / fleetIdleLength.Seconds()
	r.CPUShare = (cpuTime() - cpu).Seconds() / fleetIdleLength.Seconds() / float64(balancers)
	r.BusyBytesPerSecond = f.bytesPerSecond(fleetBusyLength, f.generateChanges)
	if r.ConfigChange, err = f.measureConfigChange(); err != nil {
		return r, err
	}
	r.HostFailure, err = f.measureHostFailure()
	return r, err
}

func startFleet(ctx context.Context, balancers int) (*fleet, error) {
	ctx, cancel := context.WithCancel(ctx)
	f := &fleet{ctx: ctx, cancel: cancel}
	site := trial.Site{Zones: []string{"zone-0", "zone-1", "zone-2"}, Balancers: balancers, Services: nil}
	cluster, err := trial.StartBalancers(ctx, site, zap.NewNop(), settings.Duration(time.Second))
	if err != nil {
		cancel()
		return nil, err
	}
	f.cluster, f.store, f.nodes = cluster, cluster.Store, cluster.Nodes
	f.applier = change.NewApplier(f.store, change.Options{Author: "measure", Now: time.Now, NewID: uuid.NewString})
	secrets, err := settings.Secrets(cluster.Secrets)
	if err != nil {
		return nil, err
	}
	f.client = control.NewClient(secrets, &f.traffic, 5*time.Second, time.Minute)
	if err := f.configure(); err != nil {
		return nil, err
	}
	for i := range balancers * hostsPerBalancer {
		f.startHost(i)
	}
	return f, nil
}

func (f *fleet) stop() {
	f.cancel()
	f.wg.Wait()
	f.client.Close()
	f.cluster.Close()
}

// configure adds the service of the simulated hosts. waitForHosts counts its slots.
func (f *fleet) configure() error {
	res := f.applier.Apply(f.ctx, change.Document{Items: []change.Item{{Service: &catalog.Service{
		Name: "fleet", Address: "127.0.0.1:9", Selector: catalog.Labels{"service": "fleet"},
	}}}})
	if res.Outcome != change.Accepted {
		return errors.Errorf("configuration %s: %s", res.Text, res.Reason)
	}
	f.revision = res.Revision
	return nil
}

func (f *fleet) startHost(i int) {
	host := &fakeHost{entry: hostEntry(i, 1), acknowledged: map[netip.AddrPort]uint32{}, requestedPeriods: map[netip.AddrPort]time.Duration{}, period: time.Second, changes: make(chan struct{}, 1)}
	host.entry.Zone = f.cluster.Site.Zones[i%3]
	host.entry.Offers = []directory.Offer{{Service: route.ServiceID(1), Slots: 1}}
	seed := f.nodes[i%len(f.nodes)].Balancer.ControlAddr()
	host.registrars = []directory.Entry{{Control: seed, Data: seed}}
	f.hosts = append(f.hosts, host)
	f.wg.Go(func() { f.runHost(host) })
}

// runHost announces a host as the agent's heartbeat loop does.
func (f *fleet) runHost(h *fakeHost) {
	for f.ctx.Err() == nil && !h.stopped.Load() {
		sendNow, period := false, h.period
		for _, peer := range slices.Clone(h.registrars) {
			sendNow = f.heartbeat(h, peer) || sendNow
		}
		wait := period
		if sendNow {
			wait = 0
		}
		select {
		case <-f.ctx.Done():
		case <-h.changes:
			h.entry.Sequence++
		case <-time.After(wait):
		}
	}
}

// heartbeat sends a heartbeat to a registrar. It reports whether the next one has to
// be sent at once.
func (f *fleet) heartbeat(h *fakeHost, peer directory.Entry) (sendNow bool) {
	req := control.HeartbeatRequest{
		Data: h.entry.Data, Incarnation: h.entry.Incarnation, Sequence: h.entry.Sequence,
		Host: h.entry.Name, Zone: h.entry.Zone, Revision: f.revision,
		Registrars: control.RegistrarHash(h.registrars), PeriodMillis: h.period.Milliseconds(),
	}
	if h.acknowledged[peer.Data] != h.entry.Sequence {
		req.Entry = &h.entry
	}
	var reply control.HeartbeatReply
	if err := f.client.Call(f.ctx, peer.Control.String(), control.MethodHeartbeat, req, &reply); err != nil {
		return false
	}
	h.acknowledged[peer.Data] = req.Sequence
	if reply.Sequence > 0 {
		h.entry.Sequence = reply.Sequence + 1
		sendNow = true
	}
	if reply.NeedEntry {
		delete(h.acknowledged, peer.Data)
		sendNow = true
	}
	if len(reply.Registrars) > 0 {
		f.changeRegistrars(h, reply.Registrars)
		sendNow = true
	}
	if reply.PeriodMillis > 0 {
		h.requestedPeriods[peer.Data] = time.Duration(reply.PeriodMillis) * time.Millisecond
		h.period = longestPeriod(h.requestedPeriods, h.registrars)
	}
	return sendNow
}

// changeRegistrars replaces a host's registrars and sends a final heartbeat to
// each one that is no longer used.
func (f *fleet) changeRegistrars(h *fakeHost, list []directory.Entry) {
	for _, old := range h.registrars {
		if slices.ContainsFunc(list, func(e directory.Entry) bool { return e.Control == old.Control }) {
			continue
		}
		var reply control.HeartbeatReply
		_ = f.client.Call(f.ctx, old.Control.String(), control.MethodHeartbeat, control.HeartbeatRequest{
			Data: h.entry.Data, Incarnation: h.entry.Incarnation, Sequence: h.entry.Sequence,
			Host: h.entry.Name, Zone: h.entry.Zone, Revision: f.revision, Final: true,
		}, &reply)
	}
	h.registrars = list
}

func longestPeriod(asked map[netip.AddrPort]time.Duration, registrars []directory.Entry) time.Duration {
	period := time.Second
	for _, r := range registrars {
		period = max(period, asked[r.Data])
	}
	return period
}

func (f *fleet) waitForHosts(n int) error {
	return waitUntil(func() bool {
		for _, node := range f.nodes {
			if node.Balancer.Slots()["fleet"] != n {
				return false
			}
		}
		return true
	})
}

func waitUntil(ok func() bool) error {
	for deadline := time.Now().Add(fleetTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return nil
		}
	}
	return errors.Errorf("not settled within %v", fleetTimeout)
}

// bytesPerSecond runs work and returns the control traffic of one balancer over
// the given length.
func (f *fleet) bytesPerSecond(length time.Duration, work func()) float64 {
	before := f.controlBytes()
	start := time.Now()
	work()
	time.Sleep(length - time.Since(start))
	return float64(f.controlBytes()-before) / time.Since(start).Seconds() / float64(len(f.nodes))
}

func (f *fleet) controlBytes() int64 {
	sum := int64(0)
	for _, n := range f.nodes {
		sent, received := n.Balancer.ControlTraffic()
		sum += sent + received
	}
	return sum
}

// generateChanges changes hosts and configuration at fixed rates.
func (f *fleet) generateChanges() {
	tick := time.NewTicker(time.Second / hostChanges)
	defer tick.Stop()
	for i := range int(fleetBusyLength.Seconds()) * hostChanges {
		<-tick.C
		select {
		case f.hosts[i%len(f.hosts)].changes <- struct{}{}:
		default:
		}
		if i%(hostChanges/configChanges) == 0 {
			f.cluster.Drain(fmt.Sprintf("nobody-%d", i), true)
		}
	}
}

func (f *fleet) measureConfigChange() (time.Duration, error) {
	start := time.Now()
	res := f.cluster.Drain("nobody", true)
	err := waitUntil(func() bool {
		return !slices.ContainsFunc(f.nodes, func(n *trial.Node) bool { return n.Balancer.Revision() < res.Revision })
	})
	return time.Since(start), err
}

func (f *fleet) measureHostFailure() (time.Duration, error) {
	start := time.Now()
	f.hosts[0].stopped.Store(true)
	err := f.waitForHosts(len(f.hosts) - 1)
	return time.Since(start), err
}

// cpuTime returns the CPU time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// FleetSizes are the numbers of balancers that PrintFleet measures.
var FleetSizes = []int{3, 10, 30, 100}

// PrintFleet prints the cost of control traffic and the convergence times by fleet
// size.
func PrintFleet(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 11, 4, 2, ' ', 0)
	fmt.Fprintf(tw, "BALANCERS\tHOSTS\tCOLD START\tQUIET B/S\tBUSY B/S (%d+%d CHANGES/S)\tCPU SHARE\tPLATFORM CALLS/S\tCHANGE IN FORCE\tDEATH KNOWN\n", hostChanges, configChanges)
	for _, n := range FleetSizes {
		r, err := RunFleet(context.Background(), n)
		if err != nil {
			return errors.Wrapf(err, "%d balancers", n)
		}
		fmt.Fprintf(tw, "%d\t%d\t%v\t%.0f\t%.0f\t%.2f%%\t%.1f\t%v\t%v\n", r.Balancers, r.Hosts, r.ColdStart.Round(100*time.Millisecond), r.IdleBytesPerSecond, r.BusyBytesPerSecond, 100*r.CPUShare,
			r.PlatformCallsPerSecond, r.ConfigChange.Round(10*time.Millisecond), r.HostFailure.Round(10*time.Millisecond))
		if err := tw.Flush(); err != nil {
			return err
		}
	}
	return nil
}
