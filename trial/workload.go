package trial

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/poppywall/poppywall/load"
	"github.com/poppywall/poppywall/standin"
)

// DefaultSite is the small site of poppywall-trial.
func DefaultSite() Site {
	return Site{
		Zones:     []string{"zone-a", "zone-b"},
		Balancers: 3,
		Services: []ServiceSpec{
			{Name: "tables", Hosts: 3, Slots: 5, WorkMillis: 2},
			{Name: "intake", Hosts: 2, Slots: 5, WorkMillis: 5},
		},
	}
}

// Workload drives streams, moves and uploads through the default site while a
// target and a balancer drain.
func Workload(ctx context.Context, c *Cluster, length time.Duration) (load.Summary, error) {
	s := length.Seconds()
	plan := load.Plan{
		Seconds:       s,
		WarmupSeconds: s / 4,
		Seed:          1,
		Workloads: []load.Workload{
			{Service: "tables", Kind: load.Board, PerSecond: 10, Burst: 60, MeanSeconds: 4 * s},
			{Service: "tables", Kind: load.Move, PerSecond: 100},
			{Service: "intake", Kind: load.Upload, PerSecond: 5, Bytes: 256 << 10},
		},
		Faults: []load.Fault{
			{AtSeconds: s / 3, Kind: load.DrainTarget, Index: 0},
			{AtSeconds: s / 2, Kind: load.StopBalancer, Index: 0},
		},
	}
	summary, err := load.Run(ctx, plan, c)
	summary.Samples = nil
	return summary, err
}

// NewCaller implements load.Site.
func (c *Cluster) NewCaller(service, workspace string) (*load.Caller, error) {
	address, ok := c.Addresses[service]
	if !ok {
		return nil, errors.Errorf("no service %q", service)
	}
	if workspace == "" {
		workspace = service + ".example"
	}
	return load.NewCaller(address, workspace, c.Roots)
}

// OpenStreams implements load.Site. Hosts that drain are left out: they are
// meant to empty.
func (c *Cluster) OpenStreams(service string) map[string]float64 {
	out := map[string]float64{}
	for _, h := range c.hosts() {
		if h.Service == service && !h.drained.Load() {
			out[h.Name] = float64(h.Target.Streams()) / float64(h.slots)
		}
	}
	return out
}

// Inject implements load.Site.
func (c *Cluster) Inject(f load.Fault) error {
	switch f.Kind {
	case load.PlatformDown:
		c.Store.SetFaults(standin.Faults{Down: true})
		return nil
	case load.PlatformUp:
		c.Store.SetFaults(standin.Faults{})
		return nil
	case load.AddBalancer:
		return c.AddBalancer()
	case load.AddHost:
		return c.addHostOf(f.Service)
	case load.StopBalancer:
		return c.stopBalancer(f.Index)
	default:
		return c.injectHost(f)
	}
}

func (c *Cluster) addHostOf(service string) error {
	for _, s := range c.Site.Services {
		if s.Name == service {
			return c.AddHost(s, c.Site.Zones[0])
		}
	}
	return errors.Errorf("no service %q", service)
}

func (c *Cluster) stopBalancer(i int) error {
	if i >= len(c.Nodes) {
		return errors.Errorf("no balancer %d", i)
	}
	c.Nodes[i].Stop()
	return nil
}

func (c *Cluster) injectHost(f load.Fault) error {
	hosts := c.hosts()
	if f.Index >= len(hosts) {
		return errors.Errorf("no host %d", f.Index)
	}
	h := hosts[f.Index]
	switch f.Kind {
	case load.DrainTarget:
		h.drained.Store(true)
		h.Target.Drain()
	case load.StopAgent:
		h.drained.Store(true)
		h.StopAgent()
	case load.KillTarget:
		h.drained.Store(true)
		h.killTarget()
	case load.FreezeTarget:
		h.Target.Frozen.Store(true)
	case load.ThawTarget:
		h.Target.Frozen.Store(false)
	case load.FailTarget:
		h.Target.FailAll.Store(true)
	case load.HealTarget:
		h.Target.FailAll.Store(false)
	}
	return nil
}
