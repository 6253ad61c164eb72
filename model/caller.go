package model

import (
	"bytes"
	"time"

	"github.com/poppywall/poppywall/backlog"
	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/platform"
	"github.com/poppywall/poppywall/platform/platformtest"
)

// How callers repeat packets and tries.
const (
	firstRepeat = 200 * time.Millisecond
	lastRepeat  = 1600 * time.Millisecond
	// mostRepeats is how often a caller's end repeats what is not acknowledged, whether
	// or not its caller still waits.
	mostRepeats = 8
	// A failed try is followed by the next one after leastPause to backlog.MaxRetryPause.
	leastPause = 100 * time.Millisecond
	// refusedRetries is how many tries more a caller makes whose flow is refused before it
	// opens: nothing was sent yet, so these follow at once.
	refusedRetries = 1
	// clientsAZone is how many client addresses there are in each zone where the
	// deployment does not say.
	clientsAZone = 32
)

// Outcome is what became of a request.
type Outcome uint8

// The outcomes.
const (
	// Pending requests have neither been answered nor given up.
	Pending Outcome = iota
	// InTime were answered within their latency objective, Late after it.
	InTime
	Late
	// Refused were not run, and told so at each try.
	Refused
	// Lost were given up, or failed in a way that leaves no further try.
	Lost
)

// request is a caller's: one or several tries.
type request struct {
	run     *run
	number  int
	class   *Class
	zone    int
	ip      flow.IPv4
	began   time.Time
	tries   int
	runs    int
	outcome Outcome
	// crossed is set once it ran in another zone.
	crossed bool
	last    *attempt
	// refused is set while every try was told that it has not run.
	refused bool
	// work is what the targets have spent on it, endedAt when its outcome was known.
	work    time.Duration
	endedAt time.Time
}

// attempt is one try: a flow of its own.
type attempt struct {
	*request
	key   flow.Key
	open  bool
	ended bool
	// left is set once the caller has ended the flow without an answer.
	left      bool
	targetSeq uint32
	// answers counts those of the flow's requests.
	answers uint32
}

// begin sends a request of a class from a zone.
func (r *run) begin(c *Class, zone int) {
	r.request(c, zone, clientIP(zone, r.world.Rnd.IntN(r.deployment.clients()))).try()
}

// request notes a request that begins now.
func (r *run) request(c *Class, zone int, ip flow.IPv4) *request {
	q := &request{run: r, number: len(r.requests), class: c, zone: zone, began: r.world.Now, refused: true, ip: ip}
	r.requests = append(r.requests, q)
	r.world.After(c.Deadline.D(), q.giveUp)
	return q
}

// goOn sends the flow's next request after a pause, or closes the flow.
func (a *attempt) goOn() {
	c, w := a.class, a.run.world
	if !c.long() || w.Rnd.Float64()*c.Requests < 1 {
		a.close()
		return
	}
	former := a.request
	pause := w.Rnd.ExpFloat64() * float64(c.Pause) / a.run.factor
	w.After(time.Duration(pause), func() {
		if a.ended || a.request != former {
			return
		}
		if !w.Now.Before(a.run.ends) {
			a.close()
			return
		}
		next := a.run.request(c, a.zone, a.ip)
		next.tries, next.last = 1, a
		a.request = next
		a.ask(next, firstRepeat, 0)
	})
}

// close ends a flow of which nothing more is wanted.
func (a *attempt) close() {
	a.ended = true
	a.send(flow.ACK|flow.FIN, 2, a.targetSeq, nil)
	delete(a.run.attempts, a.key)
}

func clientIP(zone, client int) flow.IPv4 { return flow.IPv4(0x64400000 + zone<<16 + client + 1) }

func (q *request) finish(o Outcome) {
	if q.outcome == Pending {
		q.outcome, q.endedAt = o, q.run.world.Now
	}
}

// giveUp ends a request whose deadline has come; its flow is closed.
func (q *request) giveUp() {
	if q.outcome != Pending {
		return
	}
	if a := q.last; a != nil && a.open && !a.ended {
		a.left = true
		a.send(flow.ACK|flow.FIN, 2, a.targetSeq, nil)
	}
	q.finish(Lost)
}

