package sim

import (
	"maps"
	"slices"
	"time"

	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/flow/envelope"
)

// HeartbeatPeriod is the period of targets' reports to their agents.
const HeartbeatPeriod = 1200 * time.Millisecond

// firstIP is the first node's address.
const firstIP flow.IPv4 = 0x0a000001

// Traffic counts datagrams that were sent and the bytes in them.
type Traffic struct{ Datagrams, Bytes int }

// World is a simulated deployment: balancers, agents, the network between them and the store.
type World struct {
	Loop

	Balancers map[flow.IPv4]*Balancer
	Agents    map[flow.IPv4]*Agent
	Config    *flow.Config
	// Evacuations are the evacuated zones in the operator's store.
	Evacuations flow.Evacuations
	Seeds       []flow.IPv4
	// RelayThreshold is the option RelayThreshold of all nodes, zero for the product's default.
	RelayThreshold int

	// Loss and Duplication are the probabilities that a datagram is lost and that it is duplicated.
	// MaxExtraDelay is the maximum random delay that is added to Delay.
	Loss, Duplication float64
	MaxExtraDelay     time.Duration
	// Delay returns the one-way delay between two nodes.
	Delay func(from, to flow.IPv4) time.Duration
	// Cut reports whether all datagrams from one node to another are lost.
	Cut func(from, to flow.IPv4) bool
	// Drop, where set, reports whether datagrams of a kind that a node sends are lost.
	Drop func(from flow.IPv4, kind envelope.Kind) bool
	// OnSend and OnReceive, where set, are called for each datagram between nodes: OnSend with its
	// header when it is sent, also if it is then lost, OnReceive when it arrives.
	OnSend    func(from flow.IPv4, head []byte)
	OnReceive func(from, to flow.IPv4, kind envelope.Kind, datagram []byte)
	// DisturbAnnouncement is called for each announcement of an agent. It returns whether the
	// announcement is lost, and otherwise by how much it is delayed.
	DisturbAnnouncement func() (lost bool, extraDelay time.Duration)
	// Client is called with each packet that arrives at a client.
	Client func(ip flow.IPv4, packet []byte)

	// PassedOn is called each time an agent does not take a new flow.
	PassedOn func(key flow.Key)

	// Registry holds the agents' entries in the store. The store is unavailable until
	// StoreDownUntil.
	Registry       map[flow.IPv4]fleet.Entry
	StoreDownUntil time.Time
	// RemovedWhileAlive counts agents whose registry entry was removed while they ran.
	RemovedWhileAlive int
	// Datagrams counts the datagrams between nodes.
	Datagrams int
	// CrossZone counts the cross-zone datagrams between nodes, by kind.
	CrossZone map[envelope.Kind]Traffic

	// Calls counts the calls to the store, SnapshotRequests the snapshots that were requested
	// from each balancer.
	Calls            map[Call]int
	SnapshotRequests map[flow.IPv4]int

	lastIP flow.IPv4
}

// defaultDelay is the one-way delay between nodes unless Delay is replaced, and to clients.
const defaultDelay = 300 * time.Microsecond

// NewWorld returns a world without nodes.
func NewWorld(seed uint64) *World {
	return &World{
		Loop:      NewLoop(seed),
		Balancers: map[flow.IPv4]*Balancer{}, Agents: map[flow.IPv4]*Agent{}, Registry: map[flow.IPv4]fleet.Entry{},
		CrossZone: map[envelope.Kind]Traffic{},
		Calls:     map[Call]int{}, SnapshotRequests: map[flow.IPv4]int{},
		lastIP:              firstIP - 1,
		Delay:               func(_, _ flow.IPv4) time.Duration { return defaultDelay },
		Cut:                 func(_, _ flow.IPv4) bool { return false },
		DisturbAnnouncement: func() (bool, time.Duration) { return false, 0 },
		Client:              func(flow.IPv4, []byte) {},
		PassedOn:            func(flow.Key) {},
	}
}

