package model

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/flow/envelope"
	"github.com/poppywall/poppywall/model/sim"
)

// MeshSizes are the fleets whose control traffic is printed, in nodes.
var MeshSizes = []int{100, 300, 1000, 2000}

const (
	meshZones = 6
	// meshBalancers of meshNodes nodes are balancers.
	meshBalancers, meshNodes = 304, 982
	meshSettle               = 8 * time.Second
	meshSpan                 = 4 * time.Second
	// datagramHead is what a datagram costs on a link beside its bytes.
	datagramHead = 28
)

// idleTarget takes packets and answers none.
type idleTarget struct{}

// Take implements sim.Target.
func (idleTarget) Take([]byte) {}

// MeshCost is what a node sends and hears of others in a second of calm, without clients.
type MeshCost struct {
	// Datagrams and Bytes count what a balancer hears, by kind; Bytes with the heads of
	// datagrams.
	Datagrams, Bytes map[envelope.Kind]float64
	// Sent and SentBytes are what a balancer sends in the mean.
	Sent, SentBytes float64
	// Calls are those at the store since the common start, configurations left out.
	Calls map[sim.Call]int
}

// Mesh lets a fleet of so many nodes start together and returns its cost in calm.
func Mesh(nodes int) MeshCost {
	w := sim.NewWorld(1)
	balancers := nodes * meshBalancers / meshNodes
	for i := range balancers {
		w.AddBalancer(zoneName(i % meshZones))
	}
	for i := range nodes - balancers {
		w.AddAgent(zoneName(i%meshZones), "main").Target = idleTarget{}
	}
	w.Run(meshSettle)
	c := MeshCost{Datagrams: map[envelope.Kind]float64{}, Bytes: map[envelope.Kind]float64{}, Calls: w.Calls}
	per := 1 / meshSpan.Seconds() / float64(balancers)
	w.Heard = func(from, to flow.IPv4, kind envelope.Kind, datagram []byte) {
		bytes := float64(len(datagram) + datagramHead)
		if _, hears := w.Balancers[to]; hears {
			c.Datagrams[kind] += per
			c.Bytes[kind] += bytes * per
		}
		if _, sends := w.Balancers[from]; sends {
			c.Sent += per
			c.SentBytes += bytes * per
		}
	}
	w.Run(meshSpan)
	return c
}

// PrintMesh prints the cost of control in calm over the size of the fleet.
func PrintMesh(out io.Writer) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "nodes\tannouncements\tbeacons\trelay\tbatches\theard kB/s\tsent /s\tsent kB/s\tcalls since start\t")
	for _, nodes := range MeshSizes {
		c := Mesh(nodes)
		heard := 0.0
		for _, bytes := range c.Bytes {
			heard += bytes
		}
		_, _ = fmt.Fprintf(t, "%d\t%.0f\t%.0f\t%.0f\t%.0f\t%.1f\t%.0f\t%.1f\t%v\t\n", nodes, c.Datagrams[envelope.Announce], c.Datagrams[envelope.Beacon],
			c.Datagrams[envelope.Relay], c.Datagrams[envelope.Batch], heard/1000, c.Sent, c.SentBytes/1000, c.Calls)
	}
	return t.Flush()
}
