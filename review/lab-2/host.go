package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// hostConfig is the configuration of a host.
type hostConfig struct {
	service string
	agent   *node
	slots   int
	work    time.Duration
	// firstReport is how long after its start the host sends its first status report; the others
	// follow each heartbeat-ms.
	firstReport time.Duration
}

// host is a stand-in for one lifetime of a host.
type host struct {
	hostConfig
	id   string
	rec  *record
	udp  *net.UDPConn
	tcp  net.Listener
	stop context.CancelFunc

	mu       sync.Mutex
	flows    map[flowKey]*hostFlow
	state    string
	sequence int
	runs     []run
	// reportedAt is when the last status report was acknowledged.
	reportedAt time.Time
	forged     int
	arrivals   []arrival
}

// arrival is a packet of a flow, other than a SYN, that reached a host; held is set if the host has
// the flow.
type arrival struct {
	at   time.Time
	key  flowKey
	held bool
	host *host
}

// run is one request that a host began to work on.
type run struct {
	at              time.Time
	request, host   string
	service         string
	front           netip.AddrPort
	method, pathAll string
}

// hostFlow is a flow at its host. It is open from the moment when the host has the end of the
// handshake.
type hostFlow struct {
	iss, next uint32
	received  uint32
	open      bool
	ended     bool
	answer    []byte
}

var hostCount int

// startHost starts a new lifetime of a host.
func startHost(rec *record, cfg hostConfig) *host {
	hostCount++
	h := &host{hostConfig: cfg, id: fmt.Sprintf("i-%08x", rand.Uint32()), rec: rec, flows: map[flowKey]*hostFlow{}, state: "ready"}
	var err error
	at := cfg.agent.addr(portApp)
	if h.udp, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at)); err != nil {
		unable("host: %v", err)
	}
	if h.tcp, err = net.Listen("tcp4", at.String()); err != nil {
		unable("host: %v", err)
	}
	ctx, stop := context.WithCancel(context.Background())
	h.stop = stop
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.state != "ready" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	go func() { _ = (&http.Server{Handler: mux}).Serve(h.tcp) }()
	go h.receive()
	go h.report(ctx)
	rec.add("host      %s of service %s starts at %s (%s)", h.id, cfg.service, at, cfg.agent.name)
	return h
}

// crash ends the host without a word.
func (h *host) crash() {
	h.stop()
	_ = h.udp.Close()
	_ = h.tcp.Close()
	h.rec.add("host      %s of service %s crashes", h.id, h.service)
}

func (h *host) report(ctx context.Context) {
	pause := h.firstReport
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		h.reportNow()
		pause = heartbeatMS * time.Millisecond
	}
}

// nextReport returns the body of the next status report.
func (h *host) nextReport() map[string]any {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sequence++
	return map[string]any{
		"service": h.service, "address": h.agent.addr(portApp).String(), "zone": zoneName, "version": "v1", "slots": h.slots,
		"state": h.state, "warmup-left-ms": 0, "sequence": h.sequence,
	}
}

// deliver sends a status report to the agent of the host's machine.
func (h *host) deliver(body map[string]any) (status int, acknowledged bool) {
	return post("http://"+h.agent.addr(portControl).String()+"/poppywall/Instances.Heartbeat/"+h.id, body)
}

func (h *host) reportNow() {
	body := h.nextReport()
	first := body["sequence"] == 1
	status, ok := h.deliver(body)
	h.mu.Lock()
	defer h.mu.Unlock()
	if ok {
		h.reportedAt = time.Now()
	}
	if first {
		h.rec.add("host      %s of service %s has sent its first status report, answered with %d", h.id, h.service, status)
	}
}

func (h *host) receive() {
	buf := make([]byte, 4096)
	for {
		n, _, err := h.udp.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if p, err := decode(buf[:n]); err == nil {
			h.handle(p, buf[:n])
		}
	}
}

