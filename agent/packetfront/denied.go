package packetfront

import "github.com/poppywall/poppywall/flow"

// maxDeniedFlows bounds the flows that are known not to be held.
const maxDeniedFlows = 4096

// deniedFlows records flows that the target does not hold because it has bounced a packet of them. It can
// get such a flow only by a SYN that this agent delivers. The oldest entries are dropped.
type deniedFlows struct {
	// acks holds, for each flow, an acknowledgement number of its client: it tells the flow from a
	// later one between the same ports.
	acks map[flow.Key]uint32
	ring []flow.Key
	next int
}

func newDeniedFlows() deniedFlows { return deniedFlows{acks: map[flow.Key]uint32{}} }

// add records that the target has bounced a packet of a flow.
func (d *deniedFlows) add(key flow.Key, ack uint32) {
	if _, known := d.acks[key]; !known {
		d.evict(key)
	}
	d.acks[key] = ack
}

// evict makes room for a flow.
func (d *deniedFlows) evict(key flow.Key) {
	if len(d.ring) < maxDeniedFlows {
		d.ring = append(d.ring, key)
		return
	}
	delete(d.acks, d.ring[d.next])
	d.ring[d.next] = key
	d.next = (d.next + 1) % maxDeniedFlows
}

// remove forgets a flow, because the target may take it.
func (d *deniedFlows) remove(key flow.Key) { delete(d.acks, key) }

// has reports whether the target has bounced a packet of the flow that this one belongs to.
func (d *deniedFlows) has(key flow.Key, ack uint32) bool {
	denied, known := d.acks[key]
	return known && flow.WithinSequenceWindow(ack, denied)
}
