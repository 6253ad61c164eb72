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

// FleetResult is what control cost one balancer in a fleet of real balancers
// on this machine, at the default periods.
type FleetResult struct {
	Balancers, Hosts int
	// QuietBytes and BusyBytes are bytes a second of control traffic, sent and
	// received, at one balancer; busy with the changes of fleetChanges.
	QuietBytes, BusyBytes float64
	// CPU is the share of a core for one balancer, drivers included.
	CPU float64
	// Calls is platform calls a second of the whole fleet.
	Calls float64
	// Settle is how long the whole fleet took from a cold start until every
	// balancer knew every host.
	Settle time.Duration
	// Change, Death are how long a change and a host's death took to be in
	// force at every balancer.
	Change, Death time.Duration
}

const (
	// fleetSettle lets the changes of the cold start die down.
	fleetSettle  = 20 * time.Second
	fleetQuiet   = 8 * time.Second
	fleetBusy    = 8 * time.Second
	fleetTimeout = 120 * time.Second
	// hostsPerNode is 15,000 hosts over 1,700 balancers.
	hostsPerNode = 9
	// hostChanges and configChanges are the changes a second while busy.
	hostChanges   = 10
	configChanges = 2
)

// fleet is a running set of balancers with fake hosts.
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
	stopAll  context.CancelFunc
	revision catalog.Revision
}

// fakeHost sends the heartbeats of an agent.
type fakeHost struct {
	entry      directory.Entry
	registrars []directory.Entry
	told       map[netip.AddrPort]uint32
	period     time.Duration
	asked      map[netip.AddrPort]time.Duration
	dead       atomic.Bool
	change     chan struct{}
}

// Fleet measures one size.
func Fleet(ctx context.Context, balancers int) (FleetResult, error) {
	began := time.Now()
	f, err := startFleet(ctx, balancers)
	if err != nil {
		return FleetResult{}, err
	}
	defer f.stop()
	r := FleetResult{Balancers: balancers, Hosts: len(f.hosts)}
	if err := f.waitHosts(len(f.hosts)); err != nil {
		return r, err
	}
	r.Settle = time.Since(began)
	time.Sleep(fleetSettle)
	calls, cpu := f.store.Calls(), cpuTime()
	r.QuietBytes = f.bytesPerSecond(fleetQuiet, func() {})
	r.Calls = float64(f.store.Calls()-calls) / fleetQuiet.Seconds()
	r.CPU = (cpuTime() - cpu).Seconds() / fleetQuiet.Seconds() / float64(balancers)
	r.BusyBytes = f.bytesPerSecond(fleetBusy, f.beBusy)
	if r.Change, err = f.measureChange(); err != nil {
		return r, err
	}
	r.Death, err = f.measureDeath()
	return r, err
}

func startFleet(ctx context.Context, balancers int) (*fleet, error) {
	ctx, cancel := context.WithCancel(ctx)
	f := &fleet{ctx: ctx, stopAll: cancel}
	site := trial.Site{Zones: []string{"zone-0", "zone-1", "zone-2"}, Balancers: balancers, Services: nil}
	cluster, err := trial.StartBare(ctx, site, zap.NewNop(), settings.Duration(time.Second))
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
	for i := range balancers * hostsPerNode {
		f.startHost(i)
	}
	return f, nil
}

func (f *fleet) stop() {
	f.stopAll()
	f.wg.Wait()
	f.client.Close()
	f.cluster.Close()
}

// configure makes one service, whose hosts the balancers then report.
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
	h := &fakeHost{entry: hostEntry(i, 1), told: map[netip.AddrPort]uint32{}, asked: map[netip.AddrPort]time.Duration{}, period: time.Second, change: make(chan struct{}, 1)}
	h.entry.Zone = f.cluster.Site.Zones[i%3]
	h.entry.Offers = []directory.Offer{{Service: route.ServiceID(1), Slots: 1}}
	seed := f.nodes[i%len(f.nodes)].Balancer.ControlAddr()
	h.registrars = []directory.Entry{{Control: seed, Data: seed}}
	f.hosts = append(f.hosts, h)
	f.wg.Go(func() { f.runHost(h) })
}

// runHost announces a host as agent.announceLoop does.
func (f *fleet) runHost(h *fakeHost) {
	for f.ctx.Err() == nil && !h.dead.Load() {
		again, stated := false, h.period
		for _, peer := range slices.Clone(h.registrars) {
			again = f.heartbeat(h, peer) || again
		}
		wait := stated
		if again {
			wait = 0
		}
		select {
		case <-f.ctx.Done():
		case <-h.change:
			h.entry.Sequence++
		case <-time.After(wait):
		}
	}
}

