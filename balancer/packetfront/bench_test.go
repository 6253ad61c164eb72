package packetfront

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/fleet/configcopy"
	"github.com/poppywall/poppywall/flow"
)

// discard is a Port that drops all packets.
type discard struct{}

func (discard) ToNode(flow.IPv4, []byte, []byte) {}
func (discard) Reset(flow.Key, uint32)           {}

// benchCore returns a balancer with a service of 40 targets.
func benchCore(b *testing.B) *fixture {
	f := newFixture()
	for i := range flow.IPv4(38) {
		f.announce(0x0a020000+i, fleet.Ready)
	}
	f.Core.port = discard{}
	b.ReportAllocs()
	return f
}

// BenchmarkForward measures a packet of a flow that is in the table.
func BenchmarkForward(b *testing.B) {
	f := benchCore(b)
	f.receiveFromClient(packet(true, 0))
	p := packet(false, 9)
	h, err := f.codec.Decode(p)
	require.NoError(b, err)
	for b.Loop() {
		f.HandleClient(f.now, &h, p)
	}
}

// BenchmarkOpen measures a SYN: the choice among 40 targets.
func BenchmarkOpen(b *testing.B) {
	f := benchCore(b)
	p := packet(true, 0)
	h, err := f.codec.Decode(p)
	require.NoError(b, err)
	for b.Loop() {
		f.HandleClient(f.now, &h, p)
	}
}

// BenchmarkSearch measures the first packet of an unknown flow.
func BenchmarkSearch(b *testing.B) {
	f := benchCore(b)
	p := packet(false, 9)
	h, err := f.codec.Decode(p)
	require.NoError(b, err)
	for b.Loop() {
		f.HandleClient(f.now, &h, p)
		f.finder.Discard(key)
	}
}

// BenchmarkGzipConfig measures the cost of the first request for a configuration of 4,200 routes to
// the balancer that serves it; ratio is compressed bytes per plain byte.
func BenchmarkGzipConfig(b *testing.B) {
	var raw bytes.Buffer
	for i := range 4200 {
		fmt.Fprintf(&raw, `{"name":"r-%07x","host":"198.18.%d.%d","prefix":"/443/","service":"alpha","type":"safe","timeout-ms":2500,"target-latency-ms":250,"priority":2},`,
			uint32(i)*2654435761>>4, i/250, i%250)
	}
	b.SetBytes(int64(raw.Len()))
	packed := 0
	for b.Loop() {
		s := configcopy.NewCopy(raw.Bytes())
		packed = len(s.Compressed())
	}
	b.ReportMetric(float64(packed)/float64(raw.Len()), "ratio")
}

// BenchmarkSendBeacon measures a beacon of a balancer that knows 230 targets: its cost must not grow
// with their number.
func BenchmarkSendBeacon(b *testing.B) {
	f := newFixture()
	for i := range flow.IPv4(230) {
		f.announce(targetC+i, fleet.Ready)
	}
	b.ReportAllocs()
	for b.Loop() {
		f.port.Nodes = f.port.Nodes[:0]
		f.sendBeacon(f.now, peer, fleet.Beacon{})
	}
}