func (h *host) handle(p packet, raw []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !p.genuine {
		h.forged++
		h.rec.add("host      %s gets a packet that its sender did not write so", h.id)
		return
	}
	key := flowKey{p.src, p.dst}
	f := h.flows[key]
	if p.flags&(flagSYN|flagACK) != flagSYN {
		h.arrivals = append(h.arrivals, arrival{time.Now(), key, f != nil && near(p.ack, f.next), h})
	}
	switch {
	case p.flags&(flagSYN|flagACK) == flagSYN:
		if f == nil {
			f = &hostFlow{iss: rand.Uint32(), received: p.seq}
			f.next = f.iss
			h.flows[key] = f
		}
		h.send(key, flagSYN|flagACK, f.iss, f.received, nil)
	case f == nil || !near(p.ack, f.next):
		h.bounce(raw)
	case f.ended && p.flags&flagFIN != 0:
		h.send(key, flagACK, f.next, f.received, nil)
	case f.ended && len(p.payload) > 0:
		h.send(key, flagRST, f.next, f.received, nil)
	default:
		h.handleOpen(key, f, p)
	}
}

func (h *host) handleOpen(key flowKey, f *hostFlow, p packet) {
	f.open = true
	if p.flags&flagRST != 0 {
		f.ended = true
		return
	}
	if len(p.payload) > 0 {
		if p.seq != f.received {
			// A copy: its end is acknowledged again, and the answer, if there is one, sent again.
			h.send(key, flagACK, f.next, f.received, nil)
			if f.answer != nil {
				h.send(key, flagACK, f.next-uint32(len(f.answer)), f.received, f.answer)
			}
			return
		}
		f.received += uint32(len(p.payload))
		f.answer = nil
		h.send(key, flagACK, f.next, f.received, nil)
		h.serve(key, f, p.payload)
	}
	if p.flags&flagFIN != 0 {
		f.ended = true
		h.send(key, flagFIN|flagACK, f.next, f.received, nil)
	}
}

// serve begins to work on a request.
func (h *host) serve(key flowKey, f *hostFlow, payload []byte) {
	req, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(payload)))
	if err != nil {
		h.rec.add("host      %s gets bytes that are no request: %v", h.id, err)
		return
	}
	r := run{at: time.Now(), request: req.Header.Get("Poppywall-Request-Id"), host: h.id, service: h.service, front: key.front, method: req.Method, pathAll: req.URL.String()}
	h.runs = append(h.runs, r)
	h.rec.add("host      %s of service %s runs request %s (%s %s, sent to %s)", h.id, h.service, r.request, r.method, r.pathAll, key.front)
	time.AfterFunc(h.work, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		body := fmt.Sprintf("%s ran %s\n", h.service, r.request)
		f.answer = []byte(fmt.Sprintf("HTTP/1.1 200 OK\r\nPoppywall-Server-Seal: %s\r\nPoppywall-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s", h.id, r.request, len(body), body))
		h.send(key, flagACK, f.next, f.received, f.answer)
		f.next += uint32(len(f.answer))
	})
}

func (h *host) bounce(raw []byte) {
	b := append([]byte(nil), raw...)
	b[10] |= flagBounced
	b[11] = 0
	_, _ = h.udp.WriteToUDPAddrPort(b, h.agent.addr(portOutbound))
}

func (h *host) send(key flowKey, flags byte, seq, ack uint32, payload []byte) {
	_, _ = h.udp.WriteToUDPAddrPort(encode(key.front, key.client, flags, seq, ack, payload), h.agent.addr(portOutbound))
}

// ran returns the requests that the host has begun to work on.
func (h *host) ran() []run {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]run(nil), h.runs...)
}

// reached returns the packets that have reached the host.
func (h *host) reached() []arrival {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]arrival(nil), h.arrivals...)
}

// lastReport returns when the last status report was acknowledged.
func (h *host) lastReport() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.reportedAt
}
