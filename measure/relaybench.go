package measure

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/poppywall/poppywall/catalog"
	"github.com/poppywall/poppywall/change"
	"github.com/poppywall/poppywall/relay"
	"github.com/poppywall/poppywall/route"
	"github.com/poppywall/poppywall/settings"
	"github.com/poppywall/poppywall/standin"
	"github.com/poppywall/poppywall/trial"
)

const (
	relayRunLength = 3 * time.Second
	relayRounds    = 3
	relaySenders   = 3
	relayPayload   = 1200
)

// PrintRelay compares the datagram rate of a balancer with that of a bare relay
// that uses the same batch I/O. Rounds of the two alternate within one run. The
// senders offer more than either can forward.
func PrintRelay(w io.Writer) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	sink, err := newSink()
	if err != nil {
		return err
	}
	defer sink.close()
	service, payload, stop, err := startRelayBalancer(ctx, sink.socket.Addr())
	if err != nil {
		return err
	}
	defer stop()
	bare, err := startBareRelay(sink.socket.Addr())
	if err != nil {
		return err
	}
	defer func() { _ = bare.Close() }()
	sums := [2]float64{}
	for range relayRounds {
		sums[0] += measureRate(&sink.count, bare.Addr(), payload)
		sums[1] += measureRate(&sink.count, service, payload)
	}
	_, err = fmt.Fprintf(w, "bare relay %.0f datagrams/s, balancer %.0f datagrams/s, ratio %.2f (%d bytes, one worker each, %d rounds in turns)\n",
		sums[0]/relayRounds, sums[1]/relayRounds, sums[1]/sums[0], relayPayload, relayRounds)
	return err
}

// sink counts the datagrams that arrive.
type sink struct {
	socket *relay.Socket
	count  atomic.Int64
}

func newSink() (*sink, error) {
	socket, err := relay.Listen(netip.MustParseAddrPort(loopbackAny), relay.Spray{})
	if err != nil {
		return nil, err
	}
	s := &sink{socket: socket}
	go func() {
		batch := relay.NewBatch()
		for {
			in, err := socket.Read(batch)
			if err != nil {
				return
			}
			s.count.Add(int64(len(in)))
		}
	}()
	return s, nil
}

const loopbackAny = "127.0.0.1:0"

func (s *sink) close() { _ = s.socket.Close() }

// measureRate sends datagrams to an address as fast as possible and returns how
// many per second are added to arrived.
func measureRate(arrived *atomic.Int64, to netip.AddrPort, payload []byte) float64 {
	ctx, cancel := context.WithTimeout(context.Background(), relayRunLength)
	defer cancel()
	for range relaySenders {
		go sendContinuously(ctx, to, payload)
	}
	time.Sleep(relayRunLength / 6)
	before, start := arrived.Load(), time.Now()
	<-ctx.Done()
	perSecond := float64(arrived.Load()-before) / time.Since(start).Seconds()
	time.Sleep(relayRunLength / 6)
	return perSecond
}

func sendContinuously(ctx context.Context, to netip.AddrPort, payload []byte) {
	socket, err := relay.Listen(netip.MustParseAddrPort(loopbackAny), relay.Spray{})
	if err != nil {
		return
	}
	defer func() { _ = socket.Close() }()
	batch := relay.NewBatch()
	for ctx.Err() == nil {
		for range relay.BatchSize {
			batch.Queue(socket, to, payload)
		}
		batch.Flush()
	}
}

// startRelayBalancer starts a real balancer with one service. It returns the
// service's address and a datagram that the balancer forwards to host.
func startRelayBalancer(ctx context.Context, host netip.AddrPort) (netip.AddrPort, []byte, func(), error) {
	c, err := trial.StartBalancers(ctx, trial.Site{Zones: []string{"a"}, Balancers: 1}, zap.NewNop(), settings.Duration(time.Second))
	if err != nil {
		return netip.AddrPort{}, nil, nil, err
	}
	address, err := standin.FreeAddress()
	if err != nil {
		return netip.AddrPort{}, nil, nil, err
	}
	res := c.Applier().Apply(ctx, change.Document{Items: []change.Item{{Service: &catalog.Service{
		Name: "bench", Address: address.String(), Selector: catalog.Labels{"service": "bench"},
	}}}})
	if res.Outcome != change.Accepted {
		return netip.AddrPort{}, nil, nil, errors.New(res.Reason)
	}
	if err := waitUntil(func() bool { return c.Nodes[0].Balancer.Revision() >= res.Revision }); err != nil {
		return netip.AddrPort{}, nil, nil, err
	}
	payload, err := routedDatagram(c.Secrets, host)
	return address, payload, c.Close, err
}

func routedDatagram(list []settings.Secret, host netip.AddrPort) ([]byte, error) {
	secrets, err := settings.Secrets(list)
	if err != nil {
		return nil, err
	}
	codec, err := route.NewCodec(secrets)
	if err != nil {
		return nil, err
	}
	var id [route.Len]byte
	if err := codec.Encode(route.Route{Host: host, Service: 1}, &id); err != nil {
		return nil, err
	}
	return append([]byte{0x41}, append(id[:], make([]byte, relayPayload-1-route.Len)...)...), nil
}

// startBareRelay forwards every datagram unchanged, with the batch I/O of a
// balancer and without its decisions.
func startBareRelay(to netip.AddrPort) (*relay.Socket, error) {
	in, err := relay.Listen(netip.MustParseAddrPort(loopbackAny), relay.Spray{})
	if err != nil {
		return nil, err
	}
	out, err := relay.Listen(netip.MustParseAddrPort(loopbackAny), relay.Spray{})
	if err != nil {
		return nil, err
	}
	go func() {
		defer func() { _ = out.Close() }()
		batch := relay.NewBatch()
		for in.Wait() == nil {
			got, err := in.Read(batch)
			if err != nil {
				return
			}
			for i := range got {
				batch.Queue(out, to, got[i].Payload)
			}
			batch.Flush()
		}
	}()
	return in, nil
}
