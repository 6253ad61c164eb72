package forward

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/poppywall/poppywall/choose"
	"github.com/poppywall/poppywall/relay/encap"
	"github.com/poppywall/poppywall/route"
)

var (
	t0      = time.Unix(1_700_000_000, 0)
	secrets = []route.Secret{
		{Number: 1, Bytes: []byte("first secret of the tests")},
		{Number: 2, Bytes: []byte("second secret of the tests")},
	}
	otherClusterSecrets = []route.Secret{{Number: 1, Bytes: []byte("a secret of another cluster")}}
	caller              = netip.MustParseAddrPort("192.0.2.1:5000")
)

const services = 3

func serviceAddr(id int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("198.51.100.%d:443", id))
}

func hostAddr(i int) netip.AddrPort { return netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:4000", i)) }

func newTable(t require.TestingT, list []route.Secret) *Table {
	codec, err := route.NewCodec(list)
	require.NoError(t, err)
	tagger, err := encap.NewTagger(list)
	require.NoError(t, err)
	table := NewTable(codec, tagger, choose.Defaults(), "a")
	var specs []Spec
	for id := 1; id <= services; id++ {
		specs = append(specs, Spec{ID: route.ServiceID(id), Address: serviceAddr(id)})
	}
	table.SetServices(specs, 1, 0)
	return table
}

// shortHeaderPacket returns a 1-RTT packet with the connection ID.
func shortHeaderPacket(id [route.Len]byte) []byte {
	return append([]byte{0x41}, append(id[:], make([]byte, 30)...)...)
}

// initialPacket returns a client's Initial packet with a connection ID chosen by
// the client.
func initialPacket(id []byte) []byte {
	b := append([]byte{0xc3, 0, 0, 0, 1, byte(len(id))}, id...)
	return append(b, make([]byte, encap.MinInitialLen)...)
}

// agentModel is the test's oracle: the service and the incarnation of each host,
// and the flows whose routes were issued.
type agentModel struct {
	serves       map[int]int // service by host
	incarnations map[int]route.Incarnation
	flows        []flow
}

type flow struct {
	id          [route.Len]byte
	host        int
	service     int
	incarnation route.Incarnation
}

// TestFlowsReachTheirAgentThroughAnyBalancer replaces balancers and relabels and
// restarts hosts in random order, while packets arrive at random balancers whose
// host lists differ. A packet of a flow must always go to the host of its route
// and to no other, and must be dropped at another service's address. Guards
// points 1 (streams survive planned changes) and 2 (never another service) of
// docs/GUARANTEES.md.
func TestFlowsReachTheirAgentThroughAnyBalancer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := agentModel{serves: map[int]int{}, incarnations: map[int]route.Incarnation{}}
		codecs := map[int]*route.Codec{}
		for i, list := range [][]route.Secret{secrets, {secrets[1], secrets[0]}} {
			c, err := route.NewCodec(list)
			require.NoError(t, err)
			codecs[i] = c
		}
		balancers := []*Table{newTable(t, secrets), newTable(t, secrets), newTable(t, secrets)}
		nonce := uint32(0)
		drawHost := func(t *rapid.T) int { return rapid.IntRange(1, 4).Draw(t, "host") }
		balancer := func(t *rapid.T) *Table { return rapid.SampledFrom(balancers).Draw(t, "balancer") }
		t.Repeat(map[string]func(*rapid.T){
			"relabel or restart a host": func(t *rapid.T) {
				h := drawHost(t)
				model.serves[h] = rapid.IntRange(1, services).Draw(t, "service")
				model.incarnations[h]++
			},
			"one balancer receives a host list": func(t *rapid.T) {
				var hosts []choose.Host
				for h := 1; h <= 4; h++ {
					if rapid.Bool().Draw(t, "listed") {
						hosts = append(hosts, choose.Host{Addr: hostAddr(h), Zone: "a", Capacity: 1})
					}
				}
				balancer(t).SetHosts(t0, route.ServiceID(rapid.IntRange(1, services).Draw(t, "service")), hosts)
			},
			"replace a balancer": func(t *rapid.T) {
				list := rapid.SampledFrom([][]route.Secret{secrets, {secrets[1], secrets[0]}}).Draw(t, "secrets")
				balancers[rapid.IntRange(0, 2).Draw(t, "which")] = newTable(t, list)
			},
			"a flow begins": func(t *rapid.T) {
				h := drawHost(t)
				if model.serves[h] == 0 {
					return
				}
				nonce++
				f := flow{host: h, service: model.serves[h], incarnation: model.incarnations[h]}
				r := route.Route{Host: hostAddr(h), Incarnation: f.incarnation, Service: route.ServiceID(f.service), Nonce: nonce}
				require.NoError(t, codecs[rapid.IntRange(0, 1).Draw(t, "key")].Encode(r, &f.id))
				model.flows = append(model.flows, f)
			},
			"a packet of a flow": func(t *rapid.T) {
				if len(model.flows) == 0 {
					return
				}
				f := rapid.SampledFrom(model.flows).Draw(t, "flow")
				at := rapid.IntRange(1, services).Draw(t, "at")
				b := balancer(t)
				a := b.FromCaller(t0, b.Service(serviceAddr(at)), caller, shortHeaderPacket(f.id))
				if at != f.service {
					require.Equal(t, Action{Reason: WrongService}, a)
					return
				}
				require.Equal(t, ToHost, a.Operation)
				require.Equal(t, hostAddr(f.host), a.Peer)
				require.Equal(t, route.ServiceID(f.service), a.Header.ServiceID)
				require.Equal(t, serviceAddr(f.service), a.Header.Service)
			},
			"a forged packet": func(t *rapid.T) {
				if len(model.flows) == 0 {
					return
				}
				f := rapid.SampledFrom(model.flows).Draw(t, "flow")
				bit := rapid.IntRange(0, route.Len*8-1).Draw(t, "bit")
				f.id[bit/8] ^= 1 << (bit % 8)
				b := balancer(t)
				require.Equal(t, Action{Reason: NoRoute}, b.FromCaller(t0, b.Service(serviceAddr(f.service)), caller, shortHeaderPacket(f.id)))
			},
			"a new flow": func(t *rapid.T) {
				b, s := balancer(t), rapid.IntRange(1, services).Draw(t, "service")
				a := b.FromCaller(t0, b.Service(serviceAddr(s)), caller, initialPacket(rapid.SliceOfN(rapid.Byte(), 8, 20).Draw(t, "id")))
				if a.Operation == ToHost {
					require.True(t, a.NewFlow)
					require.Equal(t, route.ServiceID(s), a.Header.ServiceID)
					return
				}
				require.Equal(t, NoHost, a.Reason)
			},
		})
	})
}

