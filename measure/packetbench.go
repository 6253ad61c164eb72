package measure

import (
	"context"
	"fmt"
	"io"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/poppywall/poppywall/balancer/packetfront"
	fleetnet "github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/platform"
	"github.com/poppywall/poppywall/platform/platformtest"
	"github.com/poppywall/poppywall/relay"
	"github.com/poppywall/poppywall/settings"
	"github.com/poppywall/poppywall/standin"
	"github.com/poppywall/poppywall/worker"
)

// Addresses of the packet front's measurement.
const (
	packetBalancer = "127.0.60.1"
	packetAgent    = "127.0.60.2"
	packetData     = 22021
	packetInternal = 22022
	packetReady    = 22023
	packetMetrics  = 22024
)

// benchFront is the address of the measured service.
var benchFront = flow.Front{IP: 0xc6120001, Port: 443}

// PrintPackets compares the packet rate of the packet front with that of a bare
// relay that makes the same socket calls. Rounds of the two alternate within one
// run.
func PrintPackets(w io.Writer) error {
	agent, err := newPacketSink()
	if err != nil {
		return err
	}
	defer agent.stop()
	stop, err := startPacketFront(agent)
	if err != nil {
		return err
	}
	defer stop()
	bare, err := startBareForwarder(agent.socket.Addr())
	if err != nil {
		return err
	}
	defer bare.stop()
	data := addrPort(packetBalancer, packetData)
	payload := benchPacket(false)
	sums := [2]float64{}
	for range relayRounds {
		sums[0] += measureRate(&agent.count, bare.socket.Addr(), payload)
		sums[1] += measureRate(&agent.count, data, payload)
	}
	_, err = fmt.Fprintf(w, "bare relay %.0f packets/s, packet front %.0f packets/s, ratio %.2f (%d bytes, an open flow, one call for each datagram, %d rounds in turns)\n",
		sums[0]/relayRounds, sums[1]/relayRounds, sums[1]/sums[0], len(payload), relayRounds)
	return err
}

func addrPort(ip string, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr(ip), port)
}

// benchPacket returns a client's SYN or a packet of its open flow with the largest
// payload.
func benchPacket(syn bool) []byte {
	key := flow.Key{ClientIP: 0x64400001, ClientPort: 1024, FrontIP: benchFront.IP, FrontPort: benchFront.Port}
	if syn {
		return platformtest.FromClient(key, flow.SYN, 1, 0, nil)
	}
	return platformtest.FromClient(key, flow.ACK, 2, 2, make([]byte, platform.MaxPayload))
}

// packetSink takes the place of an agent and counts the packets delivered to it.
type packetSink struct {
	socket *relay.DatagramSocket
	count  atomic.Int64
	stop   func()
}

func newPacketSink() (*packetSink, error) {
	socket, err := relay.OpenDatagramSocket(addrPort(packetAgent, packetInternal))
	if err != nil {
		return nil, err
	}
	s := &packetSink{socket: socket}
	s.stop = serveDatagrams(socket, func(_ netip.AddrPort, b []byte) {
		if len(b) > platform.MaxPayload {
			s.count.Add(1)
		}
	})
	return s, nil
}

func serveDatagrams(socket *relay.DatagramSocket, handle func(netip.AddrPort, []byte)) (stop func()) {
	return worker.Start(func(ctx context.Context) error { return socket.Serve(ctx, handle) })
}

// startPacketFront starts a balancer with the sink as its only target and opens the
// measured flow.
func startPacketFront(agent *packetSink) (stop func(), err error) {
	store := standin.NewStore(time.Now)
	server := httptest.NewServer(platformtest.NewStoreHandler(store))
	config := &flow.Config{Version: 1, IdleTimeout: time.Minute, Routes: map[flow.Front]*flow.Route{
		benchFront: {Name: "bench", Services: []flow.WeightedService{{Name: "bench"}}},
	}}
	if err := platformtest.PutConfig(store, config); err != nil {
		return nil, err
	}
	cfg := packetfront.Defaults()
	cfg.Name, cfg.Zone, cfg.Store, cfg.LeaveDelay = "b", "z1", server.Listener.Addr().String(), settings.Duration(0)
	cfg.Data, cfg.Internal, cfg.Ready = addrPort(packetBalancer, packetData).String(), addrPort(packetBalancer, packetInternal).String(), addrPort(packetBalancer, packetReady).String()
	f, err := packetfront.NewFront(cfg, zap.NewNop())
	if err != nil {
		return nil, err
	}
	stopFront := worker.Start(f.Run)
	stopAgent := worker.Start(func(ctx context.Context) error { return announce(ctx, agent.socket) })
	stop = func() {
		stopAgent()
		stopFront()
		server.Close()
	}
	if err := waitUntil(func() bool { return f.Ready() && f.TargetCount() > 0 }); err != nil {
		stop()
		return nil, err
	}
	return stop, agent.socket.Send(addrPort(packetBalancer, packetData), nil, benchPacket(true))
}

// announce sends the announcements of a ready target for the sink until ctx ends.
func announce(ctx context.Context, socket *relay.DatagramSocket) error {
	a := fleetnet.Announcement{Service: flow.ServiceIDOf("bench"), Zone: flow.TagOf("z1"), State: fleetnet.Ready, Slots: 8}
	a.ProcessIncarnation = 1
	for ctx.Err() == nil {
		a.Seq++
		// The next announcement makes up for one that is lost.
		_ = socket.Send(addrPort(packetBalancer, packetInternal), nil, a.Append(nil))
		worker.Sleep(ctx, fleetnet.SameZonePeriod/4)
	}
	return nil
}

// startBareForwarder forwards every datagram unchanged, with the socket calls that
// the packet front makes.
func startBareForwarder(to netip.AddrPort) (*packetSink, error) {
	in, err := relay.OpenDatagramSocket(netip.MustParseAddrPort(loopbackAny))
	if err != nil {
		return nil, err
	}
	s := &packetSink{socket: in}
	s.stop = serveDatagrams(in, func(_ netip.AddrPort, b []byte) { _ = in.Send(to, nil, b) })
	return s, nil
}
