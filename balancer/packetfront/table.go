package packetfront

import (
	"time"

	"github.com/poppywall/poppywall/flow"
)

// Limits of the flow table.
const (
	// maxFlows bounds the table: at some 100 bytes a flow 6 MB. The platform's
	// size ahead is 12 M flows over 1,700 nodes, 7,000 each.
	maxFlows = 1 << 16
	// minIdle is the least time for which an idle flow is remembered, whatever
	// the configuration says.
	minIdle = 20 * time.Second
)

// entry is what the balancer remembers of a flow.
type entry struct {
	target flow.IPv4
	usedAt time.Time
	// openedAt is when the first copy of the flow's SYN came; zero when it did
	// not come here.
	openedAt time.Time
}

// table is soft state: an entry may be lost at any moment, its flow is found
// again by a search.
type table struct {
	flows map[flow.Key]entry
	limit int
}

func newTable(limit int) *table {
	return &table{flows: map[flow.Key]entry{}, limit: limit}
}

// get returns the target of a flow and marks the entry as used.
func (t *table) get(now time.Time, key flow.Key) (flow.IPv4, bool) {
	e, ok := t.flows[key]
	if !ok {
		return 0, false
	}
	if now.Sub(e.usedAt) > time.Second {
		e.usedAt = now
		t.flows[key] = e
	}
	return e.target, true
}

// put remembers a flow's target. A full table gives up an arbitrary flow.
func (t *table) put(now time.Time, key flow.Key, target flow.IPv4) {
	if _, known := t.flows[key]; !known && len(t.flows) >= t.limit {
		for victim := range t.flows {
			delete(t.flows, victim)
			break
		}
	}
	t.flows[key] = entry{target: target, usedAt: now, openedAt: t.flows[key].openedAt}
}

// opened remembers where the first copy of a SYN was sent.
func (t *table) opened(now time.Time, key flow.Key, target flow.IPv4) {
	t.put(now, key, target)
	t.flows[key] = entry{target: target, usedAt: now, openedAt: now}
}

// drop forgets a flow if it is remembered at the target.
func (t *table) drop(key flow.Key, target flow.IPv4) {
	if e, ok := t.flows[key]; ok && e.target == target {
		delete(t.flows, key)
	}
}

// dropTarget forgets all flows at a target.
func (t *table) dropTarget(target flow.IPv4) {
	for key, e := range t.flows {
		if e.target == target {
			delete(t.flows, key)
		}
	}
}

// expire forgets flows idle for longer than idle.
func (t *table) expire(now time.Time, idle time.Duration) {
	for key, e := range t.flows {
		if now.Sub(e.usedAt) > idle {
			delete(t.flows, key)
		}
	}
}