func (f *fleet) heartbeat(h *fakeHost, peer directory.Entry) (again bool) {
	req := control.HeartbeatRequest{
		Data: h.entry.Data, Incarnation: h.entry.Incarnation, Sequence: h.entry.Sequence,
		Host: h.entry.Name, Zone: h.entry.Zone, Revision: f.revision,
		Registrars: control.RegistrarHash(h.registrars), PeriodMillis: h.period.Milliseconds(),
	}
	if h.told[peer.Data] != h.entry.Sequence {
		req.Entry = &h.entry
	}
	var reply control.HeartbeatReply
	if err := f.client.Call(f.ctx, peer.Control.String(), control.MethodHeartbeat, req, &reply); err != nil {
		return false
	}
	h.told[peer.Data] = req.Sequence
	if reply.Sequence > 0 {
		h.entry.Sequence = reply.Sequence + 1
		again = true
	}
	if reply.NeedEntry {
		delete(h.told, peer.Data)
		again = true
	}
	if len(reply.Registrars) > 0 {
		f.changeRegistrars(h, reply.Registrars)
		again = true
	}
	if reply.PeriodMillis > 0 {
		h.asked[peer.Data] = time.Duration(reply.PeriodMillis) * time.Millisecond
		h.period = longest(h.asked, h.registrars)
	}
	return again
}

// changeRegistrars says farewell to those that are left.
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

func longest(asked map[netip.AddrPort]time.Duration, registrars []directory.Entry) time.Duration {
	period := time.Second
	for _, r := range registrars {
		period = max(period, asked[r.Data])
	}
	return period
}

func (f *fleet) waitHosts(n int) error {
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

// bytesPerSecond is the control traffic of one balancer while work runs.
func (f *fleet) bytesPerSecond(length time.Duration, work func()) float64 {
	before := f.bytes()
	start := time.Now()
	work()
	time.Sleep(length - time.Since(start))
	return float64(f.bytes()-before) / time.Since(start).Seconds() / float64(len(f.nodes))
}

func (f *fleet) bytes() int64 {
	sum := int64(0)
	for _, n := range f.nodes {
		sent, received := n.Balancer.ControlTraffic()
		sum += sent + received
	}
	return sum
}

// beBusy makes changes of hosts and configuration at fixed rates.
func (f *fleet) beBusy() {
	tick := time.NewTicker(time.Second / hostChanges)
	defer tick.Stop()
	for i := range int(fleetBusy.Seconds()) * hostChanges {
		<-tick.C
		select {
		case f.hosts[i%len(f.hosts)].change <- struct{}{}:
		default:
		}
		if i%(hostChanges/configChanges) == 0 {
			f.cluster.Drain(fmt.Sprintf("nobody-%d", i), true)
		}
	}
}

func (f *fleet) measureChange() (time.Duration, error) {
	start := time.Now()
	res := f.cluster.Drain("nobody", true)
	err := waitUntil(func() bool {
		return !slices.ContainsFunc(f.nodes, func(n *trial.Node) bool { return n.Balancer.Revision() < res.Revision })
	})
	return time.Since(start), err
}

func (f *fleet) measureDeath() (time.Duration, error) {
	start := time.Now()
	f.hosts[0].dead.Store(true)
	err := f.waitHosts(len(f.hosts) - 1)
	return time.Since(start), err
}

// cpuTime is the processor time of this process so far.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// FleetSizes are the balancers of the runs.
var FleetSizes = []int{3, 10, 30, 100}

// PrintFleet shows the cost of control and the time to agree over the fleet.
func PrintFleet(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 11, 4, 2, ' ', 0)
	fmt.Fprintf(tw, "BALANCERS\tHOSTS\tCOLD START\tQUIET B/S\tBUSY B/S (%d+%d CHANGES/S)\tCPU SHARE\tPLATFORM CALLS/S\tCHANGE IN FORCE\tDEATH KNOWN\n", hostChanges, configChanges)
	for _, n := range FleetSizes {
		r, err := Fleet(context.Background(), n)
		if err != nil {
			return errors.Wrapf(err, "%d balancers", n)
		}
		fmt.Fprintf(tw, "%d\t%d\t%v\t%.0f\t%.0f\t%.2f%%\t%.1f\t%v\t%v\n", r.Balancers, r.Hosts, r.Settle.Round(100*time.Millisecond), r.QuietBytes, r.BusyBytes, 100*r.CPU,
			r.Calls, r.Change.Round(10*time.Millisecond), r.Death.Round(10*time.Millisecond))
		if err := tw.Flush(); err != nil {
			return err
		}
	}
	return nil
}
