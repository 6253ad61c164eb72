package model

import (
	"encoding/binary"
	"fmt"
	"math"
	"time"

	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/model/sim"
	"github.com/poppywall/poppywall/platform"
	"github.com/poppywall/poppywall/platform/platformtest"
)

// Answers of targets. Agents look only at the first bytes.
const (
	answerDone   = "HTTP/1.1 200 OK\r\n\r\n"
	answerFailed = "HTTP/1.1 500 Internal Server Error\r\n\r\n"
	answerShed   = "HTTP/1.1 503 Service Unavailable\r\n\r\n"
)

const (
	// handshakeTime is the time that a target takes to accept a new flow.
	handshakeTime = 300 * time.Microsecond
	// maxServiceTimeFactor limits the service time of a request before other factors, as a multiple of
	// the mean.
	maxServiceTimeFactor = 6
)

// target is a simulated target process.
type target struct {
	run       *run
	agent     *sim.Agent
	service   *Service
	id        string
	sequence  uint64
	draining  bool
	startedAt time.Time
	flows     map[flow.Key]*targetFlow
	busySlots int
	queue     []job
	// speed and slowdown are factors on its service times, failureRate the share of requests
	// that it fails.
	speed, slowdown, failureRate float64
	// busyTime is the total time that its slots were in use.
	busyTime time.Duration
}

type targetFlow struct {
	// seq is the sequence number of the target's last byte.
	seq uint32
	// lastRequest is the last request received, nil before the first. lastAnswer is the packet
	// with its answer, nil until it is answered.
	lastRequest *request
	lastAnswer  []byte
}

type job struct {
	key     flow.Key
	request *request
}

// addTarget starts a target and its agent on a new VM.
func (r *run) addTarget(zone string, service *Service) *target {
	return r.startTarget(r.world.AddAgent(zone, service.Name), service, r.nextSpeed(service))
}

// nextSpeed returns the speed of the service's next target on a new VM.
func (r *run) nextSpeed(service *Service) float64 {
	speed := service.speed(r.startedTargets[service])
	r.startedTargets[service]++
	return speed
}

// startTarget starts a new target for an agent.
func (r *run) startTarget(a *sim.Agent, service *Service, speed float64) *target {
	t := &target{
		run: r, agent: a, service: service, id: fmt.Sprintf("h-%x", r.world.Rnd.Uint32()),
		startedAt: r.world.Now, flows: map[flow.Key]*targetFlow{}, speed: speed, slowdown: 1,
	}
	a.Target = t
	r.targets[a] = t
	t.report()
	r.world.Every(sim.HeartbeatPeriod, func() bool {
		if t.alive() {
			t.report()
		}
		return t.alive()
	})
	return t
}

// alive reports whether this process still runs as its agent's target.
func (t *target) alive() bool { return t.run.targets[t.agent] == t }

// stop ends the target. Its flows are lost.
func (t *target) stop() {
	t.agent.Target = nil
	delete(t.run.targets, t.agent)
}

func (t *target) report() {
	t.sequence++
	if !t.agent.Up {
		return
	}
	now := t.run.world.Now
	t.agent.Heartbeat(fleet.Heartbeat{
		TargetIncarnation: fleet.TargetIncarnation{TargetID: t.id}, Service: t.service.Name, Slots: t.service.Slots, Draining: t.draining, Sequence: t.sequence,
		WarmupLeft: max(t.startedAt.Add(t.service.ColdTime.D()).Sub(now), 0),
	})
}

// HandlePacket implements sim.Target.
func (t *target) HandlePacket(packet []byte) {
	head, err := platform.DecodePacket(packet)
	if err != nil {
		return
	}
	key := head.KeyFromClient()
	f, known := t.flows[key]
	switch {
	case head.IsOpening():
		t.handleSYN(key)
	case !known || !flow.WithinSequenceWindow(head.Ack, f.seq):
		t.agent.Bounce(packet)
	case head.Len > 0:
		t.handleRequest(key, f, packet)
	case head.Flags.Has(flow.FIN) && f.lastRequest == nil:
		// The request before the FIN has not arrived yet: the flow stays open for it.
	case head.Flags.Has(flow.FIN) || head.Flags.Has(flow.RST):
		delete(t.flows, key)
		if f.lastRequest != nil && f.lastRequest.class.multiRequest() {
			t.agent.FromTarget(platformtest.FromTarget(key, flow.ACK|flow.FIN, f.seq, head.Seq, nil))
		}
	}
}

