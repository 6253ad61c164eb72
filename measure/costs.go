package measure

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"testing"
	"text/tabwriter"

	"github.com/poppywall/poppywall/catalog"
	"github.com/poppywall/poppywall/choose"
	"github.com/poppywall/poppywall/control"
	"github.com/poppywall/poppywall/directory"
	"github.com/poppywall/poppywall/forward"
	"github.com/poppywall/poppywall/route"
)

// Size of the fleet that the system is designed for.
const (
	designBalancers = 1700
	designHosts     = 15000
	designServices  = 890
	designZones     = 5
)

func dataAddr(kind directory.Kind, i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(kind), byte(i >> 8), byte(i)}), 4000)
}

func zoneOf(i int) string { return fmt.Sprintf("zone-%d", i%designZones) }

func balancerEntry(i int) directory.Entry {
	return directory.Entry{
		Kind: directory.KindBalancer, Name: fmt.Sprintf("balancer-%04d", i), Zone: zoneOf(i),
		Data: dataAddr(directory.KindBalancer, i), Control: dataAddr(directory.KindBalancer, i),
		Incarnation: 1, Sequence: 1, Status: directory.Alive,
	}
}

func hostEntry(i int, seq uint32) directory.Entry {
	return directory.Entry{
		Kind: directory.KindHost, Name: fmt.Sprintf("host-%05d", i), Zone: zoneOf(i),
		Data: dataAddr(directory.KindHost, i), Control: dataAddr(directory.KindHost, i),
		Incarnation: 1, Sequence: seq, Status: directory.Alive,
		Offers: []directory.Offer{{Service: route.ServiceID(i % designServices), Slots: 5}},
	}
}

func filledDirectory(balancers, hosts int) *directory.Directory {
	d := directory.New(directory.Defaults(), balancerEntry(0), simStart)
	for i := range balancers {
		d.Merge(simStart, []directory.Entry{balancerEntry(i)})
	}
	for i := range hosts {
		d.Merge(simStart, []directory.Entry{hostEntry(i, 1)})
	}
	for len(d.PendingUpdates(nil)) > 0 {
		continue
	}
	d.TakeDirtyServices()
	return d
}

func filledCatalog(services, targets int) *catalog.State {
	s := catalog.NewState()
	u := catalog.Update{}
	add := func(r catalog.Record) {
		u.To++
		r.Revision = u.To
		u.Records = append(u.Records, r)
	}
	for i := range services {
		name := fmt.Sprintf("service-%04d", i)
		add(catalog.Record{Key: catalog.ServiceKey(name), Change: "0b0e7a3c-0000-4000-8000-000000000000", Service: &catalog.Service{
			Name: name, ID: route.ServiceID(i + 1), Address: dataAddr(3, i).String(), Selector: catalog.Labels{"service": name},
			Workspaces: map[string]int{name + ".example": 1},
		}})
	}
	for i := range targets {
		host := fmt.Sprintf("host-%05d", i)
		add(catalog.Record{Key: catalog.TargetKey(host, ""), Change: "0b0e7a3c-0000-4000-8000-000000000000", Target: &catalog.Target{
			Host: host, Labels: catalog.Labels{"service": fmt.Sprintf("service-%04d", i%designServices)},
		}})
	}
	u.Horizon = u.To
	// Applying an update to an empty state does not fail.
	_, _ = s.Apply(u)
	return s
}

// heapOf returns the heap size in bytes of the value that build returns.
func heapOf[T any](build func() T) int64 {
	before := heapInUse()
	value := build()
	after := heapInUse()
	runtime.KeepAlive(value)
	return after - before
}

func heapInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// PrintMemory prints the heap size of the directory, the catalog and the
// forwarding table by number of entries.
func PrintMemory(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(tw, "STATE\tENTRIES\tHEAP KB\tBYTES PER ENTRY")
	for _, n := range []int{100, 1000, 5000, designHosts} {
		balancers := n * designBalancers / designHosts
		total := balancers + n
		bytes := heapOf(func() *directory.Directory { return filledDirectory(balancers, n) })
		fmt.Fprintf(tw, "directory\t%d\t%d\t%d\n", total, bytes/1024, bytes/int64(total))
	}
	for _, n := range []int{1000, 5000, designHosts} {
		services := n * designServices / designHosts
		bytes := heapOf(func() *catalog.State { return filledCatalog(services, n) })
		fmt.Fprintf(tw, "catalog\t%d\t%d\t%d\n", services+n, bytes/1024, bytes/int64(services+n))
	}
	for _, n := range []int{89, designServices} {
		hosts := n * designHosts / designServices
		bytes := heapOf(func() *forward.Table { return filledTable(n, hosts) })
		fmt.Fprintf(tw, "forwarding table, by services\t%d\t%d\t%d\n", n, bytes/1024, bytes/int64(n))
	}
	return tw.Flush()
}

// filledTable returns a balancer's forwarding table with the hosts distributed
// over the services.
func filledTable(services, hosts int) *forward.Table {
	table := forward.NewTable(nil, nil, choose.Defaults(), zoneOf(0))
	var specs []forward.Spec
	for i := range services {
		specs = append(specs, forward.Spec{ID: route.ServiceID(i + 1), Address: dataAddr(3, i)})
	}
	table.SetServices(specs, 1, 0)
	for i := range services {
		var list []choose.Host
		for h := i; h < hosts; h += services {
			list = append(list, choose.Host{Addr: dataAddr(directory.KindHost, h), Zone: zoneOf(h), Capacity: 5})
		}
		table.SetHosts(simStart, route.ServiceID(i+1), list)
	}
	return table
}

// PrintOperations prints the CPU time and the allocations of a balancer's control
// operations by fleet size.
func PrintOperations(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(tw, "OPERATION\tBALANCERS\tHOSTS\tMICROSECONDS\tBYTES ALLOCATED")
	for _, size := range []struct{ balancers, hosts int }{{17, 150}, {170, 1500}, {designBalancers, designHosts}} {
		for _, op := range operations(size.balancers, size.hosts) {
			r := testing.Benchmark(op.run)
			micros := float64(r.T.Nanoseconds()) / float64(r.N) / 1000
			fmt.Fprintf(tw, "%s\t%d\t%d\t%.1f\t%d\n", op.name, size.balancers, size.hosts, micros, r.AllocedBytesPerOp())
		}
	}
	return tw.Flush()
}

type operation struct {
	name string
	run  func(*testing.B)
}

func operations(balancers, hosts int) []operation {
	d := filledDirectory(balancers, hosts)
	rnd := rand.New(rand.NewPCG(1, 1))
	now := simStart
	seq := uint32(1)
	zone := zoneOf(1)
	loop := func(f func(i int)) func(*testing.B) {
		return func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				f(i)
			}
		}
	}
	return []operation{
		{"merge one change", loop(func(i int) {
			seq++
			d.Merge(now, []directory.Entry{hostEntry(i%hosts, seq)})
		})},
		{"heartbeat", loop(func(i int) {
			d.Heartbeat(now, directory.Heartbeat{Key: dataAddr(directory.KindHost, i%hosts), Incarnation: 1, Sequence: seq})
		})},
		{"registrars of a host", loop(func(i int) {
			directory.Registrars(dataAddr(directory.KindHost, i%hosts).String(), zone, d.Balancers(), control.RegistrarsPerHost)
		})},
		{"peer, rumours and root of an exchange", loop(func(int) {
			d.RandomPeer(rnd)
			d.PendingUpdates(nil)
			d.Root()
		})},
		{"tick", loop(func(int) { d.Tick(now) })},
		{"audit of one tick", loop(func(int) {
			list := d.Balancers()
			d.Audit(now, 1+d.Len()/1000, func(e *directory.Entry) bool {
				r := directory.Registrars(e.Data.String(), e.Zone, list, control.RegistrarsPerHost)
				return len(r) > 0 && r[0].Data == d.Self().Data
			})
		})},
		{"hosts of a service", loop(func(i int) { d.Hosts(route.ServiceID(i % designServices)) })},
	}
}