// Send sends the datagram made of parts: it may be lost, duplicated or delayed as Loss,
// Duplication and MaxExtraDelay define.
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
	if w.Duplication > 0 && w.Rnd.Float64() < w.Duplication {
		copies = 2
	}
	for i := range copies {
		if w.Loss > 0 && w.Rnd.Float64() < w.Loss {
			continue
		}
		payload := data
		if i > 0 {
			payload = append([]byte(nil), data...)
		}
		w.After(delay+w.Jitter(w.MaxExtraDelay+1), func() { deliver(payload) })
	}
}

// sendToNode sends a datagram between nodes.
func (w *World) sendToNode(from, to flow.IPv4, head, packet []byte) {
	kind, _ := envelope.KindOf(head)
	w.countDatagram(kind, from, to, len(head)+len(packet))
	if w.OnSend != nil {
		w.OnSend(from, head)
	}
	if w.Cut(from, to) || (w.Drop != nil && w.Drop(from, kind)) {
		return
	}
	delay := w.Delay(from, to)
	if kind == envelope.Announce {
		lost, extraDelay := w.DisturbAnnouncement()
		if lost {
			return
		}
		delay += extraDelay
	}
	w.Send(delay, func(data []byte) {
		if w.OnReceive != nil {
			w.OnReceive(from, to, kind, data)
		}
		if b, ok := w.Balancers[to]; ok && b.Up {
			b.Core.HandleNode(w.Now, from, data)
		}
		if a, ok := w.Agents[to]; ok && a.Up {
			a.Core.HandleNode(w.Now, from, data)
		}
	}, head, packet)
}

// countDatagram counts a datagram between nodes.
func (w *World) countDatagram(kind envelope.Kind, from, to flow.IPv4, bytes int) {
	w.Datagrams++
	if w.zoneOf(from) == w.zoneOf(to) {
		return
	}
	t := w.CrossZone[kind]
	t.Datagrams++
	t.Bytes += bytes
	w.CrossZone[kind] = t
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

// sendToClient sends a packet to a client.
func (w *World) sendToClient(ip flow.IPv4, packet []byte) {
	w.Send(defaultDelay, func(data []byte) { w.Client(ip, data) }, packet)
}

// SetEvacuated evacuates a zone, or ends its evacuation, by a write to the store. It reports whether
// the store was available and the write changed anything.
func (w *World) SetEvacuated(zone string, evacuated bool) bool {
	if w.Now.Before(w.StoreDownUntil) || w.Evacuations.Has(flow.TagOf(zone)) == evacuated {
		return false
	}
	zones := slices.DeleteFunc(slices.Clone(w.Evacuations.Zones()), func(z string) bool { return z == zone })
	if evacuated {
		zones = append(zones, zone)
	}
	w.Evacuations, _ = flow.NewEvacuations(w.Evacuations.Revision+1, zones)
	return true
}

// allocateIP returns the next unused node address.
func (w *World) allocateIP() flow.IPv4 {
	w.lastIP++
	return w.lastIP
}

// BalancerIPs returns the balancers' addresses in order.
func (w *World) BalancerIPs() []flow.IPv4 { return sortedAddresses(w, w.Balancers) }

// AgentIPs returns the agents' addresses in order.
func (w *World) AgentIPs() []flow.IPv4 { return sortedAddresses(w, w.Agents) }

func sortedAddresses[N any](w *World, nodes map[flow.IPv4]N) []flow.IPv4 {
	var out []flow.IPv4
	for ip := firstIP; ip <= w.lastIP; ip++ {
		if _, ok := nodes[ip]; ok {
			out = append(out, ip)
		}
	}
	return out
}

// registered returns the registry's entries in the order of their addresses.
func (w *World) registered() []fleet.Entry {
	var out []fleet.Entry
	for _, ip := range slices.Sorted(maps.Keys(w.Registry)) {
		out = append(out, w.Registry[ip])
	}
	return out
}