func (t *target) handleSYN(key flow.Key) {
	f, known := t.flows[key]
	if !known {
		f = &targetFlow{seq: t.run.world.Rnd.Uint32() >> 1}
		t.flows[key] = f
	}
	t.run.world.After(handshakeTime, func() {
		if t.alive() {
			t.agent.FromTarget(platformtest.FromTarget(key, flow.SYN|flow.ACK, f.seq, 0, nil))
		}
	})
}

// handleRequest processes a request of a flow. A retransmission gets the same answer again, if
// there is one yet.
func (t *target) handleRequest(key flow.Key, f *targetFlow, packet []byte) {
	next := t.run.requests[requestNumber(packet)]
	if f.lastRequest != nil && next.number <= f.lastRequest.number {
		if f.lastAnswer != nil {
			t.agent.FromTarget(append([]byte(nil), f.lastAnswer...))
		}
		return
	}
	if next.outcome != Pending && t.run.world.Now.Sub(next.endedAt) > t.run.maxCloseDelay() {
		t.run.deliveredAbandoned++
	}
	f.lastRequest, f.lastAnswer = next, nil
	j := job{key: key, request: next}
	switch {
	case t.busySlots < t.service.Slots:
		t.startWork(j)
	case len(t.queue) < t.service.Queue:
		t.queue = append(t.queue, j)
	default:
		t.answer(j, answerShed)
	}
}

// startWork starts a request in a free slot. At its end the next queued one starts.
func (t *target) startWork(j job) {
	t.busySlots++
	j.request.executions++
	j.request.crossZone = zoneName(j.request.zone) != t.agent.Zone
	serviceTime := t.drawServiceTime(j.request.class)
	t.run.world.After(serviceTime, func() {
		if !t.alive() {
			return
		}
		t.busySlots--
		t.busyTime += serviceTime
		j.request.work += serviceTime
		text := answerDone
		if t.failureRate > 0 && t.run.world.Rnd.Float64() < t.failureRate {
			text = answerFailed
		}
		t.answer(j, text)
		if len(t.queue) > 0 {
			next := t.queue[0]
			t.queue = t.queue[1:]
			t.startWork(next)
		}
	})
}

// drawServiceTime draws the service time of a request that starts now.
func (t *target) drawServiceTime(c *Class) time.Duration {
	mean := float64(c.Work)
	drawn := mean * math.Exp(t.run.world.Rnd.NormFloat64()*c.Spread-c.Spread*c.Spread/2)
	drawn = min(drawn, maxServiceTimeFactor*mean) * t.speed * t.slowdown
	if c.Tail > 0 && t.run.world.Rnd.Float64() < c.Tail {
		drawn *= c.TailFactor
	}
	if t.run.world.Now.Sub(t.startedAt) < t.service.ColdTime.D() {
		drawn *= t.service.ColdFactor
	}
	return time.Duration(drawn)
}

func (t *target) answer(j job, text string) {
	f, ok := t.flows[j.key]
	if !ok {
		return
	}
	flags := flow.ACK
	if !j.request.class.multiRequest() {
		flags |= flow.FIN
	}
	f.lastAnswer = platformtest.FromTarget(j.key, flags, f.seq+1, 1, []byte(text))
	f.seq += uint32(len(text))
	t.agent.FromTarget(append([]byte(nil), f.lastAnswer...))
}

// requestNumberLen is the length in bytes of a request's number, with which its data begins.
const requestNumberLen = 4

func requestData(number int) []byte { return binary.BigEndian.AppendUint32(nil, uint32(number)) }

func requestNumber(packet []byte) int {
	return int(binary.BigEndian.Uint32(packet[platform.HeaderLen : platform.HeaderLen+requestNumberLen]))
}
