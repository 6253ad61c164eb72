package packets

import (
	"fmt"
	"time"

	"github.com/poppywall/poppywall/backlog/coldstart"
	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/model/sim"
	"github.com/poppywall/poppywall/platform"
	"github.com/poppywall/poppywall/platform/platformtest"
)

// coldTime is how long targets are cold after a start.
const coldTime = 2 * time.Second

// target is the oracle: what the program beside an agent does.
type target struct {
	id string
	// born is what it says of its start, Unix milliseconds; zero where it does not.
	born     int64
	service  string
	slots    int
	cap      int
	draining bool
	// ackedBy is the life of the agent that acknowledged it: a fresh agent knows
	// after the next heartbeat.
	ackedBy  int
	ackedAt  time.Time
	flows    map[flow.Key]*targetFlow
	sequence uint64
	full     bool
	// coldUntil is when the target is warm, unseen tells that its agent did not see the
	// end of the one before and that it has not reported since, openedAt when new flows came.
	coldUntil time.Time
	unseen    bool
	openedAt  []time.Time
}

func (h *target) life() fleet.Incarnation {
	return fleet.Incarnation{TargetID: h.id, StartedMillis: h.born}
}

type targetFlow struct {
	seq, next uint32
	open      bool
}

// startTarget starts a fresh target beside the agent, under the ID of the one before where
// targets keep theirs.
func (a *agentNode) startTarget() {
	w := a.w
	h := &target{id: fmt.Sprintf("i-%x", w.Rnd.Uint32()), service: a.Service, slots: 5, cap: 1000, flows: map[flow.Key]*targetFlow{}}
	if w.keepIDs && len(a.former) > 0 && a.former[len(a.former)-1].service == a.Service {
		h.id = a.former[len(a.former)-1].id
	}
	if w.sayBorn {
		h.born = w.Now.UnixMilli() + w.clockStep
	}
	h.coldUntil, h.unseen = w.Now.Add(coldTime), a.Up && !a.Core.TargetEnded() && len(a.former) > 0
	a.target, a.Target = h, a
	w.Every(sim.HeartbeatPeriod, func() bool {
		if a.target == h {
			a.heartbeat()
		}
		return a.target == h
	})
}

func (a *agentNode) heartbeat() {
	h := a.target
	h.sequence++
	if !a.Up {
		return
	}
	acknowledged := a.Core.Heartbeat(a.w.Now, fleet.Heartbeat{Incarnation: h.life(), Service: h.service, Slots: h.slots, Draining: h.draining, Sequence: h.sequence, WarmupLeft: max(h.coldUntil.Sub(a.w.Now), 0)})
	h.unseen = h.unseen && !acknowledged
	if acknowledged && h.draining && h.ackedBy != a.Life {
		h.ackedBy, h.ackedAt = a.Life, a.w.Now
	}
}

// drain makes the target report that it leaves.
func (a *agentNode) drain() {
	if a.target != nil {
		a.target.draining = true
		a.heartbeat()
	}
}

// crash ends the target; its flows are lost.
func (a *agentNode) crash() {
	if a.target != nil {
		a.former = append(a.former, a.target)
	}
	a.target, a.Target = nil, nil
}

// lateWord lets a report or the farewell of a target arrive that has ended.
func (a *agentNode) lateWord(farewell bool) {
	if len(a.former) == 0 || !a.Up {
		return
	}
	h := a.former[len(a.former)-1]
	if h.service != a.Service {
		// The agent's shell refuses what is of another service.
		return
	}
	if farewell {
		a.Core.Deregister(a.w.Now, h.life())
		return
	}
	h.sequence++
	a.Core.Heartbeat(a.w.Now, fleet.Heartbeat{Incarnation: h.life(), Service: h.service, Slots: h.slots, Draining: true, Sequence: h.sequence})
}

// Take is what a target does with a packet.
func (a *agentNode) Take(packet []byte) {
	h := a.target
	if h == nil {
		return
	}
	head, err := platform.DecodePacket(packet)
	if err != nil {
		a.w.violate("a target got a malformed packet")
		return
	}
	key := head.KeyFromClient()
	if head.IsOpening() {
		a.targetOpens(h, key, &head, packet)
		return
	}
	f, ok := h.flows[key]
	if !ok || !flow.WithinSequenceWindow(head.Ack, f.seq) || head.Ack < f.seq {
		a.Bounce(packet)
		return
	}
	f.open = true
	if head.Len == 0 {
		return
	}
	f.next = f.seq + 100*(head.Seq+1)
	a.targetSends(key, flow.ACK, f.next, head.Seq, []byte("answer"))
}

func (a *agentNode) targetOpens(h *target, key flow.Key, head *flow.Header, packet []byte) {
	want := serviceA
	if key.Front() == frontB {
		want = serviceB
	}
	if want != h.service {
		a.w.violate("a SYN for %s reached a target of %s", want, h.service)
	}
	// A packet may be on its way inside the VM at that moment.
	if h.ackedBy == a.Life && a.w.Now.Sub(h.ackedAt) > time.Millisecond {
		a.w.violate("a SYN reached a target whose draining was acknowledged")
	}
	if !a.w.mayOpen(a.Zone) {
		a.w.violate("a SYN reached a target of %s, emptied since %v", a.Zone, a.w.Now.Sub(a.w.emptiedAt[a.Zone]))
	}
	if h.full || len(h.flows) >= h.cap {
		a.Bounce(packet)
		return
	}
	f, ok := h.flows[key]
	if !ok {
		a.countCold(h)
		f = &targetFlow{seq: a.w.Rnd.Uint32() >> 1}
		h.flows[key] = f
	}
	a.targetSends(key, flow.SYN|flow.ACK, f.seq, 0, nil)
}

// countCold checks that a cold target gets no more new flows within a second than it
// bears.
func (a *agentNode) countCold(h *target) {
	h.openedAt = append(h.openedAt, a.w.Now)
	rate := a.w.Config.ColdRates[flow.TagOf(h.service)]
	if rate == 0 || h.unseen || !a.w.Now.Before(h.coldUntil) {
		return
	}
	within := 0
	for _, at := range h.openedAt {
		if a.w.Now.Sub(at) < time.Second {
			within++
		}
	}
	if within > coldstart.MaxPerWindow(rate) {
		a.w.violate("%d new flows within a second at cold target %s", within, h.id)
	}
}

func (a *agentNode) targetSends(key flow.Key, flags flow.Flags, seq, ack uint32, data []byte) {
	a.FromTarget(platformtest.FromTarget(key, flags, seq, ack, data))
}
