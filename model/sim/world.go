package sim

import (
	"maps"
	"slices"
	"time"

	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/flow/envelope"
)

// HeartbeatPeriod is how often targets report to their agents.
const HeartbeatPeriod = 1200 * time.Millisecond

// firstIP is the first node's address.
const firstIP flow.IPv4 = 0x0a000001

// Traffic is how many datagrams were sent, and the bytes in them.
type Traffic struct{ Datagrams, Bytes int }

// World is a simulated deployment: balancers, agents and what connects them.
type World struct {
	Loop

	Balancers map[flow.IPv4]*Balancer
	Agents    map[flow.IPv4]*Agent
	Config    *flow.Config
	// Evacuations are the emptied zones as the operator's store has them.
	Evacuations flow.Evacuations
	Seeds       []flow.IPv4
	// RelayFrom is the option of that name of all nodes, zero for the product's.
	RelayFrom int

	// Loss and Double are chances for each datagram, Late adds up to its span.
	Loss, Double float64
	Late         time.Duration
	// Delay is how long a datagram travels between two nodes.
	Delay func(from, to flow.IPv4) time.Duration
	// Cut tells whether datagrams between two nodes are lost.
	Cut func(from, to flow.IPv4) bool
	// Drop tells whether datagrams of a kind that a node sends are lost.
	Drop func(from flow.IPv4, kind envelope.Kind) bool
	// Sent and Heard, where set, are told of each datagram between nodes: when it is sent,
	// its head, and when it arrives.
	Sent  func(from flow.IPv4, head []byte)
	Heard func(from, to flow.IPv4, kind envelope.Kind, datagram []byte)
	// Announcing disturbs what agents announce: whether a message is lost, else how much
	// later it comes.
	Announcing func() (lost bool, late time.Duration)
	// Client takes a packet at a client.
	Client func(ip flow.IPv4, packet []byte)

	// PassedOn hears of each packet that an agent does not take.
	PassedOn func(key flow.Key)

	// Registry is the store's list of agents; StoreBack is when the store takes
	// entries again.
	Registry  map[flow.IPv4]fleet.Entry
	StoreBack time.Time
	// StruckAlive counts agents that were struck off the registry while they ran.
	StruckAlive int
	// Messages counts the datagrams between nodes.
	Messages int
	// Across counts the datagrams between nodes of two zones, by kind.
	Across map[envelope.Kind]Traffic

	// Calls counts the calls at the store, Asked the readings that a balancer was asked for.
	Calls map[Call]int
	Asked map[flow.IPv4]int

	lastIP flow.IPv4
}

// defaultDelay is how long a datagram travels.
const defaultDelay = 300 * time.Microsecond

// NewWorld returns a world without nodes.
func NewWorld(seed uint64) *World {
	return &World{
		Loop:      NewLoop(seed),
		Balancers: map[flow.IPv4]*Balancer{}, Agents: map[flow.IPv4]*Agent{}, Registry: map[flow.IPv4]fleet.Entry{},
		Across: map[envelope.Kind]Traffic{},
		Calls:  map[Call]int{}, Asked: map[flow.IPv4]int{},
		lastIP:     firstIP - 1,
		Delay:      func(_, _ flow.IPv4) time.Duration { return defaultDelay },
		Cut:        func(_, _ flow.IPv4) bool { return false },
		Announcing: func() (bool, time.Duration) { return false, 0 },
		Client:     func(flow.IPv4, []byte) {},
		PassedOn:   func(flow.Key) {},
	}
}

// Send moves a datagram through the network.
func (w *World) Send(delay time.Duration, deliver func([]byte), parts ...[]byte) {
	size := 0
	for _, p := range parts {
		size += len(p)
	}
	data := make([]byte, 0, size)
	for _, p := range parts {
		data = append(data, p...)
	}
	copies := 1
	if w.Double > 0 && w.Rnd.Float64() < w.Double {
		copies = 2
	}
	for i := range copies {
		if w.Loss > 0 && w.Rnd.Float64() < w.Loss {
			continue
		}
		own := data
		if i > 0 {
			own = append([]byte(nil), data...)
		}
		w.After(delay+w.Jitter(w.Late+1), func() { deliver(own) })
	}
}

// toNode sends a datagram between nodes.
func (w *World) toNode(from, to flow.IPv4, head, packet []byte) {
	kind, _ := envelope.KindOf(head)
	w.count(kind, from, to, len(head)+len(packet))
	if w.Sent != nil {
		w.Sent(from, head)
	}
	if w.Cut(from, to) || (w.Drop != nil && w.Drop(from, kind)) {
		return
	}
	delay := w.Delay(from, to)
	if kind == envelope.Announce {
		lost, late := w.Announcing()
		if lost {
			return
		}
		delay += late
	}
	w.Send(delay, func(data []byte) {
		if w.Heard != nil {
			w.Heard(from, to, kind, data)
		}
		if b, ok := w.Balancers[to]; ok && b.Up {
			b.Core.HandleNode(w.Now, from, data)
		}
		if a, ok := w.Agents[to]; ok && a.Up {
			a.Core.HandleNode(w.Now, from, data)
		}
	}, head, packet)
}

// count notes a datagram between nodes.
func (w *World) count(kind envelope.Kind, from, to flow.IPv4, bytes int) {
	w.Messages++
	if w.zoneOf(from) == w.zoneOf(to) {
		return
	}
	t := w.Across[kind]
	t.Datagrams++
	t.Bytes += bytes
	w.Across[kind] = t
}

func (w *World) zoneOf(ip flow.IPv4) string {
	if b, ok := w.Balancers[ip]; ok {
		return b.Zone
	}
	if a, ok := w.Agents[ip]; ok {
		return a.Zone
	}
	return ""
}

// toClient sends a packet to a client.
func (w *World) toClient(ip flow.IPv4, packet []byte) {
	w.Send(defaultDelay, func(data []byte) { w.Client(ip, data) }, packet)
}

// Empty empties a zone or takes it back by a write at the store, and tells whether the
// store took it and that changed anything.
func (w *World) Empty(zone string, empty bool) bool {
	if w.Now.Before(w.StoreBack) || w.Evacuations.Has(flow.TagOf(zone)) == empty {
		return false
	}
	zones := slices.DeleteFunc(slices.Clone(w.Evacuations.Zones()), func(z string) bool { return z == zone })
	if empty {
		zones = append(zones, zone)
	}
	w.Evacuations, _ = flow.NewEvacuations(w.Evacuations.Revision+1, zones)
	return true
}

// nextIP draws an address for a node.
func (w *World) nextIP() flow.IPv4 {
	w.lastIP++
	return w.lastIP
}

// BalancerIPs returns the balancers' addresses in order.
func (w *World) BalancerIPs() []flow.IPv4 { return inOrder(w, w.Balancers) }

// AgentIPs returns the agents' addresses in order.
func (w *World) AgentIPs() []flow.IPv4 { return inOrder(w, w.Agents) }

func inOrder[N any](w *World, nodes map[flow.IPv4]N) []flow.IPv4 {
	var out []flow.IPv4
	for ip := firstIP; ip <= w.lastIP; ip++ {
		if _, ok := nodes[ip]; ok {
			out = append(out, ip)
		}
	}
	return out
}

// registered returns the agents that the store has, in an order that repeats.
func (w *World) registered() []fleet.Entry {
	var out []fleet.Entry
	for _, ip := range slices.Sorted(maps.Keys(w.Registry)) {
		out = append(out, w.Registry[ip])
	}
	return out
}
