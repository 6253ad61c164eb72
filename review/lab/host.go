package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/platform"
	"github.com/poppywall/poppywall/platform/platformtest"
)

// host stands in for one lifetime of a host beside a side machine's process.
type host struct {
	lab         *lab
	machine     *machine
	id, service string
	// control is where the host sends its status reports.
	control string
	udp     *net.UDPConn
	health  *http.Server
	ctx     context.Context
	stop    context.CancelFunc
	work    time.Duration

	// mu guards the fields below.
	mu       sync.Mutex
	flows    map[flow.Key]*hostFlow
	draining bool
	sequence uint64
	// drainAckedAt is when a report of draining was acknowledged; zero before.
	drainAckedAt time.Time
	// opened are the opening packets that the host took.
	opened []time.Time
}

// hostFlow is one flow at its host.
type hostFlow struct {
	// firstSeq is the sequence number of the SYN+ACK, next the next byte to send, expected the
	// next byte expected of the client.
	firstSeq, next, expected uint32
	open, ended              bool
	// answer is the last answer, sent from answerSeq on until it is acknowledged.
	answer    []byte
	answerSeq uint32
	fin       bool
	// requestSeq is where the request that is being answered starts.
	requestSeq uint32
	busy       bool
}

// startHost starts a host of a service beside a side machine's process. Its reports go to control,
// the address of the machine's process if empty.
func (l *lab) startHost(m *machine, id, service, control string) (*host, error) {
	addr := netip.AddrPortFrom(m.addr, portApp)
	udp, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err
	}
	tcp, err := net.Listen("tcp4", addr.String())
	if err != nil {
		_ = udp.Close()
		return nil, err
	}
	if control == "" {
		control = hostPort(m.addr, portControl)
	}
	h := newHost(l, m, id, service, control)
	h.udp = udp
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Poppywall-Instance-Id", id)
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.draining {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	h.health = &http.Server{Handler: mux}
	go func() { _ = h.health.Serve(tcp) }()
	go h.read()
	go h.report()
	l.atStop(h.crash)
	l.rec.logf("host %s (%s) starts at %s", id, service, addr)
	return h, nil
}

// newHost returns a host that does not listen yet.
func newHost(l *lab, m *machine, id, service, control string) *host {
	ctx, stop := context.WithCancel(context.Background())
	return &host{lab: l, machine: m, id: id, service: service, control: control, ctx: ctx, stop: stop, work: 40 * time.Millisecond, flows: map[flow.Key]*hostFlow{}}
}

// leave ends the host as a planned shutdown does: it says that it leaves, and exits.
func (h *host) leave() {
	h.stop()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	h.lab.rec.logf("host %s leaves: %s; it exits", h.id, h.post(ctx, "Leave", nil))
	h.crash()
}

// crash ends the host without a word.
func (h *host) crash() {
	h.stop()
	_ = h.health.Close()
	_ = h.udp.Close()
}

// report sends a status report each heartbeatEvery. A report without an answer within a second is
// followed by the next one at once.
func (h *host) report() {
	for h.ctx.Err() == nil {
		began := time.Now()
		h.sendReport(h.ctx)
		select {
		case <-h.ctx.Done():
		case <-time.After(heartbeatEvery - time.Since(began)):
		}
	}
}

func (h *host) sendReport(ctx context.Context) bool {
	h.mu.Lock()
	h.sequence++
	state := "ready"
	if h.draining {
		state = "draining"
	}
	body, _ := json.Marshal(map[string]any{
		"service": h.service, "address": hostPort(h.machine.addr, portApp), "zone": h.machine.zone, "version": "v1", "slots": 5,
		"state": state, "warmup-left-ms": 0, "sequence": h.sequence,
	})
	sequence := h.sequence
	h.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	status := h.post(ctx, "Heartbeat", body)
	h.lab.rec.logf("host %s reports %s, sequence %d: %s", h.id, state, sequence, status)
	acked := strings.HasPrefix(status, "2")
	h.mu.Lock()
	defer h.mu.Unlock()
	if acked && state == "draining" && h.drainAckedAt.IsZero() {
		h.drainAckedAt = time.Now()
	}
	return acked
}

func (h *host) post(ctx context.Context, call string, body []byte) string {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.control+"/poppywall/Instances."+call+"/"+h.id, bytes.NewReader(body))
	if err != nil {
		return err.Error()
	}
	req.Header.Set("Content-Type", "application/json")
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return "no answer"
	}
	_ = resp.Body.Close()
	return resp.Status
}

// drain makes the host report that it is draining, at once.
func (h *host) drain() bool {
	h.mu.Lock()
	h.draining = true
	h.mu.Unlock()
	return h.sendReport(h.ctx)
}

