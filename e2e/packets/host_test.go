package packets

import (
	"fmt"
	"time"

	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/model/sim"
	"github.com/poppywall/poppywall/platform"
	"github.com/poppywall/poppywall/platform/platformtest"
)

// host is the oracle: what the program beside an agent does.
type host struct {
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
	flows    map[flow.Key]*hostFlow
	sequence uint64
	full     bool
}

func (h *host) life() fleet.Life { return fleet.Life{HostID: h.id, Born: h.born} }

type hostFlow struct {
	seq, next uint32
	open      bool
}

// startHost starts a fresh host beside the agent, under the ID of the one before where
// hosts keep theirs.
func (a *agentNode) startHost() {
	w := a.w
	h := &host{id: fmt.Sprintf("i-%x", w.Rnd.Uint32()), service: a.Service, slots: 5, cap: 1000, flows: map[flow.Key]*hostFlow{}}
	if w.keepIDs && len(a.former) > 0 && a.former[len(a.former)-1].service == a.Service {
		h.id = a.former[len(a.former)-1].id
	}
	if w.sayBorn {
		h.born = w.Now.UnixMilli() + w.clockStep
	}
	a.host, a.Host = h, a
	w.Every(sim.HeartbeatPeriod, func() bool {
		if a.host == h {
			a.heartbeat()
		}
		return a.host == h
	})
}

func (a *agentNode) heartbeat() {
	h := a.host
	h.sequence++
	if !a.Up {
		return
	}
	acknowledged := a.Core.Heartbeat(a.w.Now, fleet.Heartbeat{Life: h.life(), Service: h.service, Slots: h.slots, Draining: h.draining, Sequence: h.sequence})
	if acknowledged && h.draining && h.ackedBy != a.Life {
		h.ackedBy, h.ackedAt = a.Life, a.w.Now
	}
}

// drain makes the host report that it leaves.
func (a *agentNode) drain() {
	if a.host != nil {
		a.host.draining = true
		a.heartbeat()
	}
}

// crash ends the host; its flows are lost.
func (a *agentNode) crash() {
	if a.host != nil {
		a.former = append(a.former, a.host)
	}
	a.host, a.Host = nil, nil
}

// lateWord lets a report or the farewell of a host arrive that has ended.
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
		a.Core.Leave(a.w.Now, h.life())
		return
	}
	h.sequence++
	a.Core.Heartbeat(a.w.Now, fleet.Heartbeat{Life: h.life(), Service: h.service, Slots: h.slots, Draining: true, Sequence: h.sequence})
}

// Take is what a host does with a packet.
func (a *agentNode) Take(packet []byte) {
	h := a.host
	if h == nil {
		return
	}
	head, err := platform.DecodePacket(packet)
	if err != nil {
		a.w.violate("a host got a malformed packet")
		return
	}
	key := head.FromClient()
	if head.IsOpening() {
		a.hostOpens(h, key, &head, packet)
		return
	}
	f, ok := h.flows[key]
	if !ok || !flow.SameFlow(head.Ack, f.seq) || head.Ack < f.seq {
		a.Bounce(packet)
		return
	}
	f.open = true
	if head.Len == 0 {
		return
	}
	f.next = f.seq + 100*(head.Seq+1)
	a.hostSends(key, flow.ACK, f.next, head.Seq, []byte("answer"))
}

func (a *agentNode) hostOpens(h *host, key flow.Key, head *flow.Header, packet []byte) {
	want := serviceA
	if key.Front() == frontB {
		want = serviceB
	}
	if want != h.service {
		a.w.violate("a SYN for %s reached a host of %s", want, h.service)
	}
	// A packet may be on its way inside the VM at that moment.
	if h.ackedBy == a.Life && a.w.Now.Sub(h.ackedAt) > time.Millisecond {
		a.w.violate("a SYN reached a host whose draining was acknowledged")
	}
	if h.full || len(h.flows) >= h.cap {
		a.Bounce(packet)
		return
	}
	f, ok := h.flows[key]
	if !ok {
		f = &hostFlow{seq: a.w.Rnd.Uint32() >> 1}
		h.flows[key] = f
	}
	a.hostSends(key, flow.SYN|flow.ACK, f.seq, 0, nil)
}

func (a *agentNode) hostSends(key flow.Key, flags flow.Flags, seq, ack uint32, data []byte) {
	a.FromHost(platformtest.FromHost(key, flags, seq, ack, data))
}
