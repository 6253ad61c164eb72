package main

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/platform"
	"github.com/poppywall/poppywall/platform/platformtest"
)

// router stands in for the platform's routers: it sends each packet of a client to an edge
// machine of the client's zone, selected by a hash over the machines in rotation.
type router struct {
	lab  *lab
	conn *net.UDPConn

	// mu guards missed, the number of missed readiness checks in a row of each edge machine.
	mu     sync.Mutex
	missed map[*machine]int
	done   chan struct{}
}

func newRouter(l *lab) (*router, error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	r := &router{lab: l, conn: conn, missed: map[*machine]int{}, done: make(chan struct{})}
	for _, m := range l.edges {
		r.missed[m] = 2
		go r.check(m)
	}
	l.atStop(func() {
		close(r.done)
		_ = conn.Close()
	})
	return r, nil
}

// check checks a machine's readiness twice a second.
func (r *router) check(m *machine) {
	client := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	tick := time.NewTicker(500 * time.Millisecond)
	defer tick.Stop()
	for {
		resp, err := client.Get("http://" + hostPort(m.addr, portReady) + "/poppywall/ready")
		ok := err == nil && resp.StatusCode == http.StatusOK
		if err == nil {
			_ = resp.Body.Close()
		}
		r.mu.Lock()
		r.missed[m]++
		if ok {
			r.missed[m] = 0
		}
		r.mu.Unlock()
		select {
		case <-r.done:
			return
		case <-tick.C:
		}
	}
}

func (r *router) readyCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, missed := range r.missed {
		if missed == 0 {
			n++
		}
	}
	return n
}

// pick returns the edge machine for a flow of a client in a zone.
func (r *router) pick(zone string, key flow.Key) *machine {
	r.mu.Lock()
	defer r.mu.Unlock()
	var local, localIn, anyIn []*machine
	for _, m := range r.lab.edges {
		in := r.missed[m] < 2
		if m.zone == zone {
			local = append(local, m)
		}
		if in {
			anyIn = append(anyIn, m)
			if m.zone == zone {
				localIn = append(localIn, m)
			}
		}
	}
	list := localIn
	switch {
	case len(localIn) == 0 && len(anyIn) > 0:
		list = anyIn
	case 2*len(localIn) < len(local):
		list = local
	}
	if len(list) == 0 {
		list = r.lab.edges
	}
	slices.SortFunc(list, func(a, b *machine) int { return cmp.Compare(a.name, b.name) })
	return list[int(key.Hash()%uint64(len(list)))]
}

func (r *router) send(zone string, key flow.Key, packet []byte) {
	m := r.pick(zone, key)
	_, _ = r.conn.WriteToUDPAddrPort(packet, netip.AddrPortFrom(m.addr, portData))
}

// client is a client machine.
type client struct {
	lab  *lab
	zone string
	ip   flow.IPv4
	conn *net.UDPConn

	// mu guards flows and nextPort.
	mu       sync.Mutex
	flows    map[flow.Key]*clientFlow
	nextPort uint16
}

func (l *lab) newClient(i int, zone string) (*client, error) {
	addr := l.address(kindClient, i)
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(addr, portData)))
	if err != nil {
		return nil, err
	}
	c := &client{lab: l, zone: zone, ip: flow.FromAddr(addr), conn: conn, flows: map[flow.Key]*clientFlow{}, nextPort: 30000}
	l.atStop(func() { _ = conn.Close() })
	go c.read()
	return c, nil
}

func (c *client) read() {
	buf := make([]byte, 2048)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		h, err := platform.DecodePacket(buf[:n])
		if err != nil {
			continue
		}
		c.mu.Lock()
		f := c.flows[h.KeyFromTarget()]
		c.mu.Unlock()
		if f == nil {
			continue
		}
		select {
		case f.packets <- received{h, string(buf[platform.HeaderLen:n])}:
		default:
		}
	}
}

type received struct {
	header  flow.Header
	payload string
}

// clientFlow is one flow; one goroutine uses it.
type clientFlow struct {
	client  *client
	key     flow.Key
	packets chan received
	open    bool
	// seq is the next byte to send, ack the next byte expected of the host.
	seq, ack uint32
}

