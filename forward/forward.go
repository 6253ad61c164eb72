// Package forward makes a balancer's forwarding decision for each datagram.
//
// A datagram with a valid route is sent to the host of its route, even if this
// balancer has no entry for that host. A host is selected only for new flows.
// The package is pure: it does no I/O, and takes the time and the random seed as
// arguments. Package relay provides the sockets.
package forward

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/poppywall/poppywall/choose"
	"github.com/poppywall/poppywall/relay/encap"
	"github.com/poppywall/poppywall/route"
)

// Operation is what to do with a datagram.
type Operation uint8

const (
	// Drop discards the datagram for the action's Reason.
	Drop Operation = iota
	// ToHost sends Header and the payload to Peer, an agent.
	ToHost
	// ToCaller sends the payload without a header to Peer, a caller, from the
	// service address.
	ToCaller
)

// Reason is why a datagram was dropped. It is a label value of the counter of
// dropped datagrams.
type Reason string

// Drop reasons.
const (
	NotQUIC        Reason = "not_quic"        // not a QUIC packet
	NoRoute        Reason = "no_route"        // neither a valid route nor an Initial
	WrongService   Reason = "wrong_service"   // sent to the address of another service
	NoHost         Reason = "no_host"         // no host is available for the new flow
	UnknownService Reason = "unknown_service" // no service at the address
	BadHeader      Reason = "bad_header"      // malformed encapsulation header or invalid tag
	BadKind        Reason = "bad_kind"        // a kind that agents do not send to balancers
	TooManyHops    Reason = "too_many_hops"   // refused MaxHops times
	Oversize       Reason = "oversize"        // larger than MaxDatagram
	OverRate       Reason = "over_rate"       // over the limit on new flows
)

// Reasons lists all drop reasons, so that each counter can be registered at
// startup.
var Reasons = []Reason{
	NotQUIC, NoRoute, WrongService, NoHost, UnknownService, BadHeader, BadKind, TooManyHops, Oversize, OverRate,
}

// Action is the decision for one datagram.
type Action struct {
	Operation Operation
	Reason    Reason
	Peer      netip.AddrPort
	// Header precedes the payload if Operation is ToHost.
	Header encap.Header
	// NewFlow reports whether the host was selected for a new flow rather than
	// decoded from a route.
	NewFlow bool
	// Payload is the part of the input to send. It aliases the input.
	Payload []byte
}

// MaxHops is the number of refusals by agents after which a new flow is dropped.
const MaxHops = 4

// MaxDatagram is the size in bytes of the largest caller datagram that is
// forwarded. With IP, UDP and encapsulation headers it fits the Ethernet MTU of
// 1500 bytes.
const MaxDatagram = 1472 - encap.HeaderLen

// Service is the forwarding state of one service.
type Service struct {
	ID      route.ServiceID
	Address netip.AddrPort

	// mu guards hosts and rng. It is a leaf lock: no other lock is taken while
	// it is held.
	mu    sync.Mutex
	hosts *choose.Set
	rng   *rand.Rand
	// newFlowLimit enforces the operator's limit on the rate of new flows.
	newFlowLimit TokenBucket
}

// Table is a balancer's forwarding table: its services and their candidate
// hosts. Looking up a service takes no lock.
type Table struct {
	codec  *route.Codec
	tagger *encap.Tagger
	opts   choose.Options
	zone   string

	// mu serialises updates of the set of services.
	mu    sync.Mutex
	index atomic.Pointer[index]
}

// index finds a service by address or ID. It is immutable: an update of the
// services replaces it as a whole.
type index struct {
	byAddress map[netip.AddrPort]*Service
	byID      map[route.ServiceID]*Service
}

func newIndex(n int) *index {
	return &index{make(map[netip.AddrPort]*Service, n), make(map[route.ServiceID]*Service, n)}
}

// NewTable returns a table without services.
func NewTable(codec *route.Codec, tagger *encap.Tagger, opts choose.Options, zone string) *Table {
	t := &Table{codec: codec, tagger: tagger, opts: opts, zone: zone}
	t.index.Store(newIndex(0))
	return t
}

// Spec identifies a service to serve.
type Spec struct {
	ID      route.ServiceID
	Address netip.AddrPort
}

// SetServices replaces the set of services. A service whose ID and address are
// unchanged keeps its state, including its limit on new flows.
func (t *Table) SetServices(specs []Spec, seed uint64, newFlowsPerSecond float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.index.Load()
	next := newIndex(len(specs))
	for _, spec := range specs {
		s, ok := old.byAddress[spec.Address]
		if !ok || s.ID != spec.ID {
			s = t.newService(spec, seed, newFlowsPerSecond)
		}
		next.byAddress[spec.Address] = s
		next.byID[spec.ID] = s
	}
	t.index.Store(next)
}