// try opens a flow from a new port.
func (q *request) try() {
	q.tries++
	r := q.run
	r.ports[q.ip]++
	front := r.fronts[q.class]
	a := &attempt{request: q, key: flow.Key{ClientIP: q.ip, ClientPort: r.ports[q.ip], FrontIP: front.IP, FrontPort: front.Port}}
	r.attempts[a.key], q.last = a, a
	for copies := range uint32(3) {
		r.world.After(backlog.RetransmissionAge(copies), func() {
			if a.waits() && !a.open {
				a.send(flow.SYN, 0x1000, copies, nil)
			}
		})
	}
	r.world.After(backlog.ConnectTimeout, func() {
		if !a.open {
			a.fail(true, false)
		}
	})
}

// waits tells whether the caller still wants an answer on this flow.
func (a *attempt) waits() bool { return !a.ended && a.outcome == Pending }

// fail ends a try. The caller tries again if that is safe and allowed; told says
// that it was told that the request has not run.
func (a *attempt) fail(notRun, told bool) {
	if !a.waits() {
		return
	}
	a.ended = true
	delete(a.run.attempts, a.key)
	if told {
		a.run.overload.refused(a.key)
	}
	a.refused = a.refused && told
	if a.class.Unsafe && !notRun {
		a.finish(Lost)
		return
	}
	if retries, pause := a.retries(told && !a.open); a.tries <= retries {
		a.run.world.After(pause, func() {
			if a.outcome == Pending {
				a.try()
			}
		})
		return
	}
	if a.refused {
		a.finish(Refused)
		return
	}
	a.finish(Lost)
}

// retries returns how often a caller tries again after a failure, and after which pause.
// refused tells that the flow was refused before it opened.
func (a *attempt) retries(refused bool) (int, time.Duration) {
	if refused {
		return a.class.Retries + refusedRetries, 0
	}
	return a.class.Retries, leastPause + a.run.world.Jitter(backlog.MaxRetryPause-leastPause)
}

// send hands a packet to the balancer that the routers choose.
func (a *attempt) send(flags flow.Flags, seq, ack uint32, data []byte) {
	b := a.run.routers.pick(a.zone, a.key)
	if b == nil {
		return
	}
	w := a.run.world
	w.Send(a.run.deployment.ClientDelay.D(), func(p []byte) {
		if !b.Up {
			return
		}
		if h, err := platform.DecodePacket(p); err == nil {
			b.Core.HandleClient(w.Now, &h, p)
		}
	}, platformtest.FromClient(a.key, flags, seq, ack, data))
}

// ask sends the flow's present request, again until it is answered.
func (a *attempt) ask(q *request, pause time.Duration, repeats int) {
	if a.request != q || a.ended || (!a.waits() && !a.left) || repeats > mostRepeats {
		return
	}
	a.send(flow.ACK, 1+a.answers*numberLen, a.targetSeq, requestData(q.number))
	if a.left {
		a.send(flow.ACK|flow.FIN, 2, a.targetSeq, nil)
	}
	a.run.world.After(pause, func() { a.ask(q, min(2*pause, lastRepeat), repeats+1) })
}

// take gives a caller a packet.
func (r *run) take(_ flow.IPv4, packet []byte) {
	head, err := platform.DecodePacket(packet)
	if err != nil {
		return
	}
	a, known := r.attempts[head.KeyFromTarget()]
	if !known || a.ended {
		return
	}
	if !a.waits() {
		// Between two requests of the flow, or after its caller has left.
		a.ended = head.Flags.Has(flow.RST) || (a.left && head.Len > 0)
		return
	}
	switch {
	case head.Flags.Has(flow.RST):
		if !a.open || flow.WithinSequenceWindow(head.Seq, a.targetSeq) {
			a.fail(!a.open, !a.open)
		}
	case head.Flags.Has(flow.SYN | flow.ACK):
		if !a.open {
			a.open, a.targetSeq = true, head.Seq
			a.ask(a.request, firstRepeat, 0)
		}
	case a.open && head.Len > 0 && head.Seq == a.targetSeq+1:
		a.targetSeq += uint32(head.Len)
		a.answered(packet[platform.HeaderLen:])
	}
}

// answered takes an answer.
func (a *attempt) answered(text []byte) {
	a.answers++
	switch {
	case bytes.HasPrefix(text, []byte(answerShed)):
		a.refuse(true)
		return
	case bytes.HasPrefix(text, []byte(answerFailed)):
		a.refuse(false)
		return
	case a.run.world.Now.Sub(a.began) <= a.class.Objective.D():
		a.finish(InTime)
	default:
		a.finish(Late)
	}
	a.goOn()
}

// refuse ends a try that was answered by a failure, and its flow.
func (a *attempt) refuse(notRun bool) {
	a.send(flow.ACK|flow.FIN, 2, a.targetSeq, nil)
	a.fail(notRun, notRun)
}
