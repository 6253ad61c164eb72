package packetfront

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
)

// discard sends nothing.
type discard struct{}

func (discard) ToNode(flow.IPv4, []byte, []byte) {}
func (discard) Reset(flow.Key, uint32)           {}

// benchCore is a balancer before a service of 40 hosts.
func benchCore(b *testing.B) *fixture {
	f := newFixture()
	for i := range flow.IPv4(38) {
		f.announce(0x0a020000+i, fleet.Ready)
	}
	f.Core.port = discard{}
	b.ReportAllocs()
	return f
}

// BenchmarkForward is a packet of a flow that is remembered.
func BenchmarkForward(b *testing.B) {
	f := benchCore(b)
	f.client(packet(true, 0))
	p := packet(false, 9)
	h, err := f.codec.Decode(p)
	require.NoError(b, err)
	for b.Loop() {
		f.HandleClient(f.now, &h, p)
	}
}

// BenchmarkOpen is a SYN: the choice among 40 hosts.
func BenchmarkOpen(b *testing.B) {
	f := benchCore(b)
	p := packet(true, 0)
	h, err := f.codec.Decode(p)
	require.NoError(b, err)
	for b.Loop() {
		f.HandleClient(f.now, &h, p)
	}
}

// BenchmarkSearch is the first packet of an unknown flow.
func BenchmarkSearch(b *testing.B) {
	f := benchCore(b)
	p := packet(false, 9)
	h, err := f.codec.Decode(p)
	require.NoError(b, err)
	for b.Loop() {
		f.HandleClient(f.now, &h, p)
		f.limbo.drop(key)
	}
}