func (t *Table) newService(spec Spec, seed uint64, newFlowsPerSecond float64) *Service {
	return &Service{
		ID:           spec.ID,
		Address:      spec.Address,
		hosts:        choose.NewSet(t.opts, t.zone),
		rng:          rand.New(rand.NewPCG(seed, uint64(spec.ID))),
		newFlowLimit: NewTokenBucket(newFlowsPerSecond),
	}
}

// Service returns the service at an address, or nil if there is none.
func (t *Table) Service(address netip.AddrPort) *Service { return t.index.Load().byAddress[address] }

// SetHosts replaces the candidate hosts of a service. An unknown service is
// ignored.
func (t *Table) SetHosts(now time.Time, id route.ServiceID, hosts []choose.Host) {
	s, ok := t.index.Load().byID[id]
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts.Replace(now, hosts)
}

// FromCaller decides what to do with a datagram that a caller sent to the
// service.
func (t *Table) FromCaller(now time.Time, s *Service, caller netip.AddrPort, payload []byte) Action {
	if len(payload) > MaxDatagram {
		return Action{Reason: Oversize}
	}
	p, ok := encap.ParsePacket(payload, route.Len)
	if !ok {
		return Action{Reason: NotQUIC}
	}
	r, err := t.codec.Decode(p.ID)
	if err == nil {
		return t.forwardByRoute(s, caller, r, payload)
	}
	if !p.Initial {
		return Action{Reason: NoRoute}
	}
	return s.forwardNewFlow(now, caller, 0, payload)
}

// forwardByRoute sends a datagram of an established flow to the host of its
// route, provided that the flow belongs to the service.
func (t *Table) forwardByRoute(s *Service, caller netip.AddrPort, r route.Route, payload []byte) Action {
	if r.Service != s.ID {
		return Action{Reason: WrongService}
	}
	return Action{Operation: ToHost, Peer: r.Host, Header: s.forwardHeader(caller, 0), Payload: payload}
}

func (s *Service) forwardHeader(caller netip.AddrPort, hops uint8) encap.Header {
	return encap.Header{
		Caller:    caller,
		Service:   s.Address,
		Kind:      encap.Forward,
		Hops:      hops,
		ServiceID: s.ID,
	}
}

// forwardNewFlow selects a host for a new flow within the limit on new flows.
func (s *Service) forwardNewFlow(now time.Time, caller netip.AddrPort, hops uint8, payload []byte) Action {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.newFlowLimit.Allow(now) {
		return Action{Reason: OverRate}
	}
	host, ok := s.hosts.Pick(now, s.rng)
	if !ok {
		return Action{Reason: NoHost}
	}
	return Action{
		Operation: ToHost,
		Peer:      host,
		Header:    s.forwardHeader(caller, hops),
		NewFlow:   true,
		Payload:   payload,
	}
}

// FromAgent decides what to do with a datagram received on the internal socket.
func (t *Table) FromAgent(now time.Time, from netip.AddrPort, datagram []byte) Action {
	h, payload, err := t.tagger.Decode(datagram)
	if err != nil {
		return Action{Reason: BadHeader}
	}
	s := t.Service(h.Service)
	if s == nil {
		return Action{Reason: UnknownService}
	}
	if s.ID != h.ServiceID {
		return Action{Reason: WrongService}
	}
	switch h.Kind {
	case encap.Return:
		s.recordLoad(now, from, h)
		return Action{Operation: ToCaller, Peer: h.Caller, Header: h, Payload: payload}
	case encap.Refused:
		return s.reassignRefusedFlow(now, from, h, payload)
	default:
		return Action{Reason: BadKind}
	}
}

// recordLoad applies the load report that a host sent with a returned datagram.
func (s *Service) recordLoad(now time.Time, from netip.AddrPort, h encap.Header) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts.Observe(now, from, choose.HostLoad{Open: int(h.Open), Busy: int(h.Busy)})
}

// reassignRefusedFlow selects another host for a new flow that a host refused.
func (s *Service) reassignRefusedFlow(now time.Time, from netip.AddrPort, h encap.Header, payload []byte) Action {
	s.mu.Lock()
	s.hosts.Refuse(now, from)
	s.mu.Unlock()
	if h.Hops >= MaxHops {
		return Action{Reason: TooManyHops}
	}
	return s.forwardNewFlow(now, h.Caller, h.Hops, payload)
}
