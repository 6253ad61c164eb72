package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// client is a stand-in for a client machine.
type client struct {
	site *site
	rec  *record
	conn *net.UDPConn
	ip   netip.Addr

	mu     sync.Mutex
	flows  map[flowKey]*clientFlow
	port   uint16
	forged int
}

// clientFlow is one flow. One goroutine uses it at a time.
type clientFlow struct {
	key      flowKey
	client   *client
	in       chan packet
	seq, ack uint32
	open     bool
	// sent are the times at which the client sent packets of the flow.
	sent []time.Time
}

var (
	errReset   = errors.New("reset")
	errTimeout = errors.New("no answer")
)

func newClient(s *site, i int) *client {
	c := &client{site: s, rec: s.rec, ip: s.ip(3, i), flows: map[flowKey]*clientFlow{}, port: 40000}
	var err error
	if c.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(c.ip, portData))); err != nil {
		unable("client: %v", err)
	}
	go c.receive()
	return c
}

func (c *client) receive() {
	buf := make([]byte, 4096)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		p, err := decode(buf[:n])
		if err != nil {
			continue
		}
		c.mu.Lock()
		f := c.flows[flowKey{p.dst, p.src}]
		if !p.genuine && !p.ownReset {
			c.forged++
			c.rec.add("client    %s gets a packet that its sender did not write so", c.ip)
			f = nil
		}
		c.mu.Unlock()
		if f != nil {
			select {
			case f.in <- p:
			default:
			}
		}
	}
}

// open opens a flow from a new port: the SYN, copies after 200 and 600 ms, the end after 1.4 s.
func (c *client) open(front netip.AddrPort) (*clientFlow, error) {
	c.mu.Lock()
	c.port++
	f := &clientFlow{client: c, key: flowKey{netip.AddrPortFrom(c.ip, c.port), front}, in: make(chan packet, 64), seq: rand.Uint32()}
	c.flows[f.key] = f
	c.mu.Unlock()
	for copies, wait := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond} {
		f.send(flagSYN, f.seq, uint32(copies), nil)
		p, err := f.await(wait, func(p packet) bool { return p.flags&(flagSYN|flagACK) == flagSYN|flagACK })
		if errors.Is(err, errTimeout) {
			continue
		}
		if err != nil {
			return f, err
		}
		f.ack, f.open = p.seq, true
		f.send(flagACK, f.seq, f.ack, nil)
		return f, nil
	}
	return f, errTimeout
}

// request sends a request in one packet and waits for the whole answer, also in one packet.
func (f *clientFlow) request(id string, limit time.Duration) (string, error) {
	body := fmt.Sprintf("POST /move HTTP/1.1\r\nHost: %s\r\nPoppywall-Request-Id: %s\r\nContent-Length: 4\r\n\r\nmove", f.key.front, id)
	pause := 200 * time.Millisecond
	for end := time.Now().Add(limit); time.Now().Before(end); pause = min(2*pause, 1600*time.Millisecond) {
		f.send(flagACK, f.seq, f.ack, []byte(body))
		p, err := f.await(min(pause, time.Until(end)), func(p packet) bool { return len(p.payload) > 0 && p.seq == f.ack })
		if errors.Is(err, errTimeout) {
			continue
		}
		if err != nil {
			return "", err
		}
		f.ack += uint32(len(p.payload))
		f.seq += uint32(len(body))
		f.send(flagACK, f.seq, f.ack, nil)
		return string(p.payload), nil
	}
	return "", errTimeout
}

// close ends the flow.
func (f *clientFlow) close() { f.send(flagFIN|flagACK, f.seq, f.ack, nil) }

func (f *clientFlow) await(limit time.Duration, match func(packet) bool) (packet, error) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			return packet{}, errTimeout
		case p := <-f.in:
			if p.flags&flagRST != 0 && (p.genuine || !f.open || near(p.seq, f.ack)) {
				return p, errReset
			}
			if match(p) {
				return p, nil
			}
		}
	}
}

func (f *clientFlow) send(flags byte, seq, ack uint32, payload []byte) {
	f.sent = append(f.sent, time.Now())
	f.client.site.router.forward(encode(f.key.client, f.key.front, flags, seq, ack, payload))
}

// once opens a flow, sends one request and closes it. It returns the service that answered.
func (c *client) once(front netip.AddrPort, id string) (service string, err error) {
	f, err := c.open(front)
	if err != nil {
		c.rec.add("client    request %s to %s: flow not opened (%v)", id, front, err)
		return "", err
	}
	answer, err := f.request(id, 2500*time.Millisecond)
	f.close()
	if err != nil {
		c.rec.add("client    request %s to %s: sent, %v", id, front, err)
		return "", err
	}
	_, body, _ := strings.Cut(answer, "\r\n\r\n")
	c.rec.add("client    request %s to %s: answered %q", id, front, strings.TrimSpace(body))
	service, _, _ = strings.Cut(body, " ")
	return service, nil
}
