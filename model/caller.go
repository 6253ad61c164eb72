package model

import (
	"bytes"
	"time"

	"github.com/poppywall/poppywall/backlog"
	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/platform"
	"github.com/poppywall/poppywall/platform/platformtest"
)

// Retransmissions and retries of callers.
const (
	firstRetransmitInterval = 200 * time.Millisecond
	maxRetransmitInterval   = 1600 * time.Millisecond
	// maxRetransmits is how often a client retransmits a request that is not answered, even if
	// its caller no longer waits.
	maxRetransmits = 8
	// The pause before a retry is between minRetryPause and backlog.MaxRetryPause.
	minRetryPause = 100 * time.Millisecond
	// refusedRetries is the number of additional retries of a caller whose flow was refused
	// before it opened. No request was sent yet, so these follow without a pause.
	refusedRetries = 1
	// defaultClientsPerZone is the number of client addresses in each zone if the deployment
	// does not set it.
	defaultClientsPerZone = 32
)

// Outcome is the final state of a request.
type Outcome uint8

// The outcomes.
const (
	// Pending requests have been neither answered nor abandoned.
	Pending Outcome = iota
	// InTime requests were answered within their latency objective, Late ones after it.
	InTime
	Late
	// Refused requests have not run, and each of their attempts was refused.
	Refused
	// Lost requests were abandoned at their deadline or failed without a further retry.
	Lost
)

// request is a caller's request, which takes one or several attempts.
type request struct {
	run          *run
	number       int
	class        *Class
	zone         int
	ip           flow.IPv4
	startedAt    time.Time
	attemptCount int
	executions   int
	outcome      Outcome
	// crossZone is set if its last run was in another zone than its caller's.
	crossZone   bool
	lastAttempt *attempt
	// allRefused is set while each failed attempt was refused with the statement that the
	// request has not run.
	allRefused bool
	// work is the slot time that targets have spent on it, endedAt the time of its outcome.
	work    time.Duration
	endedAt time.Time
}

// attempt is one attempt at a request, on a flow of its own. A flow of several requests goes
// on with the next request once the current one is answered.
type attempt struct {
	*request
	key    flow.Key
	opened bool
	ended  bool
	// abandoned is set once the caller has closed the flow without an answer.
	abandoned     bool
	lastTargetSeq uint32
	// answerCount counts the answers received on the flow.
	answerCount uint32
}

// sendFromZone sends a new request of a class from a client of the given zone.
func (r *run) sendFromZone(c *Class, zone int) {
	r.newRequest(c, zone, clientIP(zone, r.world.Rnd.IntN(r.deployment.clientsPerZone()))).openFlow()
}

// newRequest records a request that begins now and schedules the end of its deadline.
func (r *run) newRequest(c *Class, zone int, ip flow.IPv4) *request {
	q := &request{run: r, number: len(r.requests), class: c, zone: zone, startedAt: r.world.Now, allRefused: true, ip: ip}
	r.requests = append(r.requests, q)
	r.world.After(c.Deadline.D(), q.abandon)
	return q
}

// sendNextRequest sends the flow's next request after a pause, or closes the flow if it has no
// further one.
func (a *attempt) sendNextRequest() {
	c, w := a.class, a.run.world
	if !c.multiRequest() || w.Rnd.Float64()*c.Requests < 1 {
		a.close()
		return
	}
	previous := a.request
	pause := w.Rnd.ExpFloat64() * float64(c.Pause) / a.run.loadFactor
	w.After(time.Duration(pause), func() {
		if a.ended || a.request != previous {
			return
		}
		if !w.Now.Before(a.run.loadEnds) {
			a.close()
			return
		}
		next := a.run.newRequest(c, a.zone, a.ip)
		next.attemptCount, next.lastAttempt = 1, a
		a.request = next
		a.sendRequest(next, firstRetransmitInterval, 0)
	})
}

// sendFirstRequest sends the first request of a flow that has just opened. A flow that was opened
// ahead of its request ends its handshake, and the request begins after a pause.
func (a *attempt) sendFirstRequest() {
	q, w := a.request, a.run.world
	pause := a.firstPause()
	if pause == 0 {
		a.sendRequest(q, firstRetransmitInterval, 0)
		return
	}
	a.send(flow.ACK, 1, a.lastTargetSeq, nil)
	q.startedAt = w.Now.Add(pause)
	w.After(pause, func() { a.sendRequest(q, firstRetransmitInterval, 0) })
}

// firstPause draws the pause before the first request. Only a caller's first flow is opened ahead.
func (a *attempt) firstPause() time.Duration {
	if a.class.FirstPause == 0 || a.attemptCount > 1 {
		return 0
	}
	drawn := time.Duration(a.run.world.Rnd.ExpFloat64() * float64(a.class.FirstPause))
	return min(drawn, idleTimeout, max(a.run.loadEnds.Sub(a.run.world.Now), 0))
}

// close closes a flow after its last answer.
func (a *attempt) close() {
	a.ended = true
	a.send(flow.ACK|flow.FIN, 2, a.lastTargetSeq, nil)
	delete(a.run.attempts, a.key)
}

func clientIP(zone, client int) flow.IPv4 { return flow.IPv4(0x64400000 + zone<<16 + client + 1) }

func (q *request) finish(o Outcome) {
	if q.outcome == Pending {
		q.outcome, q.endedAt = o, q.run.world.Now
	}
}