// Outcomes of a flow or a request.
const (
	outcomeAnswered  = "answered"
	outcomeReset     = "reset"
	outcomeTimeout   = "no answer in time"
	outcomeNotOpened = "not opened"
)

// dial opens a flow from a new port: a SYN, and copies after 200 and 600 ms.
func (c *client) dial(front flow.Front) (*clientFlow, string) {
	c.mu.Lock()
	c.nextPort++
	f := &clientFlow{client: c, packets: make(chan received, 64), seq: rand.Uint32(), key: flow.Key{ClientIP: c.ip, ClientPort: c.nextPort, FrontIP: front.IP, FrontPort: front.Port}}
	c.flows[f.key] = f
	c.mu.Unlock()
	for copies, wait := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond} {
		f.send(flow.SYN, f.seq, uint32(copies), "")
		for timer := time.NewTimer(wait); ; {
			p, ok := f.receive(timer)
			if !ok {
				break
			}
			if p.header.Flags.Has(flow.RST) {
				return f, outcomeReset
			}
			if p.header.Flags.Has(flow.SYN | flow.ACK) {
				f.seq, f.ack, f.open = f.seq+1, p.header.Seq+1, true
				return f, ""
			}
		}
	}
	return f, outcomeNotOpened
}

// receive returns the next packet, false when the timer ends.
func (f *clientFlow) receive(timer *time.Timer) (received, bool) {
	select {
	case <-timer.C:
		return received{}, false
	case p := <-f.packets:
		return p, true
	}
}

// acknowledge sends the end of the handshake without a request.
func (f *clientFlow) acknowledge() { f.send(flow.ACK, f.seq, f.ack, "") }

// request sends a request and waits for its answer until the time limit. It retransmits after
// 200 ms, doubled up to 1.6 s.
func (f *clientFlow) request(id, method, path string, limit time.Duration) (status string, answer string) {
	body := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nPoppywall-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", method, path, f.key.FrontIP, id)
	end := time.Now().Add(limit)
	first := f.seq
	f.seq += uint32(len(body))
	acked := false
	for interval := 200 * time.Millisecond; time.Now().Before(end); interval = min(2*interval, 1600*time.Millisecond) {
		if !acked {
			f.send(flow.ACK, first, f.ack, body)
		}
		for timer := time.NewTimer(min(interval, time.Until(end))); ; {
			p, ok := f.receive(timer)
			if !ok {
				break
			}
			switch {
			case p.header.Flags.Has(flow.RST) && flow.WithinSequenceWindow(p.header.Seq, f.ack):
				return outcomeReset, ""
			case p.header.Len > 0 && p.header.Seq == f.ack:
				f.ack += uint32(p.header.Len)
				f.send(flow.ACK, f.seq, f.ack, "")
				return outcomeAnswered, p.payload
			case p.header.Ack == f.seq:
				acked = true
			}
		}
	}
	return outcomeTimeout, ""
}

// close ends the flow.
func (f *clientFlow) close() {
	f.send(flow.FIN|flow.ACK, f.seq, f.ack, "")
	f.client.mu.Lock()
	defer f.client.mu.Unlock()
	delete(f.client.flows, f.key)
}

func (f *clientFlow) send(flags flow.Flags, seq, ack uint32, payload string) {
	f.client.lab.router.send(f.client.zone, f.key, platformtest.FromClient(f.key, flags, seq, ack, []byte(payload)))
}

// header returns the value of a header of an answer.
func header(answer, name string) string {
	for _, line := range strings.Split(answer, "\r\n") {
		if value, ok := strings.CutPrefix(line, name+": "); ok {
			return value
		}
	}
	return ""
}

// oneRequest opens a flow for one request.
func (c *client) oneRequest(front flow.Front, id string) (outcome, answer string) {
	c.lab.rec.logf("client: sends %s", id)
	f, failure := c.dial(front)
	defer f.close()
	if failure != "" {
		return failure, ""
	}
	return f.request(id, "POST", "/move", 2500*time.Millisecond)
}