// TestForgedInternalDatagramsDoNothing sends a balancer datagrams on its internal
// socket that were tagged with another cluster's secret, name a service that it
// does not have, or are of an unexpected kind. All must be dropped. Guards point
// 2 (never another service) of docs/GUARANTEES.md.
func TestForgedInternalDatagramsDoNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := newTable(t, secrets)
		list := rapid.SampledFrom([][]route.Secret{secrets, otherClusterSecrets}).Draw(t, "secrets")
		tagger, err := encap.NewTagger(list)
		require.NoError(t, err)
		h := encap.Header{
			Caller:    caller,
			Service:   serviceAddr(rapid.IntRange(1, services+1).Draw(t, "address")),
			Kind:      encap.Kind(rapid.IntRange(0, 5).Draw(t, "kind")),
			ServiceID: route.ServiceID(rapid.IntRange(1, services).Draw(t, "id")),
		}
		buf := append(make([]byte, encap.HeaderLen), []byte("payload")...)
		require.NoError(t, tagger.Encode(buf, h))
		a := table.FromAgent(t0, hostAddr(1), buf)
		genuine := list[0].Number == secrets[0].Number && string(list[0].Bytes) == string(secrets[0].Bytes)
		matches := h.Service == serviceAddr(int(h.ServiceID))
		if genuine && matches && h.Kind == encap.Return {
			require.Equal(t, ToCaller, a.Operation)
			require.Equal(t, caller, a.Peer)
			return
		}
		require.Equal(t, Drop, a.Operation)
	})
}

// A refused new flow is sent to another host, and dropped once it was refused
// MaxHops times.
func TestRefusedFlowGoesElsewhere(t *testing.T) {
	table := newTable(t, secrets)
	tagger, err := encap.NewTagger(secrets)
	require.NoError(t, err)
	table.SetHosts(t0, 1, []choose.Host{{Addr: hostAddr(1), Capacity: 1}, {Addr: hostAddr(2), Capacity: 1}})
	first := table.FromCaller(t0, table.Service(serviceAddr(1)), caller, initialPacket(make([]byte, 8)))
	require.Equal(t, ToHost, first.Operation)
	h := first.Header
	for hops := uint8(1); hops <= MaxHops; hops++ {
		h.Kind, h.Hops = encap.Refused, hops
		buf := append(make([]byte, encap.HeaderLen), first.Payload...)
		require.NoError(t, tagger.Encode(buf, h))
		retried := table.FromAgent(t0, first.Peer, buf)
		if hops == MaxHops {
			require.Equal(t, Action{Reason: TooManyHops}, retried)
			return
		}
		require.NotEqual(t, first.Peer, retried.Peer, "sent to the host that refused it")
		require.Equal(t, hops, retried.Header.Hops)
	}
}

// New flows over the rate limit, oversized datagrams and datagrams that are not
// QUIC packets are dropped.
func TestLimitsOfNewFlows(t *testing.T) {
	table := newTable(t, secrets)
	table.SetServices([]Spec{{ID: 9, Address: serviceAddr(9)}}, 1, 10)
	table.SetHosts(t0, 9, []choose.Host{{Addr: hostAddr(1), Capacity: 1}})
	s := table.Service(serviceAddr(9))
	forwarded := 0
	for range 100 {
		if table.FromCaller(t0, s, caller, initialPacket(make([]byte, 8))).Operation == ToHost {
			forwarded++
		}
	}
	require.Equal(t, 10, forwarded)
	require.Equal(t, Oversize, table.FromCaller(t0, s, caller, make([]byte, MaxDatagram+1)).Reason)
	require.Equal(t, NotQUIC, table.FromCaller(t0, s, caller, nil).Reason)
}

func FuzzFromCaller(f *testing.F) {
	table := newTable(f, secrets)
	table.SetHosts(t0, 1, []choose.Host{{Addr: hostAddr(1), Capacity: 1}})
	s := table.Service(serviceAddr(1))
	f.Add(initialPacket(make([]byte, 8)))
	f.Add([]byte{0x40, 1, 2})
	f.Fuzz(func(t *testing.T, b []byte) {
		a := table.FromCaller(t0, s, caller, b)
		if a.Operation == ToHost {
			require.Equal(t, hostAddr(1), a.Peer)
		}
		table.FromAgent(t0, hostAddr(1), b)
	})
}
