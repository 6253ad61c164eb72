package trial

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/poppywall/poppywall/load"
	"github.com/poppywall/poppywall/standin"
)

// DefaultSite returns the site that poppywall-trial runs.
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

// Workload sends streams, moves and uploads to the default site for a time. Meanwhile a
// target is drained and a balancer stopped.
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
		return nil, errors.Errorf("service %q does not exist", service)
	}
	if workspace == "" {
		workspace = service + ".example"
	}
	return load.NewCaller(address, workspace, c.Roots)
}

// OpenStreams implements load.Site. Hosts out of service are left out: their
// streams are expected to end.
func (c *Cluster) OpenStreams(service string) map[string]float64 {
	out := map[string]float64{}
	for _, h := range c.hosts() {
		if h.Service == service && !h.outOfService.Load() {
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
		return c.addHostToService(f.Service)
	case load.StopBalancer:
		return c.stopBalancer(f.Index)
	default:
		return c.injectHost(f)
	}
}

func (c *Cluster) addHostToService(service string) error {
	for _, s := range c.Site.Services {
		if s.Name == service {
			return c.AddHost(s, c.Site.Zones[0])
		}
	}
	return errors.Errorf("service %q does not exist", service)
}

func (c *Cluster) stopBalancer(i int) error {
	if i >= len(c.Nodes) {
		return errors.Errorf("balancer %d does not exist", i)
	}
	c.Nodes[i].Stop()
	return nil
}

// injectHost injects a fault of a host, its agent or its target.
func (c *Cluster) injectHost(f load.Fault) error {
	hosts := c.hosts()
	if f.Index >= len(hosts) {
		return errors.Errorf("host %d does not exist", f.Index)
	}
	h := hosts[f.Index]
	switch f.Kind {
	case load.DrainTarget:
		h.outOfService.Store(true)
		h.Target.Drain()
	case load.StopAgent:
		h.outOfService.Store(true)
		h.StopAgent()
	case load.KillTarget:
		h.outOfService.Store(true)
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
