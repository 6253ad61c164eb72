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

// What targets answer; the first bytes are all that agents look at.
const (
	answerDone   = "HTTP/1.1 200 OK\r\n\r\n"
	answerFailed = "HTTP/1.1 500 Internal Server Error\r\n\r\n"
	answerShed   = "HTTP/1.1 503 Service Unavailable\r\n\r\n"
)

const (
	// handshake is the time of a target for a new flow.
	handshake = 300 * time.Microsecond
	// longestWork bounds the work on one request, in means.
	longestWork = 6
)

// target is the program beside an agent.
type target struct {
	run       *run
	agent     *sim.Agent
	service   *Service
	id        string
	sequence  uint64
	draining  bool
	startedAt time.Time
	flows     map[flow.Key]*targetFlow
	running   int
	queue     []job
	// speed and slow are factors on its work, failing the share of requests it fails.
	speed, slow, failing float64
	// worked is the time that its slots were in use.
	worked time.Duration
}

type targetFlow struct {
	// seq is the sequence number of the target's last byte.
	seq uint32
	// taken is the last request that came, nil before; answer once it was answered.
	taken  *request
	answer []byte
}

type job struct {
	key     flow.Key
	request *request
}

// addTarget starts a target and its agent on a VM of their own.
func (r *run) addTarget(zone string, service *Service) *target {
	speed := service.speed(r.started[service])
	r.started[service]++
	return r.startTarget(r.world.AddAgent(zone, service.Name), service, speed)
}

// startTarget starts a fresh target beside an agent.
func (r *run) startTarget(a *sim.Agent, service *Service, speed float64) *target {
	h := &target{
		run: r, agent: a, service: service, id: fmt.Sprintf("h-%x", r.world.Rnd.Uint32()),
		startedAt: r.world.Now, flows: map[flow.Key]*targetFlow{}, speed: speed, slow: 1,
	}
	a.Target = h
	r.targets[a] = h
	h.report()
	r.world.Every(sim.HeartbeatPeriod, func() bool {
		if h.alive() {
			h.report()
		}
		return h.alive()
	})
	return h
}

// alive tells whether this is still the target beside its agent.
func (h *target) alive() bool { return h.run.targets[h.agent] == h }

// end ends the target; its flows are lost.
func (h *target) end() {
	h.agent.Target = nil
	delete(h.run.targets, h.agent)
}

func (h *target) report() {
	h.sequence++
	if !h.agent.Up {
		return
	}
	now := h.run.world.Now
	h.agent.Core.Heartbeat(now, fleet.Heartbeat{
		Incarnation: fleet.Incarnation{TargetID: h.id}, Service: h.service.Name, Slots: h.service.Slots, Draining: h.draining, Sequence: h.sequence,
		WarmupLeft: max(h.startedAt.Add(h.service.ColdTime.D()).Sub(now), 0),
	})
}

// Take implements sim.Target.
func (h *target) Take(packet []byte) {
	head, err := platform.DecodePacket(packet)
	if err != nil {
		return
	}
	key := head.KeyFromClient()
	f, known := h.flows[key]
	switch {
	case head.IsOpening():
		h.open(key)
	case !known || !flow.WithinSequenceWindow(head.Ack, f.seq):
		h.agent.Bounce(packet)
	case head.Len > 0:
		h.request(key, f, packet)
	case head.Flags.Has(flow.FIN) && f.taken == nil:
		// What comes before it is missing: the flow waits for that.
	case head.Flags.Has(flow.FIN) || head.Flags.Has(flow.RST):
		delete(h.flows, key)
		if f.taken != nil && f.taken.class.long() {
			h.agent.FromTarget(platformtest.FromTarget(key, flow.ACK|flow.FIN, f.seq, head.Seq, nil))
		}
	}
}

func (h *target) open(key flow.Key) {
	f, known := h.flows[key]
	if !known {
		f = &targetFlow{seq: h.run.world.Rnd.Uint32() >> 1}
		h.flows[key] = f
	}
	h.run.world.After(handshake, func() {
		if h.alive() {
			h.agent.FromTarget(platformtest.FromTarget(key, flow.SYN|flow.ACK, f.seq, 0, nil))
		}
	})
}

// request takes a request of a flow; a repeated packet is answered as before.
func (h *target) request(key flow.Key, f *targetFlow, packet []byte) {
	next := h.run.requests[requestNumber(packet)]
	if f.taken != nil && next.number <= f.taken.number {
		if f.answer != nil {
			h.agent.FromTarget(append([]byte(nil), f.answer...))
		}
		return
	}
	if next.outcome != Pending && h.run.world.Now.Sub(next.endedAt) > h.run.farewell() {
		h.run.forNobody++
	}
	f.taken, f.answer = next, nil
	j := job{key: key, request: next}
	switch {
	case h.running < h.service.Slots:
		h.work(j)
	case len(h.queue) < h.service.Queue:
		h.queue = append(h.queue, j)
	default:
		h.answer(j, answerShed)
	}
}

// work runs a request in a slot.
func (h *target) work(j job) {
	h.running++
	j.request.runs++
	j.request.crossed = zoneName(j.request.zone) != h.agent.Zone
	took := h.workTime(j.request.class)
	h.run.world.After(took, func() {
		if !h.alive() {
			return
		}
		h.running--
		h.worked += took
		j.request.work += took
		text := answerDone
		if h.failing > 0 && h.run.world.Rnd.Float64() < h.failing {
			text = answerFailed
		}
		h.answer(j, text)
		if len(h.queue) > 0 {
			next := h.queue[0]
			h.queue = h.queue[1:]
			h.work(next)
		}
	})
}

// workTime draws the time that a request takes now.
func (h *target) workTime(c *Class) time.Duration {
	mean := float64(c.Work)
	drawn := mean * math.Exp(h.run.world.Rnd.NormFloat64()*c.Spread-c.Spread*c.Spread/2)
	drawn = min(drawn, longestWork*mean) * h.speed * h.slow
	if c.Tail > 0 && h.run.world.Rnd.Float64() < c.Tail {
		drawn *= c.TailFactor
	}
	if h.run.world.Now.Sub(h.startedAt) < h.service.ColdTime.D() {
		drawn *= h.service.ColdFactor
	}
	return time.Duration(drawn)
}

func (h *target) answer(j job, text string) {
	f, ok := h.flows[j.key]
	if !ok {
		return
	}
	flags := flow.ACK
	if !j.request.class.long() {
		flags |= flow.FIN
	}
	f.answer = platformtest.FromTarget(j.key, flags, f.seq+1, 1, []byte(text))
	f.seq += uint32(len(text))
	h.agent.FromTarget(append([]byte(nil), f.answer...))
}

// numberLen is the length of a request's number, which its data begins with.
const numberLen = 4

func requestData(number int) []byte { return binary.BigEndian.AppendUint32(nil, uint32(number)) }

func requestNumber(packet []byte) int {
	return int(binary.BigEndian.Uint32(packet[platform.HeaderLen : platform.HeaderLen+numberLen]))
}
