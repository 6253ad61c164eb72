package main

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/poppywall/poppywall/flow"
)

func init() { cases["latereport"] = playLateReport }

// retransmissions are when a TCP stack sends a segment again that is not acknowledged, after the
// first time: 0.2 s, then each pause twice as long.
var retransmissions = []time.Duration{200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond, 3 * time.Second, 6200 * time.Millisecond, 12600 * time.Millisecond}

// cutLink is the link between a host and its machine: while it is cut, nothing passes; what was
// sent meanwhile arrives with the first retransmission after the cut, whether its sender still
// runs or not.
type cutLink struct {
	listener net.Listener
	to       string
	rec      *recorder
	// lost drops what was sent during the cut.
	lost bool
	// healedAt is when the cut ends.
	healedAt time.Time
}

func newCutLink(l *lab, to string, cut time.Duration) (*cutLink, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &cutLink{listener: listener, to: to, rec: l.rec, lost: !l.trouble, healedAt: time.Now().Add(cut)}
	l.atStop(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go k.carry(conn)
		}
	}()
	return k, nil
}

// carry takes what a host sends on a connection and delivers it when the link lets it through.
func (k *cutLink) carry(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	sent := time.Now()
	data, _ := io.ReadAll(conn)
	if len(data) == 0 || k.lost {
		return
	}
	for _, after := range retransmissions {
		time.Sleep(time.Until(sent.Add(after)))
		if time.Now().After(k.healedAt) {
			k.deliver(data, time.Since(sent))
			return
		}
	}
}

func (k *cutLink) deliver(data []byte, age time.Duration) {
	out, err := net.Dial("tcp4", k.to)
	if err != nil {
		return
	}
	defer func() { _ = out.Close() }()
	_, _ = out.Write(data)
	_ = out.SetReadDeadline(time.Now().Add(time.Second))
	answer := make([]byte, len("HTTP/1.1 200"))
	_, _ = io.ReadFull(out, answer)
	k.rec.logf("a report sent %.1f s ago arrives: %q, answered %q", age.Seconds(), firstLine(data), answer)
}

func firstLine(data []byte) string {
	for i, b := range data {
		if b == '\r' {
			return string(data[:i])
		}
	}
	return string(data)
}

// Times of the case, from the start of the host whose report is delayed.
const (
	// firstCrashesAt is when that host crashes behind the cut.
	firstCrashesAt = time.Second
	// cutFor is how long the cut lasts; the next retransmission of the report is at 12.6 s.
	cutFor = 6500 * time.Millisecond
	// drainAt is when the next lifetime is told to drain.
	drainAt = 8500 * time.Millisecond
	// exitAt is when it leaves and exits: the bound of 3 s after its drain and a little longer.
	exitAt = 14 * time.Second
	endAt  = 16 * time.Second
)

// playLateReport: the first report of a new host is delayed by a cut between the host and the
// machines, and the host crashes behind it. After the cut a new lifetime registers at the same
// address; later it drains, leaves and exits. The delayed report arrives when the bound after the
// acknowledged drain has passed. Without trouble the report is lost.
func playLateReport(l *lab) ([]string, error) {
	front := flow.Front{IP: 0xc6120001, Port: 8080}
	routes := []route{{name: "r-move", kind: "unsafe", service: "alpha", front: front, timeout: 2500 * time.Millisecond}}
	if err := l.start([]string{"z1", "z2"}, []string{"alpha", "alpha"}, routes); err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	machine := l.sides[0]
	if _, err := l.startHost(l.sides[1], "i-other", "alpha", ""); err != nil {
		return nil, err
	}
	if err := l.awaitReady(); err != nil {
		return nil, err
	}
	start := time.Now()
	at := func(t time.Duration) { time.Sleep(time.Until(start.Add(t))) }
	link, err := newCutLink(l, hostPort(machine.addr, portControl), cutFor)
	if err != nil {
		return nil, err
	}
	l.rec.logf("the cut between host i-first and the machines begins; the host starts behind it")
	first := newHost(l, machine, "i-first", "alpha", link.listener.Addr().String())
	go first.sendReport(first.ctx)
	at(firstCrashesAt)
	first.stop()
	l.rec.logf("host i-first crashes behind the cut")
	at(cutFor)
	l.rec.logf("the cut has healed")
	second, err := l.startHost(machine, "i-second", "alpha", "")
	if err != nil {
		return nil, err
	}
	second.work = 300 * time.Millisecond
	load, err := l.startLoad(front)
	if err != nil {
		return nil, err
	}
	at(drainAt)
	before := second.openedSince(time.Time{})
	if !second.drain() {
		return nil, fmt.Errorf("the drain was not acknowledged")
	}
	bound := second.drainAcked().Add(drainBound)
	at(exitAt)
	late := second.openedSince(bound)
	second.leave()
	at(endAt)
	outcomes, lost := load.stop()
	l.rec.logf("requests: %v; host i-second took %d opening packets before its drain and %d later than the bound; %d requests that it ran were never answered: %v",
		outcomes, before, late, len(lost), lost)
	if ends := l.ownEnds(); len(ends) > 0 {
		return nil, fmt.Errorf("processes ended: %v", ends)
	}
	if before == 0 || outcomes[outcomeAnswered] == 0 {
		return nil, fmt.Errorf("host i-second was not used before its drain")
	}
	if late > 0 {
		return []string{fmt.Sprintf("DRAIN: host i-second took %d opening packets later than %s after its drain was acknowledged; %d of the requests that it ran were never answered, because it has left", late, drainBound, len(lost))}, nil
	}
	return nil, nil
}

// load is a stream of requests, a flow each.
type load struct {
	lab  *lab
	done chan struct{}
	wg   sync.WaitGroup

	// mu guards the maps.
	mu         sync.Mutex
	outcomes   map[string]int
	unanswered map[string]bool
}

// startLoad starts a client in each zone of the edge machines that sends 20 requests a second.
func (l *lab) startLoad(front flow.Front) (*load, error) {
	load := &load{lab: l, done: make(chan struct{}), outcomes: map[string]int{}, unanswered: map[string]bool{}}
	for i, m := range l.edges {
		c, err := l.newClient(i, m.zone)
		if err != nil {
			return nil, err
		}
		load.wg.Add(1)
		go load.send(c, front)
	}
	return load, nil
}

func (d *load) send(c *client, front flow.Front) {
	defer d.wg.Done()
	for n := 0; ; n++ {
		select {
		case <-d.done:
			return
		case <-time.After(50 * time.Millisecond):
		}
		d.wg.Add(1)
		go func() {
			defer d.wg.Done()
			id := fmt.Sprintf("req-%s-%d", c.zone, n)
			outcome, answer := c.oneRequest(front, id)
			d.lab.rec.logf("client: %s: %s %s", id, outcome, header(answer, "Poppywall-Server-Seal"))
			d.mu.Lock()
			defer d.mu.Unlock()
			d.outcomes[outcome]++
			if outcome != outcomeAnswered {
				d.unanswered[id] = true
			}
		}()
	}
}

// stop ends the load, and returns how often each outcome was seen, and the requests that a host ran
// and whose client got no answer.
func (d *load) stop() (outcomes map[string]int, lost []string) {
	close(d.done)
	d.wg.Wait()
	for _, r := range d.lab.rec.allRuns() {
		if d.unanswered[r.request] {
			lost = append(lost, r.request)
		}
	}
	return d.outcomes, lost
}