// abandon ends a request whose deadline has passed and closes its flow.
func (q *request) abandon() {
	if q.outcome != Pending {
		return
	}
	if left := q.startedAt.Add(q.class.Deadline.D()).Sub(q.run.world.Now); left > 0 {
		// The request began after a pause on its flow.
		q.run.world.After(left, q.abandon)
		return
	}
	if a := q.lastAttempt; a != nil && a.opened && !a.ended {
		a.abandoned = true
		a.send(flow.ACK|flow.FIN, 2, a.lastTargetSeq, nil)
	}
	q.finish(Lost)
}

// openFlow starts an attempt by opening a flow from a new port. The SYN is retransmitted until
// the flow is open, and the attempt fails after backlog.ConnectTimeout.
func (q *request) openFlow() {
	q.attemptCount++
	r := q.run
	r.lastPorts[q.ip]++
	front := r.fronts[q.class]
	a := &attempt{request: q, key: flow.Key{ClientIP: q.ip, ClientPort: r.lastPorts[q.ip], FrontIP: front.IP, FrontPort: front.Port}}
	r.attempts[a.key], q.lastAttempt = a, a
	for retransmission := range uint32(3) {
		r.world.After(backlog.RetransmissionAge(retransmission), func() {
			if a.pending() && !a.opened {
				a.send(flow.SYN, 0x1000, retransmission, nil)
			}
		})
	}
	r.world.After(backlog.ConnectTimeout, func() {
		if !a.opened {
			a.fail(true, false)
		}
	})
}

// pending reports whether the caller still waits for an answer on this flow.
func (a *attempt) pending() bool { return !a.ended && a.outcome == Pending }

// fail ends an attempt. The caller retries if that is safe and it has retries left. notRun
// reports whether the request has certainly not run, refused whether the caller received a
// refusal that states so.
func (a *attempt) fail(notRun, refused bool) {
	if !a.pending() {
		return
	}
	a.ended = true
	delete(a.run.attempts, a.key)
	if now := a.run.world.Now; a.startedAt.After(now) {
		// The flow ended while its caller paused.
		a.startedAt = now
	}
	if refused {
		a.run.overload.recordRefusal(a.key)
	}
	a.allRefused = a.allRefused && refused
	if a.class.Unsafe && !notRun {
		a.finish(Lost)
		return
	}
	if retries, pause := a.retries(refused && !a.opened); a.attemptCount <= retries {
		a.run.world.After(pause, func() {
			if a.outcome == Pending {
				a.openFlow()
			}
		})
		return
	}
	if a.allRefused {
		a.finish(Refused)
		return
	}
	a.finish(Lost)
}

// retries returns the maximum number of retries and the pause before the next one. refused
// reports whether the flow was refused before it opened.
func (a *attempt) retries(refused bool) (int, time.Duration) {
	if refused {
		return a.class.Retries + refusedRetries, 0
	}
	return a.class.Retries, minRetryPause + a.run.world.Jitter(backlog.MaxRetryPause-minRetryPause)
}

// send sends a packet to the balancer that the routers choose.
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

// sendRequest sends the flow's current request and retransmits it until it is answered.
func (a *attempt) sendRequest(q *request, interval time.Duration, retransmits int) {
	if a.request != q || a.ended || (!a.pending() && !a.abandoned) || retransmits > maxRetransmits {
		return
	}
	a.send(flow.ACK, 1+a.answerCount*requestNumberLen, a.lastTargetSeq, requestData(q.number))
	if a.abandoned {
		a.send(flow.ACK|flow.FIN, 2, a.lastTargetSeq, nil)
	}
	a.run.world.After(interval, func() { a.sendRequest(q, min(2*interval, maxRetransmitInterval), retransmits+1) })
}

// handlePacket processes a packet that arrives at a client.
func (r *run) handlePacket(_ flow.IPv4, packet []byte) {
	head, err := platform.DecodePacket(packet)
	if err != nil {
		return
	}
	a, known := r.attempts[head.KeyFromTarget()]
	if !known || a.ended {
		return
	}
	if !a.pending() {
		// The flow is between two requests, or its caller has abandoned it.
		a.ended = head.Flags.Has(flow.RST) || (a.abandoned && head.Len > 0)
		return
	}
	switch {
	case head.Flags.Has(flow.RST):
		if !a.opened || flow.WithinSequenceWindow(head.Seq, a.lastTargetSeq) {
			a.fail(!a.opened, !a.opened)
		}
	case head.Flags.Has(flow.SYN | flow.ACK):
		if !a.opened {
			a.opened, a.lastTargetSeq = true, head.Seq
			a.sendFirstRequest()
		}
	case a.opened && head.Len > 0 && head.Seq == a.lastTargetSeq+1:
		a.lastTargetSeq += uint32(head.Len)
		a.handleAnswer(packet[platform.HeaderLen:])
	}
}

// handleAnswer processes an answer to the flow's current request.
func (a *attempt) handleAnswer(text []byte) {
	a.answerCount++
	switch {
	case bytes.HasPrefix(text, []byte(answerShed)):
		a.failAnswered(true)
		return
	case bytes.HasPrefix(text, []byte(answerFailed)):
		a.failAnswered(false)
		return
	case a.run.world.Now.Sub(a.startedAt) <= a.class.Objective.D():
		a.finish(InTime)
	default:
		a.finish(Late)
	}
	a.sendNextRequest()
}

// failAnswered closes the flow of an attempt that was answered with an error, and ends the
// attempt.
func (a *attempt) failAnswered(notRun bool) {
	a.send(flow.ACK|flow.FIN, 2, a.lastTargetSeq, nil)
	a.fail(notRun, notRun)
}