func (h *host) drainAcked() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.drainAckedAt
}

// openedSince returns how many opening packets the host took after a time.
func (h *host) openedSince(t time.Time) (n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, at := range h.opened {
		if at.After(t) {
			n++
		}
	}
	return n
}

// holdsOpen reports whether a flow is open at the host.
func (h *host) holdsOpen(key flow.Key) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	f, known := h.flows[key]
	return known && f.open && !f.ended
}

func (h *host) read() {
	buf := make([]byte, 2048)
	for {
		n, _, err := h.udp.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if p, err := platform.DecodePacket(buf[:n]); err == nil {
			h.handle(&p, buf[:n])
		}
	}
}

// handle handles a client's packet.
func (h *host) handle(p *flow.Header, packet []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	key := p.KeyFromClient()
	f, known := h.flows[key]
	switch {
	case p.IsOpening():
		h.open(key, f, p)
	case !known || !flow.WithinSequenceWindow(p.Ack, f.next):
		platformtest.Bounce(packet)
		packet[11] = 0
		_, _ = h.udp.WriteToUDPAddrPort(packet, netip.AddrPortFrom(h.machine.addr, portOutbound))
	case f.ended && p.Len > 0:
		h.send(key, flow.RST|flow.ACK, f.next, f.expected, nil)
	case f.ended:
		if p.Flags.Has(flow.FIN) {
			h.send(key, flow.ACK, f.next, f.expected, nil)
		}
	default:
		h.handleOpen(key, f, p, packet[platform.HeaderLen:])
	}
}

// open answers an opening packet. A copy gets the same answer.
func (h *host) open(key flow.Key, f *hostFlow, p *flow.Header) {
	if f == nil || f.ended {
		f = &hostFlow{firstSeq: rand.Uint32(), expected: p.Seq + 1}
		f.next = f.firstSeq + 1
		h.flows[key] = f
		h.opened = append(h.opened, time.Now())
		h.lab.rec.logf("host %s (%s) takes the opening packet of %s", h.id, h.service, key)
	}
	h.send(key, flow.SYN|flow.ACK, f.firstSeq, f.expected, nil)
}

// handleOpen handles a packet of a flow that the host holds. A packet without data is not answered.
func (h *host) handleOpen(key flow.Key, f *hostFlow, p *flow.Header, data []byte) {
	if !f.open {
		f.open = true
		h.lab.rec.logf("host %s holds the flow %s open", h.id, key)
	}
	if f.answer != nil && p.Ack == f.next {
		f.answer = nil
	}
	switch {
	case p.Flags.Has(flow.RST):
		f.ended = true
	case p.Len > 0 && p.Seq == f.expected && !f.busy:
		f.requestSeq, f.expected, f.busy = p.Seq, p.Seq+uint32(p.Len), true
		request := string(data)
		id := header(request, "Poppywall-Request-Id")
		h.lab.rec.ran(id, h.id, h.service)
		time.AfterFunc(h.work, func() { h.answer(key, f, id) })
	case p.Len > 0:
		// A retransmission.
		h.send(key, flow.ACK, f.next, f.expected, nil)
	case p.Flags.Has(flow.FIN):
		f.ended = true
		h.send(key, flow.FIN|flow.ACK, f.next, f.expected+1, nil)
	}
}

// answer sends the answer to a request; while the host is draining, it closes the flow after it.
func (h *host) answer(key flow.Key, f *hostFlow, id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	body := "run by " + h.id + "\n"
	f.answer = []byte(fmt.Sprintf("HTTP/1.1 200 OK\r\nPoppywall-Server-Seal: %s\r\nPoppywall-Service: %s\r\nPoppywall-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s", h.id, h.service, id, len(body), body))
	f.answerSeq, f.busy, f.fin = f.next, false, h.draining
	f.next += uint32(len(f.answer))
	h.transmit(key, f, 0)
}

// transmit sends the answer, and again until it is acknowledged, eight times at most.
func (h *host) transmit(key flow.Key, f *hostFlow, tries int) {
	if f.answer == nil || tries > 8 {
		return
	}
	flags := flow.ACK
	if f.fin {
		flags |= flow.FIN
	}
	h.send(key, flags, f.answerSeq, f.expected, f.answer)
	pause := min(200*time.Millisecond<<tries, 1600*time.Millisecond)
	time.AfterFunc(pause, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.transmit(key, f, tries+1)
	})
}

func (h *host) send(key flow.Key, flags flow.Flags, seq, ack uint32, payload []byte) {
	_, _ = h.udp.WriteToUDPAddrPort(platformtest.FromTarget(key, flags, seq, ack, payload), netip.AddrPortFrom(h.machine.addr, portOutbound))
}
