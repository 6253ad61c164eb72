// Package forward decides what a balancer does with one datagram.
//
// A datagram with a valid route goes where the route says, whatever this
// balancer knows of hosts; only a new flow is chosen. The package is pure: it
// does no I/O, and time and randomness are arguments. The sockets around it
// are in package relay.
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

// Verb tells what to do with a datagram.
type Verb uint8

const (
	// Drop discards the datagram; Reason says why.
	Drop Verb = iota
	// ToHost sends the payload with Header to Peer, an agent.
	ToHost
	// ToCaller sends the bare payload to Peer, a caller, from the service.
	ToCaller
)

// Reason is why a datagram was dropped; it labels a counter.
type Reason string

// The reasons of a drop.
const (
	NotQUIC        Reason = "not_quic"
	NoRoute        Reason = "no_route"
	WrongService   Reason = "wrong_service"
	NoHost         Reason = "no_host"
	UnknownService Reason = "unknown_service"
	BadHeader      Reason = "bad_header"
	BadKind        Reason = "bad_kind"
	TooManyHops    Reason = "too_many_hops"
	Oversize       Reason = "oversize"
	OverRate       Reason = "over_rate"
)

// Reasons lists all reasons, so that each counter exists from the start.
var Reasons = []Reason{
	NotQUIC, NoRoute, WrongService, NoHost, UnknownService, BadHeader, BadKind, TooManyHops, Oversize, OverRate,
}

// Action is a decision on one datagram.
type Action struct {
	Verb   Verb
	Reason Reason
	Peer   netip.AddrPort
	// Header goes in front of the payload when Verb is ToHost.
	Header encap.Header
	// NewFlow tells that the host was chosen, not read from a route.
	NewFlow bool
	// Payload is the part of the input to send; it aliases the input.
	Payload []byte
}

// MaxHops bounds how many agents may hand one new flow back.
const MaxHops = 4

// MaxDatagram is the largest caller datagram forwarded: with the header it
// still fits an Ethernet frame of 1500 bytes.
const MaxDatagram = 1472 - encap.HeaderLen

// Service is one service's forwarding state.
type Service struct {
	ID      route.ServiceID
	Address netip.AddrPort

	// mu guards set and rnd. It is a leaf lock: nothing is locked under it.
	mu  sync.Mutex
	set *choose.Set
	rnd *rand.Rand
	// limit holds new flows to the operator's bound.
	limit Bucket
}

// Table is what a balancer knows of services; lookups take no lock.
type Table struct {
	codec  *route.Codec
	tagger *encap.Tagger
	opts   choose.Options
	zone   string

	// mu serialises changes of services.
	mu    sync.Mutex
	index atomic.Pointer[index]
}

// index is replaced whole on a change.
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

// Spec describes a service to serve.
type Spec struct {
	ID      route.ServiceID
	Address netip.AddrPort
}

// SetServices replaces the set of services. A service whose ID and address stay
// keeps its state.
func (t *Table) SetServices(specs []Spec, seed uint64, newFlowsPerSecond float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.index.Load()
	next := newIndex(len(specs))
	for _, sp := range specs {
		s, ok := old.byAddress[sp.Address]
		if !ok || s.ID != sp.ID {
			s = t.newService(sp, seed, newFlowsPerSecond)
		}
		next.byAddress[sp.Address] = s
		next.byID[sp.ID] = s
	}
	t.index.Store(next)
}

func (t *Table) newService(sp Spec, seed uint64, newFlowsPerSecond float64) *Service {
	return &Service{
		ID:      sp.ID,
		Address: sp.Address,
		set:     choose.NewSet(t.opts, t.zone),
		rnd:     rand.New(rand.NewPCG(seed, uint64(sp.ID))),
		limit:   NewBucket(newFlowsPerSecond),
	}
}

// Service returns the service at an address, nil when there is none.
func (t *Table) Service(address netip.AddrPort) *Service { return t.index.Load().byAddress[address] }

// SetHosts replaces the candidates of a service.
func (t *Table) SetHosts(now time.Time, id route.ServiceID, hosts []choose.Host) {
	s, ok := t.index.Load().byID[id]
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set.Replace(now, hosts)
}

// FromCaller decides on a datagram that a caller sent to the service.
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
		return t.routed(s, caller, r, payload)
	}
	if !p.Initial {
		return Action{Reason: NoRoute}
	}
	return s.choose(now, caller, 0, payload)
}

func (t *Table) routed(s *Service, caller netip.AddrPort, r route.Route, payload []byte) Action {
	if r.Service != s.ID {
		return Action{Reason: WrongService}
	}
	return Action{Verb: ToHost, Peer: r.Host, Header: s.forwardHeader(caller, 0), Payload: payload}
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

func (s *Service) choose(now time.Time, caller netip.AddrPort, hops uint8, payload []byte) Action {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.limit.Take(now) {
		return Action{Reason: OverRate}
	}
	host, ok := s.set.Pick(now, s.rnd)
	if !ok {
		return Action{Reason: NoHost}
	}
	return Action{
		Verb:    ToHost,
		Peer:    host,
		Header:  s.forwardHeader(caller, hops),
		NewFlow: true,
		Payload: payload,
	}
}

// FromAgent decides on a datagram that came on the internal socket.
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
		s.observe(now, from, h)
		return Action{Verb: ToCaller, Peer: h.Caller, Header: h, Payload: payload}
	case encap.Refused:
		return s.rechoose(now, from, h, payload)
	default:
		return Action{Reason: BadKind}
	}
}

func (s *Service) observe(now time.Time, from netip.AddrPort, h encap.Header) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set.Observe(now, from, choose.Reading{Open: int(h.Open), Busy: int(h.Busy)})
}

func (s *Service) rechoose(now time.Time, from netip.AddrPort, h encap.Header, payload []byte) Action {
	s.mu.Lock()
	s.set.Refuse(now, from)
	s.mu.Unlock()
	if h.Hops >= MaxHops {
		return Action{Reason: TooManyHops}
	}
	return s.choose(now, h.Caller, h.Hops, payload)
}
