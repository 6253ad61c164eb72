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

// MeshSizes are the fleet sizes, in nodes, that PrintMesh simulates.
var MeshSizes = []int{100, 300, 1000, 2000}

const (
	meshZones = 6
	// meshBalancers out of each meshNodes nodes are balancers.
	meshBalancers, meshNodes = 304, 982
	meshWarmup               = 8 * time.Second
	meshMeasurement          = 4 * time.Second
	// datagramHeaderLen is the size of the IPv4 and UDP headers of a datagram.
	datagramHeaderLen = 28
)

// sinkTarget discards all packets.
type sinkTarget struct{}

// HandlePacket implements sim.Target.
func (sinkTarget) HandlePacket([]byte) {}

// MeshCost is the control traffic of a balancer per second in steady state, without clients.
type MeshCost struct {
	// Datagrams and Bytes are what a balancer receives on average, by kind. Bytes include
	// the headers of datagrams.
	Datagrams, Bytes map[envelope.Kind]float64
	// Sent and SentBytes are the datagrams and bytes that a balancer sends on average.
	Sent, SentBytes float64
	// Calls counts all calls to the store since the start, except those for configurations.
	Calls map[sim.Call]int
}

// Mesh starts a fleet of the given number of nodes at once and measures its control traffic in
// steady state.
func Mesh(nodes int) MeshCost {
	w := sim.NewWorld(1)
	balancers := nodes * meshBalancers / meshNodes
	for i := range balancers {
		w.AddBalancer(zoneName(i % meshZones))
	}
	for i := range nodes - balancers {
		w.AddAgent(zoneName(i%meshZones), "main").Target = sinkTarget{}
	}
	w.Run(meshWarmup)
	c := MeshCost{Datagrams: map[envelope.Kind]float64{}, Bytes: map[envelope.Kind]float64{}, Calls: w.Calls}
	rate := 1 / meshMeasurement.Seconds() / float64(balancers)
	w.OnReceive = func(from, to flow.IPv4, kind envelope.Kind, datagram []byte) {
		bytes := float64(len(datagram) + datagramHeaderLen)
		if _, receives := w.Balancers[to]; receives {
			c.Datagrams[kind] += rate
			c.Bytes[kind] += bytes * rate
		}
		if _, sends := w.Balancers[from]; sends {
			c.Sent += rate
			c.SentBytes += bytes * rate
		}
	}
	w.Run(meshMeasurement)
	return c
}

// PrintMesh prints the control traffic in steady state for each fleet size of MeshSizes.
func PrintMesh(out io.Writer) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "nodes\tannouncements\tbeacons\trelay\tbatches\theard kB/s\tsent /s\tsent kB/s\tcalls since start\t")
	for _, nodes := range MeshSizes {
		c := Mesh(nodes)
		received := 0.0
		for _, bytes := range c.Bytes {
			received += bytes
		}
		_, _ = fmt.Fprintf(t, "%d\t%.0f\t%.0f\t%.0f\t%.0f\t%.1f\t%.0f\t%.1f\t%v\t\n", nodes, c.Datagrams[envelope.Announce], c.Datagrams[envelope.Beacon],
			c.Datagrams[envelope.Relay], c.Datagrams[envelope.Batch], received/1000, c.Sent, c.SentBytes/1000, c.Calls)
	}
	return t.Flush()
}
